"""Tests of each scheduling mechanism on a cell without message faults."""

import unittest

from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle import scheduling
from fuchsiatrestle.scheduling import _capacity
from fuchsiatrestle.scheduling import _interference
from fuchsiatrestle.scheduling import _quarantine
from fuchsiatrestle.scheduling import _sizes
from fuchsiatrestle.state import commands
from tests.scheduling import _cell

# Longest time from the submission of an urgent job to its start.
URGENT_MS = 2_800


class OrderTest(unittest.TestCase):
    """Queued jobs start in the documented order."""

    def test_priority_then_deadline_then_submission(self):
        """One worker with room for one job at a time runs them in order."""
        cell = _cell.Cell(1)
        cell.advance(1000)
        job_fields = {'cpu_milli': 4000, 'command': 'sleep 100'}
        cell.submit(
            _cell.make_spec('late', priority=5, **job_fields),
            _cell.make_spec('soon', priority=5, deadline_ms=9, **job_fields),
            _cell.make_spec('first', priority=1, **job_fields),
        )
        cell.advance(15_000)
        job_ids = [line.job_id for line in cell.ledger]
        self.assertEqual(['first', 'soon', 'late'], job_ids)

    def test_teams_share(self):
        """A team with many jobs does not hold back one with few."""
        cell = _cell.Cell(2)
        cell.advance(1000)
        many_jobs = [_cell.make_spec(f'a{n}', team='a') for n in range(20)]
        few_jobs = [_cell.make_spec(f'b{n}', team='b') for n in range(4)]
        cell.submit(*many_jobs, *few_jobs)
        cell.advance(1000)
        teams = [line.job_id[0] for line in cell.ledger]
        self.assertEqual(4, teams.count('b'))

    def test_quota_holds_a_team_back(self):
        """A team never reserves more than its quota; the reason says so."""
        quota = messages.Resources(2000, 9000, 0)
        cell = _cell.Cell(2, quotas={'team': quota})
        cell.advance(1000)
        cell.submit(*(_cell.make_spec(f'j{n}') for n in range(4)))
        cell.advance(1000)
        self.assertEqual(2, len(cell.ledger))
        self.assertIn('quota', cell.scheduler.find_job_reason('j3').lines[0])


class CountersTest(unittest.TestCase):
    """Refusals and retries are counted by reason."""

    def test_refusal_and_retry(self):
        """A refused job and a requeued attempt each add one to a counter."""
        counters_before = metrics.default_registry.counters()
        cell = _cell.Cell(1)
        cell.advance(1000)
        cell.submit(_cell.make_spec('huge', 5000), _cell.make_spec('j'))
        cell.advance(2000)
        cell.restart('w0')
        cell.advance(2000)
        counters_after = metrics.default_registry.counters()
        for name in ('refused.job_impossible', 'retry.job_stopped'):
            with self.subTest(name=name):
                increase = counters_after.get(name, 0) - counters_before.get(
                    name, 0
                )
                self.assertEqual(1, increase)


class StarvationTest(unittest.TestCase):
    """Small jobs do not starve a large one."""

    def test_large_job_runs_in_a_stream_of_small_ones(self):
        """It starts although small jobs would fit into every gap first."""
        cell = _cell.Cell(2)
        cell.advance(1000)
        number = 0
        large_spec = _cell.make_spec('large', 4000, command='sleep 1000')
        for second in range(180):
            jobs = [
                _cell.make_spec(
                    f's{number + n}',
                    command=f'sleep {3000 + 700 * ((number + n) % 7)}',
                )
                for n in range(4)
            ]
            number += 4
            cell.submit(*jobs)
            if second == 20:
                cell.submit(large_spec)
            cell.advance(1000)
        self.assertEqual('done', cell.job_state('large'))


