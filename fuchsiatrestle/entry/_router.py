"""Runs the routing core of an entry and carries its effects out."""

import itertools

import curio

from fuchsiatrestle import daemon
from fuchsiatrestle import routing

__all__ = ('PendingRequest', 'Router')

TICK_INTERVAL_S = routing.TICK_MS / 1000


class PendingRequest:
    """A request that the core knows, and the latest decision about it.

    The router stores each decision of the core here; the task that handles the
    request waits for it.  At most one decision is stored at a time.

    Attributes:
        request_id: number of the request, unique in this process.
    """

    __slots__ = ('_decision', '_decision_event', 'request_id')

    def __init__(self, request_id):
        self.request_id = request_id
        self._decision = None
        self._decision_event = None

    async def put_decision(self, decision):
        """Stores a decision and wakes the task that waits for it, if any."""
        self._decision = decision
        if self._decision_event is not None:
            await self._decision_event.set()

    async def next_decision(self):
        """Waits for a decision, removes it and returns it."""
        if self._decision is None:
            self._decision_event = curio.Event()
            await self._decision_event.wait()
            self._decision_event = None
        decision = self._decision
        self._decision = None
        return decision


class Router:
    """Passes events to the routing core and carries its effects out.

    The core handles an event in a plain call, during which no other task
    runs.  No lock and no queue is therefore needed between a request and the
    core.

    Args:
        core: the ``routing.Core``.
        pool: the ``_connections.ConnectionPool``.
        send_to_peer: function that is called with the name of another entry
            and a message for it.
        claim_batcher: the ``_claims.ClaimBatcher``.

    Attributes:
        core: the ``routing.Core``; only ``step`` may change it.
    """

    def __init__(self, core, pool, send_to_peer, claim_batcher):
        self.core = core
        self._pool = pool
        self._send_to_peer = send_to_peer
        self._claim_batcher = claim_batcher
        self._pending_requests = {}
        self._request_ids = itertools.count(1)

    def open_request(self):
        """Registers a new request and returns its ``PendingRequest``."""
        pending_request = PendingRequest(next(self._request_ids))
        self._pending_requests[pending_request.request_id] = pending_request
        return pending_request

    def close_request(self, pending_request):
        """Forgets a request; later decisions about it are dropped."""
        self._pending_requests.pop(pending_request.request_id, None)

    def write_refusal_reason(self, pending_request):
        """Returns why the first byte must not be sent now, empty if it may be.

        Sending the first byte may start the request at the upstream.  This
        method has to be called after the last ``await`` before that byte,
        because lease, deadline or slot may have been lost during the wait.
        """
        return self.core.write_refusal_reason(
            pending_request.request_id, daemon.monotonic_ms()
        )

    async def resolve_claim(self, event):
        """Passes a ``ClaimResolved`` to the core.

        Returns:
            True if the event was passed to the core; False if the request is
            over, so that the caller has to release a granted claim.
        """
        if event.request_id not in self._pending_requests:
            return False
        await self.step(event)
        return True

    async def step(self, event):
        """Has the core handle an event and carries its effects out."""
        for effect in self.core.step(event, daemon.monotonic_ms()):
            if isinstance(effect, routing.SendToPeer):
                self._send_to_peer(effect.peer, effect.message)
            elif isinstance(effect, routing.CloseConnections):
                self._pool.close_idle_connections(effect.connection_ids)
            elif isinstance(effect, routing.AskClaim):
                await self._claim_batcher.queue_claim(effect)
            elif isinstance(effect, routing.FinishClaim):
                await self._claim_batcher.queue_finish(effect)
            else:
                await self._deliver_decision(effect)

    async def _deliver_decision(self, decision):
        pending_request = self._pending_requests.get(decision.request_id)
        if pending_request is not None:
            await pending_request.put_decision(decision)

    async def tick_forever(self):
        """Sends the core a ``TickPassed`` every ``TICK_INTERVAL_S``."""
        while True:
            await self.step(routing.TickPassed())
            await curio.sleep(TICK_INTERVAL_S)
