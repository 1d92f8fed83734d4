"""The task that owns the replica of the agreement core."""

import curio

from fuchsiatrestle import agreement
from fuchsiatrestle.control import _events
from fuchsiatrestle import daemon
from fuchsiatrestle import logs
from fuchsiatrestle import metrics

__all__ = ('ReplicaTask',)

FACTS_MS = 500

TERM = metrics.declare('agreement.term', 'Term of this replica.')
COMMIT = metrics.declare('agreement.commit', 'Committed log index.')
LOG_ENTRIES = metrics.declare(
    'agreement.uncommitted', 'Log entries not yet known to be committed.'
)
LEADS = metrics.declare('agreement.leads', '1 while this replica leads.')
LEADER_CHANGED = metrics.declare(
    'agreement.role_changed', 'Changes of role or leader seen here.'
)

LOG = logs.get_logger(__name__)

_FOR_STATE = (
    agreement.Apply,
    agreement.Accepted,
    agreement.Rejected,
    agreement.ReadReady,
    agreement.RoleChanged,
)


class ReplicaTask:
    """Steps the replica and carries out its effects in order.

    Args:
        replica: the ``agreement.Replica``.
        lnk: the link.
        state_inbox: queue of the state task.
        note_members: called with the names of all members when they change.
    """

    def __init__(self, replica, lnk, state_inbox, note_members):
        self._replica = replica
        self._link = lnk
        self._state_inbox = state_inbox
        self._note_members = note_members
        self._storage = None
        self._facts_due_ms = 0
        self._voters = None
        self.inbox = curio.UniversalQueue()
        self.role = ''

    def attach(self, storage):
        """Sets the ``StorageThread`` that reports to ``inbox``."""
        self._storage = storage

    async def run(self):
        """Works until cancelled; idles once the data folder has failed."""
        broken = False
        while True:
            event = await self.inbox.get()
            if isinstance(event, _events.StorageBroken):
                broken = True
                await self._state_inbox.put(event)
            elif not broken:
                await self._handle(event)

    async def _handle(self, event):
        if isinstance(event, _events.TakeSnapshot):
            snapshot = self._replica.make_snapshot(
                event.last_index, event.data
            )
            self._storage.put(_events.SaveSnapshot(snapshot))
            return
        if isinstance(event, _events.SnapshotSaved):
            await self._state_inbox.put(event)
            event = agreement.Compact(event.snapshot)
        now_ms = daemon.now_ms()
        effects = self._replica.step(event, now_ms)
        if self._facts_wanted(effects, now_ms):
            self._facts_due_ms = now_ms + FACTS_MS
            await self._publish_facts(now_ms)
        for effect in effects:
            await self._carry_out(effect)

    def _facts_wanted(self, effects, now_ms):
        """True if the facts are old, or somebody is about to read them."""
        replica = self._replica
        voters = (replica.voters, replica.voters_committed)
        changed = self._voters != voters
        if changed:
            members = replica.voters.members
            self._note_members([agreement.name_of(one) for one in members])
        self._voters = voters
        read = any(isinstance(one, agreement.ReadReady) for one in effects)
        return changed or read or now_ms >= self._facts_due_ms

    async def _carry_out(self, effect):
        if isinstance(effect, agreement.Send):
            self._link.send(effect.peer, effect.message)
        elif isinstance(effect, agreement.Write):
            self._storage.put(effect)
        elif isinstance(effect, agreement.Restore):
            self._storage.put(effect)
            await self._state_inbox.put(effect)
        elif isinstance(effect, _FOR_STATE):
            if isinstance(effect, agreement.RoleChanged):
                self._note_role(effect)
            await self._state_inbox.put(effect)

    def _note_role(self, effect):
        self.role = effect.role
        metrics.count(LEADER_CHANGED)
        LOG.info(
            'role_changed',
            extra={
                'role': effect.role,
                'term': effect.term,
                'leader': effect.leader,
                'ready': effect.ready,
            },
        )

    async def _publish_facts(self, now_ms):
        replica = self._replica
        metrics.gauge(TERM, replica.term)
        metrics.gauge(COMMIT, replica.commit)
        metrics.gauge(LEADS, int(self.role == 'leader'))
        metrics.gauge(LOG_ENTRIES, replica.log.last_index - replica.commit)
        facts = _events.ReplicaFacts(
            replica.term,
            replica.commit,
            [self._member(one, now_ms) for one in replica.voters.members],
            list(replica.newcomers),
        )
        await self._state_inbox.put(facts)

    def _member(self, identity, now_ms):
        replica = self._replica
        name = agreement.name_of(identity)
        progress = replica.followers.get(identity)
        match = progress.match if progress else replica.log.last_index
        heard_ms = max(0, now_ms - progress.alive_ms) if progress else 0
        # A new voter counts once it holds the agreed entry that made it one:
        # before that, losing another voter can lose the quorum.
        holds = replica.voters_committed and match >= replica.voters_index
        role = 'learner'
        if identity in replica.voters.voters:
            role = 'voter' if holds else 'syncing'
        return _events.MemberFacts(identity, name, role, match, heard_ms)
