"""Placement of queued jobs on workers with free capacity.

A round walks the queue in order and proposes a placement for each job that
fits.  Jobs that can go to the same workers have one shape (see
``_queue.Shape``).  A shape for which no worker has room, or a team at its
quota, is passed over for the rest of the round.

A round ends after ``Policy.max_misses`` failed tries.  The next round then
goes on where it ended: it passes over what has failed since the walk through
the queue began, so that each walk reaches every shape.  Urgent jobs are tried
again in each round, before the walk through the other jobs goes on.
"""

import collections
import itertools

from fuchsiatrestle import messages
from fuchsiatrestle.scheduling import _capacity
from fuchsiatrestle.scheduling import _holds
from fuchsiatrestle.scheduling import _queue
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import jobs as states

__all__ = ('Dispatcher',)

# Bound on the waiting reasons (one for each shape and team) that are kept, and
# on the counts of workers passed over; above it all of them are cleared.  Also
# the bound on the shapes whose wait for ``Policy.tail_patience_ms`` is timed;
# that of another shape begins only once one of them is placed for it or no
# longer queued.
MAX_REMEMBERED_SHAPES = 4096
# Some obstacles end with time and without an event, such as the time that an
# evicted job avoids its worker, so waiting jobs are tried again at least this
# often.
RETRY_INTERVAL_MS = 1_000
# Queued jobs looked at in one step to find one that can probe a quarantined
# worker; the next step goes on behind them.
MAX_PROBE_CANDIDATES = 32
# Urgent jobs of one shape for which room is made at a time.
MAX_URGENT_ALIKE = 64
# Least time between two rounds while no urgent job is queued.
MIN_ROUND_GAP_MS = 50
# Above this queue length fewer workers are scored for each placement, because
# the speed of a round then counts more than the quality of each choice.
LONG_QUEUE_JOBS = 1_000
LONG_QUEUE_CANDIDATES = 8
# If the tail latency limit rules out all candidates for a job, up to this many
# workers behind them are scored; the next search for its shape goes on there.
MAX_FURTHER_CANDIDATES = 128


