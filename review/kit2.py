"""Stand-ins of the second review: a small deployment on loopback.

Everything here needs only the standard library.  The product's processes are
started with the commands of ``deploy/system.toml``; their settings are the
templates of ``deploy/``, filled in as ``DEPLOY.md`` describes it.  Minions,
clients and the operator are small stand-ins that follow ``PROTOCOL.md``.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_MS = 1100
RESTART_DELAY_S = 0.5
# Bounds of the site vejpukis-sched.
BOUNDS = {
    'seed_lag_s': 3,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 6,
    'config_apply_ms': 2000,
    'max_stretch_ms': 5000,
    'recovery_s': 12,
    'max_hold_ms': 6000,
    'stop_ms': 900,
    'gang_wait_ms': 3000,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'early_ms': 250,
    'finish_s': 14,
    'status_s': 120,
    'far_factor': 1.5,
    'checkpoint_s': 1,
    'restore_ms': 100,
    'notice_ms': 4500,
    'pace_ms': 100,
}
HOST = 'nony24.example'
PREFIX = '/lohu930/'
SERVICE = 'huvo11a'

HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run; says nothing about the rule."""


def now_ms():
    """Returns monotonic time in whole milliseconds."""
    return time.monotonic_ns() // 1000000


def has_trouble():
    """Returns False if the case runs without its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run, one line each."""

    def __init__(self, path):
        self._stream = open(path, 'w', encoding='utf-8')
        self._begin_ms = now_ms()

    def write(self, event, **fields):
        """Writes one line with the time since the start."""
        at_s = (now_ms() - self._begin_ms) / 1000
        text = ' '.join(f'{key}={value}' for key, value in fields.items())
        self._stream.write(f'{at_s:8.3f} {event} {text}\n')
        self._stream.flush()

    def close(self):
        """Closes the file."""
        self._stream.close()


# Settings


def _look_up(scopes, name):
    if name == '.':
        return scopes[-1][0]
    for value, _, _, _ in reversed(scopes):
        found = value
        for part in name.split('.'):
            if isinstance(found, dict) and part in found:
                found = found[part]
            elif isinstance(found, list) and part.isdigit():
                found = found[int(part)]
            else:
                break
        else:
            return found
    return None


def _to_text(value):
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, list):
        return ','.join(map(_to_text, value))
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


_TAG = re.compile(r'\{\{([#^/]?)([^}|]+)(\|json)?\}\}')


def render(template, fields):
    """Returns a template filled in from the fields of the platform."""
    return _render(template, [(fields, '', 0, 1)])


def _render(text, scopes):
    out = []
    position = 0
    while match := _TAG.search(text, position):
        out.append(text[position : match.start()])
        kind, name, as_json = match.groups()
        position = match.end()
        if kind in ('#', '^'):
            close = text.index('{{/' + name + '}}', position)
            inner = text[position:close]
            position = close + len('{{/' + name + '}}')
            out.append(_render_section(kind, name, inner, scopes))
        elif name == '@':
            out.append(_to_text(scopes[-1][1]))
        elif name == ',':
            out.append(',' if scopes[-1][2] + 1 < scopes[-1][3] else '')
        elif as_json:
            out.append(json.dumps(_look_up(scopes, name)))
        else:
            out.append(_to_text(_look_up(scopes, name)))
    return ''.join([*out, text[position:]])


def _render_section(kind, name, inner, scopes):
    value = _look_up(scopes, name)
    if kind == '^':
        return _render(inner, scopes) if not value else ''
    if isinstance(value, (list, dict)):
        items = (
            list(value.items())
            if isinstance(value, dict)
            else list(enumerate(value))
        )
        return ''.join(
            _render(inner, [*scopes, (item, key, place, len(items))])
            for place, (key, item) in enumerate(items)
        )
    return _render(inner, scopes) if value else ''


