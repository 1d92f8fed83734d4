"""Decides when a run is over although no worker has listed its end.

The end of a run rests on a proof.  A worker that does not answer, an order or
an acknowledgement whose answer is lost, a list that may be incomplete and the
passing of a fixed time prove nothing: the run may be executing, and its task
must not be started again.
"""

__all__ = ('Proof', 'find_proof_by_lease')


class Proof:
    """What proves that a run is over; the reason that is recorded with it."""

    # All leases that its worker was given have ended on the worker's clock.
    LEASE_OVER = 'lease_over'


def find_proof_by_lease(worker, now_ms):
    """Returns the ``Proof`` that a worker executes no run any more, or None.

    The lease of a worker that replies is extended, so only the lease of a
    worker that does not can be over.  The announcement that its process will
    end is no proof: the process may run on until it is acknowledged.

    Args:
        worker: the ``Worker``.
        now_ms: monotonic time.
    """
    if worker.unanswered_orders and worker.lease_clock.has_surely_expired(
        now_ms
    ):
        return Proof.LEASE_OVER
    return None