class UrgentTest(unittest.TestCase):
    """Urgent jobs start within ``URGENT_MS``, also in a full cell."""

    def test_preempts_least_work_lost(self):
        """It starts within ``URGENT_MS``; only one attempt is repeated."""
        cell = _cell.Cell(2)
        cell.advance(1000)
        filling_jobs = [
            _cell.make_spec(f'j{n}', 4000, command='sleep 30000')
            for n in range(2)
        ]
        cell.submit(*filling_jobs)
        cell.advance(5000)
        submitted_ms = cell.now_ms
        cell.submit(_cell.make_spec('now', 1000, urgent=True))
        cell.advance(4000, step_ms=200)
        line = [line for line in cell.ledger if line.job_id == 'now'][0]
        self.assertLess(line.start_ms - submitted_ms, URGENT_MS)
        cell.advance(60_000)
        self.assertEqual({'done': 3}, cell.part.counts_by_state())
        self.assertEqual(4, len(cell.ledger))

    def test_billed_work_is_not_evicted(self):
        """An urgent job waits rather than evict a job that must run once."""
        cell = _cell.Cell(1)
        cell.advance(1000)
        cell.submit(
            _cell.make_spec('j', 4000, idempotent=False, command='sleep 8000')
        )
        cell.advance(2000)
        cell.submit(_cell.make_spec('now', 1000, urgent=True))
        cell.advance(4000)
        self.assertEqual('running', cell.job_state('j'))
        cell.advance(12_000)
        self.assertEqual({'done': 2}, cell.part.counts_by_state())


class FailureTest(unittest.TestCase):
    """Jobs that can never run and workers that fail everything."""

    def test_failing_job_is_parked_after_distinct_workers(self):
        """It is tried on three workers and puts none in quarantine."""
        cell = _cell.Cell(5)
        cell.advance(1000)
        cell.submit(_cell.make_spec('bad', command='fail 100'))
        cell.advance(20_000)
        self.assertEqual('parked', cell.job_state('bad'))
        workers = {line.worker for line in cell.ledger}
        self.assertEqual((3, 3), (len(workers), len(cell.ledger)))
        worker_states = {
            w.state for w in cell.scheduler.list_workers(cell.now_ms).workers
        }
        self.assertEqual({'ready'}, worker_states)

    def test_failing_worker_is_quarantined_and_returns(self):
        """Jobs run elsewhere; probes release the worker after its repair."""
        cell = _cell.Cell(4)
        cell.agents['w1'].options.mode = 'fail'
        cell.advance(1000)
        jobs = [
            _cell.make_spec(f'j{n}', command='sleep 1000') for n in range(60)
        ]
        cell.submit(*jobs)
        cell.advance(30_000)
        self.assertEqual(60, cell.part.counts_by_state()['done'])
        self.assertEqual('quarantined', self._worker_state(cell, 'w1'))
        cell.agents['w1'].options.mode = ''
        for number in range(60, 160):
            cell.submit(_cell.make_spec(f'j{number}', command='sleep 1000'))
            cell.advance(1000)
        self.assertEqual('ready', self._worker_state(cell, 'w1'))

    @staticmethod
    def _worker_state(cell, name):
        views = cell.scheduler.list_workers(cell.now_ms).workers
        return {view.worker: view.state for view in views}[name]

    def test_quarantine_needs_distinct_jobs(self):
        """One job that fails often puts no worker in quarantine."""
        quarantine = _quarantine.Quarantine()
        for _ in range(9):
            quarantine.record_failure('w', 'j', 0)
        self.assertFalse(quarantine.is_quarantined('w'))

    def test_cancellation_wave(self):
        """One command cancels many jobs and stops the running ones."""
        cell = _cell.Cell(3)
        cell.advance(1000)
        job_ids = [f'j{n}' for n in range(200)]
        cell.submit(
            *(_cell.make_spec(n, command='sleep 60000') for n in job_ids)
        )
        cell.advance(2000)
        cell.apply_command(commands.CancelJobs(job_ids))
        cell.advance(3000)
        self.assertEqual({'cancelled': 200}, cell.part.counts_by_state())
        self.assertFalse(any(a.running_job_ids for a in cell.agents.values()))


