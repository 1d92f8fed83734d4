"""Where a request is sent, and what follows from how that ended."""

from fuchsiatrestle.routing import _admission
from fuchsiatrestle.routing import _effects
from fuchsiatrestle.routing import _pending
from fuchsiatrestle.routing import _reasons

__all__ = ('AttemptDecisions',)

MAX_ATTEMPTS = 3
MIN_PROGRESS_MS = 100

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


class AttemptDecisions(_admission.AdmissionDecisions):
    """Sends requests to upstreams, judges how it ended, sends again."""

    # Dispatch

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