def find_free_ports(count):
    """Returns ports that nothing listens on at the moment."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind(('127.0.0.1', 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


# HTTP


async def read_head(reader):
    """Returns the first line and the headers of a message."""
    first_line = (await reader.readline()).decode('latin-1').rstrip('\r\n')
    headers = {}
    while line := (await reader.readline()).decode('latin-1').rstrip('\r\n'):
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first_line, headers


async def _exchange(address, method, path, body, headers):
    reader, writer = await asyncio.open_connection(*address)
    try:
        head = {
            'Host': f'{address[0]}:{address[1]}',
            'Content-Type': 'application/json',
            'Content-Length': str(len(body)),
            'Connection': 'close',
            **headers,
        }
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in head.items()]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await writer.drain()
        first_line, received = await read_head(reader)
        status = int(first_line.split()[1])
        size = int(received.get('content-length', 0))
        return status, await reader.readexactly(size)
    finally:
        writer.close()


async def call(address, method, path, value=None, headers=None, wait_s=1.0):
    """Makes one call; returns status and JSON value, (0, None) without one.

    Args:
        address: (host, port).
        method: HTTP method.
        path: path of the call.
        value: JSON value of the body, or bytes that are sent as they are.
        headers: further headers.
        wait_s: time for the answer.
    """
    body = value if isinstance(value, bytes) else b''
    if value is not None and not isinstance(value, bytes):
        body = json.dumps(value).encode()
    try:
        status, text = await asyncio.wait_for(
            _exchange(address, method, path, body, headers or {}), wait_s
        )
        return status, json.loads(text) if text else None
    except (OSError, EOFError, ValueError, IndexError, asyncio.TimeoutError):
        return 0, None


# Processes of the product


class Process:
    """A process of the product; a platform restarts it when it has ended.

    Attributes:
        own_ends: times at which the process has ended by itself.
    """

    def __init__(self, rig, name, role, host, fields):
        self.name = name
        self.host = host
        self.own_ends = []
        self.keeps_running = True
        self._rig = rig
        self._command = rig.roles[role]['run'].split()
        self._template = rig.roles[role]['template']
        self._fields = fields
        self._popen = None
        self._settings_path = os.path.join(rig.folder, f'{name}.ini')
        self.log_path = os.path.join(rig.folder, f'{name}.log')
        self.data_folder = fields.get('data_dir')
        if self.data_folder:
            os.makedirs(self.data_folder, exist_ok=True)

    @property
    def pid(self):
        """Id of the process that was started last."""
        return self._popen.pid

    @property
    def running(self):
        """True while the process runs."""
        return self._popen is not None and self._popen.poll() is None

    def write_settings(self, **changes):
        """Renders the settings file of the process."""
        self._fields.update(changes)
        template = (ROOT / self._template).read_text(encoding='utf-8')
        with open(self._settings_path, 'w', encoding='utf-8') as stream:
            stream.write(render(template, self._fields))

    def start(self):
        """Starts the process with the command of the deploy file."""
        self.write_settings()
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['FUCHSIATRESTLE_BOOT'] = self._settings_path
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with open(self.log_path, 'ab') as log:
            self._popen = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._rig.record.write('process_started', name=self.name)

    def send_signal(self, signum):
        """Sends a signal to the process."""
        self._rig.record.write('signal', name=self.name, signum=signum)
        self._popen.send_signal(signum)

    def kill(self):
        """Kills the process and waits for its end."""
        if self.running:
            self._rig.record.write('killed', name=self.name)
            self._popen.kill()
        if self._popen is not None:
            self._popen.wait()

    def check(self):
        """Restarts the process if it has ended by itself."""
        if self.running or not self.keeps_running:
            return
        status = self._popen.poll()
        self.own_ends.append(time.monotonic())
        self._rig.record.write(
            'process_ended_by_itself',
            name=self.name,
            status=status,
            last=self.last_line(),
        )

    def last_line(self):
        """Returns the last line of the log."""
        with open(self.log_path, encoding='utf-8', errors='replace') as log:
            lines = [line.strip() for line in log if line.strip()]
        if not lines:
            return ''
        # Records hold no path of the machine.
        return repr(lines[-1].replace(f'{ROOT}/', '')[:200])


# Minions


class Run:
    """A run on a minion."""

    __slots__ = (
        'alone_ms',
        'checkpoint',
        'done_ms',
        'key',
        'pace',
        'saved_ms',
        'started_ms',
        'stop_ms',
        'worked_ms',
        'working_since_ms',
    )

    def __init__(self, key, checkpoint, started_ms):
        self.key = key
        self.checkpoint = checkpoint
        self.started_ms = started_ms
        self.working_since_ms = None
        self.worked_ms = 0
        self.saved_ms = 0
        self.alone_ms = None
        self.done_ms = None
        self.stop_ms = None
        self.pace = 100


class Minion:
    """One life of a minion, as ``PROTOCOL.md`` describes it.

    Args:
        rig: the ``Rig``.
        name: its id.
        address: (host, port) that it listens on.
        labels: its kind and its rack.
        cpu: processors, in thousandths of a core.
    """

    def __init__(self, rig, name, address, labels=('a', 'r1-1'), cpu=16000):
        self.rig = rig
        self.name = name
        self.address = address
        self.labels = list(labels)
        self.cpu = cpu
        self.mem_mb = 32768
        self.state = 'ready'
        self.born_ms = time.time_ns() // 1000000
        self._begin_ms = now_ms()
        self.sequence = 0
        self.token = 0
        self.until_ms = 0
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.end_count = 0
        self.forgotten = 0
        self.changed = asyncio.Event()
        self.is_up = False
        self._server = None
        self._tasks = []
        self._writers = set()
        self.heartbeat_to = None

    # Life

    async def start(self):
        """Starts to listen and to send heartbeats."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.is_up = True
        self._tasks = [
            asyncio.ensure_future(self._beat()),
            asyncio.ensure_future(self._advance_forever()),
        ]
        self.rig.record.write(
            'minion_up', name=self.name, address=self.address[0]
        )

    def crash(self):
        """Ends the minion at once; nothing that ran on it goes on."""
        if not self.is_up:
            return
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for run in list(self.runs.values()):
            self.rig.ledger.end(self, run, 'crashed')
        lost = len(self.runs)
        self.runs = {}
        self.rig.record.write('minion_crashed', name=self.name, runs=lost)

    @property
    def clock_ms(self):
        """The minion's steady clock."""
        return now_ms() - self._begin_ms + 1000

    def make_heartbeat(self):
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        return {
            'service': SERVICE,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': 'riga-a',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_left_ms': 0,
            'capacity': {'cpu': self.cpu, 'mem_mb': self.mem_mb, 'gpu': 0},
            'labels': self.labels,
            'clock_ms': self.clock_ms,
            'sequence': self.sequence,
            'born': self.born_ms,
            'machine': f'm-{self.name}',
        }

    async def _beat(self):
        while True:
            await self.rig.announce(self, self.make_heartbeat())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    # Calls

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first_line, headers = await read_head(reader)
                if not first_line:
                    return
                size = int(headers.get('content-length', 0))
                body = json.loads(await reader.readexactly(size) or b'{}')
                path = first_line.split()[1]
                status, answer = await self._handle(path, headers, body)
                if not self.is_up:
                    return
                text = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(text)}\r\n\r\n'.encode()
                    + text
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, path, headers, body):
        target = headers.get('fuchsiatrestle-target-instance', self.name)
        if target != self.name:
            return 421, {}
        token = body.get('fencing_token', 0)
        if token < self.token:
            return 409, {'clock_ms': self.clock_ms, 'reason': 'fence'}
        self.token = token
        handlers = {
            '/run-start': self._start_run,
            '/run-stop': self._stop_run,
            '/pace': self._pace_run,
        }
        if path == '/hold':
            return await self._hold(body)
        if path not in handlers:
            return 404, {}
        status, reason = handlers[path](body)
        answer = {'clock_ms': self.clock_ms}
        if reason:
            answer['reason'] = reason
        if path != '/pace':
            self.rig.record.write(
                path[1:],
                minion=self.name,
                task=body['task'],
                run=body['run_id'],
                token=token,
                checkpoint=body.get('checkpoint', '-'),
                status=status,
                reason=reason or '-',
            )
        return status, answer

    def _start_run(self, body):
        self.advance()
        key = (body['task'], body['run_id'])
        if key in self.runs:
            self._extend(body['until_ms'])
            return 200, ''
        if body['run_id'] <= self.highest.get(body['task'], 0):
            self._extend(body['until_ms'])
            return 409, 'old'
        if body['until_ms'] <= self.clock_ms:
            return 409, 'late'
        self._extend(body['until_ms'])
        run = Run(key, body.get('checkpoint', ''), now_ms())
        self.highest[body['task']] = body['run_id']
        self.runs[key] = run
        self.rig.ledger.start(self, run, body)
        return 200, ''

    def _stop_run(self, body):
        self.advance()
        key = (body['task'], body['run_id'])
        self.highest[body['task']] = max(
            body['run_id'], self.highest.get(body['task'], 0)
        )
        run = self.runs.get(key)
        if run is not None and run.stop_ms is None:
            run.stop_ms = now_ms() + 100
        return 200, ''

    def _pace_run(self, body):
        run = self.runs.get((body['task'], body['run_id']))
        if run is None:
            return 409, 'old'
        run.pace = body['percent']
        return 200, ''

    def _extend(self, until_ms):
        latest_ms = self.clock_ms + BOUNDS['max_hold_ms']
        self.until_ms = max(self.until_ms, min(until_ms, latest_ms))

    async def _hold(self, body):
        if body.get('until_ms') is not None:
            self._extend(body['until_ms'])
        self.forgotten = max(self.forgotten, body.get('last_seen', 0))
        for row in self.ended:
            if row[0] <= body.get('last_seen', 0):
                self.rig.ledger.note(row)
        self.ended = [row for row in self.ended if row[0] > self.forgotten]
        wait_until_ms = now_ms() + min(2000, body.get('wait_ms', 0))
        while not self.ended and now_ms() < wait_until_ms:
            await asyncio.sleep(0.01)
        self.advance()
        return 200, {
            'clock_ms': self.clock_ms,
            'born': self.born_ms,
            'running': [
                [run.key[0], run.key[1], run.checkpoint, self._percent(run), 0]
                for run in self.runs.values()
            ],
            'ended': self.ended[:500],
        }

    def _percent(self, run):
        total_ms = self.rig.work_ms(run.key[0])
        if total_ms is None:
            return 100
        return min(99, int(100 * run.worked_ms / max(1, total_ms)))

    # Work

    async def _advance_forever(self):
        while True:
            self.advance()
            await asyncio.sleep(0.01)

    def advance(self):
        """Lets the runs work up to now."""
        if not self.is_up:
            return
        for run in list(self.runs.values()):
            if run.key not in self.runs:
                continue
            if self.clock_ms > self.until_ms:
                self.end(run, 'lapsed')
            elif run.stop_ms is not None and now_ms() >= run.stop_ms:
                self.end(run, 'stopped')
            else:
                self.rig.work(self, run)

    def end(self, run, how):
        """Ends a run and lists its end."""
        del self.runs[run.key]
        self.end_count += 1
        row = [self.end_count, *run.key, how, run.checkpoint]
        self.ended.append(row)
        self.rig.ledger.end(self, run, how)


