"""Several routing cores, stand-in upstreams and a network in virtual time.

The fakes stand at the interfaces of ``routing.Core``: they carry its effects
out as the daemon does, lose, double, delay and reorder what entries say to
each other, freeze and kill both sides, and keep the upstreams' ledgers, on
which the checks are made.
"""

import heapq
import itertools
import random

from fuchsiatrestle import invariants
from fuchsiatrestle import messages
from fuchsiatrestle.net import http
from fuchsiatrestle import routing

__all__ = ('Entry', 'Network', 'Upstream', 'World')

RENEW_MS = 400
LEASE_MS = 2000
LEASE_GUARD_MS = 2050
LEAVE_BOUND_MS = 3000
ANNOUNCE_MS = 1000
ANNOUNCE_TIMEOUT_MS = 800
SERVICE = 'quotes'


class Network:
    """Delays and losses.

    Attributes:
        delay_ms: largest one-way delay.
        loss: share of messages between entries that are lost.
        double: share of messages between entries that arrive twice.
        cut: set of ``(from, to)`` names between which nothing passes.
        extra_ms: further delay by ``(from, to)`` names.
    """

    def __init__(self, rng, delay_ms=2, loss=0.0, double=0.0):
        self._rng = rng
        self.delay_ms = delay_ms
        self.loss = loss
        self.double = double
        self.cut = set()
        self.extra_ms = {}

    def delay(self):
        """Returns one delay."""
        return self._rng.uniform(0.2, self.delay_ms)

    def deliveries(self, source, target):
        """Returns the delays after which a message arrives, if at all."""
        if (source, target) in self.cut or self._rng.random() < self.loss:
            return []
        copies = 2 if self._rng.random() < self.double else 1
        extra_ms = self.extra_ms.get((source, target), 0)
        return [extra_ms + self.delay() for _ in range(copies)]


class _Call:
    """One request as it stands at an upstream."""

    __slots__ = ('answered', 'entry', 'key', 'request', 'running')

    def __init__(self, entry, key, request):
        self.entry = entry
        self.key = key
        self.request = request
        self.running = False
        self.answered = False


class Request:
    """A caller's request and what became of it."""

    __slots__ = ('begun', 'idempotent', 'key', 'number', 'result', 'sent_ms')

    def __init__(self, number, idempotent, key, sent_ms):
        self.number = number
        self.idempotent = idempotent
        self.key = key
        self.sent_ms = sent_ms
        self.begun = 0
        self.result = None


