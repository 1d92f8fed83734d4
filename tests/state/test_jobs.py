"""Tests of the jobs part of the agreed state."""

import unittest
from unittest import mock

from fuchsiatrestle import errors
from fuchsiatrestle import messages
from fuchsiatrestle.state import _denials
from fuchsiatrestle.state import _jobs
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import queries

CAPACITY = messages.Resources(4000, 8000, 1)
SIZE = messages.Resources(1000, 1000)


def make_spec(job_id, size=SIZE, **values):
    """Returns a ``JobSpec`` with short defaults."""
    return commands.JobSpec(
        job_id, values.pop('team', 'team'), 'class', 5, size, **values
    )


class JobsCase(unittest.TestCase):
    """Base of tests that apply commands to a part with one worker."""

    def setUp(self):
        """Creates the part and registers a worker of incarnation 1."""
        self.quotas = {}
        self.part = _jobs.JobsPart(lambda: self.quotas, 5, 2)
        self.last_index = 0
        self.register_worker('w1')

    def apply_command(self, command):
        """Applies one command and checks the invariants of the part."""
        self.last_index += 1
        outcome = self.part.apply(self.last_index, command)
        self.part.verify()
        return outcome

    def register_worker(self, name, incarnation=1, capacity=CAPACITY):
        """Registers one worker."""
        spec = commands.WorkerSpec(name, incarnation, 'dc1', 'r1', capacity)
        self.apply_command(commands.RegisterWorkers([spec]))

    def submit_jobs(self, *specs):
        """Submits jobs."""
        return self.apply_command(commands.SubmitJobs(list(specs))).jobs

    def place_attempt(
        self, job_id, attempt=1, worker='w1', size=SIZE, **values
    ):
        """Places one attempt."""
        values.setdefault('incarnation', 1)
        placement = commands.Placement(job_id, attempt, worker, size, **values)
        return self.apply_command(commands.PlaceAttempts([placement])).jobs[0]

    def record_events(self, job_id, attempt, *kinds, **values):
        """Records events of one attempt."""
        events = [
            commands.AttemptEvent(job_id, attempt, kind, **values)
            for kind in kinds
        ]
        return self.apply_command(commands.RecordAttempts(events)).jobs[-1]

    def job_state(self, job_id):
        """Returns the state of a job."""
        return self.part.query(queries.GetJob(job_id)).state


