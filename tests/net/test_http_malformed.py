"""Malformed HTTP by Hypothesis, on the server's and the client's side."""

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
CALL_S = 2.0

_TOKENS = (
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
MESSAGES = strategies.lists(
    strategies.one_of(
        strategies.sampled_from(_TOKENS), strategies.binary(max_size=20)
    ),
    min_size=1,
    max_size=8,
).map(b''.join)


class _Echo(http.Handler):
    async def handle(self, request):
        return http.Response(200, [], b'ok')


class _Raw:
    """A server that answers anything with fixed bytes and closes."""

    def __init__(self, data):
        self._data = data

    async def serve(self, sock, _):
        """Answers one connection."""
        await sock.recv(65536)
        await sock.sendall(self._data)


def _address():
    (port,) = ports.free_ports(1)
    return settings.Address('127.0.0.1', port)


async def _exchange(address, data):
    """Sends raw bytes; returns all that comes back."""
    sock = await curio.open_connection(address.host, address.port)
    received = b''
    try:
        await sock.sendall(data)
        while piece := await sock.recv(65536):
            received += piece
    except ConnectionError:
        return received
    finally:
        await sock.close()
    return received


class MalformedHttpTest(unittest.TestCase):
    @hypothesis.settings(max_examples=EXAMPLES)
    @hypothesis.given(MESSAGES)
    def test_server_answers_or_closes_and_serves_on(self, data):
        async def main():
            address = _address()
            server = http.Server(address, _Echo(), LIMITS)
            await server.start()
            client = http.Client(address, CALL_S)
            await client.call('GET', '/')
            received = await _exchange(address, data)
            if received:
                self.assertTrue(received.startswith(b'HTTP/1.1 '), received)
                self.assertNotIn(b' 500 ', received[:16])
            response = await client.call('GET', '/')
            self.assertEqual(200, response.status)
            client.close()
            await server.stop(0)

        curio.run(curio.timeout_after, 20, main)

    @hypothesis.settings(max_examples=EXAMPLES)
    @hypothesis.given(MESSAGES)
    def test_client_gets_a_whole_answer_or_an_error(self, data):
        async def main():
            address = _address()
            raw = _Raw(data)
            server = await curio.spawn(
                curio.tcp_server, address.host, address.port, raw.serve
            )
            await curio.sleep(0.01)
            client = http.Client(address, CALL_S)
            try:
                response = await client.call('GET', '/')
                self.assertTrue(data.startswith(b'HTTP/1.1 '))
                self.assertLessEqual(100, response.status)
            except errors.Error as exc:
                self.assertTrue(exc.reason)
            client.close()
            await server.cancel()

        curio.run(curio.timeout_after, 20, main)