class Upstream:
    """A stand-in upstream with a ledger.

    Attributes:
        honours_close: True if it stops work whose connection was closed.
        service_ms: called without arguments for a service time.
        most_in_flight: largest number of requests worked on at once.
    """

    def __init__(self, world, address, slots=8, connections=64):
        self.world = world
        self.address = address
        self.slots = slots
        self.connections = connections
        self.incarnation = 1
        self.honours_close = True
        self.service_ms = lambda: world.rng.expovariate(1 / 10)
        self.running = {}
        self.open = {}
        self.alive = True
        self.frozen = False
        self.left_ms = None
        self.black_holed = set()
        self.most_in_flight = 0
        self.begun = 0
        self._seq = 0
        self._buffered = []
        self._calls = {}
        world.after(world.rng.uniform(0, 1000), self._announce)

    # Announcements

    def _announce(self):
        self.world.after(ANNOUNCE_MS, self._announce)
        names = list(self.world.entries)
        self.world.rng.shuffle(names)
        self._announce_to(names, self.incarnation)

    def _announce_to(self, names, incarnation):
        """Announces to the first entry that answers."""
        if not names or self.frozen or not self.alive:
            return
        if incarnation != self.incarnation:
            return
        self._seq += 1
        state = 'ready' if self.left_ms is None else 'leaving'
        said = messages.Announcement(
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
        entry.later(
            self.world.network.delay(),
            entry.step,
            routing.AnnouncementHeard(said),
        )
        if not entry.alive:
            self._announce_to(names[1:], incarnation)
        elif entry.frozen:
            self.world.after(
                ANNOUNCE_TIMEOUT_MS, self._announce_to, names[1:], incarnation
            )

    # Connections and requests

    def connect(self, key):
        """Opens a connection; returns False if nobody listens."""
        if not self.alive:
            return False
        self.open[key] = None
        invariants.require(
            len(self.open) <= self.connections,
            'world.connections_within_limit',
            address=self.address,
            connections=len(self.open),
        )
        return True

    def arrive(self, entry, key, request):
        """Takes a request from the network."""
        if not self.alive or key not in self.open:
            return
        if key in self.black_holed:
            return
        left_ms = self.left_ms
        invariants.require(
            left_ms is None or self.world.now <= left_ms + LEAVE_BOUND_MS,
            'world.leaving_gets_nothing',
            address=self.address,
            left_ms=left_ms,
            now_ms=self.world.now,
        )
        call = _Call(entry, key, request)
        self._calls[key] = call
        if self.frozen:
            self._buffered.append(call)
        else:
            self._begin(call)

    def _begin(self, call):
        self.begun += 1
        call.request.begun += 1
        call.running = True
        self.running[call.key] = call
        self.most_in_flight = max(self.most_in_flight, len(self.running))
        invariants.require(
            len(self.running) <= self.slots,
            'world.slots_within_limit',
            address=self.address,
            in_flight=len(self.running),
            now_ms=self.world.now,
            entries=sorted(c.entry.name for c in self.running.values()),
        )
        self.world.after(
            self.service_ms(), self._finish, call, self.incarnation
        )

    def _finish(self, call, incarnation):
        if incarnation != self.incarnation or not call.running:
            return
        if self.frozen:
            self.world.after(5, self._finish, call, incarnation)
            return
        self._end(call)
        call.answered = True
        if call.key not in self.black_holed:
            call.entry.later(
                self.world.network.delay(), call.entry.answered, call.key
            )

    def _end(self, call):
        call.running = False
        self.running.pop(call.key, None)
        self._calls.pop(call.key, None)

    def close(self, key, *, half):
        """Sees a connection closed by the entry, or half-closed."""
        if self.frozen:
            self.world.after(5, self.close, key, half=half)
            return
        if key in self.black_holed:
            if not half:
                self.open.pop(key, None)
            return
        call = self._calls.get(key)
        if call is not None and call.running and not self.honours_close:
            self.world.after(1, self.close, key, half=half)
            return
        if call is not None and call.running:
            self._end(call)
        self.open.pop(key, None)
        entry = self.world.entry_of(key)
        if half and entry is not None:
            entry.later(self.world.network.delay(), entry.saw_close, key)

    # Faults

    def kill(self):
        """Ends the process; its connections break."""
        self.alive = False
        self.incarnation += 1
        self.running.clear()
        self._calls.clear()
        self._buffered.clear()
        for key in list(self.open):
            entry = self.world.entry_of(key)
            if entry is not None:
                entry.later(self.world.network.delay(), entry.broken, key)
        self.open.clear()
        self.black_holed.clear()

    def restart(self):
        """Starts a new process at the same address."""
        self.alive = True
        self.frozen = False
        self.left_ms = None
        self._seq = 0

    def freeze(self, duration_ms):
        """Stops the process for a while."""
        if self.frozen or not self.alive:
            return
        self.frozen = True
        self.world.after(duration_ms, self._thaw, self.incarnation)

    def _thaw(self, incarnation):
        if incarnation != self.incarnation:
            return
        self.frozen = False
        buffered, self._buffered = self._buffered, []
        for call in buffered:
            self._begin(call)

    def leave(self):
        """Announces from now on that it leaves."""
        if self.left_ms is None:
            self.left_ms = self.world.now

    def black_hole(self):
        """Makes the network lose track of one open connection."""
        if self.open:
            self.black_holed.add(self.world.rng.choice(sorted(self.open)))


class _Attempt:
    """One dispatched request at an entry."""

    __slots__ = ('dispatch', 'request', 'written')

    def __init__(self, dispatch, request):
        self.dispatch = dispatch
        self.request = request
        self.written = False


class Entry:
    """A process around one core.

    Attributes:
        reaches_control: False while cut off from control.
    """

    def __init__(self, world, name, incarnation, policy=None):
        self.world = world
        self.name = name
        self.incarnation = incarnation
        self.core = routing.Core(name, incarnation, int(world.now), policy)
        self.alive = True
        self.reaches_control = True
        self.frozen = False
        self._waiting = []
        self._asked = []
        self._requests = {}
        self._attempts = {}
        self._draining = {}
        self._tick()
        self._renew()

    def later(self, delay_ms, func, *args):
        """Runs a function of this process, once it is not frozen."""
        self.world.after(delay_ms, self._awake, func, args)

    def _awake(self, func, args):
        if not self.alive:
            return
        if self.frozen:
            self._waiting.append((func, args))
        else:
            func(*args)

    def freeze(self, duration_ms):
        """Stops the process for a while."""
        if self.alive and not self.frozen:
            self.frozen = True
            self.world.after(duration_ms, self._thaw)

    def _thaw(self):
        self.frozen = False
        waiting, self._waiting = self._waiting, []
        for func, args in waiting:
            self._awake(func, args)

    def kill(self):
        """Ends the process; its requests have no result."""
        self.alive = False
        for request in self._asked:
            request.result = request.result or 'caller lost the connection'
        for upstream in self.world.upstreams.values():
            for key in list(upstream.open):
                if key[:2] == (self.name, self.incarnation):
                    upstream.close(key, half=False)

    # Tasks

    def _tick(self):
        self.step(routing.TickPassed())
        self.later(routing.TICK_MS, self._tick)

    def _renew(self):
        self.later(RENEW_MS, self._renew)
        self.world.renew(self)

    def expect(self, request):
        """Sees a caller's request arrive at its socket."""
        self._asked.append(request)
        self.later(0, self._ask, request)

    def _ask(self, request):
        self._requests[request.number] = request
        self.step(
            routing.RequestArrived(
                request.number,
                SERVICE,
                request.idempotent,
                key=request.key,
                fingerprint=request.key.encode(),
            )
        )

    def drop(self, request):
        """Sees the caller hang up."""
        if self._requests.pop(request.number, None) is None:
            return
        request.result = 'caller left'
        draining = False
        for key, attempt in list(self._attempts.items()):
            if attempt.request is request:
                del self._attempts[key]
                draining = attempt.written
                self._abandon(key, attempt)
        self.step(routing.RequestDropped(request.number, draining))

    def step(self, event):
        """Steps the core and carries its effects out."""
        for effect in self.core.step(event, int(self.world.now)):
            name = f'_on_{type(effect).__name__}'
            getattr(self, name)(effect)

    # Effects

    def _on_SendToPeer(self, effect):
        self.world.send(self, effect.peer, effect.message)

    def _on_CloseConnections(self, effect):
        for connection_id in effect.connection_ids:
            key = (self.name, self.incarnation, connection_id)
            for upstream in self.world.upstreams.values():
                if key in upstream.open:
                    upstream.close(key, half=False)

    def _on_AskClaim(self, effect):
        self.world.claim(self, effect)

    def _on_FinishClaim(self, effect):
        self.world.finish_claim(self, effect)

    def _on_ReplayAnswer(self, effect):
        self._settle(effect.request_id, 'replayed')

    def _on_Refuse(self, effect):
        outcome = 'unknown' if effect.written else 'not-run'
        self._settle(effect.request_id, f'{outcome} {effect.reason}')

    def _settle(self, number, text):
        request = self._requests.pop(number)
        request.result = text

    def _on_Dispatch(self, dispatch):
        request = self._requests[dispatch.request_id]
        attempt = _Attempt(dispatch, request)
        key = (self.name, self.incarnation, dispatch.connection_id)
        self._attempts[key] = attempt
        upstream = self.world.upstreams[dispatch.address]
        if dispatch.fresh:
            self.later(
                self.world.network.delay(), self._connect, key, upstream
            )
        else:
            self.later(0, self._write, key, upstream)

    def _connect(self, key, upstream):
        if key not in self._attempts:
            return
        if upstream.connect(key):
            self._write(key, upstream)
        else:
            self._end(key, 'connect_failed')

    def _write(self, key, upstream):
        attempt = self._attempts.get(key)
        if attempt is None:
            return
        if key not in upstream.open:
            self._end(key, 'stale_connection')
            return
        number = attempt.request.number
        if self.core.may_write(number, int(self.world.now)):
            self._end(key, 'not_written', reusable=True)
            return
        attempt.written = True
        self.world.after(
            self.world.network.delay(),
            upstream.arrive,
            self,
            key,
            attempt.request,
        )
        dispatch = attempt.dispatch
        left_ms = dispatch.deadline_ms - self.world.now
        wait_ms = min(left_ms, dispatch.progress_ms)
        reason = (
            'upstream_silent' if wait_ms < left_ms else 'deadline_exceeded'
        )
        self.later(max(0, wait_ms), self._time_out, key, attempt, reason)

    def _time_out(self, key, attempt, reason):
        if self._attempts.get(key) is attempt:
            self._end(key, reason, draining=True)

    def answered(self, key):
        """Receives a whole answer."""
        attempt = self._attempts.pop(key, None)
        if attempt is None:
            return
        request = self._requests.pop(attempt.request.number, None)
        invariants.require(
            request is attempt.request, 'world.answer_reaches_its_request'
        )
        request.result = 'answered'
        self.world.answered(request)
        self.step(
            routing.AttemptEnded(
                request.number, '', True, reusable=True, answer=b'answer'
            )
        )

    def broken(self, key):
        """Sees a connection break."""
        self.saw_close(key)
        if key in self._attempts:
            self._end(key, 'connection_lost')

    def _end(self, key, reason, *, draining=False, reusable=False):
        attempt = self._attempts.pop(key)
        if draining:
            self._abandon(key, attempt)
        self.step(
            routing.AttemptEnded(
                attempt.request.number,
                reason,
                attempt.written,
                draining=draining,
                reusable=reusable,
            )
        )

    def _abandon(self, key, attempt):
        if not attempt.written:
            return
        address = attempt.dispatch.address
        self._draining[key] = address
        upstream = self.world.upstreams[address]
        self.world.after(
            self.world.network.delay(), upstream.close, key, half=True
        )
        hold_ms = max(0, attempt.dispatch.deadline_ms - self.world.now)
        self.later(
            hold_ms + routing.ABANDON_HOLD_MS, self._give_up, key, upstream
        )

    def _give_up(self, key, upstream):
        if key in self._draining:
            upstream.close(key, half=False)
            self._release(key, False)

    def saw_close(self, key):
        """Sees the upstream close a drained connection."""
        if key in self._draining:
            self._release(key, True)

    def _release(self, key, seen_closed):
        address = self._draining.pop(key)
        self.step(routing.ConnectionReleased(address, key[2], seen_closed))


class World:
    """Everything around the cores.

    Args:
        seed: of all random choices.
        entries: number of entries.
        upstreams: number of upstreams.
        deadline_ms: deadline of the service.
        policy: called without arguments for each entry's policy.
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
        self._policy = policy or (lambda: None)
        self._queue = []
        self._order = itertools.count()
        self._leases = {}
        self._claims = {}
        self._incarnation = 0
        self.entries = {}
        self.upstreams = {}
        for name in self.members:
            self.start_entry(name)
        for number in range(upstreams):
            address = f'127.0.0.1:{9000 + number}'
            self.upstreams[address] = Upstream(self, address)

    # Time

    def after(self, delay_ms, func, *args, **kwargs):
        """Calls a function after a delay."""
        heapq.heappush(
            self._queue,
            (self.now + delay_ms, next(self._order), func, args, kwargs),
        )

    def run_until(self, time_ms):
        """Lets virtual time pass."""
        while self._queue and self._queue[0][0] <= time_ms:
            self.now, _, func, args, kwargs = heapq.heappop(self._queue)
            func(*args, **kwargs)
        self.now = time_ms

    # Entries and control

    def start_entry(self, name):
        """Starts a process for an entry."""
        self._incarnation += 1
        self.entries[name] = Entry(
            self, name, self._incarnation, self._policy()
        )

    def entry_of(self, key):
        """Returns the running process that owns a connection, or None."""
        entry = self.entries.get(key[0])
        if entry is None or not entry.alive or entry.incarnation != key[1]:
            return None
        return entry

    def set_members(self, names):
        """Has a configuration with other members agreed."""
        self.members = sorted(names)
        self.version += 1

    def document(self):
        """Returns the JSON of the configuration."""
        service = {'path': '/quotes', 'deadline_ms': self._deadline_ms}
        entries = {
            name: {'address': f'127.0.0.1:{7000 + int(name[1:])}'}
            for name in self.members
        }
        return http.encode_json(
            {'services': {SERVICE: service}, 'entries': entries}
        )

    def renew(self, entry):
        """Carries one lease renewal to control and back."""
        if not entry.reaches_control:
            return
        self.after(self.network.delay(), self._grant, entry, int(self.now))

    def _grant(self, entry, sent_ms):
        until_ms = sent_ms + LEASE_MS
        owner, held_until_ms = self._leases.get(entry.name, (None, 0))
        if entry.name not in self.members:
            until_ms = 0
        elif owner not in (None, entry.incarnation) and (
            self.now < held_until_ms
        ):
            until_ms = 0
        else:
            self._leases[entry.name] = (
                entry.incarnation,
                self.now + LEASE_GUARD_MS,
            )
        event = routing.ConfigurationGranted(
            self.version, until_ms, self.document()
        )
        entry.later(self.network.delay(), entry.step, event)

    def claim(self, entry, effect):
        """Agrees a claim."""
        owner = (entry.name, entry.incarnation)
        state, holder = self._claims.get(effect.key, (None, None))
        if state is None:
            self._claims[effect.key] = ('held', owner)
            state = 'granted'
        event = routing.ClaimResolved(
            effect.request_id,
            state,
            200,
            b'stored' if state == 'done' else b'',
        )
        entry.later(5 + self.network.delay(), entry.step, event)

    def finish_claim(self, entry, effect):
        """Agrees the end of a claim."""
        owner = (entry.name, entry.incarnation)
        if self._claims.get(effect.key) != ('held', owner):
            return
        if effect.state == 'not_run':
            del self._claims[effect.key]
        else:
            self._claims[effect.key] = (effect.state, owner)

    def send(self, source, target, message):
        """Carries a message between entries."""
        entry = self.entries.get(target)
        if entry is None:
            return
        event = routing.PeerSent(source.name, message)
        for delay_ms in self.network.deliveries(source.name, target):
            entry.later(delay_ms, entry.step, event)

    # Callers

    def ask(self, entry_name, idempotent=True, key=''):
        """Sends a caller's request to an entry; returns the ``Request``."""
        request = Request(len(self.requests) + 1, idempotent, key, self.now)
        self.requests.append(request)
        self.entries[entry_name].expect(request)
        return request

    def answered(self, request):
        """Notes the latency of an answer."""
        self.latencies.append(self.now - request.sent_ms)

    # Checks

    def check_requests(self):
        """Checks every settled request against the ledgers."""
        by_key = {}
        for request in self.requests:
            once = request.begun <= 1
            invariants.require(
                request.idempotent or once,
                'world.runs_at_most_once',
                number=request.number,
                result=request.result,
            )
            not_run = str(request.result).startswith('not-run')
            invariants.require(
                not (not_run and request.begun),
                'world.not_run_is_true',
                number=request.number,
                result=request.result,
            )
            if request.key and not request.idempotent:
                by_key[request.key] = (
                    by_key.get(request.key, 0) + request.begun
                )
        for key, begun in by_key.items():
            invariants.require(
                begun <= 1, 'world.key_runs_at_most_once', key=key
            )

    def check_quiet(self):
        """Checks that nothing is left over once all work has ended."""
        for request in self.requests:
            invariants.require(
                request.result is not None,
                'world.every_request_settled',
                number=request.number,
            )
        # An entry that is no member hears nothing that would free its slots.
        for name in self.members:
            self._check_quiet_entry(self.entries[name])

    def _check_quiet_entry(self, entry):
        invariants.require(
            entry.core.pending == 0 and entry.core.in_flight == 0,
            'world.nothing_pending',
            entry=entry.name,
            pending=entry.core.pending,
        )
        for status in entry.core.upstream_statuses(int(self.now)):
            invariants.require(
                status.in_use == 0,
                'world.no_slot_leaked',
                entry=entry.name,
                in_use=status.in_use,
            )
