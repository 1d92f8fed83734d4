"""Answers calls from the replicated state machine, as a core without I/O.

Commands go through the log.  A query is answered once a quorum has confirmed
the leadership and the log is applied up to the read index.  Only a leader
that has applied the first entry of its term answers calls; any other replica
refuses them and names the leader, if it knows one.
"""

from fuchsiatrestle import agreement
from fuchsiatrestle.control import _calls
from fuchsiatrestle.control import _events
from fuchsiatrestle.control import _large_workflows
from fuchsiatrestle.control import _leader
from fuchsiatrestle.control import _refusals
from fuchsiatrestle.control import _request_dates
from fuchsiatrestle.control import _small_workflows
from fuchsiatrestle import core
from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle import records
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine as state_machine
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries
from fuchsiatrestle import workflows

__all__ = ('Service',)

# Limit of proposals and reads in progress; calls that share a read count as
# one.
MAX_PENDING_CALLS = 5000
MAX_COMMAND_BYTES = 1024 * 1024
# Defaults of the settings of the same names in section ``[state]``.
DEFAULT_LOG_BYTES = 16 * 1024 * 1024
DEFAULT_LARGE_WORKFLOW_BYTES = 96 * 1024 * 1024
DEFAULT_SMALL_WORKFLOW_BYTES = 64 * 1024 * 1024
# Limit of calls that wait for the next tick, which requests one read for all
# of them.
MAX_CALLS_FOR_NEXT_READ = 5000

APPLIED_INDEX = metrics.declare('agreement.applied', 'Applied log index.')
SNAPSHOTS_TAKEN = metrics.declare('agreement.snapshots', 'Snapshots taken.')
# Time after which a caller may submit a workflow again that had no room.  The
# memory gets free as workflows end or are forgotten, which goes on all the
# time.
MEMORY_RETRY_MS = 10_000
SMALL_WORKFLOW_REFUSED = metrics.declare(
    'refused.small_workflow',
    'Small workflows refused as those accepted fill their memory (429).',
)
LARGE_WORKFLOW_REFUSED = metrics.declare(
    'refused.large_workflow',
    'Large workflows refused as those accepted fill their memory (429).',
)
SNAPSHOT_BYTES = metrics.declare(
    'agreement.snapshot_bytes', 'Size of the last snapshot, in bytes.'
)

# Commands that other processes may propose.  All others are proposed by the
# leader itself.
_EXTERNAL_COMMANDS = (
    commands.PatchConfig,
    commands.SubmitJobs,
    commands.CancelJobs,
    commands.ResolveJobs,
    commands.ClaimRequests,
    commands.FinishClaims,
    commands.PutDocument,
    commands.SubmitWorkflow,
    commands.CancelWorkflow,
    commands.StartEvacuation,
    commands.EndEvacuation,
)


_UNKNOWN_MEMBER_ADVICE = {
    'add': 'start the replica with the others in its peers, then repeat',
    'remove': 'no replica of that name is a member; see members show',
}


