"""Processes and load shared by the benchmarks of the request path.

Roles are started as child processes of a benchmark; each prints one line of
JSON when it is asked to end through its standard input.
"""

import cProfile
import json
import os
import pathlib
import pstats
import subprocess
import sys
import time

import curio
from hdrh import histogram

from fuchsiatrestle.entry import _caller_path
from fuchsiatrestle import messages
from fuchsiatrestle.net import http
from fuchsiatrestle import routing
from fuchsiatrestle import settings
from tests.fakes import ports

__all__ = (
    'LoadResult',
    'Role',
    'configuration',
    'measure',
    'run_role',
    'summary_line',
)

HOST = '127.0.0.1'
LEASE_MS = 2000
HISTOGRAM_MAX_US = 60000000


def configuration(entries, deadline_ms=2000):
    """Returns a configuration document for the named entries."""
    return http.encode_json(
        {
            'services': {
                'quotes': {'path': '/quotes', 'deadline_ms': deadline_ms}
            },
            'entries': {
                name: {'address': f'{HOST}:{1000 + number}'}
                for number, name in enumerate(entries)
            },
        }
    )


# Roles


class _Answering(http.Handler):
    """A stand-in upstream that answers at once, or after a while."""

    def __init__(self, service_ms):
        self._service_ms = service_ms

    async def handle(self, request):
        if self._service_ms:
            await curio.sleep(self._service_ms / 1000)
        return http.Response(
            200, [(b'content-type', b'text/plain')], b'x' * 64
        )


class _Relay(http.Handler):
    """A bare relay: pooled connections, h11 on both sides, no decisions."""

    def __init__(self, address):
        self._address = address
        self._idle = []

    async def handle(self, request):
        if self._idle:
            conn = self._idle.pop()
        else:
            conn = await http.ClientConnection.open(self._address)
        await conn.send(
            request.method, request.target, request.headers, request.body
        )
        head = await conn.receive_head()
        body = b''
        while (chunk := await conn.receive_chunk()) is not None:
            body += chunk
        self._idle.append(conn)
        return http.Response(head.status, head.headers, body)


class _NoControl:
    """Stands for a control client that is never called."""

    async def propose(self, command, deadline_ms):
        raise NotImplementedError


async def _serve_upstream(port, service_ms):
    address = settings.Address(HOST, port)
    server = http.Server(address, _Answering(service_ms))
    await server.start()
    return server


async def _serve_relay(port, upstream_port):
    relay = _Relay(settings.Address(HOST, upstream_port))
    server = http.Server(settings.Address(HOST, port), relay)
    await server.start()
    return server


async def _serve_entry(port, upstream_ports):
    """Runs the product's caller path, the only member, always leased."""
    path = _caller_path.CallerPath(
        'e1', 1, lambda peer, message: None, _NoControl(), lambda: True
    )
    for func in path.tasks:
        await curio.spawn(func, daemon=True)
    await curio.spawn(_keep_leased, path.router, upstream_ports, daemon=True)
    server = http.Server(settings.Address(HOST, port), path.handler)
    await server.start()
    return server


async def _keep_leased(router, upstream_ports):
    document = configuration(['e1'], 500)
    seq = 0
    while True:
        seq += 1
        now_ms = time.monotonic_ns() // 1000000
        await router.step(
            routing.ConfigurationGranted(1, now_ms + LEASE_MS, document)
        )
        for port in upstream_ports:
            said = messages.Announcement(
                'quotes', f'{HOST}:{port}', 1, seq, 'ready', 8, 64, 0
            )
            await router.step(routing.AnnouncementHeard(said))
        await curio.sleep(0.5)


async def _run_until_told(start, *args):
    server = await start(*args)
    print('ready', flush=True)
    await curio.run_in_thread(sys.stdin.readline)
    await server.stop(0)


def _shares_by_part(profile):
    """Returns the share of own time by package or module of the product."""
    stats = pstats.Stats(profile).stats
    shares = {}
    total_s = sum(row[2] for row in stats.values())
    for (path, _, name), row in stats.items():
        part = _part_of(path, name)
        shares[part] = shares.get(part, 0.0) + row[2] / total_s
    return shares


