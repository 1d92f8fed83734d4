"""Answers calls from the agreed state; a core without I/O.

Changes go through the log, reads through a read index.  Only the leader
whose first own entry is applied serves; every other replica refuses and
names the leader it knows.
"""

from fuchsiatrestle import agreement
from fuchsiatrestle.control import _calls
from fuchsiatrestle.control import _events
from fuchsiatrestle.control import _leader
from fuchsiatrestle.control import _refusals
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

MAX_PENDING_CALLS = 5000
MAX_COMMAND_BYTES = 1024 * 1024
MAX_UNCONFIRMED_CALLS = 5000

APPLIED = metrics.declare('agreement.applied', 'Applied log index.')
SNAPSHOTS = metrics.declare('agreement.snapshots', 'Snapshots taken.')
SNAPSHOT_BYTES = metrics.declare(
    'agreement.snapshot_bytes', 'Size of the last snapshot, in bytes.'
)

# What other processes may propose; the rest is the leader's own.
_OPEN_COMMANDS = (
    commands.PatchConfig,
    commands.SubmitJobs,
    commands.CancelJobs,
    commands.ResolveJobs,
    commands.ClaimRequests,
    commands.FinishClaims,
    commands.PutDocument,
    commands.SubmitWorkflow,
    commands.CancelWorkflow,
)


_HOW_TO_ADD = {
    'add': 'start the replica with the others in its peers, then repeat',
    'remove': 'no replica of that name is a member; see members show',
}


