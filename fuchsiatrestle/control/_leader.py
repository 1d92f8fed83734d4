"""What only the leader does: leases, scheduling, members, its own commands."""

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
    'ConfirmedSend',
    'LeaderServices',
    'OwnProposal',
)

_DISPATCHED = (
    commands.CancelWorkflow,
    commands.PutDocument,
    commands.RecordProgress,
    commands.SubmitWorkflow,
)
_ANNOUNCEMENTS = (messages.AnnounceWorker, messages.WithdrawWorker)

ABANDON_CHECK_MS = 1000
ABANDON_AFTER_MS = 10000

IN_FORCE = metrics.declare(
    'config.in_force', 'Leased entries with the current version in force.'
)
LEASED = metrics.declare('config.leased', 'Entries with a running lease.')
CONFIG_VERSION = metrics.declare(
    'config.version', 'Current configuration version.'
)
ABANDONED = metrics.declare(
    'claims.abandoned', 'Entry processes whose claims became unknown.'
)


class OwnProposal:
    """A command that the leader itself proposes.

    Attributes:
        command: the command record.
        token: token of the scheduler or dispatcher, None for the leader's
            other commands.
    """

    __slots__ = ('command', 'token')

    def __init__(self, command, token=None):
        self.command = command
        self.token = token


class ConfirmedSend:
    """A message that goes out once a quorum has confirmed the leadership."""

    __slots__ = ('message', 'peer')

    def __init__(self, peer, message):
        self.peer = peer
        self.message = message


