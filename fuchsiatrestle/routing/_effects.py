"""Effects that the routing core asks for."""

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
        connection_id: connection to use; unique to this core.
        fresh: True if it is to be opened first.
        attempt: 1 for the first.
        progress_ms: longest time without a byte of the answer.
        deadline_ms: time at which the exchange must be over.
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
        reason: key of ``REASONS``.
        written: True if the request may have run.
        retry_after_s: for the header, 0 for none.
    """

    request_id: int
    reason: str
    written: bool
    retry_after_s: int


class ReplayAnswer(records.Record):
    """Answer the caller with the stored answer of a finished claim."""

    request_id: int
    status: int
    answer: bytes


class AskClaim(records.Record):
    """Have a claim agreed."""

    request_id: int
    service: str
    key: str
    fingerprint: bytes


class FinishClaim(records.Record):
    """Have the end of a claimed request agreed.

    Attributes:
        state: ``done``, ``not_run`` or ``unknown``.
    """

    service: str
    key: str
    state: str
    status: int = 0
    answer: bytes = b''


class CloseConnections(records.Record):
    """Close idle connections."""

    connection_ids: list[int]


class SendToPeer(records.Record):
    """Send a message to another entry."""

    peer: str
    message: (
        messages.AnnouncementBatch
        | messages.SlotDemand
        | messages.LendSlots
        | messages.ReturnSlots
    )
