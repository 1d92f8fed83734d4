"""Requests, responses, limits and the handler interface of HTTP."""

import abc
import http

import msgspec

from fuchsiatrestle import errors

__all__ = (
    'BodyLimits',
    'Handler',
    'HttpError',
    'JSON_TYPE',
    'Limits',
    'Request',
    'Response',
    'StreamedResponse',
    'decode_json',
    'decode_stored_response',
    'encode_json',
    'encode_stored_response',
    'make_json_response',
    'make_reason_response',
    'make_refusal_headers',
    'make_retry_after_header',
)

JSON_TYPE = (b'content-type', b'application/json')
# States in a refusal that the request had no effect.
NOT_RUN_HEADER = (b'fuchsiatrestle-outcome', b'not-run')
# Retry-After of the refusals of the server itself.
REFUSAL_RETRY_S = 1


class HttpError(errors.Error):
    """An HTTP call got no valid, complete response, or a body is not JSON."""


class BodyLimits:
    """Limits on the body of a request.

    Attributes:
        byte_count: maximum size in bytes.
        json_values: maximum number of values of a JSON body; None for bodies
            that are not decoded here.
    """

    __slots__ = ('byte_count', 'json_values')

    def __init__(self, byte_count, json_values=None):
        self.byte_count = byte_count
        self.json_values = json_values


class Limits:
    """Limits on size, duration and number of what clients of a server send.

    Attributes:
        head_bytes: maximum size of request line and headers together.
        body_bytes: maximum size of a request body.
        head_s: time limit in seconds for receiving a head, from its first
            byte; on a new connection, from its acceptance.
        body_s: time limit in seconds for receiving a body, from the end of
            the head.
        idle_s: time in seconds that a connection is kept open between two
            requests.
        write_s: time in seconds after which a connection is reset if the
            client accepts no byte of a response.
        connections: maximum number of open connections; further ones are
            answered with status 503 and closed.
        connections_per_address: maximum number of open connections from one
            address; further ones are answered with status 429 and closed.
        head_fields: maximum number of fields of a head.
        pipelined: maximum number of requests that a client may have sent
            beyond the one that is received.
        min_rate: lowest average rate in bytes a second at which a client
            sends a body, after ``RATE_GRACE_S``, and accepts a response,
            after ``write_s``.
        json_values: maximum number of values of a JSON body; None for a
            server that does not decode bodies.
        json_depth: maximum nesting of a JSON body.
        handling_factor: memory that a request takes while it is handled, as
            a multiple of the size of its body.
        body_limits_by_call: ``BodyLimits`` by (method, path), for calls whose
            bodies have other limits than ``body_bytes`` and ``json_values``.
    """

    __slots__ = (
        '_body_limits',
        'body_bytes',
        'body_limits_by_call',
        'body_s',
        'connections',
        'connections_per_address',
        'handling_factor',
        'head_bytes',
        'head_fields',
        'head_s',
        'idle_s',
        'json_depth',
        'min_rate',
        'pipelined',
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
        connections=1000,
        connections_per_address=500,
        head_fields=100,
        pipelined=32,
        min_rate=1024,
        json_values=None,
        json_depth=32,
        handling_factor=2,
        body_limits_by_call=None,
    ):
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_s = head_s
        self.body_s = body_s
        self.idle_s = idle_s
        self.write_s = write_s
        self.connections = connections
        self.connections_per_address = connections_per_address
        self.head_fields = head_fields
        self.pipelined = pipelined
        self.min_rate = min_rate
        self.json_depth = json_depth
        self.handling_factor = handling_factor
        self.body_limits_by_call = body_limits_by_call or {}
        self._body_limits = BodyLimits(body_bytes, json_values)

    def find_body_limits(self, method, target):
        """Returns the ``BodyLimits`` of a request.

        Args:
            method: upper-case method, text.
            target: request target, text.
        """
        if not self.body_limits_by_call:
            return self._body_limits
        path = target.partition('?')[0]
        return self.body_limits_by_call.get((method, path), self._body_limits)


class Request:
    """A request with its complete body.

    Attributes:
        method: upper-case method, text.
        target: request target as sent, text.
        headers: ``(name, value)`` pairs of bytes, names in lower case.
        body: the body, bytes.
        received_ms: monotonic time in whole milliseconds at which this host
            received the end of the request, which may be long before this
            process reads it; 0 if unknown.
    """

    __slots__ = ('body', 'headers', 'method', 'received_ms', 'target')

    def __init__(self, method, target, headers=(), body=b'', received_ms=0):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.received_ms = received_ms

    @property
    def path(self):
        """The target up to its first question mark."""
        return self.target.partition('?')[0]

    @property
    def query(self):
        """The target after its first question mark, or the empty text."""
        return self.target.partition('?')[2]

    def get_header(self, name, default=''):
        """Returns the first value of a header, as text.

        Args:
            name: header name in lower case, bytes.
            default: returned when the header is absent.
        """
        for header_name, header_value in self.headers:
            if header_name == name:
                return header_value.decode('latin-1')
        return default


