"""Soak run: ``python -m standins.soak --seconds 120 --seed 7``.

Runs the system of the demonstration under mixed load, injects faults drawn
from a seed, then checks the ledgers.  Prints a report as JSON and exits with 1
if a guarantee was violated.  ``--folder`` keeps logs and ledgers.
"""

import json
import os
import sys
import tempfile
import time

from absl import flags

from fuchsiatrestle import errors
from standins import _callers
from standins import _checks
from standins import _cluster
from standins import _processes
from standins import _programs
from standins import _soak_faults
from standins import _soak_load

__all__ = ('Soak', 'main')

CALLER_PROCESS_COUNT = 2
OPERATORS = ('op-ann', 'op-bob')
SUBMITTER = 'night'
SETTLE_TIMEOUT_S = 120.0
MAX_HISTORY_VERSIONS = 1000
MAX_SHOWN_BREACHES = 5


class Soak:
    """One soak run.

    Args:
        cfg: parsed flags.
        folder: folder of logs and ledgers.

    Attributes:
        cluster: the ``Cluster`` under test.
    """

    def __init__(self, cfg, folder):
        self._cfg = cfg
        self.cluster = _cluster.Cluster(folder, uses_relay=True)
        self._operators = [
            _soak_load.Operator(self.cluster, name, cfg.seed)
            for name in OPERATORS
        ]
        self._submitter = _soak_load.JobSubmitter(
            self.cluster, SUBMITTER, cfg.seed
        )
        self._version_watcher = _soak_load.VersionWatcher(
            self.cluster, cfg.seed
        )
        process_claims = _soak_faults.ProcessClaims()
        self._fault_lanes = [
            _soak_faults.FaultLane(
                self.cluster,
                f'{name}{number}',
                cfg.seed,
                faults,
                process_claims,
            )
            for name, faults in (
                ('control', _soak_faults.CONTROL_FAULTS),
                ('platform', _soak_faults.PLATFORM_FAULTS),
            )
            for number in range(cfg.lanes)
        ]
        self._caller_processes = []
        self._caller_reports = []
        self._config_history = []
        self._job_views = {}
        self._counters = {}
        self._breaches = []

    # Phases

    def run(self):
        """Runs all phases; returns the report as a dict.

        Raises:
            errors.Error: the system did not start or stop in time.
        """
        try:
            self._start_cluster()
            self._run_load()
            self._wait_until_settled()
            self._fetch_final_state()
            self._stop_cluster()
        finally:
            for caller in self._caller_processes:
                caller.kill()
            self.cluster.kill()
        self._check_ledgers()
        return self._make_report()

    def _start_cluster(self):
        cluster = self.cluster
        cluster.start()
        cluster.wait_until_in_force(cluster.configure())
        cluster.wait_for_upstreams()
        cluster.wait_for_workers()

    @property
    def _load_and_fault_threads(self):
        load_threads = [
            *self._operators,
            self._submitter,
            self._version_watcher,
        ]
        return load_threads + (self._fault_lanes if self._cfg.faults else [])

    def _run_load(self):
        self._caller_processes = [
            _callers.CallerProcess(
                self.cluster,
                f'caller{number}',
                seconds=self._cfg.seconds,
                seed=self._cfg.seed + number,
            )
            for number in range(CALLER_PROCESS_COUNT)
        ]
        for thread in self._load_and_fault_threads:
            thread.start()
        time.sleep(self._cfg.seconds)
        for thread in self._load_and_fault_threads:
            thread.ask_to_stop()
        for thread in self._load_and_fault_threads:
            thread.join()
        self._caller_reports = [
            caller.wait() for caller in self._caller_processes
        ]

    def _wait_until_settled(self):
        """Waits until all entries are ready again and every job has ended.

        Records a breach if that takes too long.
        """
        try:
            control_view = self.cluster.wait_for_leader()
            # An entry that the last fault stopped may still be starting.
            self.cluster.wait_until_in_force(control_view['config_version'])
            _processes.wait_until(
                self._all_jobs_ended, SETTLE_TIMEOUT_S, 'every job ends'
            )
        except errors.Error as exc:
            self._breaches.append(_checks.Breach('settle', str(exc)))

    def _all_jobs_ended(self):
        status = self.cluster.fetch_status()
        job_counts = status['control'].get('jobs') if status else None
        if job_counts is None:
            return False
        return not any(
            count
            for state, count in job_counts.items()
            if state not in _checks.FINAL_STATES
        )

    def _fetch_final_state(self):
        admin_client = self.cluster.make_admin_client()
        reply = admin_client.call(
            'GET', '/v1/config/history', {'limit': MAX_HISTORY_VERSIONS}
        )
        self._config_history = reply.value['versions']
        for job_id in self._submitter.acknowledged_jobs:
            reply = admin_client.call('GET', f'/v1/jobs/{job_id}')
            if reply.ok:
                self._job_views[job_id] = reply.value
        for name in self.cluster.entry_addresses:
            reply = self.cluster.make_admin_client(name).call(
                'GET', '/v1/counters'
            )
            for counter, count in reply.value['counters'].items():
                if counter.startswith(('refused.', 'retry.')):
                    total = self._counters.get(counter, 0) + count
                    self._counters[counter] = total

    def _stop_cluster(self):
        for name, status in self.cluster.stop().items():
            if status:
                text = f'{name} ended with exit status {status}'
                self._breaches.append(_checks.Breach('stop', text))

    # Checks and report

    def _list_fault_lines(self):
        return [
            line for lane in self._fault_lanes for line in lane.fault_lines
        ]

    def _check_ledgers(self):
        runs_by_upstream = self.cluster.read_runs_by_upstream()
        runs = [line for lines in runs_by_upstream.values() for line in lines]
        calls = [
            line
            for caller in self._caller_processes
            for line in caller.read_calls()
        ]
        patches = [
            line
            for operator in self._operators
            for line in operator.patch_lines
        ]
        faults = self._list_fault_lines()
        self._breaches += [
            *_checks.check_run_once(runs),
            *_checks.check_not_run(calls, runs),
            *_checks.check_answers(calls, runs),
            *_checks.check_slots(runs_by_upstream),
            *_checks.check_leaving(runs_by_upstream),
            *_checks.check_planned_stops(
                self.cluster.group_calls_by_entry(calls), faults
            ),
            *_checks.check_patches(patches, self._config_history),
            *_checks.check_versions(self._version_watcher.version_lines),
            *self._check_jobs(faults),
        ]
        for lane in self._fault_lanes:
            self._breaches += [
                _checks.Breach('fault', text) for text in lane.error_texts
            ]

    def _check_jobs(self, faults):
        attempts = self.cluster.read_attempt_lines()
        finished_ns = time.monotonic_ns()
        return [
            *_checks.check_attempts(
                attempts,
                self._submitter.sent_jobs,
                faults,
                _cluster.WORKER_CPU_MILLI,
                finished_ns,
            ),
            *_checks.check_jobs_end(
                self._submitter.acknowledged_jobs, self._job_views, attempts
            ),
        ]

    def _count_breaches(self):
        counts = {}
        for breach in self._breaches:
            counts[breach.check] = counts.get(breach.check, 0) + 1
        return counts

    def _describe_first_breaches(self):
        """Returns the texts of the first few breaches of each check."""
        texts = []
        for check in self._count_breaches():
            breaches = [item for item in self._breaches if item.check == check]
            texts += [repr(item) for item in breaches[:MAX_SHOWN_BREACHES]]
        return texts

    def _make_report(self):
        fault_counts = {}
        for line in self._list_fault_lines():
            fault_name = f'{line.kind} {line.target}'
            fault_counts[fault_name] = fault_counts.get(fault_name, 0) + 1
        patch_counts = {}
        for operator in self._operators:
            for line in operator.patch_lines:
                patch_counts[line.outcome] = (
                    patch_counts.get(line.outcome, 0) + 1
                )
        job_counts = {}
        for view in self._job_views.values():
            job_counts[view['state']] = job_counts.get(view['state'], 0) + 1
        return {
            'seconds': self._cfg.seconds,
            'seed': self._cfg.seed,
            'calls': self._caller_reports,
            'patches': patch_counts,
            'jobs': job_counts,
            'jobs_refused': self._submitter.refusal_counts,
            'faults': fault_counts,
            'counters': self._counters,
            'breaches': self._count_breaches(),
            'first_breaches': self._describe_first_breaches(),
        }