class SubmitTest(JobsCase):
    """Submission is idempotent and refuses what can never run."""

    def test_same_job_twice(self):
        """A resend is recognised by its id; another specification is refused.

        The time of submission is not compared.
        """
        self.submit_jobs(make_spec('a'))
        again, other = self.submit_jobs(
            make_spec('a', submitted_ms=7), make_spec('a', run_ms=1)
        )
        self.assertEqual(('queued', True), (again.state, again.repeated))
        self.assertEqual('spec_differs', other.reason)

    def test_resend_after_the_end(self):
        """A resend of an ended job returns its state and queues nothing."""
        self.submit_jobs(make_spec('a', submitted_ms=1))
        self.place_attempt('a')
        self.record_events('a', 1, 'started', 'done')
        again = self.submit_jobs(make_spec('a', submitted_ms=1))[0]
        self.assertEqual(('done', True), (again.state, again.repeated))

    def test_resend_beyond_the_window_is_refused(self):
        """A job that may be a resend of a removed one is refused as stale."""
        for number in range(3):
            name = f'j{number}'
            self.submit_jobs(make_spec(name, submitted_ms=10 + number))
            self.apply_command(commands.CancelJobs([name]))
        cases = (('j0', 10, 'stale'), ('new', 0, 'stale'), ('new', 11, ''))
        for job_id, submitted_ms, reason in cases:
            spec = make_spec(job_id, submitted_ms=submitted_ms)
            with self.subTest(job_id=job_id, submitted_ms=submitted_ms):
                self.assertEqual(reason, self.submit_jobs(spec)[0].reason)

    def test_job_cancelled_before_its_submission_arrives_never_runs(self):
        """An entry that stood still hands in the submission later."""
        cancel = commands.CancelJobs(['a'], '', 1000)
        outcome = self.apply_command(cancel).jobs[0]
        self.assertEqual('unknown_job', outcome.reason)
        snapshot = self.part.snapshot()
        self.part.restore(snapshot)
        for submitted_ms in (10, 5000):
            spec = make_spec('a', submitted_ms=submitted_ms)
            self.assertEqual('cancelled', self.submit_jobs(spec)[0].reason)
        spec = make_spec('b', submitted_ms=10)
        self.assertEqual('queued', self.submit_jobs(spec)[0].state)

    def test_cancels_of_unknown_jobs_are_bounded_and_dropped_ones_hold(self):
        with mock.patch.object(_denials, 'MAX_ROWS', 2):
            for number in range(4):
                cancel = commands.CancelJobs([f'n{number}'], '', 100 + number)
                self.apply_command(cancel)
        for job_id, submitted_ms, reason in (
            ('n0', 50, 'cancelled'),
            ('n3', 200, 'cancelled'),
            ('n0', 102, ''),
        ):
            spec = make_spec(job_id, submitted_ms=submitted_ms)
            with self.subTest(job_id=job_id, submitted_ms=submitted_ms):
                self.assertEqual(reason, self.submit_jobs(spec)[0].reason)

    def test_refusals(self):
        """Each refusal has its reason and names the cause in its detail."""
        self.quotas = {'team': messages.Resources(3000, 9000, 1)}
        make_size = messages.Resources
        cases = (
            (make_spec('a', team='other'), 'unknown_team', 'other'),
            (make_spec('a', make_size(3001, 1)), 'over_quota', 'cpu_milli'),
            (make_spec('a', make_size(1, 8001)), 'impossible', 'memory_mib'),
            (make_spec('a', SIZE, data_centre='x'), 'impossible', "'x'"),
            (make_spec('a', make_size(0, 1)), 'invalid_spec', 'size'),
            (make_spec(''), 'invalid_spec', 'job_id'),
        )
        for spec, reason, text in cases:
            outcome = self.submit_jobs(spec)[0]
            with self.subTest(reason=reason):
                self.assertEqual(reason, outcome.reason)
                self.assertIn(text, outcome.detail)

    def test_queue_is_bounded(self):
        """A job beyond the maximum of five open jobs is refused."""
        results = self.submit_jobs(*(make_spec(f'j{i}') for i in range(6)))
        self.assertEqual('queue_full', results[-1].reason)


