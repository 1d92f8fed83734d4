"""Services that only the leader runs.

They grant configuration leases, schedule batch jobs, dispatch workflows, and
propose the commands that follow from these.
"""

import zlib

from fuchsiatrestle import agreement
from fuchsiatrestle.control import _events
from fuchsiatrestle import membership
from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle import scheduling
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import queries
from fuchsiatrestle import workflows

__all__ = (
    'LeaderProposal',
    'LeaderServices',
    'SendWhenConfirmed',
)

# Applied commands that the dispatcher follows; the scheduler gets the others.
_WORKFLOW_COMMANDS = (
    commands.CancelWorkflow,
    commands.EndEvacuation,
    commands.PutDocument,
    commands.RecordProgress,
    commands.StartEvacuation,
    commands.SubmitWorkflow,
)
# With more workers than this the leader does not receive their announcements
# itself.  Those of 1,000 take some 7% of its processor, and a connection each.
MAX_DIRECT_WORKERS = 1000
# A member that was silent for longer receives none.
MAX_RECEIVER_SILENCE_MS = 1000
_WORKER_MESSAGES = (messages.AnnounceWorker, messages.WithdrawWorker)

ABANDON_CHECK_INTERVAL_MS = 1000
# How long an entry process has to be without a lease before its claims are
# marked unknown.
ABANDON_AFTER_MS = 10000

ENTRIES_IN_FORCE = metrics.declare(
    'config.in_force', 'Leased entries with the current version in force.'
)
ENTRIES_LEASED = metrics.declare(
    'config.leased', 'Entries with a running lease.'
)
CONFIG_VERSION = metrics.declare(
    'config.version', 'Current configuration version.'
)
PROCESSES_ABANDONED = metrics.declare(
    'claims.abandoned', 'Entry processes whose claims became unknown.'
)


class LeaderProposal:
    """Effect: propose a command of the leader itself.

    Attributes:
        command: the command record.
        token: token under which the scheduler or dispatcher is told of a
            rejection; None for commands that nobody waits for.
    """

    __slots__ = ('command', 'token')

    def __init__(self, command, token=None):
        self.command = command
        self.token = token


class SendWhenConfirmed:
    """Effect: send a message once a quorum has confirmed the leadership.

    Attributes:
        peer: name of the link peer.
        message: the record to send.
    """

    __slots__ = ('message', 'peer')

    def __init__(self, peer, message):
        self.peer = peer
        self.message = message