def _make_flags():
    flag_values = flags.FlagValues()
    flags.DEFINE_float(
        'seconds', 60.0, 'duration of the load', 1.0, flag_values=flag_values
    )
    flags.DEFINE_integer(
        'seed', 1, 'seed of load and faults', flag_values=flag_values
    )
    flags.DEFINE_integer(
        'lanes',
        1,
        'concurrent faults on control, and as many on the rest',
        1,
        2,
        flag_values=flag_values,
    )
    flags.DEFINE_bool('faults', True, 'inject faults', flag_values)
    flags.DEFINE_string(
        'folder',
        '',
        'where files are kept (default: a temporary folder)',
        flag_values,
    )
    return flag_values


def _run_soak(cfg, folder):
    try:
        report = Soak(cfg, folder).run()
    except errors.Error as exc:
        print(f'failed: {exc}', file=sys.stderr)
        return 1
    print(json.dumps(report, indent=2, sort_keys=True))
    return 1 if report['breaches'] else 0


def main(argv):
    """Runs the soak and prints its report; returns the exit status."""
    cfg = _programs.parse_flags(_make_flags(), argv, __doc__)
    if cfg.folder:
        os.makedirs(cfg.folder)
        return _run_soak(cfg, os.path.abspath(cfg.folder))
    with tempfile.TemporaryDirectory(prefix='fuchsiatrestle-') as folder:
        return _run_soak(cfg, folder)


if __name__ == '__main__':
    sys.exit(main(sys.argv))
