"""Effects that the routing core has its caller carry out."""

from fuchsiatrestle import messages
from fuchsiatrestle import records

__all__ = (
    'AskClaim',
    'CloseConnections',
    'Dispatch',
    'FinishClaim',
    'Refuse',
    'ReplayAnswer',
    'SendToPeer',
)


class Dispatch(records.Record):
    """Send the request to an upstream.

    Attributes:
        request_id: the request.
        address: ``IP:port`` of the upstream.
        connection_id: number of the connection to use, unique within the
            routing core.
        fresh: True if the connection has to be opened first.
        attempt: number of the attempt, 1 for the first.
        progress_ms: longest time without another byte of the answer.
        deadline_ms: time at which the answer must be complete.
    """

    request_id: int
    address: str
    connection_id: int
    fresh: bool
    attempt: int
    progress_ms: int
    deadline_ms: int


class Refuse(records.Record):
    """Answer the caller with a refusal.

    Attributes:
        request_id: the request.
        reason: key of ``REFUSAL_REASON_BY_NAME``.
        written: True if the request may have run.
        retry_after_s: value of the ``Retry-After`` header, 0 for none.
    """

    request_id: int
    reason: str
    written: bool
    retry_after_s: int


class ReplayAnswer(records.Record):
    """Answer the caller with the stored answer of a finished claim.

    Attributes:
        request_id: the request.
        status: HTTP status of the stored answer.
        answer: the stored answer.
    """

    request_id: int
    status: int
    answer: bytes


class AskClaim(records.Record):
    """Claim an idempotency key through control.

    ``ClaimResolved`` is the answer.

    Attributes:
        request_id: the request.
        service: name of the service.
        key: the caller's ``Idempotency-Key``.
        fingerprint: hash of method, target and body.
        delay_ms: time to wait before.
    """

    request_id: int
    service: str
    key: str
    fingerprint: bytes
    delay_ms: int = 0


class FinishClaim(records.Record):
    """Record through control how a request that holds a claim ended.

    Attributes:
        service: name of the service.
        key: the caller's ``Idempotency-Key``.
        state: ``done``, ``not_run`` or ``unknown``.
        status: HTTP status of the answer, if ``done``.
        answer: the answer to store, if ``done``; empty if too large.
    """

    service: str
    key: str
    state: str
    status: int = 0
    answer: bytes = b''


class CloseConnections(records.Record):
    """Close connections that carry no request.

    Attributes:
        connection_ids: numbers of the connections.
    """

    connection_ids: list[int]


class SendToPeer(records.Record):
    """Send a message to another entry.

    Attributes:
        peer: name of the entry.
        message: the message.
    """

    peer: str
    message: (
        messages.AnnouncementBatch
        | messages.SlotDemand
        | messages.LendSlots
        | messages.ReturnSlots
    )
