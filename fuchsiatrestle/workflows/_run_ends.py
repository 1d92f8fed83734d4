"""Decides when a run is over although no worker has listed its end.

The end of a run rests on a proof.  A worker that does not answer, an order or
an acknowledgement whose answer is lost, a list that may be incomplete and the
passing of a fixed time prove nothing: the run may be executing, and its task
must not be started again.
"""

from fuchsiatrestle.workflows import _clock
from fuchsiatrestle.workflows import _runs

__all__ = (
    'Proof',
    'find_proof_by_birth',
    'find_proof_by_lease',
    'find_proof_by_list',
    'find_proof_by_restart',
    'find_proof_of_no_start',
    'is_whole_list',
    'may_still_start',
    'proves_never_ran',
)


class Proof:
    """What proves that a run is over; the reason that is recorded with it."""

    # No start order was sent for it.
    NEVER_SENT = 'never_sent'
    # The worker's process refused the only start order.
    REFUSED = 'refused'
    # The worker accepted its start, and its process lists it neither as
    # running nor as ended.
    NOT_THERE = 'not_there'
    # The same after the worker accepted its stop; it refuses the start now.
    STOPPED_UNSTARTED = 'stopped_unstarted'
    # A list lacks it whose worker refuses all start orders for it by now, as
    # the leases in them have ended.
    START_TOO_LATE = 'start_too_late'
    # The process that listed it, or was alive after the last start order for
    # it had arrived, is followed by another one.
    WORKER_REBORN = 'worker_reborn'
    # Another worker answers at the address of its worker.
    OTHER_WORKER_THERE = 'other_worker_there'
    # All leases that its worker was given have ended on the worker's clock.
    LEASE_OVER = 'lease_over'


# Proofs that a run has not executed at all.
_NEVER_RAN_PROOFS = (Proof.NEVER_SENT, Proof.REFUSED)


def proves_never_ran(proof):
    """True if a proof shows that the run has not executed at all.

    Args:
        proof: the ``Proof`` that the run is over.
    """
    return proof in _NEVER_RAN_PROOFS


def may_still_start(run):
    """True if a start order may still reach the worker.

    Args:
        run: the ``Run``.
    """
    return run.start_uncertain or run.adopted or run.is_start_pending


def find_proof_of_no_start(run):
    """Returns the ``Proof`` that a run has not started and will not, or None.

    Args:
        run: the ``Run``, whose placement is agreed.
    """
    if run.phase != _runs.Phase.STARTING or may_still_start(run):
        return None
    if run.start_sent_ms is None:
        return Proof.NEVER_SENT
    return Proof.REFUSED


def find_proof_by_list(worker, run, reply):
    """Returns the ``Proof`` by a list that lacks a run and its end, or None.

    A list cut at the worker's limit, or of another process, proves nothing.

    Args:
        worker: the ``Worker``.
        run: the ``Run``.
        reply: ``Reply`` to the newest poll of the worker.
    """
    if not is_whole_list(worker, reply):
        return None
    polled_ms = worker.poll_sent_ms
    if run.stopped_ms is not None and run.stopped_ms < polled_ms:
        return Proof.STOPPED_UNSTARTED
    if _are_starts_too_late(worker, run, reply):
        return Proof.START_TOO_LATE
    if may_still_start(run):
        return None
    if run.started_ms is not None and run.started_ms < polled_ms:
        return Proof.NOT_THERE
    return None


def _are_starts_too_late(worker, run, reply):
    """True if the worker refused all start orders for a run at its reply.

    It refuses those of earlier leaders once it has accepted a poll of this
    one, and others once its clock has passed the leases that they name.

    Args:
        worker: the ``Worker``.
        run: the ``Run``.
        reply: ``Reply`` to the newest poll of the worker's present process.
    """
    lease_ends_ms = [
        lease_end_ms
        for lease_end_ms in (run.start_lease_end_ms, run.earlier_lease_end_ms)
        if lease_end_ms is not None
    ]
    if not lease_ends_ms or reply.clock_ms is None:
        return False
    if run.adopted and not worker.has_seen_token:
        return False
    last_start_ms = max(lease_ends_ms) + _clock.CLOCK_ROUNDING_MARGIN_MS
    return reply.clock_ms > last_start_ms


def is_whole_list(worker, reply):
    """True if a reply lists all runs and ends of a worker's present process.

    Args:
        worker: the ``Worker``.
        reply: ``Reply`` to a poll.
    """
    return reply.is_complete and reply.born_ms == worker.record.born_ms


def find_proof_by_restart(ended_worker, run):
    """Returns the ``Proof`` by a later process of the worker, or None.

    An accepted start does not tell which process accepted it.  The run ended
    with the earlier process only if that process has listed it and no start
    order is under way, or if all start orders had arrived while that process
    was alive.

    Args:
        ended_worker: ``Worker`` of the earlier process.
        run: the ``Run`` on it.
    """
    if not may_still_start(run):
        if run.start_sent_ms is None:
            return Proof.NEVER_SENT
        if run.is_listed:
            return Proof.WORKER_REBORN
    if _outlived_starts(ended_worker, run):
        return Proof.WORKER_REBORN
    return None


def _outlived_starts(ended_worker, run):
    """True if a process was alive after all start orders had arrived."""
    alive_until_ms = ended_worker.life_signs.alive_until_ms
    return (
        alive_until_ms is not None
        and run.starts_over_ms is not None
        and run.starts_over_ms <= alive_until_ms
        and not ended_worker.awaits_start(run.key)
    )


def find_proof_by_birth(worker, run):
    """Returns the ``Proof`` by the start of the present process, or None.

    The run was placed on an earlier process.  If the present one started after
    all start orders had arrived, it never got one.

    Args:
        worker: the ``Worker`` of the present process.
        run: the ``Run``, which has not been listed by it.
    """
    born_after_ms = worker.life_signs.born_after_ms
    if (
        run.live_run.born_ms == worker.record.born_ms
        or run.phase == _runs.Phase.PLACED
        or run.is_listed
        or run.starts_over_ms is None
        or born_after_ms is None
        or worker.awaits_start(run.key)
    ):
        return None
    if run.starts_over_ms <= born_after_ms:
        return Proof.WORKER_REBORN
    return None


def find_proof_by_lease(worker, run, now_ms):
    """Returns the ``Proof`` by the lease of a worker, or None.

    The lease of a worker that accepts polls is extended, so only the lease of
    one that does not can be over.  The announcement that its process will
    end is no proof: the process may run on until it is acknowledged.

    A start order for an earlier process may reach the present one at any time
    until the lease that the order names has ended on the present one's clock,
    unless the present one has accepted the stop of the run and refuses it.

    Args:
        worker: the ``Worker``.
        run: the ``Run``.
        now_ms: monotonic time.
    """
    lease_clock = worker.lease_clock
    if not worker.is_unresponsive:
        return None
    if not lease_clock.has_surely_expired(now_ms):
        return None
    may_start_late = (
        run.earlier_lease_end_ms is not None and run.stopped_ms is None
    )
    if may_start_late and not lease_clock.has_passed(
        run.earlier_lease_end_ms, now_ms
    ):
        return None
    return Proof.LEASE_OVER
