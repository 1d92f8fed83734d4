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
    def inject(self, cluster, process):
        """Injects the fault into a process.

        Raises:
            errors.Error: the fault could not be injected.
        """

    @abc.abstractmethod
    def heal(self, cluster, process):
        """Ends the fault, so that the process serves again.

        Raises:
            errors.Error: the fault could not be ended.
        """


class Kill(Fault):
    """Kills a process with SIGKILL and restarts it."""

    kind = 'kill'

    def inject(self, cluster, process):
        """Sends SIGKILL."""
        process.kill()

    def heal(self, cluster, process):
        """Starts the process again."""
        process.start()


class Stop(Kill):
    """Stops a process with SIGTERM and restarts it."""

    kind = 'stop'

    def inject(self, cluster, process):
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
        exit_status = process.stop(STOP_TIMEOUT_S)
        if exit_status:
            raise errors.Error(
                f'planned stop ended with exit status {exit_status}',
                step='stop',
                peer=process.name,
            )


class Freeze(Fault):
    """Suspends a process, sometimes for longer than every lease."""

    kind = 'freeze'
    duration_range_s = (0.5, 8.0)

    def inject(self, cluster, process):
        """Sends SIGSTOP."""
        process.freeze()

    def heal(self, cluster, process):
        """Sends SIGCONT."""
        process.resume()


class Silence(Fault):
    """Makes the open connections to a process silent until they are closed.

    New connections are forwarded as usual.
    """

    kind = 'silence'

    def inject(self, cluster, process):
        """Sets the mode ``silence`` at the relay."""
        cluster.set_relay_mode(process.name, 'silence')

    def heal(self, cluster, process):
        """Sets the mode ``pass``; silent connections stay silent."""
        cluster.set_relay_mode(process.name, 'pass')


class Cut(Silence):
    """Makes connections to a process silent until they are closed.

    Affects those that are open and those opened before the fault is healed.
    """

    kind = 'cut'
    duration_range_s = (1.0, 8.0)

    def inject(self, cluster, process):
        """Sets the mode ``cut`` at the relay."""
        cluster.set_relay_mode(process.name, 'cut')


class SlowAnswers(Fault):
    """Makes an upstream take ten times its service time.

    Its subclasses set other modes of the upstream.
    """

    kind = 'slow'
    duration_range_s = (1.0, 4.0)

    def inject(self, cluster, process):
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
# inject them into.  A lane affects one process at a time, so that with one
# lane for control and one for the platform, a majority of the control replicas
# and at least one entry always work.
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
        self._claimed_names = set()
        self._lock = threading.Lock()

    def claim_process(self, rng, names):
        """Claims a random process that no lane has claimed.

        Args:
            rng: random generator that chooses.
            names: names to choose from.

        Returns:
            The name, None if all are claimed.
        """
        with self._lock:
            free_names = [
                name for name in names if name not in self._claimed_names
            ]
            if not free_names:
                return None
            name = rng.choice(free_names)
            self._claimed_names.add(name)
            return name

    def release_process(self, name):
        """Makes a process available to all lanes again."""
        with self._lock:
            self._claimed_names.discard(name)


class FaultLane:
    """A thread that injects one random fault after the other.

    Args:
        cluster: the ``Cluster``.
        name: name of the lane.
        seed: seed of the choice of faults.
        faults_by_kind: possible ``Fault`` values by kind of process, such as
            ``CONTROL_FAULTS``.
        process_claims: the ``ProcessClaims`` shared by all lanes.

    Attributes:
        fault_lines: a ``FaultLine`` for each fault.
        error_texts: error texts of faults that failed to be injected or
            healed.
    """

    def __init__(self, cluster, name, seed, faults_by_kind, process_claims):
        self.fault_lines = []
        self.error_texts = []
        self._ledger = _ledgers.Ledger(cluster.ledger_path(f'faults-{name}'))
        self._cluster = cluster
        self._process_claims = process_claims
        self._rng = random.Random(f'{seed}-{name}')
        self._kinds_and_faults = [
            (kind, fault)
            for kind, faults in faults_by_kind.items()
            for fault in faults
        ]
        self._stop_event = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name)

    def start(self):
        """Starts the thread."""
        self._thread.start()

    def ask_to_stop(self):
        """Makes the lane heal its fault at once and inject no further one."""
        self._stop_event.set()

    def join(self):
        """Waits until the thread has ended."""
        self._thread.join()

    def _run(self):
        while not self._stop_event.is_set():
            self._stop_event.wait(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            if self._stop_event.is_set():
                return
            kind, fault = self._rng.choice(self._kinds_and_faults)
            processes = getattr(self._cluster, kind)
            name = self._process_claims.claim_process(
                self._rng, sorted(processes)
            )
            if name is not None:
                self._inject_fault(fault, processes[name])
                self._process_claims.release_process(name)

    def _inject_fault(self, fault, process):
        since_ns = done_ns = time.monotonic_ns()
        try:
            if not process.running:
                raise errors.Error(
                    f'had exited with status {process.exit_status}',
                    step=fault.kind,
                    peer=process.name,
                )
            fault.inject(self._cluster, process)
            done_ns = time.monotonic_ns()
            self._stop_event.wait(self._rng.uniform(*fault.duration_range_s))
            fault.heal(self._cluster, process)
        except errors.Error as exc:
            self.error_texts.append(str(exc))
            if not process.running:
                process.start()
        line = _ledgers.FaultLine(
            fault.kind, process.name, since_ns, done_ns, time.monotonic_ns()
        )
        self.fault_lines.append(line)
        self._ledger.write(line)
