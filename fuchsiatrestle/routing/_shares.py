"""Which slots and connections of an upstream belong to which entry.

Every slot has one owner, found by rendezvous order over the members of the
configuration version.  A change of members is safe without a message: an
entry uses what it gained only once every lease on an older version, and every
request started under one, must have ended.
"""

import functools

import xxhash

__all__ = (
    'DRIFT_MS',
    'LEASE_BOUND_MS',
    'ShareHistory',
    'owned_positions',
)

LEASE_BOUND_MS = 2000
# Difference of two clocks' rates over the longest term here.
DRIFT_MS = 200
# Epochs older than this are covered by the care for unheard upstreams.
EPOCH_KEPT_MS = 60000
CACHED_POSITIONS = 4096


@functools.lru_cache(maxsize=CACHED_POSITIONS)
def owned_positions(address, count, members, entry):
    """Returns the positions out of ``count`` that ``entry`` owns.

    Args:
        address: the upstream.
        count: number of slots or connections.
        members: names of the entries, a frozenset.
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

    def owned(self, upstream, count):
        """Returns how many of ``count`` positions may be used now.

        Args:
            upstream: the ``Upstream``.
            count: number of its slots or connections.
        """
        address = upstream.address
        positions = owned_positions(address, count, self._members, self._entry)
        for epoch in self._past:
            if not self._is_over(epoch, upstream):
                positions &= owned_positions(
                    address, count, epoch.members, self._entry
                )
        return len(positions)

    def is_settled(self, upstream):
        """True if no past epoch matters for the upstream any more."""
        return all(self._is_over(epoch, upstream) for epoch in self._past)

    def expire(self, now_ms):
        """Drops epochs that no longer matter for any upstream."""
        self._past = [
            epoch
            for epoch in self._past
            if now_ms - epoch.ended_ms < EPOCH_KEPT_MS
        ]

    def _is_over(self, epoch, upstream):
        longest_ms = max(
            epoch.longest_ms.get(upstream.service, 0),
            self._longest_ms.get(upstream.service, 0),
        )
        base_ms = epoch.ended_ms + LEASE_BOUND_MS + DRIFT_MS
        return upstream.steadiness.is_over(base_ms, longest_ms)


def _longest_of(now, before, changed):
    """Keeps the longer time of a service until the members have changed."""
    if changed:
        return now
    names = {*now, *before}
    return {name: max(now.get(name, 0), before.get(name, 0)) for name in names}
