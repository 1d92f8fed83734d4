"""Simulation of several routing cores, upstreams and a network.

Time is virtual.  The fakes carry out the effects of ``routing.Core`` as the
daemon does.  Messages between entries may be lost, duplicated, delayed and
reordered; entries and upstreams may be frozen and killed.  Each upstream
counts the requests that it works on, and each request counts how often an
upstream began it; the invariants are checked against these counts.

A connection is identified by ``(entry, incarnation, connection_id)``, called
``conn_key`` here; ``key`` is the idempotency key of a request.
"""

import heapq
import itertools
import random

from fuchsiatrestle import invariants
from fuchsiatrestle import messages
from fuchsiatrestle.net import http
from fuchsiatrestle import routing

__all__ = ('Entry', 'Network', 'Upstream', 'World')

# Interval at which an entry renews its configuration lease.
RENEW_INTERVAL_MS = 400
# Term of a lease, as the entry counts it from its renewal.
LEASE_MS = 2000
# Time after a grant in which control grants no lease to another process of the
# same entry.
LEASE_GUARD_MS = 2050
# Time after which no request may reach an upstream that leaves.
LEAVE_BOUND_MS = 3000
ANNOUNCE_INTERVAL_MS = 1000
# Time after which an upstream announces itself to another entry instead.
ANNOUNCE_TIMEOUT_MS = 800
SERVICE = 'quotes'


class Network:
    """Delays, losses and duplicates of messages.

    Attributes:
        delay_ms: largest one-way delay.
        loss_share: share of messages between entries that are lost.
        duplicate_share: share of messages between entries that arrive twice.
        cut_links: set of ``(from, to)`` names of entries between which all
            messages are lost.
        loan_delay_ms: additional delay of loans by ``(from, to)`` names of
            entries.
    """

    def __init__(self, rng, delay_ms=2, loss_share=0.0, duplicate_share=0.0):
        self._rng = rng
        self.delay_ms = delay_ms
        self.loss_share = loss_share
        self.duplicate_share = duplicate_share
        self.cut_links = set()
        self.loan_delay_ms = {}

    def draw_delay_ms(self):
        """Draws the one-way delay of a message."""
        return self._rng.uniform(0.2, self.delay_ms)

    def draw_delivery_delays(self, source, target):
        """Draws the delay of each copy of a message that arrives.

        Returns:
            A list of delays in milliseconds, empty if the message is lost.
        """
        if (
            source,
            target,
        ) in self.cut_links or self._rng.random() < self.loss_share:
            return []
        copy_count = 2 if self._rng.random() < self.duplicate_share else 1
        return [self.draw_delay_ms() for _ in range(copy_count)]


class _ReceivedRequest:
    """A request that an upstream received on a connection."""

    __slots__ = ('conn_key', 'entry', 'is_answered', 'is_running', 'request')

    def __init__(self, entry, conn_key, request):
        self.entry = entry
        self.conn_key = conn_key
        self.request = request
        self.is_running = False
        self.is_answered = False


class Request:
    """A caller's request and its result.

    Attributes:
        number: number of the request, from 1.
        idempotent: True if it may run more than once.
        key: idempotency key, empty if none.
        sent_ms: time at which the caller sent it.
        begun_count: number of times that an upstream began it.
        result: text that says how it ended, None before.
    """

    __slots__ = (
        'begun_count',
        'idempotent',
        'key',
        'number',
        'result',
        'sent_ms',
    )

    def __init__(self, number, idempotent, key, sent_ms):
        self.number = number
        self.idempotent = idempotent
        self.key = key
        self.sent_ms = sent_ms
        self.begun_count = 0
        self.result = None


