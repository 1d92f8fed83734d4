"""The leader's side of the configuration lease."""

import collections

from fuchsiatrestle import core
from fuchsiatrestle import invariants
from fuchsiatrestle.membership import _events
from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle.state import schema

__all__ = ('ConfigLeaseGranter', 'EntryLease', 'LEASE_MS')

LEASE_MS = 2000
# Covers clocks that run up to 1% apart, and the time to record a grant.
DRIFT_MARGIN_MS = 50
MAX_LEASES = 1024
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
    """What the granter knows of one entry process.

    Attributes:
        entry: name of the entry.
        incarnation: incarnation of the process.
        version: newest version it confirmed to have in force.
        until_ms: when its lease has certainly ended.
        peer: name of its link peer.
    """

    __slots__ = ('entry', 'incarnation', 'peer', 'until_ms', 'version')

    def __init__(self, entry, incarnation, peer):
        self.entry = entry
        self.incarnation = incarnation
        self.peer = peer
        self.version = 0
        self.until_ms = 0


class ConfigLeaseGranter(core.Core):
    """Grants leases while this replica leads; knows who serves what.

    The caller passes a renewal on only once a quorum has confirmed the
    leadership after the renewal arrived, so that every lease ends at most
    ``LEASE_MS`` after a newer leader was elected.  A new granter therefore
    waits that long before it says anything about processes it has not heard.
    """

    def __init__(self):
        self._term = 0
        self._silent_until_ms = 0
        self._version = 0
        self._document = b''
        self._digest = b''
        self._patches = collections.deque(maxlen=MAX_PATCHES)
        self._entries = {}
        self._leases = {}

    @property
    def version(self):
        """Newest agreed version."""
        return self._version

    # Steps

    def step(self, event, now_ms):
        """Handles ``LeaderReady``, ``VersionAgreed`` and ``Received``."""
        if isinstance(event, _events.LeaderReady):
            return self._start_term(event, now_ms)
        if isinstance(event, _events.VersionAgreed):
            return self._take_version(event, now_ms)
        if isinstance(event, _events.Received):
            return self._receive(event, now_ms)
        return []

    def _start_term(self, event, now_ms):
        self._term = event.term
        self._leases.clear()
        self._silent_until_ms = now_ms + LEASE_MS + DRIFT_MARGIN_MS
        return []

    def _take_version(self, event, now_ms):
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
        self._digest = schema.digest(event.document)
        self._entries = event.entries
        return [
            _events.Send(known.peer, self._lease(0, known.version, 0))
            for known in self.running(now_ms)
        ]

    def _lease(self, call_id, known_version, lease_ms, reason='', whole=False):
        """Returns a ``ConfigLease`` with what the entry lacks."""
        lacks = self._version - known_version
        patches = list(self._patches)[-lacks:] if lacks > 0 else []
        follows = known_version and len(patches) == lacks and not whole
        if not follows or sum(map(len, patches)) >= len(self._document):
            patches = []
        document = self._document if lacks > 0 and not patches else b''
        return messages.ConfigLease(
            call_id,
            self._version,
            document,
            lease_ms,
            self._term,
            reason,
            known_version,
            patches,
            self._digest if patches else b'',
        )

    def _receive(self, event, now_ms):
        message = event.message
        if isinstance(message, messages.ReleaseConfigLease):
            return self._release(event.peer, message)
        known = self._leases.get((message.entry, message.incarnation))
        if known is not None:
            known.version = max(known.version, message.version)
        reason = self._denial(message, known, now_ms)
        if reason:
            metrics.count(LEASES_DENIED[reason])
            return [self._answer(event.peer, message, 0, reason)]
        metrics.count(LEASES_GRANTED)
        self._grant(event.peer, message, known, now_ms)
        return [self._answer(event.peer, message, LEASE_MS, '')]

    def _grant(self, peer, message, known, now_ms):
        if known is None:
            self._drop_ended(now_ms)
            known = EntryLease(message.entry, message.incarnation, peer)
            self._leases[message.entry, message.incarnation] = known
        known.peer = peer
        known.version = max(known.version, message.version)
        known.until_ms = now_ms + LEASE_MS + DRIFT_MARGIN_MS

    def _drop_ended(self, now_ms):
        """Bounds the table: one running and few ended leases an entry."""
        if len(self._leases) < MAX_LEASES:
            return
        self._leases = {
            name: lease
            for name, lease in self._leases.items()
            if lease.until_ms > now_ms
        }

    def _denial(self, message, known, now_ms):
        """Returns why no lease is granted, empty if one is."""
        if message.term != self._term:
            return 'new_term'
        if self._entries.get(message.entry) != message.address:
            return 'not_admitted'
        if self._other_may_hold(message, known, now_ms):
            return 'other_process'
        return ''

    def _other_may_hold(self, message, known, now_ms):
        """True if another process of the entry may hold a lease."""
        for lease in self._leases.values():
            if lease is known or lease.entry != message.entry:
                continue
            if lease.until_ms > now_ms:
                return True
        if message.held or (known is not None and known.until_ms > now_ms):
            return False
        return now_ms < self._silent_until_ms

    def _release(self, peer, message):
        known = self._leases.get((message.entry, message.incarnation))
        if known is not None:
            known.until_ms = 0
        return [self._answer(peer, message, 0, 'released')]

    def _answer(self, peer, message, lease_ms, reason):
        lease = self._lease(
            message.call_id,
            getattr(message, 'version', self._version),
            lease_ms,
            reason,
            getattr(message, 'whole', False),
        )
        return _events.Send(peer, lease)

    # Facts

    def running(self, now_ms):
        """Returns the ``EntryLease`` of each lease that may still run."""
        return [
            lease for lease in self._leases.values() if lease.until_ms > now_ms
        ]

    def lagging(self, now_ms):
        """Returns names of leased entries not known on the version."""
        return sorted(
            lease.entry
            for lease in self.running(now_ms)
            if lease.version < self._version
        )

    def is_everywhere(self, now_ms):
        """True if no entry can be serving under an older version."""
        heard = now_ms >= self._silent_until_ms
        return heard and not self.lagging(now_ms)

    def is_ended(self, entry, incarnation, now_ms):
        """True if that process certainly holds no lease."""
        known = self._leases.get((entry, incarnation))
        if known is not None and known.until_ms > now_ms:
            return False
        return now_ms >= self._silent_until_ms
