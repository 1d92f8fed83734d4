"""Decision core for the routing of one entry, which does no I/O."""

from fuchsiatrestle.routing import _admission
from fuchsiatrestle.routing import _events
from fuchsiatrestle.routing import _peers
from fuchsiatrestle.routing import _services
from fuchsiatrestle.routing import _shares

__all__ = ('TICK_MS', 'Core')

TICK_MS = 50


class Core(_peers.PeerDecisions):
    """Decides what happens to each request of one entry process.

    Args:
        entry: name of the entry.
        incarnation: incarnation of this process.
        now_ms: current time.
        policy: the ``Policy`` that chooses upstreams, ``LeastLatency`` if
            None.
    """

    def __init__(self, entry, incarnation, now_ms, policy=None):
        super().__init__(entry, incarnation, now_ms, policy)
        self._handlers = {
            _events.RequestArrived: self._handle_request_arrived,
            _events.RequestDropped: self._handle_request_dropped,
            _events.ClaimResolved: self._handle_claim_resolved,
            _events.AttemptEnded: self._handle_attempt_ended,
            _events.ConnectionReleased: self._handle_connection_released,
            _events.AnnouncementHeard: self._handle_announcement_heard,
            _events.PeerSent: self._handle_peer_sent,
            _events.ConfigurationGranted: self._handle_configuration_granted,
            _events.StopStarted: self._handle_stop_started,
            _events.TickPassed: self._handle_tick_passed,
        }

    def step(self, event, now_ms):
        """Handles one event and returns the effects to carry out.

        Args:
            event: an instance of one of the classes in ``_events``.
            now_ms: current time.

        Returns:
            A list of instances of the classes in ``_effects``, in the order
            in which they have to be carried out.

        Raises:
            errors.InvariantBreach: the state is inconsistent.
            errors.Error: a granted configuration can't be parsed.
        """
        effects = []
        self._handlers[type(event)](event, now_ms, effects)
        return effects

    # Configuration

    def _handle_configuration_granted(self, event, now_ms, effects):
        had_lease = now_ms < self._lease_end_ms
        if event.version > self._cfg.version:
            cfg = _services.parse_configuration(event.version, event.document)
            self._apply_configuration(cfg, now_ms, had_lease, effects)
        if event.version == self._cfg.version:
            self._lease_end_ms = min(
                event.until_ms, now_ms + _shares.MAX_LEASE_MS
            )

    def _apply_configuration(self, cfg, now_ms, had_lease, effects):
        """Adopts a newer configuration and updates all shares.

        Waiting requests of services that are no longer declared are refused.

        Args:
            cfg: the ``Configuration``.
            now_ms: current time.
            had_lease: True if this entry still held its lease on the previous
                version.
            effects: list to which effects are added.
        """
        versions_skipped = cfg.version != self._cfg.version + 1
        self._cfg = cfg
        self._membership.apply_configuration(cfg, now_ms, had_lease)
        self._lending.apply_configuration(
            cfg, self._upstreams.values(), versions_skipped=versions_skipped
        )
        for name, service in cfg.services.items():
            self._get_group(name, now_ms).cfg = service
        for group in self._groups.values():
            if group.name not in cfg.services:
                self._refuse_waiting_requests(group, now_ms, effects)
        self._update_shares(now_ms, effects)

    def _refuse_waiting_requests(self, group, now_ms, effects):
        while group.queue:
            self._refuse(group.queue.pop(), 'unknown_path', now_ms, effects)

    def _update_shares(self, now_ms, effects):
        for upstream in self._upstreams.values():
            self._update_share(upstream, now_ms, effects)

    # Time

    def _handle_stop_started(self, event, now_ms, effects):
        self._is_stopping = True

    def _handle_tick_passed(self, event, now_ms, effects):
        if self._membership.has_past_epochs:
            self._membership.drop_old_epochs(now_ms)
            self._update_shares(now_ms, effects)
        self._lending.expire_loans(now_ms)
        for upstream in self._upstreams.values():
            self._maintain_upstream(upstream, now_ms, effects)
        for group in self._groups.values():
            self._maintain_group(group, now_ms, effects)
        self._forward_announcements(now_ms, effects)
        self._drop_unheard_upstreams(now_ms, effects)

    def _maintain_upstream(self, upstream, now_ms, effects):
        """Updates readiness, slots and connections of one upstream.

        Slots of timed-out drains are freed if their requests must have ended;
        connections that are idle for too long or in excess are closed.
        """
        self._update_readiness(upstream, now_ms)
        upstream.free_slots_of_timed_out_drains(
            self._groups[upstream.service].cfg.deadline_ms
        )
        self._close_connections(
            upstream.remove_expired_connections(now_ms), effects
        )
        self._close_connections(upstream.remove_excess_connections(), effects)

    def _maintain_group(self, group, now_ms, effects):
        """Excludes outliers, serves the queue and returns borrowed slots.

        Borrowed slots are returned before the term of their loan is over only
        if no request waits, and at most as many as there are free slots beyond
        the spare ones (see ``USED_SLOTS_PER_SPARE_SLOT``).  An entry that owns
        no slot keeps no spare one, which may be the only one of its lender.
        """
        group.update_median_latency()
        group.exclude_outliers(now_ms)
        self._refuse_expired_requests(group, now_ms, effects)
        self._serve_queue(group, now_ms, effects)
        spare_slots = (
            1 + group.used_slots // _admission.USED_SLOTS_PER_SPARE_SLOT
        )
        if not any(upstream.owned_slots for upstream in group.upstreams):
            spare_slots = 0
        unneeded_slots = group.count_free_slots(now_ms) - spare_slots
        if group.queue:
            unneeded_slots = 0
        for upstream in group.upstreams:
            unneeded_slots -= self._lending.return_slots(
                upstream, now_ms, effects, unneeded_slots=unneeded_slots
            )
