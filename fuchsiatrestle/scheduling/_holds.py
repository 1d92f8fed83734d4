"""Workers kept free for large jobs, which small jobs would starve.

Jobs that can go to the same workers have one shape (see ``_queue.Shape``).  If
no worker has had room for a shape for ``WAIT_BEFORE_HOLD_MS``, one worker is
held for the shape: the worker gets no other placement but of urgent jobs, so
that its free capacity grows as attempts end.  At most one worker in
``WORKERS_PER_HOLD`` is held at a time, but at least one may be, and each for
up to ``MAX_HOLD_MS``.  If that was in vain, each other worker is held before
the same one is again.  A worker is open to all jobs for ``MIN_HOLD_GAP_MS``
between two holds, so that no job that fits waits for more than one hold.

A new leader does not know the waits and holds of earlier ones.  For a shape
whose first job has never been placed, it counts the wait from the submission,
but it holds no worker for it within ``MIN_HOLD_GAP_MS`` of its first shortage.
"""

__all__ = ('WorkerHolds',)

# Time for which no worker had room for a shape before one is held for it.
WAIT_BEFORE_HOLD_MS = 60_000
MAX_HOLD_MS = 600_000
# Long enough for several rounds, which look at all queued shapes.
MIN_HOLD_GAP_MS = 10_000
# At most one worker in this many is held at a time, but one always may be.
WORKERS_PER_HOLD = 16
# Bound on the shapes whose waiting time is kept.  That of another shape begins
# only once one of them is placed, has waited in vain or is no longer queued.
MAX_WAITING_SHAPES = 4096


class _Hold:
    """A worker held for one shape.

    Attributes:
        worker_name: name of the worker.
        until_ms: monotonic time at which the hold ends.
    """

    __slots__ = ('until_ms', 'worker_name')

    def __init__(self, worker_name, until_ms):
        self.worker_name = worker_name
        self.until_ms = until_ms