class Response:
    """A response with its complete body.

    Attributes:
        status: HTTP status.
        headers: ``(name, value)`` pairs of bytes, names in lower case; the
            server adds Content-Length if it is missing.
        body: the body, bytes.
    """

    __slots__ = ('body', 'headers', 'status')

    def __init__(self, status, headers=(), body=b''):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def needs_length(self):
        """True if the server has to add the Content-Length header.

        Responses of status 204 and 304 have no body and need none.
        """
        if self.status in (204, 304):
            return False
        return all(name != b'content-length' for name, _ in self.headers)


class StreamedResponse:
    """A response whose body is sent piece by piece as it becomes available.

    Attributes:
        status: HTTP status.
        headers: ``(name, value)`` pairs of bytes, which include
            Content-Length if the length is known.
        chunks: asynchronous iterator of bytes with an ``aclose`` method.
            If it raises an ``errors.Error``, the server resets the
            connection, so that the client never mistakes the part that it
            received for the complete body.
        body_deadline_s: monotonic time in seconds. If bytes of the body wait
            after it for the client to accept them, the connection is reset.
            None for no limit.
    """

    __slots__ = ('body_deadline_s', 'chunks', 'headers', 'status')

    def __init__(self, status, headers, chunks, body_deadline_s=None):
        self.status = status
        self.headers = headers
        self.chunks = chunks
        self.body_deadline_s = body_deadline_s


class Handler(abc.ABC):
    """Computes the response to each request of a server."""

    @abc.abstractmethod
    async def handle(self, request):
        """Returns the ``Response`` or ``StreamedResponse`` to a request.

        The call is cancelled when the client disconnects. If it raises, the
        client is sent status 500; after an ``errors.InvariantBreach`` the
        connection is closed without a response.

        Args:
            request: the ``Request``.
        """


def make_retry_after_header(delay_s):
    """Returns the Retry-After header, a ``(name, value)`` pair of bytes.

    Args:
        delay_s: delay in whole seconds.
    """
    return b'retry-after', b'%d' % delay_s


def make_refusal_headers(status):
    """Returns the headers of a refusal of a request that was not run.

    Args:
        status: HTTP status; with 429 and 503 the client is told to retry.
    """
    headers = [NOT_RUN_HEADER]
    if status in (429, 503):
        headers.append(make_retry_after_header(REFUSAL_RETRY_S))
    return headers


def encode_json(value):
    """Returns the JSON encoding of a value, bytes."""
    return msgspec.json.encode(value)


def decode_json(data):
    """Returns the value that JSON bytes encode.

    Raises:
        HttpError: the bytes are not JSON or are nested too deeply.
    """
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise HttpError('bad_json', step='decode_json') from exc


class _StoredResponse(msgspec.Struct, array_like=True):
    """Headers and body of a response, for ``encode_stored_response``."""

    headers: list[tuple[bytes, bytes]]
    body: bytes


_STORED_RESPONSE_DECODER = msgspec.msgpack.Decoder(_StoredResponse)


def encode_stored_response(response):
    """Returns the headers and body of a ``Response`` as bytes for storage.

    The status is stored separately by the caller.
    """
    headers = [(bytes(name), bytes(value)) for name, value in response.headers]
    return msgspec.msgpack.encode(_StoredResponse(headers, response.body))


def decode_stored_response(status, stored_bytes):
    """Returns the ``Response`` that ``encode_stored_response`` encoded.

    Args:
        status: HTTP status.
        stored_bytes: bytes that ``encode_stored_response`` returned.

    Raises:
        msgspec.DecodeError: the bytes are damaged.
    """
    stored = _STORED_RESPONSE_DECODER.decode(stored_bytes)
    return Response(status, stored.headers, stored.body)


def make_json_response(status, json_body, headers=()):
    """Returns a ``Response`` whose body is a value encoded as JSON."""
    return Response(status, [JSON_TYPE, *headers], encode_json(json_body))


def make_reason_response(status, reason, detail='', headers=()):
    """Returns an error response ``{"reason": ..., "detail": ...}`` as JSON.

    Args:
        status: HTTP status.
        reason: machine-readable reason.
        detail: explanation for people; the phrase of the status by default.
        headers: further ``(name, value)`` pairs of bytes.
    """
    detail = detail or http.HTTPStatus(status).phrase
    json_body = {'reason': reason, 'detail': detail}
    return make_json_response(status, json_body, headers)
