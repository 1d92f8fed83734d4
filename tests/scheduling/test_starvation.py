"""Tests that no reservation or search bound makes a job wait without end."""

import unittest
from unittest import mock

from fuchsiatrestle import messages
from fuchsiatrestle import scheduling
from fuchsiatrestle.scheduling import _dispatch
from fuchsiatrestle.scheduling import _holds
from fuchsiatrestle.scheduling import _interference
from fuchsiatrestle.state import commands
from tests.scheduling import _cell

# Longest time from the submission of an urgent job to its start.
URGENT_MS = 2_800
# More shapes than one round tries to place.
MANY_SHAPES = 200


def _make_endless_spec(job_id, cpu_milli, **fields):
    """Returns the spec of a job that isn't evicted and does not end."""
    return _cell.make_spec(
        job_id,
        cpu_milli,
        idempotent=False,
        command='sleep 100000000',
        **fields,
    )


def _find_start_ms(cell, job_id):
    """Returns when a job first started, or None if it has not."""
    for line in cell.ledger:
        if line.job_id == job_id:
            return line.start_ms
    return None


class HeldWorkerTest(unittest.TestCase):
    """A worker held for one shape keeps no other job waiting for ever."""

    def _make_cell_with_hold(self, *large_sizes):
        cell = _cell.Cell(1)
        cell.advance(1000)
        cell.submit(_make_endless_spec('endless', 1000))
        cell.advance(1000)
        cell.submit(
            *(
                _cell.make_spec(f'large-{size}', size, priority=1)
                for size in large_sizes
            )
        )
        cell.advance(_holds.WAIT_BEFORE_HOLD_MS + 2000)
        return cell

    def test_urgent_job_is_not_kept_off_a_held_worker(self):
        """It starts in time on a worker held for another shape."""
        cell = self._make_cell_with_hold(4000)
        cell.submit(_cell.make_spec('now', 1000, urgent=True))
        cell.advance(URGENT_MS, step_ms=200)
        self.assertIsNotNone(_find_start_ms(cell, 'now'))

    def test_urgent_job_evicts_work_on_a_held_worker(self):
        """It makes room for itself where a hold lets nothing else in."""
        cell = _cell.Cell(1)
        cell.advance(1000)
        cell.submit(
            _make_endless_spec('endless', 1000),
            _cell.make_spec('evictable', 2000, command='sleep 100000000'),
        )
        cell.advance(1000)
        cell.submit(_cell.make_spec('large', 4000, priority=1))
        cell.advance(_holds.WAIT_BEFORE_HOLD_MS + 2000)
        cell.submit(_cell.make_spec('now', 2000, urgent=True))
        cell.advance(URGENT_MS, step_ms=200)
        self.assertIsNotNone(_find_start_ms(cell, 'now'))

    def test_job_that_fits_waits_for_one_hold_at_most(self):
        """It starts after the hold, for a shape that can't be satisfied."""
        cell = self._make_cell_with_hold(4000)
        cell.submit(_cell.make_spec('fits', 1000))
        cell.advance(_holds.MAX_HOLD_MS + 2000)
        self.assertIsNotNone(_find_start_ms(cell, 'fits'))

    def test_holds_of_different_shapes_do_not_follow_without_a_gap(self):
        """A job that fits starts between the holds of two large shapes."""
        cell = self._make_cell_with_hold(4000, 3900)
        cell.submit(_cell.make_spec('fits', 1000))
        cell.advance(_holds.MAX_HOLD_MS + 2000)
        self.assertIsNotNone(_find_start_ms(cell, 'fits'))

    def test_hold_on_a_leaving_worker_ends(self):
        """Another worker is held for the shape in its place."""
        cell = _cell.Cell(2)
        cell.advance(1000, silent_workers=('w1',))
        cell.submit(_make_endless_spec('endless', 1000))
        cell.advance(1000, silent_workers=('w1',))
        cell.submit(_cell.make_spec('large', 4000, priority=1))
        cell.advance(_holds.WAIT_BEFORE_HOLD_MS + 2000, silent_workers=('w1',))
        cell.agents['w0'].leaving = True
        for second in range(20):
            cell.submit(
                *(
                    _cell.make_spec(
                        f's{second}-{n}', priority=0, command='sleep 3000'
                    )
                    for n in range(4)
                )
            )
            cell.advance(1000)
        self.assertIsNotNone(_find_start_ms(cell, 'large'))

    def test_hold_in_vain_is_followed_by_one_of_another_worker(self):
        cell = _cell.Cell(2)
        cell.agents['w0'].options.capacity = messages.Resources(4000, 8000, 0)
        cell.advance(1000)
        cell.submit(_make_endless_spec('endless', 1000))
        cell.advance(1000)
        self.assertEqual('w0', cell.ledger[0].worker)
        for second in range(3 * _holds.MAX_HOLD_MS // 1000):
            cell.submit(
                *(
                    _cell.make_spec(
                        f's{second}-{n}', priority=0, command='sleep 3000'
                    )
                    for n in range(3)
                )
            )
            if second == 20:
                cell.submit(_cell.make_spec('large', 4000))
            cell.advance(1000, step_ms=1000)
        self.assertEqual('done', cell.job_state('large'))


class RoundTest(unittest.TestCase):
    """Jobs that find no room do not hide those behind them from a round."""

    def _run_behind_many_shapes(self, **fields):
        cell = _cell.Cell(1)
        cell.advance(1000)
        cell.submit(_make_endless_spec('endless', 1000))
        cell.advance(1000)
        cell.submit(
            *(
                _cell.make_spec(f'large-{n}', 3500 + n, priority=1, **fields)
                for n in range(MANY_SHAPES)
            )
        )
        cell.advance(1000)
        cell.submit(_cell.make_spec('fits', 1000, priority=9, **fields))
        cell.advance(URGENT_MS, step_ms=200)
        return cell

    def test_urgent_job_behind_many_urgent_shapes_starts_in_time(self):
        """It is tried although more shapes miss than a round tries."""
        cell = self._run_behind_many_shapes(urgent=True)
        self.assertIsNotNone(_find_start_ms(cell, 'fits'))

    def test_job_behind_many_shapes_of_higher_priority_starts(self):
        """It gets the free room that none of the shapes fits into."""
        cell = self._run_behind_many_shapes()
        self.assertIsNotNone(_find_start_ms(cell, 'fits'))

    def test_job_behind_many_teams_at_their_quota_starts(self):
        """Teams at their quota use up no more tries than shapes do."""
        quotas = {
            f't{n}': messages.Resources(1000, 8000, 0)
            for n in range(MANY_SHAPES)
        }
        quotas['other'] = messages.Resources(1000, 8000, 0)
        capacity = messages.Resources(1_000_000, 1_000_000, 0)
        cell = _cell.Cell(1, quotas=quotas, capacity=capacity)
        cell.advance(1000)
        full_teams = [team for team in quotas if team != 'other']
        cell.submit(
            *(_make_endless_spec(f'e-{t}', 1000, team=t) for t in full_teams)
        )
        cell.advance(3000)
        cell.submit(
            *(_cell.make_spec(f'j-{t}', team=t) for t in full_teams),
            _cell.make_spec('fits', team='other', priority=9),
        )
        cell.advance(10_000)
        self.assertIsNotNone(_find_start_ms(cell, 'fits'))

    def test_urgent_job_goes_before_the_rest_of_a_long_walk(self):
        """Shapes passed over before are tried again for an urgent job."""
        cell = _cell.Cell(1)
        cell.advance(1000)
        cell.submit(_cell.make_spec('filler', 4000, command='sleep 4000'))
        cell.advance(1000)
        cell.submit(
            *(
                _cell.make_spec(f'j{n}', 1000 + n, priority=1)
                for n in range(20 * MANY_SHAPES)
            )
        )
        cell.advance(1000)
        cell.submit(_cell.make_spec('now', 1000, urgent=True))
        cell.advance(URGENT_MS, step_ms=200)
        self.assertIsNotNone(_find_start_ms(cell, 'now'))


class FailedJobTest(unittest.TestCase):
    """A job that failed wherever it may go is parked and doesn't wait."""

    def test_job_is_parked_though_workers_that_it_may_not_go_to_are_left(self):
        for fields in ({'data_centre': 'dc1'}, {'accelerators': 1}):
            with self.subTest(**fields):
                cell = _cell.Cell(3)
                for name in ('w1', 'w2'):
                    options = cell.agents[name].options
                    options.data_centre = 'dc2'
                    options.capacity = messages.Resources(4000, 8000, 0)
                cell.advance(2000)
                cell.submit(
                    _cell.make_spec('bound', command='fail 100', **fields)
                )
                cell.advance(20_000)
                self.assertEqual(1, len(cell.ledger))
                self.assertEqual('parked', cell.job_state('bound'))

    def test_job_is_parked_in_a_large_cell_with_one_worker_for_it(self):
        cell = _cell.Cell(70)
        cell.agents['w0'].options.data_centre = 'dc2'
        cell.advance(2000)
        cell.submit(
            _cell.make_spec('bound', command='fail 100', data_centre='dc2')
        )
        cell.advance(20_000)
        self.assertEqual('parked', cell.job_state('bound'))


class ManyShapesTest(unittest.TestCase):
    """More shapes than are remembered start no wait of theirs anew."""

    @mock.patch.object(_holds, 'MAX_WAITING_SHAPES', 8)
    def test_worker_is_held_although_too_many_shapes_wait_for_one(self):
        cell = _cell.Cell(1)
        cell.advance(1000)
        for second in range(240):
            cell.submit(
                *(
                    _cell.make_spec(
                        f's{second}-{n}', priority=0, command='sleep 3000'
                    )
                    for n in range(4)
                )
            )
            if second == 5:
                cell.submit(
                    *(
                        _cell.make_spec(f'large-{n}', 4000 - n, priority=1)
                        for n in range(20)
                    )
                )
            cell.advance(1000, step_ms=1000)
        large_jobs = [
            line for line in cell.ledger if line.job_id.startswith('large')
        ]
        self.assertTrue(large_jobs)

    @mock.patch.object(_dispatch, 'MAX_REMEMBERED_SHAPES', 8)
    def test_tail_limit_ends_although_it_holds_back_too_many_shapes(self):
        cell = _cell.Cell(1, service='quotes')
        cell.advance(2000)
        with mock.patch.object(
            _interference.InterferenceModel, 'coefficient', return_value=1.0
        ):
            cell.submit(
                *(_cell.make_spec(f'j{n}', 1000 + n) for n in range(20))
            )
            cell.advance(2 * cell.policy.tail_patience_ms)
        self.assertTrue(cell.ledger)


class SearchTest(unittest.TestCase):
    """Searches for a worker to clear find the one that can be cleared."""

    def _make_cell(self):
        """Returns a cell where only ``w99`` has accelerators."""
        cell = _cell.Cell(100, capacity=messages.Resources(4000, 8000, 0))
        cell.agents['w99'].options.capacity = _cell.CAPACITY
        cell.advance(1000)
        return cell

    def test_urgent_job_evicts_on_the_only_worker_with_accelerators(self):
        """Workers that are too small when empty hide none that is not."""
        cell = self._make_cell()
        cell.submit(
            _cell.make_spec(
                'evictable', accelerators=1, command='sleep 100000000'
            )
        )
        cell.advance(2000)
        cell.submit(_cell.make_spec('now', accelerators=1, urgent=True))
        cell.advance(URGENT_MS, step_ms=200)
        self.assertIsNotNone(_find_start_ms(cell, 'now'))

    def test_urgent_job_evicts_beside_many_workers_with_billed_work(self):
        """Workers without evictable work hide none that has some."""
        cell = _cell.Cell(100)
        cell.advance(1000)
        cell.submit(
            *(_make_endless_spec(f'billed-{n}', 3000) for n in range(99)),
            _cell.make_spec('evictable', 4000, command='sleep 100000000'),
        )
        cell.advance(2000)
        cell.submit(_cell.make_spec('now', 2000, urgent=True))
        cell.advance(URGENT_MS, step_ms=200)
        self.assertIsNotNone(_find_start_ms(cell, 'now'))

    def test_urgent_job_evicts_where_services_have_outgrown_the_rest(self):
        """Free capacity below zero does not hide a worker."""
        cell = _cell.Cell(1)
        cell.advance(1000)
        cell.submit(
            *(
                _cell.make_spec(f'j{n}', command='sleep 100000000')
                for n in range(4)
            )
        )
        cell.advance(2000)
        cell.agents['w0'].options.service = 'quotes'
        cell.advance(2000)
        cell.submit(_cell.make_spec('now', urgent=True))
        cell.advance(URGENT_MS, step_ms=200)
        self.assertIsNotNone(_find_start_ms(cell, 'now'))

    def test_urgent_jobs_that_claim_one_worker_start_in_time(self):
        """The claim of one job does not make the next one miss its time."""
        cell = _cell.Cell(1)
        cell.advance(1000)
        cell.submit(
            *(
                _cell.make_spec(f'j{n}', 2000, command='sleep 100000000')
                for n in range(2)
            )
        )
        cell.advance(2000)
        cell.submit(
            *(
                _cell.make_spec(
                    f'now-{n}', 2000, urgent=True, command='sleep 60000'
                )
                for n in range(2)
            )
        )
        cell.advance(URGENT_MS, step_ms=200)
        self.assertIsNotNone(_find_start_ms(cell, 'now-0'))
        self.assertIsNotNone(_find_start_ms(cell, 'now-1'))

    def test_worker_is_held_beside_many_that_are_too_small(self):
        """A large job gets the only worker that is large enough when empty."""
        cell = self._make_cell()
        for second in range(90):
            cell.submit(
                *(
                    _cell.make_spec(
                        f's{second}-{n}',
                        priority=0,
                        accelerators=n // 3,
                        command='sleep 3000',
                    )
                    for n in range(4)
                )
            )
            if second == 5:
                cell.submit(_cell.make_spec('large', 4000, accelerators=1))
            cell.advance(1000)
        self.assertIsNotNone(_find_start_ms(cell, 'large'))


class LearnedSizeTest(unittest.TestCase):
    """A learned size that no worker has room for keeps no job waiting."""

    def test_job_starts_though_its_learned_size_leaves_services_no_room(self):
        cell = _cell.Cell(2, service='quotes')
        cell.advance(5000)
        size_rule = cell.scheduler._assembly.size_rule
        for _ in range(8):
            size_rule.record_peak(
                _cell.make_spec('earlier'), messages.Resources(4000, 7000, 0)
            )
        cell.submit(_cell.make_spec('declared-fits'))
        cell.advance(_holds.WAIT_BEFORE_HOLD_MS)
        self.assertEqual('done', cell.job_state('declared-fits'))


class TailLimitTest(unittest.TestCase):
    """Workers barred by the tail latency limit hide none that is not."""

    def test_job_starts_beside_many_workers_barred_by_the_estimate(self):
        for barred_count in (40, 400):
            with self.subTest(barred_count=barred_count):
                cell = _cell.Cell(barred_count + 8)
                for number in range(barred_count):
                    options = cell.agents[f'w{number}'].options
                    options.capacity = messages.Resources(8000, 16_000, 1)
                    options.service = 'quotes'
                cell.advance(2000)
                with mock.patch.object(
                    _interference.InterferenceModel,
                    'coefficient',
                    return_value=1.0,
                ):
                    cell.submit(
                        *(_make_endless_spec(f'j{n}', 1000) for n in range(8))
                    )
                    cell.advance(10_000)
                workers = {line.worker for line in cell.ledger}
                self.assertEqual(8, len(cell.ledger))
                self.assertFalse(
                    workers & {f'w{n}' for n in range(barred_count)}
                )


class UrgentBurstTest(unittest.TestCase):
    """Urgent jobs that arrive together do not wait for one another."""

    def _run_burst(self, workers, count, cpu_milli):
        """Returns a full cell some time after urgent jobs of one shape."""
        cell = _cell.Cell(workers)
        cell.advance(1000)
        cell.submit(
            *(
                _cell.make_spec(f'j{n}', 4000, command='sleep 100000000')
                for n in range(workers)
            )
        )
        cell.advance(3000)
        cell.submit(
            *(
                _cell.make_spec(
                    f'now-{n}', cpu_milli, urgent=True, command='sleep 60000'
                )
                for n in range(count)
            )
        )
        cell.advance(URGENT_MS, step_ms=200)
        for number in range(count):
            self.assertIsNotNone(_find_start_ms(cell, f'now-{number}'))
        return cell

    def _count_evictions(self, cell):
        return sum(job.evictions for job in cell.part.jobs.values())

    def test_urgent_jobs_of_one_shape_start_in_time(self):
        """Room is made for all of them at once."""
        cell = self._run_burst(12, 10, 4000)
        self.assertEqual(10, self._count_evictions(cell))

    def test_urgent_jobs_share_the_room_of_one_victim(self):
        """No more work is evicted than they need together."""
        cell = self._run_burst(4, 4, 1000)
        self.assertEqual(1, self._count_evictions(cell))


class QuotaTest(unittest.TestCase):
    """A job above its team's quota does not stop the team."""

    def test_job_larger_than_a_lowered_quota_does_not_block_its_team(self):
        """Other jobs of the team start; it waits until the quota is raised."""
        quotas = {'team': messages.Resources(4000, 8000, 0)}
        cell = _cell.Cell(1, quotas=quotas)
        cell.advance(1000)
        cell.submit(_cell.make_spec('filler', 4000, command='sleep 4000'))
        cell.advance(1000)
        cell.submit(_cell.make_spec('large', 4000, priority=1))
        quotas['team'] = messages.Resources(2000, 8000, 0)
        cell.submit(_cell.make_spec('fits', 1000))
        cell.advance(20_000)
        self.assertEqual('done', cell.job_state('fits'))
        self.assertEqual('queued', cell.job_state('large'))


class AvoidedWorkerTest(unittest.TestCase):
    """A worker that an evicted job avoids stays open to other jobs."""

    def test_job_starts_where_an_evicted_job_of_its_shape_may_not(self):
        cell = _cell.Cell(1)
        cell.advance(1000)
        cell.submit(
            _make_endless_spec('endless', 2000),
            _cell.make_spec('evicted', 2000, command='sleep 100000000'),
        )
        cell.advance(1000)
        cell.submit(
            _cell.make_spec('now', 2000, urgent=True),
            _cell.make_spec('alike', 2000),
        )
        cell.advance(10_000)
        self.assertEqual('queued', cell.job_state('evicted'))
        self.assertEqual('done', cell.job_state('alike'))


class ProbeTest(unittest.TestCase):
    """A worker in quarantine gets probes until it is released."""

    def _make_cell_with_quarantine(self):
        """Returns a cell where the repaired ``w1`` is in quarantine."""
        cell = _cell.Cell(4)
        cell.agents['w1'].options.mode = 'fail'
        cell.advance(1000)
        cell.submit(
            *(
                _cell.make_spec(f'j{n}', command='sleep 1000')
                for n in range(60)
            )
        )
        cell.advance(25_000)
        self.assertEqual('quarantined', self._find_state(cell))
        cell.agents['w1'].options.mode = ''
        return cell

    def _make_cell_with_quarantined_worker_only(self):
        """Returns a cell without jobs whose only ``w1`` was repaired."""
        cell = self._make_cell_with_quarantine()
        cell.advance(60_000)
        for name in ('w0', 'w2', 'w3'):
            del cell.agents[name]
        cell.advance(70_000)
        self.assertEqual('quarantined', self._find_state(cell))
        return cell

    def _find_state(self, cell):
        views = cell.scheduler.list_workers(cell.now_ms).workers
        return {view.worker: view.state for view in views}['w1']

    def _run_jobs(self, cell, count):
        for number in range(count):
            cell.submit(
                _cell.make_spec(
                    f'{cell.now_ms}-{number}', command='sleep 1000'
                )
            )
            cell.advance(1000)

    def _propose_probe(self, cell):
        """Runs the cell until a probe is proposed; returns the proposal."""
        for number in range(200):
            cell.submit(_cell.make_spec(f'p{number}', command='sleep 1000'))
            cell.now_ms += 500
            cell.step(scheduling.Tick())
            for proposal in cell.proposals:
                placements = getattr(proposal.command, 'placements', [])
                if any(p.worker == 'w1' for p in placements):
                    return proposal
            cell.agree()
            cell.advance(500)
        self.fail('no probe was proposed')

    def test_refused_placement_of_a_probe_is_followed_by_another_probe(self):
        """A job cancelled before its placement is agreed ends the probe."""
        cell = self._make_cell_with_quarantine()
        proposal = self._propose_probe(cell)
        cell.apply_command(
            commands.CancelJobs(
                [
                    p.job_id
                    for p in proposal.command.placements
                    if p.worker == 'w1'
                ]
            )
        )
        self._run_jobs(cell, 100)
        self.assertEqual('ready', self._find_state(cell))

    def test_rejected_proposal_of_a_probe_is_followed_by_another_probe(self):
        """A proposal that is not agreed ends the probe."""
        cell = self._make_cell_with_quarantine()
        proposal = self._propose_probe(cell)
        cell.proposals.remove(proposal)
        cell.step(scheduling.ProposalRejected(proposal.token, 'not_leader'))
        self._run_jobs(cell, 100)
        self.assertEqual('ready', self._find_state(cell))

    def test_probe_is_found_behind_an_unsuitable_job_of_its_shape(self):
        cell = self._make_cell_with_quarantine()
        cell.submit(
            *(_make_endless_spec(f'e{n}', 4000) for n in range(3)),
            *(
                _cell.make_spec(f'billed{n}', idempotent=False)
                for n in range(20)
            ),
            *(_cell.make_spec(f'probe{n}') for n in range(20)),
        )
        cell.advance(100_000)
        self.assertEqual('ready', self._find_state(cell))

    def test_probe_is_found_behind_a_job_of_its_shape_above_quota(self):
        cell = self._make_cell_with_quarantine()
        cell.quotas['full'] = messages.Resources(4000, 8000, 0)
        cell.quotas['team'] = messages.Resources(99_000, 99_000, 0)
        cell.submit(_make_endless_spec('full', 4000, team='full'))
        cell.advance(2000)
        cell.submit(*(_make_endless_spec(f'e{n}', 4000) for n in range(2)))
        cell.advance(2000)
        cell.submit(
            _cell.make_spec('above', team='full', priority=1),
            *(_cell.make_spec(f'probe{n}') for n in range(20)),
        )
        cell.advance(100_000)
        self.assertEqual('ready', self._find_state(cell))

    def test_only_worker_is_probed_by_an_urgent_job_if_no_other_waits(self):
        cell = self._make_cell_with_quarantined_worker_only()
        cell.submit(*(_cell.make_spec(f'u{n}', urgent=True) for n in range(9)))
        cell.advance(100_000)
        self.assertEqual('ready', self._find_state(cell))
        self.assertEqual('done', cell.job_state('u8'))

    def test_only_worker_is_probed_by_a_billed_job_if_no_other_waits(self):
        cell = self._make_cell_with_quarantined_worker_only()
        cell.submit(
            *(_cell.make_spec(f'b{n}', idempotent=False) for n in range(9))
        )
        cell.advance(700_000)
        self.assertEqual('ready', self._find_state(cell))
        self.assertEqual('done', cell.job_state('b8'))

    def test_probe_is_found_behind_many_unsuitable_shapes(self):
        """Jobs that can't be probes do not hide one that can."""
        cell = self._make_cell_with_quarantine()
        cell.submit(
            *(
                _make_endless_spec(f'b{n}', 3001 + n, priority=1)
                for n in range(MANY_SHAPES)
            )
        )
        for number in range(100):
            cell.submit(
                *(
                    _cell.make_spec(f'{number}-{n}', command='sleep 1000')
                    for n in range(4)
                )
            )
            cell.advance(1000)
        self.assertEqual('ready', self._find_state(cell))


if __name__ == '__main__':
    unittest.main()
