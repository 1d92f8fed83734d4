"""Commands about the numbered configuration."""

from fuchsiatrestle import records

__all__ = ('PatchConfig',)


class PatchConfig(records.Record, tag='patch'):
    """Makes the next configuration version from the one numbered ``base``.

    Attributes:
        base: version that the patch was made for.
        patch_id: identifier chosen by the operator; a resend of the patch with
            the same identifier gets the outcome of the first delivery.
        patch: JSON merge patch (RFC 7396), as bytes.
        author: name of the operator, kept in the history.
    """

    base: int
    patch_id: str
    patch: bytes
    author: str = ''


RECORD_CLASSES = (PatchConfig,)