class Ledger:
    """What the minions were told and what they ran.

    Attributes:
        breaches: texts, each of a rule that was broken.
    """

    def __init__(self, rig):
        self._rig = rig
        self.running = {}
        self.ends = []
        self.noted_done = set()
        self.done = set()
        self.starts = []
        self.breaches = []

    def breach(self, rule, text):
        """Records that a rule was broken."""
        self.breaches.append(f'{rule}: {text}')
        self._rig.record.write('BROKEN', rule=rule, what=text)

    def start(self, minion, run, body):
        """Records a start and checks TWICE."""
        task = run.key[0]
        self.starts.append((now_ms(), minion.name, run.key, run.checkpoint))
        others = [
            (key, name) for key, name in self.running.items() if key[0] == task
        ]
        if others and not self._rig.allows_copies(task):
            self.breach('TWICE', f'{run.key} on {minion.name} and {others}')
        if task in self.noted_done and not self._rig.allows_copies(task):
            self.breach('TWICE', f'{run.key} after its end was noted')
        self.running[run.key] = minion.name

    def end(self, minion, run, how):
        """Records an end."""
        self.running.pop(run.key, None)
        self.ends.append((now_ms(), minion.name, run.key, how))
        if how == 'done':
            self.done.add(run.key[0])
        self._rig.record.write(
            'run_ended',
            minion=minion.name,
            task=run.key[0],
            run=run.key[1],
            how=how,
            saved=run.checkpoint or '-',
        )

    def note(self, row):
        """Records that an end was taken note of."""
        if row[3] == 'done':
            self.noted_done.add(row[1])