class WorkerHolds:
    """Decides which workers are held, and for which shape.

    Args:
        jobs_part: the ``JobsPart`` of the replicated state, read only.
        fleet: the ``Fleet``.
    """

    def __init__(self, jobs_part, fleet):
        self._jobs_part = jobs_part
        self._fleet = fleet
        self._waiting_since_ms_by_shape = {}
        # Shapes whose wait has begun under this leader, at most
        # ``MAX_WAITING_SHAPES``; no earlier wait counts for them again.
        self._timed_shapes = set()
        self._hold_by_shape = {}
        self._gap_end_ms_by_worker = {}
        # Names of the workers held for the longest time in vain, by shape.
        self._vain_workers_by_shape = {}

    def __len__(self):
        return len(self._hold_by_shape)

    def worker_for(self, job_shape, need):
        """Returns the worker held for a shape if the need fits, or None."""
        hold = self._hold_by_shape.get(job_shape)
        if hold is None or hold.worker_name not in self._jobs_part.workers:
            return None
        fits = self._fleet.fits(hold.worker_name, need)
        return hold.worker_name if fits else None

    def record_shortage(self, job_shape, need, now_ms, unplaced_ms=None):
        """Records that no worker has room for a shape.

        May hold a worker for the shape if none has had room for
        ``WAIT_BEFORE_HOLD_MS``.

        Args:
            job_shape: the shape.
            need: required (cpu_milli, memory_mib, accelerators).
            now_ms: monotonic time in milliseconds.
            unplaced_ms: time since the submission of its first job, 0 if that
                has had an attempt, None if not known yet.
        """
        if (
            job_shape not in self._waiting_since_ms_by_shape
            and len(self._waiting_since_ms_by_shape) >= MAX_WAITING_SHAPES
        ):
            return
        waiting_since_ms = min(
            self._waiting_since_ms_by_shape.get(job_shape, now_ms),
            now_ms - self._find_earlier_wait_ms(job_shape, unplaced_ms),
        )
        self._waiting_since_ms_by_shape[job_shape] = waiting_since_ms
        if (
            job_shape in self._hold_by_shape
            or now_ms - waiting_since_ms < WAIT_BEFORE_HOLD_MS
        ):
            return
        max_holds = max(1, len(self._jobs_part.workers) // WORKERS_PER_HOLD)
        if len(self._hold_by_shape) >= max_holds:
            return
        worker_name = self._find_worker_to_hold(job_shape, need, now_ms)
        if worker_name is None:
            # The next search, which may look at all workers, is as far away.
            del self._waiting_since_ms_by_shape[job_shape]
        else:
            self._hold_by_shape[job_shape] = _Hold(
                worker_name, now_ms + MAX_HOLD_MS
            )
            self._fleet.set_held(worker_name, True, now_ms)

    def _find_earlier_wait_ms(self, job_shape, unplaced_ms):
        """Returns how much of a shape's wait under earlier leaders counts."""
        if (
            unplaced_ms is None
            or job_shape in self._timed_shapes
            or len(self._timed_shapes) >= MAX_WAITING_SHAPES
        ):
            return 0
        self._timed_shapes.add(job_shape)
        return min(unplaced_ms, WAIT_BEFORE_HOLD_MS - MIN_HOLD_GAP_MS)

    def release_shape(self, job_shape, now_ms):
        """Ends the hold and the waiting time of a shape, if any."""
        self._vain_workers_by_shape.pop(job_shape, None)
        self._waiting_since_ms_by_shape.pop(job_shape, None)
        self._end_hold(job_shape, now_ms)

    def release_expired(self, shapes, now_ms):
        """Ends the holds that have lasted too long or serve no purpose.

        A hold lasts for up to ``MAX_HOLD_MS``, and serves no purpose if no job
        of the shape waits, or if nothing can be placed on the worker for some
        time.  In the last case another worker may be held at once.

        Args:
            shapes: the shapes of the queued jobs.
            now_ms: monotonic time in milliseconds.
        """
        if len(self._waiting_since_ms_by_shape) >= MAX_WAITING_SHAPES:
            self._waiting_since_ms_by_shape = {
                shape: waiting_since_ms
                for shape, waiting_since_ms in (
                    self._waiting_since_ms_by_shape.items()
                )
                if shape in shapes
            }
        for job_shape, hold in list(self._hold_by_shape.items()):
            if job_shape not in shapes:
                self.release_shape(job_shape, now_ms)
            elif now_ms >= hold.until_ms:
                self._waiting_since_ms_by_shape.pop(job_shape, None)
                self._record_vain_hold(job_shape, hold.worker_name)
                self._end_hold(job_shape, now_ms)
            elif not self._is_usable(hold.worker_name, now_ms):
                self._end_hold(job_shape, now_ms)

    def _record_vain_hold(self, job_shape, worker_name):
        if len(self._vain_workers_by_shape) > MAX_WAITING_SHAPES:
            self._vain_workers_by_shape.clear()
        vain_workers = self._vain_workers_by_shape.setdefault(job_shape, set())
        vain_workers.add(worker_name)

    def _end_hold(self, job_shape, now_ms):
        hold = self._hold_by_shape.pop(job_shape, None)
        if hold is not None:
            self._gap_end_ms_by_worker[hold.worker_name] = (
                now_ms + MIN_HOLD_GAP_MS
            )
            self._fleet.set_held(hold.worker_name, False, now_ms)

    def _is_usable(self, worker_name, now_ms):
        """True unless the worker left, leaves, is quarantined or is lost."""
        worker = self._jobs_part.workers.get(worker_name)
        info = self._fleet.find_worker_info(worker_name)
        return (
            worker is not None
            and info is not None
            and not worker.spec.leaving
            and not info.quarantined
            and not self._fleet.is_lost(worker_name, now_ms)
        )

    def _find_worker_to_hold(self, job_shape, need, now_ms):
        self._gap_end_ms_by_worker = {
            name: gap_end_ms
            for name, gap_end_ms in self._gap_end_ms_by_worker.items()
            if gap_end_ms > now_ms
        }
        vain_workers = self._vain_workers_by_shape.get(job_shape, ())
        vain_name = None
        for name in self._fleet.iter_accepting(job_shape.data_centre):
            if (
                name in job_shape.failed_on
                or name in self._gap_end_ms_by_worker
                or not self._fleet.fits_when_empty(name, need)
            ):
                continue
            if name not in vain_workers:
                return name
            vain_name = vain_name or name
        if vain_name is not None:
            del self._vain_workers_by_shape[job_shape]
        return vain_name
