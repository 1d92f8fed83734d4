"""Stand-ins and a small deployment on loopback for the cases 11 to 15.

It uses the standard library alone.  The programs of the project are started
with the commands and templates of the deploy file.  A minion is a process of
its own (``python3 review/kit3.py minion FILE``) that follows the users' pages
and appends what it starts and ends to a file of JSON lines.
"""

import asyncio
import contextlib
import http.client
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
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
ZONES = ('tw-north-a', 'tw-north-b', 'tw-north-c')
SERVICE = 'buylist-core'
HOST = 'nony24.example'
PREFIX = '/lohu930/'
HEARTBEAT_MS = 1500
STOP_MS = 200
MAX_HOLD_MS = 6000
MAX_LISTED_ENDS = 500
BOUNDS = {
    'contact_ms': 3000,
    'ack_ms': 4000,
    'grace_s': 6,
    'config_apply_ms': 2000,
    'max_hold_ms': MAX_HOLD_MS,
    'stop_ms': STOP_MS,
    'gang_wait_ms': 3000,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'lease_ms': 3000,
}


def epoch_ms():
    """Returns the time since the epoch, in milliseconds."""
    return time.time_ns() // 1000000


# Settings


def _look_up(scopes, name):
    if name == '.':
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split('.'):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdecimal():
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def _to_text(value):
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, list):
        return ','.join(map(_to_text, value))
    return str(value)


_SECTION = re.compile(r'\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}', re.DOTALL)


def render(text, *scopes):
    """Fills in a template of settings as the page DEPLOY describes."""

    def fill_section(match):
        kind, name, inner = match.groups()
        value = _look_up(scopes, name)
        if kind == '^':
            return '' if value else render(inner, *scopes)
        if not value:
            return ''
        if not isinstance(value, (dict, list)):
            return render(inner, *scopes)
        keys = list(value) if isinstance(value, dict) else range(len(value))
        texts = []
        for position, key in enumerate(keys):
            part = inner.replace('{{@}}', str(key))
            part = part.replace('{{,}}', ',' * (position < len(value) - 1))
            texts.append(render(part, *scopes, value[key]))
        return ''.join(texts)

    text = _SECTION.sub(fill_section, text)
    return re.sub(
        r'\{\{([^}]+)\}\}',
        lambda match: _to_text(_look_up(scopes, match[1])),
        text,
    )


# Calls


def call(address, method, path, body=None, headers=(), timeout_s=4.0):
    """Makes one HTTP call.

    Args:
        address: ``IP:port``.
        method: the method.
        path: the path.
        body: a value to be sent as JSON, or bytes.
        headers: further headers.
        timeout_s: time limit.

    Returns:
        The status and the body as bytes; None and the error without one.
    """
    if body is not None and not isinstance(body, bytes):
        body = json.dumps(body).encode()
    host, _, port = address.rpartition(':')
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        conn.request(
            method,
            path,
            body,
            {'Content-Type': 'application/json', **dict(headers)},
        )
        response = conn.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as exc:
        return None, repr(exc).encode()
    finally:
        conn.close()


