"""Upstreams, shares and requests of an entry, and queries about them."""

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
    """One upstream as this entry sees it, for operators.

    Attributes:
        announcement: its newest ``messages.Announcement``.
        state: ``ready``, ``leaving``, ``silent`` if the announcement is too
            old to be usable, or ``shunned`` while it is excluded.
        allotted_slots: slots that this entry may use.
        used_slots: slots that this entry uses.
        age_ms: largest possible age of the announcement.
    """

    __slots__ = (
        'age_ms',
        'allotted_slots',
        'announcement',
        'state',
        'used_slots',
    )

    def __init__(
        self, announcement, state, allotted_slots, used_slots, age_ms
    ):
        self.announcement = announcement
        self.state = state
        self.allotted_slots = allotted_slots
        self.used_slots = used_slots
        self.age_ms = age_ms


class RoutingState(core.Core):
    """State behind the routing decisions of one entry process.

    The classes that decide extend it one after the other:
    ``AdmissionDecisions``, ``AttemptDecisions``, ``PeerDecisions``, ``Core``.

    Args:
        entry: name of the entry.
        incarnation: incarnation of this process.
        now_ms: current time.
        policy: the ``Policy`` that chooses upstreams, ``LeastLatency`` if
            None.
    """

    def __init__(self, entry, incarnation, now_ms, policy=None):
        self._entry = entry
        self._policy = policy or _policies.LeastLatency()
        self._cfg = _services.Configuration(0, {}, {})
        self._lease_end_ms = 0
        self._announcement_table = _announcements.AnnouncementTable()
        self._membership = _shares.MembershipHistory(entry)
        self._lending = _lending.Lending(entry, incarnation)
        # ``Upstream`` by address, ``ServiceGroup`` by name of the service, and
        # ``PendingRequest`` by request id.
        self._upstreams = {}
        self._groups = {}
        self._requests = {}
        self._last_connection_id = 0
        self._is_stopping = False
        self._started_ms = now_ms
        # ``sent_ms`` of the last batch received, by name of the entry.
        self._echo_ms_by_peer = {}
        self._batch_sent_ms = now_ms
        self._full_table_sent_ms = now_ms
        self._sent_full_table_count = 0

    # Queries

    @property
    def configuration(self):
        """The ``Configuration`` in force; version 0 if there is none."""
        return self._cfg

    @property
    def queued_count(self):
        """Number of requests that wait for a slot."""
        return sum(len(group.queue) for group in self._groups.values())

    @property
    def in_flight_count(self):
        """Number of requests sent to upstreams and not yet answered."""
        return sum(
            upstream.in_flight_count for upstream in self._upstreams.values()
        )

    @property
    def pending_count(self):
        """Number of requests for which this core is responsible."""
        return len(self._requests)

    def has_config_lease(self, now_ms):
        """Tells whether this entry holds a configuration lease.

        Without one it refuses all new requests.
        """
        return now_ms < self._lease_end_ms

    @property
    def may_use_gained_slots(self):
        """True once most slots gained by a change of members may be used.

        They may be used if at least half of the ready upstreams are known to
        have ended all requests sent under earlier members.
        """
        ready_upstreams = [
            upstream
            for upstream in self._upstreams.values()
            if upstream.is_ready
        ]
        settled_upstreams = [
            upstream
            for upstream in ready_upstreams
            if self._membership.have_past_epochs_ended(upstream)
        ]
        return 2 * len(settled_upstreams) >= len(ready_upstreams)

    def write_refusal_reason(self, request_id, now_ms):
        """Returns why a dispatched request may not be written now.

        To be called after every wait, right before the first byte is written:
        during the wait the lease or slots may have been lost, or the deadline
        may have passed.

        Returns:
            The empty text if it may be written, else the reason why not.
        """
        request = self._requests[request_id]
        if now_ms >= self._lease_end_ms:
            return 'no_config_lease'
        if now_ms >= request.deadline_ms:
            return 'deadline_in_queue'
        self._update_readiness(request.upstream, now_ms)
        if not request.upstream.is_write_allowed(now_ms):
            return 'not_written'
        return ''

    def upstream_statuses(self, now_ms):
        """Returns an ``UpstreamStatus`` for every known upstream."""
        return [
            self._make_status(upstream, now_ms)
            for _, upstream in sorted(self._upstreams.items())
        ]

    def _make_status(self, upstream, now_ms):
        announcement = self._announcement_table.get(upstream.address)
        shown_state = announcement.state
        if not self._announcement_table.is_usable(upstream.address, now_ms):
            shown_state = 'leaving' if shown_state == 'leaving' else 'silent'
        elif upstream.health.is_excluded(now_ms):
            shown_state = 'shunned'
        return UpstreamStatus(
            announcement,
            shown_state,
            upstream.count_allotted_slots(now_ms),
            upstream.used_slots,
            self._announcement_table.age_ms(upstream.address, now_ms),
        )

    # Helpers shared by the classes that extend this one

    def _update_readiness(self, upstream, now_ms):
        upstream.is_ready = self._announcement_table.is_usable(
            upstream.address, now_ms
        )

    def _get_group(self, service, now_ms):
        """Returns the group of a service, creating it if there is none."""
        group = self._groups.get(service)
        if group is None:
            cfg = (
                self._cfg.services.get(service) or _services.UNDECLARED_SERVICE
            )
            group = _group.ServiceGroup(service, cfg, now_ms)
            self._groups[service] = group
        return group

    def _close_connections(self, connection_ids, effects):
        if connection_ids:
            effects.append(_effects.CloseConnections(connection_ids))

    def _update_share(self, upstream, now_ms, effects):
        """Recomputes the slots and connections owned of an upstream.

        Idle connections beyond the number that this entry owns are closed.
        """
        membership = self._membership
        upstream.owned_slots = membership.count_owned_positions(
            upstream, upstream.announced_slots
        )
        upstream.owned_connections = membership.count_owned_positions(
            upstream, upstream.announced_connections
        )
        self._close_connections(upstream.remove_excess_connections(), effects)
