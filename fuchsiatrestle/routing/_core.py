"""The routing core of one entry."""

from fuchsiatrestle import core
from fuchsiatrestle import messages
from fuchsiatrestle.routing import _announcements
from fuchsiatrestle.routing import _effects
from fuchsiatrestle.routing import _events
from fuchsiatrestle.routing import _group
from fuchsiatrestle.routing import _lending
from fuchsiatrestle.routing import _pending
from fuchsiatrestle.routing import _policies
from fuchsiatrestle.routing import _reasons
from fuchsiatrestle.routing import _services
from fuchsiatrestle.routing import _shares
from fuchsiatrestle.routing import _upstreams

__all__ = ('TICK_MS', 'Core', 'UpstreamStatus')

TICK_MS = 50
DIGEST_EVERY_MS = 250
# A tick later than this means that the process was frozen; what waited in its
# sockets meanwhile says nothing about the present.
FROZEN_MS = 1000
STALE_INPUT_MS = 300
# An upstream that says so little of itself has only just started.
FIRST_SEQS = 2
MAX_ATTEMPTS = 3
MIN_PROGRESS_MS = 100
SPARE_DIVISOR = 8

_SILENT = ('upstream_silent', 'deadline_exceeded')
_UNREACHED = ('connect_failed', 'connect_timeout')
_FREE_RETRIES = ('stale_connection', 'not_written')
_MAX_FREE_RETRIES = 8

# Reason given to the caller for the reason of the last attempt.
_REFUSALS = {
    'connect_failed': 'connect_failed',
    'connect_timeout': 'connect_failed',
    'stale_connection': 'connect_failed',
    'not_written': 'no_upstream',
    'upstream_silent': 'upstream_silent',
    'deadline_exceeded': 'deadline_exceeded',
    'connection_lost': 'connection_lost',
    'bad_response': 'bad_response',
    'upstream_refused': 'upstream_refused',
}

_CLAIM_REFUSALS = {
    'held': 'claim_held',
    'unknown': 'claim_unknown',
    'mismatch': 'claim_mismatch',
    'expired': 'claim_expired',
}


class UpstreamStatus:
    """One upstream as this entry sees it, for operators."""

    __slots__ = ('age_ms', 'announcement', 'in_use', 'share', 'state')

    def __init__(self, announcement, state, share, in_use, age_ms):
        self.announcement = announcement
        self.state = state
        self.share = share
        self.in_use = in_use
        self.age_ms = age_ms


