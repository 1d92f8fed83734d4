"""One upstream: the slots and connections this entry uses and may use."""

from fuchsiatrestle import invariants
from fuchsiatrestle.routing import _health
from fuchsiatrestle.routing import _latency
from fuchsiatrestle.routing import _steadiness

__all__ = ('IdleConnection', 'Upstream')

IDLE_MS = 15000


class IdleConnection:
    """An open connection without a request."""

    __slots__ = ('connection_id', 'generation', 'since_ms')

    def __init__(self, connection_id, generation, since_ms):
        self.connection_id = connection_id
        self.generation = generation
        self.since_ms = since_ms


class Upstream:
    """Use of one upstream by this entry.

    Attributes:
        address: ``IP:port``.
        service: name of its service.
        incarnation: incarnation last heard.
        slots: slots it announced.
        connections: connections it announced.
        own: slots this entry owns now.
        own_connections: connections this entry may open.
        lent: owned slots lent to others.
        taken: list of ``TakenLoan``.
        ready: True if announced ready and not unheard.
        steadiness: ``Steadiness``.
        latency: ``LatencyEstimate``.
        health: ``Health``.
    """

    __slots__ = (
        '_busy',
        '_draining',
        '_idle',
        '_stuck',
        '_unsettled_ms',
        'address',
        'connections',
        'health',
        'incarnation',
        'latency',
        'lent',
        'own',
        'own_connections',
        'ready',
        'service',
        'slots',
        'steadiness',
        'taken',
    )

    def __init__(self, address, service):
        self.address = address
        self.service = service
        self.incarnation = 0
        self.slots = 0
        self.connections = 0
        self.own = 0
        self.own_connections = 0
        self.lent = 0
        self.taken = []
        self.ready = False
        self.steadiness = _steadiness.Steadiness()
        self.latency = _latency.LatencyEstimate()
        self.health = _health.Health()
        self._busy = {}
        self._draining = {}
        self._stuck = {}
        self._unsettled_ms = None
        self._idle = []

    # Facts

    @property
    def in_use(self):
        """Slots in use: requests in progress and abandoned ones."""
        return len(self._busy) + len(self._draining) + len(self._stuck)

    @property
    def in_flight(self):
        """Requests in progress."""
        return len(self._busy)

    @property
    def open_connections(self):
        """Connections open, in use or idle."""
        return len(self._busy) + len(self._draining) + len(self._idle)

    def capacity(self, now_ms):
        """Slots this entry may use now."""
        slots = self.own - self.lent
        for loan in self.taken:
            if now_ms < loan.until_ms:
                slots += loan.slots
        return slots

    def usable(self, now_ms):
        """Slots this entry would fill now if it had the requests."""
        if not self.ready or self._unsettled_ms is not None:
            return 0
        return min(self.capacity(now_ms), self.health.limit(now_ms))

    def free(self, now_ms):
        """Slots on which a request may start now."""
        if not self.ready or self._unsettled_ms is not None:
            return 0
        in_use = self.in_use
        free = self.capacity(now_ms) - in_use
        if free <= 0:
            return 0
        limit = self.health.limit(now_ms) - len(self._busy)
        if limit < free:
            free = limit
        if free > 0 and not self._idle:
            return min(free, self.own_connections - self.open_connections)
        return free

    def lendable(self, now_ms):
        """Owned slots that are neither lent nor in use."""
        return min(self.free(now_ms), self.own - self.lent)

    def may_write(self, now_ms):
        """True if a dispatched request may still start."""
        return (
            self.ready
            and self._unsettled_ms is None
            and self.in_use <= self.capacity(now_ms)
        )

    # Use

    def begin(self, request_id, new_connection_id, now_ms):
        """Takes a slot and a connection.

        Returns:
            The connection's number and True if it is to be opened.
        """
        fresh = not self._idle
        if fresh:
            connection_id = new_connection_id
        else:
            connection_id = self._idle.pop().connection_id
        self._busy[connection_id] = request_id
        invariants.require(
            self.in_use <= self.capacity(now_ms),
            'routing.slots_within_share',
            address=self.address,
            in_use=self.in_use,
            capacity=self.capacity(now_ms),
        )
        if fresh:
            invariants.require(
                self.open_connections <= self.own_connections,
                'routing.connections_within_share',
                address=self.address,
                connections=self.open_connections,
                share=self.own_connections,
            )
        return connection_id, fresh

    def end(self, connection_id, now_ms, *, reusable, draining):
        """Gives the slot back, or keeps it while the connection drains."""
        del self._busy[connection_id]
        if draining:
            self._draining[connection_id] = now_ms
        elif reusable and self.open_connections < self.own_connections:
            self._idle.append(
                IdleConnection(connection_id, self.health.generation, now_ms)
            )
            return True
        return False

    def release(self, connection_id, now_ms, seen_closed):
        """Ends a drain; the slot stays in use if the end is not certain."""
        drained = self._draining.pop(connection_id, None) is not None
        if drained and not seen_closed:
            self._stuck[connection_id] = now_ms

    def release_stuck(self, longest_ms):
        """Frees slots whose requests must have ended."""
        over = [
            connection_id
            for connection_id, since_ms in self._stuck.items()
            if self.steadiness.is_over(since_ms, longest_ms)
        ]
        for connection_id in over:
            del self._stuck[connection_id]

    def unsettle(self, now_ms):
        """Gives it no work until requests of before must have ended."""
        self._unsettled_ms = now_ms

    def settle(self, longest_ms):
        """Gives it work again if requests of before must have ended."""
        base_ms = self._unsettled_ms
        if base_ms is None:
            return
        if self.steadiness.is_over(base_ms, longest_ms):
            self._unsettled_ms = None

    def renew(self, incarnation):
        """Starts afresh for a new process behind the same address."""
        self.incarnation = incarnation
        self.latency = _latency.LatencyEstimate()
        self.health = _health.Health()
        self._stuck.clear()
        self._unsettled_ms = None

    # Idle connections

    def take_distrusted(self):
        """Removes and returns idle connections that must not be reused."""
        generation = self.health.generation
        return self._take(lambda conn: conn.generation < generation)

    def take_expired(self, now_ms):
        """Removes and returns connections that have been idle too long."""
        return self._take(lambda conn: now_ms - conn.since_ms > IDLE_MS)

    def take_excess(self):
        """Removes and returns idle connections above the share."""
        excess = self.open_connections - self.own_connections
        if excess <= 0:
            return []
        oldest = self._idle[:excess]
        del self._idle[:excess]
        return [conn.connection_id for conn in oldest]

    def take_idle(self):
        """Removes and returns all idle connections."""
        return self._take(lambda conn: True)

    def _take(self, unwanted):
        taken = [conn for conn in self._idle if unwanted(conn)]
        if taken:
            self._idle = [conn for conn in self._idle if not unwanted(conn)]
        return [conn.connection_id for conn in taken]
