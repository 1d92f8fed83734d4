"""Property tests of the HTTP server and client on malformed input.

They guard against input that ends the server, makes it answer 500 or lets the
client take a malformed response for a valid one.
"""

import unittest

import curio
import hypothesis
from hypothesis import strategies

from fuchsiatrestle import errors
from fuchsiatrestle.net import http
from fuchsiatrestle import settings
from tests.fakes import ports

LIMITS = http.Limits(
    head_bytes=512, body_bytes=512, head_s=0.2, body_s=0.2, idle_s=0.2
)
EXAMPLES = 60
CALL_TIMEOUT_S = 2.0

_FRAGMENTS = (
    b'GET / HTTP/1.1\r\n',
    b'POST /x HTTP/1.0\r\n',
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 099 x\r\n',
    b'host: a\r\n',
    b'content-length: 5\r\n',
    b'content-length: 99999999\r\n',
    b'content-length: -3\r\n',
    b'transfer-encoding: chunked\r\n',
    b'transfer-encoding: gzip\r\n',
    b'expect: 100-continue\r\n',
    b'connection: close\r\n',
    b'\r\n',
    b'5\r\nhello\r\n',
    b'0\r\n\r\n',
    b'zz\r\n',
    b'x' * 600,
    b'\x00\xff',
)
BYTE_STREAMS = strategies.lists(
    strategies.one_of(
        strategies.sampled_from(_FRAGMENTS), strategies.binary(max_size=20)
    ),
    min_size=1,
    max_size=8,
).map(b''.join)


class _OkHandler(http.Handler):
    async def handle(self, request):
        return http.Response(200, [], b'ok')


class _FixedReplyServer:
    """Answers the first bytes of each connection with fixed bytes.

    The connection is then closed.
    """

    def __init__(self, reply_bytes):
        self._reply_bytes = reply_bytes

    async def serve(self, sock, _):
        """Serves one connection."""
        await sock.recv(65536)
        await sock.sendall(self._reply_bytes)


def _free_address():
    (port,) = ports.find_free_ports(1)
    return settings.Address('127.0.0.1', port)


async def _send_and_receive(address, request_bytes):
    """Sends raw bytes; returns all bytes received until the peer closes."""
    sock = await curio.open_connection(address.host, address.port)
    received = b''
    try:
        await sock.sendall(request_bytes)
        while chunk := await sock.recv(65536):
            received += chunk
    except ConnectionError:
        return received
    finally:
        await sock.close()
    return received


class MalformedHttpTest(unittest.TestCase):
    @hypothesis.settings(max_examples=EXAMPLES)
    @hypothesis.given(BYTE_STREAMS)
    def test_server_answers_or_closes_and_keeps_serving(self, data):
        async def main():
            address = _free_address()
            server = http.Server(address, _OkHandler(), LIMITS)
            await server.start()
            client = http.Client(address, CALL_TIMEOUT_S)
            await client.call('GET', '/')
            received = await _send_and_receive(address, data)
            if received:
                self.assertTrue(received.startswith(b'HTTP/1.1 '), received)
                self.assertNotIn(b' 500 ', received[:16])
            response = await client.call('GET', '/')
            self.assertEqual(200, response.status)
            client.close()
            await server.stop(0)

        curio.run(curio.timeout_after, 20, main)

    @hypothesis.settings(max_examples=EXAMPLES)
    @hypothesis.given(BYTE_STREAMS)
    def test_client_returns_a_whole_response_or_raises(self, data):
        async def main():
            address = _free_address()
            reply_server = _FixedReplyServer(data)
            server = await curio.spawn(
                curio.tcp_server,
                address.host,
                address.port,
                reply_server.serve,
            )
            await curio.sleep(0.01)
            client = http.Client(address, CALL_TIMEOUT_S)
            try:
                response = await client.call('GET', '/')
                self.assertTrue(data.startswith(b'HTTP/1.1 '))
                self.assertLessEqual(100, response.status)
            except errors.Error as exc:
                self.assertTrue(exc.reason)
            client.close()
            await server.cancel()

        curio.run(curio.timeout_after, 20, main)