class Dispatcher:
    """Proposes placements of queued jobs within capacity and quotas.

    Args:
        jobs_part: the ``JobsPart`` of the replicated state, read only.
        fleet: the ``Fleet``.
        team_shares: the ``TeamShares``.
        outbox: the ``Outbox`` that proposes the placements.
        size_rule: the ``SizeRule``.
        placement_rule: the ``PlacementRule``.
        work_reservations: the ``WorkReservations``, to which placements are
            added.
        evictions: the ``Evictions``, which know the workers to avoid.
        policy: the ``Policy``.
    """

    def __init__(
        self,
        jobs_part,
        fleet,
        team_shares,
        outbox,
        size_rule,
        placement_rule,
        work_reservations,
        evictions,
        policy,
    ):
        self._jobs_part = jobs_part
        self._fleet = fleet
        self._team_shares = team_shares
        self._outbox = outbox
        self._size_rule = size_rule
        self._placement_rule = placement_rule
        self._work_reservations = work_reservations
        self._evictions = evictions
        self._policy = policy
        self._queue = _queue.JobQueue()
        self._pending_placements = {}
        self._waiting_reasons = {}
        self._tail_wait_since_ms_by_shape = {}
        # Number of workers behind the first candidates that the next search
        # for a shape passes over.
        self._passed_count_by_shape = {}
        self._worker_holds = _holds.WorkerHolds(jobs_part, fleet)
        # Time since the epoch at monotonic time 0, None while it isn't known.
        self._wall_offset_ms = None
        # Shapes and teams for which earlier rounds of this walk found nothing,
        # urgent jobs apart.
        self._missed_urgent = set()
        self._missed_ordinary = set()
        self._round_requested = True
        self._next_retry_round_ms = 0
        self._last_round_ms = -MIN_ROUND_GAP_MS

    def __len__(self):
        return len(self._queue)

    def __contains__(self, job_id):
        return job_id in self._queue

    # Queue

    def refresh_job(self, job_id, now_ms):
        """Queues or removes a job according to its replicated state."""
        job = self._jobs_part.jobs.get(job_id)
        is_queued = job is not None and job.state == states.QUEUED
        if is_queued and job_id not in self._pending_placements:
            self._queue.add(
                job, self._evictions.worker_to_avoid(job_id, now_ms)
            )
            self._round_requested = True
        else:
            self._queue.discard(job_id)

    def load_queue(self):
        """Fills the empty queue from the replicated state."""
        self._queue.load_jobs(
            job
            for job in self._jobs_part.jobs.values()
            if job.state == states.QUEUED
        )

    def reservation_for(self, job):
        """Returns a job's need: (cpu_milli, memory_mib, accelerators)."""
        size = self._reservation_size(job.spec)
        return size.cpu_milli, size.memory_mib, size.accelerators

    def _reservation_size(self, spec):
        """Returns the size to reserve, as learned where that can fit."""
        size = self._size_rule.reservation_size(spec)
        if size == spec.size:
            return size
        return self._fleet.limit_size(size, spec.size, spec.data_centre)

    def request_round(self):
        """Asks for a round, because capacity may have become free."""
        self._round_requested = True

    def remove_job(self, job_id):
        """Removes a job that is about to be parked from the queue."""
        self._queue.discard(job_id)

    def is_placement_pending(self, job_id):
        """True while a proposed placement is neither applied nor rejected."""
        return job_id in self._pending_placements

    def end_pending_placement(self, placement, now_ms):
        """Releases the capacity kept for a placement, applied or rejected."""
        self._pending_placements.pop(placement.job_id, None)
        self._fleet.release_pending_placement(
            placement.worker, placement.job_id, now_ms
        )

    # Rounds

    def record_wall_time(self, wall_ms, now_ms):
        """Records the first reading of the time of day in this term.

        Args:
            wall_ms: milliseconds since the epoch, 0 if unknown.
            now_ms: monotonic time in milliseconds.
        """
        if wall_ms and self._wall_offset_ms is None:
            self._wall_offset_ms = wall_ms - now_ms

    def run_round(self, now_ms):
        """Runs a round if one is due, and proposes the placements found.

        Returns:
            One queued job of each shape for which this round found no worker.
        """
        if not self._is_round_due(now_ms):
            return []
        self._round_requested = False
        self._last_round_ms = now_ms
        self._next_retry_round_ms = now_ms + RETRY_INTERVAL_MS
        if len(self._waiting_reasons) > MAX_REMEMBERED_SHAPES:
            self._waiting_reasons.clear()
        for job_id in self._evictions.pop_ended_avoidances(now_ms):
            if job_id in self._queue:
                self._queue.add(self._jobs_part.jobs[job_id])
        if len(self._tail_wait_since_ms_by_shape) >= MAX_REMEMBERED_SHAPES:
            self._drop_tail_waits_of_gone_shapes()
        self._worker_holds.release_expired(self._queue.shapes, now_ms)
        blocked_shapes_and_teams = set(self._missed_urgent)
        is_among_urgent_jobs = True
        unplaced_jobs = []
        failed_try_count = 0
        for job_id in self._queue.iter_offers(
            self._team_shares.dominant_share, blocked_shapes_and_teams
        ):
            if (
                self._outbox.pending_placement_count
                >= self._max_pending_placements
            ):
                self._round_requested = True
                break
            job = self._jobs_part.jobs[job_id]
            if is_among_urgent_jobs and not job.spec.urgent:
                is_among_urgent_jobs = False
                blocked_shapes_and_teams |= self._missed_ordinary
            if self._is_blocked(job, blocked_shapes_and_teams):
                continue
            if self._try_place(job, blocked_shapes_and_teams, now_ms):
                continue
            failed_try_count += 1
            if self._queue.shape_of(job_id) in blocked_shapes_and_teams:
                unplaced_jobs.append(job)
            if failed_try_count >= self._policy.max_misses:
                self._suspend_walk(job, blocked_shapes_and_teams)
                break
        else:
            self._missed_urgent = set()
            self._missed_ordinary = set()
        return unplaced_jobs

    def iter_urgent_alike(self, job):
        """Yields queued urgent jobs of a job's shape, within their quotas.

        A round offers one job of a shape for which no worker has room, but
        each of them needs room of its own.
        """
        need = self.reservation_for(job)
        job_count_by_team = collections.Counter()
        for job_id in self._queue.iter_urgent(
            self._queue.shape_of(job.spec.job_id)
        ):
            other_job = self._jobs_part.jobs[job_id]
            team = other_job.spec.team
            team_need = [n * (job_count_by_team[team] + 1) for n in need]
            if self._team_shares.exceeded_dimension(team, team_need):
                continue
            yield other_job
            job_count_by_team[team] += 1
            if job_count_by_team.total() >= MAX_URGENT_ALIKE:
                return

    def _suspend_walk(self, last_job, blocked_shapes_and_teams):
        """Stores what the next round passes over to go on behind a job."""
        if last_job.spec.urgent:
            self._missed_urgent = blocked_shapes_and_teams
        else:
            self._missed_urgent = set()
            self._missed_ordinary = blocked_shapes_and_teams
        self._round_requested = True

    def _is_blocked(self, job, blocked_shapes_and_teams):
        team = job.spec.team
        shape = self._queue.shape_of(job.spec.job_id)
        return any(
            key in blocked_shapes_and_teams
            for key in (team, shape, (team, shape))
        )

    def _is_round_due(self, now_ms):
        has_capacity_grown = self._fleet.pop_capacity_growth()
        self._round_requested |= has_capacity_grown
        if not self._queue:
            return False
        has_urgent_job = self._queue.has_urgent_job
        if (
            not has_urgent_job
            and now_ms < self._last_round_ms + MIN_ROUND_GAP_MS
        ):
            return False
        return self._round_requested or now_ms >= self._next_retry_round_ms

    def place_probe(self, worker_name, now_ms, *, long_due):
        """Proposes to place one queued job on a quarantined worker.

        Only idempotent jobs that are not urgent are used, because the
        attempt may well fail.  If no other worker accepts a job, it could wait
        for ever; then it is used if it is idempotent or the probe is long due.

        Args:
            worker_name: the worker.
            now_ms: monotonic time in milliseconds.
            long_due: True if no probe was found for a long time.

        Returns:
            The id of the job, or None if no queued job is suitable.
        """
        free = self._fleet.free_capacity(worker_name)
        info = self._fleet.worker_info(worker_name)
        blocked_shapes = info.unsuitable_probe_shapes
        info.unsuitable_probe_shapes = set()
        candidate_ids = self._queue.iter_offers(
            self._team_shares.dominant_share, blocked_shapes
        )
        for number, job_id in enumerate(candidate_ids, 1):
            job = self._jobs_part.jobs[job_id]
            team, shape = job.spec.team, self._queue.shape_of(job_id)
            size = self._reservation_size(job.spec)
            need = (size.cpu_milli, size.memory_mib, size.accelerators)
            may_probe = shape.is_probe or (
                (job.spec.idempotent or long_due)
                and not self._fleet.has_accepting(job.spec.data_centre, now_ms)
            )
            if not may_probe or not self._is_suitable_probe(
                job, worker_name, need, free
            ):
                blocked_shapes.add(shape)
            elif self._team_shares.exceeded_dimension(team, need):
                blocked_shapes.add((team, shape))
            else:
                self._propose_placement(job, worker_name, size, now_ms)
                return job_id
            if number == MAX_PROBE_CANDIDATES:
                info.unsuitable_probe_shapes = blocked_shapes
                break
        return None

    def _is_suitable_probe(self, job, worker_name, need, free):
        """True if jobs of a job's shape can go to a quarantined worker."""
        spec = job.spec
        return (
            worker_name not in job.failed_on
            and spec.data_centre in ('', self._fleet.rack_of(worker_name)[0])
            and _capacity.covers(free, need)
        )

    @property
    def _max_pending_placements(self):
        return self._policy.max_batch * self._policy.max_in_flight

    def _try_place(self, job, blocked_shapes_and_teams, now_ms):
        """Proposes a placement of a job; True if one is proposed.

        If none is found, the shape of the job is added to
        ``blocked_shapes_and_teams``, or if the team is at its quota, the team.
        A job that became larger than a lowered quota blocks only the jobs of
        its team and shape, as it may wait for ever.
        """
        spec = job.spec
        shape = self._queue.shape_of(spec.job_id)
        size = self._reservation_size(spec)
        need = (size.cpu_milli, size.memory_mib, size.accelerators)
        dimension = self._team_shares.exceeded_dimension(spec.team, need)
        if dimension:
            if self._team_shares.is_larger_than_quota(spec.team, need):
                blocked_shapes_and_teams.add((spec.team, shape))
            else:
                blocked_shapes_and_teams.add(spec.team)
            self._waiting_reasons[shape, spec.team] = (
                f'team {spec.team} is at its quota in {dimension}'
            )
            return False
        worker_name = self._pick_worker(job, need, now_ms)
        if worker_name is None:
            blocked_shapes_and_teams.add(shape)
            self._record_waiting_reason(shape, need, job, now_ms)
            return False
        self._worker_holds.release_shape(shape, now_ms)
        self._propose_placement(job, worker_name, size, now_ms)
        return True

    def _pick_worker(self, job, need, now_ms):
        held_worker_name = self._worker_holds.worker_for(
            self._queue.shape_of(job.spec.job_id), need
        )
        if held_worker_name is not None and self._can_use_held_worker(
            held_worker_name, now_ms
        ):
            return held_worker_name
        usable_names = self._iter_usable(job, need, now_ms)
        max_candidates = self._policy.max_candidates
        if len(self._queue) > LONG_QUEUE_JOBS:
            max_candidates = min(max_candidates, LONG_QUEUE_CANDIDATES)
        candidate_names = list(itertools.islice(usable_names, max_candidates))
        if not candidate_names:
            return None
        return (
            self._placement_rule.pick_worker(job, need, candidate_names)
            or self._pick_further_worker(
                job, need, usable_names, max_candidates
            )
            or self._pick_above_tail_limit(job, need, candidate_names, now_ms)
        )

    def _iter_usable(self, job, need, now_ms):
        """Yields the candidates that neither failed nor evicted the job."""
        excluded_names = set(job.failed_on)
        excluded_names.add(
            self._evictions.worker_to_avoid(job.spec.job_id, now_ms)
        )
        for name in self._iter_candidates(job.spec, need, now_ms):
            if name not in excluded_names:
                yield name

    def _pick_further_worker(self, job, need, usable_names, max_candidates):
        """Picks a worker behind the first candidates, if all are ruled out.

        The first candidates have most room.  Workers that are ruled out get
        nothing, keep their room and so would hide the others for good.

        Args:
            job: the job to place.
            need: (cpu_milli, memory_mib, accelerators) to reserve.
            usable_names: iterator of the workers behind the first candidates.
            max_candidates: most workers scored at a time.

        Returns:
            The name of a worker, or None.
        """
        shape = self._queue.shape_of(job.spec.job_id)
        passed_count = self._passed_count_by_shape.pop(shape, 0)
        end_count = passed_count + MAX_FURTHER_CANDIDATES
        further_names = itertools.islice(usable_names, passed_count, end_count)
        while names := list(itertools.islice(further_names, max_candidates)):
            worker_name = self._placement_rule.pick_worker(job, need, names)
            if worker_name is not None:
                self._remember_passed_count(shape, passed_count)
                return worker_name
            passed_count += len(names)
        if passed_count == end_count:
            self._remember_passed_count(shape, passed_count)
        return None

    def _remember_passed_count(self, shape, passed_count):
        if len(self._passed_count_by_shape) >= MAX_REMEMBERED_SHAPES:
            self._passed_count_by_shape.clear()
        self._passed_count_by_shape[shape] = passed_count

    def _can_use_held_worker(self, worker_name, now_ms):
        worker = self._jobs_part.workers[worker_name]
        info = self._fleet.worker_info(worker_name)
        return self._fleet.accepts_despite_hold(worker, info, now_ms)

    def _iter_candidates(self, spec, need, now_ms):
        """Yields workers with room; for an urgent job, held ones come last.

        A hold may last far longer than an urgent job may wait.
        """
        yield from self._fleet.iter_fitting(need, spec.data_centre)
        if spec.urgent:
            for name in self._fleet.iter_held(spec.data_centre, now_ms):
                if self._fleet.fits(name, need):
                    yield name

    def _pick_above_tail_limit(self, job, need, candidate_names, now_ms):
        """Picks a worker for a shape that the tail latency limit holds back.

        If the estimate that rules out every worker is wrong, no measurement
        could ever correct it.  So once in every ``Policy.tail_patience_ms``
        one job of the shape goes to the worker where the estimated harm is
        least.

        Returns:
            The name of a worker, or None to wait.
        """
        shape = self._queue.shape_of(job.spec.job_id)
        if (
            shape not in self._tail_wait_since_ms_by_shape
            and len(self._tail_wait_since_ms_by_shape) >= MAX_REMEMBERED_SHAPES
        ):
            return None
        waiting_since_ms = self._tail_wait_since_ms_by_shape.setdefault(
            shape, now_ms
        )
        if now_ms - waiting_since_ms < self._policy.tail_patience_ms:
            return None
        del self._tail_wait_since_ms_by_shape[shape]
        return self._placement_rule.pick_worker(
            job, need, candidate_names, limit_tail=False
        )

    def _drop_tail_waits_of_gone_shapes(self):
        self._tail_wait_since_ms_by_shape = {
            shape: waiting_since_ms
            for shape, waiting_since_ms in (
                self._tail_wait_since_ms_by_shape.items()
            )
            if shape in self._queue.shapes
        }

    def _propose_placement(self, job, worker_name, size, now_ms):
        spec = job.spec
        worker = self._jobs_part.workers[worker_name]
        placement = commands.Placement(
            spec.job_id,
            job.attempt + 1,
            worker_name,
            size,
            job.checkpoint,
            worker.spec.incarnation,
        )
        self._queue.discard(spec.job_id)
        self._pending_placements[spec.job_id] = placement
        self._team_shares.add_reservation(spec.job_id, spec.team, size)
        self._work_reservations.add_reservation(
            spec.job_id,
            worker_name,
            self._fleet.rack_of(worker_name),
            spec.job_class,
            size.cpu_milli,
        )
        self._fleet.reserve_pending_placement(
            worker_name, spec.job_id, size, now_ms
        )
        self._outbox.add_placement(placement)

    # Reasons why jobs wait

    def _record_waiting_reason(self, shape, need, job, now_ms):
        spec = job.spec
        dimension = self._fleet.insufficient_dimension(need, spec.data_centre)
        if dimension:
            self._worker_holds.record_shortage(
                shape, need, now_ms, self._find_unplaced_ms(job, now_ms)
            )
            reason = (
                f'no worker has room for {_describe_need(need)}, '
                f'short of {dimension}'
            )
        elif shape.failed_on:
            reason = 'every worker with room failed it before'
        elif shape.avoided_worker:
            reason = f'was evicted from {shape.avoided_worker} just now'
        else:
            reason = (
                'would raise the tail latency of a service too far '
                'wherever it fits'
            )
        self._waiting_reasons[shape, spec.team] = reason

    def _find_unplaced_ms(self, job, now_ms):
        """Returns for how long a job has waited for its first attempt.

        It is 0 for a job that had an attempt or names no time of submission,
        and None while the time of day isn't known.  The time of submission is
        agreed, so it counts on through changes of leader.
        """
        if self._wall_offset_ms is None:
            return None
        submitted_ms = job.spec.submitted_ms
        if job.attempt or not submitted_ms:
            return 0
        return max(0, self._wall_offset_ms + now_ms - submitted_ms)

    def waiting_reason(self, job):
        """Returns one line that says why a queued job waits, or empty."""
        job_id = job.spec.job_id
        if job_id in self._pending_placements:
            return f'being placed on {self._pending_placements[job_id].worker}'
        if job_id not in self._queue:
            return ''
        shape_and_team = (self._queue.shape_of(job_id), job.spec.team)
        return self._waiting_reasons.get(shape_and_team, 'waits for its turn')


def _describe_need(need):
    size = messages.Resources(*need)
    text = f'{size.cpu_milli} cpu_milli, {size.memory_mib} MiB'
    if size.accelerators:
        text += f', {size.accelerators} accelerators'
    return text
