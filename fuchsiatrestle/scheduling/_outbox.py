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
ENDING_EVENT_KINDS = frozenset(
    ('stopped', 'done', 'failed', 'refused', 'expired')
)


class _ProposalQueue:
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
        self._recorded = set()
        self._queues = {
            commands.RecordAttempts: _ProposalQueue(commands.RecordAttempts),
            commands.PlaceAttempts: _ProposalQueue(commands.PlaceAttempts),
            commands.RegisterWorkers: _ProposalQueue(commands.RegisterWorkers),
            commands.RetireWorkers: _ProposalQueue(commands.RetireWorkers),
        }
        self._park_queue = _ProposalQueue(None)

    # Collecting

    def record_event(self, event):
        """Collects an attempt event unless the same is on its way."""
        key = (event.job_id, event.attempt)
        if key in self._ending:
            return
        if event.kind in ENDING_EVENT_KINDS:
            self._ending[key] = event.kind
        else:
            recorded = (
                event.job_id,
                event.attempt,
                event.kind,
                event.checkpoint,
            )
            if recorded in self._recorded:
                return
            self._recorded.add(recorded)
        self._queues[commands.RecordAttempts].waiting.append(event)

    def add_placement(self, placement):
        """Collects a placement."""
        self._queues[commands.PlaceAttempts].waiting.append(placement)

    def add_registration(self, spec):
        """Collects what changed about a worker."""
        self._queues[commands.RegisterWorkers].waiting.append(spec)

    def add_retirement(self, worker):
        """Collects a worker to drop."""
        self._queues[commands.RetireWorkers].waiting.append(worker)

    def add_parking(self, job_id, reason):
        """Collects a job to park."""
        self._park_queue.waiting.append((job_id, reason))

    # State

    def is_ending(self, job_id, attempt):
        """True if an event that ends the attempt is on its way."""
        return (job_id, attempt) in self._ending

    @property
    def pending_placement_count(self):
        """Number of placements on their way."""
        queue = self._queues[commands.PlaceAttempts]
        in_flight_count = sum(
            len(c.placements) for c in queue.in_flight.values()
        )
        return len(queue.waiting) + in_flight_count

    # Proposing

    def flush_proposals(self):
        """Returns the proposals that may go out now."""
        effects = []
        for queue in self._queues.values():
            while queue.waiting and len(queue.in_flight) < self._max_in_flight:
                count = min(len(queue.waiting), self._max_batch)
                items = [queue.waiting.popleft() for _ in range(count)]
                effects.append(self._propose(queue, queue.build(items)))
        effects.extend(self._flush_park_queue())
        return effects

    def _flush_park_queue(self):
        queue = self._park_queue
        effects = []
        while queue.waiting and len(queue.in_flight) < self._max_in_flight:
            reason = queue.waiting[0][1]
            job_ids = []
            while queue.waiting and queue.waiting[0][1] == reason:
                job_ids.append(queue.waiting.popleft()[0])
            effects.append(
                self._propose(queue, commands.ParkJobs(job_ids, reason))
            )
        return effects

    def _propose(self, queue, command):
        self._token += 1
        queue.in_flight[self._token] = command
        return _values.ProposeBatch(self._token, command)

    def handle_applied(self, command):
        """Settles the proposal that this applied command stems from."""
        queue = self._queue_of(command)
        if queue is None or not queue.in_flight:
            return
        token = next(iter(queue.in_flight))
        if queue.in_flight[token] != command:
            return
        del queue.in_flight[token]
        if isinstance(command, commands.RecordAttempts):
            for event in command.events:
                self._clear_event(event)

    def handle_rejected(self, token):
        """Returns the placements of a rejected proposal; keeps the rest.

        Everything else is proposed again, before what waits.
        """
        for queue in [*self._queues.values(), self._park_queue]:
            command = queue.in_flight.pop(token, None)
            if command is not None:
                return self._requeue_items(queue, command)
        return []

    def _requeue_items(self, queue, command):
        if isinstance(command, commands.PlaceAttempts):
            return command.placements
        if isinstance(command, commands.ParkJobs):
            items = [(job_id, command.reason) for job_id in command.job_ids]
        elif isinstance(command, commands.RecordAttempts):
            items = command.events
        else:
            items = command.workers
        queue.waiting.extendleft(reversed(items))
        return []

    def _queue_of(self, command):
        if isinstance(command, commands.ParkJobs):
            return self._park_queue
        return self._queues.get(type(command))

    def _clear_event(self, event):
        if event.kind in ENDING_EVENT_KINDS:
            self._ending.pop((event.job_id, event.attempt), None)
        else:
            self._recorded.discard(
                (event.job_id, event.attempt, event.kind, event.checkpoint)
            )
