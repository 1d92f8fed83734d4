"""Commands about claims, by which a keyed request runs at most once."""

from fuchsiatrestle import records

__all__ = (
    'AbandonClaims',
    'Claim',
    'ClaimRequests',
    'FinishClaims',
    'FinishedClaim',
)


class Claim(records.Record, tag='claim'):
    """Claim of one request with an idempotency key.

    Attributes:
        service: name of the service that the request is for.
        key: value of the request's ``Idempotency-Key`` header.
        fingerprint: hash of method, path and body; a request with the same key
            and another fingerprint is refused.
    """

    service: str
    key: str
    fingerprint: bytes


class ClaimRequests(records.Record, tag='claims'):
    """Claims a batch of keys for one entry before it dispatches them.

    Attributes:
        entry: the claiming entry.
        incarnation: incarnation of its process.
        batch: number of the command, which increases with each command of the
            process; a resent batch is recognised by it and claims no further
            keys.
        claims: the claims.
    """

    entry: str
    incarnation: int
    batch: int
    claims: list[Claim]


class FinishedClaim(records.Record, tag='fin'):
    """Result of a claimed request.

    Attributes:
        service: name of the service.
        key: the idempotency key.
        state: ``done``, ``not_run`` (the key can be granted again) or
            ``unknown``.
        status: HTTP status of the answer, 0 if there is none.
        answer: answer to be stored, empty if there is none or it is too large.
    """

    service: str
    key: str
    state: str
    status: int
    answer: bytes = b''


class FinishClaims(records.Record, tag='finish'):
    """Records the results of a batch of claimed requests of one entry.

    Attributes:
        entry: name of the entry.
        incarnation: incarnation of its process.
        claims: the results.
        number: number of the command, from 1, by which a resend is recognised.
            It increases with each such command of the process, which sends the
            next one only after the outcome of this one.  With number 0 the
            ``not_run`` results of the command are ignored.
    """

    entry: str
    incarnation: int
    claims: list[FinishedClaim]
    number: int = 0


class AbandonClaims(records.Record, tag='abandon'):
    """Marks the held claims of an entry process as ``unknown``.

    The leader proposes this command once the process has certainly held no
    configuration lease for the leader's ``ABANDON_AFTER_MS``.  If the process
    is still alive, it may finish the claims afterwards.

    Attributes:
        entry: name of the entry.
        incarnation: incarnation of the process.
    """

    entry: str
    incarnation: int


RECORD_CLASSES = (ClaimRequests, FinishClaims, AbandonClaims)
