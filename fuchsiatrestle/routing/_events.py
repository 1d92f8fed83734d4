"""Events that the routing core handles."""

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
        request_id: number of the request, unique within the routing core.
        service: name of the service.
        idempotent: True if the request may run more than once.
        priority: 0 (first) to 9.
        budget_ms: time that the caller allows, 0 for the service's deadline.
        key: the caller's ``Idempotency-Key``, empty if none.
        fingerprint: hash of method, target and body, empty without a key.
    """

    request_id: int
    service: str
    idempotent: bool
    priority: int = 0
    budget_ms: int = 0
    key: str = ''
    fingerprint: bytes = b''


class RequestDropped(records.Record):
    """The caller has disconnected; its request needs no answer.

    Attributes:
        request_id: the request.
        written: True if any byte of the current attempt was written; its
            connection is then drained until ``ConnectionReleased``.
    """

    request_id: int
    written: bool = False


class ClaimResolved(records.Record):
    """An ``AskClaim`` was answered, or got no answer in time.

    Attributes:
        request_id: the request.
        state: a state of ``outcomes.ClaimAnswer``, or ``unavailable`` if
            control gave no answer in time.
        status: HTTP status of the stored answer.
        answer: the stored answer, empty if none.
    """

    request_id: int
    state: str
    status: int = 0
    answer: bytes = b''


class AttemptEnded(records.Record):
    """An attempt has ended, with a whole answer or without.

    Attributes:
        request_id: the request.
        reason: empty for a whole answer, else why the attempt failed.
        written: True if any byte of the request was written.
        reusable: True if the connection can take another request.
        draining: True if the connection is being drained; its slot stays
            in use until ``ConnectionReleased``.
        refused: True if the upstream answered that it did not run the
            request.
        answer_started: True if a byte of the answer went to the caller.
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
    """The drain of a connection has ended and the connection is closed.

    Attributes:
        address: ``IP:port`` of the upstream.
        connection_id: the connection.
        seen_closed: True if the upstream closed it, which ends its work on
            the request; False if the drain ran out of time.
    """

    address: str
    connection_id: int
    seen_closed: bool


class AnnouncementHeard(records.Record):
    """An upstream sent its announcement to this entry.

    Attributes:
        announcement: the message.
        received_ms: time at which this host received it, which may be long
            before this process reads it.
    """

    announcement: messages.Announcement
    received_ms: int


class PeerSent(records.Record):
    """A message arrived from another entry.

    Attributes:
        peer: name of the sending entry.
        message: the message.
    """

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
    """A planned stop of this entry began; it borrows no more slots."""


class TickPassed(records.Record):
    """Time has passed; sent every ``TICK_MS``."""
