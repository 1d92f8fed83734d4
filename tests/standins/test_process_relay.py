"""The modes of the relay affect connections as the soak expects."""

import os
import socket
import tempfile
import threading
import unittest

from fuchsiatrestle import ctl
from fuchsiatrestle import settings
from standins import _ports
from standins import _processes

HOST = '127.0.0.1'
TIMEOUT_S = 10.0
# How long a test waits for bytes that must not arrive.
SILENCE_TIMEOUT_S = 0.5


class _EchoServer:
    """A server that sends back what it receives.

    Attributes:
        received_chunks: the chunks received, in order.
        port: port that it listens on.
    """

    def __init__(self):
        self.received_chunks = []
        self._sock = socket.create_server((HOST, 0))
        self.port = self._sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Closes the listener."""
        self._sock.close()

    def _accept(self):
        while True:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            threading.Thread(
                target=self._echo, args=(conn,), daemon=True
            ).start()

    def _echo(self, conn):
        with conn:
            while data := conn.recv(1024):
                self.received_chunks.append(data)
                conn.sendall(data)


class RelayTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        echo_server = self.echo_server = _EchoServer()
        self.addCleanup(echo_server.close)
        control_port, self.relay_port = _ports.find_free_ports(2)
        self.relay_client = ctl.AdminClient(
            [settings.Address(HOST, control_port)], TIMEOUT_S
        )
        self.relay_process = _processes.Process(
            'relay',
            'standins.relay',
            [
                f'--control={HOST}:{control_port}',
                f'--pair=u1={HOST}:{self.relay_port}'
                f'>{HOST}:{echo_server.port}',
            ],
            os.path.abspath(folder.name),
        )
        self.relay_process.start()
        self.addCleanup(self.relay_process.kill)
        _processes.wait_until(self._is_running, TIMEOUT_S, 'the relay is up')

    def _is_running(self):
        try:
            return self._set_mode('pass') == 200
        except ctl.CallFailed:
            return False

    def _set_mode(self, mode):
        body = {'target': 'u1', 'mode': mode}
        return self.relay_client.call(
            'POST', '/standin/relay', value=body
        ).status

    def _connect(self):
        conn = socket.create_connection((HOST, self.relay_port), TIMEOUT_S)
        self.addCleanup(conn.close)
        return conn

    def _is_echoed(self, conn, timeout_s=TIMEOUT_S):
        conn.settimeout(timeout_s)
        conn.sendall(b'ping')
        try:
            return conn.recv(4) == b'ping'
        except TimeoutError:
            return False

    def test_silenced_connections_stay_silent_and_new_ones_pass(self):
        old_conn = self._connect()
        self.assertTrue(self._is_echoed(old_conn))
        self.assertEqual(200, self._set_mode('silence'))
        self.assertFalse(self._is_echoed(old_conn, SILENCE_TIMEOUT_S))
        self.assertTrue(self._is_echoed(self._connect()))
        self._set_mode('pass')
        self.assertFalse(self._is_echoed(old_conn, SILENCE_TIMEOUT_S))

    def test_muted_target_gets_what_it_is_sent_and_answers_nothing(self):
        old_conn = self._connect()
        self._set_mode('mute')
        self.assertFalse(self._is_echoed(old_conn, SILENCE_TIMEOUT_S))
        self.assertFalse(self._is_echoed(self._connect(), SILENCE_TIMEOUT_S))
        self.assertEqual([b'ping', b'ping'], self.echo_server.received_chunks)
        self._set_mode('pass')
        self.assertTrue(self._is_echoed(self._connect()))

    def test_reset_ends_open_connections_and_new_ones_pass(self):
        old_conn = self._connect()
        self.assertTrue(self._is_echoed(old_conn))
        self._set_mode('reset')
        with self.assertRaises(ConnectionError):
            while old_conn.recv(4):
                pass
        self.assertTrue(self._is_echoed(self._connect()))

    def test_delayed_bytes_arrive(self):
        self._set_mode('delay')
        self.assertTrue(self._is_echoed(self._connect()))

    def test_cut_holds_for_new_connections_until_the_next_pass(self):
        self._set_mode('cut')
        conn = self._connect()
        self.assertFalse(self._is_echoed(conn, SILENCE_TIMEOUT_S))
        self._set_mode('pass')
        self.assertFalse(self._is_echoed(conn, SILENCE_TIMEOUT_S))
        self.assertTrue(self._is_echoed(self._connect()))

    def test_unknown_target_and_mode_are_refused(self):
        self.assertEqual(400, self._set_mode('sideways'))
