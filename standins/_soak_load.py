"""Load of a soak run on the administrative calls.

Operators, job submitters and a watcher run in a thread each.
"""

import abc
import random
import threading
import time

from fuchsiatrestle import ctl
from standins import _cluster
from standins import _ledgers

__all__ = ('JobSubmitter', 'Operator', 'VersionWatcher')

# Number of times that the same patch or submission is sent at most.
MAX_SENDS = 3
MEAN_PATCH_PAUSE_S = 0.4
MEAN_JOB_PAUSE_S = 1.0
MEAN_WATCH_PAUSE_S = 0.1
JOBS_PER_CALL = 2
JOB_RUN_RANGE_MS = (200, 3000)
JOB_CPU_RANGE_MILLI = (500, 12000)
# Share of the answered calls that are sent again, to test that a resend has no
# further effect.
RESEND_SHARE = 0.2
CANCEL_SHARE = 0.1
NOT_IDEMPOTENT_SHARE = 0.3


class _LoadThread(abc.ABC):
    """A thread that repeats a step until it is asked to stop.

    Args:
        cluster: the ``Cluster``.
        name: name of the thread.
        seed: seed of its random choices.

    Attributes:
        name: the name given.
        mean_pause_s: mean pause between two steps, in seconds.
    """

    mean_pause_s = 0.0

    def __init__(self, cluster, name, seed):
        self.name = name
        self._cluster = cluster
        self._rng = random.Random(f'{seed}-{name}')
        self._stop_event = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name)

    def start(self):
        """Starts the thread."""
        self._thread.start()

    def ask_to_stop(self):
        """Makes the current step the last one."""
        self._stop_event.set()

    def join(self):
        """Waits until the thread has ended."""
        self._thread.join()

    def _run(self):
        while not self._stop_event.is_set():
            self._step()
            self._stop_event.wait(self._rng.expovariate(1 / self.mean_pause_s))

    @abc.abstractmethod
    def _step(self):
        """Makes the calls of one step."""

    def _call_any_entry(self, method, path, parameters=None, value=None):
        """Makes a call through the entries, tried in random order.

        Returns:
            The reply, None if no entry answered.
        """
        names = list(self._cluster.entry_addresses)
        self._rng.shuffle(names)
        client = self._cluster.make_admin_client(*names)
        try:
            return client.call(method, path, parameters, value)
        except ctl.CallFailed:
            return None


class Operator(_LoadThread):
    """Submits patches that compete with those of other operators.

    A patch is sent again if its outcome is unknown, and some are sent again
    although they were answered.

    Attributes:
        patch_lines: a ``PatchLine`` for each time that a patch was sent.
    """

    mean_pause_s = MEAN_PATCH_PAUSE_S

    def __init__(self, cluster, name, seed):
        super().__init__(cluster, name, seed)
        self.patch_lines = []
        self._patch_count = 0

    def _step(self):
        reply = self._call_any_entry('GET', '/v1/config')
        if reply is None or not reply.ok:
            return
        self._patch_count += 1
        base_version = reply.value['version']
        patch_id = f'{self.name}-{self._patch_count}'
        for _ in range(MAX_SENDS):
            is_outcome_known = self._send_patch(base_version, patch_id)
            if is_outcome_known and self._rng.random() > RESEND_SHARE:
                return

    def _send_patch(self, base_version, patch_id):
        """Sends a patch; returns True if its outcome is known."""
        team = {'cpu_milli': self._patch_count, 'memory_mib': 1}
        reply = self._call_any_entry(
            'PATCH',
            '/v1/config',
            {'base': base_version, 'patch_id': patch_id, 'author': self.name},
            {'teams': {self.name: team}},
        )
        outcome, version = _parse_patch_reply(reply)
        self.patch_lines.append(
            _ledgers.PatchLine(
                patch_id, base_version, outcome, version, time.monotonic_ns()
            )
        )
        return outcome != 'unknown'


def _parse_patch_reply(reply):
    """Returns outcome and version, as in ``PatchLine``, from a reply."""
    if reply is None:
        return 'unknown', 0
    if reply.ok:
        return 'accepted', reply.value['version']
    if reply.reason == 'version_conflict':
        return 'conflict', reply.get('current')
    return 'refused', 0


class JobSubmitter(_LoadThread):
    """Submits jobs and cancels some of them.

    A submission is sent again if it was not answered with success, and some
    are sent again although they were.

    Attributes:
        acknowledged_jobs: bodies of acknowledged jobs by id.
        sent_jobs: bodies of all jobs by id, acknowledged or not.
        cancelled_job_ids: identifiers of jobs whose cancellation was answered.
        refusal_counts: number of refusals of single jobs, by reason.
    """

    mean_pause_s = MEAN_JOB_PAUSE_S

    def __init__(self, cluster, name, seed):
        super().__init__(cluster, name, seed)
        self.acknowledged_jobs = {}
        self.sent_jobs = {}
        self.cancelled_job_ids = set()
        self.refusal_counts = {}
        self._job_count = 0

    def _make_job(self):
        self._job_count += 1
        run_ms = self._rng.randint(*JOB_RUN_RANGE_MS)
        return {
            'job_id': f'{self.name}-{self._job_count}',
            'team': _cluster.TEAM,
            'job_class': f'class-{self._job_count % 3}',
            'priority': self._rng.randint(0, 9),
            'size': {
                'cpu_milli': self._rng.randint(*JOB_CPU_RANGE_MILLI),
                'memory_mib': self._rng.randint(64, 8192),
            },
            'idempotent': self._rng.random() >= NOT_IDEMPOTENT_SHARE,
            'submitted_ms': int(time.time() * 1000),
            'run_ms': run_ms,
            'command': f'sleep {run_ms}',
        }

    def _step(self):
        jobs = [self._make_job() for _ in range(JOBS_PER_CALL)]
        for job in jobs:
            self.sent_jobs[job['job_id']] = job
        for _ in range(MAX_SENDS):
            reply = self._call_any_entry(
                'POST', '/v1/jobs', value={'jobs': jobs}
            )
            if reply is not None and reply.ok:
                self._record_outcomes(reply.value['jobs'])
                if self._rng.random() > RESEND_SHARE:
                    break
        if self._rng.random() < CANCEL_SHARE:
            self._cancel_job(jobs[0]['job_id'])

    def _record_outcomes(self, outcomes):
        for outcome in outcomes:
            job_id = outcome['job_id']
            if outcome['reason']:
                reason = outcome['reason']
                self.refusal_counts[reason] = (
                    self.refusal_counts.get(reason, 0) + 1
                )
            else:
                self.acknowledged_jobs[job_id] = self.sent_jobs[job_id]

    def _cancel_job(self, job_id):
        reply = self._call_any_entry(
            'POST', '/v1/jobs/cancel', value={'job_ids': [job_id]}
        )
        if reply is not None and reply.ok:
            self.cancelled_job_ids.add(job_id)


class VersionWatcher(_LoadThread):
    """Records which configuration version each entry has in force.

    Attributes:
        version_lines: ``VersionLine`` values, in the order of time.
    """

    mean_pause_s = MEAN_WATCH_PAUSE_S

    def __init__(self, cluster, seed):
        super().__init__(cluster, 'watcher', seed)
        self.version_lines = []

    def _step(self):
        for name in self._cluster.entry_addresses:
            status = self._cluster.fetch_status(name)
            if status is None:
                continue
            self.version_lines.append(
                _ledgers.VersionLine(
                    name, status['entry']['version'], time.monotonic_ns()
                )
            )
