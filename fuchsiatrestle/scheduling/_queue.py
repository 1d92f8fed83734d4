"""Queue of the jobs that wait for a placement.

The queue offers jobs by level: urgent jobs first, then by priority from 0 to
9.  Within a level the team with the smallest ``dominant_share`` comes first;
within a team the earliest deadline, then the order of submission.  Jobs of one
shape (class, declared size, data centre, workers where the job failed, worker
that it avoids, whether it may probe) can go to the same workers.  They are
kept together, so that a shape which fits nowhere is passed over as a whole.
"""

import collections
import heapq
import typing

import sortedcontainers

from fuchsiatrestle import messages

__all__ = (
    'JobQueue',
    'Shape',
)

_NO_DEADLINE_MS = 2**62


class Shape(typing.NamedTuple):
    """Properties of a job that decide which workers it can go to.

    Attributes:
        job_class: class of the job.
        size: its declared size.
        data_centre: data centre that it is bound to, or empty.
        failed_on: names of the workers where it failed.
        avoided_worker: name of the worker that it avoids, or empty.
        is_probe: True if it may probe any quarantined worker.
    """

    job_class: str
    size: messages.Resources
    data_centre: str
    failed_on: tuple
    avoided_worker: str
    is_probe: bool

    @classmethod
    def of_job(cls, job, avoided_worker):
        """Returns the shape of a job."""
        spec = job.spec
        return cls(
            spec.job_class,
            spec.size,
            spec.data_centre,
            tuple(job.failed_on),
            avoided_worker,
            spec.idempotent and not spec.urgent,
        )


class _QueueEntry(typing.NamedTuple):
    """Position of a queued job.

    Attributes:
        level: (0 if urgent else 1, priority); smaller goes first.
        team: team of the job.
        shape: shape of the job.
        order_key: (deadline_ms, seq, job_id), the order within team and level.
    """

    level: tuple
    team: str
    shape: Shape
    order_key: tuple


class _TeamQueue:
    """Queued jobs of one team at one level, grouped by shape.

    ``_first_order_keys`` has the smallest key of each shape.
    """

    __slots__ = ('_first_order_keys', '_order_keys_by_shape')

    def __init__(self):
        self._order_keys_by_shape = {}
        self._first_order_keys = sortedcontainers.SortedList()

    def __bool__(self):
        return bool(self._order_keys_by_shape)

    def add(self, entry):
        """Adds the entry of a job."""
        order_keys = self._order_keys_by_shape.get(entry.shape)
        if order_keys is None:
            order_keys = sortedcontainers.SortedList()
            self._order_keys_by_shape[entry.shape] = order_keys
        else:
            self._first_order_keys.remove((order_keys[0], entry.shape))
        order_keys.add(entry.order_key)
        self._first_order_keys.add((order_keys[0], entry.shape))

    def load_shape(self, shape, order_keys):
        """Adds all keys of a shape that has no job in this queue yet."""
        self._order_keys_by_shape[shape] = sortedcontainers.SortedList(
            order_keys
        )
        self._first_order_keys.add(
            (self._order_keys_by_shape[shape][0], shape)
        )

    def discard(self, entry):
        """Removes the entry of a job, which has to be there."""
        order_keys = self._order_keys_by_shape[entry.shape]
        self._first_order_keys.remove((order_keys[0], entry.shape))
        order_keys.remove(entry.order_key)
        if order_keys:
            self._first_order_keys.add((order_keys[0], entry.shape))
        else:
            del self._order_keys_by_shape[entry.shape]

    def iter_shape(self, shape):
        """Yields the jobs of a shape in their order."""
        for order_key in self._order_keys_by_shape.get(shape, ()):
            yield order_key[2]

    def find_first(self, team, blocked_shapes_and_teams, minimum=None):
        """Finds the first job whose shape is not blocked.

        Args:
            team: the team.
            blocked_shapes_and_teams: see ``JobQueue.iter_offers``.
            minimum: an earlier result; the search begins there.

        Returns:
            (order key, shape) of the job, or None.
        """
        for order_key, shape in self._first_order_keys.irange(minimum):
            if (
                shape not in blocked_shapes_and_teams
                and (team, shape) not in blocked_shapes_and_teams
            ):
                return order_key, shape
        return None