class Upstream:
    """A simulated upstream that counts the requests it works on.

    Attributes:
        slots: number of slots that it announces.
        connections: number of connections that it announces.
        alive: False while no process runs at the address.
        frozen: True while the process neither runs nor announces itself.
        stops_on_close: True if it stops work on a request whose connection
            was closed.
        service_ms: function without arguments that returns a service time.
        running_requests: ``_ReceivedRequest`` in progress by ``conn_key``.
        open_connections: open connections, as the ``conn_key`` keys of a dict.
        leaving_since_ms: time from which it announces that it leaves, None
            as long as it doesn't.
        black_holed_connections: open connections that no longer carry data.
        max_in_flight: largest number of requests in progress at once.
        begun_count: number of requests begun.
        announced_entries: names of the entries to which it announces itself,
            None for all.
    """

    def __init__(self, world, address, slots=8, connections=64):
        self.world = world
        self.address = address
        self.slots = slots
        self.connections = connections
        self.incarnation = 1
        self.stops_on_close = True
        self.service_ms = lambda: world.rng.expovariate(1 / 10)
        self.running_requests = {}
        self.open_connections = {}
        self.alive = True
        self.frozen = False
        self.leaving_since_ms = None
        self.black_holed_connections = set()
        self.max_in_flight = 0
        self.begun_count = 0
        self.announced_entries = None
        self._seq = 0
        self._buffered_requests = []
        self._received_by_conn = {}
        world.after(world.rng.uniform(0, 1000), self._announce)

    # Announcements

    def _announce(self):
        self.world.after(ANNOUNCE_INTERVAL_MS, self._announce)
        names = list(self.announced_entries or self.world.entries)
        self.world.rng.shuffle(names)
        self._announce_to(names, self.incarnation)

    def _announce_to(self, names, incarnation):
        """Announces to the first of the entries that answers in time."""
        if not names or self.frozen or not self.alive:
            return
        if incarnation != self.incarnation:
            return
        self._seq += 1
        state = 'ready' if self.leaving_since_ms is None else 'leaving'
        announcement = messages.Announcement(
            SERVICE,
            self.address,
            self.incarnation,
            self._seq,
            state,
            self.slots,
            self.connections,
            0,
        )
        entry = self.world.entries[names[0]]
        self.world.after(
            self.world.network.draw_delay_ms(),
            entry.receive_announcement,
            announcement,
        )
        if not entry.alive:
            self._announce_to(names[1:], incarnation)
        elif entry.frozen:
            self.world.after(
                ANNOUNCE_TIMEOUT_MS, self._announce_to, names[1:], incarnation
            )

    # Connections and requests

    def connect(self, conn_key):
        """Opens a connection; returns False if the process is dead."""
        if not self.alive:
            return False
        self.open_connections[conn_key] = None
        invariants.require(
            len(self.open_connections) <= self.connections,
            'world.connections_within_limit',
            address=self.address,
            connections=len(self.open_connections),
        )
        return True

    def receive_request(self, entry, conn_key, request):
        """Receives a request, which begins once the process is not frozen."""
        if not self.alive or conn_key not in self.open_connections:
            return
        if conn_key in self.black_holed_connections:
            return
        leaving_since_ms = self.leaving_since_ms
        invariants.require(
            leaving_since_ms is None
            or self.world.now <= leaving_since_ms + LEAVE_BOUND_MS,
            'world.leaving_gets_nothing',
            address=self.address,
            left_ms=leaving_since_ms,
            now_ms=self.world.now,
        )
        received = _ReceivedRequest(entry, conn_key, request)
        self._received_by_conn[conn_key] = received
        if self.frozen:
            self._buffered_requests.append(received)
        else:
            self._begin_request(received)

    def _begin_request(self, received):
        self.begun_count += 1
        received.request.begun_count += 1
        received.is_running = True
        self.running_requests[received.conn_key] = received
        self.max_in_flight = max(
            self.max_in_flight, len(self.running_requests)
        )
        invariants.require(
            len(self.running_requests) <= self.slots,
            'world.slots_within_limit',
            address=self.address,
            in_flight=len(self.running_requests),
            now_ms=self.world.now,
            entries=sorted(
                c.entry.name for c in self.running_requests.values()
            ),
        )
        self.world.after(
            self.service_ms(), self._finish_request, received, self.incarnation
        )

    def _finish_request(self, received, incarnation):
        if incarnation != self.incarnation or not received.is_running:
            return
        if self.frozen:
            self.world.after(5, self._finish_request, received, incarnation)
            return
        self._end_request(received)
        received.is_answered = True
        if received.conn_key not in self.black_holed_connections:
            received.entry.run_later(
                self.world.network.draw_delay_ms(),
                received.entry.receive_answer,
                received.conn_key,
            )

    def _end_request(self, received):
        received.is_running = False
        self.running_requests.pop(received.conn_key, None)
        self._received_by_conn.pop(received.conn_key, None)

    def receive_close(self, conn_key, *, half):
        """Receives the close of a connection by the entry.

        Args:
            conn_key: the connection.
            half: True if the entry still reads, and so sees the upstream
                close its side.
        """
        if self.frozen:
            self.world.after(5, self.receive_close, conn_key, half=half)
            return
        if conn_key in self.black_holed_connections:
            if not half:
                self.open_connections.pop(conn_key, None)
            return
        received = self._received_by_conn.get(conn_key)
        if (
            received is not None
            and received.is_running
            and not self.stops_on_close
        ):
            self.world.after(1, self.receive_close, conn_key, half=half)
            return
        if received is not None and received.is_running:
            self._end_request(received)
        self.open_connections.pop(conn_key, None)
        entry = self.world.find_entry(conn_key)
        if half and entry is not None:
            entry.run_later(
                self.world.network.draw_delay_ms(),
                entry.receive_close,
                conn_key,
            )

    # Faults

    def kill(self):
        """Kills the process, which resets its connections."""
        self.alive = False
        self.incarnation += 1
        self.running_requests.clear()
        self._received_by_conn.clear()
        self._buffered_requests.clear()
        for conn_key in list(self.open_connections):
            entry = self.world.find_entry(conn_key)
            if entry is not None:
                entry.run_later(
                    self.world.network.draw_delay_ms(),
                    entry.receive_reset,
                    conn_key,
                )
        self.open_connections.clear()
        self.black_holed_connections.clear()

    def restart(self):
        """Starts a new process at the same address."""
        self.alive = True
        self.frozen = False
        self.leaving_since_ms = None
        self._seq = 0

    def freeze(self, duration_ms):
        """Stops the process for a while."""
        if self.frozen or not self.alive:
            return
        self.frozen = True
        self.world.after(duration_ms, self._unfreeze, self.incarnation)

    def _unfreeze(self, incarnation):
        if incarnation != self.incarnation:
            return
        self.frozen = False
        buffered, self._buffered_requests = self._buffered_requests, []
        for received in buffered:
            self._begin_request(received)

    def start_leaving(self):
        """Makes its announcements say from now on that it leaves."""
        if self.leaving_since_ms is None:
            self.leaving_since_ms = self.world.now

    def black_hole_connection(self):
        """Makes one open connection lose all data, as a broken path does."""
        if self.open_connections:
            self.black_holed_connections.add(
                self.world.rng.choice(sorted(self.open_connections))
            )