def make_configuration(version, **route):
    """Returns a complete configuration with one queue.

    Args:
        version: its version.
        **route: fields of the queue that differ.
    """
    queue = {
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
    service = {
        'name': SERVICE,
        'health_path': '/health',
        'max_connections': 64,
        'protocol': 'h1',
        'tls': False,
        'admission_check': False,
        'standby': False,
    }
    return {
        'version': version,
        'routes': [queue],
        'services': [service],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


# Deployment


class Minion:
    """A minion process.

    Attributes:
        name: its id.
        address: ``IP:port`` of its orders.
        born_ms: start that it names in its heartbeats.
        announced: address that it names in them.
        process: the process.
    """

    def __init__(self, name, address, process, born_ms, announced):
        self.name = name
        self.address = address
        self.process = process
        self.born_ms = born_ms
        self.announced = announced

    def crash(self):
        """Ends the process without a word."""
        self.process.kill()
        self.process.wait()


class Deployment:
    """Core and edge machines and minions, each a process on loopback.

    Args:
        record_path: path of the record that is written.
        core_count: number of core machines.
        edge_count: number of edge machines.
    """

    def __init__(self, record_path, core_count=3, edge_count=2):
        # Has ``stop`` end all processes if the time limit is reached.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self.minions = []
        self._record = open(record_path, 'w', encoding='utf-8')
        self._began_s = time.time()
        self._processes = []
        # Process of each machine and function that starts it again.
        self._machines = {}
        self._net = f'127.{random.randint(10, 250)}.{random.randint(1, 250)}'
        self._event_path = self.folder / 'events'
        self._event_path.touch()
        self._event_offset = 0
        self._events = []
        self._minion_count = 0
        self._ports = self._find_ports(20)
        self.cores = [f'{self._net}.{10 + n}' for n in range(core_count)]
        self.edges = [f'{self._net}.{50 + n}' for n in range(edge_count)]

    def _find_ports(self, count):
        """Returns consecutive ports that are free on the first address."""
        for _ in range(100):
            first = random.randint(20000, 50000)
            with contextlib.ExitStack() as stack:
                try:
                    for port in range(first, first + count):
                        sock = stack.enter_context(socket.socket())
                        sock.bind((f'{self._net}.10', port))
                except OSError:
                    continue
            return list(range(first, first + count))
        raise RuntimeError('no free ports')

    def note(self, text):
        """Writes a line with the time since the start into the record."""
        line = f'{time.time() - self._began_s:8.3f} {text}'
        self._record.write(line + '\n')
        self._record.flush()
        print(line, flush=True)

    # Machines of the system

    @property
    def control_addresses(self):
        """Control addresses of the core machines."""
        return [f'{ip}:{self._ports[1]}' for ip in self.cores]

    @property
    def front_addresses(self):
        """Addresses of the edge machines for clients."""
        return [f'{ip}:{self._ports[2]}' for ip in self.edges]

    def start(self):
        """Starts the programs of the deploy file."""
        deploy_file = ROOT / 'deploy' / 'system.toml'
        roles = tomllib.loads(deploy_file.read_text())['roles']
        for number, ip in enumerate(self.cores):
            self._start_role('control', roles['control'], ip, number)
        for number, ip in enumerate(self.edges):
            self._start_role('entry', roles['entry'], ip, number)

    def _start_role(self, role_name, role, ip, number, bootstrap=True):
        name = f'{role["on"]}-{number}'
        data_folder = self.folder / name
        data_folder.mkdir(exist_ok=True)
        fields = {
            'node_name': name,
            'role': role_name,
            'machine_class': role['on'],
            'ip': ip,
            'zone': ZONES[number % len(ZONES)],
            'zones': dict.fromkeys(ZONES, 'tw-north'),
            'internal_ports': [self._ports[4], self._ports[-1]],
            'seed_nodes': self.control_addresses[:3],
            'bootstrap': bootstrap,
            'heartbeat_ms': HEARTBEAT_MS,
            'data_dir': str(data_folder),
            'listen_addrs': {
                'control': f'{ip}:{self._ports[1]}',
                'front': f'{ip}:{self._ports[2]}',
                'ready': f'{ip}:{self._ports[3]}',
            },
            'fault_tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
        }
        settings_path = self.folder / f'{name}.boot'
        template = (ROOT / role['template']).read_text()
        settings_path.write_text(render(template, fields))
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['FUCHSIATRESTLE_BOOT'] = str(settings_path)
        with open(self.folder / f'{name}.log', 'ab') as log:
            process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        self._machines[name] = (
            process,
            lambda: self._start_role(role_name, role, ip, number, False),
        )

    def find_process(self, machine):
        """Returns the process of a machine, such as ``core-0``."""
        return self._machines[machine][0]

    def restart(self, machine):
        """Starts the process of a machine again, with its folder."""
        self._machines[machine][1]()

    def read_peak_mb(self, machine):
        """Returns the most memory that its process has used, 0 if it ended."""
        path = pathlib.Path(f'/proc/{self.find_process(machine).pid}/status')
        with contextlib.suppress(OSError):
            for line in path.read_text().splitlines():
                if line.startswith('VmHWM'):
                    return int(line.split()[1]) / 1024
        return 0

    def read_logs(self, word):
        """Returns the log lines of all programs that contain a word."""
        return [
            line
            for path in sorted(self.folder.glob('*.log'))
            for line in path.read_text(errors='replace').splitlines()
            if word in line
        ]

    # Minions

    def make_address(self, place):
        """Returns the address of the orders of a minion.

        Args:
            place: number of the address.
        """
        return f'{self._net}.{100 + place}:{self._ports[0]}'

    def find_leader(self):
        """Returns the control address of the leader, by the newest log."""
        lines = [
            (line.partition('"')[2], path.stem)
            for path in self.folder.glob('core-*.log')
            for line in path.read_text(errors='replace').splitlines()
            if 'event=dispatch_started' in line
        ]
        number = int(max(lines)[1].rpartition('-')[2])
        return self.control_addresses[number]

    def start_minion(
        self, place, name=None, cpu=32000, announced=None, lost=()
    ):
        """Starts a minion process.

        Args:
            place: number of its address.
            name: its id; a new one if None.
            cpu: its processors, in thousandths of a core.
            announced: the address that it announces; its own if None.
            lost: control addresses that it does not reach.
        """
        self._minion_count += 1
        name = name or f'i-{random.getrandbits(32):08x}'
        address = self.make_address(place)
        born_ms = epoch_ms()
        settings_path = self.folder / f'minion-{self._minion_count}.json'
        settings_path.write_text(
            json.dumps(
                {
                    'name': name,
                    'address': address,
                    'announced': announced or address,
                    'born': born_ms,
                    'cpu': cpu,
                    'zone': ZONES[place % len(ZONES)],
                    'labels': ['a', f'r{place % 3}-{place // 6}'],
                    'controls': [
                        address
                        for address in self.control_addresses
                        if address not in lost
                    ],
                    'lost': list(lost),
                    'events': str(self._event_path),
                }
            )
        )
        with open(self.folder / f'minion-{self._minion_count}.err', 'w') as e:
            process = subprocess.Popen(
                [sys.executable, __file__, 'minion', str(settings_path)],
                stdin=subprocess.DEVNULL,
                stdout=e,
                stderr=e,
            )
        self._processes.append(process)
        minion = Minion(name, address, process, born_ms, announced or address)
        self.minions.append(minion)
        return minion

    def find_minion(self, name):
        """Returns the ``Minion`` with an id."""
        return next(m for m in self.minions if m.name == name)

    def read_events(self):
        """Returns all events that minions have written, in their order.

        Each is a dict with ``at`` (seconds since the epoch), ``minion``,
        ``what`` (``start``, ``end`` or ``order``), ``task``, ``run`` and,
        for an end, ``how``.
        """
        with open(self._event_path, encoding='utf-8') as stream:
            stream.seek(self._event_offset)
            for line in stream.read().splitlines(keepends=True):
                if not line.endswith('\n'):
                    break
                self._event_offset += len(line.encode())
                event = json.loads(line)
                self._events.append(event)
                at_s = event['at'] - self._began_s
                self._record.write(
                    f'{at_s:8.3f} minion {event["minion"]}: '
                    f'{event["what"]} {event["task"]} run {event["run"]} '
                    f'{event.get("how", "")}\n'
                )
        return self._events

    def wait_for(self, condition, timeout_s):
        """Waits until a function returns a true value; returns that."""
        deadline_s = time.monotonic() + timeout_s
        while True:
            value = condition()
            if value or time.monotonic() > deadline_s:
                return value
            time.sleep(0.01)

    # Clients and the operator

    def put_configuration(self, configuration, timeout_s=20.0):
        """Sends a configuration until it is acknowledged; False if never."""

        def put():
            for address in self.control_addresses:
                status, body = call(
                    address, 'POST', '/config/put', configuration
                )
                if status == 200:
                    self.note(f'operator: configuration 200 by {address}')
                    return True
            time.sleep(0.2)
            return False

        return self.wait_for(put, timeout_s)

    def call_as_client(self, method, job, body=None, quiet=False):
        """Calls a path of the queue as a client; returns status and body."""
        address = random.choice(self.front_addresses)
        status, answer = call(
            address,
            method,
            PREFIX + job,
            body,
            {'Host': HOST, 'Fuchsiatrestle-Deadline-Ms': '3000'},
        )
        if not quiet:
            self.note(
                f'client: {method} {PREFIX}{job} {json.dumps(body or "")} '
                f'-> {status} {answer[:200].decode(errors="replace")}'
            )
        return status, answer

    def submit(self, steps, task_spec, timeout_s=20.0):
        """Submits a job until it is accepted; returns its id, '' if never."""
        job = f'{random.getrandbits(64):016x}'

        def post():
            status, _ = self.call_as_client(
                'POST', job, {'task_spec': task_spec, 'steps': steps}
            )
            if status != 200:
                time.sleep(0.3)
            return status == 200

        return job if self.wait_for(post, timeout_s) else ''

    def read_state(self, job, quiet=True):
        """Returns the state of a job, None if no daemon tells it."""
        status, answer = self.call_as_client('GET', job, quiet=quiet)
        return json.loads(answer).get('state') if status == 200 else status

    # End

    def stop(self):
        """Ends all processes that were started and removes the folder."""
        self.read_events()
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def find_overlaps(events, crashes=()):
    """Returns texts on tasks of which two runs were at work at a time.

    Args:
        events: the events of the minions.
        crashes: pairs of a minion's id and the time at which it was killed.
    """
    crash_by_minion = dict(crashes)
    spans = {}
    for event in events:
        key = event['task'], event['run'], event['minion']
        if event['what'] == 'start':
            end_s = crash_by_minion.get(event['minion'], float('inf'))
            spans[key] = [event['at'], end_s]
        elif event['what'] == 'end' and key in spans:
            spans[key][1] = event['at']
    texts = []
    rows = sorted((*key, *span) for key, span in spans.items())
    for first, second in zip(rows, rows[1:]):
        if first[0] == second[0]:
            overlap_s = min(first[4], second[4]) - max(first[3], second[3])
            if overlap_s > 0:
                texts.append(
                    f'{first[0]}: run {first[1]} on {first[2]} and run '
                    f'{second[1]} on {second[2]} at the same time for '
                    f'{overlap_s:.3f} s'
                )
    return texts


class Relay:
    """TCP relay in front of one address that can lose the path.

    Args:
        listen: ``IP:port`` that it takes connections on.
        target: ``IP:port`` that it passes them on to.

    Attributes:
        is_cut: while it is set, no byte is passed on either way.
    """

    def __init__(self, listen, target):
        self.is_cut = threading.Event()
        self._target = target.rpartition(':')
        host, _, port = listen.rpartition(':')
        self._listener = socket.create_server((host, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(
                target=self._connect, args=[sock], daemon=True
            ).start()

    def _connect(self, sock):
        self._wait_while_cut()
        host, _, port = self._target
        try:
            other = socket.create_connection((host, int(port)), 1.0)
        except OSError:
            sock.close()
            return
        other.settimeout(None)
        for source, sink in ((sock, other), (other, sock)):
            threading.Thread(
                target=self._pass_on, args=[source, sink], daemon=True
            ).start()

    def _pass_on(self, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                self._wait_while_cut()
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)

    def _wait_while_cut(self):
        while self.is_cut.is_set():
            time.sleep(0.01)


def has_trouble():
    """False if the case is to run without its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


# The minion process


class _Run:
    def __init__(self, work_ms, checkpoint):
        self.work_ms = work_ms
        self.checkpoint = checkpoint
        self.began_s = time.monotonic()
        self.task = None

    @property
    def percent(self):
        """Share of the work that is done; 100 for a task that lasts."""
        if self.work_ms is None:
            return 100
        done_ms = (time.monotonic() - self.began_s) * 1000
        return min(99, int(100 * done_ms / self.work_ms))


class MinionServer:
    """One life of a minion, as the users' pages describe it.

    ``task_spec`` is a JSON list with the work of the tasks of each step in
    milliseconds, null for tasks that last.

    Args:
        cfg: dict of its settings.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._name = cfg['name']
        self._born_s = time.monotonic()
        self._token = 0
        self._runs = {}
        self._highest_run = {}
        self._ended = []
        self._end_count = 0
        self._lease_ms = 0
        self._sequence = 0
        self._has_ended = asyncio.Event()
        self._events = open(cfg['events'], 'a', encoding='utf-8')

    @property
    def clock_ms(self):
        """Its own steady clock."""
        return int((time.monotonic() - self._born_s) * 1000)

    def _log(self, what, task, run, **fields):
        event = {
            'at': time.time(),
            'minion': self._name,
            'what': what,
            'task': task,
            'run': run,
            **fields,
        }
        self._events.write(json.dumps(event) + '\n')
        self._events.flush()

    async def serve(self):
        """Serves until the process is ended."""
        host, _, port = self._cfg['address'].rpartition(':')
        server = await asyncio.start_server(self._serve, host, int(port))
        async with server:
            await asyncio.gather(self._send_heartbeats(), self._end_leases())

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, ValueError
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                first, *lines = head.decode('latin-1').split('\r\n')
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (x.partition(':') for x in lines)
                }
                size = int(headers.get('content-length', 0))
                body = json.loads(await reader.readexactly(size) or b'{}')
                status, answer = await self._answer(
                    first.split(' ')[1], headers, body
                )
                answer = {
                    'clock_ms': self.clock_ms,
                    'born': self._cfg['born'],
                    **answer,
                }
                text = json.dumps(answer).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(text)) + text
                )
                await writer.drain()
        writer.close()

    async def _answer(self, path, headers, body):
        target = headers.get('fuchsiatrestle-target-instance', self._name)
        if target != self._name:
            return 421, {}
        answer = {
            '/run-start': self._start,
            '/run-stop': self._stop,
            '/pace': self._pace,
            '/hold': self._hold,
        }.get(path)
        if answer is None:
            return 404, {}
        if body.get('fencing_token', 0) < self._token:
            return 409, {'reason': 'fence'}
        self._token = body.get('fencing_token', 0)
        return await answer(body)

    def _extend_lease(self, until_ms):
        until_ms = min(until_ms, self.clock_ms + MAX_HOLD_MS)
        self._lease_ms = max(self._lease_ms, until_ms)

    async def _start(self, body):
        task, run = body['task'], body['run_id']
        if (task, run) in self._runs:
            self._extend_lease(body['until_ms'])
            return 200, {}
        if run <= self._highest_run.get(task, 0):
            self._extend_lease(body['until_ms'])
            return 409, {'reason': 'old'}
        if body['until_ms'] <= self.clock_ms:
            return 409, {'reason': 'late'}
        self._extend_lease(body['until_ms'])
        step = int(task.rsplit('.', 2)[1])
        work_ms = json.loads(body['task_spec'])[step]
        state = _Run(work_ms, body.get('checkpoint', ''))
        self._runs[task, run] = state
        self._log('start', task, run)
        if work_ms is not None:
            state.task = asyncio.create_task(self._work(task, run, work_ms))
        return 200, {}

    async def _work(self, task, run, work_ms):
        await asyncio.sleep(work_ms / 1000)
        self._end(task, run, 'done')

    def _end(self, task, run, how):
        state = self._runs.pop((task, run), None)
        if state is None:
            return
        if state.task is not None and how != 'done':
            state.task.cancel()
        self._highest_run[task] = max(run, self._highest_run.get(task, 0))
        self._end_count += 1
        self._ended.append([self._end_count, task, run, how, ''])
        self._log('end', task, run, how=how)
        self._has_ended.set()

    async def _stop(self, body):
        task, run = body['task'], body['run_id']
        if (task, run) in self._runs:
            asyncio.get_running_loop().call_later(
                STOP_MS / 1000, self._end, task, run, 'stopped'
            )
        self._highest_run[task] = max(run, self._highest_run.get(task, 0))
        return 200, {}

    async def _pace(self, body):
        return 200, {}

    async def _hold(self, body):
        self._ended = [
            row for row in self._ended if row[0] > body.get('last_seen', 0)
        ]
        if body.get('until_ms') is not None:
            self._extend_lease(body['until_ms'])
        if not self._ended and body.get('wait_ms'):
            self._has_ended.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._has_ended.wait(), body['wait_ms'] / 1000
                )
        running = [
            [task, run, state.checkpoint, state.percent, 0]
            for (task, run), state in self._runs.items()
        ]
        ended = self._ended[:MAX_LISTED_ENDS]
        return 200, {'running': running, 'ended': ended}

    async def _end_leases(self):
        while True:
            await asyncio.sleep(0.01)
            if self.clock_ms > self._lease_ms:
                for task, run in list(self._runs):
                    self._end(task, run, 'lapsed')

    def make_heartbeat(self):
        """Returns the body of the next heartbeat."""
        self._sequence += 1
        return {
            'service': SERVICE,
            'address': self._cfg['announced'],
            'zone': self._cfg['zone'],
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'capacity': {
                'cpu': self._cfg['cpu'],
                'mem_mb': 128000,
                'gpu': 0,
            },
            'labels': self._cfg['labels'],
            'clock_ms': self.clock_ms,
            'sequence': self._sequence,
            'born': self._cfg['born'],
        }

    async def _send_heartbeats(self):
        controls = list(self._cfg['controls'])
        random.shuffle(controls)
        path = f'/instances/{self._name}/heartbeat'
        address = controls[0]
        while True:
            status, answer = await asyncio.to_thread(
                call, address, 'POST', path, self.make_heartbeat(), (), 1.0
            )
            if status == 200:
                named = json.loads(answer).get('heartbeat_addr', address)
                if named not in self._cfg.get('lost', ()):
                    address = named
                await asyncio.sleep(HEARTBEAT_MS / 1000)
            else:
                controls.append(controls.pop(0))
                address = controls[0]
                await asyncio.sleep(0.1)


if __name__ == '__main__' and sys.argv[1:2] == ['minion']:
    settings_text = pathlib.Path(sys.argv[2]).read_text(encoding='utf-8')
    asyncio.run(MinionServer(json.loads(settings_text)).serve())