def _part_of(path, name):
    for part in ('h11', 'curio', 'fuchsiatrestle/routing'):
        if f'/{part}/' in path:
            return part
    if '/fuchsiatrestle/' in path:
        return 'fuchsiatrestle/' + path.rpartition('/fuchsiatrestle/')[2]
    if 'socket' in name:
        return 'socket calls'
    if 'epoll' in name or 'select' in name:
        return 'waiting'
    return 'other'


_STARTERS = {
    'upstream': _serve_upstream,
    'relay': _serve_relay,
    'entry': _serve_entry,
}


def run_role(kind, *args):
    """Runs a role in this process until a line arrives on standard input.

    The kind ``profiled entry`` runs the entry under the profiler.
    """
    profile = cProfile.Profile()
    profiled = kind.startswith('profiled ')
    starter = _STARTERS[kind.removeprefix('profiled ')]
    if profiled:
        profile.enable()
    curio.run(_run_until_told, starter, *args)
    profile.disable()
    shares = _shares_by_part(profile) if profiled else {}
    print(json.dumps({'shares': shares}), flush=True)


class Role:
    """A child process that plays one role.

    Args:
        module: the benchmark's module, which passes ``--role`` to
            ``run_role``.
        kind: ``upstream``, ``relay`` or ``entry``.
        *args: arguments of the role after its port.
    """

    def __init__(self, module, kind, *args):
        (self.port,) = ports.free_ports(1)
        call = json.dumps([kind, self.port, *args])
        self._process = subprocess.Popen(
            [sys.executable, '-m', module, '--role', call],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._process.stdout.readline()

    def cpu_s(self):
        """Returns the processor time used so far, in seconds."""
        stat = pathlib.Path(f'/proc/{self._process.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def end(self):
        """Ends the process; returns its report."""
        out, _ = self._process.communicate('\n', timeout=30)
        return json.loads(out.splitlines()[-1])


# Load


class LoadResult:
    """What a load run gave.

    Attributes:
        requests: number of whole answers.
        elapsed_s: duration.
        latency_us: the histogram.
        refused: answers other than 200.
    """

    __slots__ = ('elapsed_s', 'latency_us', 'refused', 'requests')

    def __init__(self):
        self.requests = 0
        self.refused = 0
        self.elapsed_s = 0.0
        self.latency_us = histogram.HdrHistogram(1, HISTOGRAM_MAX_US, 3)

    @property
    def rate(self):
        """Whole answers a second."""
        return self.requests / self.elapsed_s

    def percentile_ms(self, percent):
        """Returns a latency percentile in milliseconds."""
        return self.latency_us.get_value_at_percentile(percent) / 1000


async def _call_repeatedly(port, until_s, result, method, headers):
    client = http.Client(settings.Address(HOST, port))
    number = 0
    while time.monotonic() < until_s:
        number += 1
        started_ns = time.monotonic_ns()
        response = await client.call(
            method, f'/quotes/{number}', b'', headers(number)
        )
        took_us = (time.monotonic_ns() - started_ns) // 1000
        if response.status == 200:
            result.requests += 1
            result.latency_us.record_value(max(1, took_us))
        else:
            result.refused += 1
    client.close()


async def _measure(port, callers, seconds, method, headers):
    result = LoadResult()
    started_s = time.monotonic()
    until_s = started_s + seconds
    async with curio.TaskGroup() as group:
        for _ in range(callers):
            await group.spawn(
                _call_repeatedly, port, until_s, result, method, headers
            )
    result.elapsed_s = time.monotonic() - started_s
    return result


def measure(port, callers, seconds, method='GET', headers=lambda number: ()):
    """Calls a port from a number of callers, each with one request open."""
    return curio.run(_measure, port, callers, seconds, method, headers)


def summary_line(name, result, cpu_s):
    """Returns one line of a table."""
    each_us = 1e6 * cpu_s / max(1, result.requests)
    return (
        f'| {name} | {result.rate:.0f} | {result.percentile_ms(50):.2f} | '
        f'{result.percentile_ms(99):.2f} | {result.percentile_ms(99.9):.2f} | '
        f'{each_us:.0f} | {result.refused} |'
    )
