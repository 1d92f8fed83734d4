"""Timings of the dispatcher, and the features that are switched on."""

__all__ = ('Features', 'Timing')


class Timing:
    """Timings of leases and polls, in milliseconds.

    A poll is a ``PollWorker`` order.

    Attributes:
        lease_ms: lease that a worker gets with each poll, the same at all
            control replicas: a new leader waits for such leases of earlier
            ones.  It has to outlast a change of leader; a worker that no
            leader can reach keeps its tasks until the lease ends.
        longest_lease_ms: longest duration of a lease that a worker accepts.
        poll_wait_ms: longest time for which a worker without an end to list
            delays its reply to a poll.
        long_poll_wait_ms: used instead of ``poll_wait_ms`` while there are
            many workers.
        busy_poll_wait_ms: used instead of ``poll_wait_ms`` while a run on the
            worker is being stopped, or while best-effort tasks run there
            beside serving tasks, because the tail latency of the serving
            tasks has to be watched.
        announce_ms: interval of the workers' announcements.
    """

    __slots__ = (
        'announce_ms',
        'busy_poll_wait_ms',
        'lease_ms',
        'long_poll_wait_ms',
        'longest_lease_ms',
        'poll_wait_ms',
    )

    def __init__(
        self,
        *,
        lease_ms=5900,
        longest_lease_ms=6000,
        poll_wait_ms=1000,
        long_poll_wait_ms=2000,
        busy_poll_wait_ms=500,
        announce_ms=1500,
    ):
        self.lease_ms = min(lease_ms, longest_lease_ms)
        self.longest_lease_ms = longest_lease_ms
        self.poll_wait_ms = poll_wait_ms
        self.long_poll_wait_ms = long_poll_wait_ms
        self.busy_poll_wait_ms = busy_poll_wait_ms
        self.announce_ms = announce_ms


class Features:
    """Decisions that only some deployments ask for; all are off by default.

    Attributes:
        evacuation_ms: longest time from the acknowledgement of an evacuation
            to the last start in the data centre, 0 if evacuations are not
            offered.
        refuses_overload: True if workflows that can not be served in time are
            refused when they are submitted.
        learns_run_times: True if estimated run times are corrected by those
            of earlier tasks.
        copies_stragglers: True if a task that takes unusually long gets a
            second run where its step allows copies.
        data_centres: names of all data centres, as the settings list them.
        balances_sizes: True if small tasks are kept off workers on which
            large tasks would fit, while others have room.
    """

    __slots__ = (
        'balances_sizes',
        'copies_stragglers',
        'data_centres',
        'evacuation_ms',
        'learns_run_times',
        'refuses_overload',
    )

    def __init__(
        self,
        *,
        evacuation_ms=0,
        refuses_overload=False,
        learns_run_times=False,
        copies_stragglers=False,
        data_centres=(),
        balances_sizes=False,
    ):
        self.evacuation_ms = evacuation_ms
        self.refuses_overload = refuses_overload
        self.learns_run_times = learns_run_times
        self.copies_stragglers = copies_stragglers
        self.data_centres = data_centres
        self.balances_sizes = balances_sizes
