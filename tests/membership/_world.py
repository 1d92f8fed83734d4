"""Randomised world of entries, control replicas and a network.

Time is simulated; every process has a clock of its own that runs up to 1%
fast or slow.  Messages are lost, doubled and late by up to seconds; processes
are cut off or freeze, also between a confirmed read and its effect; entries
are replaced while the old process lingers; leaders change while the old one
still acts.

After every event the promises of the ``membership`` package are checked.
"""

import heapq
import itertools
import random

from fuchsiatrestle import membership
from fuchsiatrestle import messages

__all__ = ('Violation', 'World')

ENTRIES = ('e1', 'e2', 'e3')
CONTROLS = ('c1', 'c2', 'c3')
TICK_MS = 50
QUICK_MS = (3, 40)
LATE_MS = 4000
FREEZE_MS = 6000
MAX_DRIFT = 0.01


def _patch(version):
    return b'{"services":{"v":%d}}' % version


def _document(version):
    """Returns a document that every version changes a little."""
    return b'{"fixed":"%s","services":{"v":%d}}' % (b'x' * 99, version)


class Violation(AssertionError):
    """A promise was broken."""


class _Clock:
    """Clock of one process against simulated time."""

    def __init__(self, rng):
        self._rate = 1 + rng.choice((-MAX_DRIFT, 0, MAX_DRIFT))
        self._offset_ms = rng.randrange(10**6)

    def read(self, true_ms):
        return int(self._offset_ms + true_ms * self._rate)


class EntryProcess:
    """One process of an entry."""

    def __init__(self, world, name, incarnation):
        self.name = name
        self.clock = _Clock(world.rng)
        self.holder = membership.ConfigLeaseHolder(
            name, incarnation, f'10.0.0.1:{ENTRIES.index(name) + 1}', CONTROLS
        )
        self.frozen_until = 0
        self.cut_until = 0
        self.alive = True
        self.version_seen = 0
        self.waiting = []


class Leader:
    """One control replica while it leads, or believes so."""

    def __init__(self, world, node, term):
        self.node = node
        self.term = term
        self.clock = _Clock(world.rng)
        self.granter = membership.ConfigLeaseGranter()
        self.frozen_until = 0


