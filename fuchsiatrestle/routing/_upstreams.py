"""Slots and connections of one upstream that this entry uses and may use."""

from fuchsiatrestle import invariants
from fuchsiatrestle.routing import _continuity
from fuchsiatrestle.routing import _health
from fuchsiatrestle.routing import _latency

__all__ = ('IdleConnection', 'Upstream')

MAX_IDLE_MS = 15000


class IdleConnection:
    """An open connection without a request.

    Attributes:
        connection_id: number of the connection, unique within the routing
            core.
        generation: ``Health.connection_generation`` when the connection
            became idle.
        idle_since_ms: time at which it became idle.
    """

    __slots__ = ('connection_id', 'generation', 'idle_since_ms')

    def __init__(self, connection_id, generation, idle_since_ms):
        self.connection_id = connection_id
        self.generation = generation
        self.idle_since_ms = idle_since_ms


class Upstream:
    """Use of one upstream by this entry.

    A slot is in use while a request is in progress, while the connection of
    an abandoned request is drained, and, if that drain ran out of time, until
    the request must have ended.

    Attributes:
        address: ``IP:port``.
        service: name of its service.
        incarnation: incarnation of the process last heard there.
        announced_slots: slots in its last announcement.
        announced_connections: connections in its last announcement.
        owned_slots: slots that this entry owns now.
        owned_connections: connections that this entry may open.
        lent_slots: owned slots that are lent to other entries.
        borrowed_loans: list of ``BorrowedSlots``.
        is_ready: True if its newest announcement says that it is ready and
            is not too old.
        continuity: ``AnnouncementContinuity``.
        latency: ``LatencyEstimate``.
        health: ``Health``.
    """

    __slots__ = (
        '_active_requests',
        '_drain_timed_out_at_ms',
        '_draining_since_ms',
        '_idle_connections',
        '_suspended_since_ms',
        'address',
        'announced_connections',
        'announced_slots',
        'borrowed_loans',
        'continuity',
        'health',
        'incarnation',
        'is_ready',
        'latency',
        'lent_slots',
        'owned_connections',
        'owned_slots',
        'service',
    )

    def __init__(self, address, service):
        self.address = address
        self.service = service
        self.incarnation = 0
        self.announced_slots = 0
        self.announced_connections = 0
        self.owned_slots = 0
        self.owned_connections = 0
        self.lent_slots = 0
        self.borrowed_loans = []
        self.is_ready = False
        self.continuity = _continuity.AnnouncementContinuity()
        self.latency = _latency.LatencyEstimate()
        self.health = _health.Health()
        # The following three are keyed by connection_id: the id of the request
        # in progress, the time at which a drain began, and the time at which a
        # drain timed out although its request may still be running.
        self._active_requests = {}
        self._draining_since_ms = {}
        self._drain_timed_out_at_ms = {}
        self._suspended_since_ms = None
        self._idle_connections = []

    # Queries

    @property
    def used_slots(self):
        """Number of slots held by requests that may still be in progress."""
        return (
            len(self._active_requests)
            + len(self._draining_since_ms)
            + len(self._drain_timed_out_at_ms)
        )

    @property
    def in_flight_count(self):
        """Number of requests in progress."""
        return len(self._active_requests)

    @property
    def open_connections(self):
        """Number of connections that are in use, drained or idle."""
        return (
            len(self._active_requests)
            + len(self._draining_since_ms)
            + len(self._idle_connections)
        )

    def count_allotted_slots(self, now_ms):
        """Counts the slots that this entry may use, in use or free."""
        allotted_slots = self.owned_slots - self.lent_slots
        for loan in self.borrowed_loans:
            if now_ms < loan.term_end_ms:
                allotted_slots += loan.slots
        return allotted_slots

    def count_usable_slots(self, now_ms):
        """Counts the slots, in use or free, open to requests of this entry.

        There are none while the upstream is not ready or is suspended, and
        ``Health.request_limit`` limits them after failures.
        """
        if not self.is_ready or self._suspended_since_ms is not None:
            return 0
        return min(
            self.count_allotted_slots(now_ms),
            self.health.request_limit(now_ms),
        )

    def count_free_slots(self, now_ms):
        """Counts the slots on which a request may start now."""
        if not self.is_ready or self._suspended_since_ms is not None:
            return 0
        used_slots = self.used_slots
        free_slots = self.count_allotted_slots(now_ms) - used_slots
        if free_slots <= 0:
            return 0
        allowed_new_requests = self.health.request_limit(now_ms) - len(
            self._active_requests
        )
        if allowed_new_requests < free_slots:
            free_slots = allowed_new_requests
        if free_slots > 0 and not self._idle_connections:
            return min(
                free_slots, self.owned_connections - self.open_connections
            )
        return free_slots

    def count_lendable_slots(self, now_ms):
        """Counts the free slots, at most the owned ones that aren't lent."""
        return min(
            self.count_free_slots(now_ms), self.owned_slots - self.lent_slots
        )

    def is_write_allowed(self, now_ms):
        """Tells whether a dispatched request may still be written."""
        return (
            self.is_ready
            and self._suspended_since_ms is None
            and self.used_slots <= self.count_allotted_slots(now_ms)
        )

    # Requests and drains

    def begin_request(self, request_id, new_connection_id, now_ms):
        """Occupies a slot and an idle or new connection with a request.

        Args:
            request_id: number of the request.
            new_connection_id: number for the connection if none is idle.
            now_ms: current time.

        Returns:
            The number of the connection, and True if it has to be opened.

        Raises:
            errors.InvariantBreach: this exceeds the slots or connections that
                this entry may use.
        """
        is_new_connection = not self._idle_connections
        if is_new_connection:
            connection_id = new_connection_id
        else:
            connection_id = self._idle_connections.pop().connection_id
        self._active_requests[connection_id] = request_id
        invariants.require(
            self.used_slots <= self.count_allotted_slots(now_ms),
            'routing.slots_within_share',
            address=self.address,
            in_use=self.used_slots,
            capacity=self.count_allotted_slots(now_ms),
        )
        if is_new_connection:
            invariants.require(
                self.open_connections <= self.owned_connections,
                'routing.connections_within_share',
                address=self.address,
                connections=self.open_connections,
                share=self.owned_connections,
            )
        return connection_id, is_new_connection

    def end_request(self, connection_id, now_ms, *, reusable, draining):
        """Frees the slot of a request, or keeps it during the drain.

        Args:
            connection_id: connection of the request.
            now_ms: current time.
            reusable: True if the connection can take another request.
            draining: True if the connection is drained, as the upstream may
                still be working on the request.

        Returns:
            True if the connection was kept as an idle one.
        """
        del self._active_requests[connection_id]
        if draining:
            self._draining_since_ms[connection_id] = now_ms
        elif reusable and self.open_connections < self.owned_connections:
            self._idle_connections.append(
                IdleConnection(
                    connection_id, self.health.connection_generation, now_ms
                )
            )
            return True
        return False

    def end_drain(self, connection_id, now_ms, closed_by_upstream):
        """Ends the drain of a connection.

        If the upstream didn't close the connection, the slot stays in use,
        because the upstream may still be working on the request.

        Args:
            connection_id: the drained connection.
            now_ms: current time.
            closed_by_upstream: True if the upstream closed it.
        """
        was_draining = (
            self._draining_since_ms.pop(connection_id, None) is not None
        )
        if was_draining and not closed_by_upstream:
            self._drain_timed_out_at_ms[connection_id] = now_ms

    def free_slots_of_timed_out_drains(self, longest_request_ms):
        """Frees the slots of timed-out drains whose requests have ended."""
        ended_connection_ids = [
            connection_id
            for connection_id, timed_out_ms in (
                self._drain_timed_out_at_ms.items()
            )
            if self.continuity.have_requests_ended(
                timed_out_ms, longest_request_ms
            )
        ]
        for connection_id in ended_connection_ids:
            del self._drain_timed_out_at_ms[connection_id]

    def suspend(self, now_ms):
        """Lets no request start until all sent up to now must have ended."""
        self._suspended_since_ms = now_ms

    def resume_if_requests_ended(self, longest_request_ms):
        """Ends a suspension if all earlier requests must have ended."""
        suspended_since_ms = self._suspended_since_ms
        if suspended_since_ms is None:
            return
        if self.continuity.have_requests_ended(
            suspended_since_ms, longest_request_ms
        ):
            self._suspended_since_ms = None

    def reset_for_process(self, incarnation):
        """Forgets what was learned of an earlier process at the address."""
        self.incarnation = incarnation
        self.latency = _latency.LatencyEstimate()
        self.health = _health.Health()
        self._drain_timed_out_at_ms.clear()
        self._suspended_since_ms = None

    # Idle connections

    def remove_suspect_connections(self):
        """Removes connections that were idle at the last silent attempt.

        Their generation is older than ``Health.connection_generation``.

        Returns:
            The numbers of the connections, which have to be closed.
        """
        generation = self.health.connection_generation
        return self._remove_matching_connections(
            lambda conn: conn.generation < generation
        )

    def remove_expired_connections(self, now_ms):
        """Removes the connections idle for longer than ``MAX_IDLE_MS``.

        Returns:
            The numbers of the connections, which have to be closed.
        """
        return self._remove_matching_connections(
            lambda conn: now_ms - conn.idle_since_ms > MAX_IDLE_MS
        )

    def remove_excess_connections(self):
        """Removes the oldest idle connections beyond ``owned_connections``.

        Returns:
            The numbers of the connections, which have to be closed.
        """
        excess_count = self.open_connections - self.owned_connections
        if excess_count <= 0:
            return []
        oldest_connections = self._idle_connections[:excess_count]
        del self._idle_connections[:excess_count]
        return [conn.connection_id for conn in oldest_connections]

    def remove_idle_connections(self):
        """Removes all idle connections and returns their numbers."""
        return self._remove_matching_connections(lambda conn: True)

    def _remove_matching_connections(self, is_unwanted):
        """Removes idle connections by a predicate; returns their numbers."""
        removed_connections = [
            conn for conn in self._idle_connections if is_unwanted(conn)
        ]
        if removed_connections:
            self._idle_connections = [
                conn
                for conn in self._idle_connections
                if not is_unwanted(conn)
            ]
        return [conn.connection_id for conn in removed_connections]
