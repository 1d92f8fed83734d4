"""What an entry knows of upstreams, shares and requests."""

from fuchsiatrestle import core
from fuchsiatrestle.routing import _announcements
from fuchsiatrestle.routing import _effects
from fuchsiatrestle.routing import _group
from fuchsiatrestle.routing import _lending
from fuchsiatrestle.routing import _policies
from fuchsiatrestle.routing import _services
from fuchsiatrestle.routing import _shares

__all__ = ('RoutingState', 'UpstreamStatus')


class UpstreamStatus:
    """One upstream as this entry sees it, for operators."""

    __slots__ = ('age_ms', 'announcement', 'in_use', 'share', 'state')

    def __init__(self, announcement, state, share, in_use, age_ms):
        self.announcement = announcement
        self.state = state
        self.share = share
        self.in_use = in_use
        self.age_ms = age_ms


class RoutingState(core.Core):
    """State of the routing decisions of one entry process, and its facts.

    Args:
        entry: name of the entry.
        incarnation: incarnation of this process.
        now_ms: time now.
        policy: the ``Policy`` that chooses upstreams.
    """

    def __init__(self, entry, incarnation, now_ms, policy=None):
        self._entry = entry
        self._policy = policy or _policies.LeastLatency()
        self._cfg = _services.Configuration(0, {}, {})
        self._lease_until_ms = 0
        self._table = _announcements.AnnouncementTable()
        self._history = _shares.ShareHistory(entry)
        self._lending = _lending.Lending(entry, incarnation)
        self._upstreams = {}
        self._groups = {}
        self._requests = {}
        self._last_connection_id = 0
        self._stopping = False
        self._ticked_ms = now_ms
        self._discard_until_ms = 0
        self._digest_ms = now_ms
        self._digest_turn = 0

    # Facts

    @property
    def configuration(self):
        """The ``Configuration`` in force, version 0 before the first."""
        return self._cfg

    @property
    def queued(self):
        """Requests waiting for a slot."""
        return sum(len(group.queue) for group in self._groups.values())

    @property
    def in_flight(self):
        """Requests sent to upstreams and not yet answered."""
        return sum(up.in_flight for up in self._upstreams.values())

    @property
    def pending(self):
        """Requests this core is responsible for."""
        return len(self._requests)

    def is_leased(self, now_ms):
        """True while callers may be served."""
        return now_ms < self._lease_until_ms

    @property
    def is_settled(self):
        """True once this entry uses its slots of most upstreams."""
        ready = [up for up in self._upstreams.values() if up.ready]
        settled = [up for up in ready if self._history.is_settled(up)]
        return 2 * len(settled) >= len(ready)

    def may_write(self, request_id, now_ms):
        """Says whether a dispatched request may still start.

        To be asked after every wait, right before the first byte.

        Returns:
            The empty text, or the reason why not.
        """
        pending = self._requests[request_id]
        if now_ms >= self._lease_until_ms:
            return 'no_config_lease'
        if now_ms >= pending.deadline_ms:
            return 'deadline_in_queue'
        self._refresh_ready(pending.upstream, now_ms)
        if not pending.upstream.may_write(now_ms):
            return 'not_written'
        return ''

    def upstream_statuses(self, now_ms):
        """Returns an ``UpstreamStatus`` for every known upstream."""
        return [
            self._status(upstream, now_ms)
            for _, upstream in sorted(self._upstreams.items())
        ]

    def _status(self, upstream, now_ms):
        said = self._table.get(upstream.address)
        state = said.state
        if not self._table.is_usable(upstream.address, now_ms):
            state = 'leaving' if state == 'leaving' else 'silent'
        elif upstream.health.is_shunned(now_ms):
            state = 'shunned'
        return UpstreamStatus(
            said,
            state,
            upstream.capacity(now_ms),
            upstream.in_use,
            self._table.age_ms(upstream.address, now_ms),
        )

    # Shared by the decisions

    def _refresh_ready(self, upstream, now_ms):
        upstream.ready = self._table.is_usable(upstream.address, now_ms)

    def _group(self, service, now_ms):
        group = self._groups.get(service)
        if group is None:
            cfg = self._cfg.services.get(service) or _services.UNDECLARED
            group = _group.ServiceGroup(service, cfg, now_ms)
            self._groups[service] = group
        return group

    def _close(self, connection_ids, effects):
        if connection_ids:
            effects.append(_effects.CloseConnections(connection_ids))

    def _update_share(self, upstream, now_ms, effects):
        history = self._history
        upstream.own = history.owned(upstream, upstream.slots)
        upstream.own_connections = history.owned(
            upstream, upstream.connections
        )
        self._close(upstream.take_excess(), effects)
