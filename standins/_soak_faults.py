"""Faults of a soak run: what is done to which process, for how long."""

import abc
import random
import threading
import time

from fuchsiatrestle import errors
from standins import _ledgers
from standins import _processes

__all__ = ('CONTROL_LANE', 'PLATFORM_LANE', 'FaultLane', 'Targets')

MIN_GAP_S = 0.5
MAX_GAP_S = 2.0
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0


class Fault(abc.ABC):
    """One kind of fault.

    Attributes:
        kind: name in the ledger.
        hold_s: shortest and longest time until it is healed.
    """

    kind = ''
    hold_s = (0.5, 3.0)

    @abc.abstractmethod
    def begin(self, cluster, process):
        """Brings the fault about; may raise ``errors.Error``."""

    @abc.abstractmethod
    def heal(self, cluster, process):
        """Makes the process whole again."""


class Kill(Fault):
    """Kills a process without warning and starts it again."""

    kind = 'kill'

    def begin(self, cluster, process):
        """Sends SIGKILL."""
        process.kill()

    def heal(self, cluster, process):
        """Starts it again."""
        process.start()


class Stop(Kill):
    """Stops a process as planned and starts it again."""

    kind = 'stop'

    def begin(self, cluster, process):
        """Sends SIGTERM and demands exit status 0.

        An interpreter that is still starting has no handler yet, so a
        process is stopped only once it is at work.
        """
        _processes.wait_until(
            process.has_started, START_TIMEOUT_S, f'{process.name} started'
        )
        status = process.stop(STOP_TIMEOUT_S)
        if status:
            raise errors.Error(
                f'planned stop ended with {status}',
                step='stop',
                peer=process.name,
            )


class Freeze(Fault):
    """Keeps a process from running, longer than every lease at times."""

    kind = 'freeze'
    hold_s = (0.5, 8.0)

    def begin(self, cluster, process):
        """Sends SIGSTOP."""
        process.freeze()

    def heal(self, cluster, process):
        """Sends SIGCONT."""
        process.resume()


class Silence(Fault):
    """Makes the open connections to a process silent for good."""

    kind = 'silence'

    def begin(self, cluster, process):
        """Tells the relay; new connections pass."""
        cluster.set_relay(process.name, 'silence')

    def heal(self, cluster, process):
        """Leaves the silent connections silent."""
        cluster.set_relay(process.name, 'pass')


class Cut(Silence):
    """Makes open and new connections to a process silent."""

    kind = 'cut'
    hold_s = (1.0, 8.0)

    def begin(self, cluster, process):
        """Tells the relay."""
        cluster.set_relay(process.name, 'cut')


class Slow(Fault):
    """Makes an upstream answer ten times slower."""

    kind = 'slow'
    hold_s = (1.0, 4.0)

    def begin(self, cluster, process):
        """Changes the mode of the upstream."""
        cluster.set_upstream_mode(process.name, self.kind)

    def heal(self, cluster, process):
        """Changes the mode back."""
        cluster.set_upstream_mode(process.name, 'normal')


class Half(Slow):
    """Makes an upstream break off its answers."""

    kind = 'half'


class Fail(Slow):
    """Makes an upstream answer 500."""

    kind = 'fail'


class Refuse(Slow):
    """Makes an upstream refuse as not run."""

    kind = 'refuse'


class Leaving(Slow):
    """Makes an upstream announce that it leaves, and come back."""

    kind = 'leaving'
    hold_s = (4.0, 8.0)


# One lane touches one process at a time: with one lane of each, a majority of
# the control replicas and one entry always work.
CONTROL_LANE = {
    'controls': (Kill(), Stop(), Freeze(), Silence(), Cut()),
}
PLATFORM_LANE = {
    'entries': (Kill(), Stop(), Freeze()),
    'upstreams': (
        Kill(),
        Stop(),
        Freeze(),
        Silence(),
        Cut(),
        Slow(),
        Half(),
        Fail(),
        Refuse(),
        Leaving(),
    ),
    'workers': (Kill(), Stop(), Freeze()),
}


class Targets:
    """Processes under fault, so that two lanes never share one."""

    def __init__(self):
        self._taken = set()
        self._lock = threading.Lock()

    def take(self, rng, names):
        """Returns a name not under fault, None if there is none."""
        with self._lock:
            free = [name for name in names if name not in self._taken]
            if not free:
                return None
            name = rng.choice(free)
            self._taken.add(name)
            return name

    def give_back(self, name):
        """Notes that a process is whole again."""
        with self._lock:
            self._taken.discard(name)


class FaultLane:
    """A thread that does one fault after the other, drawn from a seed.

    Args:
        cluster: the ``Cluster``.
        name: name of the lane.
        seed: of the order of faults.
        faults: faults by kind of process.
        targets: the ``Targets`` shared by all lanes.

    Attributes:
        lines: ``FaultLine`` values.
        failures: texts of faults that could not be done as they must.
    """

    def __init__(self, cluster, name, seed, faults, targets):
        self.lines = []
        self.failures = []
        self._ledger = _ledgers.Ledger(cluster.ledger_path(f'faults-{name}'))
        self._cluster = cluster
        self._targets = targets
        self._rng = random.Random(f'{seed}-{name}')
        self._choices = [
            (kind, fault) for kind, items in faults.items() for fault in items
        ]
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name)

    def start(self):
        """Starts the thread."""
        self._thread.start()

    def ask_to_stop(self):
        """Heals the current fault and makes it the last one."""
        self._stop.set()

    def join(self):
        """Waits for the end."""
        self._thread.join()

    def _run(self):
        while not self._stop.is_set():
            self._stop.wait(self._rng.uniform(MIN_GAP_S, MAX_GAP_S))
            if self._stop.is_set():
                return
            kind, fault = self._rng.choice(self._choices)
            processes = getattr(self._cluster, kind)
            name = self._targets.take(self._rng, sorted(processes))
            if name is not None:
                self._do(fault, processes[name])
                self._targets.give_back(name)

    def _do(self, fault, process):
        since_ns = done_ns = time.monotonic_ns()
        try:
            if not process.running:
                raise errors.Error(
                    f'had ended with {process.exit_status}',
                    step=fault.kind,
                    peer=process.name,
                )
            fault.begin(self._cluster, process)
            done_ns = time.monotonic_ns()
            self._stop.wait(self._rng.uniform(*fault.hold_s))
            fault.heal(self._cluster, process)
        except errors.Error as exc:
            self.failures.append(str(exc))
            if not process.running:
                process.start()
        line = _ledgers.FaultLine(
            fault.kind, process.name, since_ns, done_ns, time.monotonic_ns()
        )
        self.lines.append(line)
        self._ledger.write(line)
