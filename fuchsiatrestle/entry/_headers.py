"""Selection of the headers that an entry forwards to callers and upstreams."""

__all__ = ('DEADLINE_HEADER', 'OUTCOME_HEADER', 'select_end_to_end_headers')

OUTCOME_HEADER = b'fuchsiatrestle-outcome'
DEADLINE_HEADER = b'fuchsiatrestle-deadline-ms'

_HOP_BY_HOP_NAMES = frozenset(
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


def _list_connection_header_names(headers):
    """Returns the lower-case header names that ``Connection`` headers list."""
    return {
        listed_name.strip().lower()
        for name, value in headers
        if name == b'connection'
        for listed_name in value.split(b',')
    }


def select_end_to_end_headers(headers, kept_names=()):
    """Returns the headers that may be forwarded on another connection.

    Headers that concern only the connection on which they were received are
    left out: the hop-by-hop headers of HTTP, those that ``Connection`` lists,
    and ``content-length``, which the sender of a message adds itself.

    Args:
        headers: pairs of lower-case name and value, both bytes, as received.
        kept_names: lower-case names that are forwarded in spite of this rule.

    Returns:
        List of the remaining pairs in their order.
    """
    dropped_names = (
        _HOP_BY_HOP_NAMES | _list_connection_header_names(headers)
    ) - set(kept_names)
    return [header for header in headers if header[0] not in dropped_names]
