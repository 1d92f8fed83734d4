"""Deployment of the platform's programs and its workers on loopback."""

import json
import os
import shutil
import signal

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
    'call_on_connection',
    'make_configuration',
)

HOST = 'shop.example'
PREFIX = '/queue/'
SERVICE = 'pool'
START_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 4.0
# Steps of a workflow as callers submit it, and what the tasks of each use.
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
TASK_SIZES = [
    worker_model.TaskProfile(1000, 256, 300),
    worker_model.TaskProfile(2000, 256, 500, writes_checkpoints=True),
]

_CONTROL_SETTINGS = """\
[platform]
seeds = {seeds}
link = {host}:{link}
control = {host}:{control}
data_folder = {folder}
may_found = {may_found}
tolerated_losses = 1
data_centres = dc-a,dc-b

[workers]
announce_ms = 500

[workflows]
evacuation_ms = 5000
"""
_ENTRY_SETTINGS = """\
[platform]
seeds = {seeds}
link = {host}:{link}
callers = {host}:{control}
ready = {host}:{ready}
grace_s = 3
health_lead_s = 0.5
"""


def make_configuration(version, **route):
    """Returns a configuration with one queue.

    Args:
        version: version of the configuration.
        **route: fields of the queue that differ from the default.
    """
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
    """Control daemons, one entry and a fleet of workers, all on loopback.

    Args:
        folder: path of the folder for settings, data and logs.
        control_count: number of control daemons.
        seed_count: number of control daemons that the settings name as seeds.
        worker_count: number of workers.
        further_settings: text added to the settings of all programs, in which
            ``{host}`` and ``{metrics}`` stand for the host of the program and
            a free port.
        control_settings: text added to the settings of the control daemons.

    Attributes:
        relay: ``relay.Relay`` in front of the workers, by the names that they
            announce.
        hosts: IP addresses of the control daemons.
        controls: processes of the control daemons, by host.
        entry: process of the entry.
        fleet: the workers, whose ledger records what they run.
    """

    def __init__(
        self,
        folder,
        control_count=3,
        seed_count=3,
        worker_count=4,
        further_settings='',
        control_settings='',
    ):
        (
            link_port,
            control_port,
            ready_port,
            metrics_port,
            worker_port,
            announced_port,
        ) = _ports.find_free_ports(6)
        self._folder = folder
        self._further_settings = further_settings
        self._control_settings = _CONTROL_SETTINGS + control_settings
        self._may_found = 'yes'
        self._ports = {
            'link': link_port,
            'control': control_port,
            'ready': ready_port,
            'metrics': metrics_port,
        }
        self.hosts = [
            f'127.0.7.{number + 1}' for number in range(control_count)
        ]
        self._seeds = ','.join(
            f'{host}:{control_port}' for host in self.hosts[:seed_count]
        )
        self.controls = {
            host: self._create_program('control', host, self._control_settings)
            for host in self.hosts
        }
        self.entry = self._create_program(
            'entry', '127.0.8.1', _ENTRY_SETTINGS
        )
        self._entry_address = settings.Address('127.0.8.1', control_port)
        self.fleet = platform_fleet.Fleet(
            SERVICE,
            [self.address(host) for host in self.hosts],
            _make_worker_addresses(worker_count, worker_port),
            _get_task_size,
            announced=_make_worker_addresses(worker_count, announced_port),
        )
        self.relay = relay.Relay(
            f'i-{number}={listen}>{address}'
            for number, (listen, address) in enumerate(
                zip(
                    _make_worker_addresses(worker_count, announced_port),
                    _make_worker_addresses(worker_count, worker_port),
                    strict=True,
                )
            )
        )

    def _write_settings(self, host, settings_template):
        """Writes the settings of a program; returns the path of the file."""
        folder = os.path.join(self._folder, f'{host}.data')
        os.makedirs(folder, exist_ok=True)
        path = os.path.join(self._folder, f'{host}.ini')
        template = settings_template + self._further_settings
        with open(path, 'w', encoding='utf-8') as stream:
            stream.write(
                template.format(
                    seeds=self._seeds,
                    host=host,
                    folder=folder,
                    may_found=self._may_found,
                    **self._ports,
                )
            )
        return path

    def address(self, host):
        """Returns the control address of the daemon on a host."""
        return settings.Address(host, self._ports['control'])

    def find_entry_address(self, listener):
        """Returns the address of a listener of the entry.

        Args:
            listener: ``callers``, ``ready`` or ``metrics``.
        """
        port_name = 'control' if listener == 'callers' else listener
        return settings.Address('127.0.8.1', self._ports[port_name])

    def _create_program(self, role, host, settings_template):
        path = self._write_settings(host, settings_template)
        return _processes.Process(
            host,
            'fuchsiatrestle.platform',
            [role, f'--config={path}'],
            self._folder,
        )

    def replace_control(self, gone_host, host, seed_hosts):
        """Starts a control daemon that takes the place of one that is gone.

        Args:
            gone_host: host of the daemon, whose process does not run.
            host: host of the new daemon, with an empty data folder.
            seed_hosts: hosts that its settings name as seeds.
        """
        self.hosts[self.hosts.index(gone_host)] = host
        del self.controls[gone_host]
        self._may_found = 'no'
        self._seeds = ','.join(str(self.address(seed)) for seed in seed_hosts)
        self.controls[host] = self._create_program(
            'control', host, self._control_settings
        )
        self.fleet.set_control_addresses(
            [self.address(other) for other in self.hosts]
        )
        self.controls[host].start()

    async def wait_until_started(self, host):
        """Waits until a control daemon has logged that it serves."""

        async def has_started():
            return self.controls[host].has_started()

        await self.wait_until(has_started, f'the start of {host}')

    def reload_all(self):
        """Sends SIGHUP to all programs, which read their settings again."""
        for process in (*self.controls.values(), self.entry):
            os.kill(process.pid, signal.SIGHUP)

    def update_seeds(self):
        """Writes all settings with the daemons of today as seeds."""
        self._seeds = ','.join(str(self.address(host)) for host in self.hosts)
        for host in self.controls:
            self._write_settings(host, self._control_settings)
        self._write_settings('127.0.8.1', _ENTRY_SETTINGS)

    async def start(self):
        """Starts processes and workers; returns when the entry is ready."""
        for process in (*self.controls.values(), self.entry):
            process.start()
        await self.relay.start()
        await self.fleet.start()
        await self.wait_until(self._is_ready, 'an entry that is ready')

    async def stop(self):
        """Stops the workers and the processes that run.

        Returns:
            The exit statuses of these processes.
        """
        await self.fleet.stop()
        programs = [*self.controls.values(), self.entry]
        running_programs = [program for program in programs if program.running]
        for program in running_programs:
            program.ask_to_stop()
        return [
            await curio.run_in_thread(program.wait)
            for program in running_programs
        ]

    async def is_draining(self):
        """Returns True once the health check of the entry fails."""
        return not await self._is_ready()

    async def _is_ready(self):
        address = settings.Address('127.0.8.1', self._ports['ready'])
        client = http.Client(address, 1.0)
        try:
            return (await client.call('GET', '/ready')).status == 200
        except http.HttpError:
            return False
        finally:
            client.close()

    async def wait_until(
        self, condition, condition_name, timeout_s=START_TIMEOUT_S
    ):
        """Waits until a condition is met.

        Args:
            condition: coroutine function, called until it returns True.
            condition_name: what is waited for, for the error message.
            timeout_s: longest time to wait, in seconds.

        Raises:
            AssertionError: the condition was not met within ``timeout_s``.
        """
        await waiting.wait_for(condition, condition_name, timeout_s)

    # Calls

    async def submit_workflow(self, name, steps):
        """Submits a workflow until its outcome is known.

        Args:
            name: name of the workflow, the last part of its path.
            steps: its steps.

        Returns:
            The HTTP status of the response that tells the outcome.
        """
        job = {'task_spec': 'text', 'steps': steps}
        while True:
            status, _ = await self.call_entry('POST', PREFIX + name, job)
            if status not in (0, 502, 503, 504):
                return status
            await curio.sleep(0.2)

    async def call_entry(self, method, path, json_body=None):
        """Calls the entry once; returns status and body, 0 for no answer."""
        caller = Caller(self)
        try:
            return await caller.call(method, path, json_body)
        finally:
            caller.close()

    async def connect_to_entry(self):
        """Returns an open connection to the entry."""
        return await http.ClientConnection.open(self._entry_address)

    async def call_entry_on_connection(self, conn, method, path):
        """Calls the entry on an open connection; returns the status."""
        status, _ = await call_on_connection(conn, method, path, None)
        return status

    async def call_control(self, host, method, path, json_body=None):
        """Calls a control daemon; returns status and body, 0 for no answer."""
        client = http.Client(self.address(host), CALL_TIMEOUT_S)
        try:
            return await client.call_json(method, path, json_body)
        except http.HttpError:
            return 0, None
        finally:
            client.close()

    async def put_configuration(self, configuration):
        """Sends a configuration to the control daemons until one accepts it.

        Raises:
            AssertionError: none accepted it in 200 calls.
        """
        for attempt in range(200):
            host = self.hosts[attempt % len(self.hosts)]
            status, _ = await self.call_control(
                host, 'POST', '/config/put', configuration
            )
            if status == 200:
                return
            await curio.sleep(0.1)
        raise AssertionError('configuration not acknowledged')

    async def get_configuration(self, host):
        """Asks one daemon until it answers; returns the configuration."""
        received_bodies = []

        async def has_answered():
            status, body = await self.call_control(host, 'GET', '/config/get')
            received_bodies.append(body)
            return status == 200

        await self.wait_until(has_answered, f'a configuration from {host}')
        return received_bodies[-1]

    def lose_disk(self, host):
        """Empties the data folder of a control daemon that is not running."""
        folder = os.path.join(self._folder, f'{host}.data')
        shutil.rmtree(folder)
        os.makedirs(folder)

    def find_leader(self):
        """Returns the host of the replica that last logged that it leads."""
        latest_line = ('', '')
        for host, process in self.controls.items():
            with open(process.log_path, encoding='utf-8') as log:
                for line in log:
                    if 'role=leader' in line and 'ready=True' in line:
                        latest_line = max(latest_line, (line[:30], host))
        return latest_line[1]


