"""Owner of the routing core: carries its effects out."""

import itertools

import curio

from fuchsiatrestle import daemon
from fuchsiatrestle import routing

__all__ = ('Router', 'Ticket')

TICK_S = routing.TICK_MS / 1000


class Ticket:
    """A request in the core's care and the decision made last about it."""

    __slots__ = ('_decision', '_waiter', 'request_id')

    def __init__(self, request_id):
        self.request_id = request_id
        self._decision = None
        self._waiter = None

    async def put(self, decision):
        """Leaves a decision for the task of the request."""
        self._decision = decision
        if self._waiter is not None:
            await self._waiter.set()

    async def next(self):
        """Returns the next decision, once there is one."""
        if self._decision is None:
            self._waiter = curio.Event()
            await self._waiter.wait()
            self._waiter = None
        decision = self._decision
        self._decision = None
        return decision


class Router:
    """Steps the core and delivers what it decides.

    A step is a plain call: it is complete before another task runs, so that
    no lock and no further queue is needed between a request and the core.

    Args:
        core: the ``routing.Core``.
        pool: the ``_connections.Pool``.
        send: called with the name of a peer and a message.
        claims: the ``_claims.ClaimsDesk``.
    """

    def __init__(self, core, pool, send, claims):
        self.core = core
        self._pool = pool
        self._send = send
        self._claims = claims
        self._tickets = {}
        self._request_ids = itertools.count(1)

    def open_ticket(self):
        """Returns a ``Ticket`` for a request that arrived."""
        ticket = Ticket(next(self._request_ids))
        self._tickets[ticket.request_id] = ticket
        return ticket

    def close_ticket(self, ticket):
        """Ends the care for a request."""
        self._tickets.pop(ticket.request_id, None)

    def may_write(self, ticket):
        """Returns why the request may not start now, empty if it may."""
        return self.core.may_write(ticket.request_id, daemon.now_ms())

    async def resolve_claim(self, event):
        """Passes a ``ClaimResolved`` on; returns False if no one waits."""
        if event.request_id not in self._tickets:
            return False
        await self.step(event)
        return True

    async def step(self, event):
        """Has the core handle an event, and carries the effects out."""
        for effect in self.core.step(event, daemon.now_ms()):
            if isinstance(effect, routing.SendToPeer):
                self._send(effect.peer, effect.message)
            elif isinstance(effect, routing.CloseConnections):
                self._pool.close(effect.connection_ids)
            elif isinstance(effect, routing.AskClaim):
                await self._claims.ask(effect)
            elif isinstance(effect, routing.FinishClaim):
                await self._claims.finish(effect)
            else:
                await self._deliver(effect)

    async def _deliver(self, decision):
        ticket = self._tickets.get(decision.request_id)
        if ticket is not None:
            await ticket.put(decision)

    async def tick_forever(self):
        """Lets the core see time pass."""
        while True:
            await self.step(routing.TickPassed())
            await curio.sleep(TICK_S)
