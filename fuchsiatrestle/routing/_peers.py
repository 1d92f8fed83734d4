"""Handling of announcements by upstreams and of messages by other entries."""

from fuchsiatrestle import messages
from fuchsiatrestle.routing import _attempts
from fuchsiatrestle.routing import _effects
from fuchsiatrestle.routing import _upstreams

__all__ = ('PeerDecisions',)

# Interval at which the full table, all recent announcements, is sent to one of
# the other entries, in turn.
FULL_TABLE_INTERVAL_MS = 250
# Longest time between two batches to the same entry.
BATCH_INTERVAL_MS = 200
# An upstream whose announcement has a sequence number up to this has only just
# started.
MAX_SEQ_OF_NEW_PROCESS = 2


class PeerDecisions(_attempts.AttemptDecisions):
    """Keeps track of the upstreams; exchanges slots with other entries."""

    # Announcements

    def _handle_announcement_heard(self, event, now_ms, effects):
        self._process_announcement(
            event.announcement,
            event.received_ms,
            now_ms,
            effects,
            is_from_upstream=True,
        )

    def _process_announcement(
        self,
        announcement,
        received_ms,
        now_ms,
        effects,
        is_from_upstream=False,
    ):
        """Updates or adds an upstream if its announcement is newer."""
        address = announcement.address
        previous_announcement = self._announcement_table.get(address)
        if not self._announcement_table.add(
            announcement, received_ms, is_from_upstream
        ):
            return
        upstream = self._upstreams.get(address)
        if upstream is not None and upstream.service != announcement.service:
            self._drop_upstream(upstream, effects)
            upstream = None
        if upstream is None:
            upstream = self._add_upstream(announcement, now_ms)
        if (
            previous_announcement is None
            and announcement.seq > MAX_SEQ_OF_NEW_PROCESS
        ):
            # The upstream may be working on requests that this process
            # doesn't know of: they were sent by an earlier process of this
            # entry, or before the upstream was forgotten.
            upstream.suspend(now_ms)
        self._update_upstream(
            upstream, announcement, received_ms, now_ms, effects
        )
        self._update_readiness(upstream, now_ms)
        if not upstream.is_ready:
            self._close_connections(
                upstream.remove_idle_connections(), effects
            )
        self._serve_queue(self._groups[upstream.service], now_ms, effects)

    def _add_upstream(self, announcement, now_ms):
        group = self._get_group(announcement.service, now_ms)
        upstream = _upstreams.Upstream(announcement.address, group.name)
        upstream.incarnation = announcement.incarnation
        self._upstreams[announcement.address] = upstream
        group.upstreams.append(upstream)
        return upstream

    def _update_upstream(
        self, upstream, announcement, received_ms, now_ms, effects
    ):
        """Applies a new announcement to an upstream and its share."""
        if upstream.incarnation != announcement.incarnation:
            upstream.reset_for_process(announcement.incarnation)
            self._close_connections(
                upstream.remove_idle_connections(), effects
            )
        upstream.continuity.record_announcement(received_ms)
        upstream.resume_if_requests_ended(
            self._groups[upstream.service].cfg.deadline_ms
        )
        upstream.announced_slots = announcement.slots
        upstream.announced_connections = announcement.connections
        self._update_share(upstream, now_ms, effects)

    def _drop_upstream(self, upstream, effects):
        """Removes an upstream, ends its loans and closes idle connections."""
        del self._upstreams[upstream.address]
        self._lending.drop_loans(upstream)
        self._groups[upstream.service].upstreams.remove(upstream)
        self._close_connections(upstream.remove_idle_connections(), effects)

    # Messages of other entries

    def _handle_peer_sent(self, event, now_ms, effects):
        message = event.message
        if isinstance(message, messages.AnnouncementBatch):
            self._handle_batch(event.peer, message, now_ms, effects)
        elif event.peer not in self._cfg.members:
            return
        elif isinstance(message, messages.SlotDemand):
            self._handle_slot_demand(message, now_ms, effects)
        elif isinstance(message, messages.LendSlots):
            self._handle_loan(event.peer, message, now_ms, effects)
        elif isinstance(message, messages.ReturnSlots):
            upstream = self._lending.accept_returned_slots(event.peer, message)
            if upstream is not None:
                group = self._groups[upstream.service]
                self._serve_queue(group, now_ms, effects)

    def _handle_batch(self, peer, batch, now_ms, effects):
        """Handles the announcements of a batch and keeps its time to echo it.

        Upstreams may still send their announcements to an entry that is no
        longer a member, so its batches are accepted and answered with an echo.
        """
        self._echo_ms_by_peer[peer] = batch.sent_ms
        sent_after_ms = self._find_earliest_sending(batch, now_ms)
        for announcement in batch.items:
            received_ms = sent_after_ms - max(0, announcement.age_ms)
            self._process_announcement(
                announcement, received_ms, now_ms, effects
            )
        if batch.items and peer not in self._cfg.members:
            self._send_batch(peer, [], now_ms, effects)

    def _find_earliest_sending(self, batch, now_ms):
        """Returns the earliest time at which a batch may have been sent.

        It was sent after the batch of this entry that it echoes, and after
        this process was started.
        """
        if not batch.sent_ms:
            return now_ms
        if self._started_ms <= batch.echoed_ms <= now_ms:
            return batch.echoed_ms
        return self._started_ms

    def _handle_slot_demand(self, demand, now_ms, effects):
        """Lends idle slots to another entry.

        None are lent while requests wait here, or once the configuration lease
        is over.
        """
        group = self._groups.get(demand.service)
        if group is None or group.queue or now_ms >= self._lease_end_ms:
            return
        for upstream in group.upstreams:
            self._update_readiness(upstream, now_ms)
        self._lending.lend_slots(
            demand, group.upstreams, group.cfg, now_ms, effects
        )

    def _handle_loan(self, peer, message, now_ms, effects):
        """Accepts, returns or drops a loan, see ``Lending.accept_loan``.

        If it is accepted, waiting requests are dispatched at once.
        """
        upstream = self._upstreams.get(message.address)
        service = self._cfg.services.get(message.service)
        is_accepted = self._lending.accept_loan(
            peer, message, upstream, service, now_ms, effects
        )
        if is_accepted:
            group = self._groups[upstream.service]
            self._serve_queue(group, now_ms, effects)

    # Upkeep

    def _forward_announcements(self, now_ms, effects):
        """Sends new announcements to all entries, all recent ones to one.

        A batch is sent at least every ``BATCH_INTERVAL_MS``, as its echo shows
        the other entry how old the batch may be.  The full table of recent
        announcements, sent to one entry in turn every
        ``FULL_TABLE_INTERVAL_MS``, makes up for lost messages and informs an
        entry that has only just started.
        """
        peers = sorted(set(self._cfg.members) - {self._entry})
        if not peers:
            return
        announcements = self._announcement_table.pop_unforwarded(now_ms)
        if announcements or now_ms - self._batch_sent_ms >= BATCH_INTERVAL_MS:
            self._batch_sent_ms = now_ms
            for peer in peers:
                self._send_batch(peer, announcements, now_ms, effects)
        if now_ms - self._full_table_sent_ms >= FULL_TABLE_INTERVAL_MS:
            self._full_table_sent_ms = now_ms
            self._sent_full_table_count += 1
            peer = peers[self._sent_full_table_count % len(peers)]
            announcements = self._announcement_table.list_recent(now_ms)
            self._send_batch(peer, announcements, now_ms, effects)

    def _send_batch(self, peer, announcements, now_ms, effects):
        batch = messages.AnnouncementBatch(
            self._entry,
            announcements,
            now_ms,
            self._echo_ms_by_peer.get(peer, 0),
        )
        effects.append(_effects.SendToPeer(peer, batch))

    def _drop_unheard_upstreams(self, now_ms, effects):
        for address in self._announcement_table.drop_old_announcements(now_ms):
            upstream = self._upstreams.get(address)
            if upstream is not None:
                self._drop_upstream(upstream, effects)