class LeaderServices:
    """The leader's services for one term; dropped when the role changes.

    ``handle_tick`` and the other ``handle_...`` methods return a list of
    effects: ``SendToPeer``, ``OrderWorker``, ``LeaderProposal`` or
    ``SendWhenConfirmed``.  ``now_ms`` is monotonic time in milliseconds.

    Args:
        name: name of this control replica.
        term: the term that this replica leads.
        machine: the state machine; it is only read here.
        timing: ``workflows.Timing``.
        now_ms: monotonic time of the start of the services, in milliseconds.
        features: ``workflows.Features``; None if none is switched on.
        silence_times: ``workflows.SilenceTimes`` of this replica.
    """

    def __init__(
        self,
        name,
        term,
        machine,
        timing,
        now_ms,
        features=None,
        silence_times=None,
    ):
        self.term = term
        self._name = name
        self._machine = machine
        self._features = features or workflows.Features()
        self._replica_status = None
        self._granter = membership.ConfigLeaseGranter()
        self._granter.step(self._make_version_agreed_event(), now_ms)
        self._granter.step(membership.LeaderReady(term), now_ms)
        self._scheduler = scheduling.Scheduler(machine.jobs, now_ms)
        self._dispatcher = workflows.Dispatcher(
            machine.workflows,
            term,
            timing,
            now_ms,
            features=features,
            silence_times=silence_times,
        )
        self._next_abandon_check_ms = now_ms + ABANDON_CHECK_INTERVAL_MS
        # For each owner of claims without a lease, a pair (entry,
        # incarnation): time at which a check first found it without one.
        self._unleased_since_ms_by_owner = {}
        # Calls that wait for ``AcknowledgeWithdrawal``, by id of the worker.
        self._withdrawal_calls = {}

    def update_replica_status(self, status):
        """Replaces the ``ReplicaStatus`` that status queries are answered by.

        Args:
            status: the ``ReplicaStatus``; None if none was published yet.
        """
        self._replica_status = status

    # Events

    def handle_tick(self, wall_ms, now_ms):
        """Runs the periodic work of the services.

        Args:
            wall_ms: time since the epoch, in milliseconds.
            now_ms: monotonic time, in milliseconds.
        """
        effects = self._step_scheduler(scheduling.Tick(wall_ms), now_ms)
        effects += self._step_dispatcher(workflows.Tick(wall_ms), now_ms)
        if now_ms >= self._next_abandon_check_ms:
            self._next_abandon_check_ms = now_ms + ABANDON_CHECK_INTERVAL_MS
            effects += self._make_abandon_proposals(now_ms)
            self._set_gauges(now_ms)
        return effects

    def handle_applied_command(self, command, outcome, now_ms):
        """Passes an applied command to the services that depend on it.

        Args:
            command: the command record, whichever process proposed it.
            outcome: its outcome, a record of ``state.outcomes``.
            now_ms: monotonic time, in milliseconds.
        """
        if isinstance(command, commands.RefuseWorkflow):
            # It leaves the services nothing to do.  Under an overload there
            # are many, and the dispatcher would run a placement round each.
            return []
        if isinstance(command, _WORKFLOW_COMMANDS):
            return self._step_dispatcher(
                workflows.CommandApplied(command), now_ms
            )
        effects = []
        if isinstance(command, commands.PatchConfig):
            version_event = self._make_version_agreed_event(command.patch)
            sends = self._granter.step(version_event, now_ms)
            effects += _make_link_sends(sends)
        event = scheduling.CommandApplied(command, outcome)
        return effects + self._step_scheduler(event, now_ms)

    def handle_rejected_proposal(self, proposal, reason, now_ms):
        """Tells the service that proposed a command that it was rejected.

        Args:
            proposal: the ``LeaderProposal``, which is certainly not in the
                log.
            reason: reason of the ``agreement.RequestRejected``.
            now_ms: monotonic time, in milliseconds.
        """
        if proposal.token is None:
            return []
        if isinstance(proposal.command, commands.RecordProgress):
            rejection = workflows.ProposalRejected(proposal.token)
            return self._step_dispatcher(rejection, now_ms)
        event = scheduling.ProposalRejected(proposal.token, reason)
        return self._step_scheduler(event, now_ms)

    def handle_confirmed_call(self, call, now_ms):
        """Handles a call or send for which the leadership is now confirmed.

        Args:
            call: a ``Call`` to be handled, or a ``SendWhenConfirmed`` whose
                message is to be sent.  The quorum was asked to confirm the
                leadership after the ``Call`` had arrived or the
                ``SendWhenConfirmed`` had been returned.
            now_ms: monotonic time, in milliseconds.
        """
        if isinstance(call, SendWhenConfirmed):
            return [_events.SendToPeer(call.peer, call.message)]
        message = call.message
        if isinstance(message, messages.ReportBatch):
            event = scheduling.ReportsReceived(
                call.peer, message.call_id, message.reports
            )
            return self._step_scheduler(event, now_ms)
        if isinstance(message, messages.ShowMembers):
            members_view = self.make_members_view(message.call_id)
            return [_events.SendToPeer(call.peer, members_view)]
        if isinstance(message, _WORKER_MESSAGES):
            return self._handle_announcement(call, now_ms)
        event = membership.MessageReceived(call.peer, message)
        return _make_link_sends(self._granter.step(event, now_ms))

    # Leases and claims

    def _make_version_agreed_event(self, config_patch=b''):
        """Returns the ``VersionAgreed`` event for the current configuration.

        Args:
            config_patch: merge patch that made this version from the one
                before; empty if not known.
        """
        config = self._machine.config
        addresses = {
            name: entry.address
            for name, entry in config.document.entries.items()
        }
        return membership.VersionAgreed(
            config.version, config.document_json, addresses, config_patch
        )

    def _make_abandon_proposals(self, now_ms):
        """Returns proposals to abandon the claims of unleased processes.

        An entry process is unleased while it certainly holds no lease.  Once
        every check for ``ABANDON_AFTER_MS`` has found it unleased, the leader
        proposes to mark the claims that the process still holds as unknown.
        """
        owners = self._machine.claims.owners_of_held_claims()
        unleased_since_ms_by_owner = {
            owner: self._unleased_since_ms_by_owner.get(owner, now_ms)
            for owner in owners
            if self._granter.has_no_lease(*owner, now_ms)
        }
        self._unleased_since_ms_by_owner = unleased_since_ms_by_owner
        proposals = []
        for owner, unleased_since_ms in unleased_since_ms_by_owner.items():
            if now_ms - unleased_since_ms >= ABANDON_AFTER_MS:
                metrics.count(PROCESSES_ABANDONED)
                proposals.append(
                    LeaderProposal(commands.AbandonClaims(*owner))
                )
        return proposals

    def _set_gauges(self, now_ms):
        leased_count = len(self._granter.running_leases(now_ms))
        lagging_count = len(self._granter.lagging_entries(now_ms))
        metrics.gauge(ENTRIES_LEASED, leased_count)
        metrics.gauge(ENTRIES_IN_FORCE, leased_count - lagging_count)
        metrics.gauge(CONFIG_VERSION, self._granter.version)

    # Scheduling

    def _step_scheduler(self, event, now_ms):
        """Passes an event to the scheduler; returns its effects.

        An answer to reports is sent only once a quorum has confirmed the
        leadership, as the ``scheduling`` package requires.
        """
        effects = []
        for effect in self._scheduler.step(event, now_ms):
            if isinstance(effect, scheduling.ProposeBatch):
                effects.append(LeaderProposal(effect.command, effect.token))
            elif isinstance(effect, scheduling.AnswerReports):
                answer = messages.OrderBatch(
                    effect.call_id, effect.worker_orders
                )
                effects.append(SendWhenConfirmed(effect.entry, answer))
            elif isinstance(effect, scheduling.SetGauges):
                for name, value in effect.value_by_gauge.items():
                    metrics.gauge(name, value)
        return effects

    # Workflows

    def handle_worker_answer(self, reply, now_ms):
        """Passes a worker's answer to an order to the dispatcher.

        Args:
            reply: a ``workflows.ReplyReceived``.
            now_ms: monotonic time, in milliseconds.
        """
        return self._step_dispatcher(reply, now_ms)

    def find_refusal(self, submission, now_ms):
        """Returns the ``commands.RefuseWorkflow`` of a submission, or None.

        Args:
            submission: the ``commands.SubmitWorkflow`` of a call.
            now_ms: monotonic time, in milliseconds.
        """
        return self._dispatcher.find_refusal(submission, now_ms)

    def _handle_announcement(self, call, now_ms):
        message = call.message
        if isinstance(message, messages.WithdrawWorker):
            calls = self._withdrawal_calls.setdefault(message.worker, [])
            calls.append(call)
            event = workflows.WorkerWithdrawn(message.worker, message.born_ms)
            return self._step_dispatcher(event, now_ms)
        event = workflows.WorkerAnnounced(message.announcement)
        effects = self._step_dispatcher(event, now_ms)
        receiver = self._choose_receiver(message.announcement.worker)
        return [*effects, self._make_noted_answer(call, receiver)]

    def _choose_receiver(self, worker):
        """Returns the member that should receive a worker's announcements.

        Each costs a request on a connection; passed on by another member, it
        is a part of a message.  So many workers are spread over the others.

        Args:
            worker: id of the worker.

        Returns:
            The name of the member, or empty for this one.
        """
        if self._dispatcher.worker_count <= MAX_DIRECT_WORKERS:
            return ''
        members = self._replica_status.members if self._replica_status else []
        names = [
            member.name
            for member in members
            if member.name != self._name
            and member.heard_age_ms <= MAX_RECEIVER_SILENCE_MS
        ]
        # The choice stays the same while the members do.
        return max(
            names,
            key=lambda name: zlib.crc32(f'{worker} {name}'.encode()),
            default='',
        )

    def _make_noted_answer(self, call, receiver=''):
        answer = messages.Noted(call.message.call_id, self._name, receiver)
        return _events.SendToPeer(call.peer, answer)

    def _step_dispatcher(self, event, now_ms):
        """Passes an event to the dispatcher; returns its effects."""
        effects = []
        for effect in self._dispatcher.step(event, now_ms):
            if isinstance(effect, workflows.Propose):
                command = effect.command
                effects.append(LeaderProposal(command, command.token))
            elif isinstance(effect, workflows.AcknowledgeWithdrawal):
                calls = self._withdrawal_calls.pop(effect.worker, [])
                effects += [self._make_noted_answer(call) for call in calls]
            else:
                effects.append(_events.OrderWorker(effect))
        return effects

    # Queries

    def answer_query(self, query, now_ms):
        """Answers a query whose result only the leader's services know.

        Returns:
            The result record, or None for a query that the state machine
            answers.
        """
        if isinstance(query, queries.GetStatus):
            return self._make_status_view(now_ms)
        if isinstance(query, queries.GetWorkers):
            return self._scheduler.list_workers(now_ms)
        if isinstance(query, queries.GetJobReason):
            return self._scheduler.find_job_reason(query.job_id)
        if isinstance(query, queries.GetCounters):
            return self._make_counter_list()
        if isinstance(query, queries.GetEvacuations):
            return self._machine.evacuations.make_list(
                self._features.data_centres, self._features.evacuation_ms > 0
            )
        return None

    def _make_counter_list(self):
        registry = metrics.default_registry
        return queries.CounterList(
            self._name, registry.counters(), registry.gauges()
        )

    def _make_status_view(self, now_ms):
        status = self._replica_status
        members = status.members if status else []
        leased_count = len(self._granter.running_leases(now_ms))
        lagging_entries = self._granter.lagging_entries(now_ms)
        return queries.StatusView(
            self._name,
            self.term,
            status.commit_index if status else 0,
            self._machine.applied_index,
            [member.name for member in members if member.role == 'voter'],
            [member.name for member in members if member.role != 'voter'],
            self._granter.version,
            leased_count - len(lagging_entries),
            leased_count,
            lagging_entries,
            self._machine.jobs.counts_by_state(),
            self._granter.is_in_force_everywhere(now_ms),
        )

    # Members

    def make_members_view(self, call_id):
        """Returns the ``messages.MembersView`` that lists the replicas.

        It has no members until a ``ReplicaStatus`` has been published.

        Args:
            call_id: identifier of the call that it answers.
        """
        status = self._replica_status
        members = [
            messages.MemberView(
                member.name,
                member.identity,
                '',
                member.role,
                member.match_index,
                member.heard_age_ms,
            )
            for member in (status.members if status else [])
        ]
        return messages.MembersView(
            call_id,
            self._name,
            self.term,
            status.commit_index if status else 0,
            members,
            status.bearable_losses if status else 0,
        )

    def find_member_identity(self, message):
        """Finds the identity of the replica that a ``ChangeMember`` names.

        A replica that is to be added has to be running already: it asks to
        join until it is a member.  It is added as a learner and promoted to
        voter once it has caught up.

        Returns:
            The identity, or '' if no such replica asks to join (``add``) or
            is a member (``remove``).
        """
        status = self._replica_status
        if status is None:
            return ''
        if message.change == 'add':
            known_identities = status.joining_identities
        else:
            known_identities = [member.identity for member in status.members]
        for identity in known_identities:
            if agreement.process_name_of(identity) == message.name:
                return identity
        return ''


def _make_link_sends(effects):
    """Returns an ``_events.SendToPeer`` for each ``membership.SendToPeer``."""
    return [
        _events.SendToPeer(effect.peer, effect.message) for effect in effects
    ]
