"""Headers that an entry passes on between callers and upstreams."""

__all__ = ('DEADLINE_HEADER', 'OUTCOME_HEADER', 'end_to_end')

OUTCOME_HEADER = b'fuchsiatrestle-outcome'
DEADLINE_HEADER = b'fuchsiatrestle-deadline-ms'

_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


def _named_by_connection(headers):
    """Returns the lower-case names that ``Connection`` headers list."""
    return {
        word.strip().lower()
        for name, value in headers
        if name == b'connection'
        for word in value.split(b',')
    }


def end_to_end(headers, kept=()):
    """Returns the headers that concern more than one connection.

    Args:
        headers: pairs of lower-case name and value, as received.
        kept: names to keep although they concern one connection.
    """
    dropped = (_HOP_BY_HOP | _named_by_connection(headers)) - set(kept)
    return [item for item in headers if item[0] not in dropped]
