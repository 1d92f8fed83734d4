"""Which slots and connections of an upstream belong to which entry.

Every slot has one owner, found by rendezvous order over the members of the
configuration version.  A change of members is safe without a message: an
entry uses what it gained only once every lease on an older version, and every
request started under one, must have ended.
"""

import xxhash

__all__ = (
    'ABANDON_HOLD_MS',
    'DRIFT_MS',
    'LEASE_BOUND_MS',
    'ShareHistory',
    'owned_positions',
)

LEASE_BOUND_MS = 2000
# Difference of two clocks' rates over the longest term here.
DRIFT_MS = 200
# Longest time that an abandoned exchange is waited for.
ABANDON_HOLD_MS = 1000


def owned_positions(address, count, members, entry):
    """Returns the positions out of ``count`` that ``entry`` owns.

    Args:
        address: the upstream.
        count: number of slots or connections.
        members: names of the entries.
        entry: the asking entry.
    """
    if entry not in members:
        return frozenset()
    ranked = sorted(members, key=lambda name: _weight(address, name))
    return frozenset(range(ranked.index(entry), count, len(ranked)))


def _weight(address, name):
    return xxhash.xxh64_intdigest(f'{address}\0{name}'.encode())


class _Epoch:
    """A set of members that may still be in use somewhere.

    Attributes:
        members: names, empty if nothing is known of what was before.
        ended_ms: when this entry learned of the next set.
        longest_ms: longest request time by service.
    """

    __slots__ = ('ended_ms', 'longest_ms', 'members')

    def __init__(self, members, ended_ms, longest_ms):
        self.members = members
        self.ended_ms = ended_ms
        self.longest_ms = longest_ms


class ShareHistory:
    """The members now and those of which a request may still be running.

    Args:
        entry: name of this entry.
    """

    def __init__(self, entry):
        self._entry = entry
        self._members = frozenset()
        self._longest_ms = {}
        self._past = []
        self._version = None

    @property
    def has_past(self):
        """True while members of before may still matter."""
        return bool(self._past)

    def enter(self, cfg, now_ms, leased):
        """Takes a granted configuration.

        Args:
            cfg: the ``Configuration``.
            now_ms: time of the grant.
            leased: True if the lease on the version before had not ended.

        Returns:
            True if the members changed.
        """
        if cfg.version == self._version:
            return False
        members = frozenset(cfg.members)
        longest_ms = {
            name: service.deadline_ms for name, service in cfg.services.items()
        }
        kept = self._members if leased else frozenset()
        changed = members != self._members or not leased
        if changed:
            self._past.append(_Epoch(kept, now_ms, self._longest_ms))
        self._version = cfg.version
        self._members = members
        self._longest_ms = _longest_of(longest_ms, self._longest_ms, changed)
        return changed

    def settled_ms(self, service):
        """Returns when all past epochs of ``service`` have ended."""
        return max(
            (self._end_ms(epoch, service) for epoch in self._past), default=0
        )

    def owned(self, service, address, count, now_ms):
        """Returns how many of ``count`` positions may be used now."""
        positions = owned_positions(address, count, self._members, self._entry)
        for epoch in self._past:
            if now_ms < self._end_ms(epoch, service):
                positions &= owned_positions(
                    address, count, epoch.members, self._entry
                )
        return len(positions)

    def expire(self, now_ms):
        """Drops past epochs; returns True if there was one to drop."""
        kept = [
            epoch for epoch in self._past if now_ms < self._last_end_ms(epoch)
        ]
        dropped = len(kept) != len(self._past)
        self._past = kept
        return dropped

    def _end_ms(self, epoch, service):
        longest_ms = max(
            epoch.longest_ms.get(service, 0),
            self._longest_ms.get(service, 0),
        )
        return (
            epoch.ended_ms
            + LEASE_BOUND_MS
            + DRIFT_MS
            + longest_ms
            + ABANDON_HOLD_MS
        )

    def _last_end_ms(self, epoch):
        names = {*epoch.longest_ms, *self._longest_ms, ''}
        return max(self._end_ms(epoch, name) for name in names)


def _longest_of(now, before, changed):
    """Keeps the longer time of a service until the members have changed."""
    if changed:
        return now
    names = {*now, *before}
    return {name: max(now.get(name, 0), before.get(name, 0)) for name in names}
