"""Admission of requests: queueing, claims, shedding and refusals.

A claim is the exclusive right, granted by control, to run the request with an
idempotency key.
"""

import abc

from fuchsiatrestle.routing import _effects
from fuchsiatrestle.routing import _pending
from fuchsiatrestle.routing import _reasons
from fuchsiatrestle.routing import _state

__all__ = ('USED_SLOTS_PER_SPARE_SLOT', 'AdmissionDecisions')

# An entry tries to keep one slot of a service free, and one more for every
# USED_SLOTS_PER_SPARE_SLOT slots that it uses, so that new requests need not
# wait.
USED_SLOTS_PER_SPARE_SLOT = 8

# Pauses before a claim that another request holds is asked for again.  An
# entry answers its caller before the end of the claimed request is recorded,
# so that a resend may come in between.
HELD_CLAIM_PAUSES_MS = (10, 20, 40, 80, 160)

# Reason for which a request is refused, by the state of its claim.  The states
# ``granted`` and ``done`` are handled separately; any other state that is not
# listed leads to ``claim_unavailable``.
_REFUSAL_REASON_BY_CLAIM_STATE = {
    'held': 'claim_held',
    'unknown': 'claim_unknown',
    'mismatch': 'claim_mismatch',
    'expired': 'claim_expired',
}