class World:
    """Runs one seed.

    Args:
        seed: source of all choices.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self._quick_ms = self.rng.choice(QUICK_MS)
        self.now = 0
        self.version = 1
        self.claimed = 0
        self.claims = 0
        self.granted = 0
        self._order = itertools.count()
        self._queue = []
        self._incarnations = itertools.count(1)
        self._processes = [
            EntryProcess(self, name, next(self._incarnations))
            for name in ENTRIES
        ]
        self.leaders = []
        self._elect()

    def run(self, steps):
        """Handles ``steps`` events."""
        for process in self._processes:
            self._at(0, self._tick, process)
        self._at(100, self._disturb)
        for _ in range(steps):
            self.now, _, call, args = heapq.heappop(self._queue)
            call(*args)
            self._check()

    def _at(self, delay, call, *args):
        when = self.now + max(0, delay)
        heapq.heappush(self._queue, (when, next(self._order), call, args))

    # Network

    def _delay(self):
        if self.rng.random() < 0.05:
            return self.rng.randrange(LATE_MS)
        return self.rng.randrange(self._quick_ms)

    def _transmit(self, process, call, *args):
        """Sends a message from or to an entry process."""
        if self.now < process.cut_until:
            return
        for _ in range(2 if self.rng.random() < 0.05 else 1):
            if self.rng.random() >= 0.08:
                self._at(self._delay(), call, *args)

    # Entries

    def _tick(self, process):
        if process.alive:
            if self.now >= process.frozen_until:
                self._step(process, membership.Tick())
            self._at(TICK_MS, self._tick, process)

    def _step(self, process, event):
        now_ms = process.clock.read(self.now)
        for effect in process.holder.step(event, now_ms):
            if isinstance(effect, membership.Send):
                self._transmit(
                    process,
                    self._arrive,
                    effect.peer,
                    process,
                    effect.message,
                )

    def _arrive_at_entry(self, process, node, message):
        if not process.alive:
            return
        if self.now < process.frozen_until:
            wait = process.frozen_until - self.now
            self._at(wait, self._arrive_at_entry, process, node, message)
            return
        self._step(process, membership.Received(node, message))

    # Control

    @property
    def leader(self):
        """The leader of the newest term."""
        return self.leaders[-1]

    def _elect(self):
        node = self.rng.choice(CONTROLS)
        leader = Leader(self, node, len(self.leaders) + 1)
        self.leaders.append(leader)
        now_ms = leader.clock.read(self.now)
        leader.granter.step(self._agreed(), now_ms)
        leader.granter.step(membership.LeaderReady(leader.term), now_ms)

    def _agreed(self):
        entries = {
            name: f'10.0.0.1:{place}' for place, name in enumerate(ENTRIES, 1)
        }
        return membership.VersionAgreed(
            self.version,
            _document(self.version),
            entries,
            self.rng.choice((b'', _patch(self.version))),
        )

    def _arrive(self, node, process, message):
        """A call reaches a control replica and waits for its quorum."""
        leader = self.leader
        if leader.node != node:
            refused = messages.ControlRefused(
                message.call_id, 'not_leader', leader.node
            )
            self._transmit(
                process, self._arrive_at_entry, process, node, refused
            )
            return
        if self.now < leader.frozen_until:
            wait = leader.frozen_until - self.now
            self._at(wait, self._arrive, node, process, message)
            return
        # Confirmed now; what follows may come after a freeze.
        pause = self.rng.randrange(self._quick_ms)
        if self.rng.random() < 0.02:
            pause = self.rng.randrange(LATE_MS)
        self._at(pause, self._handle, leader, process, message)

    def _handle(self, leader, process, message):
        event = membership.Received(process, message)
        self._run_granter(leader, event)

    def _run_granter(self, leader, event):
        now_ms = leader.clock.read(self.now)
        for effect in leader.granter.step(event, now_ms):
            if effect.message.lease_ms:
                self.granted += 1
            self._transmit(
                effect.peer,
                self._arrive_at_entry,
                effect.peer,
                leader.node,
                effect.message,
            )

    # Faults and changes

    def _disturb(self):
        self._at(self.rng.randrange(400), self._disturb)
        choices = (
            (0.30, self._patch),
            (0.37, self._claim),
            (0.08, self._freeze_entry),
            (0.06, self._replace_entry),
            (0.08, self._cut_entry),
            (0.03, self._freeze_leader),
            (0.06, self._elect),
            (0.03, self._release),
        )
        weights = [weight for weight, _ in choices]
        calls = [call for _, call in choices]
        self.rng.choices(calls, weights)[0]()

    def _patch(self):
        if self.now >= self.leader.frozen_until:
            self.version += 1
            self._run_granter(self.leader, self._agreed())

    def _claim(self):
        """Any leader, also one replaced since, says what it believes."""
        leader = self.rng.choice(self.leaders[-2:])
        now_ms = leader.clock.read(self.now)
        if leader.granter.is_everywhere(now_ms):
            self.claims += 1
            self.claimed = max(self.claimed, leader.granter.version)

    def _freeze_entry(self):
        process = self.rng.choice(self._processes)
        process.frozen_until = self.now + self.rng.randrange(FREEZE_MS)

    def _cut_entry(self):
        process = self.rng.choice(self._processes)
        process.cut_until = self.now + self.rng.randrange(FREEZE_MS)

    def _freeze_leader(self):
        until = self.now + self.rng.randrange(FREEZE_MS)
        self.leader.frozen_until = until

    def _replace_entry(self):
        old = self.rng.choice(self._processes)
        new = EntryProcess(self, old.name, next(self._incarnations))
        self._processes.append(new)
        self._at(0, self._tick, new)
        if self.rng.random() < 0.5:
            old.alive = False
        else:
            # A process that was given up for dead and cut off lives on.
            old.cut_until = self.now + FREEZE_MS
            self._at(self.rng.randrange(FREEZE_MS), self._kill, old)
        self._processes = [one for one in self._processes if one.alive]

    def _kill(self, process):
        process.alive = False

    def _release(self):
        process = self.rng.choice(self._processes)
        self._step(process, membership.Release())
        self._kill(process)
        self._replace_entry()

    # Promises

    def _check(self):
        serving = {}
        for process in self._processes:
            if not process.alive or self.now < process.frozen_until:
                continue
            holder = process.holder
            if holder.version < process.version_seen:
                raise Violation(f'{process.name} reverted')
            process.version_seen = holder.version
            if holder.version and holder.document != _document(holder.version):
                raise Violation(f'{process.name} has a wrong document')
            if not holder.is_held(process.clock.read(self.now)):
                continue
            if holder.version < self.claimed:
                raise Violation(
                    f'{process.name} serves {holder.version}, '
                    f'{self.claimed} was said to be in force everywhere'
                )
            if process.name in serving:
                raise Violation(f'two processes of {process.name} serve')
            serving[process.name] = process
