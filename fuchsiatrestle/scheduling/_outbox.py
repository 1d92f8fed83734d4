"""Commands on their way to the replicated log.

Placements and attempt events are collected and proposed in batches, with a
bound on the proposals of each kind that await agreement.  What is proposed
is remembered until it is applied, so that a repeated report proposes nothing
twice.
"""

import collections

from fuchsiatrestle.scheduling import _values
from fuchsiatrestle.state import commands

__all__ = ('Outbox',)

# These end an attempt: the first one proposed stands, later ones are dropped.
FINAL_KINDS = frozenset(('stopped', 'done', 'failed', 'refused', 'expired'))


class _Lane:
    """Items of one kind of command, in order."""

    __slots__ = ('build', 'in_flight', 'waiting')

    def __init__(self, build):
        self.build = build
        self.waiting = collections.deque()
        self.in_flight = collections.OrderedDict()


class Outbox:
    """Collects, proposes and tracks the scheduler's own commands.

    Args:
        max_batch: most items in one command.
        max_in_flight: most commands of one kind awaiting agreement.
    """

    def __init__(self, max_batch, max_in_flight):
        self._max_batch = max_batch
        self._max_in_flight = max_in_flight
        self._token = 0
        self._ending = {}
        self._noted = set()
        self._lanes = {
            commands.RecordAttempts: _Lane(commands.RecordAttempts),
            commands.PlaceAttempts: _Lane(commands.PlaceAttempts),
            commands.RegisterWorkers: _Lane(commands.RegisterWorkers),
            commands.RetireWorkers: _Lane(commands.RetireWorkers),
        }
        self._parks = _Lane(None)

    # Collecting

    def record(self, event):
        """Collects an attempt event unless the same is on its way."""
        key = (event.job_id, event.attempt)
        if key in self._ending:
            return
        if event.kind in FINAL_KINDS:
            self._ending[key] = event.kind
        else:
            noted = (event.job_id, event.attempt, event.kind, event.checkpoint)
            if noted in self._noted:
                return
            self._noted.add(noted)
        self._lanes[commands.RecordAttempts].waiting.append(event)

    def place(self, placement):
        """Collects a placement."""
        self._lanes[commands.PlaceAttempts].waiting.append(placement)

    def register(self, spec):
        """Collects what changed about a worker."""
        self._lanes[commands.RegisterWorkers].waiting.append(spec)

    def retire(self, worker):
        """Collects a worker to drop."""
        self._lanes[commands.RetireWorkers].waiting.append(worker)

    def park(self, job_id, reason):
        """Collects a job to park."""
        self._parks.waiting.append((job_id, reason))

    # State

    def is_ending(self, job_id, attempt):
        """True if an event that ends the attempt is on its way."""
        return (job_id, attempt) in self._ending

    @property
    def placing(self):
        """Number of placements on their way."""
        lane = self._lanes[commands.PlaceAttempts]
        flying = sum(len(c.placements) for c in lane.in_flight.values())
        return len(lane.waiting) + flying

    # Proposing

    def flush(self):
        """Returns the proposals that may go out now."""
        effects = []
        for lane in self._lanes.values():
            while lane.waiting and len(lane.in_flight) < self._max_in_flight:
                count = min(len(lane.waiting), self._max_batch)
                items = [lane.waiting.popleft() for _ in range(count)]
                effects.append(self._propose(lane, lane.build(items)))
        effects.extend(self._flush_parks())
        return effects

    def _flush_parks(self):
        lane = self._parks
        effects = []
        while lane.waiting and len(lane.in_flight) < self._max_in_flight:
            reason = lane.waiting[0][1]
            names = []
            while lane.waiting and lane.waiting[0][1] == reason:
                names.append(lane.waiting.popleft()[0])
            effects.append(
                self._propose(lane, commands.ParkJobs(names, reason))
            )
        return effects

    def _propose(self, lane, command):
        self._token += 1
        lane.in_flight[self._token] = command
        return _values.ProposeBatch(self._token, command)

    def applied(self, command):
        """Settles the proposal that this applied command stems from."""
        lane = self._lane_of(command)
        if lane is None or not lane.in_flight:
            return
        token = next(iter(lane.in_flight))
        if lane.in_flight[token] != command:
            return
        del lane.in_flight[token]
        if isinstance(command, commands.RecordAttempts):
            for event in command.events:
                self._settle(event)

    def rejected(self, token):
        """Returns the placements of a rejected proposal; keeps the rest.

        Everything else is proposed again, before what waits.
        """
        for lane in [*self._lanes.values(), self._parks]:
            command = lane.in_flight.pop(token, None)
            if command is not None:
                return self._recover(lane, command)
        return []

    def _recover(self, lane, command):
        if isinstance(command, commands.PlaceAttempts):
            return command.placements
        if isinstance(command, commands.ParkJobs):
            items = [(job_id, command.reason) for job_id in command.job_ids]
        elif isinstance(command, commands.RecordAttempts):
            items = command.events
        else:
            items = command.workers
        lane.waiting.extendleft(reversed(items))
        return []

    def _lane_of(self, command):
        if isinstance(command, commands.ParkJobs):
            return self._parks
        return self._lanes.get(type(command))

    def _settle(self, event):
        if event.kind in FINAL_KINDS:
            self._ending.pop((event.job_id, event.attempt), None)
        else:
            self._noted.discard(
                (event.job_id, event.attempt, event.kind, event.checkpoint)
            )
