"""The task that owns the agreement core of this control replica."""

from fuchsiatrestle import agreement
from fuchsiatrestle.control import _events
from fuchsiatrestle.control import _leadership
from fuchsiatrestle import daemon
from fuchsiatrestle import inbox
from fuchsiatrestle import logs
from fuchsiatrestle import metrics

__all__ = ('ReplicaTask',)

# Longest time between two publications of the replica's status.
STATUS_INTERVAL_MS = 500

TERM = metrics.declare('agreement.term', 'Term of this replica.')
COMMIT_INDEX = metrics.declare('agreement.commit', 'Committed log index.')
UNCOMMITTED_ENTRIES = metrics.declare(
    'agreement.uncommitted', 'Log entries not yet known to be committed.'
)
IS_LEADER = metrics.declare('agreement.leads', '1 while this replica leads.')
BEARABLE_LOSSES = metrics.declare(
    'agreement.bearable_losses',
    'Voters that may be lost now, as the leader sees it; 0 elsewhere.',
)
ROLE_CHANGES = metrics.declare(
    'agreement.role_changed', 'Changes of role or leader seen here.'
)

LOG = logs.get_logger(__name__)

# Effects of the agreement core that only the state task handles.
_STATE_TASK_EFFECTS = (
    agreement.ApplyEntries,
    agreement.ProposalAppended,
    agreement.RequestRejected,
    agreement.ReadReady,
    agreement.RoleChanged,
)


class ReplicaTask:
    """Passes events to the agreement core and carries out its effects.

    Args:
        replica: the ``agreement.Replica``.
        link: the ``link.Link`` to the other replicas.
        state_inbox: queue of the state task.
        connect_members: called when the members or their roles change, with
            the log index of the change, None while it is not committed, and
            the names of all members.

    Attributes:
        inbox: ``inbox.Inbox`` of the events of this task.
        role: role of this replica, as in ``agreement.RoleChanged``; empty
            until the first ``RoleChanged``.
        leadership: ``_leadership.Leadership`` as of the last event.
    """

    def __init__(self, replica, link, state_inbox, connect_members):
        self._replica = replica
        self._link = link
        self._state_inbox = state_inbox
        self._connect_members = connect_members
        self._storage = None
        self._status_due_ms = 0
        self._last_voter_state = None
        self.inbox = inbox.Inbox()
        self.role = ''
        self.leadership = _leadership.Leadership()

    def attach_storage(self, storage):
        """Sets the ``StorageThread``, which reports to ``inbox``."""
        self._storage = storage

    async def run(self):
        """Handles events until cancelled.

        Once the data folder has failed, events are dropped: the agreement
        core must not act on what is not durable.
        """
        folder_failed = False
        while True:
            event = await self.inbox.get()
            if isinstance(event, _events.DataFolderFailed):
                folder_failed = True
                await self._state_inbox.put(event)
            elif not folder_failed:
                await self._handle_event(event)

    async def _handle_event(self, event):
        if isinstance(event, _events.MakeSnapshot):
            snapshot = self._replica.make_snapshot(
                event.last_index, event.data
            )
            self._storage.put(_events.SaveSnapshot(snapshot))
            return
        if isinstance(event, _events.SnapshotSaved):
            await self._state_inbox.put(event)
            event = agreement.CompactLog(event.snapshot)
        now_ms = daemon.monotonic_ms()
        effects = self._replica.step(event, now_ms)
        self.leadership.publish(self._replica)
        if self._update_members(effects, now_ms):
            self._status_due_ms = now_ms + STATUS_INTERVAL_MS
            await self._publish_status(now_ms)
        for effect in effects:
            await self._carry_out_effect(effect)

    def _update_members(self, effects, now_ms):
        """Connects the members if they changed; decides if the status is due.

        A voter set that becomes committed also counts as a change.

        Returns:
            True if ``ReplicaStatus`` has to be published now: the members
            changed, a read was confirmed (its answer may contain the status),
            or the last publication is ``STATUS_INTERVAL_MS`` old.
        """
        replica = self._replica
        voter_state = (replica.voters, replica.voters_committed)
        members_changed = self._last_voter_state != voter_state
        if members_changed:
            members = replica.voters.members
            self._connect_members(
                replica.voters_index if replica.voters_committed else None,
                [agreement.process_name_of(member) for member in members],
            )
        self._last_voter_state = voter_state
        read_confirmed = any(
            isinstance(effect, agreement.ReadReady) for effect in effects
        )
        return (
            members_changed or read_confirmed or now_ms >= self._status_due_ms
        )

    async def _carry_out_effect(self, effect):
        if isinstance(effect, agreement.SendToPeer):
            self._link.send(effect.peer, effect.message)
        elif isinstance(effect, agreement.PersistChanges):
            self._storage.put(effect)
        elif isinstance(effect, agreement.IdentityReplaced):
            LOG.warning(
                'identity_replaced', extra={'identity': self._replica.identity}
            )
            self._storage.put(_events.RetireFolder())
        elif isinstance(effect, agreement.RestoreSnapshot):
            self._storage.put(effect)
            await self._state_inbox.put(effect)
        elif isinstance(effect, _STATE_TASK_EFFECTS):
            if isinstance(effect, agreement.RoleChanged):
                self._record_role(effect)
            await self._state_inbox.put(effect)

    def _record_role(self, effect):
        self.role = effect.role
        metrics.count(ROLE_CHANGES)
        LOG.info(
            'role_changed',
            extra={
                'role': effect.role,
                'term': effect.term,
                'leader': effect.leader,
                'ready': effect.ready,
            },
        )

    async def _publish_status(self, now_ms):
        replica = self._replica
        metrics.gauge(TERM, replica.term)
        metrics.gauge(COMMIT_INDEX, replica.commit_index)
        metrics.gauge(IS_LEADER, int(self.role == 'leader'))
        metrics.gauge(BEARABLE_LOSSES, replica.bearable_losses)
        metrics.gauge(
            UNCOMMITTED_ENTRIES, replica.log.last_index - replica.commit_index
        )
        status = _events.ReplicaStatus(
            replica.term,
            replica.commit_index,
            [
                self._make_member_status(identity, now_ms)
                for identity in replica.voters.members
            ],
            list(replica.joining_identities),
            replica.bearable_losses,
        )
        await self._state_inbox.put(status)

    def _make_member_status(self, identity, now_ms):
        replica = self._replica
        name = agreement.process_name_of(identity)
        progress = replica.progress_by_identity.get(identity)
        match_index = (
            progress.match_index if progress else replica.log.last_index
        )
        heard_age_ms = (
            max(0, now_ms - progress.last_acked_round_sent_ms)
            if progress
            else 0
        )
        # A new voter is shown as voter only once it holds the committed log
        # entry that made it one.  Until then the loss of another voter can
        # lose the quorum.
        holds_voters_entry = (
            replica.voters_committed and match_index >= replica.voters_index
        )
        role = 'learner'
        if identity in replica.voters.voters:
            role = 'voter' if holds_voters_entry else 'syncing'
        return _events.MemberStatus(
            identity, name, role, match_index, heard_age_ms
        )
