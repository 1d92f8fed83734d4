"""Randomised simulation of entries, control replicas and their network.

Time is simulated.  The clock of each process runs up to 1% fast or slow.
Messages are lost, duplicated, or delayed by up to seconds.  Processes are cut
off or freeze, also between a read that a quorum confirmed and its effect.
Entry processes are replaced while the old process goes on for some time, and
a new leader is elected while the old one still acts.

After every event the guarantees of the ``membership`` package are checked.
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
# Upper bounds of the delays, which are drawn at random.  Each seed chooses one
# of the usual bounds; a few messages are late.
MAX_USUAL_DELAYS_MS = (3, 40)
MAX_LATE_DELAY_MS = 4000
MAX_FREEZE_MS = 6000
MAX_DRIFT_SHARE = 0.01


def _make_patch(version):
    return b'{"services":{"v":%d}}' % version


def _make_document(version):
    """Returns a document that every version changes a little."""
    return b'{"fixed":"%s","services":{"v":%d}}' % (b'x' * 99, version)


class Violation(AssertionError):
    """A guarantee of the ``membership`` package was broken."""


class _Clock:
    """Clock of one process, with an offset and rate of its own."""

    def __init__(self, rng):
        self._rate = 1 + rng.choice((-MAX_DRIFT_SHARE, 0, MAX_DRIFT_SHARE))
        self._offset_ms = rng.randrange(10**6)

    def read(self, simulated_ms):
        """Returns what the clock shows at the simulated time, in ms."""
        return int(self._offset_ms + simulated_ms * self._rate)


class EntryProcess:
    """One process of an entry, with its lease holder.

    Attributes:
        name: name of the entry.
        clock: ``_Clock`` of the process.
        holder: its ``ConfigLeaseHolder``.
        frozen_until_ms: simulated time until which the process is stopped.
        cut_off_until_ms: simulated time until which its messages are lost.
        alive: False once the process has ended.
        last_seen_version: version in force at the last check.
    """

    def __init__(self, world, name, incarnation):
        self.name = name
        self.clock = _Clock(world.rng)
        self.holder = membership.ConfigLeaseHolder(
            name, incarnation, f'10.0.0.1:{ENTRIES.index(name) + 1}', CONTROLS
        )
        self.frozen_until_ms = 0
        self.cut_off_until_ms = 0
        self.alive = True
        self.last_seen_version = 0
        self.waiting = []


class Leader:
    """A control replica while it leads, or still assumes that it does.

    Attributes:
        control: name of the control replica.
        term: term that it leads.
        clock: ``_Clock`` of its process.
        granter: its ``ConfigLeaseGranter``.
        frozen_until_ms: simulated time until which the process is stopped.
    """

    def __init__(self, world, control, term):
        self.control = control
        self.term = term
        self.clock = _Clock(world.rng)
        self.granter = membership.ConfigLeaseGranter()
        self.frozen_until_ms = 0


class World:
    """Simulation of one seed.

    Args:
        seed: seed of all random choices.

    Attributes:
        simulated_ms: simulated time, in milliseconds.
        version: newest agreed configuration version.
        reported_version: newest version that a granter reported to be in
            force everywhere.
        report_count: number of such reports.
        grant_count: number of leases granted.
        leaders: every ``Leader`` so far, by term.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self._max_usual_delay_ms = self.rng.choice(MAX_USUAL_DELAYS_MS)
        self.simulated_ms = 0
        self.version = 1
        self.reported_version = 0
        self.report_count = 0
        self.grant_count = 0
        self._event_numbers = itertools.count()
        self._queue = []
        self._incarnations = itertools.count(1)
        self._processes = [
            EntryProcess(self, name, next(self._incarnations))
            for name in ENTRIES
        ]
        self.leaders = []
        self._elect_leader()

    def run(self, event_count):
        """Handles ``event_count`` events."""
        for process in self._processes:
            self._schedule(0, self._tick_process, process)
        self._schedule(100, self._inject_fault)
        for _ in range(event_count):
            self.simulated_ms, _, callback, args = heapq.heappop(self._queue)
            callback(*args)
            self._check_guarantees()

    def _schedule(self, delay_ms, callback, *args):
        due_ms = self.simulated_ms + max(0, delay_ms)
        heapq.heappush(
            self._queue, (due_ms, next(self._event_numbers), callback, args)
        )

    # Network

    def _draw_delay_ms(self):
        if self.rng.random() < 0.05:
            return self.rng.randrange(MAX_LATE_DELAY_MS)
        return self.rng.randrange(self._max_usual_delay_ms)

    def _send_message(self, process, callback, *args):
        """Sends a message from or to an entry process; it may be lost."""
        if self.simulated_ms < process.cut_off_until_ms:
            return
        for _ in range(2 if self.rng.random() < 0.05 else 1):
            if self.rng.random() >= 0.08:
                self._schedule(self._draw_delay_ms(), callback, *args)

    # Entries

    def _tick_process(self, process):
        if process.alive:
            if self.simulated_ms >= process.frozen_until_ms:
                self._step_holder(process, membership.Tick())
            self._schedule(TICK_MS, self._tick_process, process)

    def _step_holder(self, process, event):
        now_ms = process.clock.read(self.simulated_ms)
        for effect in process.holder.step(event, now_ms):
            if isinstance(effect, membership.SendToPeer):
                self._send_message(
                    process,
                    self._deliver_to_control,
                    effect.peer,
                    process,
                    effect.message,
                )

    def _deliver_to_entry(self, process, control, message):
        if not process.alive:
            return
        if self.simulated_ms < process.frozen_until_ms:
            wait_ms = process.frozen_until_ms - self.simulated_ms
            self._schedule(
                wait_ms, self._deliver_to_entry, process, control, message
            )
            return
        self._step_holder(
            process, membership.MessageReceived(control, message)
        )

    # Control

    @property
    def leader(self):
        """The leader of the newest term."""
        return self.leaders[-1]

    def _elect_leader(self):
        control = self.rng.choice(CONTROLS)
        leader = Leader(self, control, len(self.leaders) + 1)
        self.leaders.append(leader)
        now_ms = leader.clock.read(self.simulated_ms)
        leader.granter.step(self._make_version_agreed_event(), now_ms)
        leader.granter.step(membership.LeaderReady(leader.term), now_ms)

    def _make_version_agreed_event(self):
        addresses = {
            name: f'10.0.0.1:{port}' for port, name in enumerate(ENTRIES, 1)
        }
        return membership.VersionAgreed(
            self.version,
            _make_document(self.version),
            addresses,
            self.rng.choice((b'', _make_patch(self.version))),
        )

    def _deliver_to_control(self, control, process, message):
        """Delivers a request to a control replica, which asks its quorum."""
        leader = self.leader
        if leader.control != control:
            refusal = messages.ControlRefused(
                message.call_id, 'not_leader', leader.control
            )
            self._send_message(
                process, self._deliver_to_entry, process, control, refusal
            )
            return
        if self.simulated_ms < leader.frozen_until_ms:
            wait_ms = leader.frozen_until_ms - self.simulated_ms
            self._schedule(
                wait_ms, self._deliver_to_control, control, process, message
            )
            return
        # The quorum has confirmed the leader now; the request is handled
        # later, after a freeze in some cases.
        pause_ms = self.rng.randrange(self._max_usual_delay_ms)
        if self.rng.random() < 0.02:
            pause_ms = self.rng.randrange(MAX_LATE_DELAY_MS)
        self._schedule(
            pause_ms, self._handle_confirmed_request, leader, process, message
        )

    def _handle_confirmed_request(self, leader, process, message):
        event = membership.MessageReceived(process, message)
        self._step_granter(leader, event)

    def _step_granter(self, leader, event):
        now_ms = leader.clock.read(self.simulated_ms)
        for effect in leader.granter.step(event, now_ms):
            if effect.message.lease_ms:
                self.grant_count += 1
            self._send_message(
                effect.peer,
                self._deliver_to_entry,
                effect.peer,
                leader.control,
                effect.message,
            )

    # Faults and changes

    def _inject_fault(self):
        """Causes a random fault or change, and schedules the next one."""
        self._schedule(self.rng.randrange(400), self._inject_fault)
        weighted_callbacks = (
            (0.30, self._agree_next_version),
            (0.37, self._report_version_in_force),
            (0.08, self._freeze_entry_process),
            (0.06, self._replace_entry_process),
            (0.08, self._cut_off_entry_process),
            (0.03, self._freeze_leader),
            (0.06, self._elect_leader),
            (0.03, self._release_lease),
        )
        weights = [weight for weight, _ in weighted_callbacks]
        callbacks = [callback for _, callback in weighted_callbacks]
        self.rng.choices(callbacks, weights)[0]()

    def _agree_next_version(self):
        if self.simulated_ms >= self.leader.frozen_until_ms:
            self.version += 1
            self._step_granter(self.leader, self._make_version_agreed_event())

    def _report_version_in_force(self):
        """Asks a leader, also a replaced one, what is in force everywhere."""
        leader = self.rng.choice(self.leaders[-2:])
        now_ms = leader.clock.read(self.simulated_ms)
        if leader.granter.is_in_force_everywhere(now_ms):
            self.report_count += 1
            self.reported_version = max(
                self.reported_version, leader.granter.version
            )

    def _freeze_entry_process(self):
        process = self.rng.choice(self._processes)
        process.frozen_until_ms = self.simulated_ms + self.rng.randrange(
            MAX_FREEZE_MS
        )

    def _cut_off_entry_process(self):
        process = self.rng.choice(self._processes)
        process.cut_off_until_ms = self.simulated_ms + self.rng.randrange(
            MAX_FREEZE_MS
        )

    def _freeze_leader(self):
        until_ms = self.simulated_ms + self.rng.randrange(MAX_FREEZE_MS)
        self.leader.frozen_until_ms = until_ms

    def _replace_entry_process(self):
        old_process = self.rng.choice(self._processes)
        new_process = EntryProcess(
            self, old_process.name, next(self._incarnations)
        )
        self._processes.append(new_process)
        self._schedule(0, self._tick_process, new_process)
        if self.rng.random() < 0.5:
            old_process.alive = False
        else:
            # The old process was presumed dead, but is only cut off.
            old_process.cut_off_until_ms = self.simulated_ms + MAX_FREEZE_MS
            self._schedule(
                self.rng.randrange(MAX_FREEZE_MS),
                self._kill_process,
                old_process,
            )
        self._processes = [
            process for process in self._processes if process.alive
        ]

    def _kill_process(self, process):
        process.alive = False

    def _release_lease(self):
        process = self.rng.choice(self._processes)
        self._step_holder(process, membership.ReleaseLease())
        self._kill_process(process)
        self._replace_entry_process()

    # Guarantees

    def _check_guarantees(self):
        serving_process_by_name = {}
        for process in self._processes:
            if (
                not process.alive
                or self.simulated_ms < process.frozen_until_ms
            ):
                continue
            holder = process.holder
            if holder.version < process.last_seen_version:
                raise Violation(f'{process.name} reverted to an older version')
            process.last_seen_version = holder.version
            if holder.version and holder.document != _make_document(
                holder.version
            ):
                raise Violation(f'{process.name} has a wrong document')
            if not holder.is_held(process.clock.read(self.simulated_ms)):
                continue
            if holder.version < self.reported_version:
                raise Violation(
                    f'{process.name} serves {holder.version}, '
                    f'{self.reported_version} was reported in force everywhere'
                )
            if process.name in serving_process_by_name:
                raise Violation(f'two processes of {process.name} serve')
            serving_process_by_name[process.name] = process
