"""HTTP server and client, built on h11 and curio.

The server enforces ``Limits`` on what its clients send.

A server::

    server = http.Server(address, handler, http.Limits(body_bytes=65536))
    await server.start()
    ...
    await server.stop(grace_s=30.0)

where ``handler`` has ``async def handle(self, request)`` and returns a
``Response`` or a ``StreamedResponse``. A client::

    client = http.Client(address, timeout_s=2.0)
    response = await client.call('GET', '/health')
    status, value = await client.call_json('POST', '/v1/x', {'a': 1})
"""

from fuchsiatrestle.net import _http_client
from fuchsiatrestle.net import _http_messages
from fuchsiatrestle.net import _http_server

__all__ = (
    'BodyLimits',
    'Client',
    'ClientConnection',
    'Handler',
    'HttpError',
    'JSON_TYPE',
    'Limits',
    'Request',
    'Response',
    'ResponseHead',
    'Server',
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

BodyLimits = _http_messages.BodyLimits
Client = _http_client.Client
ClientConnection = _http_client.ClientConnection
Handler = _http_messages.Handler
HttpError = _http_messages.HttpError
JSON_TYPE = _http_messages.JSON_TYPE
Limits = _http_messages.Limits
Request = _http_messages.Request
Response = _http_messages.Response
ResponseHead = _http_client.ResponseHead
Server = _http_server.Server
StreamedResponse = _http_messages.StreamedResponse
decode_json = _http_messages.decode_json
decode_stored_response = _http_messages.decode_stored_response
encode_json = _http_messages.encode_json
encode_stored_response = _http_messages.encode_stored_response
make_json_response = _http_messages.make_json_response
make_reason_response = _http_messages.make_reason_response
make_refusal_headers = _http_messages.make_refusal_headers
make_retry_after_header = _http_messages.make_retry_after_header
