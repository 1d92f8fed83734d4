"""Fault injection of a soak run.

A lane is a thread that injects one fault at a time.
"""

import abc
import random
import threading
import time

from fuchsiatrestle import errors
from standins import _ledgers
from standins import _processes

__all__ = ('CONTROL_FAULTS', 'PLATFORM_FAULTS', 'FaultLane', 'ProcessClaims')

MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 2.0
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0


class Fault(abc.ABC):
    """One kind of fault.

    Attributes:
        kind: name of the fault in the ledger.
        duration_range_s: shortest and longest time until it is healed.
    """

    kind = ''
    duration_range_s = (0.5, 3.0)

    @abc.abstractmethod
    def begin(self, cluster, process):
        """Injects the fault into a process.

        Raises:
            errors.Error: the fault could not be injected.
        """

    @abc.abstractmethod
    def heal(self, cluster, process):
        """Ends the fault, so that the process works again."""


class Kill(Fault):
    """Kills a process with SIGKILL and restarts it."""

    kind = 'kill'

    def begin(self, cluster, process):
        """Sends SIGKILL."""
        process.kill()

    def heal(self, cluster, process):
        """Starts the process again."""
        process.start()


class Stop(Kill):
    """Stops a process with SIGTERM and restarts it."""

    kind = 'stop'

    def begin(self, cluster, process):
        """Sends SIGTERM and waits for exit status 0.

        Waits first until the process has started, as an interpreter that is
        still starting has no signal handler yet.

        Raises:
            errors.Error: the process did not start or exit in time, or had
                another exit status.
        """
        _processes.wait_until(
            process.has_started, START_TIMEOUT_S, f'{process.name} started'
        )
        status = process.stop(STOP_TIMEOUT_S)
        if status:
            raise errors.Error(
                f'planned stop ended with exit status {status}',
                step='stop',
                peer=process.name,
            )


class Freeze(Fault):
    """Suspends a process, sometimes for longer than every lease."""

    kind = 'freeze'
    duration_range_s = (0.5, 8.0)

    def begin(self, cluster, process):
        """Sends SIGSTOP."""
        process.freeze()

    def heal(self, cluster, process):
        """Sends SIGCONT."""
        process.resume()


class Silence(Fault):
    """Makes the open connections to a process silent for good.

    New connections are forwarded as usual.
    """

    kind = 'silence'

    def begin(self, cluster, process):
        """Sets the mode ``silence`` at the relay."""
        cluster.set_relay_mode(process.name, 'silence')

    def heal(self, cluster, process):
        """Sets the mode ``pass``; silent connections stay silent."""
        cluster.set_relay_mode(process.name, 'pass')


class Cut(Silence):
    """Makes connections to a process silent for good.

    Affects the open ones and those opened until the fault is healed.
    """

    kind = 'cut'
    duration_range_s = (1.0, 8.0)

    def begin(self, cluster, process):
        """Sets the mode ``cut`` at the relay."""
        cluster.set_relay_mode(process.name, 'cut')


class SlowAnswers(Fault):
    """Makes an upstream take ten times its service time.

    Its subclasses set other modes of the upstream.
    """

    kind = 'slow'
    duration_range_s = (1.0, 4.0)

    def begin(self, cluster, process):
        """Sets the upstream to the mode whose name is ``kind``."""
        cluster.set_upstream_mode(process.name, self.kind)

    def heal(self, cluster, process):
        """Sets the upstream to the mode ``normal``."""
        cluster.set_upstream_mode(process.name, 'normal')


class TruncatedAnswers(SlowAnswers):
    """Makes an upstream cut its answers in the middle of the body."""

    kind = 'half'


class ErrorAnswers(SlowAnswers):
    """Makes an upstream answer 500."""

    kind = 'fail'


class Refusals(SlowAnswers):
    """Makes an upstream refuse requests without running them."""

    kind = 'refuse'


class Leaving(SlowAnswers):
    """Makes an upstream announce that it leaves, and later come back."""

    kind = 'leaving'
    duration_range_s = (4.0, 8.0)


# Possible faults, by the attribute of ``Cluster`` that holds the processes to
# inject them into.  A lane affects one process at a time.  With one control
# lane and one platform lane, a majority of the control replicas and one entry
# always work.
CONTROL_FAULTS = {
    'controls': (Kill(), Stop(), Freeze(), Silence(), Cut()),
}
PLATFORM_FAULTS = {
    'entries': (Kill(), Stop(), Freeze()),
    'upstreams': (
        Kill(),
        Stop(),
        Freeze(),
        Silence(),
        Cut(),
        SlowAnswers(),
        TruncatedAnswers(),
        ErrorAnswers(),
        Refusals(),
        Leaving(),
    ),
    'workers': (Kill(), Stop(), Freeze()),
}


class ProcessClaims:
    """Names of the processes that a lane has claimed for a fault.

    Prevents two lanes from injecting faults into the same process.
    """

    def __init__(self):
        self._claimed = set()
        self._lock = threading.Lock()

    def claim(self, rng, names):
        """Claims a random process that no lane has claimed.

        Args:
            rng: random generator that chooses.
            names: names to choose from.

        Returns:
            The name, None if all are claimed.
        """
        with self._lock:
            free = [name for name in names if name not in self._claimed]
            if not free:
                return None
            name = rng.choice(free)
            self._claimed.add(name)
            return name

    def release(self, name):
        """Makes a process available to all lanes again."""
        with self._lock:
            self._claimed.discard(name)


class FaultLane:
    """A thread that injects one random fault after the other.

    Args:
        cluster: the ``Cluster``.
        name: name of the lane.
        seed: seed of the choice of faults.
        faults_by_kind: possible ``Fault`` values by kind of process, such as
            ``CONTROL_FAULTS``.
        claims: the ``ProcessClaims`` shared by all lanes.

    Attributes:
        lines: a ``FaultLine`` for each fault.
        failures: error texts of faults that failed to be injected or healed.
    """

    def __init__(self, cluster, name, seed, faults_by_kind, claims):
        self.lines = []
        self.failures = []
        self._ledger = _ledgers.Ledger(cluster.ledger_path(f'faults-{name}'))
        self._cluster = cluster
        self._claims = claims
        self._rng = random.Random(f'{seed}-{name}')
        self._choices = [
            (kind, fault)
            for kind, items in faults_by_kind.items()
            for fault in items
        ]
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name)

    def start(self):
        """Starts the thread."""
        self._thread.start()

    def ask_to_stop(self):
        """Makes the lane heal its fault at once and inject no further one."""
        self._stop.set()

    def join(self):
        """Waits until the thread has ended."""
        self._thread.join()

    def _run(self):
        while not self._stop.is_set():
            self._stop.wait(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            if self._stop.is_set():
                return
            kind, fault = self._rng.choice(self._choices)
            processes = getattr(self._cluster, kind)
            name = self._claims.claim(self._rng, sorted(processes))
            if name is not None:
                self._inject_fault(fault, processes[name])
                self._claims.release(name)

    def _inject_fault(self, fault, process):
        since_ns = done_ns = time.monotonic_ns()
        try:
            if not process.running:
                raise errors.Error(
                    f'had exited with status {process.exit_status}',
                    step=fault.kind,
                    peer=process.name,
                )
            fault.begin(self._cluster, process)
            done_ns = time.monotonic_ns()
            self._stop.wait(self._rng.uniform(*fault.duration_range_s))
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
