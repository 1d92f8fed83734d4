"""Stand-in worker: ``python -m standins.worker --help``.

It reports to the entries each second, and at once when something changed,
carries out their orders, runs jobs as timers and keeps a ledger of which
attempt ran when.  ``sleep 1500`` as the command of a job sets its run time in
milliseconds; ``fail 1500`` fails after it, wherever it runs.
"""

import sys
import time

from absl import flags
import curio
import msgspec

from fuchsiatrestle import errors
from fuchsiatrestle import logs
from fuchsiatrestle import messages
from fuchsiatrestle import named_json
from fuchsiatrestle.net import http
from standins import _ledgers
from standins import _programs
from standins import _worker_agent

__all__ = ('AttemptLine', 'Worker', 'main')

REPORT_S = 1.0
REPORT_TIMEOUT_S = 0.9
TICK_S = 0.05
MODES = ('normal', 'fail', 'slow', 'noisy')

LOG = logs.get_logger(__name__)


class AttemptLine(msgspec.Struct, frozen=True):
    """A step of one attempt, a line of the ledger file.

    Attributes:
        event: ``begin`` or ``end``.
        time_ns: system-wide monotonic clock.
        resumed_attempt: attempt that wrote the checkpoint resumed from.
        resumed_from: that checkpoint, 0 for the beginning.
        why: how it ended.
    """

    event: str
    worker: str
    incarnation: int
    job_id: str
    attempt: int
    time_ns: int
    resumed_attempt: int = 0
    resumed_from: int = 0
    why: str = ''


class _Lines(list):
    """In-memory ledger whose lines also go to a file as they change."""

    def __init__(self, ledger):
        super().__init__()
        self._ledger = ledger
        self._open = []

    def append(self, line):
        """Takes a line and writes its beginning."""
        super().append(line)
        self._open.append(line)
        self._write('begin', line)

    def write_ends(self):
        """Writes the end of every line that has ended since."""
        ended = [line for line in self._open if line.end_ms is not None]
        self._open = [line for line in self._open if line.end_ms is None]
        for line in ended:
            self._write('end', line)

    def _write(self, event, line):
        self._ledger.write(
            AttemptLine(
                event,
                line.worker,
                line.incarnation,
                line.job_id,
                line.attempt,
                self._ledger.now_ns(),
                *line.resumed_from,
                line.why,
            )
        )


class Worker:
    """Drives a ``WorkerAgent`` by the clock and by HTTP.

    Args:
        cfg: parsed flags, see ``make_flags``.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._lines = _Lines(_ledgers.Ledger(cfg.ledger))
        options = _worker_agent.AgentOptions(
            cfg.worker_name,
            cfg.data_centre,
            cfg.rack,
            messages.Resources(
                cfg.cpu_milli, cfg.memory_mib, cfg.accelerators
            ),
            '' if cfg.mode == 'normal' else cfg.mode,
            cfg.run_ms,
            cfg.checkpoint_ms,
            cfg.service,
        )
        self._agent = _worker_agent.WorkerAgent(
            options, time.time_ns() // 1_000_000, self._lines
        )
        self._clients = [
            http.Client(address, REPORT_TIMEOUT_S) for address in cfg.entry
        ]
        self._turn = 0

    @property
    def idle(self):
        """True if it runs no attempt."""
        return not self._agent.running

    def leave(self):
        """Says from now on that the worker takes no new work."""
        self._agent.leaving = True

    async def run_forever(self):
        """Reports and carries out orders until cancelled."""
        next_s = 0.0
        while True:
            self._agent.tick(_now_ms())
            self._lines.write_ends()
            wanted = self._agent.wants_report(_now_ms())
            if wanted or time.monotonic() >= next_s:
                next_s = time.monotonic() + REPORT_S
                await self._report()
            await curio.sleep(TICK_S)

    async def _report(self):
        data = named_json.encode(self._agent.report(_now_ms()))
        path = f'/v1/workers/{self._cfg.worker_name}/report'
        client = self._clients[self._turn % len(self._clients)]
        try:
            response = await client.call('POST', path, data)
        except errors.Error as exc:
            LOG.info('report_failed', extra={'error': str(exc)})
            self._turn += 1
            return
        if response.status != 200:
            LOG.info('report_refused', extra={'status': response.status})
            self._turn += 1
            return
        self._take(response.body)

    def _take(self, body):
        try:
            answer = named_json.decode(messages.WorkerOrders, body)
        except named_json.NamedJsonInvalid as exc:
            LOG.warning('orders_invalid', extra={'error': str(exc)})
            return
        for order in answer.orders:
            if order.kind != 'renew':
                LOG.info(
                    'order',
                    extra={
                        'kind': order.kind,
                        'job': order.job_id,
                        'attempt': order.attempt,
                    },
                )
        self._agent.take(answer, _now_ms())
        self._lines.write_ends()


def _now_ms():
    return time.monotonic_ns() // 1_000_000


def make_flags():
    """Returns the flags of the program."""
    values = flags.FlagValues()
    _programs.define_addresses(values, 'entry', 'platform port of an entry')
    flags.DEFINE_string('ledger', None, 'ledger file', values, required=True)
    flags.DEFINE_string(
        'worker_name', None, 'name of the worker', values, required=True
    )
    flags.DEFINE_string('data_centre', 'dc1', 'where it stands', values)
    flags.DEFINE_string('rack', 'r1', 'rack it stands in', values)
    flags.DEFINE_integer(
        'cpu_milli', 32000, 'thousandths of a core', flag_values=values
    )
    flags.DEFINE_integer(
        'memory_mib', 128000, 'memory in MiB', flag_values=values
    )
    flags.DEFINE_integer('accelerators', 0, 'accelerators', flag_values=values)
    flags.DEFINE_integer(
        'run_ms', 2000, 'run time of a job', flag_values=values
    )
    flags.DEFINE_integer(
        'checkpoint_ms', 1000, 'time between checkpoints', flag_values=values
    )
    flags.DEFINE_string('service', '', 'service it carries', values)
    flags.DEFINE_float(
        'leave_s', 2.0, 'longest wait for its attempts', flag_values=values
    )
    flags.DEFINE_enum('mode', 'normal', MODES, 'behaviour', values)
    return values


async def serve(cfg):
    """Runs until SIGTERM, then waits a little for its attempts."""
    worker = Worker(cfg)
    task = await curio.spawn(worker.run_forever, daemon=True)
    LOG.info('worker_ready', extra={'worker': cfg.worker_name})
    await _programs.wait_for_stop()
    worker.leave()
    until_s = time.monotonic() + cfg.leave_s
    while not worker.idle and time.monotonic() < until_s:
        await curio.sleep(TICK_S)
    await task.cancel()


def main(argv):
    """Runs the program."""
    cfg = _programs.parse(make_flags(), argv, __doc__)
    logs.configure()
    curio.run(serve, cfg)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv))