class Service(core.Core):
    """State machine, waiting calls and, while leading, leader services.

    Args:
        name: name of this control replica.
        snapshot_entries: log entries between two snapshots.
        snapshot: ``agreement.Snapshot`` to start from, or None.
        timing: ``workflows.Timing``.
    """

    def __init__(self, name, snapshot_entries, snapshot=None, timing=None):
        self._name = name
        self._timing = timing or workflows.Timing()
        self._snapshot_entries = snapshot_entries
        self._machine = state_machine.StateMachine()
        self._snapshot_index = 0
        self._saving = False
        self._calls = _calls.CallTable()
        self._unconfirmed = []
        self._leader = None
        self._leader_name = ''
        self._broken = False
        self._facts = None
        self._effects = []
        self._now_ms = 0
        if snapshot is not None:
            self._machine.restore(snapshot.data)
            self._snapshot_index = snapshot.last_index
        self._handlers = {
            _events.Tick: self._on_tick,
            _events.Call: self._on_call,
            _events.ReplicaFacts: self._on_facts,
            _events.SnapshotSaved: self._on_snapshot_saved,
            _events.StorageBroken: self._on_storage_broken,
            _events.WorkerAnswered: self._on_worker_answered,
            agreement.Apply: self._on_apply,
            agreement.Restore: self._on_restore,
            agreement.Accepted: self._on_accepted,
            agreement.Rejected: self._on_rejected,
            agreement.ReadReady: self._on_read_ready,
            agreement.RoleChanged: self._on_role,
        }

    @property
    def machine(self):
        """The state machine."""
        return self._machine

    @property
    def leads(self):
        """True while this replica serves calls and needs ticks."""
        return self._leader is not None

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
        reason = self._refusal()
        if reason:
            self._refuse(call, reason)
        elif isinstance(call.message, messages.ProposeCommand):
            self._take_command(call)
        elif isinstance(call.message, messages.ChangeMember):
            self._change_member(call)
        elif isinstance(call.message, messages.AskQuery):
            self._request_read([call])
        elif len(self._unconfirmed) < MAX_UNCONFIRMED_CALLS:
            self._unconfirmed.append(call)
        else:
            self._refuse(call, 'overloaded')

    def _refusal(self):
        if self._broken:
            return 'storage_failed'
        if self._leader is None:
            return 'not_leader'
        if len(self._calls) >= MAX_PENDING_CALLS:
            return 'overloaded'
        return ''

    def _refuse(self, call, reason, detail=''):
        if not isinstance(call, _events.Call):
            return
        _refusals.count(reason)
        refused = messages.ControlRefused(
            call.message.call_id, reason, self._leader_name, False, detail
        )
        self._effects.append(_events.Send(call.peer, refused))

    def _take_command(self, call):
        data = call.message.command
        if len(data) > MAX_COMMAND_BYTES:
            self._refuse(
                call, 'bad_request', f'over {MAX_COMMAND_BYTES} bytes'
            )
            return
        try:
            command = commands.CODEC.decode(data)
        except records.DecodeError as exc:
            self._refuse(call, 'bad_request', str(exc))
            return
        if not isinstance(command, _OPEN_COMMANDS):
            self._refuse(call, 'bad_request', type(command).__name__)
            return
        self._propose(call, data)

    def _propose(self, call, data):
        token = self._calls.add_proposal(call)
        self._to_replica(agreement.Propose([(token, data)]))

    def _request_read(self, calls):
        token = self._calls.add_read(calls)
        self._to_replica(agreement.ReadRequest(token))

    def _to_replica(self, event):
        self._effects.append(_events.ToReplica(event))

    # Time

    def _on_tick(self, tick):
        if self._leader is None:
            return
        if self._unconfirmed:
            # One round of heartbeats confirms all that came in since.
            self._request_read(self._unconfirmed)
            self._unconfirmed = []
        self._run_leader(self._leader.tick(tick.wall_ms, self._now_ms))

    def _on_worker_answered(self, answered):
        if self._leader is not None:
            self._run_leader(
                self._leader.worker_answered(answered.event, self._now_ms)
            )

    def _on_facts(self, facts):
        self._facts = facts
        metrics.gauge(APPLIED, self._machine.applied)
        if self._leader is not None:
            self._leader.note_facts(facts)

    # Agreement

    def _on_accepted(self, event):
        self._calls.accept(event.token, event.index, event.term)

    def _on_rejected(self, event):
        waiting = self._calls.reject(event.token)
        self._leader_name = event.leader or self._leader_name
        if isinstance(waiting, _calls.PendingRead):
            for call in waiting.calls:
                self._refuse_rejected(call, event.reason)
        elif waiting is not None:
            self._refuse_rejected(waiting, event.reason)

    def _refuse_rejected(self, call, reason):
        if isinstance(call, _leader.OwnProposal):
            if self._leader is not None:
                self._run_leader(
                    self._leader.reject(call, reason, self._now_ms)
                )
        elif isinstance(call, _events.Call):
            self._refuse(call, reason)

    def _on_role(self, event):
        self._leader_name = event.leader
        if event.role == 'leader' and event.ready:
            if self._leader is None or self._leader.term != event.term:
                self._start_leading(event.term)
        elif self._leader is not None:
            self._stop_leading()

    def _start_leading(self, term):
        self._leader = _leader.LeaderServices(
            self._name, term, self._machine, self._timing, self._now_ms
        )
        self._leader.note_facts(self._facts)

    def _stop_leading(self):
        self._leader = None
        for call in self._calls.drain_accepted():
            self._refuse(call, 'unknown', 'leadership changed')
        for call in self._unconfirmed:
            self._refuse(call, 'not_leader')
        self._unconfirmed = []

    # State

    def _on_apply(self, event):
        for entry in event.entries:
            if entry.kind == 'command':
                self._apply(entry)
            else:
                self._machine.skip(entry.index)
                self._settle(entry, outcomes.Done())
        self._snapshot_if_due()

    def _apply(self, entry):
        command = state_machine.decode_command(entry)
        outcome = self._machine.apply(entry.index, command)
        self._settle(entry, outcome)
        if self._leader is not None:
            self._run_leader(
                self._leader.applied(command, outcome, self._now_ms)
            )

    def _settle(self, entry, outcome):
        settled = self._calls.settle(entry.index)
        if settled is None:
            return
        term, call = settled
        if term != entry.term:
            self._refuse(call, 'not_leader')
        elif isinstance(call, _events.Call):
            self._answer(call, outcome)

    def _answer(self, call, outcome):
        if isinstance(call.message, messages.ChangeMember):
            answer = self._leader.members_view(call.message.call_id)
        else:
            answer = messages.CommandOutcome(
                call.message.call_id, outcomes.CODEC.encode(outcome)
            )
        self._effects.append(_events.Send(call.peer, answer))

    def _on_restore(self, event):
        self._machine.restore(event.snapshot.data)
        self._snapshot_index = event.snapshot.last_index

    def _snapshot_if_due(self):
        applied = self._machine.applied
        due = applied - self._snapshot_index >= self._snapshot_entries
        if not due or self._saving or self._broken:
            return
        self._saving = True
        data = self._machine.snapshot()
        metrics.count(SNAPSHOTS)
        metrics.gauge(SNAPSHOT_BYTES, len(data))
        self._to_replica(_events.TakeSnapshot(applied, data))

    def _on_snapshot_saved(self, event):
        self._saving = False
        self._snapshot_index = max(
            self._snapshot_index, event.snapshot.last_index
        )

    def _on_storage_broken(self, event):
        self._broken = True
        self._leader = None
        for call in self._calls.drain_accepted():
            self._refuse(call, 'unknown', 'the data folder failed')
        for call in self._unconfirmed:
            self._refuse(call, 'storage_failed')

    # Reads

    def _on_read_ready(self, event):
        self._calls.confirm(event.token, event.index)

    def _answer_reads(self):
        for call in self._calls.take_answerable(self._machine.applied):
            if self._leader is None:
                self._refuse_rejected(call, 'not_leader')
            elif isinstance(call.message, messages.AskQuery):
                self._answer_query(call)
            else:
                self._run_leader(self._leader.confirmed(call, self._now_ms))

    def _answer_query(self, call):
        try:
            query = queries.CODEC.decode(call.message.query)
        except records.DecodeError as exc:
            self._refuse(call, 'bad_request', str(exc))
            return
        found = self._leader.query(query, self._now_ms)
        if found is None:
            found = self._machine.query(query)
        answer = messages.QueryAnswer(
            call.message.call_id, queries.CODEC.encode(found)
        )
        self._effects.append(_events.Send(call.peer, answer))

    # Leader

    def _change_member(self, call):
        message = call.message
        if message.change not in ('add', 'remove'):
            self._refuse(call, 'bad_request', 'change is add or remove')
            return
        identity = self._leader.identity_to_change(message)
        if not identity:
            self._refuse(call, 'unknown_member', _HOW_TO_ADD[message.change])
            return
        token = self._calls.add_proposal(call)
        self._to_replica(
            agreement.ChangeVoters(token, message.change, identity)
        )

    def _run_leader(self, effects):
        for effect in effects:
            if isinstance(effect, _leader.OwnProposal):
                data = commands.CODEC.encode(effect.command)
                self._propose(effect, data)
            elif isinstance(effect, _leader.ConfirmedSend):
                self._request_read([effect])
            else:
                self._effects.append(effect)