class _Attempt:
    """One dispatched attempt at an entry."""

    __slots__ = ('dispatch', 'is_request_written', 'request')

    def __init__(self, dispatch, request):
        self.dispatch = dispatch
        self.request = request
        self.is_request_written = False


class Entry:
    """An entry process, which drives one core.

    Attributes:
        alive: False once the process was killed.
        frozen: True while the process is stopped.
        reaches_control: False while no lease renewal reaches control.
    """

    def __init__(self, world, name, incarnation, policy=None):
        self.world = world
        self.name = name
        self.incarnation = incarnation
        self.core = routing.Core(name, incarnation, int(world.now), policy)
        self.alive = True
        self.reaches_control = True
        self.frozen = False
        self._postponed_calls = []
        self._unread_events = []
        self._backlog_ms = 0
        self._backlog_end_ms = 0
        self._all_requests = []
        self._open_requests = {}
        self._attempts_by_conn = {}
        self._draining_addresses = {}
        self._tick()
        self._renew_lease()

    def run_later(self, delay_ms, func, *args):
        """Calls a function after a delay, once the process is not frozen.

        A process that was killed calls nothing any more.
        """
        self.world.after(delay_ms, self._call_unless_frozen, func, args)

    def _call_unless_frozen(self, func, args):
        if not self.alive:
            return
        if self.frozen:
            self._postponed_calls.append((func, args))
        else:
            func(*args)

    def receive_announcement(self, announcement):
        """Receives an announcement of an upstream, even while frozen."""
        self.receive_event(
            routing.AnnouncementHeard(announcement, int(self.world.now))
        )

    def receive_event(self, event):
        """Receives the event of a message, which is read in order of arrival.

        It is read once the process is not frozen and has read its backlog.
        """
        if self.frozen:
            self._unread_events.append(event)
        else:
            self._read_event(event)

    def _read_event(self, event):
        wait_ms = self._backlog_end_ms - self.world.now
        if wait_ms > 0:
            self.run_later(wait_ms, self.step, event)
        elif self.alive:
            self.step(event)

    def freeze(self, duration_ms, backlog_ms=0):
        """Stops the process for a while.

        Args:
            duration_ms: time for which it is stopped.
            backlog_ms: time for which it then reads the messages received
                meanwhile.
        """
        if self.alive and not self.frozen:
            self.frozen = True
            self._backlog_ms = backlog_ms
            self.world.after(duration_ms, self._unfreeze)

    def _unfreeze(self):
        self.frozen = False
        self._backlog_end_ms = self.world.now + self._backlog_ms
        unread_events, self._unread_events = self._unread_events, []
        for number, event in enumerate(unread_events, 1):
            read_ms = self._backlog_ms * number / len(unread_events)
            self.run_later(read_ms, self.step, event)
        postponed_calls, self._postponed_calls = self._postponed_calls, []
        for func, args in postponed_calls:
            self._call_unless_frozen(func, args)

    def kill(self):
        """Kills the process; requests in progress get no answer."""
        self.alive = False
        for request in self._all_requests:
            request.result = request.result or 'caller lost the connection'
        for upstream in self.world.upstreams.values():
            for conn_key in list(upstream.open_connections):
                if conn_key[:2] == (self.name, self.incarnation):
                    upstream.receive_close(conn_key, half=False)

    # Tasks

    def _tick(self):
        self.step(routing.TickPassed())
        self.run_later(routing.TICK_MS, self._tick)

    def _renew_lease(self):
        self.run_later(RENEW_INTERVAL_MS, self._renew_lease)
        self.world.renew_lease(self)

    def receive_request(self, request):
        """Receives a caller's request, even while frozen."""
        self._all_requests.append(request)
        self.run_later(0, self._start_request, request)

    def _start_request(self, request):
        self._open_requests[request.number] = request
        self.step(
            routing.RequestArrived(
                request.number,
                SERVICE,
                request.idempotent,
                key=request.key,
                fingerprint=request.key.encode(),
            )
        )

    def disconnect_caller(self, request):
        """Disconnects the caller of a request that has no answer yet."""
        if self._open_requests.pop(request.number, None) is None:
            return
        request.result = 'caller left'
        draining = False
        for conn_key, attempt in list(self._attempts_by_conn.items()):
            if attempt.request is request:
                del self._attempts_by_conn[conn_key]
                draining = attempt.is_request_written
                self._start_drain(conn_key, attempt)
        self.step(routing.RequestDropped(request.number, draining))

    def step(self, event):
        """Has the core handle an event and carries out its effects."""
        for effect in self.core.step(event, int(self.world.now)):
            name = f'_on_{type(effect).__name__}'
            getattr(self, name)(effect)

    # Effects

    def _on_SendToPeer(self, effect):
        self.world.send_message(self, effect.peer, effect.message)

    def _on_CloseConnections(self, effect):
        for connection_id in effect.connection_ids:
            conn_key = (self.name, self.incarnation, connection_id)
            for upstream in self.world.upstreams.values():
                if conn_key in upstream.open_connections:
                    upstream.receive_close(conn_key, half=False)

    def _on_AskClaim(self, effect):
        if effect.delay_ms:
            self.run_later(
                effect.delay_ms, self.world.answer_claim, self, effect
            )
        else:
            self.world.answer_claim(self, effect)

    def _on_FinishClaim(self, effect):
        self.world.finish_claim(self, effect)

    def _on_ReplayAnswer(self, effect):
        self._set_result(effect.request_id, 'replayed')

    def _on_Refuse(self, effect):
        outcome = 'unknown' if effect.written else 'not-run'
        self._set_result(effect.request_id, f'{outcome} {effect.reason}')

    def _set_result(self, request_number, result_text):
        request = self._open_requests.pop(request_number)
        request.result = result_text

    def _on_Dispatch(self, dispatch):
        request = self._open_requests[dispatch.request_id]
        attempt = _Attempt(dispatch, request)
        conn_key = (self.name, self.incarnation, dispatch.connection_id)
        self._attempts_by_conn[conn_key] = attempt
        upstream = self.world.upstreams[dispatch.address]
        if dispatch.fresh:
            self.run_later(
                self.world.network.draw_delay_ms(),
                self._open_connection,
                conn_key,
                upstream,
            )
        else:
            self.run_later(0, self._write_request, conn_key, upstream)

    def _open_connection(self, conn_key, upstream):
        if conn_key not in self._attempts_by_conn:
            return
        if upstream.connect(conn_key):
            self._write_request(conn_key, upstream)
        else:
            self._end_attempt(conn_key, 'connect_failed')

    def _write_request(self, conn_key, upstream):
        attempt = self._attempts_by_conn.get(conn_key)
        if attempt is None:
            return
        if conn_key not in upstream.open_connections:
            self._end_attempt(conn_key, 'stale_connection')
            return
        number = attempt.request.number
        if self.core.write_refusal_reason(number, int(self.world.now)):
            self._end_attempt(conn_key, 'not_written', reusable=True)
            return
        attempt.is_request_written = True
        self.world.after(
            self.world.network.draw_delay_ms(),
            upstream.receive_request,
            self,
            conn_key,
            attempt.request,
        )
        dispatch = attempt.dispatch
        remaining_ms = dispatch.deadline_ms - self.world.now
        wait_ms = min(remaining_ms, dispatch.progress_ms)
        reason = (
            'upstream_silent'
            if wait_ms < remaining_ms
            else 'deadline_exceeded'
        )
        self.run_later(
            max(0, wait_ms), self._time_out_attempt, conn_key, attempt, reason
        )

    def _time_out_attempt(self, conn_key, attempt, reason):
        if self._attempts_by_conn.get(conn_key) is attempt:
            self._end_attempt(conn_key, reason, draining=True)

    def receive_answer(self, conn_key):
        """Receives a whole answer on a connection."""
        attempt = self._attempts_by_conn.pop(conn_key, None)
        if attempt is None:
            return
        request = self._open_requests.pop(attempt.request.number, None)
        invariants.require(
            request is attempt.request, 'world.answer_reaches_its_request'
        )
        request.result = 'answered'
        self.world.record_answer(request)
        self.step(
            routing.AttemptEnded(
                request.number, '', True, reusable=True, answer=b'answer'
            )
        )

    def receive_reset(self, conn_key):
        """Receives the reset of a connection."""
        self.receive_close(conn_key)
        if conn_key in self._attempts_by_conn:
            self._end_attempt(conn_key, 'connection_lost')

    def _end_attempt(
        self, conn_key, reason, *, draining=False, reusable=False
    ):
        attempt = self._attempts_by_conn.pop(conn_key)
        if draining:
            self._start_drain(conn_key, attempt)
        self.step(
            routing.AttemptEnded(
                attempt.request.number,
                reason,
                attempt.is_request_written,
                draining=draining,
                reusable=reusable,
            )
        )

    def _start_drain(self, conn_key, attempt):
        if not attempt.is_request_written:
            return
        address = attempt.dispatch.address
        self._draining_addresses[conn_key] = address
        upstream = self.world.upstreams[address]
        self.world.after(
            self.world.network.draw_delay_ms(),
            upstream.receive_close,
            conn_key,
            half=True,
        )
        remaining_ms = max(0, attempt.dispatch.deadline_ms - self.world.now)
        self.run_later(
            remaining_ms + routing.REQUEST_END_MARGIN_MS,
            self._time_out_drain,
            conn_key,
            upstream,
        )

    def _time_out_drain(self, conn_key, upstream):
        if conn_key in self._draining_addresses:
            upstream.receive_close(conn_key, half=False)
            self._release_connection(conn_key, False)

    def receive_close(self, conn_key):
        """Receives the upstream's close of a connection being drained."""
        if conn_key in self._draining_addresses:
            self._release_connection(conn_key, True)

    def _release_connection(self, conn_key, seen_closed):
        address = self._draining_addresses.pop(conn_key)
        self.step(
            routing.ConnectionReleased(address, conn_key[2], seen_closed)
        )


