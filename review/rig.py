"""A small deployment on loopback for the cases of this review.

Starts the project's programs as the deploy file says, with settings rendered
from its templates, beside stand-ins for minions, the operator and clients that
follow the users' pages.  It uses the standard library alone.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD = 0
BROKEN = 1
NOT_RUN = 2
HEARTBEAT_S = 1.5
ACK_TIMEOUT_S = 1.0
# Bounds of the site file that every claim names.
MAX_HOLD_MS = 6000
STOP_S = 0.2
CHECKPOINT_S = 1.0
MAX_ENDS = 500
HOST = 'nony24.example'
PREFIX = '/lohu930/'
SERVICE = 'huvo11a'
START_LIMIT_S = 25.0
METRICS_PORT = 9100  # as in the templates of the settings
PROGRAM_ENVIRONMENT = ('PATH', 'HOME', 'LANG')


class NotRun(Exception):
    """The case could not be set up."""


def has_trouble():
    """True unless the case is to be played without its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


# HTTP/1.1 with JSON bodies


async def read_message(reader):
    """Returns the first line, the headers and the body of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length') or 0))
    return lines[0], headers, body


def encode_message(first_line, headers, body):
    """Returns the bytes of a message."""
    lines = [first_line, *(f'{name}: {text}' for name, text in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


class Connection:
    """A persistent client connection that carries one call at a time."""

    def __init__(self, address):
        self._address = address
        self._streams = None
        self._lock = asyncio.Lock()

    async def call(self, method, path, body=None, timeout_s=1.0, headers=()):
        """Makes a call; returns status and JSON value, 0 for no answer."""
        try:
            return await asyncio.wait_for(
                self._call(method, path, body, headers), timeout_s
            )
        except (OSError, EOFError, ValueError, asyncio.TimeoutError):
            self.close()
            return 0, None

    async def _call(self, method, path, body, headers):
        async with self._lock:
            return await self._exchange(method, path, body, headers)

    async def _exchange(self, method, path, body, headers):
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._address)
        reader, writer = self._streams
        data = body if isinstance(body, bytes) else b''
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body).encode()
        all_headers = [('Host', '%s:%d' % self._address)]
        if headers:
            all_headers = list(headers)
        all_headers.append(('Content-Type', 'application/json'))
        writer.write(
            encode_message(f'{method} {path} HTTP/1.1', all_headers, data)
        )
        first_line, reply_headers, reply = await read_message(reader)
        if reply_headers.get('connection', '').lower() == 'close':
            self.close()
        return int(first_line.split()[1]), json.loads(reply or b'null')

    def close(self):
        """Closes the connection; the next call opens another one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


# Network


