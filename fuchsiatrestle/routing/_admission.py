"""Whether a request is admitted, waits, is claimed or is refused."""

import abc

from fuchsiatrestle.routing import _effects
from fuchsiatrestle.routing import _pending
from fuchsiatrestle.routing import _reasons
from fuchsiatrestle.routing import _state

__all__ = ('AdmissionDecisions', 'SPARE_DIVISOR')

SPARE_DIVISOR = 8

_CLAIM_REFUSALS = {
    'held': 'claim_held',
    'unknown': 'claim_unknown',
    'mismatch': 'claim_mismatch',
    'expired': 'claim_expired',
}


class AdmissionDecisions(_state.RoutingState):
    """Admits, queues, sheds and refuses requests; asks for claims."""

    @abc.abstractmethod
    def _dispatch(self, group, pending, now_ms, effects):
        """Sends a request out if a slot is free; returns True if so."""

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