class AttemptTest(JobsCase):
    """Attempts are fenced by their number and by reservations."""

    def test_placement_refusals(self):
        """A placement that does not match the current state is refused."""
        self.submit_jobs(make_spec('a'), make_spec('b'))
        self.place_attempt('b', size=messages.Resources(3001, 1))
        cases = (
            ({'attempt': 2}, 'wrong_attempt'),
            ({'worker': 'w9'}, 'unknown_worker'),
            ({'incarnation': 2}, 'wrong_incarnation'),
            ({'resume_from': 3}, 'wrong_checkpoint'),
            ({}, 'over_capacity'),
        )
        for values, reason in cases:
            with self.subTest(reason=reason):
                self.assertEqual(
                    reason, self.place_attempt('a', **values).reason
                )
        self.assertEqual(
            'not_queued', self.place_attempt('b', attempt=2).reason
        )

    def test_second_attempt_only_after_the_end_of_the_first(self):
        """While an attempt is live no other can be placed."""
        self.submit_jobs(make_spec('a'))
        self.place_attempt('a')
        for kind in ('started', 'checkpoint', 'evicting'):
            self.record_events('a', 1, kind, checkpoint=4)
            self.assertEqual('not_queued', self.place_attempt('a', 2).reason)
        self.record_events('a', 1, 'stopped')
        self.assertEqual('', self.place_attempt('a', 2, resume_from=4).reason)

    def test_stale_attempt_changes_nothing(self):
        """Events of an earlier attempt are ignored."""
        self.submit_jobs(make_spec('a'))
        self.place_attempt('a')
        self.record_events('a', 1, 'expired')
        self.place_attempt('a', 2)
        for kind in ('done', 'failed', 'stopped', 'checkpoint'):
            self.record_events('a', 1, kind, checkpoint=9)
        self.assertEqual('placed', self.job_state('a'))
        self.assertEqual(0, self.part.jobs['a'].checkpoint)

    def test_end_of_an_attempt(self):
        """The state after an attempt depends on the job and the events.

        A case is (idempotent, cancelled, event kinds, expected state).
        """
        cases = (
            (True, False, ('refused',), 'queued'),
            (True, False, ('started', 'stopped'), 'queued'),
            (True, False, ('expired',), 'queued'),
            (True, False, ('started', 'failed'), 'queued'),
            (True, False, ('started', 'done'), 'done'),
            (False, False, ('refused',), 'queued'),
            (False, False, ('started', 'refused'), 'parked'),
            (False, False, ('started', 'stopped'), 'parked'),
            (False, False, ('expired',), 'parked'),
            (False, False, ('started', 'failed'), 'failed'),
            (False, False, ('started', 'done'), 'done'),
            (True, True, ('refused',), 'cancelled'),
            (True, True, ('started', 'stopped'), 'cancelled'),
            (False, True, ('expired',), 'cancelled'),
            (False, True, ('started', 'failed'), 'cancelled'),
            (True, True, ('started', 'done'), 'done'),
        )
        for idempotent, cancelled, kinds, state in cases:
            with self.subTest(case=(idempotent, cancelled, kinds)):
                self.setUp()
                self.submit_jobs(make_spec('a', idempotent=idempotent))
                self.place_attempt('a')
                if cancelled:
                    self.apply_command(commands.CancelJobs(['a']))
                self.record_events('a', 1, *kinds)
                self.assertEqual(state, self.job_state('a'))

    def test_unknown_is_never_queued_again(self):
        """A billed job that may have run is parked and not queued again."""
        self.submit_jobs(make_spec('a', idempotent=False))
        self.place_attempt('a')
        self.record_events('a', 1, 'expired')
        view = self.part.query(queries.GetJob('a'))
        self.assertEqual('unknown', view.reason)
        again = self.apply_command(commands.ResolveJobs(['a'], 'queued')).jobs[
            0
        ]
        self.assertEqual('may_have_run', again.reason)
        self.apply_command(commands.ResolveJobs(['a'], 'done'))
        self.assertEqual('done', self.job_state('a'))

    def test_breach_is_seen(self):
        """A second or too large a reservation breaches an invariant."""
        self.submit_jobs(make_spec('a'), make_spec('b'))
        self.place_attempt('a')
        store = self.part._store
        with self.assertRaisesRegex(errors.InvariantBreach, 'second_live'):
            store.reserve(self.part.jobs['a'], self.part.workers['w1'], SIZE)
        with self.assertRaisesRegex(errors.InvariantBreach, 'over_capacity'):
            huge = messages.Resources(3001, 1)
            store.reserve(self.part.jobs['b'], self.part.workers['w1'], huge)


class SnapshotTest(JobsCase):
    """Snapshots, and listing of jobs in pages."""

    def test_round_trip(self):
        """A restored part has the same snapshot, counts and outcomes."""
        self.submit_jobs(
            *(make_spec(f'j{i}', submitted_ms=i) for i in range(5))
        )
        self.place_attempt('j0')
        self.place_attempt('j1')
        self.record_events('j1', 1, 'started', 'checkpoint', checkpoint=2)
        for name in ('j2', 'j3', 'j4'):
            self.apply_command(commands.CancelJobs([name]))
        restored_part = _jobs.JobsPart(lambda: self.quotas, 5, 2)
        restored_part.restore(self.part.snapshot())
        self.assertEqual(self.part.snapshot(), restored_part.snapshot())
        self.assertEqual(
            self.part.counts_by_state(), restored_part.counts_by_state()
        )
        again = commands.SubmitJobs([make_spec('j2', submitted_ms=2)])
        for part in (self.part, restored_part):
            self.assertEqual('stale', part.apply(99, again).jobs[0].reason)

    def test_pages(self):
        """Pages list each job once, and a filter selects by state."""
        self.submit_jobs(*(make_spec(f'j{i}') for i in range(5)))
        self.apply_command(commands.CancelJobs(['j1']))
        names, after = [], ''
        while True:
            page = self.part.query(queries.ListJobs(after=after, limit=2))
            names.extend(job.job_id for job in page.jobs)
            after = page.next_after
            if not after:
                break
        self.assertEqual([f'j{i}' for i in range(5)], names)
        chosen = self.part.query(queries.ListJobs(state='cancelled'))
        self.assertEqual(['j1'], [job.job_id for job in chosen.jobs])
