"""The routing core of one entry."""

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
        now_ms: time now.
        policy: the ``Policy`` that chooses upstreams.
    """

    def __init__(self, entry, incarnation, now_ms, policy=None):
        super().__init__(entry, incarnation, now_ms, policy)
        self._handlers = {
            _events.RequestArrived: self._request_arrived,
            _events.RequestDropped: self._request_dropped,
            _events.ClaimResolved: self._claim_resolved,
            _events.AttemptEnded: self._attempt_ended,
            _events.ConnectionReleased: self._connection_released,
            _events.AnnouncementHeard: self._announcement_heard,
            _events.PeerSent: self._peer_sent,
            _events.ConfigurationGranted: self._configuration_granted,
            _events.StopStarted: self._stop_started,
            _events.TickPassed: self._tick_passed,
        }

    def step(self, event, now_ms):
        """Handles one event; returns the effects."""
        effects = []
        self._handlers[type(event)](event, now_ms, effects)
        return effects

    # Configuration

    def _configuration_granted(self, event, now_ms, effects):
        leased = now_ms < self._lease_until_ms
        if event.version > self._cfg.version:
            cfg = _services.parse_configuration(event.version, event.document)
            self._enter(cfg, now_ms, leased, effects)
        if event.version == self._cfg.version:
            self._lease_until_ms = min(
                event.until_ms, now_ms + _shares.LEASE_BOUND_MS
            )

    def _enter(self, cfg, now_ms, leased, effects):
        skipped = cfg.version != self._cfg.version + 1
        self._cfg = cfg
        self._history.enter(cfg, now_ms, leased)
        self._lending.enter(cfg, self._upstreams.values(), skipped=skipped)
        for name, service in cfg.services.items():
            self._group(name, now_ms).cfg = service
        for group in self._groups.values():
            if group.name not in cfg.services:
                self._refuse_waiting(group, now_ms, effects)
        self._update_shares(now_ms, effects)

    def _refuse_waiting(self, group, now_ms, effects):
        while group.queue:
            self._refuse(group.queue.pop(), 'unknown_path', now_ms, effects)

    def _update_shares(self, now_ms, effects):
        for upstream in self._upstreams.values():
            self._update_share(upstream, now_ms, effects)

    # Time

    def _stop_started(self, event, now_ms, effects):
        self._stopping = True

    def _tick_passed(self, event, now_ms, effects):
        self._notice_freeze(now_ms)
        self._ticked_ms = now_ms
        if self._history.has_past:
            self._history.expire(now_ms)
            self._update_shares(now_ms, effects)
        self._lending.expire(now_ms)
        for upstream in self._upstreams.values():
            self._tick_upstream(upstream, now_ms, effects)
        for group in self._groups.values():
            self._tick_group(group, now_ms, effects)
        self._pass_on(now_ms, effects)
        self._forget_old(now_ms, effects)

    def _tick_upstream(self, upstream, now_ms, effects):
        self._refresh_ready(upstream, now_ms)
        upstream.release_stuck(self._groups[upstream.service].cfg.deadline_ms)
        self._close(upstream.take_expired(now_ms), effects)
        self._close(upstream.take_excess(), effects)

    def _tick_group(self, group, now_ms, effects):
        group.update_median()
        group.shun_outliers(now_ms)
        self._expire_queue(group, now_ms, effects)
        self._serve_queue(group, now_ms, effects)
        spare = 1 + group.in_use // _admission.SPARE_DIVISOR
        unneeded = group.free(now_ms) - spare
        if group.queue:
            unneeded = 0
        for upstream in group.upstreams:
            unneeded -= self._lending.give_back(
                upstream, now_ms, effects, unneeded=unneeded
            )
