"""Server processes and HTTP load for the benchmarks of the request path.

Each server runs in a child process of the benchmark.  It prints ``ready``,
serves until it reads a line from its standard input, then prints a report as
one line of JSON.
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
    'ServerProcess',
    'encode_configuration',
    'format_table_row',
    'measure_load',
    'run_server',
)

HOST = '127.0.0.1'
LEASE_MS = 2000
MAX_LATENCY_US = 60000000  # one minute, far above the request deadlines


def encode_configuration(entries, deadline_ms=2000):
    """Returns a configuration document with the named entries, as JSON."""
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


# Servers


class _UpstreamHandler(http.Handler):
    """A stand-in upstream that answers after a fixed service time."""

    def __init__(self, service_ms):
        self._service_ms = service_ms

    async def handle(self, request):
        if self._service_ms:
            await curio.sleep(self._service_ms / 1000)
        return http.Response(
            200, [(b'content-type', b'text/plain')], b'x' * 64
        )


class _RelayHandler(http.Handler):
    """A proxy without routing, as the baseline of the entry's overhead.

    It pools its connections and uses h11 on both sides, as the entry does.
    """

    def __init__(self, address):
        self._address = address
        self._idle_connections = []

    async def handle(self, request):
        if self._idle_connections:
            conn = self._idle_connections.pop()
        else:
            conn = await http.ClientConnection.open(self._address)
        await conn.send(
            request.method, request.target, request.headers, request.body
        )
        head = await conn.receive_head()
        body = b''
        while (chunk := await conn.receive_chunk()) is not None:
            body += chunk
        self._idle_connections.append(conn)
        return http.Response(head.status, head.headers, body)


class _UnusedControlClient:
    """Control client of an entry that receives no requests with a key."""

    async def propose(self, command, timeout_ms):
        raise NotImplementedError


async def _serve_upstream(port, service_ms):
    address = settings.Address(HOST, port)
    server = http.Server(address, _UpstreamHandler(service_ms))
    await server.start()
    return server


async def _serve_relay(port, upstream_port):
    relay = _RelayHandler(settings.Address(HOST, upstream_port))
    server = http.Server(settings.Address(HOST, port), relay)
    await server.start()
    return server


async def _serve_entry(port, upstream_ports):
    """Serves the caller path of an entry that is the only one configured."""
    caller_path = _caller_path.CallerPath(
        'e1',
        1,
        lambda peer, message: None,
        _UnusedControlClient(),
        lambda: True,
    )
    for func in caller_path.task_functions:
        await curio.spawn(func, daemon=True)
    await curio.spawn(
        _renew_lease, caller_path.router, upstream_ports, daemon=True
    )
    server = http.Server(settings.Address(HOST, port), caller_path.handler)
    await server.start()
    return server


async def _renew_lease(router, upstream_ports):
    """Renews the lease and announces the upstreams every 0.5 s.

    This is well within ``LEASE_MS``.
    """
    document = encode_configuration(['e1'], 500)
    seq = 0
    while True:
        seq += 1
        now_ms = time.monotonic_ns() // 1000000
        await router.step(
            routing.ConfigurationGranted(1, now_ms + LEASE_MS, document)
        )
        for port in upstream_ports:
            announcement = messages.Announcement(
                'quotes', f'{HOST}:{port}', 1, seq, 'ready', 8, 64, 0
            )
            await router.step(routing.AnnouncementHeard(announcement, now_ms))
        await curio.sleep(0.5)


async def _serve_until_stdin_line(start_server, *args):
    server = await start_server(*args)
    print('ready', flush=True)
    await curio.run_in_thread(sys.stdin.readline)
    await server.stop(0)


def _compute_shares_by_component(profile):
    """Returns the share of each component in the profiled own time.

    Own time of a function excludes the functions that it calls.  A component
    is a package, a module of the product or a kind of call.
    """
    profile_stats = pstats.Stats(profile).stats
    shares_by_component = {}
    total_own_s = sum(row[2] for row in profile_stats.values())
    for (file_path, _, function_name), row in profile_stats.items():
        component = _find_component(file_path, function_name)
        shares_by_component[component] = (
            shares_by_component.get(component, 0.0) + row[2] / total_own_s
        )
    return shares_by_component


def _find_component(file_path, function_name):
    for package in ('h11', 'curio', 'fuchsiatrestle/routing'):
        if f'/{package}/' in file_path:
            return package
    if '/fuchsiatrestle/' in file_path:
        return 'fuchsiatrestle/' + file_path.rpartition('/fuchsiatrestle/')[2]
    if 'socket' in function_name:
        return 'socket calls'
    if 'epoll' in function_name or 'select' in function_name:
        return 'waiting'
    return 'other'


_SERVER_STARTERS = {
    'upstream': _serve_upstream,
    'relay': _serve_relay,
    'entry': _serve_entry,
}


def run_server(kind, *args):
    """Runs a server in this process until it reads a line from stdin.

    Then it prints the report as JSON; ``shares`` has the share of own time of
    each component, and is empty without profiler.

    Args:
        kind: ``upstream``, ``relay`` or ``entry``; with the prefix
            ``profiled `` the server runs under the profiler.
        *args: port to listen on, then further arguments of the kind.
    """
    profile = cProfile.Profile()
    is_profiled = kind.startswith('profiled ')
    start_server = _SERVER_STARTERS[kind.removeprefix('profiled ')]
    if is_profiled:
        profile.enable()
    curio.run(_serve_until_stdin_line, start_server, *args)
    profile.disable()
    shares_by_component = (
        _compute_shares_by_component(profile) if is_profiled else {}
    )
    print(json.dumps({'shares': shares_by_component}), flush=True)


class ServerProcess:
    """A child process that runs one server on a free port.

    Args:
        module: the benchmark's module, which passes ``--role`` to
            ``run_server``.
        kind: kind of server, see ``run_server``.
        *args: arguments of the server after its port.

    Attributes:
        port: port that the server listens on.
    """

    def __init__(self, module, kind, *args):
        (self.port,) = ports.find_free_ports(1)
        server_json = json.dumps([kind, self.port, *args])
        self._process = subprocess.Popen(
            [sys.executable, '-m', module, '--role', server_json],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._process.stdout.readline()

    def read_cpu_s(self):
        """Returns the processor time used so far, in seconds."""
        stat = pathlib.Path(f'/proc/{self._process.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        # utime and stime, fields 14 and 15 of the file; the list starts at 3.
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def stop(self):
        """Stops the server and its process; returns its report."""
        output, _ = self._process.communicate('\n', timeout=30)
        return json.loads(output.splitlines()[-1])


# Load


class LoadResult:
    """Answers and latencies of one load run.

    Attributes:
        answer_count: number of answers with status 200.
        elapsed_s: duration of the run in seconds.
        latency_us: histogram of the latencies of these answers, in
            microseconds.
        refused_count: number of answers with another status.
    """

    __slots__ = ('answer_count', 'elapsed_s', 'latency_us', 'refused_count')

    def __init__(self):
        self.answer_count = 0
        self.refused_count = 0
        self.elapsed_s = 0.0
        self.latency_us = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)

    @property
    def answers_per_s(self):
        """Answers with status 200 per second."""
        return self.answer_count / self.elapsed_s

    def percentile_ms(self, percent):
        """Returns a latency percentile in milliseconds."""
        return self.latency_us.get_value_at_percentile(percent) / 1000


async def _call_repeatedly(port, deadline_s, result, method, make_headers):
    client = http.Client(settings.Address(HOST, port))
    request_number = 0
    while time.monotonic() < deadline_s:
        request_number += 1
        sent_ns = time.monotonic_ns()
        response = await client.call(
            method,
            f'/quotes/{request_number}',
            b'',
            make_headers(request_number),
        )
        duration_us = (time.monotonic_ns() - sent_ns) // 1000
        if response.status == 200:
            result.answer_count += 1
            result.latency_us.record_value(max(1, duration_us))
        else:
            result.refused_count += 1
    client.close()


async def _run_callers(port, callers, seconds, method, make_headers):
    result = LoadResult()
    started_s = time.monotonic()
    deadline_s = started_s + seconds
    async with curio.TaskGroup() as group:
        for _ in range(callers):
            await group.spawn(
                _call_repeatedly,
                port,
                deadline_s,
                result,
                method,
                make_headers,
            )
    result.elapsed_s = time.monotonic() - started_s
    return result


def measure_load(
    port,
    callers,
    seconds,
    method='GET',
    make_headers=lambda request_number: (),
):
    """Returns the ``LoadResult`` of calling a port for some seconds.

    Args:
        port: port of the server on the loopback address.
        callers: number of concurrent callers, each with one open request.
        seconds: duration in seconds.
        method: HTTP method.
        make_headers: function from the number of a caller's request, counted
            from 1, to its headers.
    """
    return curio.run(
        _run_callers, port, callers, seconds, method, make_headers
    )


def format_table_row(name, result, cpu_s):
    """Returns a row of a Markdown table.

    The columns are name, answers per second, the 50th, 99th and 99.9th
    percentile of the latency in ms, processor time per answer in microseconds
    and the number of refused requests.

    Args:
        name: name of the row.
        result: the ``LoadResult``.
        cpu_s: processor time that the server used in the run, in seconds.
    """
    cpu_per_answer_us = 1e6 * cpu_s / max(1, result.answer_count)
    return (
        f'| {name} | {result.answers_per_s:.0f} | '
        f'{result.percentile_ms(50):.2f} | '
        f'{result.percentile_ms(99):.2f} | {result.percentile_ms(99.9):.2f} | '
        f'{cpu_per_answer_us:.0f} | {result.refused_count} |'
    )
