"""Evictions in a cluster of processes whose leader is killed.

The test guards against evicted jobs that are lost, or run twice, because the
leader dies between the agreement on an eviction and the end of the attempt.
"""

import time

from standins import _processes
from tests.standins import systems

END_TIMEOUT_S = 180.0
FULL_JOBS = 32
URGENT_JOBS = 8
CPU_MILLI = 2000


def _job(job_id, team, run_ms, *, urgent=False):
    return {
        'job_id': job_id,
        'team': team,
        'size': {'cpu_milli': CPU_MILLI, 'memory_mib': 512},
        'idempotent': True,
        'submitted_ms': int(time.time() * 1000),
        'command': f'sleep {run_ms}',
        'urgent': urgent,
    }


class EvictionWaveTest(systems.SystemTest):
    """Urgent jobs of one team evict jobs that fill both workers."""

    def setUp(self):
        """Adds a second team to the configuration."""
        super().setUp()
        self.admin = self.cluster.make_admin_client()
        base_version = self.cluster.wait_for_leader()['config_version']
        quota = {'cpu_milli': 64000, 'memory_mib': 256000}
        reply = self.admin.call(
            'PATCH',
            '/v1/config',
            {'base': base_version, 'patch_id': 'second-team'},
            {'teams': {'imaging': quota}},
        )
        self.assertTrue(reply.ok, reply.value)

    def submit(self, jobs):
        """Submits jobs and asserts that each is accepted."""
        reply = self.admin.call('POST', '/v1/jobs', value={'jobs': jobs})
        self.assertTrue(reply.ok, reply.value)
        reasons = {outcome['reason'] for outcome in reply.value['jobs']}
        self.assertEqual({''}, reasons)

    def job_counts(self):
        """Returns the number of jobs by state, empty without a leader."""
        status = self.cluster.fetch_status()
        return status['control'].get('jobs', {}) if status else {}

    def wait_for(self, condition, description, timeout_s=END_TIMEOUT_S):
        """Waits until the counts of jobs by state meet a condition."""
        _processes.wait_until(
            lambda: condition(self.job_counts()), timeout_s, description
        )

    def test_leader_killed_in_the_middle_of_an_eviction_wave(self):
        """Evicted jobs resume once, urgent ones run, and all are done."""
        ordinary_jobs = [
            _job(f'full-{n}', 'repricing', 20_000) for n in range(FULL_JOBS)
        ]
        urgent_jobs = [
            _job(f'urgent-{n}', 'imaging', 1_000, urgent=True)
            for n in range(URGENT_JOBS)
        ]
        self.submit(ordinary_jobs)
        self.wait_for(
            lambda counts: counts.get('running', 0) == FULL_JOBS, 'all run'
        )
        self.submit(urgent_jobs)
        self.wait_for(
            lambda counts: counts.get('evicting', 0) > 0, 'evictions'
        )
        leader_name = self.cluster.fetch_status()['control']['leader']
        self.cluster.controls[leader_name].kill()
        total_jobs = FULL_JOBS + URGENT_JOBS
        self.wait_for(
            lambda counts: counts.get('done', 0) == total_jobs, 'all are done'
        )
        jobs = {job['job_id']: job for job in ordinary_jobs + urgent_jobs}
        self.assert_no_attempt_breach(jobs)
        repeated_attempts = [
            line
            for line in self.cluster.read_attempt_lines()
            if line.event == 'begin' and line.attempt > 1
        ]
        self.assertTrue(repeated_attempts, 'nothing was evicted')
        self.assertEqual(
            len(repeated_attempts),
            len({(line.job_id, line.attempt) for line in repeated_attempts}),
        )
