"""Stand-in worker: ``python -m standins.worker --help``.

It reports to one entry each second, and at once after a change, and carries
out the orders in the answers.  An attempt runs no program but only waits for
its run time; a ledger records when each attempt ran.  A job with the command
``sleep 1500`` runs for 1500 ms; with ``fail 1500`` every attempt fails after
that time.
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

REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 0.9
TICK_INTERVAL_S = 0.05
MODES = ('normal', 'fail', 'slow', 'noisy')

LOG = logs.get_logger(__name__)


class AttemptLine(msgspec.Struct, frozen=True):
    """Begin or end of one attempt, a line of the ledger file.

    Attributes:
        event: ``begin`` or ``end``.
        worker: name of the worker.
        incarnation: incarnation of the worker.
        job_id: identifier of the job.
        attempt: number of the attempt.
        time_ns: time on the system-wide monotonic clock.
        resumed_attempt: attempt that wrote the checkpoint resumed from.
        resumed_from: number of that checkpoint, 0 for a start from scratch.
        why: reason of the end, empty for a begin.
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


class _FileBackedLedger(list):
    """The agent's in-memory ledger, which also writes its lines to a file.

    Args:
        file_ledger: the ``_ledgers.Ledger`` to write to.
    """

    def __init__(self, file_ledger):
        super().__init__()
        self._file_ledger = file_ledger
        self._unfinished_lines = []

    def append(self, line):
        """Appends a line and writes the begin of its attempt to the file."""
        super().append(line)
        self._unfinished_lines.append(line)
        self._write_line('begin', line)

    def write_ends(self):
        """Writes the end of every attempt that ended since the last call."""
        ended_lines = [
            line for line in self._unfinished_lines if line.end_ms is not None
        ]
        self._unfinished_lines = [
            line for line in self._unfinished_lines if line.end_ms is None
        ]
        for line in ended_lines:
            self._write_line('end', line)

    def _write_line(self, event, line):
        self._file_ledger.write(
            AttemptLine(
                event,
                line.worker,
                line.incarnation,
                line.job_id,
                line.attempt,
                self._file_ledger.now_ns(),
                *line.resumed_from,
                line.why,
            )
        )


class Worker:
    """Runs a ``WorkerAgent`` in real time and sends its reports over HTTP.

    Args:
        cfg: parsed flags, see ``make_flags``.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._agent_ledger = _FileBackedLedger(_ledgers.Ledger(cfg.ledger))
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
            options, time.time_ns() // 1_000_000, self._agent_ledger
        )
        self._clients = [
            http.Client(address, REPORT_TIMEOUT_S) for address in cfg.entry
        ]
        self._client_index = 0

    @property
    def is_idle(self):
        """True if no attempt runs."""
        return not self._agent.running_job_ids

    def start_leaving(self):
        """Makes all further reports say that the worker takes no new work."""
        self._agent.leaving = True

    async def run_forever(self):
        """Sends reports and carries out orders until cancelled."""
        next_report_s = 0.0
        while True:
            self._agent.tick(_now_ms())
            self._agent_ledger.write_ends()
            is_report_due = self._agent.is_report_due(_now_ms())
            if is_report_due or time.monotonic() >= next_report_s:
                next_report_s = time.monotonic() + REPORT_INTERVAL_S
                await self._send_report()
            await curio.sleep(TICK_INTERVAL_S)

    async def _send_report(self):
        data = named_json.encode(self._agent.make_report(_now_ms()))
        path = f'/v1/workers/{self._cfg.worker_name}/report'
        client = self._clients[self._client_index % len(self._clients)]
        try:
            response = await client.call('POST', path, data)
        except errors.Error as exc:
            LOG.info('report_failed', extra={'error': str(exc)})
            self._client_index += 1
            return
        if response.status != 200:
            LOG.info('report_refused', extra={'status': response.status})
            self._client_index += 1
            return
        self._carry_out_orders(response.body)

    def _carry_out_orders(self, body):
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
        self._agent.carry_out_orders(answer, _now_ms())
        self._agent_ledger.write_ends()


def _now_ms():
    return time.monotonic_ns() // 1_000_000


def make_flags():
    """Returns the flags of the program."""
    flag_values = flags.FlagValues()
    _programs.define_addresses(
        flag_values, 'entry', 'platform port of an entry'
    )
    flags.DEFINE_string(
        'ledger', None, 'ledger file', flag_values, required=True
    )
    flags.DEFINE_string(
        'worker_name', None, 'name of the worker', flag_values, required=True
    )
    flags.DEFINE_string(
        'data_centre', 'dc1', 'name of its data centre', flag_values
    )
    flags.DEFINE_string('rack', 'r1', 'name of its rack', flag_values)
    flags.DEFINE_integer(
        'cpu_milli',
        32000,
        'processors, in thousandths of a core',
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        'memory_mib', 128000, 'memory in MiB', flag_values=flag_values
    )
    flags.DEFINE_integer(
        'accelerators', 0, 'number of accelerators', flag_values=flag_values
    )
    flags.DEFINE_integer(
        'run_ms',
        2000,
        'run time of a job whose command names none',
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        'checkpoint_ms',
        1000,
        'time between two checkpoints',
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        'service', '', 'latency-critical service on it, or empty', flag_values
    )
    flags.DEFINE_float(
        'leave_s',
        2.0,
        'longest wait for attempts after SIGTERM',
        flag_values=flag_values,
    )
    flags.DEFINE_enum('mode', 'normal', MODES, 'behaviour', flag_values)
    return flag_values


async def serve(cfg):
    """Runs until SIGTERM, then waits up to ``leave_s`` for its attempts."""
    worker = Worker(cfg)
    report_task = await curio.spawn(worker.run_forever, daemon=True)
    LOG.info('worker_ready', extra={'worker': cfg.worker_name})
    await _programs.wait_for_stop_signal()
    worker.start_leaving()
    leave_deadline_s = time.monotonic() + cfg.leave_s
    while not worker.is_idle and time.monotonic() < leave_deadline_s:
        await curio.sleep(TICK_INTERVAL_S)
    await report_task.cancel()


def main(argv):
    """Runs the worker until SIGTERM; returns the exit status."""
    cfg = _programs.parse_flags(make_flags(), argv, __doc__)
    logs.configure()
    curio.run(serve, cfg)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv))