class World:
    """Entries, upstreams, callers, control and virtual time.

    Args:
        seed: seed of all random choices.
        entries: number of entries.
        upstreams: number of upstreams.
        deadline_ms: deadline of the service.
        policy: function without arguments that makes an entry's policy.

    Attributes:
        now: virtual time in milliseconds.
        requests: every ``Request`` sent so far.
        latencies: latencies of the answered requests, in milliseconds.
        members: names of the entries in the current configuration.
        version: number of the current configuration version.
        entries: newest ``Entry`` by name.
        upstreams: ``Upstream`` by address.
    """

    def __init__(
        self, seed, entries=3, upstreams=4, deadline_ms=500, policy=None
    ):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.network = Network(self.rng)
        self.requests = []
        self.latencies = []
        self.members = [f'e{number + 1}' for number in range(entries)]
        self.version = 1
        self._deadline_ms = deadline_ms
        self._make_policy = policy or (lambda: None)
        self._scheduled_calls = []
        # Calls that are due at the same time are made in the order of their
        # numbers.
        self._call_numbers = itertools.count()
        # (incarnation that holds the lease, end of the lease as control counts
        # it), by name of the entry.
        self._leases_by_entry = {}
        # (state of the claim, owner of the claim) by idempotency key; an owner
        # is (entry, incarnation).
        self._claims_by_key = {}
        self._last_incarnation = 0
        self.entries = {}
        self.upstreams = {}
        for name in self.members:
            self.start_entry(name)
        for number in range(upstreams):
            address = f'127.0.0.1:{9000 + number}'
            self.upstreams[address] = Upstream(self, address)

    # Time

    def after(self, delay_ms, func, *args, **kwargs):
        """Calls a function after a delay in virtual time."""
        heapq.heappush(
            self._scheduled_calls,
            (
                self.now + delay_ms,
                next(self._call_numbers),
                func,
                args,
                kwargs,
            ),
        )

    def run_until(self, time_ms):
        """Advances virtual time and makes the calls that are due."""
        while self._scheduled_calls and self._scheduled_calls[0][0] <= time_ms:
            self.now, _, func, args, kwargs = heapq.heappop(
                self._scheduled_calls
            )
            func(*args, **kwargs)
        self.now = time_ms

    # Entries and control

    def start_entry(self, name):
        """Starts a new process of an entry."""
        self._last_incarnation += 1
        self.entries[name] = Entry(
            self, name, self._last_incarnation, self._make_policy()
        )

    def find_entry(self, conn_key):
        """Returns the running process that owns a connection, or None."""
        entry = self.entries.get(conn_key[0])
        if (
            entry is None
            or not entry.alive
            or entry.incarnation != conn_key[1]
        ):
            return None
        return entry

    def set_members(self, names):
        """Makes a configuration version with other members."""
        self.members = sorted(names)
        self.version += 1

    def encode_document(self):
        """Returns the JSON of the current configuration version."""
        service = {'path': '/quotes', 'deadline_ms': self._deadline_ms}
        entries = {
            name: {'address': f'127.0.0.1:{7000 + int(name[1:])}'}
            for name in self.members
        }
        return http.encode_json(
            {'services': {SERVICE: service}, 'entries': entries}
        )

    def renew_lease(self, entry):
        """Sends one lease renewal to control, which answers it."""
        if not entry.reaches_control:
            return
        self.after(
            self.network.draw_delay_ms(),
            self._grant_lease,
            entry,
            int(self.now),
        )

    def _grant_lease(self, entry, sent_ms):
        until_ms = sent_ms + LEASE_MS
        lease_incarnation, held_until_ms = self._leases_by_entry.get(
            entry.name, (None, 0)
        )
        if entry.name not in self.members:
            until_ms = 0
        elif lease_incarnation not in (None, entry.incarnation) and (
            self.now < held_until_ms
        ):
            until_ms = 0
        else:
            self._leases_by_entry[entry.name] = (
                entry.incarnation,
                self.now + LEASE_GUARD_MS,
            )
        event = routing.ConfigurationGranted(
            self.version, until_ms, self.encode_document()
        )
        entry.run_later(self.network.draw_delay_ms(), entry.step, event)

    def answer_claim(self, entry, effect):
        """Answers a claim as control would."""
        owner = (entry.name, entry.incarnation)
        state, claim_owner = self._claims_by_key.get(effect.key, (None, None))
        if state is None:
            self._claims_by_key[effect.key] = ('held', owner)
            state = 'granted'
        event = routing.ClaimResolved(
            effect.request_id,
            state,
            200,
            b'stored' if state == 'done' else b'',
        )
        entry.run_later(5 + self.network.draw_delay_ms(), entry.step, event)

    def finish_claim(self, entry, effect):
        """Records the end of a claim as control would."""
        owner = (entry.name, entry.incarnation)
        if self._claims_by_key.get(effect.key) != ('held', owner):
            return
        if effect.state == 'not_run':
            del self._claims_by_key[effect.key]
        else:
            self._claims_by_key[effect.key] = (effect.state, owner)

    def send_message(self, source, target, message):
        """Sends a message from one entry to another."""
        entry = self.entries.get(target)
        if entry is None:
            return
        event = routing.PeerSent(source.name, message)
        extra_delay_ms = 0
        if isinstance(message, messages.LendSlots):
            extra_delay_ms = self.network.loan_delay_ms.get(
                (source.name, target), 0
            )
        for delay_ms in self.network.draw_delivery_delays(source.name, target):
            self.after(extra_delay_ms + delay_ms, entry.receive_event, event)

    # Callers

    def ask(self, entry_name, idempotent=True, key=''):
        """Sends a caller's request to an entry; returns the ``Request``."""
        request = Request(len(self.requests) + 1, idempotent, key, self.now)
        self.requests.append(request)
        self.entries[entry_name].receive_request(request)
        return request

    def record_answer(self, request):
        """Records the latency of an answer."""
        self.latencies.append(self.now - request.sent_ms)

    # Checks

    def check_requests(self):
        """Checks how often each request was begun against its result."""
        begun_by_key = {}
        for request in self.requests:
            has_run_at_most_once = request.begun_count <= 1
            invariants.require(
                request.idempotent or has_run_at_most_once,
                'world.runs_at_most_once',
                number=request.number,
                result=request.result,
            )
            is_refused_as_not_run = str(request.result).startswith('not-run')
            invariants.require(
                not (is_refused_as_not_run and request.begun_count),
                'world.not_run_is_true',
                number=request.number,
                result=request.result,
            )
            if request.key and not request.idempotent:
                begun_by_key[request.key] = (
                    begun_by_key.get(request.key, 0) + request.begun_count
                )
        for key, begun_count in begun_by_key.items():
            invariants.require(
                begun_count <= 1, 'world.key_runs_at_most_once', key=key
            )

    def check_idle(self):
        """Checks that all requests have a result and all slots are free."""
        for request in self.requests:
            invariants.require(
                request.result is not None,
                'world.every_request_settled',
                number=request.number,
            )
        # An entry that is not a member isn't sent the announcements that other
        # entries received, and may therefore never free its slots.
        for name in self.members:
            self._check_idle_entry(self.entries[name])

    def _check_idle_entry(self, entry):
        invariants.require(
            entry.core.pending_count == 0 and entry.core.in_flight_count == 0,
            'world.nothing_pending',
            entry=entry.name,
            pending=entry.core.pending_count,
        )
        for status in entry.core.upstream_statuses(int(self.now)):
            invariants.require(
                status.used_slots == 0,
                'world.no_slot_leaked',
                entry=entry.name,
                in_use=status.used_slots,
            )
