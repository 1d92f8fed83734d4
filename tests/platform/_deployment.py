"""Both programs of the platform on loopback, with settings of their own."""

import json
import os
import shutil

import curio

from fuchsiatrestle.net import http
from fuchsiatrestle import settings
from standins import _ports
from standins import _processes
from standins import platform_fleet
from standins import relay
from standins import worker_model
from tests.fakes import waiting

__all__ = (
    'HOST',
    'PREFIX',
    'STEPS',
    'Caller',
    'Deployment',
    'configuration',
    'exchange',
)

HOST = 'shop.example'
PREFIX = '/queue/'
SERVICE = 'pool'
START_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 4.0
# A workflow of two steps, as callers submit it, and what its tasks use.
STEPS = [
    {'count': 3, 'cpu': 1000, 'mem_mb': 256, 'est_runtime_ms': 300},
    {
        'count': 2,
        'cpu': 2000,
        'mem_mb': 256,
        'est_runtime_ms': 500,
        'start_after': [0],
        'checkpointing': True,
    },
]
SIZES = [
    worker_model.Size(1000, 256, 300),
    worker_model.Size(2000, 256, 500, saves=True),
]

_CONTROL = """\
[platform]
seeds = {seeds}
link = {host}:{link}
control = {host}:{control}
data_folder = {folder}

[workers]
announce_ms = 500
"""
_ENTRY = """\
[platform]
seeds = {seeds}
link = {host}:{link}
callers = {host}:{control}
ready = {host}:{ready}
grace_s = 3
health_lead_s = 0.5
"""


def configuration(version, **route):
    """Returns a configuration with one queue."""
    queue = {
        'name': 'r',
        'host': HOST,
        'path_prefix': PREFIX,
        'route_kind': 'non_idempotent',
        'timeout_ms': 3000,
        'target_latency_ms': 250,
        'priority': 0,
        'service': SERVICE,
        'max_attempts': 3,
        'stretch': 1.5,
        **route,
    }
    service = {'name': SERVICE, 'admission_check': False}
    return {'version': version, 'routes': [queue], 'services': [service]}