class LearningTest(unittest.TestCase):
    """Sizes and interference are learned from measurements."""

    def test_learned_size(self):
        """Reservations follow usage, within what one worker can hold."""
        capacities = [(messages.Resources(8000, 8000), 'dc1')]
        learned_sizes = _sizes.LearnedSizes(lambda: capacities, dict, True)
        spec = _cell.make_spec('j', 1000, 1000)
        cases = (
            (500, 500, 600, 1000),
            (3000, 2000, 3200, 2112),
            (9000, 9000, 8000, 8000),
        )
        for cpu, memory, reserved_cpu, reserved_memory in cases:
            for _ in range(_sizes.WINDOW_ATTEMPTS):
                learned_sizes.record_peak(
                    spec, messages.Resources(cpu, memory)
                )
            with self.subTest(cpu=cpu):
                reserved_size = learned_sizes.reservation_size(spec)
                self.assertEqual(
                    (reserved_cpu, reserved_memory),
                    (reserved_size.cpu_milli, reserved_size.memory_mib),
                )

    def test_interference_of_a_pair(self):
        """A class that raises tail latency is distinguished from another."""
        interference_model = _interference.InterferenceModel()
        service_usage = messages.Resources(4000, 1000)
        usage_mixes = ({}, {'bad': 4000}, {'good': 4000}, {'bad': 2000})
        for number in range(400):
            cpu_milli_by_class = usage_mixes[number % 4]
            p99_ms = 10.0 * (1.1 ** (cpu_milli_by_class.get('bad', 0) / 1000))
            load = messages.ServiceLoad('s', service_usage, p99_ms, 1000)
            interference_model.learn_measurement(load, cpu_milli_by_class)
        self.assertAlmostEqual(
            0.095, interference_model.coefficient('s', 'bad'), delta=0.02
        )
        self.assertLess(interference_model.coefficient('s', 'good'), 0.01)

    def test_throttle_goes_before_eviction_and_is_lifted(self):
        """An attempt beside a hot service is throttled until it is calm."""
        cell = _cell.Cell(1, service='quotes')
        cell.advance(20_000)
        cell.submit(_cell.make_spec('j', command='sleep 200000'))
        cell.advance(5000)
        cell.agents['w0'].options.mode = 'noisy'
        kinds = self._order_kinds(cell, 8000)
        self.assertIn('throttle', kinds)
        self.assertNotIn('stop', kinds)
        cell.agents['w0'].options.mode = ''
        self._order_kinds(cell, 90_000)
        self.assertNotIn('throttle', self._order_kinds(cell, 5000))

    @staticmethod
    def _order_kinds(cell, duration_ms):
        kinds = set()
        end_ms = cell.now_ms + duration_ms
        while cell.now_ms < end_ms:
            cell.now_ms += 500
            cell.step(scheduling.Tick())
            cell.agree()
            cell.report('w0')
            kinds |= {o.kind for a in cell.answers for o in a.orders}
            cell.agree()
            cell.deliver_answers()
        return kinds


class FreeIndexTest(unittest.TestCase):
    """The index finds exactly the workers with room."""

    def test_against_a_plain_search(self):
        """Each need finds the same workers as a search of all."""
        index = _capacity.FreeCapacityIndex()
        free_by_worker = {}
        for number in range(200):
            name = f'w{number}'
            free = (number * 37 % 331, number * 53 % 277, number % 3)
            free_by_worker[name] = free
            index.set_free(name, (1, 1, 1))
            index.set_free(name, free)
        for number in range(0, 200, 7):
            index.remove_worker(f'w{number}')
            del free_by_worker[f'w{number}']
        for need in ((0, 0, 0), (100, 1, 0), (33, 200, 1), (330, 0, 0)):
            expected_names = {
                name
                for name, free in free_by_worker.items()
                if all(f >= n for f, n in zip(free, need, strict=True))
            }
            with self.subTest(need=need):
                self.assertEqual(expected_names, set(index.iter_fitting(need)))
