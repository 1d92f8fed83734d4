"""Tests of the limits of the HTTP server on clients that misuse it.

They guard against a limit that is not enforced, and against one that ends a
request which is being handled.
"""

import socket
import unittest

import curio

from fuchsiatrestle.net import _http_connection
from fuchsiatrestle.net import _memory_budget
from fuchsiatrestle.net import http
from fuchsiatrestle import settings
from tests.fakes import ports

BUDGET_BYTES = 90000
BODY_BYTES = 20000
POST = b'POST /%s HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n'
GET = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
STOPPED = POST % (b'', BODY_BYTES) + b' ' * (BODY_BYTES - 1)
MANY_FIELDS = b'GET / HTTP/1.1\r\nhost: a\r\n' + b'x: y\r\n' * 30 + b'\r\n'
DEEP = b'[' * 20 + b']' * 20
MANY_VALUES = b'[' + b'0,' * 3000 + b'0]'


class _Handler(http.Handler):
    """Echoes the size of the body; ``/wait`` waits until it is released."""

    def __init__(self):
        self.release_event = curio.Event()

    async def handle(self, request):
        if request.path == '/wait':
            await self.release_event.wait()
        if request.path == '/large':
            return http.Response(200, [], b'x' * 10000000)
        return http.make_json_response(200, {'size': len(request.body)})


def _make_limits(**limits):
    return http.Limits(
        body_bytes=BODY_BYTES,
        head_fields=20,
        pipelined=4,
        json_values=1000,
        json_depth=16,
        **limits,
    )


async def _receive(sock):
    """Returns what is received until the server closes or resets."""
    received_bytes = b''
    try:
        while chunk := await sock.recv(65536):
            received_bytes += chunk
    except ConnectionResetError:
        pass
    return received_bytes


class LimitsTest(unittest.TestCase):
    def _run(self, scenario, **limits):
        (port,) = ports.find_free_ports(1)
        self.address = settings.Address('127.0.0.1', port)
        self.budget = _memory_budget.MemoryBudget(BUDGET_BYTES)

        async def main():
            self.handler = _Handler()
            self.server = http.Server(
                self.address,
                self.handler,
                _make_limits(**limits),
                budget=self.budget,
            )
            await self.server.start()
            await scenario()
            await self.server.stop(0)
            self.assertEqual(0, self.budget.used_bytes)

        curio.run(curio.timeout_after, 30, main)

    async def _open(self, data=b''):
        sock = await curio.open_connection(
            self.address.host, self.address.port
        )
        await sock.sendall(data)
        return sock

    async def _assert_refused(self, data, status, reason):
        async with await self._open(data) as sock:
            received_bytes = await _receive(sock)
        self.assertIn(b' %d ' % status, received_bytes)
        self.assertIn(reason, received_bytes)
        self.assertIn(b'fuchsiatrestle-outcome: not-run', received_bytes)
        if status in (429, 503):
            self.assertIn(b'retry-after: 1', received_bytes)

    async def _assert_serves(self):
        client = http.Client(self.address)
        self.assertEqual(200, (await client.call('GET', '/')).status)
        client.close()

    def test_requests_beyond_a_limit_are_refused(self):
        async def scenario():
            for data, status, reason in (
                (MANY_FIELDS, 431, b'too_many_fields'),
                (GET * 20, 429, b'too_many_pipelined'),
                (POST % (b'', len(DEEP)) + DEEP, 413, b'json_too_complex'),
                (
                    POST % (b'', len(MANY_VALUES)) + MANY_VALUES,
                    413,
                    b'json_too_complex',
                ),
            ):
                with self.subTest(reason):
                    await self._assert_refused(data, status, reason)
            await self._assert_serves()

        self._run(scenario)

    def test_a_few_pipelined_requests_are_served(self):
        async def scenario():
            async with await self._open(GET * 4) as sock:
                received_bytes = b''
                while received_bytes.count(b' 200 ') < 4:
                    received_bytes += await sock.recv(65536)

        self._run(scenario)

    def test_connections_of_one_address(self):
        async def scenario():
            socks = [await self._open(GET) for _ in range(3)]
            await self._assert_refused(b'', 429, b'too_many_from_address')
            # Those that are silent for a second make room.
            await curio.sleep(_memory_budget.STALL_S + 0.1)
            await self._assert_serves()
            for sock in socks:
                await sock.close()

        self._run(scenario, connections_per_address=3)

    def test_stopped_bodies_make_room_and_a_handled_request_stays(self):
        async def scenario():
            handled = await self._open(
                POST % (b'wait', BODY_BYTES) + b' ' * BODY_BYTES
            )
            await curio.sleep(0.1)
            stopped = [await self._open(STOPPED) for _ in range(4)]
            await curio.sleep(0.1)
            self.assertLessEqual(self.budget.used_bytes, BUDGET_BYTES)
            await curio.sleep(_memory_budget.STALL_S)
            whole = await self._open(STOPPED + b' ')
            self.assertIn(b' 200 ', await whole.recv(65536))
            await self.handler.release_event.set()
            self.assertIn(b' 200 ', await handled.recv(65536))
            for sock in (handled, whole, *stopped):
                await sock.close()

        self._run(scenario)

    def test_answer_without_room_is_a_refusal(self):
        async def scenario():
            async with await self._open(GET.replace(b'/', b'/large', 1)) as s:
                self.assertIn(b'503 ', await s.recv(65536))
            await self._assert_serves()

        self._run(scenario)

    def test_slow_reader_is_reset_although_it_reads(self):
        async def scenario():
            self.budget.max_bytes = 10**9
            sock = curio.io.Socket(socket.socket())
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await sock.connect((self.address.host, self.address.port))
            await sock.sendall(GET.replace(b'/', b'/large', 1))
            with self.assertRaises(ConnectionResetError):
                while True:
                    await sock.recv(4096)
                    await curio.sleep(0.02)
            await sock.close()

        self._run(scenario, min_rate=100000000, write_s=3.0)

    def test_slow_sender_is_refused_before_the_time_for_a_body_ends(self):
        async def scenario():
            await self._assert_refused(STOPPED, 408, b'slow_sender')

        rate_grace_s = _http_connection.RATE_GRACE_S
        self.addCleanup(
            setattr, _http_connection, 'RATE_GRACE_S', rate_grace_s
        )
        _http_connection.RATE_GRACE_S = 0.2
        self._run(scenario, min_rate=1000000, body_s=600)
