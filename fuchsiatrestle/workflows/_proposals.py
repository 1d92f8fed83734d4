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
        self._worker_records = []
        self._run_ends = []
        self._lost_runs = []
        self._placed_runs = []
        self._image_pairs = {}

    @property
    def is_idle(self):
        """True if no proposal is pending."""
        return self._pending_command is None

    def add_worker_record(self, record):
        """Adds the ``WorkerRecord`` of a new or changed worker."""
        self._worker_records.append(record)

    def add_run_end(self, run_end):
        """Adds a ``RunEnd`` that a worker has listed."""
        self._run_ends.append(run_end)

    def add_lost_run(self, lost_run):
        """Adds a ``RunLost``, a run that is over without a listed end."""
        self._lost_runs.append(lost_run)

    def add_placed_run(self, live_run):
        """Adds the ``LiveRun`` of a new placement."""
        self._placed_runs.append(live_run)

    def add_image_pair(self, pair):
        """Adds an ``ImagePair``, replacing one of the same two images."""
        self._image_pairs[pair.serving, pair.filling] = pair

    def propose_items(self, wall_ms):
        """Proposes the collected items unless a proposal is pending.

        Args:
            wall_ms: time since the epoch.

        Returns:
            A list with one ``Propose``, or an empty list.
        """
        proposed_items = (
            self._worker_records,
            self._run_ends,
            self._lost_runs,
            self._placed_runs,
        )
        if not self.is_idle or not any(proposed_items):
            return []
        self._last_proposal_token += 1
        image_pairs = list(self._image_pairs.values())
        command = commands.RecordProgress(
            self._last_proposal_token, wall_ms, *proposed_items, image_pairs
        )
        self._pending_command = command
        (
            self._worker_records,
            self._run_ends,
            self._lost_runs,
            self._placed_runs,
        ) = (
            [],
            [],
            [],
            [],
        )
        self._image_pairs = {}
        return [_events.Propose(command)]

    def end_agreed_proposal(self, command):
        """Ends the pending proposal if the agreed command is its command."""
        if self._pending_command == command:
            self._pending_command = None

    def requeue_rejected_items(self, token):
        """Adds the items of a rejected proposal to the next proposal again.

        The rejected placements are left out, as they are decided anew.  The
        image pairs are left out too: the dispatcher regularly adds all pairs
        that differ from the agreed ones.

        Args:
            token: token of the proposal.

        Returns:
            The list of ``LiveRun`` that the proposal would have placed, empty
            if no proposal with this token is pending.
        """
        command = self._pending_command
        if command is None or command.token != token:
            return []
        self._pending_command = None
        self._worker_records = command.workers + self._worker_records
        self._run_ends = command.ends + self._run_ends
        self._lost_runs = command.lost + self._lost_runs
        return command.placed