class Deployment:
    """Control daemons, one entry and a fleet of workers.

    Args:
        folder: where settings, data and logs go.
        controls: number of control daemons.
        seeds: how many of them the settings name.
        workers: number of workers.

    Attributes:
        relay: ``relay.Relay`` before the workers, by the names that they
            announce.
    """

    def __init__(self, folder, controls=3, seeds=3, workers=4):
        link, control, ready, worker, called = _ports.free_ports(5)
        self._folder = folder
        self._ports = {'link': link, 'control': control, 'ready': ready}
        self.hosts = [f'127.0.7.{number + 1}' for number in range(controls)]
        self._seeds = ','.join(
            f'{host}:{control}' for host in self.hosts[:seeds]
        )
        self.controls = {
            host: self._program('control', host, _CONTROL)
            for host in self.hosts
        }
        self.entry = self._program('entry', '127.0.8.1', _ENTRY)
        self._front = settings.Address('127.0.8.1', control)
        self.fleet = platform_fleet.Fleet(
            SERVICE,
            [self.address(host) for host in self.hosts],
            _addresses(workers, worker),
            _size,
            announced=_addresses(workers, called),
        )
        self.relay = relay.Relay(
            f'i-{number}={listen}>{address}'
            for number, (listen, address) in enumerate(
                zip(
                    _addresses(workers, called),
                    _addresses(workers, worker),
                    strict=True,
                )
            )
        )

    def address(self, host):
        """Returns the control address of a daemon."""
        return settings.Address(host, self._ports['control'])

    def _program(self, role, host, text):
        folder = os.path.join(self._folder, f'{host}.data')
        os.makedirs(folder, exist_ok=True)
        path = os.path.join(self._folder, f'{host}.ini')
        with open(path, 'w', encoding='utf-8') as stream:
            stream.write(
                text.format(
                    seeds=self._seeds, host=host, folder=folder, **self._ports
                )
            )
        return _processes.Process(
            host,
            'fuchsiatrestle.platform',
            [role, f'--config={path}'],
            self._folder,
        )

    async def start(self):
        """Starts everything; returns when the entry is ready."""
        for process in (*self.controls.values(), self.entry):
            process.start()
        await self.relay.start()
        await self.fleet.start()
        await self.until(self._is_ready, 'an entry that is ready')

    async def stop(self):
        """Stops the fleet; returns the exit statuses of the programs."""
        await self.fleet.stop()
        programs = [*self.controls.values(), self.entry]
        running = [one for one in programs if one.running]
        for one in running:
            one.ask_to_stop()
        return [await curio.run_in_thread(one.wait) for one in running]

    async def is_draining(self):
        """True once the entry tells the balancer to send callers elsewhere."""
        return not await self._is_ready()

    async def _is_ready(self):
        address = settings.Address('127.0.8.1', self._ports['ready'])
        client = http.Client(address, 1.0)
        try:
            return (await client.call('GET', '/ready')).status == 200
        except http.HttpFailed:
            return False
        finally:
            client.close()

    async def until(self, condition, what, timeout_s=START_TIMEOUT_S):
        """Waits for an asynchronous condition; fails the test if late."""
        await waiting.wait_for(condition, what, timeout_s)

    # Calls

    async def submit(self, name, steps):
        """Submits until there is a clear answer; returns the status."""
        job = {'task_spec': 'text', 'steps': steps}
        while True:
            status, _ = await self.caller('POST', PREFIX + name, job)
            if status not in (0, 502, 503, 504):
                return status
            await curio.sleep(0.2)

    async def caller(self, method, path, value=None):
        """Makes one call; status 0 stands for no answer."""
        caller = Caller(self)
        try:
            return await caller.call(method, path, value)
        finally:
            caller.close()

    async def connect(self):
        """Returns an open connection to the entry."""
        return await http.ClientConnection.open(self._front)

    async def request(self, conn, method, path):
        """Makes one call on an open connection; returns the status."""
        status, _ = await exchange(conn, method, path, None)
        return status

    async def operator(self, host, method, path, value=None):
        """Calls a control daemon; returns status and body, 0 for none."""
        client = http.Client(self.address(host), CALL_TIMEOUT_S)
        try:
            return await client.call_json(method, path, value)
        except http.HttpFailed:
            return 0, None
        finally:
            client.close()

    async def put(self, value):
        """Sends a configuration to each daemon in turn until taken."""
        for attempt in range(200):
            host = self.hosts[attempt % len(self.hosts)]
            status, _ = await self.operator(host, 'POST', '/config/put', value)
            if status == 200:
                return
            await curio.sleep(0.1)
        raise AssertionError('configuration not acknowledged')

    async def get_configuration(self, host):
        """Reads from one daemon until it is sure."""
        found = []

        async def is_sure():
            status, body = await self.operator(host, 'GET', '/config/get')
            found.append(body)
            return status == 200

        await self.until(is_sure, f'a configuration from {host}')
        return found[-1]

    def lose_disk(self, host):
        """Empties the data folder of a daemon that is down."""
        folder = os.path.join(self._folder, f'{host}.data')
        shutil.rmtree(folder)
        os.makedirs(folder)

    def leader(self):
        """Returns the host of the replica that said last that it leads."""
        newest = ('', '')
        for host, process in self.controls.items():
            with open(process.log_path, encoding='utf-8') as log:
                for line in log:
                    if 'role=leader' in line and 'ready=True' in line:
                        newest = max(newest, (line[:30], host))
        return newest[1]


class Caller:
    """Calls the entry over one connection for as long as it is open.

    Args:
        world: the ``Deployment``.
    """

    def __init__(self, world):
        self._world = world
        self._conn = None

    async def call(self, method, path, value=None):
        """Makes one call; returns status and body, 0 for no answer."""
        try:
            async with curio.timeout_after(CALL_TIMEOUT_S):
                return await self._exchange(method, path, value)
        except (http.HttpFailed, curio.TaskTimeout):
            self.close()
            return 0, None

    async def _exchange(self, method, path, value):
        if self._conn is None:
            self._conn = await self._world.connect()
        found = await exchange(self._conn, method, path, value)
        if not self._conn.reusable:
            self.close()
        return found

    def close(self):
        """Closes the connection."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None


def _size(task):
    return SIZES[int(task.split('.')[2])]


def _addresses(count, port):
    return [
        settings.Address(f'127.0.9.{number + 1}', port)
        for number in range(count)
    ]


async def exchange(conn, method, path, value):
    """Makes one call as a caller; returns status and decoded body."""
    body = b'' if value is None else json.dumps(value).encode()
    headers = [
        (b'host', HOST.encode()),
        (b'content-type', b'application/json'),
    ]
    await conn.send(method, path, headers, body)
    head = await conn.receive_head()
    data = bytearray()
    while (chunk := await conn.receive_chunk()) is not None:
        data += chunk
    return head.status, json.loads(data) if data else None
