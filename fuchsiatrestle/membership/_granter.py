"""The leader's side of the configuration lease."""

import collections

from fuchsiatrestle import core
from fuchsiatrestle import invariants
from fuchsiatrestle.membership import _events
from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle.state import schema

__all__ = ('ConfigLeaseGranter', 'EntryLease', 'LEASE_MS')

# Duration of a lease, from the moment the entry sent its request.
LEASE_MS = 2000
# Covers clocks whose rates differ by up to 1%, and the time to record a grant.
DRIFT_MARGIN_MS = 50
# Once this many leases are stored, those that have ended are removed before
# the next one is added.
MAX_LEASES = 1024
# Number of newest patches kept, to be sent in place of the document.
MAX_PATCHES = 64

LEASES_GRANTED = metrics.declare(
    'config_lease.granted', 'Configuration leases granted or renewed.'
)
LEASES_DENIED = {
    reason: metrics.declare(
        f'refused.config_grant_{reason}',
        f'Configuration leases denied with {reason}.',
    )
    for reason in ('new_term', 'not_admitted', 'other_process')
}


class EntryLease:
    """The lease of one entry process, as the granter knows it.

    Attributes:
        entry: name of the entry.
        incarnation: incarnation of the process.
        confirmed_version: newest version that the process has reported to
            have in force.
        valid_until_ms: time by the granter's clock at which the lease has
            ended, also by the entry's clock.
        peer: name of the link peer to send new versions to.
    """

    __slots__ = (
        'confirmed_version',
        'entry',
        'incarnation',
        'peer',
        'valid_until_ms',
    )

    def __init__(self, entry, incarnation, peer):
        self.entry = entry
        self.incarnation = incarnation
        self.peer = peer
        self.confirmed_version = 0
        self.valid_until_ms = 0


