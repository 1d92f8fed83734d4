"""Queued jobs in the order in which they are offered capacity.

Levels come first: urgent jobs, then priorities 0 to 9.  Within a level the
team with the smallest share goes first, within a team the earliest deadline,
then the order of submission.  Jobs of one shape (class, declared size,
constraints) are kept together, so that a shape which fits nowhere is passed
over as a whole.
"""

import heapq

import sortedcontainers

__all__ = (
    'JobQueue',
    'Shape',
)

_NO_DEADLINE = 2**62


class Shape:
    """What decides where a job may go, shared by equal jobs."""

    __slots__ = ('_key', 'data_centre', 'failed_on', 'job_class', 'size')

    def __init__(self, job):
        spec = job.spec
        self.job_class = spec.job_class
        self.size = spec.size
        self.data_centre = spec.data_centre
        self.failed_on = tuple(job.failed_on)
        self._key = (
            self.job_class,
            self.size.cpu_milli,
            self.size.memory_mib,
            self.size.accelerators,
            self.data_centre,
            self.failed_on,
        )

    def __eq__(self, other):
        return self._key == other._key

    def __hash__(self):
        return hash(self._key)

    def __lt__(self, other):
        return self._key < other._key

    def __repr__(self):
        return f'Shape{self._key!r}'


class _Place:
    """Where a queued job stands."""

    __slots__ = ('key', 'level', 'shape', 'team')

    def __init__(self, job):
        spec = job.spec
        self.level = (0 if spec.urgent else 1, spec.priority)
        self.team = spec.team
        self.shape = Shape(job)
        self.key = (spec.deadline_ms or _NO_DEADLINE, job.seq, spec.job_id)


class _TeamQueue:
    """Jobs of one team at one level."""

    __slots__ = ('_heads', '_shapes')

    def __init__(self):
        self._shapes = {}
        self._heads = sortedcontainers.SortedList()

    def __bool__(self):
        return bool(self._shapes)

    def add(self, place):
        keys = self._shapes.get(place.shape)
        if keys is None:
            keys = sortedcontainers.SortedList()
            self._shapes[place.shape] = keys
        else:
            self._heads.remove((keys[0], place.shape))
        keys.add(place.key)
        self._heads.add((keys[0], place.shape))

    def discard(self, place):
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
        self._levels = sortedcontainers.SortedDict()

    def __len__(self):
        return len(self._places)

    def __contains__(self, job_id):
        return job_id in self._places

    @property
    def has_urgent(self):
        """True if an urgent job is queued."""
        return bool(self._levels) and self._levels.keys()[0][0] == 0

    def shape(self, job_id):
        """Returns the shape of a queued job."""
        return self._places[job_id].shape

    def add(self, job):
        """Queues a job; a job that is queued already is placed anew."""
        self.discard(job.spec.job_id)
        place = _Place(job)
        self._places[job.spec.job_id] = place
        teams = self._levels.setdefault(place.level, {})
        teams.setdefault(place.team, _TeamQueue()).add(place)

    def discard(self, job_id):
        """Takes a job out if it is queued."""
        place = self._places.pop(job_id, None)
        if place is None:
            return
        teams = self._levels[place.level]
        team = teams[place.team]
        team.discard(place)
        if not team:
            del teams[place.team]
            if not teams:
                del self._levels[place.level]

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
            yield from self._offer_level(teams, share, blocked)

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