class Caller:
    """Calls the entry over one connection, reopened after it was closed.

    Args:
        deployment: the ``Deployment``.
    """

    def __init__(self, deployment):
        self._deployment = deployment
        self._conn = None

    async def call(self, method, path, json_body=None):
        """Calls the entry; returns status and body, 0 for no answer."""
        try:
            async with curio.timeout_after(CALL_TIMEOUT_S):
                return await self._exchange(method, path, json_body)
        except (http.HttpError, curio.TaskTimeout):
            self.close()
            return 0, None

    async def _exchange(self, method, path, json_body):
        if self._conn is None:
            self._conn = await self._deployment.connect_to_entry()
        answer = await call_on_connection(self._conn, method, path, json_body)
        if not self._conn.is_reusable:
            self.close()
        return answer

    def close(self):
        """Closes the connection."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None


def _get_task_size(task):
    return TASK_SIZES[int(task.split('.')[2])]


def _make_worker_addresses(worker_count, port):
    return [
        settings.Address(f'127.0.9.{number + 1}', port)
        for number in range(worker_count)
    ]


async def call_on_connection(conn, method, path, json_body):
    """Makes one call on a connection; returns status and JSON body."""
    body = b'' if json_body is None else json.dumps(json_body).encode()
    headers = [
        (b'host', HOST.encode()),
        (b'content-type', b'application/json'),
    ]
    await conn.send(method, path, headers, body)
    head = await conn.receive_head()
    body_data = bytearray()
    while (chunk := await conn.receive_chunk()) is not None:
        body_data += chunk
    return head.status, json.loads(body_data) if body_data else None
