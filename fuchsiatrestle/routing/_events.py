"""Events that the routing core takes."""

from fuchsiatrestle import messages
from fuchsiatrestle import records

__all__ = (
    'AnnouncementHeard',
    'AttemptEnded',
    'ClaimResolved',
    'ConfigurationGranted',
    'ConnectionReleased',
    'PeerSent',
    'RequestArrived',
    'RequestDropped',
    'StopStarted',
    'TickPassed',
)

PEER_MESSAGES = (
    messages.AnnouncementBatch,
    messages.SlotDemand,
    messages.LendSlots,
    messages.ReturnSlots,
)


class RequestArrived(records.Record):
    """A caller's request has been received whole.

    Attributes:
        request_id: number unique to this core.
        service: name of the service.
        idempotent: True if it may run more than once.
        priority: 0 (first) to 9.
        budget_ms: time the caller gives it, 0 for the service's deadline.
        key: the caller's ``Idempotency-Key``, empty if none.
        fingerprint: hash of method, target and body, with a key.
    """

    request_id: int
    service: str
    idempotent: bool
    priority: int = 0
    budget_ms: int = 0
    key: str = ''
    fingerprint: bytes = b''


class RequestDropped(records.Record):
    """The caller has gone; nothing more is wanted for the request.

    Attributes:
        written: True if any byte of the current attempt went out; its
            connection is then being drained until ``ConnectionReleased``.
    """

    request_id: int
    written: bool = False


class ClaimResolved(records.Record):
    """The answer to ``AskClaim``.

    Attributes:
        state: a state of ``outcomes.ClaimAnswer``, or ``unavailable`` if
            control gave no answer in time.
        status: status of the stored answer.
        answer: stored answer.
    """

    request_id: int
    state: str
    status: int = 0
    answer: bytes = b''


class AttemptEnded(records.Record):
    """An attempt is over.

    Attributes:
        reason: empty for a whole answer, else a retry reason.
        written: True if any byte of the request went out.
        reusable: True if the connection can take another request.
        draining: True if the connection is being drained; its slot stays
            in use until ``ConnectionReleased``.
        refused: True if the upstream said itself that it did not run it.
        answer_started: True once a byte of the answer went to the caller.
        status: HTTP status of the answer.
        answer: the answer as a claim stores it, empty if too large.
    """

    request_id: int
    reason: str
    written: bool
    reusable: bool = False
    draining: bool = False
    refused: bool = False
    answer_started: bool = False
    status: int = 0
    answer: bytes = b''


class ConnectionReleased(records.Record):
    """A drained connection has been closed.

    Attributes:
        seen_closed: True if the upstream closed it, which ends its work on
            the request; False if the drain ran out of time.
    """

    address: str
    connection_id: int
    seen_closed: bool


class AnnouncementHeard(records.Record):
    """An upstream announced itself to this entry."""

    announcement: messages.Announcement


class PeerSent(records.Record):
    """A message came from another entry."""

    peer: str
    message: (
        messages.AnnouncementBatch
        | messages.SlotDemand
        | messages.LendSlots
        | messages.ReturnSlots
    )


class ConfigurationGranted(records.Record):
    """A configuration lease was granted.

    Attributes:
        version: version that the lease is for.
        until_ms: time at which the lease ends.
        document: JSON of the version.
    """

    version: int
    until_ms: int
    document: bytes


class StopStarted(records.Record):
    """A planned stop began: borrow no more and give back."""


class TickPassed(records.Record):
    """Time has passed; due every ``TICK_MS``."""
