"""Queued jobs in the order in which they are offered capacity.

Levels come first: urgent jobs, then priorities 0 to 9.  Within a level the
team with the smallest share goes first, within a team the earliest deadline,
then the order of submission.  Jobs of one shape (class, declared size,
constraints) are kept together, so that a shape which fits nowhere is passed
over as a whole.
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

_NO_DEADLINE = 2**62


class Shape(typing.NamedTuple):
    """What decides where a job may go, shared by equal jobs."""

    job_class: str
    size: messages.Resources
    data_centre: str
    failed_on: tuple

    @classmethod
    def of(cls, job):
        """Returns the shape of a job."""
        spec = job.spec
        failed_on = tuple(job.failed_on)
        return cls(spec.job_class, spec.size, spec.data_centre, failed_on)


class _Place(typing.NamedTuple):
    """Where a queued job stands; ``key`` is its order within the team."""

    level: tuple
    team: str
    shape: Shape
    key: tuple


class _TeamQueue:
    """Jobs of one team at one level."""

    __slots__ = ('_heads', '_shapes')

    def __init__(self):
        self._shapes = {}
        self._heads = sortedcontainers.SortedList()

    def __bool__(self):
        return bool(self._shapes)

    def add(self, place):
        """Queues the place of a job."""
        keys = self._shapes.get(place.shape)
        if keys is None:
            keys = sortedcontainers.SortedList()
            self._shapes[place.shape] = keys
        else:
            self._heads.remove((keys[0], place.shape))
        keys.add(place.key)
        self._heads.add((keys[0], place.shape))

    def load(self, shape, keys):
        """Queues all places of one shape, which has none yet."""
        self._shapes[shape] = sortedcontainers.SortedList(keys)
        self._heads.add((self._shapes[shape][0], shape))

    def discard(self, place):
        """Takes the place of a job out; it has to be queued."""
        keys = self._shapes[place.shape]
        self._heads.remove((keys[0], place.shape))
        keys.remove(place.key)
        if keys:
            self._heads.add((keys[0], place.shape))
        else:
            del self._shapes[place.shape]

    def first(self, blocked):
        """Returns the first job id of a shape that is not blocked."""
        for key, shape in self._heads:
            if shape not in blocked:
                return key[2]
        return None


class JobQueue:
    """All queued jobs of a cell."""

    def __init__(self):
        self._places = {}
        self._shapes = {}
        self._levels = sortedcontainers.SortedDict()

    def __len__(self):
        return len(self._places)

    def __contains__(self, job_id):
        return job_id in self._places

    @property
    def has_urgent(self):
        """True if an urgent job is queued."""
        return bool(self._levels) and self._levels.keys()[0][0] == 0

    @property
    def shapes(self):
        """The distinct shapes queued."""
        return self._shapes.keys()

    def shape(self, job_id):
        """Returns the shape of a queued job."""
        return self._places[job_id].shape

    def load(self, jobs):
        """Queues many jobs at once, into an empty queue."""
        groups = collections.defaultdict(list)
        for job in jobs:
            place = self._note(job)
            groups[place[:3]].append(place.key)
        for (level, team, shape), keys in groups.items():
            teams = self._levels.setdefault(level, {})
            teams.setdefault(team, _TeamQueue()).load(shape, keys)

    def add(self, job):
        """Queues a job; a job that is queued already is placed anew."""
        self.discard(job.spec.job_id)
        place = self._note(job)
        teams = self._levels.setdefault(place.level, {})
        if place.team not in teams:
            teams[place.team] = _TeamQueue()
        teams[place.team].add(place)

    def discard(self, job_id):
        """Takes a job out if it is queued."""
        place = self._places.pop(job_id, None)
        if place is None:
            return
        entry = self._shapes[place.shape]
        entry[1] -= 1
        if not entry[1]:
            del self._shapes[place.shape]
        teams = self._levels[place.level]
        team = teams[place.team]
        team.discard(place)
        if not team:
            del teams[place.team]
            if not teams:
                del self._levels[place.level]

    def _note(self, job):
        spec = job.spec
        shape = Shape.of(job)
        # One object serves all jobs of a shape.
        entry = self._shapes.setdefault(shape, [shape, 0])
        entry[1] += 1
        place = _Place(
            (0 if spec.urgent else 1, spec.priority),
            spec.team,
            entry[0],
            (spec.deadline_ms or _NO_DEADLINE, job.seq, spec.job_id),
        )
        self._places[spec.job_id] = place
        return place

    def offer(self, share, blocked):
        """Yields queued job ids in the order they should be placed.

        The consumer takes a placed job out, or adds its shape to ``blocked``
        or its team to ``blocked`` before it asks for the next one.

        Args:
            share: function that returns the current share of a team.
            blocked: set of shapes and team names to pass over.
        """
        for level in list(self._levels):
            teams = self._levels.get(level)
            if teams is None:
                continue
            if self._all_blocked(blocked):
                return
            yield from self._offer_level(teams, share, blocked)

    def _all_blocked(self, blocked):
        if len(blocked) < len(self._shapes):
            return False
        return all(shape in blocked for shape in self._shapes)

    @staticmethod
    def _offer_level(teams, share, blocked):
        heap = [(share(team), team) for team in teams if team not in blocked]
        heapq.heapify(heap)
        while heap:
            _, team = heapq.heappop(heap)
            queue = teams.get(team)
            job_id = queue.first(blocked) if queue else None
            if job_id is None:
                continue
            yield job_id
            if team in teams and team not in blocked:
                heapq.heappush(heap, (share(team), team))