class Service(core.Core):
    """Owns the state machine, the calls in progress and the leader services.

    Args:
        name: name of this control replica.
        snapshot_entries: number of log entries between two snapshots.
        snapshot: ``agreement.Snapshot`` to start from; None for an empty
            state.
        timing: ``workflows.Timing``; None for the defaults.
        features: ``workflows.Features``; None if none is switched on.
        log_bytes: size of the applied entries after which a snapshot is made
            before ``snapshot_entries`` are reached.
        large_workflow_bytes: limit of the memory of large workflows.
        small_workflow_bytes: limit of the memory of other open workflows.
    """

    def __init__(
        self,
        name,
        snapshot_entries,
        snapshot=None,
        timing=None,
        features=None,
        *,
        log_bytes=DEFAULT_LOG_BYTES,
        large_workflow_bytes=DEFAULT_LARGE_WORKFLOW_BYTES,
        small_workflow_bytes=DEFAULT_SMALL_WORKFLOW_BYTES,
    ):
        self._name = name
        self._timing = timing or workflows.Timing()
        self._features = features or workflows.Features()
        self._snapshot_entries = snapshot_entries
        self._machine = state_machine.StateMachine()
        self._large_workflows = _large_workflows.LargeWorkflows(
            self._machine.workflows, large_workflow_bytes
        )
        self._small_workflows = _small_workflows.SmallWorkflows(
            self._machine.workflows, small_workflow_bytes
        )
        self._request_dates = _request_dates.RequestDates()
        self._silence_times = workflows.SilenceTimes()
        self._log_bytes = log_bytes
        # Size of the entries applied since the last snapshot was made.
        self._applied_bytes = 0
        self._snapshot_index = 0
        self._snapshot_pending = False
        self._call_table = _calls.CallTable()
        self._calls_for_next_read = []
        self._leader_services = None
        self._leader_name = ''
        self._folder_failed = False
        self._replica_status = None
        self._effects = []
        self._now_ms = 0
        if snapshot is not None:
            self._machine.restore(snapshot.data)
            self._large_workflows.rebuild()
            self._small_workflows.rebuild()
            self._snapshot_index = snapshot.last_index
        self._handlers = {
            _events.Tick: self._on_tick,
            _events.Call: self._on_call,
            _events.ReplicaStatus: self._on_replica_status,
            _events.SnapshotSaved: self._on_snapshot_saved,
            _events.DataFolderFailed: self._on_folder_failed,
            _events.WorkerAnswered: self._on_worker_answered,
            agreement.ApplyEntries: self._on_apply_entries,
            agreement.RestoreSnapshot: self._on_restore_snapshot,
            agreement.ProposalAppended: self._on_proposal_appended,
            agreement.RequestRejected: self._on_request_rejected,
            agreement.ReadReady: self._on_read_ready,
            agreement.RoleChanged: self._on_role_changed,
        }

    @property
    def machine(self):
        """The state machine."""
        return self._machine

    @property
    def is_leading(self):
        """True while this replica answers calls and needs ``Tick`` events."""
        return self._leader_services is not None

    def step(self, event, now_ms):
        """Handles one event; see ``core.Core``."""
        self._now_ms = now_ms
        self._handlers[type(event)](event)
        self._answer_reads()
        effects = self._effects
        self._effects = []
        return effects

    # Calls

    def _on_call(self, call):
        reason = self._find_refusal_reason()
        if reason:
            self._refuse_call(call, reason)
        elif isinstance(call.message, messages.ProposeCommand):
            self._check_and_propose_command(call)
        elif isinstance(call.message, messages.ChangeMember):
            self._change_member(call)
        elif isinstance(call.message, messages.AskQuery):
            self._request_read([call])
        elif len(self._calls_for_next_read) < MAX_CALLS_FOR_NEXT_READ:
            self._calls_for_next_read.append(call)
        else:
            self._refuse_call(call, 'overloaded')

    def _find_refusal_reason(self):
        """Returns why no call can be accepted now, empty if one can."""
        if self._folder_failed:
            return 'storage_failed'
        if self._leader_services is None:
            return 'not_leader'
        if len(self._call_table) >= MAX_PENDING_CALLS:
            return 'overloaded'
        return ''

    def _refuse_call(self, call, reason, detail=''):
        """Sends a refusal; does nothing for the leader's own proposals."""
        if not isinstance(call, _events.Call):
            return
        _refusals.count_refusal(reason)
        refusal = messages.ControlRefused(
            call.message.call_id, reason, self._leader_name, False, detail
        )
        self._effects.append(_events.SendToPeer(call.peer, refusal))

    def _check_and_propose_command(self, call):
        """Proposes the command of a call, or refuses it as a bad request."""
        encoded_command = call.message.command
        if len(encoded_command) > MAX_COMMAND_BYTES:
            self._refuse_call(
                call, 'bad_request', f'over {MAX_COMMAND_BYTES} bytes'
            )
            return
        try:
            command = commands.CODEC.decode(encoded_command)
        except records.DecodeError as exc:
            self._refuse_call(call, 'bad_request', str(exc))
            return
        if not isinstance(command, _EXTERNAL_COMMANDS):
            self._refuse_call(call, 'bad_request', type(command).__name__)
            return
        judged_command = self._judge_command(
            self._request_dates.limit_date(
                command, call.message.age_ms, self._now_ms
            ),
            len(encoded_command),
        )
        if judged_command is not command:
            encoded_command = commands.CODEC.encode(judged_command)
        self._propose_command(call, encoded_command)

    def _judge_command(self, command, command_bytes):
        """Returns the command that is proposed for a call.

        A refusal is proposed, too: an earlier copy of the call may be in the
        log already, and then it is no refusal.

        Args:
            command: the command of the call.
            command_bytes: size of its encoding, in bytes.
        """
        if not isinstance(command, commands.SubmitWorkflow):
            return command
        if not self._large_workflows.may_propose(command, command_bytes):
            metrics.count(LARGE_WORKFLOW_REFUSED)
            return self._make_refusal(command, MEMORY_RETRY_MS)
        if not self._small_workflows.may_propose(
            command, command_bytes, self._now_ms
        ):
            metrics.count(SMALL_WORKFLOW_REFUSED)
            return self._make_refusal(command, MEMORY_RETRY_MS)
        refusal = self._leader_services.find_refusal(command, self._now_ms)
        if refusal is not None:
            return refusal
        if not self._machine.workflows.has_queue_for(command):
            return self._make_refusal(command, 0)
        return command

    def _make_refusal(self, command, retry_after_ms):
        """Returns the ``RefuseWorkflow`` in place of a submission.

        It is dated by the clock of this process: that of the entry may be
        behind, and then the refusal would not deny an older copy.
        """
        wall_ms = self._request_dates.find_wall_ms(self._now_ms)
        return commands.RefuseWorkflow(
            command.host,
            command.path,
            command.submitted_ms,
            wall_ms or command.submitted_ms,
            retry_after_ms,
        )

    def _propose_command(self, call, encoded_command):
        token = self._call_table.add_proposal(call)
        self._send_to_replica(
            agreement.ProposeCommands([(token, encoded_command)])
        )

    def _request_read(self, calls):
        token = self._call_table.add_read(calls)
        self._send_to_replica(agreement.ReadRequest(token))

    def _send_to_replica(self, event):
        self._effects.append(_events.SendToReplica(event))

    # Time

    def _on_tick(self, tick):
        self._request_dates.handle_tick(tick.wall_ms, self._now_ms)
        if self._leader_services is None:
            return
        if self._calls_for_next_read:
            # One read confirms the leadership for all calls that arrived
            # since the last tick, at the cost of one round of heartbeats.
            self._request_read(self._calls_for_next_read)
            self._calls_for_next_read = []
        self._handle_leader_effects(
            self._leader_services.handle_tick(tick.wall_ms, self._now_ms)
        )

    def _on_worker_answered(self, worker_answered):
        if self._leader_services is not None:
            self._handle_leader_effects(
                self._leader_services.handle_worker_answer(
                    worker_answered.reply, self._now_ms
                )
            )

    def _on_replica_status(self, status):
        self._replica_status = status
        metrics.gauge(APPLIED_INDEX, self._machine.applied_index)
        if self._leader_services is not None:
            self._leader_services.update_replica_status(status)

    # Agreement

    def _on_proposal_appended(self, event):
        self._call_table.accept_proposal(event.token, event.index, event.term)

    def _on_request_rejected(self, event):
        pending_operation = self._call_table.remove_rejected_operation(
            event.token
        )
        self._leader_name = event.leader or self._leader_name
        if isinstance(pending_operation, _calls.PendingRead):
            for call in pending_operation.calls:
                self._refuse_rejected_call(call, event.reason)
        elif pending_operation is not None:
            self._refuse_rejected_call(pending_operation, event.reason)

    def _refuse_rejected_call(self, call, reason):
        """Refuses a call whose proposal or read was rejected.

        The leader's services are told of a ``LeaderProposal``; a
        ``SendWhenConfirmed`` is dropped.
        """
        if isinstance(call, _leader.LeaderProposal):
            if self._leader_services is not None:
                self._handle_leader_effects(
                    self._leader_services.handle_rejected_proposal(
                        call, reason, self._now_ms
                    )
                )
        elif isinstance(call, _events.Call):
            self._refuse_call(call, reason)

    def _on_role_changed(self, event):
        self._leader_name = event.leader
        if event.role == 'leader' and event.ready:
            if (
                self._leader_services is None
                or self._leader_services.term != event.term
            ):
                self._start_leading(event.term)
        elif self._leader_services is not None:
            self._stop_leading()

    def _start_leading(self, term):
        # Those of a snapshot that this process started from are new, too.
        self._update_silence_times()
        self._leader_services = _leader.LeaderServices(
            self._name,
            term,
            self._machine,
            self._timing,
            self._now_ms,
            self._features,
            self._silence_times,
        )
        self._leader_services.update_replica_status(self._replica_status)

    def _update_silence_times(self):
        self._silence_times.update(
            self._machine.workflows.silent_workers, self._now_ms
        )

    def _stop_leading(self):
        self._leader_services = None
        for call in self._call_table.drain_accepted_calls():
            self._refuse_call(call, 'unknown', 'leadership changed')
        for call in self._calls_for_next_read:
            self._refuse_call(call, 'not_leader')
        self._calls_for_next_read = []

    # State

    def _on_apply_entries(self, event):
        for entry in event.entries:
            if entry.kind == 'command':
                self._apply_entry(entry)
            else:
                self._machine.skip_entry(entry.index)
                self._answer_proposer(entry, outcomes.Done())
        self._make_snapshot_if_due()

    def _apply_entry(self, entry):
        command = state_machine.decode_command(entry)
        outcome = self._machine.apply(entry.index, command)
        self._applied_bytes += len(entry.data)
        if isinstance(command, commands.SubmitWorkflow):
            self._large_workflows.record_applied(command, len(entry.data))
            self._small_workflows.record_applied(command, len(entry.data))
        elif isinstance(command, commands.RecordProgress) and (
            command.silent or command.heard
        ):
            self._update_silence_times()
        self._answer_proposer(entry, outcome)
        if self._leader_services is not None:
            self._handle_leader_effects(
                self._leader_services.handle_applied_command(
                    command, outcome, self._now_ms
                )
            )

    def _answer_proposer(self, entry, outcome):
        """Answers the call that waits for a log entry, if there is one.

        The call table holds the index and term at which the proposal of the
        call was accepted into the log.  If the committed entry at that index
        has another term, the proposal was overwritten and is certainly not in
        the log.
        """
        accepted_proposal = self._call_table.take_accepted_proposal(
            entry.index
        )
        if accepted_proposal is None:
            return
        accepted_term, call = accepted_proposal
        if accepted_term != entry.term:
            self._refuse_call(call, 'not_leader')
        elif isinstance(call, _events.Call):
            self._send_outcome(call, outcome)

    def _send_outcome(self, call, outcome):
        if isinstance(call.message, messages.ChangeMember):
            answer = self._leader_services.make_members_view(
                call.message.call_id
            )
        else:
            answer = messages.CommandOutcome(
                call.message.call_id, outcomes.CODEC.encode(outcome)
            )
        self._effects.append(_events.SendToPeer(call.peer, answer))

    def _on_restore_snapshot(self, event):
        self._machine.restore(event.snapshot.data)
        self._update_silence_times()
        self._large_workflows.rebuild()
        self._small_workflows.rebuild()
        self._applied_bytes = 0
        self._snapshot_index = event.snapshot.last_index

    def _make_snapshot_if_due(self):
        applied_index = self._machine.applied_index
        snapshot_is_due = (
            applied_index - self._snapshot_index >= self._snapshot_entries
            or self._applied_bytes >= self._log_bytes
        )
        if (
            not snapshot_is_due
            or self._snapshot_pending
            or self._folder_failed
        ):
            return
        self._snapshot_pending = True
        self._applied_bytes = 0
        encoded_state = self._machine.snapshot()
        metrics.count(SNAPSHOTS_TAKEN)
        metrics.gauge(SNAPSHOT_BYTES, len(encoded_state))
        self._send_to_replica(
            _events.MakeSnapshot(applied_index, encoded_state)
        )

    def _on_snapshot_saved(self, event):
        self._snapshot_pending = False
        self._snapshot_index = max(
            self._snapshot_index, event.snapshot.last_index
        )

    def _on_folder_failed(self, event):
        self._folder_failed = True
        self._leader_services = None
        for call in self._call_table.drain_accepted_calls():
            self._refuse_call(call, 'unknown', 'the data folder failed')
        for call in self._calls_for_next_read:
            self._refuse_call(call, 'storage_failed')

    # Reads

    def _on_read_ready(self, event):
        self._call_table.confirm_read(event.token, event.index)

    def _answer_reads(self):
        for call in self._call_table.take_answerable_calls(
            self._machine.applied_index
        ):
            if self._leader_services is None:
                self._refuse_rejected_call(call, 'not_leader')
            elif isinstance(call.message, messages.AskQuery):
                self._answer_query(call)
            else:
                self._handle_leader_effects(
                    self._leader_services.handle_confirmed_call(
                        call, self._now_ms
                    )
                )

    def _answer_query(self, call):
        try:
            query = queries.CODEC.decode(call.message.query)
        except records.DecodeError as exc:
            self._refuse_call(call, 'bad_request', str(exc))
            return
        query_result = self._leader_services.answer_query(query, self._now_ms)
        if query_result is None:
            query_result = self._machine.query(query)
        answer = messages.QueryAnswer(
            call.message.call_id, queries.CODEC.encode(query_result)
        )
        self._effects.append(_events.SendToPeer(call.peer, answer))

    # Leader

    def _change_member(self, call):
        message = call.message
        if message.change not in ('add', 'remove'):
            self._refuse_call(call, 'bad_request', 'change is add or remove')
            return
        identity = self._leader_services.find_member_identity(message)
        if not identity:
            self._refuse_call(
                call, 'unknown_member', _UNKNOWN_MEMBER_ADVICE[message.change]
            )
            return
        token = self._call_table.add_proposal(call)
        self._send_to_replica(
            agreement.ChangeVoters(token, message.change, identity)
        )

    def _handle_leader_effects(self, effects):
        """Carries out the effects of the leader's services.

        A ``LeaderProposal`` is proposed; for a ``SendWhenConfirmed`` a read is
        requested, which confirms the leadership.  The daemon carries out all
        other effects.
        """
        for effect in effects:
            if isinstance(effect, _leader.LeaderProposal):
                encoded_command = commands.CODEC.encode(effect.command)
                self._propose_command(effect, encoded_command)
            elif isinstance(effect, _leader.SendWhenConfirmed):
                self._request_read([effect])
            else:
                self._effects.append(effect)
