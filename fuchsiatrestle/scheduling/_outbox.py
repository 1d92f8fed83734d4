"""Batches and tracks the commands that the scheduler proposes.

Placements, attempt events, and changes of workers or parked jobs are collected
and proposed in batches.  The number of commands of each kind that are proposed
and neither applied nor rejected (in flight) is bounded.  Attempt events are
remembered until they are applied, so that a repeated report doesn't propose
the same event twice.
"""

import collections

from fuchsiatrestle.scheduling import _values
from fuchsiatrestle.state import commands

__all__ = ('Outbox',)

# Events that end an attempt.  Once one is proposed, later events of the
# attempt are dropped.
ENDING_EVENT_KINDS = frozenset(
    ('stopped', 'done', 'failed', 'refused', 'expired')
)


class _ProposalQueue:
    """Items of one kind of command, in order of arrival.

    Attributes:
        build_command: function that makes a command from a list of items, or
            None.
        waiting_items: items not yet proposed.
        in_flight_commands: proposed commands that are neither applied nor
            rejected, by token, oldest first.
    """

    __slots__ = ('build_command', 'in_flight_commands', 'waiting_items')

    def __init__(self, build_command):
        self.build_command = build_command
        self.waiting_items = collections.deque()
        self.in_flight_commands = collections.OrderedDict()


class Outbox:
    """Collects, proposes and tracks commands of the scheduler.

    Args:
        max_batch: most items in one command.
        max_in_flight: most commands of one kind in flight.
    """

    def __init__(self, max_batch, max_in_flight):
        self._max_batch = max_batch
        self._max_in_flight = max_in_flight
        self._last_token = 0
        # Kind of an ending event that isn't applied yet, by (job id, attempt).
        self._ending_kind_by_attempt = {}
        # (job id, attempt, kind, checkpoint) of the other events that are not
        # yet applied.
        self._proposed_event_keys = set()
        # The ``_ProposalQueue`` of each type of command with batched items.
        self._queue_by_command_type = {
            commands.RecordAttempts: _ProposalQueue(commands.RecordAttempts),
            commands.PlaceAttempts: _ProposalQueue(commands.PlaceAttempts),
            commands.RegisterWorkers: _ProposalQueue(commands.RegisterWorkers),
            commands.RetireWorkers: _ProposalQueue(commands.RetireWorkers),
        }
        # A ``ParkJobs`` has one reason for all its jobs, so only items
        # with the same reason go into one.
        self._park_queue = _ProposalQueue(None)

    # Items to be proposed

    def record_event(self, event):
        """Adds an attempt event, unless the same event is already added.

        No event is added after one that ends the attempt.  An event is
        remembered for this until it is applied.
        """
        attempt_key = (event.job_id, event.attempt)
        if attempt_key in self._ending_kind_by_attempt:
            return
        if event.kind in ENDING_EVENT_KINDS:
            self._ending_kind_by_attempt[attempt_key] = event.kind
        else:
            event_key = (
                event.job_id,
                event.attempt,
                event.kind,
                event.checkpoint,
            )
            if event_key in self._proposed_event_keys:
                return
            self._proposed_event_keys.add(event_key)
        self._queue_by_command_type[
            commands.RecordAttempts
        ].waiting_items.append(event)

    def add_placement(self, placement):
        """Adds a placement to propose."""
        self._queue_by_command_type[
            commands.PlaceAttempts
        ].waiting_items.append(placement)

    def add_registration(self, spec):
        """Adds a worker's new specification, to be proposed."""
        self._queue_by_command_type[
            commands.RegisterWorkers
        ].waiting_items.append(spec)

    def add_retirement(self, worker_name):
        """Adds a worker, to be proposed for removal from the cell."""
        self._queue_by_command_type[
            commands.RetireWorkers
        ].waiting_items.append(worker_name)

    def add_parking(self, job_id, reason):
        """Adds a job, to be proposed for parking with a reason."""
        self._park_queue.waiting_items.append((job_id, reason))

    # Queries

    def is_ending(self, job_id, attempt):
        """True if an event that ends the attempt is not yet applied."""
        return (job_id, attempt) in self._ending_kind_by_attempt

    @property
    def pending_placement_count(self):
        """Number of placements that are not yet applied or rejected."""
        queue = self._queue_by_command_type[commands.PlaceAttempts]
        in_flight_count = sum(
            len(c.placements) for c in queue.in_flight_commands.values()
        )
        return len(queue.waiting_items) + in_flight_count

    # Proposals

    def flush_proposals(self):
        """Returns ``ProposeBatch`` effects, as many as the bounds allow."""
        effects = []
        for queue in self._queue_by_command_type.values():
            while (
                queue.waiting_items
                and len(queue.in_flight_commands) < self._max_in_flight
            ):
                item_count = min(len(queue.waiting_items), self._max_batch)
                items = [
                    queue.waiting_items.popleft() for _ in range(item_count)
                ]
                effects.append(
                    self._propose(queue, queue.build_command(items))
                )
        effects.extend(self._flush_park_queue())
        return effects

    def _flush_park_queue(self):
        queue = self._park_queue
        effects = []
        while (
            queue.waiting_items
            and len(queue.in_flight_commands) < self._max_in_flight
        ):
            reason = queue.waiting_items[0][1]
            job_ids = []
            while queue.waiting_items and queue.waiting_items[0][1] == reason:
                job_ids.append(queue.waiting_items.popleft()[0])
            effects.append(
                self._propose(queue, commands.ParkJobs(job_ids, reason))
            )
        return effects

    def _propose(self, queue, command):
        self._last_token += 1
        queue.in_flight_commands[self._last_token] = command
        return _values.ProposeBatch(self._last_token, command)

    def handle_applied_command(self, command):
        """Removes a command's proposal if it is the oldest of its kind."""
        queue = self._queue_of(command)
        if queue is None or not queue.in_flight_commands:
            return
        token = next(iter(queue.in_flight_commands))
        if queue.in_flight_commands[token] != command:
            return
        del queue.in_flight_commands[token]
        if isinstance(command, commands.RecordAttempts):
            for event in command.events:
                self._forget_attempt_event(event)

    def handle_rejected_proposal(self, token):
        """Removes a rejected proposal.

        Placements are given back to the caller.  Other items are proposed
        again, before the items that still wait.

        Args:
            token: token of the ``ProposeBatch``.

        Returns:
            The placements of the proposal, if any.
        """
        for queue in [*self._queue_by_command_type.values(), self._park_queue]:
            command = queue.in_flight_commands.pop(token, None)
            if command is not None:
                return self._requeue_items(queue, command)
        return []

    def _requeue_items(self, queue, command):
        """Returns the placements of a command; queues other items again."""
        if isinstance(command, commands.PlaceAttempts):
            return command.placements
        if isinstance(command, commands.ParkJobs):
            items = [(job_id, command.reason) for job_id in command.job_ids]
        elif isinstance(command, commands.RecordAttempts):
            items = command.events
        else:
            items = command.workers
        queue.waiting_items.extendleft(reversed(items))
        return []

    def _queue_of(self, command):
        if isinstance(command, commands.ParkJobs):
            return self._park_queue
        return self._queue_by_command_type.get(type(command))

    def _forget_attempt_event(self, attempt_event):
        if attempt_event.kind in ENDING_EVENT_KINDS:
            self._ending_kind_by_attempt.pop(
                (attempt_event.job_id, attempt_event.attempt), None
            )
        else:
            self._proposed_event_keys.discard(
                (
                    attempt_event.job_id,
                    attempt_event.attempt,
                    attempt_event.kind,
                    attempt_event.checkpoint,
                )
            )
