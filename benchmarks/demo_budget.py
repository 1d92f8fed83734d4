"""Measures what each daemon of the demonstration costs, idle and busy.

``python -m benchmarks.demo_budget --seconds 20`` prints, for each daemon and
phase, its share of one core, its memory and its bytes a second on links to
other daemons (both directions, from ``ss``), against the budget of 4.2% of a
core, 256 MB and 6 KB a second for control.
"""

import json
import os
import re
import subprocess
import sys
import tempfile
import time

from absl import flags

from standins import _callers
from standins import _cluster
from standins import _programs
from standins import _soak_load

__all__ = ('Usage', 'main')

BUDGET = {'cpu_percent': 4.2, 'rss_mb': 256, 'link_bytes_s': 6000}
WARM_UP_S = 5.0
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
CPU_FIELDS = slice(13, 15)
KIB_PER_MB = 1000 * 1000 / 1024

_SOCKET = re.compile(
    r':(?P<local>\d+)\s+\S+:(?P<remote>\d+)\s+users:.*?pid=(?P<pid>\d+)'
)
_AMOUNT = re.compile(r'\b(?:bytes_acked|bytes_received):(\d+)')


class Usage:
    """What a process has used up to a moment."""

    __slots__ = ('cpu_s', 'link_bytes', 'rss_mb', 'time_s')

    def __init__(self, cpu_s, rss_mb, link_bytes):
        self.cpu_s = cpu_s
        self.rss_mb = rss_mb
        self.link_bytes = link_bytes
        self.time_s = time.monotonic()


def _cpu_s(pid):
    with open(f'/proc/{pid}/stat', encoding='ascii') as stream:
        fields = stream.read().rpartition(')')[2].split()
    # The command name, the first two fields, was cut off.
    ticks = fields[CPU_FIELDS.start - 2 : CPU_FIELDS.stop - 2]
    return sum(map(int, ticks)) / CLOCK_TICKS


def _rss_mb(pid):
    with open(f'/proc/{pid}/status', encoding='ascii') as stream:
        found = re.search(r'VmRSS:\s+(\d+) kB', stream.read())
    return int(found[1]) / KIB_PER_MB


def _link_bytes(ports):
    """Returns bytes on sockets to or from link ports, by process id."""
    text = subprocess.run(
        ['ss', '-tinpHO', 'state', 'established'],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    totals = {}
    for line in text.splitlines():
        found = _SOCKET.search(line)
        if found is None:
            continue
        if not {int(found['local']), int(found['remote'])} & ports:
            continue
        amount = sum(map(int, _AMOUNT.findall(line)))
        pid = int(found['pid'])
        totals[pid] = totals.get(pid, 0) + amount
    return totals


def _sample(cluster):
    """Returns the ``Usage`` of every daemon by name."""
    ports = {addr.port for addr in cluster.control_links.values()}
    ports |= {item.link.port for item in cluster.entry_ports.values()}
    links = _link_bytes(ports)
    daemons = {**cluster.controls, **cluster.entries}
    return {
        name: Usage(
            _cpu_s(process.pid),
            _rss_mb(process.pid),
            links.get(process.pid, 0),
        )
        for name, process in daemons.items()
    }


def _rates(before, after):
    rates = {}
    for name, then in before.items():
        now = after[name]
        span_s = now.time_s - then.time_s
        rates[name] = {
            'cpu_percent': round(100 * (now.cpu_s - then.cpu_s) / span_s, 2),
            'rss_mb': round(now.rss_mb, 1),
            'link_bytes_s': round((now.link_bytes - then.link_bytes) / span_s),
        }
    return rates


def _measure(cluster, seconds):
    before = _sample(cluster)
    time.sleep(seconds)
    return _rates(before, _sample(cluster))


def _measure_busy(cluster, cfg):
    """Measures under callers, patches and jobs; returns rates and counts."""
    caller = _callers.CallerProcess(
        cluster,
        'budget',
        seconds=cfg.seconds + 2 * WARM_UP_S,
        seed=1,
        callers=cfg.callers,
    )
    loads = [
        _soak_load.Operator(cluster, 'op-ann', 1),
        _soak_load.JobSubmitter(cluster, 'night', 1),
    ]
    try:
        for load in loads:
            load.start()
        time.sleep(WARM_UP_S)
        rates = _measure(cluster, cfg.seconds)
    finally:
        for load in loads:
            load.ask_to_stop()
        for load in loads:
            load.join()
    report = caller.wait()
    counts = {
        'calls': sum(report['answers'].values()),
        'patches': len(loads[0].lines),
        'jobs': len(loads[1].jobs),
        'over_s': cfg.seconds + 2 * WARM_UP_S,
        'latency_ms': report['latency_ms'],
    }
    return rates, counts


def _make_flags():
    values = flags.FlagValues()
    flags.DEFINE_float(
        'seconds', 20.0, 'length of a phase', 1.0, flag_values=values
    )
    flags.DEFINE_integer('callers', 6, 'callers', 1, flag_values=values)
    for name, count in (
        ('controls', 3),
        ('entries', 2),
        ('upstreams', 3),
        ('workers', 2),
    ):
        flags.DEFINE_integer(name, count, 'how many', 1, flag_values=values)
    return values


def _run_in(cfg, folder):
    sizes = _cluster.Sizes(
        cfg.controls, cfg.entries, cfg.upstreams, cfg.workers
    )
    cluster = _cluster.Cluster(folder, sizes)
    try:
        cluster.start()
        cluster.wait_in_force(cluster.configure())
        cluster.wait_for_upstreams()
        cluster.wait_for_workers()
        time.sleep(WARM_UP_S)
        leader = cluster.status()['control']['leader']
        idle = _measure(cluster, cfg.seconds)
        busy, counts = _measure_busy(cluster, cfg)
        cluster.stop()
    finally:
        cluster.kill()
    return {
        'budget': BUDGET,
        'leader': leader,
        'idle': idle,
        'busy': busy,
        'load': counts,
    }


def main(argv):
    """Runs the measurement."""
    cfg = _programs.parse(_make_flags(), argv, __doc__)
    with tempfile.TemporaryDirectory(prefix='fuchsiatrestle-') as folder:
        report = _run_in(cfg, folder)
    print(json.dumps(report, indent=2))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv))
