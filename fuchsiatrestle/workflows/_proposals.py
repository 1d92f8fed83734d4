"""Collects the progress to be agreed next, with one proposal at a time.

A proposal is agreed when it is committed to the replicated log.  What was
learned about the interference between two images (an ``ImagePair``) causes no
proposal by itself; it is added to the next proposal that is made.  That a
workflow has begun waits for the next proposal, too, but not for long.
"""

from fuchsiatrestle import logs
from fuchsiatrestle.state import commands
from fuchsiatrestle.workflows import _events

__all__ = ('ProposalBuffer',)

# Shortest time between two reports of a pending proposal, and from the
# proposal to the first one.  Until it is agreed no group is placed, and the
# wait of none is reported.
REPORT_INTERVAL_MS = 1000
# Longest wait for another proposal of what tells that a workflow has begun,
# which callers see.  Placements wait while a proposal is pending.
MAX_BEGIN_WAIT_MS = 500

LOG = logs.get_logger(__name__)


class ProposalBuffer:
    """Collects workers, ends, lost, placed and moved runs to be agreed."""

    def __init__(self):
        self._last_proposal_token = 0
        self._pending_command = None
        self._last_report_wall_ms = 0
        self._worker_records = []
        self._run_ends = []
        self._lost_runs = []
        self._placed_runs = []
        self._moved_runs = []
        self._survived_runs = []
        self._image_pairs = {}
        # Ids as the keys of a dict, which keeps their order.
        self._begun_workflows = {}
        self._begun_since_wall_ms = None
        # Whether workers are silent now, by their ids; the latest change.
        self._silence_changes = {}

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

    def add_moved_run(self, live_run):
        """Adds a ``LiveRun`` that a later process of a worker has started."""
        self._moved_runs.append(live_run)

    def add_survived_run(self, live_run):
        """Adds a ``LiveRun`` that has shown to be harmless to its worker."""
        self._survived_runs.append(live_run)

    def add_begun_workflow(self, workflow_id):
        """Adds the id of a workflow of which a worker has begun a run."""
        pending = self._pending_command
        if pending is None or workflow_id not in pending.begun:
            self._begun_workflows[workflow_id] = None

    def add_silent_worker(self, name):
        """Adds the id of a worker that gets no leases from now on."""
        self._silence_changes[name] = True

    def add_heard_worker(self, name):
        """Adds the id of a worker that may get leases once that is agreed."""
        pending = self._pending_command
        if pending is None or name not in pending.heard:
            self._silence_changes[name] = False

    def drop_silent_worker(self, name):
        """Forgets that a worker is silent if that was not proposed yet."""
        self._silence_changes.pop(name, None)

    def is_silence_pending(self, name):
        """True if a pending proposal says that a worker is silent.

        Args:
            name: id of the worker.
        """
        pending = self._pending_command
        return pending is not None and name in pending.silent

    def will_be_silent(self, name):
        """True if the next proposal says that a worker is silent.

        Args:
            name: id of the worker.
        """
        return self._silence_changes.get(name, False)

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
        if not self.is_idle:
            self._report_pending_if_due(wall_ms)
            return []
        if not self._has_items and not self._is_begin_due(wall_ms):
            return []
        self._last_proposal_token += 1
        command = commands.RecordProgress(
            self._last_proposal_token,
            wall_ms,
            self._worker_records,
            self._run_ends,
            self._lost_runs,
            self._placed_runs,
            list(self._image_pairs.values()),
            self._moved_runs,
            self._survived_runs,
            list(self._begun_workflows),
            *self._take_silence_changes(),
        )
        self._pending_command = command
        self._last_report_wall_ms = wall_ms
        self._worker_records = []
        self._run_ends = []
        self._lost_runs = []
        self._placed_runs = []
        self._moved_runs = []
        self._survived_runs = []
        self._image_pairs = {}
        self._begun_workflows = {}
        self._begun_since_wall_ms = None
        return [_events.Propose(command)]

    def _take_silence_changes(self):
        """Returns the lists of the workers that are heard and silent now."""
        changes = self._silence_changes
        self._silence_changes = {}
        return (
            [name for name, is_silent in changes.items() if not is_silent],
            [name for name, is_silent in changes.items() if is_silent],
        )

    def _is_begin_due(self, wall_ms):
        """True if a workflow has begun and no proposal was made for a while.

        Args:
            wall_ms: time since the epoch; it may have been set back.
        """
        if not self._begun_workflows:
            return False
        if self._begun_since_wall_ms is None:
            self._begun_since_wall_ms = wall_ms
        waited_ms = abs(wall_ms - self._begun_since_wall_ms)
        return waited_ms >= MAX_BEGIN_WAIT_MS

    def _report_pending_if_due(self, wall_ms):
        """Logs a proposal that is pending, at most once a second.

        Args:
            wall_ms: time since the epoch; it may have been set back.
        """
        if abs(wall_ms - self._last_report_wall_ms) < REPORT_INTERVAL_MS:
            return
        self._last_report_wall_ms = wall_ms
        command = self._pending_command
        LOG.warning(
            'proposal_pending',
            extra={
                'proposal': command.token,
                'waited_ms': wall_ms - command.now_ms,
                'placed': len(command.placed),
                'ends': len(command.ends),
                'lost': len(command.lost),
            },
        )

    @property
    def _has_items(self):
        return bool(
            self._worker_records
            or self._run_ends
            or self._lost_runs
            or self._placed_runs
            or self._moved_runs
            or self._survived_runs
            or self._silence_changes
        )

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
        self._moved_runs = command.moved + self._moved_runs
        self._survived_runs = command.survived + self._survived_runs
        self._begun_workflows = {
            **dict.fromkeys(command.begun),
            **self._begun_workflows,
        }
        self._silence_changes = {
            **dict.fromkeys(command.heard, False),
            **dict.fromkeys(command.silent, True),
            **self._silence_changes,
        }
        return command.placed