class AdmissionDecisions(_state.RoutingState):
    """Admits, queues, sheds and refuses requests; asks for claims."""

    @abc.abstractmethod
    def _dispatch(self, group, request, now_ms, effects):
        """Dispatches a request if a slot is free; returns False if none is."""

    # Requests

    def _handle_request_arrived(self, event, now_ms, effects):
        group = self._groups.get(event.service)
        if now_ms >= self._lease_end_ms:
            self._refuse_arrival(event, 'no_config_lease', effects)
            return
        if group is None or event.service not in self._cfg.services:
            self._refuse_arrival(event, 'unknown_path', effects)
            return
        request = self._register_request(event, group, now_ms)
        if request.idempotency_key and not request.idempotent:
            request.phase = _pending.CLAIMING
            self._ask_claim(request, 0, effects)
            return
        self._dispatch_or_queue(group, request, now_ms, effects)

    def _register_request(self, event, group, now_ms):
        """Creates the state of a new request and credits the retry budget.

        The caller's time budget can only shorten the deadline of the service,
        and the caller's priority can only be lower than that of the service.

        Returns:
            The ``PendingRequest``.
        """
        budget_ms = group.cfg.deadline_ms
        if event.budget_ms:
            budget_ms = min(budget_ms, event.budget_ms)
        priority = max(group.cfg.priority, event.priority)
        request = _pending.PendingRequest(event, priority, now_ms + budget_ms)
        self._requests[event.request_id] = request
        group.retry_budget.credit_request(group.cfg.retry_percent)
        return request

    def _dispatch_or_queue(self, group, request, now_ms, effects):
        """Dispatches a request; queues it if others wait or no slot is free.

        The request is refused if the queue can't take it.
        """
        request.phase = _pending.QUEUED
        if not group.queue and self._dispatch(group, request, now_ms, effects):
            return
        reason = self._make_room_in_queue(group, request, now_ms, effects)
        if reason:
            self._refuse(request, reason, now_ms, effects)
            return
        group.queue.push(request)
        self._demand_slots(group, now_ms, effects)

    def _make_room_in_queue(self, group, request, now_ms, effects):
        """Decides whether a request may wait; may shed another for it.

        Returns:
            The empty text if it may wait, else the reason of its refusal.
        """
        if not any(upstream.is_ready for upstream in group.upstreams):
            return 'no_upstream'
        requests_ahead = group.queue.count_ahead(request)
        wait_ms = group.estimate_wait_ms(requests_ahead, now_ms)
        if now_ms + wait_ms + group.median_latency_ms > request.deadline_ms:
            return 'queue_wait'
        if len(group.queue) < group.cfg.max_queue:
            return ''
        if not len(group.queue):
            return 'queue_full'
        last_request = group.queue.get_last()
        if last_request.priority <= request.priority:
            return 'queue_full'
        group.queue.remove(last_request)
        self._refuse(last_request, 'shed', now_ms, effects)
        return ''

    def _handle_request_dropped(self, event, now_ms, effects):
        request = self._requests.pop(event.request_id, None)
        if request is None:
            return
        group = self._groups[request.service]
        group.queue.remove(request)
        if request.phase == _pending.DISPATCHED:
            self._end_attempt(request, now_ms, effects, False, event.written)
        may_have_run = request.may_have_run or event.written
        self._finish_claim(
            request, 'unknown' if may_have_run else 'not_run', effects
        )
        self._serve_queue(group, now_ms, effects)

    # Claims

    def _ask_claim(self, request, delay_ms, effects):
        effects.append(
            _effects.AskClaim(
                request.request_id,
                request.service,
                request.idempotency_key,
                request.fingerprint,
                delay_ms,
            )
        )

    def _ask_held_claim_again(self, request, now_ms, effects):
        """Asks again for a claim that another request holds.

        Returns:
            False if it was asked for often enough, or if too little time is
            left before the deadline of the request.
        """
        if request.held_count >= len(HELD_CLAIM_PAUSES_MS):
            return False
        pause_ms = HELD_CLAIM_PAUSES_MS[request.held_count]
        if now_ms + pause_ms >= request.deadline_ms:
            return False
        request.held_count += 1
        _reasons.count_retry('claim_held')
        self._ask_claim(request, pause_ms, effects)
        return True

    def _handle_claim_resolved(self, event, now_ms, effects):
        request = self._requests.get(event.request_id)
        if request is None:
            return
        if event.state == 'granted':
            request.holds_claim = True
            group = self._groups[request.service]
            self._dispatch_or_queue(group, request, now_ms, effects)
        elif event.state == 'done' and event.answer:
            del self._requests[event.request_id]
            effects.append(
                _effects.ReplayAnswer(
                    event.request_id, event.status, event.answer
                )
            )
        elif event.state != 'held' or not self._ask_held_claim_again(
            request, now_ms, effects
        ):
            self._refuse_unclaimed(request, event.state, now_ms, effects)

    def _refuse_unclaimed(self, request, claim_state, now_ms, effects):
        """Refuses a request whose claim was not granted."""
        reason = _REFUSAL_REASON_BY_CLAIM_STATE.get(
            claim_state, 'claim_unavailable'
        )
        if claim_state == 'done':
            reason = 'claim_answer_lost'
        # With any reason but ``claim_mismatch`` and ``claim_unavailable`` a
        # request with the same key may have run.
        request.may_have_run = reason not in (
            'claim_mismatch',
            'claim_unavailable',
        )
        self._refuse(request, reason, now_ms, effects)

    def _finish_claim(
        self, request, claim_state, effects, status=0, answer=b''
    ):
        """Tells control how a request ended, if the request holds a claim.

        Args:
            request: the ``PendingRequest``.
            claim_state: ``done``, ``not_run`` or ``unknown``.
            effects: list to which the effect is added.
            status: HTTP status of the answer, if ``done``.
            answer: the answer to store, if ``done``.
        """
        if not request.holds_claim:
            return
        request.holds_claim = False
        effects.append(
            _effects.FinishClaim(
                request.service,
                request.idempotency_key,
                claim_state,
                status,
                answer,
            )
        )

    # Refusals

    def _refuse(self, request, reason, now_ms, effects):
        """Refuses a registered request and finishes its claim.

        ``Retry-After`` is the estimated wait behind the whole queue, in whole
        seconds, plus one.

        Args:
            request: the ``PendingRequest``.
            reason: key of ``REFUSAL_REASON_BY_NAME``.
            now_ms: current time.
            effects: list to which the effects are added.
        """
        self._requests.pop(request.request_id, None)
        claim_state = 'unknown' if request.may_have_run else 'not_run'
        self._finish_claim(request, claim_state, effects)
        _reasons.count_refusal(reason)
        group = self._groups[request.service]
        wait_ms = group.estimate_wait_ms(len(group.queue), now_ms)
        effects.append(
            _effects.Refuse(
                request.request_id,
                reason,
                request.may_have_run,
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
            request = queue.pop()
            if request.deadline_ms - now_ms < group.median_latency_ms:
                self._refuse(request, 'deadline_in_queue', now_ms, effects)
            elif not self._dispatch(group, request, now_ms, effects):
                queue.put_back(request)
                break
        if queue:
            self._demand_slots(group, now_ms, effects)

    def _demand_slots(self, group, now_ms, effects):
        """Demands slots for the waiting requests and some spare ones."""
        if self._is_stopping or now_ms >= self._lease_end_ms:
            return
        spare_slots = 1 + group.used_slots // USED_SLOTS_PER_SPARE_SLOT
        missing_slots = (
            len(group.queue) + spare_slots - group.count_free_slots(now_ms)
        )
        if missing_slots > 0:
            self._lending.demand_slots(
                group.name,
                missing_slots,
                now_ms,
                effects,
                lacks_slots=not group.count_allotted_slots(now_ms),
            )

    def _refuse_expired_requests(self, group, now_ms, effects):
        """Refuses waiting requests whose deadline has passed."""
        for request in group.queue.pop_expired(now_ms):
            self._refuse(request, 'deadline_in_queue', now_ms, effects)