class Proxy:
    """Forwards connections to a target and can hold up one direction.

    Bytes that are held up arrive once the cut has healed.  A connection that
    is opened during a cut carries nothing before, as its handshake could not
    be completed.
    """

    def __init__(self, listen, target):
        self._listen = listen
        self._target = target
        self._server = None
        self._writers = set()
        self._open = {
            'to_target': asyncio.Event(),
            'to_caller': asyncio.Event(),
        }
        for event in self._open.values():
            event.set()

    async def start(self):
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, *self._listen)

    def cut(self, direction):
        """Holds up the bytes in a direction from now on."""
        self._open[direction].clear()

    def heal(self):
        """Delivers what was held up, and all that comes later."""
        for event in self._open.values():
            event.set()

    def stop(self):
        """Stops to listen and resets the connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        target_writer = None
        self._writers.add(writer)
        try:
            for event in self._open.values():
                await event.wait()
            if reader.at_eof():
                return
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
            self._writers.add(target_writer)
            await asyncio.gather(
                self._copy(reader, target_writer, 'to_target'),
                self._copy(target_reader, writer, 'to_caller'),
            )
        except OSError:
            pass
        finally:
            for end in (writer, target_writer):
                if end is not None:
                    self._writers.discard(end)
                    end.transport.abort()

    async def _copy(self, reader, writer, direction):
        while data := await reader.read(65536):
            await self._open[direction].wait()
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError


# Minions


class Run:
    """A run of a task on a minion.

    The task_spec is ``work SECONDS``, or ``work SECONDS saves`` for a task
    that checkpoints.
    """

    def __init__(self, minion, order):
        words = order['task_spec'].split()
        self.minion = minion
        self.task = order['task']
        self.number = order['run_id']
        self.started_s = time.monotonic()
        self.work_s = float(words[1])
        self.saves = 'saves' in words
        self.carried = order.get('checkpoint', '')
        self.ended_s = None
        self.how = ''
        self.end_number = None
        self.noted_s = None

    @property
    def has_lapsed_before_note(self):
        """True if the lease lapsed between its end and the note of it."""
        return any(
            self.ended_s <= lapse_s <= self.noted_s
            for lapse_s in self.minion.lapses_s
        )

    @property
    def progress_s(self):
        """Time that it has worked, with what its checkpoint has saved."""
        saved_s = int(self.carried[:8], 16) if self.carried else 0
        now_s = time.monotonic() if self.is_running else self.ended_s
        return saved_s + now_s - self.started_s

    @property
    def checkpoint(self):
        """The newest value that it has saved, or empty."""
        saved = int(self.progress_s / CHECKPOINT_S)
        if not saved or not self.saves:
            return ''
        return f'{saved:08x}{self.task[:8]}'

    @property
    def is_running(self):
        """True until the run has ended."""
        return self.ended_s is None

    def describe(self):
        """Returns task, run number and minion for the record."""
        return f'{self.task} run {self.number} on {self.minion.label}'


class Minion:
    """One machine with a minion on it, in one life after the other.

    Attributes:
        name: id of the minion, the same in each life.
        life: number of the present life, from 1; 0 before the first.
        is_up: True while its process runs.
        state: ``ready`` or ``draining``.
        is_mute: True while it neither answers nor carries out orders; its
            heartbeats go on.
        lapses_s: times at which its lease has lapsed, in all lives.
    """

    def __init__(self, rig, name, address, announced=None):
        self.rig = rig
        self.name = name
        self.address = address
        self.announced = announced or address
        self.life = 0
        self.is_up = False
        self.state = 'ready'
        self.lapses_s = []
        self.is_mute = False
        self.heartbeat_address = None
        self._server = None
        self._writers = set()
        self._tasks = []
        self._connections = {}
        self._born_ms = 0

    @property
    def label(self):
        """Name and life, for the record."""
        return f'{self.name}/{self.life}'

    def clock_ms(self):
        """Returns the time on the minion's own steady clock."""
        return int((time.monotonic() - self._born_s) * 1000)

    # Lives

    async def start(self):
        """Begins a new life, which knows nothing of the earlier ones."""
        self.life += 1
        self.is_up = True
        self.state = 'ready'
        self._born_s = time.monotonic()
        self._born_ms = max(time.time_ns() // 1000000, self._born_ms + 1)
        self._token = 0
        self._lease_ms = 0
        self._lapsed_lease_ms = 0
        self._running = {}
        self._highest = {}
        self._ends = []
        self._end_count = 0
        self._sequence = 0
        self._end_listed = asyncio.Event()
        self.heartbeat_address = None
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.rig.record('minion_up', minion=self.label, born=self._born_ms)
        self._tasks = [
            asyncio.create_task(self._watch_runs()),
            asyncio.create_task(self._send_heartbeats()),
        ]

    def crash(self, how='crashed'):
        """Ends the life at once; all runs end with it."""
        if not self.is_up:
            return
        self.is_up = False
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in self._tasks:
            if task is not asyncio.current_task():
                task.cancel()
        self.close_connections()
        self.rig.record('minion_down', minion=self.label, how=how)
        for run in list(self._running.values()):
            self._finish(run, how, listed=False)

    def close_connections(self):
        """Closes the connections to the control daemons."""
        for connection in self._connections.values():
            connection.close()
        self._connections = {}

    # Heartbeats

    def _make_heartbeat(self):
        self._sequence += 1
        heartbeat = {
            'service': SERVICE,
            'address': '%s:%d' % self.announced,
            'zone': 'tw-north-a',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_left_ms': 0,
            'capacity': {'cpu': 32000, 'mem_mb': 128000, 'gpu': 0},
            'labels': ['a', 'r1-1'],
            'clock_ms': self.clock_ms(),
            'sequence': self._sequence,
            'born': self._born_ms,
            'machine': f'm-{self.name}',
        }
        if self.state == 'draining':
            heartbeat['remaining_ms'] = 10000
        return heartbeat

    async def announce(self, action='heartbeat', rounds=1):
        """Sends a heartbeat, daemon by daemon until one acknowledges it.

        Returns:
            True if it was acknowledged.
        """
        addresses = list(self.rig.control_addresses(self))
        random.shuffle(addresses)
        addresses *= rounds
        if self.heartbeat_address is not None:
            addresses.insert(0, self.heartbeat_address)
        for address in addresses:
            connection = self._connections.setdefault(
                address, Connection(address)
            )
            body = {'born': self._born_ms}
            if action == 'heartbeat':
                body = self._make_heartbeat()
            path = f'/instances/{self.name}/{action}'
            status, answer = await connection.call(
                'POST', path, body, ACK_TIMEOUT_S
            )
            self.rig.record(
                action,
                minion=self.label,
                to=self.rig.name_of(address),
                state=self.state,
                status=status,
            )
            if status // 100 == 2:
                self._adopt_address((answer or {}).get('heartbeat_addr'))
                return True
            self.heartbeat_address = None
        return False

    def _adopt_address(self, text):
        if text:
            host, _, port = text.rpartition(':')
            self.heartbeat_address = self.rig.path_to_control(
                self, (host, int(port))
            )

    async def _send_heartbeats(self):
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    # Orders

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        life = self.life
        try:
            while True:
                first_line, headers, body = await read_message(reader)
                if self.is_mute:
                    self.rig.record(
                        'unanswered', minion=self.label, call=first_line
                    )
                    await reader.read()
                    return
                status, value = await self._handle(first_line, headers, body)
                if not self.is_up or life != self.life:
                    return
                data = json.dumps(
                    {'clock_ms': self.clock_ms(), **value}
                ).encode()
                head = [('Content-Type', 'application/json')]
                writer.write(
                    encode_message(f'HTTP/1.1 {status} X', head, data)
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _handle(self, first_line, headers, body):
        target = headers.get('fuchsiatrestle-target-instance', self.name)
        if target != self.name:
            return 421, {}
        order = json.loads(body)
        if order.get('fencing_token', 0) < self._token:
            return 409, {'reason': 'fence'}
        self._token = order.get('fencing_token', 0)
        path = first_line.split()[1]
        if path == '/run-start':
            return self._start_run(order)
        if path == '/run-stop':
            return self._stop_run(order)
        if path == '/hold':
            return await self._hold(order)
        if path == '/pace':
            return 200, {}
        return 404, {}

    def _extend_lease(self, until_ms):
        if until_ms is not None:
            latest_ms = self.clock_ms() + MAX_HOLD_MS
            self._lease_ms = max(self._lease_ms, min(until_ms, latest_ms))

    def _start_run(self, order):
        key = order['task'], order['run_id']
        if order['until_ms'] <= self.clock_ms():
            return 409, {'reason': 'late'}
        self._extend_lease(order['until_ms'])
        if key in self._running:
            return 200, {}
        if order['run_id'] <= self._highest.get(order['task'], 0):
            return 409, {'reason': 'old'}
        run = Run(self, order)
        self._running[key] = run
        self.rig.note_start(run)
        return 200, {}

    def _stop_run(self, order):
        key = order['task'], order['run_id']
        self._highest[key[0]] = max(key[1], self._highest.get(key[0], 0))
        run = self._running.get(key)
        self.rig.record('stop', minion=self.label, task=key[0], run=key[1])
        if run is not None:
            asyncio.get_running_loop().call_later(
                STOP_S, self._finish, run, 'stopped'
            )
        return 200, {}

    async def _hold(self, order):
        self._extend_lease(order.get('until_ms'))
        last_seen = order['last_seen']
        for run in self._ends:
            if run.end_number <= last_seen and run.noted_s is None:
                run.noted_s = time.monotonic()
        self._ends = [run for run in self._ends if run.end_number > last_seen]
        if not self._ends and order.get('wait_ms'):
            self._end_listed.clear()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(
                    self._end_listed.wait(), order['wait_ms'] / 1000
                )
        return 200, {
            'born': self._born_ms,
            'running': [
                [run.task, run.number, run.checkpoint, 50, 100]
                for run in self._running.values()
            ],
            'ended': [
                [run.end_number, run.task, run.number, run.how, run.checkpoint]
                for run in self._ends[:MAX_ENDS]
            ],
        }

    # Runs

    async def _watch_runs(self):
        while True:
            await asyncio.sleep(0.01)
            now_s = time.monotonic()
            is_lease_over = self.clock_ms() >= self._lease_ms
            if is_lease_over and self._lease_ms > self._lapsed_lease_ms:
                self._lapsed_lease_ms = self._lease_ms
                self.lapses_s.append(now_s)
                self.rig.record('lease_lapsed', minion=self.label)
            for run in list(self._running.values()):
                if is_lease_over:
                    self._finish(run, 'lapsed')
                elif run.progress_s >= run.work_s:
                    self._finish(run, 'done')

    def _finish(self, run, how, listed=True):
        if not run.is_running:
            return
        run.ended_s = time.monotonic()
        run.how = how
        self._running.pop((run.task, run.number), None)
        self._highest[run.task] = max(
            run.number, self._highest.get(run.task, 0)
        )
        self.rig.record('end', run=run.describe(), how=how)
        if listed:
            self._end_count += 1
            run.end_number = self._end_count
            self._ends.append(run)
            self._end_listed.set()


# The deployment


class Rig:
    """Three control daemons, one entry and stand-ins, all on loopback.

    Args:
        folder: folder of the case, which gets ``record.txt``.
        minion_count: number of minions.
        behind_proxies: True if each minion speaks through proxies.
    """

    def __init__(self, folder, minion_count=2, behind_proxies=False):
        self._record_path = pathlib.Path(folder) / 'record.txt'
        self._lines = []
        self._started_s = time.monotonic()
        self._data = tempfile.TemporaryDirectory()
        self._deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )
        self._network = find_free_network()
        self._ports = find_free_ports(6)
        self._processes = {}
        self._version = 0
        self.runs = []
        self.core = [f'{self._network}.1.{n + 1}' for n in range(3)]
        self.edge = f'{self._network}.2.1'
        self.minions = []
        self._control_proxies = {}
        self._minion_proxies = {}
        for number in range(minion_count):
            self._add_minion(f'i-{number + 1}', number, behind_proxies)

    def _add_minion(self, name, number, behind_proxies):
        address = f'{self._network}.3.{number + 1}', self._ports[4]
        if not behind_proxies:
            self.minions.append(Minion(self, name, address))
            return
        announced = f'{self._network}.4.{number + 1}', self._ports[4]
        self._minion_proxies[name] = Proxy(announced, address)
        self.minions.append(Minion(self, name, address, announced))
        self._control_proxies[name] = {}
        for position, host in enumerate(self.core):
            listen = f'{self._network}.{5 + number}.{position + 1}'
            target = host, self._ports[1]
            self._control_proxies[name][target] = Proxy(
                (listen, self._ports[5]), target
            )

    def control_addresses(self, minion):
        """Returns the control addresses as a minion reaches them."""
        return [
            self.path_to_control(minion, (host, self._ports[1]))
            for host in self.core
        ]

    def path_to_control(self, minion, address):
        """Returns the address at which a minion reaches a daemon."""
        proxies = self._control_proxies.get(minion.name, {})
        proxy = proxies.get(address)
        return proxy._listen if proxy else address

    def name_of(self, address):
        """Returns the name of the daemon behind an address."""
        host = address[0]
        if host in self.core:
            return f'c{self.core.index(host) + 1}'
        return f'c{host.rpartition(".")[2]}'

    def cut_one_way(self, minion):
        """Cuts a minion off: what it sends arrives, nothing reaches it."""
        self.record('cut', minion=minion.label, how='one_way')
        self._minion_proxies[minion.name].cut('to_target')
        for proxy in self._control_proxies[minion.name].values():
            proxy.cut('to_caller')

    def cut_off(self, minion):
        """Cuts a minion off in both directions; it runs on."""
        self.record('cut', minion=minion.label, how='both_ways')
        for proxy in (
            self._minion_proxies[minion.name],
            *self._control_proxies[minion.name].values(),
        ):
            proxy.cut('to_target')
            proxy.cut('to_caller')

    def heal(self, minion):
        """Ends the cut of a minion."""
        self.record('heal', minion=minion.label)
        self._minion_proxies[minion.name].heal()
        for proxy in self._control_proxies[minion.name].values():
            proxy.heal()

    # Record

    def record(self, event, **fields):
        """Adds a line to the record of the case."""
        at_s = time.monotonic() - self._started_s
        text = ' '.join(f'{key}={value}' for key, value in fields.items())
        self._lines.append(f'{at_s:9.3f} {event} {text}'.rstrip())

    def write_record(self):
        """Writes the record to ``record.txt`` in the folder of the case."""
        self._record_path.write_text('\n'.join(self._lines) + '\n')

    def note_start(self, run):
        """Records the start of a run on a minion."""
        self.runs.append(run)
        carried = run.carried or 'none'
        self.record('start', run=run.describe(), checkpoint=carried)

    def find_doubles(self):
        """Returns pairs of runs of one task at work at the same time."""
        doubles = []
        now_s = time.monotonic()
        earlier_runs = {}
        for run in self.runs:
            for earlier in earlier_runs.setdefault(run.task, []):
                if run.started_s < (earlier.ended_s or now_s):
                    doubles.append((earlier, run))
            earlier_runs[run.task].append(run)
        return doubles

    def find_starts_after_done(self):
        """Returns pairs of a run that ended ``done`` and a later one.

        The end was taken note of, and no lease lapsed between the two.
        """
        runs_by_task = {}
        for run in self.runs:
            runs_by_task.setdefault(run.task, []).append(run)
        return [
            (first, second)
            for runs in runs_by_task.values()
            for first in runs
            for second in runs
            if first.how == 'done'
            and first.noted_s is not None
            and not first.has_lapsed_before_note
            and second.started_s > first.ended_s
        ]

    # Programs

    def _make_fields(self, ip, seeds, bootstrap, data_dir=''):
        link_port, control_port, front_port, ready_port = self._ports[:4]
        return {
            'ip': ip,
            'zone': 'tw-north-a',
            'bootstrap': bootstrap,
            'data_dir': data_dir,
            'internal_ports': [link_port, link_port + 1],
            'seed_nodes': [f'{host}:{control_port}' for host in seeds],
            'heartbeat_ms': int(HEARTBEAT_S * 1000),
            'listen_addrs': {
                'control': f'{ip}:{control_port}',
                'front': f'{ip}:{front_port}',
                'ready': f'{ip}:{ready_port}',
            },
            'fault_tolerance': {'machines': 1},
            'bounds': {'max_hold_ms': MAX_HOLD_MS, 'grace_s': 6},
        }

    def start_program(self, ip, role):
        """Starts a program as the deploy file says."""
        known = ip in self._processes
        data_dir = os.path.join(self._data.name, ip)
        os.makedirs(data_dir, exist_ok=True)
        template = ROOT / self._deploy['roles'][role]['template']
        fields = self._make_fields(ip, self.core, not known, data_dir)
        boot = os.path.join(self._data.name, f'{ip}.ini')
        pathlib.Path(boot).write_text(render(template.read_text(), fields))
        environment = {
            name: os.environ[name]
            for name in PROGRAM_ENVIRONMENT
            if name in os.environ
        }
        environment['FUCHSIATRESTLE_BOOT'] = boot
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with open(os.path.join(self._data.name, f'{ip}.log'), 'ab') as log:
            self._processes[ip] = subprocess.Popen(
                self._deploy['roles'][role]['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record('program_up', role=role, at=ip)

    def signal_program(self, ip, number):
        """Sends a signal to a program that this rig has started."""
        self.record('signal', to=ip, number=number.name)
        self._processes[ip].send_signal(number)

    def exit_status(self, ip):
        """Returns the exit status of a program, None while it runs."""
        return self._processes[ip].poll()

    def read_log(self, ip):
        """Returns what a program has logged."""
        path = os.path.join(self._data.name, f'{ip}.log')
        return pathlib.Path(path).read_text(errors='replace')

    async def start(self):
        """Starts everything, with a configuration in force.

        Raises:
            NotRun: the deployment did not become ready.
        """
        for ip in self.core:
            self.start_program(ip, 'control')
        self.start_program(self.edge, 'entry')
        for proxies in self._control_proxies.values():
            for proxy in proxies.values():
                await proxy.start()
        for proxy in self._minion_proxies.values():
            await proxy.start()
        deadline_s = time.monotonic() + START_LIMIT_S
        while not await self.put_configuration():
            if time.monotonic() > deadline_s:
                raise NotRun('no configuration acknowledged')
            await asyncio.sleep(0.2)
        for minion in self.minions:
            await minion.start()
        while await self._get_ready_status() != 200:
            if time.monotonic() > deadline_s:
                raise NotRun('the entry is not ready')
            await asyncio.sleep(0.2)

    async def _get_ready_status(self):
        connection = Connection((self.edge, self._ports[3]))
        status, _ = await connection.call('GET', '/ready')
        connection.close()
        return status

    async def stop(self):
        """Ends all that was started."""
        for minion in self.minions:
            minion.crash('end_of_case')
        for proxies in self._control_proxies.values():
            for proxy in proxies.values():
                proxy.stop()
        for proxy in self._minion_proxies.values():
            proxy.stop()
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        keep = os.environ.get('REVIEW_LOGS')
        if keep:
            for ip in self._processes:
                (pathlib.Path(keep) / f'{ip}.log').write_text(
                    self.read_log(ip)
                )
        self._data.cleanup()

    # The operator and the clients

    async def put_configuration(self, **route_fields):
        """Sends a configuration to each daemon until one acknowledges it.

        One that was not acknowledged is sent again under its version.

        Returns:
            True if it was acknowledged.
        """
        version = self._version + 1
        route = {
            'name': 'r-3hwrr6x',
            'host': HOST,
            'path_prefix': PREFIX,
            'route_kind': 'non_idempotent',
            'timeout_ms': 3000,
            'target_latency_ms': 250,
            'priority': 0,
            'service': SERVICE,
            'max_attempts': 3,
            'stretch': 1.5,
            **route_fields,
        }
        service = {
            'name': SERVICE,
            'health_path': '/health',
            'max_connections': 64,
            'protocol': 'h1',
            'tls': False,
            'admission_check': False,
            'standby': False,
        }
        document = {
            'version': version,
            'routes': [route],
            'services': [service],
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144},
        }
        for host in self.core:
            connection = Connection((host, self._ports[1]))
            status, _ = await connection.call(
                'POST', '/config/put', document, 3.0
            )
            connection.close()
            self.record('config_put', version=version, status=status)
            if status == 200:
                self._version = version
                return True
        return False

    async def call_control(self, host, method, path, body, timeout_s=1.0):
        """Calls a control daemon once; returns status and JSON value."""
        connection = Connection((host, self._ports[1]))
        result = await connection.call(method, path, body, timeout_s)
        connection.close()
        return result

    async def call_entry(self, method, path, body=None):
        """Makes a call of a client; returns status and JSON value."""
        connection = Connection((self.edge, self._ports[2]))
        headers = [('Host', HOST), ('Fuchsiatrestle-Deadline-Ms', '3000')]
        status, value = await connection.call(method, path, body, 3.0, headers)
        connection.close()
        self.record('client', method=method, path=path, status=status)
        return status, value

    async def submit(self, job_id, work_s, **step_fields):
        """Hands a job in until it is accepted; returns the status.

        Args:
            job_id: ID of the job.
            work_s: time that each task works, told in the task_spec.
            **step_fields: fields of its only step.
        """
        step = {
            'count': 1,
            'cpu': 2300,
            'mem_mb': 4600,
            'est_runtime_ms': int(work_s * 1000),
            **step_fields,
        }
        spec = f'work {work_s}'
        if step.get('checkpointing'):
            spec += ' saves'
        job = {'task_spec': spec, 'steps': [step]}
        for _ in range(5):
            status, _ = await self.call_entry('POST', PREFIX + job_id, job)
            if status // 100 == 2:
                return status
            await asyncio.sleep(0.2)
        return status

    async def get_state(self, job_id):
        """Returns the state of a job as a client sees it, or the status."""
        status, value = await self.call_entry('GET', PREFIX + job_id)
        return value.get('state') if status == 200 else status

    async def wait_for_state(self, job_id, states, timeout_s):
        """Returns the last state seen, once it is one of ``states``."""
        deadline_s = time.monotonic() + timeout_s
        while True:
            state = await self.get_state(job_id)
            if state in states or time.monotonic() > deadline_s:
                return state
            await asyncio.sleep(0.2)

    async def find_leader(self):
        """Returns the host of the daemon that heartbeats are led to."""
        minion = next(minion for minion in self.minions if minion.is_up)
        deadline_s = time.monotonic() + START_LIMIT_S
        while time.monotonic() < deadline_s:
            if minion.heartbeat_address is not None:
                name = self.name_of(minion.heartbeat_address)
                return self.core[int(name[1:]) - 1]
            await asyncio.sleep(0.1)
        raise NotRun('no leader found')


def make_job_id():
    """Returns a new ID of a job."""
    return f'{random.getrandbits(64):016x}'


def find_free_network():
    """Returns the first two numbers of loopback addresses that are free.

    The templates name a fixed port for metrics, so the addresses have to
    differ from those of other deployments on the machine.
    """
    while True:
        network = f'127.{random.randint(20, 250)}'
        with socket.socket() as probe:
            with contextlib.suppress(OSError):
                probe.bind((f'{network}.1.1', METRICS_PORT))
                return network


def find_free_ports(count):
    """Returns free ports below the range of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 31000, 10)
        with socket.socket() as probe:
            with contextlib.suppress(OSError):
                probe.bind(('', port))
                if port not in ports:
                    ports.append(port)
    return ports


def render(template, fields):
    """Fills in the placeholders of a template of settings."""

    def replace(match):
        value = fields
        for part in match[1].split('.'):
            value = value[int(part)] if part.isdigit() else value[part]
        if isinstance(value, list):
            return ','.join(map(str, value))
        if isinstance(value, bool):
            return str(value).lower()
        return str(value)

    return re.sub(r'\{\{([a-z_0-9.]+)\}\}', replace, template)


def run_case(folder, play, **options):
    """Plays a case and exits with its status.

    Args:
        folder: folder of the case.
        play: coroutine function that gets the ``Rig`` and returns ``HELD`` or
            ``BROKEN``.
        **options: arguments of ``Rig``.
    """

    async def main():
        rig = Rig(folder, **options)
        status = NOT_RUN
        try:
            await rig.start()
            status = await play(rig)
        except Exception as exc:
            rig.record('not_run', reason=repr(exc))
            print(f'not run: {exc!r}', file=sys.stderr)
        finally:
            await rig.stop()
            verdict = {HELD: 'held', BROKEN: 'BROKEN', NOT_RUN: 'not run'}
            rig.record('verdict', rule=verdict[status])
            rig.write_record()
        return status

    sys.exit(asyncio.run(main()))
