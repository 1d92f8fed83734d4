"""Ownership of the slots and connections of an upstream by entries.

Each slot and connection is a position, from 0 on.  The members of a
configuration version are ranked by a hash of upstream and entry (rendezvous
hashing) and own the positions in turn, so that every entry computes the same
owner without a message.

A change of members needs no message either.  An entry uses the positions that
it gained only once every configuration lease on an older version, and every
request started under such a lease, must have ended.
"""

import functools

import xxhash

__all__ = (
    'CLOCK_DRIFT_MS',
    'MAX_LEASE_MS',
    'MembershipHistory',
    'owned_positions',
)

# Longest time for which an entry uses one grant of a configuration lease.
MAX_LEASE_MS = 2000
# Most that the clocks of two machines drift apart during a lease or a loan.
CLOCK_DRIFT_MS = 200
# Time for which an epoch is kept after its end.  Not less than
# FORGET_UPSTREAM_AFTER_MS: an upstream that was silent for as long has been
# forgotten.  On its return it is suspended until requests sent to it earlier
# must have ended, so that older epochs need no check.
EPOCH_RETENTION_MS = 60000
MAX_CACHED_POSITION_SETS = 4096


@functools.lru_cache(maxsize=MAX_CACHED_POSITION_SETS)
def owned_positions(address, position_count, members, entry):
    """Returns the positions of an upstream that an entry owns.

    Args:
        address: ``IP:port`` of the upstream.
        position_count: number of its slots or connections.
        members: names of the entries, a frozenset.
        entry: name of the entry.

    Returns:
        A frozenset of positions below ``position_count``, empty if the entry
        isn't among the members.
    """
    if entry not in members:
        return frozenset()
    ranked_members = sorted(
        members, key=lambda name: _rendezvous_hash(address, name)
    )
    return frozenset(
        range(ranked_members.index(entry), position_count, len(ranked_members))
    )


def _rendezvous_hash(address, entry_name):
    """Returns the hash by which an upstream ranks an entry."""
    return xxhash.xxh64_intdigest(f'{address}\0{entry_name}'.encode())


class _Epoch:
    """Past period with one set of members; its requests may still run.

    Attributes:
        members: names of the entries, empty if the members at the time are
            not known.
        end_ms: time at which this entry learned of the next members.
        longest_request_ms_by_service: longest time of a request, by service.
    """

    __slots__ = ('end_ms', 'longest_request_ms_by_service', 'members')

    def __init__(self, members, end_ms, longest_request_ms_by_service):
        self.members = members
        self.end_ms = end_ms
        self.longest_request_ms_by_service = longest_request_ms_by_service


class MembershipHistory:
    """Current members, and earlier ones whose requests may still run.

    Args:
        entry: name of this entry.
    """

    def __init__(self, entry):
        self._entry = entry
        self._members = frozenset()
        self._longest_request_ms_by_service = {}
        self._past_epochs = []
        self._version = None

    @property
    def has_past_epochs(self):
        """True while requests under earlier members may be running."""
        return bool(self._past_epochs)

    def apply_configuration(self, cfg, now_ms, had_lease):
        """Adopts the members and deadlines of a granted configuration.

        Args:
            cfg: the ``Configuration``.
            now_ms: time of the grant.
            had_lease: True if this entry still held its lease on the previous
                version; if not, other members may have been in force
                meanwhile.

        Returns:
            True if the members changed or may have changed.
        """
        if cfg.version == self._version:
            return False
        members = frozenset(cfg.members)
        longest_request_ms_by_service = {
            name: service.deadline_ms for name, service in cfg.services.items()
        }
        old_members = self._members if had_lease else frozenset()
        members_changed = members != self._members or not had_lease
        if members_changed:
            self._past_epochs.append(
                _Epoch(
                    old_members, now_ms, self._longest_request_ms_by_service
                )
            )
        self._version = cfg.version
        self._members = members
        self._longest_request_ms_by_service = _merge_longest_request_ms(
            longest_request_ms_by_service,
            self._longest_request_ms_by_service,
            members_changed,
        )
        return members_changed

    def count_owned_positions(self, upstream, position_count):
        """Counts the positions of an upstream that this entry may use now.

        These are the positions that it owns under the current members and
        under the members of each past epoch that may still have requests.

        Args:
            upstream: the ``Upstream``.
            position_count: number of its slots or connections.
        """
        address = upstream.address
        positions = owned_positions(
            address, position_count, self._members, self._entry
        )
        for epoch in self._past_epochs:
            if not self._have_requests_ended(epoch, upstream):
                positions &= owned_positions(
                    address, position_count, epoch.members, self._entry
                )
        return len(positions)

    def have_past_epochs_ended(self, upstream):
        """Tells whether an upstream has ended all past epochs' requests."""
        return all(
            self._have_requests_ended(epoch, upstream)
            for epoch in self._past_epochs
        )

    def drop_old_epochs(self, now_ms):
        """Drops epochs that ended at least ``EPOCH_RETENTION_MS`` ago."""
        self._past_epochs = [
            epoch
            for epoch in self._past_epochs
            if now_ms - epoch.end_ms < EPOCH_RETENTION_MS
        ]

    def _have_requests_ended(self, epoch, upstream):
        """Tells whether an upstream must have ended the epoch's requests."""
        longest_request_ms = max(
            epoch.longest_request_ms_by_service.get(upstream.service, 0),
            self._longest_request_ms_by_service.get(upstream.service, 0),
        )
        last_start_ms = epoch.end_ms + MAX_LEASE_MS + CLOCK_DRIFT_MS
        return upstream.continuity.have_requests_ended(
            last_start_ms, longest_request_ms
        )


def _merge_longest_request_ms(
    current_ms_by_service, previous_ms_by_service, members_changed
):
    """Returns the longest time of a request by service, in milliseconds.

    Requests started under an earlier version with the same members may still
    use the deadline of that version, so the longer one counts.

    Args:
        current_ms_by_service: deadline in milliseconds by service.
        previous_ms_by_service: the merged result for the version before.
        members_changed: True if the members differ from the version before.
    """
    if members_changed:
        return current_ms_by_service
    service_names = {*current_ms_by_service, *previous_ms_by_service}
    return {
        name: max(
            current_ms_by_service.get(name, 0),
            previous_ms_by_service.get(name, 0),
        )
        for name in service_names
    }