class LeaderServices:
    """Services of one term; dropped when the role changes.

    Every method that takes ``now_ms`` returns effects: ``Send``,
    ``OwnProposal`` or ``ConfirmedSend``.

    Args:
        name: name of this control replica.
        term: the term it leads.
        machine: the state machine, read only.
        timing: ``workflows.Timing``.
        now_ms: monotonic time.
    """

    def __init__(self, name, term, machine, timing, now_ms):
        self.term = term
        self._name = name
        self._machine = machine
        self._facts = None
        self._granter = membership.ConfigLeaseGranter()
        self._granter.step(self._version_agreed(), now_ms)
        self._granter.step(membership.LeaderReady(term), now_ms)
        self._scheduler = scheduling.Scheduler(machine.jobs, now_ms)
        self._dispatcher = workflows.Dispatcher(
            machine.workflows, term, timing, now_ms
        )
        self._abandon_check_ms = now_ms + ABANDON_CHECK_MS
        self._ended_since_ms = {}

    def note_facts(self, facts):
        """Takes the newest ``ReplicaFacts``."""
        self._facts = facts

    # Events

    def tick(self, wall_ms, now_ms):
        """Lets time pass."""
        effects = self._schedule(scheduling.Tick(wall_ms), now_ms)
        effects += self._dispatch(workflows.Tick(wall_ms), now_ms)
        if now_ms >= self._abandon_check_ms:
            self._abandon_check_ms = now_ms + ABANDON_CHECK_MS
            effects += self._abandon_claims(now_ms)
            self._set_gauges(now_ms)
        return effects

    def applied(self, command, outcome, now_ms):
        """Follows up an applied command, whoever proposed it."""
        if isinstance(command, _DISPATCHED):
            return self._dispatch(workflows.Applied(command), now_ms)
        effects = []
        if isinstance(command, commands.PatchConfig):
            agreed = self._version_agreed(command.patch)
            sends = self._granter.step(agreed, now_ms)
            effects += _as_sends(sends)
        event = scheduling.Applied(command, outcome)
        return effects + self._schedule(event, now_ms)

    def reject(self, proposal, reason, now_ms):
        """Takes back an own proposal that certainly was not agreed."""
        if proposal.token is None:
            return []
        if isinstance(proposal.command, commands.RecordProgress):
            refused = workflows.Rejected(proposal.token)
            return self._dispatch(refused, now_ms)
        event = scheduling.Rejected(proposal.token, reason)
        return self._schedule(event, now_ms)

    def confirmed(self, call, now_ms):
        """Handles a call that came in before a quorum confirmed the term."""
        if isinstance(call, ConfirmedSend):
            return [_events.Send(call.peer, call.message)]
        message = call.message
        if isinstance(message, messages.ReportBatch):
            event = scheduling.Reports(
                call.peer, message.call_id, message.reports
            )
            return self._schedule(event, now_ms)
        if isinstance(message, messages.ShowMembers):
            view = self.members_view(message.call_id)
            return [_events.Send(call.peer, view)]
        if isinstance(message, _ANNOUNCEMENTS):
            return self._announced(call, now_ms)
        event = membership.Received(call.peer, message)
        return _as_sends(self._granter.step(event, now_ms))

    # Leases and claims

    def _version_agreed(self, patch=b''):
        config = self._machine.config
        entries = {
            name: entry.address
            for name, entry in config.document.entries.items()
        }
        return membership.VersionAgreed(
            config.version, config.text, entries, patch
        )

    def _abandon_claims(self, now_ms):
        """Proposes ``unknown`` for the claims of processes long gone."""
        owners = self._machine.claims.owners_with_held()
        ended = {
            owner: self._ended_since_ms.get(owner, now_ms)
            for owner in owners
            if self._granter.is_ended(*owner, now_ms)
        }
        self._ended_since_ms = ended
        proposals = []
        for owner, since_ms in ended.items():
            if now_ms - since_ms >= ABANDON_AFTER_MS:
                metrics.count(ABANDONED)
                proposals.append(OwnProposal(commands.AbandonClaims(*owner)))
        return proposals

    def _set_gauges(self, now_ms):
        leased = len(self._granter.running(now_ms))
        lagging = len(self._granter.lagging(now_ms))
        metrics.gauge(LEASED, leased)
        metrics.gauge(IN_FORCE, leased - lagging)
        metrics.gauge(CONFIG_VERSION, self._granter.version)

    # Scheduling

    def _schedule(self, event, now_ms):
        effects = []
        for effect in self._scheduler.step(event, now_ms):
            if isinstance(effect, scheduling.ProposeBatch):
                effects.append(OwnProposal(effect.command, effect.token))
            elif isinstance(effect, scheduling.AnswerReports):
                answer = messages.OrderBatch(effect.call_id, effect.orders)
                effects.append(ConfirmedSend(effect.entry, answer))
            elif isinstance(effect, scheduling.SetGauges):
                for name, value in effect.values.items():
                    metrics.gauge(name, value)
        return effects

    # Workflows

    def worker_answered(self, event, now_ms):
        """Takes a worker's answer to an order."""
        return self._dispatch(event, now_ms)

    def _announced(self, call, now_ms):
        message = call.message
        if isinstance(message, messages.AnnounceWorker):
            event = workflows.Announced(message.announcement)
        else:
            event = workflows.Withdrawn(message.worker)
        noted = messages.Noted(message.call_id, self._name)
        sends = [_events.Send(call.peer, noted)]
        return self._dispatch(event, now_ms) + sends

    def _dispatch(self, event, now_ms):
        effects = []
        for effect in self._dispatcher.step(event, now_ms):
            if isinstance(effect, workflows.Propose):
                command = effect.command
                effects.append(OwnProposal(command, command.token))
            else:
                effects.append(_events.OrderWorker(effect))
        return effects

    # Queries

    def query(self, query, now_ms):
        """Answers what only the leader knows; None for other queries."""
        if isinstance(query, queries.GetStatus):
            return self._status(now_ms)
        if isinstance(query, queries.GetWorkers):
            return self._scheduler.workers(now_ms)
        if isinstance(query, queries.GetJobReason):
            return self._scheduler.why(query.job_id)
        if isinstance(query, queries.GetCounters):
            return self._counters()
        return None

    def _counters(self):
        registry = metrics.default_registry
        return queries.CounterList(
            self._name, registry.counters(), registry.gauges()
        )

    def _status(self, now_ms):
        facts = self._facts
        members = facts.members if facts else []
        running = len(self._granter.running(now_ms))
        lagging = self._granter.lagging(now_ms)
        return queries.StatusView(
            self._name,
            self.term,
            facts.commit if facts else 0,
            self._machine.applied,
            [one.name for one in members if one.role == 'voter'],
            [one.name for one in members if one.role != 'voter'],
            self._granter.version,
            running - len(lagging),
            running,
            lagging,
            self._machine.jobs.counts(),
            self._granter.is_everywhere(now_ms),
        )

    # Members

    def members_view(self, call_id):
        """Returns the control replicas as ``messages.MembersView``."""
        facts = self._facts
        members = [
            messages.MemberView(
                one.name,
                one.identity,
                '',
                one.role,
                one.match,
                one.heard_ms,
            )
            for one in (facts.members if facts else [])
        ]
        return messages.MembersView(
            call_id,
            self._name,
            self.term,
            facts.commit if facts else 0,
            members,
        )

    def identity_to_change(self, message):
        """Returns the identity that a ``ChangeMember`` is about, or ''.

        A replica to be added has to be running: it says hello until it is a
        member, and is promoted once it has caught up.
        """
        facts = self._facts
        if facts is None:
            return ''
        if message.change == 'add':
            candidates = facts.newcomers
        else:
            candidates = [one.identity for one in facts.members]
        for identity in candidates:
            if agreement.name_of(identity) == message.name:
                return identity
        return ''


def _as_sends(effects):
    return [_events.Send(one.peer, one.message) for one in effects]
