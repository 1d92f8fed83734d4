"""Collects the progress to be agreed next, with one proposal at a time.

A proposal is agreed when it is committed to the replicated log.  What was
learned about the interference between two images (an ``ImagePair``) causes no
proposal by itself; it is added to the next proposal that is made.
"""

from fuchsiatrestle.state import commands
from fuchsiatrestle.workflows import _events

__all__ = ('ProposalBuffer',)


class ProposalBuffer:
    """Collects workers, ends, lost runs and placements to be agreed."""

    def __init__(self):
        self._last_proposal_token = 0
        self._pending_command = None
        self._workers = []
        self._ends = []
        self._lost_runs = []
        self._placed_runs = []
        self._learned_pairs = {}

    @property
    def is_idle(self):
        """True if no proposal is pending."""
        return self._pending_command is None

    def add_worker(self, record):
        """Adds the ``WorkerRecord`` of a new or changed worker."""
        self._workers.append(record)

    def add_end(self, end):
        """Adds a ``RunEnd`` that a worker has listed."""
        self._ends.append(end)

    def add_lost_run(self, lost_run):
        """Adds a ``RunLost``, a run that is over without a listed end."""
        self._lost_runs.append(lost_run)

    def add_placed_run(self, live_run):
        """Adds the ``LiveRun`` of a new placement."""
        self._placed_runs.append(live_run)

    def add_learned_pair(self, pair):
        """Adds an ``ImagePair``, replacing one of the same two images."""
        self._learned_pairs[pair.serving, pair.filling] = pair

    def propose(self, wall_ms):
        """Proposes the collected items unless a proposal is pending.

        Args:
            wall_ms: time since the epoch.

        Returns:
            A list with one ``Propose``, or an empty list.
        """
        items = (self._workers, self._ends, self._lost_runs, self._placed_runs)
        if not self.is_idle or not any(items):
            return []
        self._last_proposal_token += 1
        learned_pairs = list(self._learned_pairs.values())
        command = commands.RecordProgress(
            self._last_proposal_token, wall_ms, *items, learned_pairs
        )
        self._pending_command = command
        self._workers, self._ends, self._lost_runs, self._placed_runs = (
            [],
            [],
            [],
            [],
        )
        self._learned_pairs = {}
        return [_events.Propose(command)]

    def record_agreed(self, command):
        """Ends the pending proposal if the agreed command is its command."""
        if self._pending_command == command:
            self._pending_command = None

    def requeue_rejected(self, token):
        """Collects the items of a rejected proposal again.

        Its placements are left out, as they are decided anew.

        Args:
            token: token of the proposal.

        Returns:
            The list of ``LiveRun`` that it would have placed.
        """
        command = self._pending_command
        if command is None or command.token != token:
            return []
        self._pending_command = None
        self._workers = command.workers + self._workers
        self._ends = command.ends + self._ends
        self._lost_runs = command.lost + self._lost_runs
        return command.placed
