"""Admission of requests: queueing, claims, shedding and refusals.

A claim is the exclusive right, granted by control, to run the request with an
idempotency key.
"""

import abc

from fuchsiatrestle.routing import _effects
from fuchsiatrestle.routing import _pending
from fuchsiatrestle.routing import _reasons
from fuchsiatrestle.routing import _state

__all__ = ('IN_USE_PER_SPARE_SLOT', 'AdmissionDecisions')

# An entry tries to keep one slot of a service free, and one more for every
# IN_USE_PER_SPARE_SLOT slots that it uses, so that new requests need not wait.
IN_USE_PER_SPARE_SLOT = 8

# Reason of the refusal by state of a claim that was not granted.
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
        """Sends a request out if a slot is free; returns True if sent."""

    # Requests

    def _handle_request_arrived(self, event, now_ms, effects):
        group = self._groups.get(event.service)
        if now_ms >= self._lease_end_ms:
            self._refuse_arrival(event, 'no_config_lease', effects)
            return
        if group is None or event.service not in self._cfg.services:
            self._refuse_arrival(event, 'unknown_path', effects)
            return
        pending = self._register_request(event, group, now_ms)
        if pending.key and not pending.idempotent:
            pending.phase = _pending.CLAIMING
            effects.append(
                _effects.AskClaim(
                    event.request_id, group.name, event.key, event.fingerprint
                )
            )
            return
        self._dispatch_or_queue(group, pending, now_ms, effects)

    def _register_request(self, event, group, now_ms):
        """Makes the entry responsible for a request.

        The caller's time budget can only shorten the deadline of the service,
        and the caller's priority can only be lower than that of the service.

        Returns:
            The ``PendingRequest``.
        """
        budget_ms = group.cfg.deadline_ms
        if event.budget_ms:
            budget_ms = min(budget_ms, event.budget_ms)
        priority = max(group.cfg.priority, event.priority)
        pending = _pending.PendingRequest(event, priority, now_ms + budget_ms)
        self._requests[event.request_id] = pending
        group.retry_budget.credit_request(group.cfg.retry_percent)
        return pending

    def _dispatch_or_queue(self, group, pending, now_ms, effects):
        """Dispatches a request if none waits before it, or queues it.

        The request is refused if the queue can't take it.
        """
        pending.phase = _pending.QUEUED
        if not group.queue and self._dispatch(group, pending, now_ms, effects):
            return
        reason = self._make_room_in_queue(group, pending, now_ms, effects)
        if reason:
            self._refuse(pending, reason, now_ms, effects)
            return
        group.queue.push(pending)
        self._demand_slots(group, now_ms, effects)

    def _make_room_in_queue(self, group, pending, now_ms, effects):
        """Decides whether a request may wait; may shed another for it.

        Returns:
            The empty text if it may wait, else the reason of its refusal.
        """
        if not any(upstream.is_ready for upstream in group.upstreams):
            return 'no_upstream'
        requests_ahead = group.queue.count_ahead(pending)
        wait_ms = group.estimate_wait_ms(requests_ahead, now_ms)
        if now_ms + wait_ms + group.median_latency_ms > pending.deadline_ms:
            return 'queue_wait'
        if len(group.queue) < group.cfg.max_queue:
            return ''
        if not len(group.queue):
            return 'queue_full'
        last = group.queue.get_last()
        if last.priority <= pending.priority:
            return 'queue_full'
        group.queue.remove(last)
        self._refuse(last, 'shed', now_ms, effects)
        return ''

    def _handle_request_dropped(self, event, now_ms, effects):
        pending = self._requests.pop(event.request_id, None)
        if pending is None:
            return
        group = self._groups[pending.service]
        group.queue.remove(pending)
        if pending.phase == _pending.DISPATCHED:
            self._end_attempt(pending, now_ms, effects, False, event.written)
        may_have_run = pending.may_have_run or event.written
        self._finish_claim(
            pending, 'unknown' if may_have_run else 'not_run', effects
        )
        self._serve_queue(group, now_ms, effects)

    # Claims

    def _handle_claim_resolved(self, event, now_ms, effects):
        pending = self._requests.get(event.request_id)
        if pending is None:
            return
        if event.state == 'granted':
            pending.holds_claim = True
            group = self._groups[pending.service]
            self._dispatch_or_queue(group, pending, now_ms, effects)
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
            # All other reasons say that a request with the key may have run.
            pending.may_have_run = reason not in (
                'claim_mismatch',
                'claim_unavailable',
            )
            self._refuse(pending, reason, now_ms, effects)

    def _finish_claim(self, pending, state, effects, status=0, answer=b''):
        """Has the end of a request recorded if it holds a claim.

        Args:
            pending: the ``PendingRequest``.
            state: ``done``, ``not_run`` or ``unknown``.
            effects: list to which the effect is added.
            status: HTTP status of the answer, if ``done``.
            answer: the answer to store, if ``done``.
        """
        if not pending.holds_claim:
            return
        pending.holds_claim = False
        effects.append(
            _effects.FinishClaim(
                pending.service, pending.key, state, status, answer
            )
        )

    # Refusals

    def _refuse(self, pending, reason, now_ms, effects):
        """Refuses a registered request and finishes its claim.

        ``Retry-After`` is the estimated wait behind the whole queue, in whole
        seconds, plus one.

        Args:
            pending: the ``PendingRequest``.
            reason: key of ``REASONS``.
            now_ms: current time.
            effects: list to which the effects are added.
        """
        self._requests.pop(pending.request_id, None)
        state = 'unknown' if pending.may_have_run else 'not_run'
        self._finish_claim(pending, state, effects)
        _reasons.count_refusal(reason)
        group = self._groups[pending.service]
        wait_ms = group.estimate_wait_ms(len(group.queue), now_ms)
        effects.append(
            _effects.Refuse(
                pending.request_id,
                reason,
                pending.may_have_run,
                1 + int(wait_ms) // 1000,
            )
        )

    def _refuse_arrival(self, event, reason, effects):
        """Refuses a request that has not been registered."""
        _reasons.count_refusal(reason)
        effects.append(_effects.Refuse(event.request_id, reason, False, 1))

    # Queue

    def _serve_queue(self, group, now_ms, effects):
        """Dispatches waiting requests while slots are free.

        A request that has less time left than the median latency of the
        service is refused.  Slots of other entries are demanded for the
        requests that still wait.
        """
        queue = group.queue
        while queue:
            pending = queue.pop()
            if pending.deadline_ms - now_ms < group.median_latency_ms:
                self._refuse(pending, 'deadline_in_queue', now_ms, effects)
            elif not self._dispatch(group, pending, now_ms, effects):
                queue.put_back(pending)
                break
        if queue:
            self._demand_slots(group, now_ms, effects)

    def _demand_slots(self, group, now_ms, effects):
        """Demands slots for the waiting requests and some spare ones."""
        if self._is_stopping or now_ms >= self._lease_end_ms:
            return
        spare_slots = 1 + group.used_slots // IN_USE_PER_SPARE_SLOT
        missing_slots = (
            len(group.queue) + spare_slots - group.free_slots(now_ms)
        )
        if missing_slots > 0:
            self._lending.demand_slots(
                group.name, missing_slots, now_ms, effects
            )

    def _refuse_expired(self, group, now_ms, effects):
        """Refuses waiting requests whose deadline has passed."""
        for pending in group.queue.pop_expired(now_ms):
            self._refuse(pending, 'deadline_in_queue', now_ms, effects)
