"""Rounds that offer free capacity to queued jobs."""

import itertools

from fuchsiatrestle import messages
from fuchsiatrestle.scheduling import _holds
from fuchsiatrestle.scheduling import _queue
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import jobs as states

__all__ = ('Dispatcher',)

MAX_REASONS = 4096
# Some hindrances end with time alone, so waiting jobs are tried this often.
RETRY_MS = 1_000
MAX_PROBE_OFFERS = 32
# Rounds for ordinary work are at least so far apart.
ROUND_GAP_MS = 50
# With many jobs waiting the speed of a choice counts more than its quality.
LONG_QUEUE = 1_000
LONG_QUEUE_CANDIDATES = 8


class Dispatcher:
    """Places queued jobs in order, as far as capacity and quotas go.

    Args:
        part: the jobs part, read only.
        fleet: the ``Fleet``.
        shares: the ``TeamShares``.
        outbox: takes placements.
        sizes: the ``SizeRule``.
        rule: the ``PlacementRule``.
        mixes: the ``Mixes``.
        evictions: the ``Evictions``.
        policy: the ``Policy``.
    """

    def __init__(
        self,
        part,
        fleet,
        shares,
        outbox,
        sizes,
        rule,
        mixes,
        evictions,
        policy,
    ):
        self._part = part
        self._fleet = fleet
        self._shares = shares
        self._outbox = outbox
        self._sizes = sizes
        self._rule = rule
        self._mixes = mixes
        self._evictions = evictions
        self._policy = policy
        self._queue = _queue.JobQueue()
        self._pending = {}
        self._reasons = {}
        self._held_back = {}
        self._holds = _holds.Holds(part, fleet)
        self._dirty = True
        self._next_ms = 0
        self._last_ms = -ROUND_GAP_MS

    def __len__(self):
        return len(self._queue)

    # Queue

    def refresh(self, job_id):
        """Brings the queue in step with one job of the agreed state."""
        job = self._part.jobs.get(job_id)
        queued = job is not None and job.state == states.QUEUED
        if queued and job_id not in self._pending:
            self._queue.add(job)
            self._dirty = True
        else:
            self._queue.discard(job_id)

    def load(self):
        """Queues every queued job of the agreed state."""
        self._queue.load(
            job
            for job in self._part.jobs.values()
            if job.state == states.QUEUED
        )

    def need(self, job):
        """Returns (cpu_milli, memory_mib, accelerators) to reserve."""
        size = self._sizes.reservation(job.spec)
        return size.cpu_milli, size.memory_mib, size.accelerators

    def wake(self):
        """Makes the next round run: capacity may have become free."""
        self._dirty = True

    def withdraw(self, job_id):
        """Takes a job out of the queue that is about to be parked."""
        self._queue.discard(job_id)

    def is_pending(self, job_id):
        """True while a placement of the job awaits agreement."""
        return job_id in self._pending

    def settle(self, placement, now_ms):
        """Ends the pending state of a placement, agreed or not."""
        self._pending.pop(placement.job_id, None)
        self._fleet.drop_pending(placement.worker, placement.job_id, now_ms)

    # Rounds

    def run(self, now_ms):
        """Places what can be placed now.

        Returns:
            The queued jobs of shapes that found no room, one for each shape.
        """
        if not self._due(now_ms):
            return []
        self._dirty = False
        self._last_ms = now_ms
        self._next_ms = now_ms + RETRY_MS
        if len(self._reasons) > MAX_REASONS:
            self._reasons.clear()
        self._holds.expire(self._queue.shapes, now_ms)
        blocked = set()
        missed = []
        tries = 0
        for job_id in self._queue.offer(self._shares.share, blocked):
            if self._outbox.placing >= self._most_pending:
                self._dirty = True
                break
            job = self._part.jobs[job_id]
            if self._place(job, blocked, now_ms):
                continue
            tries += 1
            if job.spec.team not in blocked:
                missed.append(job)
            if tries >= self._policy.max_misses:
                break
        return missed

    def _due(self, now_ms):
        grown = self._fleet.take_grown()
        self._dirty |= grown
        if not self._queue:
            return False
        hurried = self._queue.has_urgent
        if not hurried and now_ms < self._last_ms + ROUND_GAP_MS:
            return False
        return self._dirty or now_ms >= self._next_ms

    def probe(self, worker, now_ms):
        """Places one ordinary job on a quarantined worker.

        Returns:
            The job's identifier, or None if no queued job suits.
        """
        free = self._fleet.free(worker)
        blocked = set()
        for job_id in itertools.islice(
            self._queue.offer(self._shares.share, blocked), MAX_PROBE_OFFERS
        ):
            job = self._part.jobs[job_id]
            blocked.add(self._queue.shape(job_id))
            size = self._sizes.reservation(job.spec)
            if self._may_probe(job, worker, size, free):
                self._reserve(job, worker, size, now_ms)
                return job_id
        return None

    def _may_probe(self, job, worker, size, free):
        spec = job.spec
        need = (size.cpu_milli, size.memory_mib, size.accelerators)
        return (
            spec.idempotent
            and not spec.urgent
            and worker not in job.failed_on
            and spec.data_centre in ('', self._fleet.rack(worker)[0])
            and all(f >= n for f, n in zip(free, need, strict=True))
            and not self._shares.short_dimension(spec.team, need)
        )

    @property
    def _most_pending(self):
        return self._policy.max_batch * self._policy.max_in_flight

    def _place(self, job, blocked, now_ms):
        spec = job.spec
        shape = self._queue.shape(spec.job_id)
        size = self._sizes.reservation(spec)
        need = (size.cpu_milli, size.memory_mib, size.accelerators)
        short = self._shares.short_dimension(spec.team, need)
        if short:
            blocked.add(spec.team)
            self._reasons[shape, spec.team] = (
                f'team {spec.team} is at its quota in {short}'
            )
            return False
        name = self._pick(job, need, now_ms)
        if name is None:
            blocked.add(shape)
            self._note_miss(shape, need, spec, now_ms)
            return False
        self._holds.release(shape, now_ms)
        self._reserve(job, name, size, now_ms)
        return True

    def _pick(self, job, need, now_ms):
        held = self._holds.worker_for(self._queue.shape(job.spec.job_id), need)
        if held is not None and self._may_use_held(held, now_ms):
            return held
        names = self._fleet.fitting(need, job.spec.data_centre)
        barred = set(job.failed_on)
        barred.add(self._evictions.avoided(job.spec.job_id, now_ms))
        usable = (name for name in names if name not in barred)
        most = self._policy.max_candidates
        if len(self._queue) > LONG_QUEUE:
            most = min(most, LONG_QUEUE_CANDIDATES)
        names = list(itertools.islice(usable, most))
        if not names:
            return None
        name = self._rule.pick(job, need, names)
        return name or self._pick_at_last(job, need, names, now_ms)

    def _may_use_held(self, name, now_ms):
        worker = self._part.workers[name]
        info = self._fleet.info(name)
        return not info.quarantined and self._fleet.accepts_probe(
            worker, info, now_ms
        )

    def _pick_at_last(self, job, need, names, now_ms):
        """Places one job of a shape that was held back for long.

        An estimate that bars a shape everywhere could never be corrected by
        a measurement, so one job at a time goes where it harms least.
        """
        shape = self._queue.shape(job.spec.job_id)
        if len(self._held_back) > MAX_REASONS:
            self._held_back.clear()
        since_ms = self._held_back.setdefault(shape, now_ms)
        if now_ms - since_ms < self._policy.tail_patience_ms:
            return None
        self._held_back[shape] = now_ms
        return self._rule.pick(job, need, names, patient=False)

    def _reserve(self, job, name, size, now_ms):
        spec = job.spec
        worker = self._part.workers[name]
        placement = commands.Placement(
            spec.job_id,
            job.attempt + 1,
            name,
            size,
            job.checkpoint,
            worker.spec.incarnation,
        )
        self._queue.discard(spec.job_id)
        self._pending[spec.job_id] = placement
        self._shares.hold(spec.job_id, spec.team, size)
        self._mixes.hold(
            spec.job_id,
            name,
            self._fleet.rack(name),
            spec.job_class,
            size.cpu_milli,
        )
        self._fleet.add_pending(name, spec.job_id, size, now_ms)
        self._outbox.place(placement)

    # Explanations

    def _note_miss(self, shape, need, spec, now_ms):
        short = self._fleet.short_dimension(need, spec.data_centre)
        if short:
            self._holds.note_short(shape, need, now_ms)
            reason = f'no worker has room for {_text(need)}, short of {short}'
        elif shape.failed_on:
            reason = 'every worker with room failed it before'
        else:
            reason = 'would raise the tail of a service wherever it fits'
        self._reasons[shape, spec.team] = reason

    def why(self, job):
        """Returns why a queued job waits, one line."""
        job_id = job.spec.job_id
        if job_id in self._pending:
            return f'being placed on {self._pending[job_id].worker}'
        if job_id not in self._queue:
            return ''
        key = (self._queue.shape(job_id), job.spec.team)
        return self._reasons.get(key, 'waits for its turn')


def _text(need):
    size = messages.Resources(*need)
    text = f'{size.cpu_milli} cpu_milli, {size.memory_mib} MiB'
    if size.accelerators:
        text += f', {size.accelerators} accelerators'
    return text
