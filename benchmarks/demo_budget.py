"""Measures processor, memory and network use of the demonstration's daemons.

``python -m benchmarks.demo_budget --seconds 20`` prints, for each daemon in an
idle and a busy phase, its share of one core, its memory and its bytes per
second on links to other daemons (both directions, from ``ss``).  It also
prints the budget for control: 4.2% of a core, 256 MB and 6 KB per second.
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
CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
CPU_FIELDS = slice(13, 15)  # utime and stime, counted from 0, see proc(5)
KIB_PER_MB = 1000 * 1000 / 1024

_SOCKET = re.compile(
    r':(?P<local>\d+)\s+\S+:(?P<remote>\d+)\s+users:.*?pid=(?P<pid>\d+)'
)
_BYTE_COUNT = re.compile(r'\b(?:bytes_acked|bytes_received):(\d+)')


class Usage:
    """Resources that a process has used up to one moment.

    Attributes:
        cpu_s: processor time since its start, in seconds.
        rss_mb: resident memory in MB.
        link_bytes: bytes sent and received on its open links.
        time_s: monotonic time of the measurement, in seconds.
    """

    __slots__ = ('cpu_s', 'link_bytes', 'rss_mb', 'time_s')

    def __init__(self, cpu_s, rss_mb, link_bytes):
        self.cpu_s = cpu_s
        self.rss_mb = rss_mb
        self.link_bytes = link_bytes
        self.time_s = time.monotonic()


def _read_cpu_s(pid):
    with open(f'/proc/{pid}/stat', encoding='ascii') as stream:
        fields = stream.read().rpartition(')')[2].split()
    # The first two fields, process id and command name, were cut off.
    ticks = fields[CPU_FIELDS.start - 2 : CPU_FIELDS.stop - 2]
    return sum(map(int, ticks)) / CLOCK_TICKS_PER_S


def _read_rss_mb(pid):
    with open(f'/proc/{pid}/status', encoding='ascii') as stream:
        match = re.search(r'VmRSS:\s+(\d+) kB', stream.read())
    return int(match[1]) / KIB_PER_MB


def _count_link_bytes(link_ports):
    """Returns bytes on sockets to or from link ports, by process id."""
    ss_output = subprocess.run(
        ['ss', '-tinpHO', 'state', 'established'],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    bytes_by_pid = {}
    for line in ss_output.splitlines():
        match = _SOCKET.search(line)
        if match is None:
            continue
        if not {int(match['local']), int(match['remote'])} & link_ports:
            continue
        byte_count = sum(map(int, _BYTE_COUNT.findall(line)))
        pid = int(match['pid'])
        bytes_by_pid[pid] = bytes_by_pid.get(pid, 0) + byte_count
    return bytes_by_pid


def _sample_usage(cluster):
    """Returns the ``Usage`` of every daemon by name."""
    link_ports = {
        address.port for address in cluster.control_addresses.values()
    }
    link_ports |= {
        addresses.link.port for addresses in cluster.entry_addresses.values()
    }
    bytes_by_pid = _count_link_bytes(link_ports)
    daemons = {**cluster.controls, **cluster.entries}
    return {
        name: Usage(
            _read_cpu_s(process.pid),
            _read_rss_mb(process.pid),
            bytes_by_pid.get(process.pid, 0),
        )
        for name, process in daemons.items()
    }


def _compute_rates(usages_before, usages_after):
    rates_by_daemon = {}
    for name, usage_before in usages_before.items():
        usage_after = usages_after[name]
        elapsed_s = usage_after.time_s - usage_before.time_s
        rates_by_daemon[name] = {
            'cpu_percent': round(
                100 * (usage_after.cpu_s - usage_before.cpu_s) / elapsed_s, 2
            ),
            'rss_mb': round(usage_after.rss_mb, 1),
            'link_bytes_s': round(
                (usage_after.link_bytes - usage_before.link_bytes) / elapsed_s
            ),
        }
    return rates_by_daemon


def _measure_rates(cluster, seconds):
    usages_before = _sample_usage(cluster)
    time.sleep(seconds)
    return _compute_rates(usages_before, _sample_usage(cluster))


def _measure_busy(cluster, cfg):
    """Measures under requests, patches and jobs.

    Returns:
        The rates of the daemons, and the counts of requests, patches and jobs
        of the whole load, which begins before the measurement.
    """
    caller = _callers.CallerProcess(
        cluster,
        'budget',
        seconds=cfg.seconds + 2 * WARM_UP_S,
        seed=1,
        callers=cfg.callers,
    )
    load_threads = [
        _soak_load.Operator(cluster, 'op-ann', 1),
        _soak_load.JobSubmitter(cluster, 'night', 1),
    ]
    try:
        for load in load_threads:
            load.start()
        time.sleep(WARM_UP_S)
        rates = _measure_rates(cluster, cfg.seconds)
    finally:
        for load in load_threads:
            load.ask_to_stop()
        for load in load_threads:
            load.join()
    report = caller.wait()
    load_counts = {
        'calls': sum(report['answers'].values()),
        'patches': len(load_threads[0].patch_lines),
        'jobs': len(load_threads[1].acknowledged_jobs),
        'over_s': cfg.seconds + 2 * WARM_UP_S,
        'latency_ms': report['latency_ms'],
    }
    return rates, load_counts


def _define_flags():
    flag_values = flags.FlagValues()
    flags.DEFINE_float(
        'seconds',
        20.0,
        'length of a phase in seconds',
        1.0,
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        'callers', 6, 'concurrent callers', 1, flag_values=flag_values
    )
    for name, count in (
        ('controls', 3),
        ('entries', 2),
        ('upstreams', 3),
        ('workers', 2),
    ):
        flags.DEFINE_integer(
            name, count, 'number of processes', 1, flag_values=flag_values
        )
    return flag_values


def _run_phases(cfg, folder):
    process_counts = _cluster.ProcessCounts(
        cfg.controls, cfg.entries, cfg.upstreams, cfg.workers
    )
    cluster = _cluster.Cluster(folder, process_counts)
    try:
        cluster.start()
        cluster.wait_until_in_force(cluster.configure())
        cluster.wait_for_upstreams()
        cluster.wait_for_workers()
        time.sleep(WARM_UP_S)
        leader = cluster.fetch_status()['control']['leader']
        idle_rates = _measure_rates(cluster, cfg.seconds)
        busy_rates, load_counts = _measure_busy(cluster, cfg)
        cluster.stop()
    finally:
        cluster.kill()
    return {
        'budget': BUDGET,
        'leader': leader,
        'idle': idle_rates,
        'busy': busy_rates,
        'load': load_counts,
    }


def main(argv):
    """Measures both phases and prints the report as JSON."""
    cfg = _programs.parse_flags(_define_flags(), argv, __doc__)
    with tempfile.TemporaryDirectory(prefix='fuchsiatrestle-') as folder:
        report = _run_phases(cfg, folder)
    print(json.dumps(report, indent=2))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv))