class ConfigLeaseGranter(core.Core):
    """Grants leases while this replica leads, and tracks versions in force.

    The caller passes a renewal on only after a quorum, asked after the
    renewal arrived, has confirmed that this replica still leads.  So every
    lease ends at most ``LEASE_MS`` after a newer leader was elected.  A new
    granter does not know which leases earlier leaders granted.  From
    ``LeaderReady`` until ``LEASE_MS`` plus ``DRIFT_MARGIN_MS`` have passed, it
    assumes that any process may hold a lease.
    """

    def __init__(self):
        self._term = 0
        # Until this time a lease granted by an earlier leader may still run.
        self._earlier_leases_until_ms = 0
        self._version = 0
        self._document = b''
        self._digest = b''
        # Patches between consecutive versions up to the newest one.
        self._patches = collections.deque(maxlen=MAX_PATCHES)
        self._address_by_entry = {}
        # ``EntryLease`` by entry name and incarnation.
        self._lease_by_process = {}

    @property
    def version(self):
        """Newest agreed configuration version."""
        return self._version

    # Steps

    def step(self, event, now_ms):
        """Handles ``LeaderReady``, ``VersionAgreed`` and ``MessageReceived``.

        Returns:
            A list of ``SendToPeer`` effects.
        """
        if isinstance(event, _events.LeaderReady):
            return self._start_term(event, now_ms)
        if isinstance(event, _events.VersionAgreed):
            return self._adopt_version(event, now_ms)
        if isinstance(event, _events.MessageReceived):
            return self._handle_message(event, now_ms)
        return []

    def _start_term(self, event, now_ms):
        """Drops the leases of an earlier term of this replica.

        Until all leases of earlier terms have ended, a process of an entry is
        granted a lease only if no other process of that entry can hold a
        lease of an earlier term.
        """
        self._term = event.term
        self._lease_by_process.clear()
        self._earlier_leases_until_ms = now_ms + LEASE_MS + DRIFT_MARGIN_MS
        return []

    def _adopt_version(self, event, now_ms):
        """Stores an agreed version and sends it to all leased entries."""
        invariants.require(
            event.version >= self._version,
            'membership.agreed_version_grows',
            old=self._version,
            new=event.version,
        )
        if event.version == self._version:
            return []
        if event.version != self._version + 1 or not event.patch:
            self._patches.clear()
        else:
            self._patches.append(event.patch)
        self._version = event.version
        self._document = event.document
        self._digest = schema.digest_document(event.document)
        self._address_by_entry = event.addresses
        return [
            _events.SendToPeer(
                lease.peer,
                self._make_lease_message(0, lease.confirmed_version, 0),
            )
            for lease in self.running_leases(now_ms)
        ]

    def _make_lease_message(
        self,
        call_id,
        entry_version,
        lease_ms,
        reason='',
        needs_full_document=False,
    ):
        """Returns a ``ConfigLease`` that brings an entry up to date.

        It carries patches if this granter still keeps all patches that the
        entry lacks and they are together smaller than the document, otherwise
        the document.

        Args:
            call_id: call id of the answered request, 0 to push a new version.
            entry_version: version that the entry has in force, 0 for none.
            lease_ms: duration of the lease, 0 to grant none.
            reason: why no lease is granted, empty if a lease is granted.
            needs_full_document: True to send no patches.
        """
        missing_version_count = self._version - entry_version
        patches = (
            list(self._patches)[-missing_version_count:]
            if missing_version_count > 0
            else []
        )
        can_send_patches = (
            entry_version
            and len(patches) == missing_version_count
            and not needs_full_document
        )
        if not can_send_patches or sum(map(len, patches)) >= len(
            self._document
        ):
            patches = []
        document = (
            self._document
            if missing_version_count > 0 and not patches
            else b''
        )
        return messages.ConfigLease(
            call_id,
            self._version,
            document,
            lease_ms,
            self._term,
            reason,
            entry_version,
            patches,
            self._digest if patches else b'',
        )

    def _handle_message(self, event, now_ms):
        """Answers a ``RenewConfigLease`` or ``ReleaseConfigLease``."""
        message = event.message
        if isinstance(message, messages.ReleaseConfigLease):
            return self._release_lease(event.sender, message)
        lease = self._lease_by_process.get(
            (message.entry, message.incarnation)
        )
        if lease is not None:
            lease.confirmed_version = max(
                lease.confirmed_version, message.version
            )
        reason = self._find_denial_reason(message, lease, now_ms)
        if reason:
            metrics.count(LEASES_DENIED[reason])
            return [self._make_answer(event.sender, message, 0, reason)]
        metrics.count(LEASES_GRANTED)
        self._record_grant(event.sender, message, lease, now_ms)
        return [self._make_answer(event.sender, message, LEASE_MS, '')]

    def _record_grant(self, peer, message, lease, now_ms):
        if lease is None:
            self._remove_ended_leases(now_ms)
            lease = EntryLease(message.entry, message.incarnation, peer)
            self._lease_by_process[message.entry, message.incarnation] = lease
        lease.peer = peer
        lease.confirmed_version = max(lease.confirmed_version, message.version)
        lease.valid_until_ms = now_ms + LEASE_MS + DRIFT_MARGIN_MS

    def _remove_ended_leases(self, now_ms):
        """Removes the ended leases if ``MAX_LEASES`` leases are stored.

        What is left is at most one running lease for each entry.
        """
        if len(self._lease_by_process) < MAX_LEASES:
            return
        self._lease_by_process = {
            process_key: lease
            for process_key, lease in self._lease_by_process.items()
            if lease.valid_until_ms > now_ms
        }

    def _find_denial_reason(self, message, lease, now_ms):
        """Returns why no lease is granted, empty if a lease is granted."""
        if message.term != self._term:
            # The holder does not know this term, so its request may have been
            # sent before this replica led.  Its ``held`` may be out of date:
            # the lease that it reports may have ended since.
            return 'new_term'
        if self._address_by_entry.get(message.entry) != message.address:
            return 'not_admitted'
        if self._other_process_may_hold_lease(message, lease, now_ms):
            return 'other_process'
        return ''

    def _other_process_may_hold_lease(self, message, own_lease, now_ms):
        """Returns True if another process of the entry may hold a lease."""
        for lease in self._lease_by_process.values():
            if lease is own_lease or lease.entry != message.entry:
                continue
            if lease.valid_until_ms > now_ms:
                return True
        if message.held or (
            own_lease is not None and own_lease.valid_until_ms > now_ms
        ):
            # The sender holds the lease, so no other process does.
            return False
        return now_ms < self._earlier_leases_until_ms

    def _release_lease(self, peer, message):
        lease = self._lease_by_process.get(
            (message.entry, message.incarnation)
        )
        if lease is not None:
            lease.valid_until_ms = 0
        return [self._make_answer(peer, message, 0, 'released')]

    def _make_answer(self, peer, message, lease_ms, reason):
        answer = self._make_lease_message(
            message.call_id,
            getattr(message, 'version', self._version),
            lease_ms,
            reason,
            getattr(message, 'whole', False),
        )
        return _events.SendToPeer(peer, answer)

    # Queries

    def running_leases(self, now_ms):
        """Returns the ``EntryLease`` of each lease that may still run."""
        return [
            lease
            for lease in self._lease_by_process.values()
            if lease.valid_until_ms > now_ms
        ]

    def lagging_entries(self, now_ms):
        """Returns the names of leased entries that may serve an older version.

        They have not confirmed yet that the newest version is in force.
        """
        return sorted(
            lease.entry
            for lease in self.running_leases(now_ms)
            if lease.confirmed_version < self._version
        )

    def is_in_force_everywhere(self, now_ms):
        """Returns True if no entry can be serving under an older version."""
        earlier_leases_ended = now_ms >= self._earlier_leases_until_ms
        return earlier_leases_ended and not self.lagging_entries(now_ms)

    def has_no_lease(self, entry, incarnation, now_ms):
        """Returns True if that entry process certainly holds no lease."""
        lease = self._lease_by_process.get((entry, incarnation))
        if lease is not None and lease.valid_until_ms > now_ms:
            return False
        return now_ms >= self._earlier_leases_until_ms
