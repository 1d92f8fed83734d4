"""Commands about claims, which make a keyed request run at most once."""

from fuchsiatrestle import records

__all__ = (
    'AbandonClaims',
    'Claim',
    'ClaimRequests',
    'FinishClaims',
    'FinishedClaim',
)


class Claim(records.Record, tag='claim'):
    """One request with an idempotency key.

    Attributes:
        service: the service asked.
        key: the caller's ``Idempotency-Key``.
        fingerprint: hash of method, path and body; another fingerprint under
            the same key is refused.
    """

    service: str
    key: str
    fingerprint: bytes


class ClaimRequests(records.Record, tag='claims'):
    """Claims a batch of keys for one entry before it dispatches them.

    Attributes:
        entry: the claiming entry.
        incarnation: its incarnation.
        batch: number unique to the incarnation and growing; a resent batch
            gets the outcome of the first.
        claims: the claims.
    """

    entry: str
    incarnation: int
    batch: int
    claims: list[Claim]


class FinishedClaim(records.Record, tag='fin'):
    """How a claimed request ended.

    Attributes:
        state: ``done``, ``not_run`` (the key is free again) or ``unknown``.
        status: HTTP status answered, zero if none.
        answer: the stored answer when small enough, else empty.
    """

    service: str
    key: str
    state: str
    status: int
    answer: bytes = b''


class FinishClaims(records.Record, tag='finish'):
    """Records how a batch of claimed requests of one entry ended.

    Attributes:
        number: from 1, growing with each such command of the process, which
            sends the next one only after the answer to this one; a resend is
            known by it.  Without a number no key is freed.
    """

    entry: str
    incarnation: int
    claims: list[FinishedClaim]
    number: int = 0


class AbandonClaims(records.Record, tag='abandon'):
    """Marks the unfinished claims of an entry process as ``unknown``.

    The leader proposes it some time after the configuration lease of that
    process ran out.  Should the process be alive after all, it may still
    finish them.
    """

    entry: str
    incarnation: int


KINDS = (ClaimRequests, FinishClaims, AbandonClaims)
