"""Tests of clients that are not controlled, against daemons on loopback.

They guard against a process that ends, hangs, or grows beyond the memory or
the descriptors of its VM because of what such clients send or do not read.
Each test opens a fixed crowd of connections to one listener.  While they are
still open, the process has to be alive within its bounds, and afterwards an
ordinary request and a small job have to be accepted.
"""

import json
import os
import tempfile
import unittest

import curio

from fuchsiatrestle.net import http
from fuchsiatrestle import settings
from standins import _ports
from standins import _processes
from tests.fakes import crowd
from tests.fakes import waiting
from tests.platform import _deployment

# The smallest VM has 200 MB, of which an idle process with its code takes 72.
# The settings below lower the default budget of 64 MiB to a quarter, and a
# quarter of the other 128 MB is what a process may take above its idle state.
MAX_GROWTH_KB = (200 - 72) * 1000 // 4
LIMITS = """
[limits]
memory_bytes = 16777216
connections = 400
connections_per_address = 400

[metrics]
listen = {host}:{metrics}
"""
# Lowered limits on what the leader keeps.
CONTROL_LIMITS = """
[state]
log_bytes = 4194304
large_workflow_bytes = 4194304
"""
# Limits of the tests of the number of connections.
MAX_CONNECTIONS = 64
MAX_CONNECTIONS_PER_ADDRESS = 40
FEW_CONNECTIONS = LIMITS.replace(
    'connections = 400\nconnections_per_address = 400',
    f'connections = {MAX_CONNECTIONS}\n'
    f'connections_per_address = {MAX_CONNECTIONS_PER_ADDRESS}',
)
# Connections of the test's own ordinary requests, and files that a daemon
# opens and closes.
OTHER_DESCRIPTORS = 24

CROWD = 240
SILENT_CROWD = 500
BODY_BYTES = 262144
ANSWER_TIMEOUT_S = 30.0
# Time for a process to read what the sockets hold.
READ_S = 1.0
HEAD = b'POST /queue/crowd HTTP/1.1\r\nhost: shop.example\r\n'
STOPPED_BODY = (
    HEAD + b'content-length: %d\r\n\r\n' % BODY_BYTES + b' ' * 260000
)
CHUNK = b'3e8\r\n' + b' ' * 1000 + b'\r\n'
CHUNKED_HEAD = HEAD + b'transfer-encoding: chunked\r\n\r\n'
STOPPED_CHUNKS = CHUNKED_HEAD + CHUNK * 260
OVERSIZED_CHUNKS = CHUNKED_HEAD + CHUNK * 1000
OVERSIZED_BODY = HEAD + b'content-length: 67108864\r\n\r\n' + b' ' * 1000000
PIPELINED = b'GET /crowd HTTP/1.1\r\nhost: shop.example\r\n\r\n' * 20000


def _make_post(path, body):
    return (
        b'POST %s HTTP/1.1\r\nhost: shop.example\r\ncontent-length: %d\r\n\r\n'
        % (path, len(body))
    ) + body