class Core(core.Core):
    """Decides what happens to each request of one entry process.

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

    # Requests

    def _request_arrived(self, event, now_ms, effects):
        group = self._groups.get(event.service)
        if now_ms >= self._lease_until_ms:
            self._refuse_event(event, 'no_config_lease', effects)
            return
        if group is None or event.service not in self._cfg.services:
            self._refuse_event(event, 'unknown_path', effects)
            return
        pending = self._admit(event, group, now_ms)
        if pending.key and not pending.idempotent:
            pending.phase = _pending.CLAIMING
            effects.append(
                _effects.AskClaim(
                    event.request_id, group.name, event.key, event.fingerprint
                )
            )
            return
        self._enqueue(group, pending, now_ms, effects)

    def _admit(self, event, group, now_ms):
        budget_ms = group.cfg.deadline_ms
        if event.budget_ms:
            budget_ms = min(budget_ms, event.budget_ms)
        priority = max(group.cfg.priority, event.priority)
        pending = _pending.Pending(event, priority, now_ms + budget_ms)
        self._requests[event.request_id] = pending
        group.budget.earn(group.cfg.retry_percent)
        return pending

    def _enqueue(self, group, pending, now_ms, effects):
        pending.phase = _pending.QUEUED
        if not group.queue and self._dispatch(group, pending, now_ms, effects):
            return
        reason = self._admission_refusal(group, pending, now_ms, effects)
        if reason:
            self._refuse(pending, reason, now_ms, effects)
            return
        group.queue.push(pending)
        self._ask_for_slots(group, now_ms, effects)

    def _admission_refusal(self, group, pending, now_ms, effects):
        """Returns why a request may not wait; may shed another instead."""
        if not any(upstream.ready for upstream in group.upstreams):
            return 'no_upstream'
        ahead = group.queue.ahead_of(pending)
        wait_ms = group.wait_ms(ahead, now_ms)
        if now_ms + wait_ms + group.median_ms > pending.deadline_ms:
            return 'queue_wait'
        if len(group.queue) < group.cfg.max_queue:
            return ''
        if not len(group.queue):
            return 'queue_full'
        last = group.queue.last()
        if last.priority <= pending.priority:
            return 'queue_full'
        group.queue.remove(last)
        self._refuse(last, 'shed', now_ms, effects)
        return ''

    def _dispatch(self, group, pending, now_ms, effects):
        """Sends a request out if a slot is free; returns True if so."""
        candidates = group.candidates(pending, now_ms)
        if not candidates:
            return False
        upstream = self._policy.choose(candidates)
        self._last_connection_id += 1
        connection_id, fresh = upstream.begin(
            pending.request_id, self._last_connection_id, now_ms
        )
        pending.phase = _pending.DISPATCHED
        pending.upstream = upstream
        pending.connection_id = connection_id
        pending.begun_ms = now_ms
        pending.attempts += 1
        effects.append(
            _effects.Dispatch(
                pending.request_id,
                upstream.address,
                connection_id,
                fresh,
                pending.attempts,
                self._progress_ms(group, pending, now_ms),
                pending.deadline_ms,
            )
        )
        return True

    def _progress_ms(self, group, pending, now_ms):
        """Returns how long the upstream may stay silent."""
        left_ms = pending.deadline_ms - now_ms
        if not pending.idempotent or pending.attempts >= MAX_ATTEMPTS:
            return left_ms
        usual_ms = group.cfg.progress_timeout_ms
        estimate = pending.upstream.latency
        if estimate.known:
            usual_ms = min(usual_ms, 2 * estimate.unusual_ms)
        usual_ms = max(MIN_PROGRESS_MS, usual_ms)
        return int(min(usual_ms, max(left_ms // 2, 1)))

    def _request_dropped(self, event, now_ms, effects):
        pending = self._requests.pop(event.request_id, None)
        if pending is None:
            return
        group = self._groups[pending.service]
        group.queue.remove(pending)
        if pending.phase == _pending.DISPATCHED:
            self._end_use(pending, now_ms, effects, False, event.written)
        written = pending.written or event.written
        self._finish_claim(
            pending, 'unknown' if written else 'not_run', effects
        )
        self._serve_queue(group, now_ms, effects)

    # Attempts

    def _attempt_ended(self, event, now_ms, effects):
        pending = self._requests.get(event.request_id)
        if pending is None:
            return
        group = self._groups[pending.service]
        upstream = pending.upstream
        self._end_use(pending, now_ms, effects, event.reusable, event.draining)
        if not event.reason:
            group.take_latency(upstream, now_ms - pending.begun_ms, now_ms)
            del self._requests[event.request_id]
            self._finish_claim(
                pending, 'done', effects, event.status, event.answer
            )
        else:
            self._attempt_failed(event, group, pending, now_ms, effects)
        self._serve_queue(group, now_ms, effects)

    def _end_use(self, pending, now_ms, effects, reusable, draining):
        upstream = pending.upstream
        connection_id = pending.connection_id
        kept = upstream.end(
            connection_id, now_ms, reusable=reusable, draining=draining
        )
        if reusable and not kept:
            effects.append(_effects.CloseConnections([connection_id]))

    def _attempt_failed(self, event, group, pending, now_ms, effects):
        self._judge(event.reason, pending, now_ms, effects)
        pending.avoided += (pending.upstream.address,)
        if event.written and not event.refused:
            pending.written = True
        if event.answer_started:
            del self._requests[pending.request_id]
            self._finish_claim(pending, 'unknown', effects)
        elif self._may_retry(event, group, pending, now_ms):
            _reasons.count_retry(event.reason)
            pending.phase = _pending.QUEUED
            group.queue.push(pending)
        else:
            self._refuse(pending, _REFUSALS[event.reason], now_ms, effects)

    def _judge(self, reason, pending, now_ms, effects):
        """Draws conclusions about an upstream from a failed attempt."""
        upstream = pending.upstream
        if reason in _SILENT:
            elapsed_ms = now_ms - pending.begun_ms
            group = self._groups[pending.service]
            if group.is_silence(upstream, elapsed_ms):
                upstream.health.distrust(pending.begun_ms, now_ms)
                self._close(upstream.take_distrusted(), effects)
            upstream.latency.exceed(elapsed_ms)
        elif reason not in _FREE_RETRIES:
            upstream.health.fail(
                pending.begun_ms, now_ms, at_once=reason in _UNREACHED
            )

    def _may_retry(self, event, group, pending, now_ms):
        runs_again = event.written and not event.refused
        if runs_again and not pending.idempotent:
            return False
        if now_ms >= pending.deadline_ms or event.reason not in (
            _reasons.RETRY_REASONS
        ):
            return False
        if event.reason in _FREE_RETRIES:
            return pending.attempts < _MAX_FREE_RETRIES
        if pending.attempts >= MAX_ATTEMPTS:
            return False
        if group.budget.spend(now_ms):
            return True
        _reasons.count_budget_empty()
        return False

    def _connection_released(self, event, now_ms, effects):
        upstream = self._upstreams.get(event.address)
        if upstream is None:
            return
        upstream.release(event.connection_id, now_ms, event.seen_closed)
        self._serve_queue(self._groups[upstream.service], now_ms, effects)

    # Claims

    def _claim_resolved(self, event, now_ms, effects):
        pending = self._requests.get(event.request_id)
        if pending is None:
            return
        if event.state == 'granted':
            pending.claimed = True
            group = self._groups[pending.service]
            self._enqueue(group, pending, now_ms, effects)
        elif event.state == 'done' and event.answer:
            del self._requests[event.request_id]
            effects.append(
                _effects.ReplayAnswer(
                    event.request_id, event.status, event.answer
                )
            )
        else:
            reason = _CLAIM_REFUSALS.get(event.state, 'claim_unavailable')
            if event.state == 'done':
                reason = 'claim_answer_lost'
            pending.written = reason not in (
                'claim_mismatch',
                'claim_unavailable',
            )
            self._refuse(pending, reason, now_ms, effects)

    def _finish_claim(self, pending, state, effects, status=0, answer=b''):
        if not pending.claimed:
            return
        pending.claimed = False
        effects.append(
            _effects.FinishClaim(
                pending.service, pending.key, state, status, answer
            )
        )

    # Refusals

    def _refuse(self, pending, reason, now_ms, effects):
        self._requests.pop(pending.request_id, None)
        state = 'unknown' if pending.written else 'not_run'
        self._finish_claim(pending, state, effects)
        _reasons.count_refusal(reason)
        group = self._groups[pending.service]
        wait_ms = group.wait_ms(len(group.queue), now_ms)
        effects.append(
            _effects.Refuse(
                pending.request_id,
                reason,
                pending.written,
                1 + int(wait_ms) // 1000,
            )
        )

    def _refuse_event(self, event, reason, effects):
        _reasons.count_refusal(reason)
        effects.append(_effects.Refuse(event.request_id, reason, False, 1))

    # Queue

    def _serve_queue(self, group, now_ms, effects):
        queue = group.queue
        while queue:
            pending = queue.pop()
            if pending.deadline_ms - now_ms < group.median_ms:
                self._refuse(pending, 'deadline_in_queue', now_ms, effects)
            elif not self._dispatch(group, pending, now_ms, effects):
                queue.push_back(pending)
                break
        if queue:
            self._ask_for_slots(group, now_ms, effects)

    def _ask_for_slots(self, group, now_ms, effects):
        if self._stopping or now_ms >= self._lease_until_ms:
            return
        spare = 1 + group.in_use // SPARE_DIVISOR
        wanted = len(group.queue) + spare - group.free(now_ms)
        if wanted > 0:
            self._lending.demand(group.name, wanted, now_ms, effects)

    def _expire_queue(self, group, now_ms, effects):
        for pending in group.queue.pop_expired(now_ms):
            self._refuse(pending, 'deadline_in_queue', now_ms, effects)

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

    def _refresh_ready(self, upstream, now_ms):
        upstream.ready = self._table.is_usable(upstream.address, now_ms)

    def _group(self, service, now_ms):
        group = self._groups.get(service)
        if group is None:
            cfg = self._cfg.services.get(service) or _services.UNDECLARED
            group = _group.ServiceGroup(service, cfg, now_ms)
            self._groups[service] = group
        return group

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

    def _update_share(self, upstream, now_ms, effects):
        history = self._history
        upstream.own = history.owned(upstream, upstream.slots)
        upstream.own_connections = history.owned(
            upstream, upstream.connections
        )
        self._close(upstream.take_excess(), effects)

    def _close(self, connection_ids, effects):
        if connection_ids:
            effects.append(_effects.CloseConnections(connection_ids))

    # Time

    def _notice_freeze(self, now_ms):
        if now_ms - self._ticked_ms > FROZEN_MS:
            self._discard_until_ms = now_ms + STALE_INPUT_MS
            self._ticked_ms = now_ms

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
        spare = 1 + group.in_use // SPARE_DIVISOR
        unneeded = group.free(now_ms) - spare
        if group.queue:
            unneeded = 0
        for upstream in group.upstreams:
            unneeded -= self._lending.give_back(
                upstream, now_ms, effects, unneeded=unneeded
            )

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
