"""Batch jobs through the real daemons while the leader or a worker fails."""

import time

from standins import _cluster
from standins import _ledgers
from standins import _processes
from tests.standins import systems

END_TIMEOUT_S = 120.0
LEASE_TIMEOUT_S = 60.0
FINAL_STATES = ('done', 'failed', 'cancelled', 'parked')


def _make_job(job_id, run_ms, *, idempotent=True, cpu_milli=2000):
    return {
        'job_id': job_id,
        'team': _cluster.TEAM,
        'size': {'cpu_milli': cpu_milli, 'memory_mib': 512},
        'idempotent': idempotent,
        'submitted_ms': int(time.time() * 1000),
        'run_ms': run_ms,
        'command': f'sleep {run_ms}',
    }


class _JobsTest(systems.SystemTest):
    def setUp(self):
        super().setUp()
        self.admin_client = self.cluster.make_admin_client()
        self.jobs = {}

    def submit_jobs(self, *jobs):
        """Submits jobs and fails unless each is accepted."""
        reply = self.admin_client.call(
            'POST', '/v1/jobs', value={'jobs': jobs}
        )
        self.assertTrue(reply.ok, reply.value)
        for outcome in reply.value['jobs']:
            self.assertEqual('', outcome['reason'], outcome)
        self.jobs.update({job['job_id']: job for job in jobs})

    def fetch_view(self, job_id):
        """Returns the view of a job, None while there is no leader."""
        reply = self.admin_client.call('GET', f'/v1/jobs/{job_id}')
        return reply.value if reply.ok else None

    def wait_for_view(self, job_id, condition, timeout_s=END_TIMEOUT_S):
        """Waits until the view of a job meets a condition; returns it."""

        def find_matching_view():
            view = self.fetch_view(job_id)
            return view if view and condition(view) else None

        return _processes.wait_until(
            find_matching_view, timeout_s, f'state of {job_id}'
        )

    def wait_for_end(self, job_id):
        """Waits until a job has ended; returns its view."""
        return self.wait_for_view(
            job_id, lambda view: view['state'] in FINAL_STATES
        )


class LeaderFailureTest(_JobsTest):
    def test_leader_killed_in_the_middle_of_placement(self):
        """No acknowledged job is lost, and none starts twice."""
        jobs = [
            _make_job(f'burst-{number}', 500, idempotent=bool(number % 2))
            for number in range(60)
        ]
        self.submit_jobs(*jobs)
        status = self.cluster.fetch_status()
        leader = self.cluster.controls[status['control']['leader']]
        leader.kill()
        job_counts = status['control']['jobs']
        self.assertTrue(
            job_counts.get('queued') or job_counts.get('placed'),
            'no job was queued or placed when the leader was killed',
        )
        final_views = {
            job_id: self.wait_for_end(job_id) for job_id in self.jobs
        }
        leader.start()
        not_done = {
            job_id: view['state']
            for job_id, view in final_views.items()
            if view['state'] != 'done'
        }
        self.assertEqual({}, not_done)
        self.assert_no_attempt_breach(self.jobs)
        self.assert_clean_stop()


class WorkerFailureTest(_JobsTest):
    def _freeze_worker_of(self, job_id):
        """Waits until a job runs, freezes its worker; returns the process."""
        view = self.wait_for_view(
            job_id, lambda view: view['state'] == 'running'
        )
        process = self.cluster.workers[view['worker']]
        self.frozen_ns = time.monotonic_ns()
        process.freeze()
        return process

    def _make_fault_line(self, process):
        return _ledgers.FaultLine(
            'freeze',
            process.name,
            self.frozen_ns,
            self.frozen_ns,
            time.monotonic_ns(),
        )

    def test_frozen_worker_comes_back_after_its_lease(self):
        """The worker stops the first attempt; only the second one runs on."""
        self.submit_jobs(_make_job('long', 25000))
        process = self._freeze_worker_of('long')
        self.wait_for_view(
            'long',
            lambda view: view['attempt'] == 2 and view['state'] == 'running',
            LEASE_TIMEOUT_S,
        )
        process.resume()
        fault = self._make_fault_line(process)
        view = self.wait_for_end('long')
        self.assertEqual('done', view['state'], view)
        self.assertEqual(2, view['attempt'])
        self.assert_no_attempt_breach(self.jobs, [fault])

    def test_billed_job_of_a_frozen_worker_is_parked(self):
        """It may have run, so the operator can fail but not requeue it."""
        self.submit_jobs(_make_job('billed', 60000, idempotent=False))
        process = self._freeze_worker_of('billed')
        view = self.wait_for_end('billed')
        self.assertEqual('parked', view['state'], view)
        process.resume()
        fault = self._make_fault_line(process)
        body = {'job_ids': ['billed'], 'resolution': 'queued'}
        reply = self.admin_client.call('POST', '/v1/jobs/resolve', value=body)
        self.assertEqual('may_have_run', reply.value['jobs'][0]['reason'])
        body['resolution'] = 'failed'
        reply = self.admin_client.call('POST', '/v1/jobs/resolve', value=body)
        self.assertEqual('', reply.value['jobs'][0]['reason'], reply.value)
        self.assert_no_attempt_breach(self.jobs, [fault])
