"""Timings of the dispatcher."""

__all__ = ('Timing',)


class Timing:
    """Timings in milliseconds.

    Attributes:
        lease_ms: lease that each look at a worker extends to; it has to
            outlast a change of leader, and a worker that is cut off keeps
            its tasks for as long.
        longest_lease_ms: longest lease that a worker grants.
        look_wait_ms: time for which a look waits for an end.
        busy_look_wait_ms: the same where tasks that fill run beside tasks
            that serve, whose tail latency is then watched.
        announce_ms: interval of the workers' announcements.
    """

    __slots__ = (
        'announce_ms',
        'busy_look_wait_ms',
        'lease_ms',
        'longest_lease_ms',
        'look_wait_ms',
    )

    def __init__(
        self,
        *,
        lease_ms=5900,
        longest_lease_ms=6000,
        look_wait_ms=1000,
        busy_look_wait_ms=500,
        announce_ms=1500,
    ):
        self.lease_ms = min(lease_ms, longest_lease_ms)
        self.longest_lease_ms = longest_lease_ms
        self.look_wait_ms = look_wait_ms
        self.busy_look_wait_ms = busy_look_wait_ms
        self.announce_ms = announce_ms
