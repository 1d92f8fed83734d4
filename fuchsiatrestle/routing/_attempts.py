"""Attempts: dispatch to an upstream, its outcome, and retries."""

from fuchsiatrestle.routing import _admission
from fuchsiatrestle.routing import _effects
from fuchsiatrestle.routing import _pending
from fuchsiatrestle.routing import _reasons

__all__ = ('AttemptDecisions',)

MAX_ATTEMPTS = 3
MIN_PROGRESS_TIMEOUT_MS = 100

# Reasons that say that no answer came in time.
_TIMEOUT_REASONS = ('upstream_silent', 'deadline_exceeded')
# Reasons for which a single failed attempt excludes an upstream.
_CONNECT_FAILURE_REASONS = ('connect_failed', 'connect_timeout')
# Reasons that say nothing about the upstream's health.  The request was not
# written, so that a retry adds no load and needs no retry budget.
_UNWRITTEN_REASONS = ('stale_connection', 'not_written')
# Limit that replaces MAX_ATTEMPTS if the latest attempt ended for one of these
# reasons.  All attempts of the request count, however they ended.
_MAX_ATTEMPTS_IF_UNWRITTEN = 8

# Reason of the refusal by the reason for which the last attempt ended.
_REFUSAL_REASON_BY_FAILURE = {
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
    """Dispatches requests, evaluates how attempts ended, and retries."""

    # Dispatch

    def _dispatch(self, group, request, now_ms, effects):
        """Dispatches a request if a slot is free; returns False if none is."""
        candidates = group.find_candidates(request, now_ms)
        if not candidates:
            return False
        upstream = self._policy.choose(candidates)
        self._last_connection_id += 1
        connection_id, is_new_connection = upstream.begin_request(
            request.request_id, self._last_connection_id, now_ms
        )
        request.phase = _pending.DISPATCHED
        request.upstream = upstream
        request.connection_id = connection_id
        request.attempt_begun_ms = now_ms
        request.attempt_count += 1
        effects.append(
            _effects.Dispatch(
                request.request_id,
                upstream.address,
                connection_id,
                is_new_connection,
                request.attempt_count,
                self._progress_timeout_ms(group, request, now_ms),
                request.deadline_ms,
            )
        )
        return True

    def _progress_timeout_ms(self, group, request, now_ms):
        """Returns the longest time allowed without a byte of the answer.

        If a retry may follow, at least half of the time until the deadline is
        left for the retry; otherwise the attempt may use all of that time.
        """
        remaining_ms = request.deadline_ms - now_ms
        if not request.idempotent or request.attempt_count >= MAX_ATTEMPTS:
            return remaining_ms
        timeout_ms = group.cfg.progress_timeout_ms
        latency = request.upstream.latency
        if latency.has_enough_samples:
            timeout_ms = min(timeout_ms, 2 * latency.max_usual_ms)
        timeout_ms = max(MIN_PROGRESS_TIMEOUT_MS, timeout_ms)
        return int(min(timeout_ms, max(remaining_ms // 2, 1)))

    # Outcomes

    def _handle_attempt_ended(self, event, now_ms, effects):
        request = self._requests.get(event.request_id)
        if request is None:
            return
        group = self._groups[request.service]
        upstream = request.upstream
        self._end_attempt(
            request, now_ms, effects, event.reusable, event.draining
        )
        if not event.reason:
            group.record_answer(
                upstream, now_ms - request.attempt_begun_ms, now_ms
            )
            del self._requests[event.request_id]
            self._finish_claim(
                request, 'done', effects, event.status, event.answer
            )
        else:
            self._handle_failed_attempt(event, group, request, now_ms, effects)
        self._serve_queue(group, now_ms, effects)

    def _end_attempt(self, request, now_ms, effects, reusable, draining):
        """Frees the slot and connection of the current attempt.

        A reusable connection stays open for another request, unless this
        entry already has as many other open connections to the upstream as it
        owns.

        Args:
            request: the ``PendingRequest``.
            now_ms: current time.
            effects: list to which effects are added.
            reusable: True if the connection can take another request.
            draining: True if the connection is being drained.
        """
        upstream = request.upstream
        connection_id = request.connection_id
        is_connection_kept = upstream.end_request(
            connection_id, now_ms, reusable=reusable, draining=draining
        )
        if reusable and not is_connection_kept:
            effects.append(_effects.CloseConnections([connection_id]))

    def _handle_failed_attempt(self, event, group, request, now_ms, effects):
        """Queues a request again if it may be retried, else ends it.

        Once a byte of the answer has gone to the caller, neither a retry nor
        a refusal is possible.
        """
        self._update_health(event.reason, request, now_ms, effects)
        request.failed_addresses += (request.upstream.address,)
        if event.written and not event.refused:
            request.may_have_run = True
        if event.answer_started:
            del self._requests[request.request_id]
            self._finish_claim(request, 'unknown', effects)
        elif self._may_retry(event, group, request, now_ms):
            _reasons.count_retry(event.reason)
            request.phase = _pending.QUEUED
            group.queue.push(request)
        else:
            self._refuse(
                request,
                _REFUSAL_REASON_BY_FAILURE[event.reason],
                now_ms,
                effects,
            )

    def _update_health(self, reason, request, now_ms, effects):
        """Updates health and latency of an upstream after a failed attempt.

        Args:
            reason: reason for which the attempt ended.
            request: the ``PendingRequest``.
            now_ms: current time.
            effects: list to which the closing of connections is added.
        """
        upstream = request.upstream
        if reason in _TIMEOUT_REASONS:
            elapsed_ms = now_ms - request.attempt_begun_ms
            group = self._groups[request.service]
            if group.is_unusual_silence(upstream, elapsed_ms):
                upstream.health.record_silent_attempt(
                    request.attempt_begun_ms, now_ms
                )
                self._close_connections(
                    upstream.remove_suspect_connections(), effects
                )
            upstream.latency.add_lower_bound(elapsed_ms)
        elif reason not in _UNWRITTEN_REASONS:
            upstream.health.record_failure(
                request.attempt_begun_ms,
                now_ms,
                exclude_at_once=reason in _CONNECT_FAILURE_REASONS,
            )

    def _may_retry(self, event, group, request, now_ms):
        """Decides whether a request is sent again.

        A request that may have run is sent again only if it is idempotent.  A
        retry costs one token of the retry budget, except for a reason in
        ``_UNWRITTEN_REASONS``.

        Args:
            event: the ``AttemptEnded``.
            group: the ``ServiceGroup``.
            request: the ``PendingRequest``.
            now_ms: current time.
        """
        may_have_run = event.written and not event.refused
        if may_have_run and not request.idempotent:
            return False
        if now_ms >= request.deadline_ms or event.reason not in (
            _reasons.RETRY_COUNTERS
        ):
            return False
        if event.reason in _UNWRITTEN_REASONS:
            return request.attempt_count < _MAX_ATTEMPTS_IF_UNWRITTEN
        if request.attempt_count >= MAX_ATTEMPTS:
            return False
        if group.retry_budget.try_spend_token(now_ms):
            return True
        _reasons.count_retry_over_budget()
        return False

    def _handle_connection_released(self, event, now_ms, effects):
        upstream = self._upstreams.get(event.address)
        if upstream is None:
            return
        upstream.end_drain(event.connection_id, now_ms, event.seen_closed)
        self._serve_queue(self._groups[upstream.service], now_ms, effects)