def _make_array(item, byte_count):
    return b'[' + b','.join([item] * (byte_count // (len(item) + 1))) + b']'


class _ClientsTest(unittest.TestCase):
    """Base of the tests of one listener of one process."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def _add_process(self, process):
        self.addCleanup(lambda: process.kill() if process.running else None)

    async def start(self, further_settings):
        """Starts the processes; returns the one that is tested."""
        raise NotImplementedError

    async def stop_workers(self):
        """Stops what runs in the process of the test."""

    def run_in_curio(self, check, *args):
        """Runs a coroutine function that calls ``start``."""

        async def run_and_stop_workers():
            try:
                await check(*args)
            finally:
                await self.stop_workers()

        curio.run(run_and_stop_workers)

    def find_address(self):
        """Returns the address of the listener."""
        raise NotImplementedError

    async def call_listener(self):
        """Makes an ordinary request; returns True if it was answered."""
        raise NotImplementedError

    async def submit_job(self):
        """Hands in a small job; returns True if it was accepted."""
        return True

    def check_crowd(
        self,
        data,
        size=CROWD,
        source_count=1,
        further_settings=LIMITS,
        max_descriptors=400,
        send_timeout_s=5.0,
        slow_pieces=None,
    ):
        """Checks the process while a crowd sends bytes to the listener.

        Args:
            data: what each connection sends.
            size: number of connections.
            source_count: number of addresses that they come from.
            further_settings: settings of the processes.
            max_descriptors: limit of the descriptors that they may take.
            send_timeout_s: time to send ``data``, in seconds.
            slow_pieces: arguments of ``Crowd.send_slowly``, called then.
        """
        self.run_in_curio(
            self._check_crowd,
            data,
            size,
            source_count,
            further_settings,
            max_descriptors,
            send_timeout_s,
            slow_pieces,
        )

    async def _check_crowd(
        self,
        data,
        size,
        source_count,
        further_settings,
        max_descriptors,
        send_timeout_s,
        slow_pieces,
    ):
        process = await self.start(further_settings)
        await self._check_answers()
        crowd.reset_memory_peak(process.pid)
        idle_kb = crowd.read_memory_kb(process.pid, 'VmRSS')
        idle_descriptors = crowd.count_descriptors(process.pid)
        connections = await curio.run_in_thread(
            crowd.Crowd, self.find_address(), size, source_count
        )
        try:
            await curio.run_in_thread(connections.send, data, send_timeout_s)
            if slow_pieces is not None:
                await curio.run_in_thread(
                    connections.send_slowly, *slow_pieces
                )
            await curio.sleep(READ_S)
            self.assertTrue(process.running)
            self.assertLessEqual(
                crowd.count_descriptors(process.pid),
                idle_descriptors + max_descriptors + OTHER_DESCRIPTORS,
            )
            await self._check_answers()
            self._check_memory(process, idle_kb)
        finally:
            connections.close()

    async def _check_answers(self):
        await waiting.wait_for(
            self.call_listener, 'an ordinary answer', ANSWER_TIMEOUT_S
        )
        await waiting.wait_for(
            self.submit_job, 'an accepted job', ANSWER_TIMEOUT_S
        )

    def _check_memory(self, process, idle_kb):
        self.assertTrue(process.running)
        peak_kb = crowd.read_memory_kb(process.pid, 'VmHWM')
        self.assertLessEqual(peak_kb - idle_kb, MAX_GROWTH_KB)


class _Misbehaviours:
    """Tests that every listener has."""

    def test_process_bodies_that_stop(self):
        self.check_crowd(STOPPED_BODY)

    def test_process_chunks_that_stop(self):
        self.check_crowd(STOPPED_CHUNKS)

    def test_process_bodies_far_over_the_limit(self):
        self.check_crowd(OVERSIZED_BODY, 60)

    def test_process_chunks_far_over_the_limit(self):
        self.check_crowd(OVERSIZED_CHUNKS, 60)

    def test_process_pipelined_requests_without_reading(self):
        self.check_crowd(PIPELINED, 100)

    def test_process_silent_connections_of_one_address(self):
        self.check_crowd(
            b'',
            SILENT_CROWD,
            1,
            FEW_CONNECTIONS,
            MAX_CONNECTIONS_PER_ADDRESS,
        )

    def test_process_stopped_heads_of_many_addresses(self):
        self.check_crowd(
            HEAD, SILENT_CROWD, 50, FEW_CONNECTIONS, MAX_CONNECTIONS
        )

    def test_process_heads_sent_slowly(self):
        self.check_crowd(
            b'',
            SILENT_CROWD,
            50,
            FEW_CONNECTIONS,
            MAX_CONNECTIONS,
            slow_pieces=(HEAD, 4, 10),
        )

    def test_process_bodies_sent_slowly(self):
        self.check_crowd(
            STOPPED_BODY[:-30000], slow_pieces=(STOPPED_BODY, 2500, 10)
        )


class _PlatformTest(_ClientsTest):
    async def start(self, further_settings):
        self.deployment = _deployment.Deployment(
            self.folder, 1, 1, 1, further_settings, CONTROL_LIMITS
        )
        (self.host,) = self.deployment.hosts
        self.control = self.deployment.controls[self.host]
        self._add_process(self.control)
        self._add_process(self.deployment.entry)
        self.job_count = 0
        await self.deployment.start()
        await self.deployment.put_configuration(
            _deployment.make_configuration(1)
        )
        return self.deployment.entry

    async def stop_workers(self):
        await self.deployment.fleet.stop()

    async def submit_job(self):
        self.job_count += 1
        path = f'{_deployment.PREFIX}{self.job_count:016x}'
        job = {'task_spec': 'text', 'steps': _deployment.STEPS}
        status, _ = await self.deployment.call_entry('POST', path, job)
        return status == 200

    async def _get(self, address, path):
        client = http.Client(address, 4.0)
        try:
            return (await client.call('GET', path)).status == 200
        except http.HttpError:
            return False
        finally:
            client.close()


class CallersTest(_Misbehaviours, _PlatformTest):
    """The listener for callers."""

    def find_address(self):
        return self.deployment.find_entry_address('callers')

    async def call_listener(self):
        path = f'{_deployment.PREFIX}{1:016x}'
        status, _ = await self.deployment.call_entry('GET', path)
        return status in (200, 410)

    def test_process_very_many_fields(self):
        body = b'{"task_spec":"","steps":%s}' % _make_array(b'{}', 260000)
        self.check_crowd(_make_post(b'/queue/crowd', body), 60)

    def test_process_legal_bodies_while_no_leader_answers(self):
        async def main():
            process = await self.start(LIMITS)
            await self._check_answers()
            crowd.reset_memory_peak(process.pid)
            idle_kb = crowd.read_memory_kb(process.pid, 'VmRSS')
            self.control.freeze()
            connections = await curio.run_in_thread(
                crowd.Crowd, self.find_address(), CROWD
            )
            try:
                await curio.run_in_thread(
                    connections.send, _make_large_job(0), 5.0
                )
                await curio.sleep(READ_S)
                self._check_memory(process, idle_kb)
                self.control.resume()
                await self._check_answers()
                self._check_memory(process, idle_kb)
            finally:
                connections.close()

        self.run_in_curio(main)


class ReadyTest(_Misbehaviours, _PlatformTest):
    """The listener for health checks."""

    def find_address(self):
        return self.deployment.find_entry_address('ready')

    async def call_listener(self):
        return await self._get(self.find_address(), '/ready')


class MetricsTest(_Misbehaviours, _PlatformTest):
    """The listener for metrics, of an entry."""

    def find_address(self):
        return self.deployment.find_entry_address('metrics')

    async def call_listener(self):
        return await self._get(self.find_address(), '/metrics')


class ControlTest(_Misbehaviours, _PlatformTest):
    """The listener for operators and workers."""

    async def start(self, further_settings):
        await super().start(further_settings)
        return self.control

    def find_address(self):
        return self.deployment.address(self.host)

    async def call_listener(self):
        return await self._get(self.find_address(), '/config/get')

    def test_process_very_many_fields(self):
        body = b'{"version":2,"routes":[],"services":%s}' % _make_array(
            b'{"name":"a"}', 4000000
        )
        self.check_crowd(_make_post(b'/config/put', body), 4)

    def test_process_very_many_fields_of_a_heartbeat(self):
        body = b'{"service":"a","labels":%s}' % _make_array(b'"a"', 260000)
        self.check_crowd(_make_post(b'/instances/i/heartbeat', body), 60)

    def test_process_configurations_that_are_not_read(self):
        async def main():
            process = await self.start(LIMITS)
            configuration = _deployment.make_configuration(2)
            route = configuration['routes'][0]
            configuration['routes'] += [
                {
                    **route,
                    'name': f'r{number}',
                    'host': f'{number}.example',
                    'note': 'a' * 1400,
                }
                for number in range(1400)
            ]
            await self.deployment.put_configuration(configuration)
            await self._check_answers()
            crowd.reset_memory_peak(process.pid)
            idle_kb = crowd.read_memory_kb(process.pid, 'VmRSS')
            connections = await curio.run_in_thread(
                crowd.Crowd, self.find_address(), 60
            )
            request = b'GET /config/get HTTP/1.1\r\nhost: a\r\n\r\n'
            try:
                await curio.run_in_thread(connections.send, request)
                await curio.sleep(3)
                await self._check_answers()
                self._check_memory(process, idle_kb)
            finally:
                connections.close()

        self.run_in_curio(main)

    def test_process_legal_bodies_that_an_entry_sends_on(self):
        async def main():
            process = await self.start(LIMITS)
            await self._check_answers()
            crowd.reset_memory_peak(process.pid)
            idle_kb = crowd.read_memory_kb(process.pid, 'VmRSS')
            for round_number in range(20):
                jobs = b''.join(
                    _make_large_job(round_number * 16 + number)
                    for number in range(16)
                )
                connections = await curio.run_in_thread(
                    crowd.Crowd,
                    self.deployment.find_entry_address('callers'),
                    1,
                )
                await curio.run_in_thread(connections.send, jobs, 2.0)
                await curio.sleep(0.5)
                connections.close()
            await self._check_answers()
            self._check_memory(process, idle_kb)

        self.run_in_curio(main)


def _make_large_job(number):
    """Returns the request that submits a legal workflow of 240 KB.

    Its tasks fit on no worker, so that it stays in the state of the leader.
    """
    step = {**_deployment.STEPS[0], 'cpu': 10**6, 'image': 'a' * 1100}
    job = {'task_spec': 'text', 'steps': [step] * 200}
    path = f'{_deployment.PREFIX}large-{number}'
    return _make_post(path.encode(), json.dumps(job).encode())


class AdminTest(_Misbehaviours, _ClientsTest):
    """The listener for administration, of an entry without control."""

    async def start(self, further_settings):
        host = '127.0.8.1'
        ports = _ports.find_free_ports(6)
        callers, platform, admin, link, control, metrics = (
            settings.Address(host, port) for port in ports
        )
        self.admin_address = admin
        text = (
            f'[entry]\nname = e1\ncallers = {callers}\n'
            f'platform = {platform}\nadmin = {admin}\nlink = {link}\n'
            f'controls = c1={control}\n'
        ) + further_settings.format(host=host, metrics=metrics.port)
        path = os.path.join(self.folder, 'e1.ini')
        with open(path, 'w', encoding='utf-8') as stream:
            stream.write(text)
        process = _processes.Process(
            'e1', 'fuchsiatrestle.entry', [f'--config={path}'], self.folder
        )
        self._add_process(process)
        process.start()
        return process

    def find_address(self):
        return self.admin_address

    async def call_listener(self):
        client = http.Client(self.admin_address, 4.0)
        try:
            response = await client.call('GET', '/v1/counters')
            return response.status == 200
        except http.HttpError:
            return False
        finally:
            client.close()

    def test_process_very_many_fields(self):
        body = b'{"a":%s}' % _make_array(b'{}', 2500000)
        further_settings = LIMITS.replace(
            '[limits]', '[limits]\nbody_bytes = 4194304'
        )
        request = _make_post(b'/v1/config?base=1&patch_id=a', body)
        self.check_crowd(
            request.replace(b'POST', b'PATCH', 1),
            4,
            further_settings=further_settings,
        )
