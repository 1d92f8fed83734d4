"""Tests of the HTTP server with the HTTP client and with raw sockets."""

import socket
import time
import unittest

import curio

from fuchsiatrestle.net import http
from fuchsiatrestle import settings
from tests.fakes import ports

LIMITS = http.Limits(
    head_bytes=2048, body_bytes=4096, head_s=0.3, body_s=0.3, idle_s=5.0
)

# Time for which a request waits in the socket before it is read.
UNREAD_S = 0.5


class _TestHandler(http.Handler):
    """Echoes method and body size; some paths wait, raise or cut the body."""

    def __init__(self):
        self.cancelled_calls = 0
        self.last_request = None
        self.release_event = curio.Event()

    async def handle(self, request):
        self.last_request = request
        if request.path == '/wait':
            try:
                await self.release_event.wait()
            except curio.CancelledError:
                self.cancelled_calls += 1
                raise
        if request.path == '/fail':
            raise ValueError('handler fault')
        if request.path == '/cut':
            return http.StreamedResponse(
                200, [(b'content-length', b'100')], self._yield_partial_body()
            )
        json_body = {'method': request.method, 'size': len(request.body)}
        return http.make_json_response(200, json_body)

    async def _yield_partial_body(self):
        yield b'part'
        raise http.HttpError('peer_closed', step='read_body')


# Bytes sent, and the status and reason of the response, by case.
INVALID_REQUESTS = {
    'garbage': (b'\x00\x01garbage\r\n\r\n', 400, 'malformed_request'),
    'no host': (b'GET / HTTP/1.1\r\n\r\n', 400, 'malformed_request'),
    'large head': (
        b'GET / HTTP/1.1\r\nhost: a\r\nx: ' + b'y' * 4096,
        431,
        'head_too_large',
    ),
    'large body': (
        b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5000\r\n\r\n',
        413,
        'body_too_large',
    ),
    'large chunked body': (
        b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
        b'1388\r\n' + b'z' * 5000 + b'\r\n0\r\n\r\n',
        413,
        'body_too_large',
    ),
    'bad length': (
        b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n',
        400,
        'malformed_request',
    ),
    'slow head': (b'GET / HTTP/1.1\r\nho', 408, 'slow_sender'),
    'slow body': (
        b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc',
        408,
        'slow_sender',
    ),
}


async def _read_all(sock):
    received_bytes = b''
    while chunk := await sock.recv(65536):
        received_bytes += chunk
    return received_bytes


class HttpTest(unittest.TestCase):
    def _run(self, scenario):
        (port,) = ports.find_free_ports(1)
        address = settings.Address('127.0.0.1', port)

        async def main():
            handler = _TestHandler()
            server = http.Server(address, handler, LIMITS)
            await server.start()
            await scenario(server, handler, address)
            await server.stop(0.2)

        curio.run(curio.timeout_after, 30, main)

    def test_serves_requests_over_a_persistent_connection(self):
        async def scenario(server, handler, address):
            client = http.Client(address)
            for size in (0, 1, 4096):
                response = await client.call('POST', '/', b'x' * size)
                self.assertEqual(200, response.status)
                value = http.decode_json(response.body)
                self.assertEqual({'method': 'POST', 'size': size}, value)
            self.assertEqual(1, server.open_connection_count)
            response = await client.call('GET', '/fail')
            self.assertEqual(500, response.status)
            client.close()

        self._run(scenario)

    def test_time_of_receipt_is_not_that_of_reading(self):
        async def scenario(server, handler, address):
            with socket.create_connection(
                (address.host, address.port)
            ) as sock:
                sock.sendall(b'GET /wait HTTP/1.1\r\nhost: a\r\n\r\n')
                sent_ms = time.monotonic_ns() // 1000000
                # Blocks the server, too.
                time.sleep(UNREAD_S)
                while handler.last_request is None:
                    await curio.sleep(0.01)
                waited_ms = handler.last_request.received_ms - sent_ms
                await handler.release_event.set()
            self.assertLess(abs(waited_ms), UNREAD_S * 1000 / 2)

        self._run(scenario)

    def test_refuses_invalid_requests_and_serves_others(self):
        async def scenario(server, handler, address):
            client = http.Client(address)
            await client.call('GET', '/')
            for case_name, (
                request_bytes,
                status,
                reason,
            ) in INVALID_REQUESTS.items():
                with self.subTest(case_name):
                    sock = await curio.open_connection(
                        address.host, address.port
                    )
                    await sock.sendall(request_bytes)
                    answer = await _read_all(sock)
                    await sock.close()
                    self.assertIn(b' %d ' % status, answer)
                    self.assertIn(reason.encode(), answer)
                    response = await client.call('GET', '/')
                    self.assertEqual(200, response.status)
            client.close()

        self._run(scenario)

    def test_cancels_the_handler_when_the_client_hangs_up(self):
        async def scenario(server, handler, address):
            sock = await curio.open_connection(address.host, address.port)
            await sock.sendall(b'GET /wait HTTP/1.1\r\nhost: a\r\n\r\n')
            await curio.sleep(0.05)
            await sock.close()
            while not handler.cancelled_calls:
                await curio.sleep(0.02)
            self.assertEqual(0, server.open_connection_count)

        self._run(scenario)

    def test_resets_the_connection_when_a_streamed_body_fails(self):
        async def scenario(server, handler, address):
            sock = await curio.open_connection(address.host, address.port)
            await sock.sendall(b'GET /cut HTTP/1.1\r\nhost: a\r\n\r\n')
            with self.assertRaises(ConnectionResetError):
                await _read_all(sock)
            await sock.close()

        self._run(scenario)

    def test_planned_stop_answers_request_that_was_not_accepted_yet(self):
        async def scenario(server, handler, address):
            await curio.sleep(0.05)
            with socket.create_connection(
                (address.host, address.port)
            ) as sock:
                sock.sendall(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
                await server.stop(1.0)
                sock.settimeout(1)
                self.assertIn(b'200', sock.recv(4096))

        self._run(scenario)

    def test_planned_stop_finishes_requests_in_progress(self):
        async def scenario(server, handler, address):
            client = http.Client(address)
            call_task = await curio.spawn(client.call, 'GET', '/wait')
            await curio.sleep(0.05)
            stop_task = await curio.spawn(server.stop, 20.0)
            await curio.sleep(0.05)
            with self.assertRaises(OSError):
                with socket.create_connection((address.host, address.port)):
                    pass
            await handler.release_event.set()
            response = await call_task.join()
            self.assertEqual(200, response.status)
            self.assertIn((b'connection', b'close'), response.headers)
            await stop_task.join()
            self.assertEqual(0, server.open_connection_count)

        self._run(scenario)
