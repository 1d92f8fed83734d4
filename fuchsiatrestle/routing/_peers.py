"""What upstreams announce and what other entries say."""

from fuchsiatrestle import messages
from fuchsiatrestle.routing import _attempts
from fuchsiatrestle.routing import _effects
from fuchsiatrestle.routing import _upstreams

__all__ = ('PeerDecisions',)

DIGEST_EVERY_MS = 250
# A tick later than this means that the process was frozen; what waited in its
# sockets meanwhile says nothing about the present.
FROZEN_MS = 1000
STALE_INPUT_MS = 300
# An upstream that says so little of itself has only just started.
FIRST_SEQS = 2


class PeerDecisions(_attempts.AttemptDecisions):
    """Keeps the table of upstreams; talks with the other entries."""

    # Announcements and peers

    def _announcement_heard(self, event, now_ms, effects):
        self._notice_freeze(now_ms)
        if now_ms < self._discard_until_ms:
            return
        self._hear(event.announcement, now_ms, effects, first_hand=True)

    def _hear(self, announcement, now_ms, effects, first_hand=False):
        address = announcement.address
        known = self._table.get(address)
        if not self._table.hear(announcement, now_ms, first_hand):
            return
        upstream = self._upstreams.get(address)
        if upstream is not None and upstream.service != announcement.service:
            self._drop_upstream(upstream, effects)
            upstream = None
        if upstream is None:
            upstream = self._add_upstream(announcement, now_ms)
        if known is None and announcement.seq > FIRST_SEQS:
            # It may be working on requests that this process knows not of.
            upstream.unsettle(now_ms)
        self._update(upstream, announcement, now_ms, effects)
        self._refresh_ready(upstream, now_ms)
        if not upstream.ready:
            self._close(upstream.take_idle(), effects)
        self._serve_queue(self._groups[upstream.service], now_ms, effects)

    def _add_upstream(self, announcement, now_ms):
        group = self._group(announcement.service, now_ms)
        upstream = _upstreams.Upstream(announcement.address, group.name)
        upstream.incarnation = announcement.incarnation
        self._upstreams[announcement.address] = upstream
        group.upstreams.append(upstream)
        return upstream

    def _update(self, upstream, announcement, now_ms, effects):
        if upstream.incarnation != announcement.incarnation:
            upstream.renew(announcement.incarnation)
            self._close(upstream.take_idle(), effects)
        upstream.steadiness.hear(now_ms - announcement.age_ms)
        upstream.settle(self._groups[upstream.service].cfg.deadline_ms)
        upstream.slots = announcement.slots
        upstream.connections = announcement.connections
        self._update_share(upstream, now_ms, effects)

    def _drop_upstream(self, upstream, effects):
        del self._upstreams[upstream.address]
        self._lending.forget(upstream)
        self._groups[upstream.service].upstreams.remove(upstream)
        self._close(upstream.take_idle(), effects)

    def _peer_sent(self, event, now_ms, effects):
        message = event.message
        if isinstance(message, messages.AnnouncementBatch):
            # One that is no member any more may still be announced to.
            for announcement in message.items:
                self._hear(announcement, now_ms, effects)
        elif event.peer not in self._cfg.members:
            return
        elif isinstance(message, messages.SlotDemand):
            self._offer(message, now_ms, effects)
        elif isinstance(message, messages.LendSlots):
            self._borrow(event.peer, message, now_ms, effects)
        elif isinstance(message, messages.ReturnSlots):
            upstream = self._lending.take_back(event.peer, message)
            if upstream is not None:
                group = self._groups[upstream.service]
                self._serve_queue(group, now_ms, effects)

    def _offer(self, demand, now_ms, effects):
        group = self._groups.get(demand.service)
        if group is None or group.queue or now_ms >= self._lease_until_ms:
            return
        for upstream in group.upstreams:
            self._refresh_ready(upstream, now_ms)
        self._lending.offer(
            demand, group.upstreams, group.cfg, now_ms, effects
        )

    def _borrow(self, peer, lend, now_ms, effects):
        upstream = self._upstreams.get(lend.address)
        service = self._cfg.services.get(lend.service)
        taken = self._lending.take(
            peer, lend, upstream, service, now_ms, effects
        )
        if taken:
            group = self._groups[upstream.service]
            self._serve_queue(group, now_ms, effects)

    def _notice_freeze(self, now_ms):
        if now_ms - self._ticked_ms > FROZEN_MS:
            self._discard_until_ms = now_ms + STALE_INPUT_MS
            self._ticked_ms = now_ms

    def _pass_on(self, now_ms, effects):
        peers = sorted(set(self._cfg.members) - {self._entry})
        if not peers:
            return
        fresh = self._table.take_fresh(now_ms)
        if fresh:
            batch = messages.AnnouncementBatch(self._entry, fresh)
            effects.extend(_effects.SendToPeer(peer, batch) for peer in peers)
        if now_ms - self._digest_ms >= DIGEST_EVERY_MS:
            self._digest_ms = now_ms
            self._digest_turn += 1
            peer = peers[self._digest_turn % len(peers)]
            batch = messages.AnnouncementBatch(
                self._entry, self._table.digest(now_ms)
            )
            effects.append(_effects.SendToPeer(peer, batch))

    def _forget_old(self, now_ms, effects):
        for address in self._table.forget_old(now_ms):
            upstream = self._upstreams.get(address)
            if upstream is not None:
                self._drop_upstream(upstream, effects)
