"""Soak run: ``python -m standins.soak --seconds 120 --seed 7``.

The system of the demonstration runs under mixed load while seeded faults
happen; then the ledgers are judged.  It prints a report as JSON and ends with
1 if a promise was broken.  ``--folder`` keeps logs and ledgers.
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

CALLER_PROCESSES = 2
OPERATORS = ('op-ann', 'op-bob')
SUBMITTER = 'night'
SETTLE_TIMEOUT_S = 120.0
MAX_HISTORY = 1000
SHOWN_BREACHES = 5


class Soak:
    """One run.

    Args:
        cfg: parsed flags.
        folder: where files go.
    """

    def __init__(self, cfg, folder):
        self._cfg = cfg
        self.cluster = _cluster.Cluster(folder, relayed=True)
        self._operators = [
            _soak_load.Operator(self.cluster, name, cfg.seed)
            for name in OPERATORS
        ]
        self._submitter = _soak_load.JobSubmitter(
            self.cluster, SUBMITTER, cfg.seed
        )
        self._watcher = _soak_load.VersionWatcher(self.cluster, cfg.seed)
        targets = _soak_faults.Targets()
        self._lanes = [
            _soak_faults.FaultLane(
                self.cluster, f'{name}{number}', cfg.seed, faults, targets
            )
            for name, faults in (
                ('control', _soak_faults.CONTROL_LANE),
                ('platform', _soak_faults.PLATFORM_LANE),
            )
            for number in range(cfg.lanes)
        ]
        self._callers = []
        self._caller_reports = []
        self._history = []
        self._views = {}
        self._counters = {}
        self._breaches = []

    # Phases

    def run(self):
        """Runs all phases; returns the report, a dict."""
        try:
            self._start()
            self._load()
            self._settle()
            self._read_state()
            self._stop()
        finally:
            for caller in self._callers:
                caller.kill()
            self.cluster.kill()
        self._judge()
        return self._report()

    def _start(self):
        cluster = self.cluster
        cluster.start()
        cluster.wait_in_force(cluster.configure())
        cluster.wait_for_upstreams()
        cluster.wait_for_workers()

    @property
    def _threads(self):
        loads = [*self._operators, self._submitter, self._watcher]
        return loads + (self._lanes if self._cfg.faults else [])

    def _load(self):
        self._callers = [
            _callers.CallerProcess(
                self.cluster,
                f'caller{number}',
                seconds=self._cfg.seconds,
                seed=self._cfg.seed + number,
            )
            for number in range(CALLER_PROCESSES)
        ]
        for thread in self._threads:
            thread.start()
        time.sleep(self._cfg.seconds)
        for thread in self._threads:
            thread.ask_to_stop()
        for thread in self._threads:
            thread.join()
        self._caller_reports = [caller.wait() for caller in self._callers]

    def _settle(self):
        """Waits until all is whole again and every job has ended."""
        try:
            control = self.cluster.wait_for_leader()
            # A fault may have ended right before; its entry is starting.
            self.cluster.wait_in_force(control['config_version'])
            _processes.wait_until(
                self._all_jobs_ended, SETTLE_TIMEOUT_S, 'every job ends'
            )
        except errors.Error as exc:
            self._breaches.append(_checks.Breach('settle', str(exc)))

    def _all_jobs_ended(self):
        status = self.cluster.status()
        jobs = status['control'].get('jobs') if status else None
        if jobs is None:
            return False
        return not any(
            count
            for state, count in jobs.items()
            if state not in _checks.FINAL_STATES
        )

    def _read_state(self):
        admin = self.cluster.admin()
        reply = admin.call('GET', '/v1/config/history', {'limit': MAX_HISTORY})
        self._history = reply.value['versions']
        for job_id in self._submitter.jobs:
            reply = admin.call('GET', f'/v1/jobs/{job_id}')
            if reply.ok:
                self._views[job_id] = reply.value
        for name in self.cluster.entry_ports:
            reply = self.cluster.admin(name).call('GET', '/v1/counters')
            for counter, count in reply.value['counters'].items():
                if counter.startswith(('refused.', 'retry.')):
                    total = self._counters.get(counter, 0) + count
                    self._counters[counter] = total

    def _stop(self):
        for name, status in self.cluster.stop().items():
            if status:
                text = f'{name} ended with {status}'
                self._breaches.append(_checks.Breach('stop', text))

    # Judgement

    def _faults(self):
        return [line for lane in self._lanes for line in lane.lines]

    def _judge(self):
        runs_by_upstream = self.cluster.runs_by_upstream()
        runs = [line for lines in runs_by_upstream.values() for line in lines]
        calls = [line for caller in self._callers for line in caller.lines()]
        patches = [
            line for operator in self._operators for line in operator.lines
        ]
        faults = self._faults()
        self._breaches += [
            *_checks.check_run_once(runs),
            *_checks.check_not_run(calls, runs),
            *_checks.check_answers(calls, runs),
            *_checks.check_slots(runs_by_upstream),
            *_checks.check_leaving(runs_by_upstream),
            *_checks.check_planned_stops(self.cluster.by_entry(calls), faults),
            *_checks.check_patches(patches, self._history),
            *_checks.check_versions(self._watcher.lines),
            *self._judge_jobs(faults),
        ]
        for lane in self._lanes:
            self._breaches += [
                _checks.Breach('fault', text) for text in lane.failures
            ]

    def _judge_jobs(self, faults):
        attempts = self.cluster.attempts()
        finished_ns = time.monotonic_ns()
        return [
            *_checks.check_attempts(
                attempts,
                self._submitter.sent,
                faults,
                _cluster.WORKER_CPU_MILLI,
                finished_ns,
            ),
            *_checks.check_jobs_end(
                self._submitter.jobs, self._views, attempts
            ),
        ]

    def _count_breaches(self):
        counts = {}
        for breach in self._breaches:
            counts[breach.check] = counts.get(breach.check, 0) + 1
        return counts

    def _first_breaches(self):
        """Returns the first few of each check."""
        shown = []
        for check in self._count_breaches():
            found = [item for item in self._breaches if item.check == check]
            shown += [repr(item) for item in found[:SHOWN_BREACHES]]
        return shown

    def _report(self):
        faults = {}
        for line in self._faults():
            key = f'{line.kind} {line.target}'
            faults[key] = faults.get(key, 0) + 1
        patches = {}
        for operator in self._operators:
            for line in operator.lines:
                patches[line.outcome] = patches.get(line.outcome, 0) + 1
        jobs = {}
        for view in self._views.values():
            jobs[view['state']] = jobs.get(view['state'], 0) + 1
        return {
            'seconds': self._cfg.seconds,
            'seed': self._cfg.seed,
            'calls': self._caller_reports,
            'patches': patches,
            'jobs': jobs,
            'jobs_refused': self._submitter.refused,
            'faults': faults,
            'counters': self._counters,
            'breaches': self._count_breaches(),
            'first_breaches': self._first_breaches(),
        }


def _make_flags():
    values = flags.FlagValues()
    flags.DEFINE_float(
        'seconds', 60.0, 'length of the load', 1.0, flag_values=values
    )
    flags.DEFINE_integer('seed', 1, 'of load and faults', flag_values=values)
    flags.DEFINE_integer(
        'lanes',
        1,
        'faults at once on control, and as many on the rest',
        1,
        2,
        flag_values=values,
    )
    flags.DEFINE_bool('faults', True, 'bring faults about', values)
    flags.DEFINE_string(
        'folder', '', 'where files stay (default: a temporary folder)', values
    )
    return values


def _run_in(cfg, folder):
    try:
        report = Soak(cfg, folder).run()
    except errors.Error as exc:
        print(f'failed: {exc}', file=sys.stderr)
        return 1
    print(json.dumps(report, indent=2, sort_keys=True))
    return 1 if report['breaches'] else 0


def main(argv):
    """Runs the program."""
    cfg = _programs.parse(_make_flags(), argv, __doc__)
    if cfg.folder:
        os.makedirs(cfg.folder)
        return _run_in(cfg, os.path.abspath(cfg.folder))
    with tempfile.TemporaryDirectory(prefix='fuchsiatrestle-') as folder:
        return _run_in(cfg, folder)


if __name__ == '__main__':
    sys.exit(main(sys.argv))
