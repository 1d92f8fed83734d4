"""HTTP requests, responses and limits as the rest of the package sees them."""

import abc
import http

import msgspec

from fuchsiatrestle import errors

__all__ = (
    'Handler',
    'HttpFailed',
    'JSON_TYPE',
    'Limits',
    'Request',
    'Response',
    'StreamedResponse',
    'decode_answer',
    'decode_json',
    'encode_answer',
    'encode_json',
    'json_response',
    'reason_response',
    'retry_after',
)

JSON_TYPE = (b'content-type', b'application/json')


class HttpFailed(errors.Error):
    """An HTTP exchange with a peer broke off."""


class Limits:
    """Bounds on what a client of a server may send or hold.

    Attributes:
        head_bytes: request line and headers.
        body_bytes: request body.
        head_s: time for a whole head, from its first byte.
        body_s: time for a whole body, from the end of the head.
        idle_s: time a connection is kept open between two requests.
        write_s: longest time a client may accept no byte of an answer.
        connections: open connections; more are answered 503.
    """

    __slots__ = (
        'body_bytes',
        'body_s',
        'connections',
        'head_bytes',
        'head_s',
        'idle_s',
        'write_s',
    )

    def __init__(
        self,
        *,
        head_bytes=16384,
        body_bytes=1048576,
        head_s=5.0,
        body_s=10.0,
        idle_s=60.0,
        write_s=10.0,
        connections=2000,
    ):
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_s = head_s
        self.body_s = body_s
        self.idle_s = idle_s
        self.write_s = write_s
        self.connections = connections


class Request:
    """A request whose body has been received whole.

    Attributes:
        method: upper-case method, text.
        target: request target as sent, text.
        headers: ``(name, value)`` pairs of bytes, names in lower case.
        body: the body, bytes.
    """

    __slots__ = ('body', 'headers', 'method', 'target')

    def __init__(self, method, target, headers=(), body=b''):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self):
        """The target up to its query."""
        return self.target.partition('?')[0]

    @property
    def query(self):
        """The target after its first question mark, or the empty text."""
        return self.target.partition('?')[2]

    def header(self, name, default=''):
        """Returns the first value of a header, as text.

        Args:
            name: header name in lower case, bytes.
            default: returned when the header is absent.
        """
        for key, value in self.headers:
            if key == name:
                return value.decode('latin-1')
        return default


class Response:
    """A response that is known whole.

    Attributes:
        status: HTTP status.
        headers: ``(name, value)`` pairs of bytes, names in lower case; the
            length is added unless it is there.
        body: the body, bytes.
    """

    __slots__ = ('body', 'headers', 'status')

    def __init__(self, status, headers=(), body=b''):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def needs_length(self):
        """True if the server has to add the length of the body."""
        if self.status in (204, 304):
            return False
        return all(name != b'content-length' for name, _ in self.headers)


class StreamedResponse:
    """A response whose body is still arriving.

    Attributes:
        status: HTTP status.
        headers: ``(name, value)`` pairs of bytes, framing included when the
            length is known.
        chunks: asynchronous iterator of bytes with an ``aclose`` method.
            If it raises, the server
            aborts the connection, so that the body never looks complete.
        until_s: monotonic time in seconds at which the client must have
            taken everything, or the connection is aborted; None for none.
    """

    __slots__ = ('chunks', 'headers', 'status', 'until_s')

    def __init__(self, status, headers, chunks, until_s=None):
        self.status = status
        self.headers = headers
        self.chunks = chunks
        self.until_s = until_s


class Handler(abc.ABC):
    """Answers the requests of a server."""

    @abc.abstractmethod
    async def handle(self, request):
        """Returns a ``Response`` or ``StreamedResponse``.

        The call is cancelled when the client hangs up.

        Args:
            request: the ``Request``.
        """


def retry_after(delay_s):
    """Returns the header that tells a client when to come again."""
    return b'retry-after', b'%d' % delay_s


def encode_json(value):
    """Returns ``value`` as JSON, bytes."""
    return msgspec.json.encode(value)


def decode_json(data):
    """Returns the value of JSON bytes.

    Raises:
        HttpFailed: the bytes are not JSON.
    """
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise HttpFailed('bad_json', step='decode_json') from exc


class _StoredAnswer(msgspec.Struct, array_like=True):
    headers: list[tuple[bytes, bytes]]
    body: bytes


_STORED = msgspec.msgpack.Decoder(_StoredAnswer)


def encode_answer(response):
    """Returns headers and body of a ``Response`` as bytes to be stored."""
    headers = [(bytes(name), bytes(value)) for name, value in response.headers]
    return msgspec.msgpack.encode(_StoredAnswer(headers, response.body))


def decode_answer(status, data):
    """Returns the ``Response`` whose headers and body were stored."""
    stored = _STORED.decode(data)
    return Response(status, stored.headers, stored.body)


def json_response(status, value, headers=()):
    """Returns a ``Response`` whose body is ``value`` as JSON."""
    return Response(status, [JSON_TYPE, *headers], encode_json(value))


def reason_response(status, reason, detail='', headers=()):
    """Returns the JSON refusal ``{"reason": ..., "detail": ...}``."""
    detail = detail or http.HTTPStatus(status).phrase
    value = {'reason': reason, 'detail': detail}
    return json_response(status, value, headers)