class JobQueue:
    """Queued jobs of a cell, in the order of the module's docstring."""

    def __init__(self):
        self._entry_by_job = {}
        # [shape, number of queued jobs] by shape.
        self._shape_counts = {}
        # A dict of ``_TeamQueue`` by team, by level.
        self._team_queues_by_level = sortedcontainers.SortedDict()

    def __len__(self):
        return len(self._entry_by_job)

    def __contains__(self, job_id):
        return job_id in self._entry_by_job

    @property
    def has_urgent_job(self):
        """True if an urgent job is queued."""
        return (
            bool(self._team_queues_by_level)
            and self._team_queues_by_level.keys()[0][0] == 0
        )

    @property
    def shapes(self):
        """The distinct shapes of the queued jobs."""
        return self._shape_counts.keys()

    def shape_of(self, job_id):
        """Returns the shape of a queued job."""
        return self._entry_by_job[job_id].shape

    def load_jobs(self, jobs):
        """Fills an empty queue with many jobs, faster than one by one."""
        order_keys_by_group = collections.defaultdict(list)
        for job in jobs:
            entry = self._add_entry(job)
            order_keys_by_group[entry[:3]].append(entry.order_key)
        for (level, team, shape), order_keys in order_keys_by_group.items():
            team_queues = self._team_queues_by_level.setdefault(level, {})
            team_queues.setdefault(team, _TeamQueue()).load_shape(
                shape, order_keys
            )

    def add(self, job, avoided_worker=''):
        """Adds a job; one that is queued already gets a new position.

        Args:
            job: the job.
            avoided_worker: name of a worker that it may not go to for a time,
                empty if there is none.
        """
        self.discard(job.spec.job_id)
        entry = self._add_entry(job, avoided_worker)
        team_queues = self._team_queues_by_level.setdefault(entry.level, {})
        if entry.team not in team_queues:
            team_queues[entry.team] = _TeamQueue()
        team_queues[entry.team].add(entry)

    def discard(self, job_id):
        """Removes a job if it is queued."""
        entry = self._entry_by_job.pop(job_id, None)
        if entry is None:
            return
        shape_count = self._shape_counts[entry.shape]
        shape_count[1] -= 1
        if not shape_count[1]:
            del self._shape_counts[entry.shape]
        team_queues = self._team_queues_by_level[entry.level]
        team_queue = team_queues[entry.team]
        team_queue.discard(entry)
        if not team_queue:
            del team_queues[entry.team]
            if not team_queues:
                del self._team_queues_by_level[entry.level]

    def _add_entry(self, job, avoided_worker=''):
        spec = job.spec
        shape = Shape.of_job(job, avoided_worker)
        # All queued jobs of a shape share one ``Shape`` object.
        shape_count = self._shape_counts.setdefault(shape, [shape, 0])
        shape_count[1] += 1
        entry = _QueueEntry(
            (0 if spec.urgent else 1, spec.priority),
            spec.team,
            shape_count[0],
            (spec.deadline_ms or _NO_DEADLINE_MS, job.seq, spec.job_id),
        )
        self._entry_by_job[spec.job_id] = entry
        return entry

    def iter_urgent(self, shape):
        """Yields the urgent jobs of a shape by level, then by team."""
        for level, team_queues in self._team_queues_by_level.items():
            if level[0]:
                return
            for team_queue in team_queues.values():
                yield from team_queue.iter_shape(shape)

    def iter_offers(self, team_share, blocked_shapes_and_teams):
        """Yields queued job ids in the order they should be placed.

        Before it asks for the next job, the caller has to remove the offered
        one from the queue or block its shape or its team.  Otherwise the same
        job is offered again.

        Args:
            team_share: function that returns the current dominant share of a
                team.
            blocked_shapes_and_teams: set of shapes, team names and pairs of a
                team name and a shape to pass over; the caller may add to it
                between two jobs.
        """
        for level in list(self._team_queues_by_level):
            team_queues = self._team_queues_by_level.get(level)
            if team_queues is None:
                continue
            if self._are_all_shapes_blocked(blocked_shapes_and_teams):
                return
            yield from self._iter_level_offers(
                team_queues, team_share, blocked_shapes_and_teams
            )

    def _are_all_shapes_blocked(self, blocked_shapes_and_teams):
        if len(blocked_shapes_and_teams) < len(self._shape_counts):
            return False
        return all(
            shape in blocked_shapes_and_teams for shape in self._shape_counts
        )

    @staticmethod
    def _iter_level_offers(team_queues, team_share, blocked_shapes_and_teams):
        team_heap = [
            (team_share(team), team)
            for team in team_queues
            if team not in blocked_shapes_and_teams
        ]
        heapq.heapify(team_heap)
        # Newest offer by team.  All shapes before it are blocked, so that the
        # search for the next offer begins there.
        offer_by_team = {}
        while team_heap:
            _, team = heapq.heappop(team_heap)
            team_queue = team_queues.get(team)
            offer = (
                team_queue.find_first(
                    team, blocked_shapes_and_teams, offer_by_team.get(team)
                )
                if team_queue
                else None
            )
            if offer is None:
                continue
            offer_by_team[team] = offer
            yield offer[0][2]
            if team in team_queues and team not in blocked_shapes_and_teams:
                heapq.heappush(team_heap, (team_share(team), team))