# The deployment


class Rig:
    """A small deployment: core and edge machines, minions, operator, clients.

    Args:
        folder: folder of the case, for ``record.txt``.
        core: number of core machines.
        edge: number of edge machines.
    """

    def __init__(self, folder, core=3, edge=2):
        self.record = Record(os.path.join(folder, 'record.txt'))
        self.folder = tempfile.mkdtemp(prefix='review2-')
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as stream:
            self.roles = tomllib.load(stream)['roles']
        self.net = f'127.{random.randint(10, 250)}.{random.randint(1, 250)}'
        self.front, self.ready, self.control, internal = find_free_ports(4)
        self._internal = internal
        self.minion_port = find_free_ports(1)[0]
        self.ledger = Ledger(self)
        self.minions = {}
        self.jobs = {}
        self.hosts = [f'{self.net}.{n + 1}' for n in range(core)]
        self.seeds = [f'{host}:{self.control}' for host in self.hosts[:3]]
        self.cores = [
            Process(
                self,
                f'core-{number}',
                'control',
                host,
                self._make_fields('core', host, number),
            )
            for number, host in enumerate(self.hosts)
        ]
        self.edges = [
            Process(
                self,
                f'edge-{number}',
                'entry',
                f'{self.net}.{100 + number}',
                self._make_fields(
                    'edge', f'{self.net}.{100 + number}', number
                ),
            )
            for number in range(edge)
        ]
        self.processes = [*self.cores, *self.edges]
        self._watcher = None
        self._config = None

    def _make_fields(self, kind, host, number):
        zones = ['riga-a', 'riga-b', 'riga-c']
        fields = {
            'node_name': f'{kind}-{number}',
            'role': 'control' if kind == 'core' else 'entry',
            'machine_class': kind,
            'ip': host,
            'zone': zones[number % 3],
            'region': 'riga-region',
            'internal_ports': [self._internal, self._internal + 15],
            'seed_nodes': self.seeds,
            'bootstrap': True,
            'fault_counted': kind == 'core',
            'discovery': 'registry',
            'entry': 'vip',
            'heartbeat_ms': HEARTBEAT_MS,
            'config_mode': 'highest',
            'orders': 'invocation',
            'zones': {zone: 'riga-region' for zone in zones},
            'bounds': BOUNDS,
            'fault_tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'limits': {'memory_mb': 296, 'max_fds': 4096},
        }
        if kind == 'core':
            fields['listen_addrs'] = {'control': f'{host}:{self.control}'}
            fields['data_dir'] = os.path.join(self.folder, f'data-{number}')
        else:
            fields['listen_addrs'] = {
                'front': f'{host}:{self.front}',
                'ready': f'{host}:{self.ready}',
            }
        return fields

    # Hooks that a case may replace

    def work_ms(self, task):
        """Returns the work of a task, None for one that lasts."""
        step = self.find_step(task)
        return None if step.get('long_running') else step['work_ms']

    def find_step(self, task):
        """Returns the step of a task, with its ``work_ms``."""
        name, _, step_number, _ = task.split('.')
        return self.jobs[name][int(step_number)]

    def allows_copies(self, task):
        """Returns True if copies of a task may run in parallel."""
        return bool(self.find_step(task).get('speculative'))

    def work(self, minion, run):
        """Lets a run work up to now; ends it when it is done."""
        if run.working_since_ms is None:
            run.working_since_ms = now_ms()
        elapsed_ms = now_ms() - run.working_since_ms
        run.working_since_ms = now_ms()
        run.worked_ms += elapsed_ms * run.pace / 100
        total_ms = self.work_ms(run.key[0])
        if total_ms is not None and run.worked_ms >= total_ms:
            minion.end(run, 'done')

    # Start and stop

    async def start(self):
        """Starts the processes; returns when an edge machine is ready."""
        if not (ROOT / 'target' / 'deps').is_dir():
            raise NotRunError('target/deps is missing: run the build')
        for process in self.processes:
            process.start()
        self._watcher = asyncio.ensure_future(self._watch())
        for process in self.edges:
            await self.wait_for(
                lambda process=process: self._is_ready(process), 30, 'ready'
            )

    async def _is_ready(self, process):
        status, _ = await call((process.host, self.ready), 'GET', '/ready')
        return status == 200

    async def wait_for(self, condition, wait_s, what):
        """Waits for a coroutine function to return a true value.

        Raises:
            NotRunError: it did not in time.
        """
        deadline_s = time.monotonic() + wait_s
        while time.monotonic() < deadline_s:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise NotRunError(f'no {what} within {wait_s} s')

    async def _watch(self):
        """Does what the platform does: restarts what has ended."""
        while True:
            await asyncio.sleep(0.05)
            for process in self.processes:
                if process.keeps_running and not process.running:
                    process.check()
                    process.keeps_running = False
                    asyncio.ensure_future(self._restart(process))

    async def _restart(self, process):
        await asyncio.sleep(RESTART_DELAY_S)
        process.start()
        process.keeps_running = True

    def close(self):
        """Ends all processes and removes the temporary folder."""
        if self._watcher is not None:
            self._watcher.cancel()
        for process in self.processes:
            process.keeps_running = False
            process.kill()
        if os.environ.get('KEEP'):
            print('kept', self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Minions

    async def add_minion(self, number, name=None, **fields):
        """Starts a minion at the address of its number."""
        name = name or f'i-{number:08x}'
        address = (f'{self.net}.{150 + number}', self.minion_port)
        minion = Minion(self, name, address, **fields)
        self.minions[name] = minion
        await minion.start()
        return minion

    async def announce(self, sender, body, path=None):
        """Sends a heartbeat as a minion does: to the next daemon on failure.

        Args:
            sender: has ``name`` and ``heartbeat_to``.
            body: the heartbeat, a value or bytes.
            path: path of the call, that of a heartbeat by default.
        """
        path = path or f'/instances/{sender.name}/heartbeat'
        addresses = [(host, self.control) for host in self.hosts]
        random.shuffle(addresses)
        if sender.heartbeat_to:
            addresses.insert(0, sender.heartbeat_to)
        for address in addresses:
            status, answer = await call(address, 'POST', path, body)
            if status and 200 <= status < 300:
                text = (answer or {}).get('heartbeat_addr')
                if text:
                    host, _, port = text.rpartition(':')
                    sender.heartbeat_to = (host, int(port))
                return status
            sender.heartbeat_to = None
        return status

    # Operator and clients

    async def put_config(self, version=1, **route):
        """Sends a configuration until it is acknowledged."""
        self._config = {
            'version': version,
            'routes': [
                {
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
                    **route,
                }
            ],
            'services': [
                {
                    'name': SERVICE,
                    'health_path': '/health',
                    'max_connections': 64,
                    'protocol': 'h1',
                    'tls': False,
                    'admission_check': False,
                    'standby': False,
                }
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 262144,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        }
        for attempt in range(100):
            host = self.hosts[attempt % len(self.hosts)]
            status, _ = await call(
                (host, self.control), 'POST', '/config/put', self._config
            )
            if status == 200:
                self.record.write('config_acknowledged', version=version)
                return
            await asyncio.sleep(0.1)
        raise NotRunError('configuration not acknowledged')

    async def request(self, method, name, value=None, wait_s=3.0):
        """Makes a client's call at an edge machine chosen by lot."""
        process = random.choice(self.edges)
        status, answer = await call(
            (process.host, self.front),
            method,
            PREFIX + name,
            value,
            {
                'Host': HOST,
                'Fuchsiatrestle-Deadline-Ms': str(int(wait_s * 1000)),
            },
            wait_s,
        )
        self.record.write(
            'client',
            call=method,
            job=name or '-',
            edge=process.name,
            status=status,
            answer=json.dumps(answer),
        )
        return status, answer

    async def submit(self, name, steps, **fields):
        """Submits a job until it is accepted or rejected.

        Args:
            name: ID of the job.
            steps: its steps; ``work_ms`` of each stays with the stand-in.
            **fields: further fields of the job.

        Returns:
            The last status.
        """
        self.jobs[name] = steps
        sent = [
            {key: value for key, value in step.items() if key != 'work_ms'}
            for step in steps
        ]
        job = {'task_spec': f'spec of {name}', 'steps': sent, **fields}
        for _ in range(20):
            status, _ = await self.request('POST', name, job)
            if status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.3)
        return status

    async def state(self, name):
        """Returns the state of a job as a client sees it."""
        status, answer = await self.request('GET', name)
        if status == 200:
            return answer['state']
        return str(status)

    async def wait_state(self, name, states, wait_s):
        """Waits until a job has one of some states; returns the last one."""
        deadline_s = time.monotonic() + wait_s
        state = ''
        while time.monotonic() < deadline_s:
            state = await self.state(name)
            if state in states:
                break
            await asyncio.sleep(0.25)
        return state


def make_job_id(number):
    """Returns a job's ID: 16 hexadecimal digits."""
    return f'{0x5C0E7A21D94B0000 + number:016x}'


def run_case(main, folder, wait_s=110, **rig_fields):
    """Runs a case; ends the process with 0, 1 or 2.

    Args:
        main: coroutine function of a ``Rig``; returns the texts of what was
            broken.
        folder: folder of the case.
        wait_s: longest time of the case.
        **rig_fields: further arguments of the ``Rig``.
    """
    rig = Rig(folder, **rig_fields)

    async def play():
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        await rig.start()
        return await main(rig)

    try:
        breaches = asyncio.run(asyncio.wait_for(play(), wait_s))
    except (Exception, asyncio.CancelledError) as exc:
        # A fault of a stand-in says nothing about the rule either.
        rig.record.write('not_run', why=repr(exc))
        print(f'not run: {exc!r}')
        status = NOT_RUN
    else:
        for breach in breaches:
            rig.record.write('BROKEN', what=breach)
            print(f'broken: {breach}')
        status = BROKEN if breaches else HELD
        rig.record.write('result', status=status)
        print('broken' if status else 'held')
    finally:
        rig.close()
        rig.record.close()
    sys.exit(status)
