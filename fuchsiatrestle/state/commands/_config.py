"""Commands about the numbered configuration."""

from fuchsiatrestle import records

__all__ = ('PatchConfig',)


class PatchConfig(records.Record, tag='patch'):
    """Makes the next configuration version from the one numbered ``base``.

    Attributes:
        base: version the patch builds on.
        patch_id: chosen by the operator; a resend gives the first outcome.
        patch: JSON merge patch (RFC 7396), as bytes.
        author: operator's name, kept in the history.
    """

    base: int
    patch_id: str
    patch: bytes
    author: str = ''


KINDS = (PatchConfig,)
