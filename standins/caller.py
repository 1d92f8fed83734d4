"""Stand-in callers: ``python -m standins.caller --help``.

A given number of callers send requests through the entries for a given time.
They resend a failed request if it is a read, has an idempotency key or was
refused as ``not-run``.  The program writes each call to a ledger and prints a
report as JSON.  ``MIXES`` names the mixes of requests.
"""

import json
import random
import sys
import time

from absl import flags
import curio
from hdrh import histogram

from fuchsiatrestle import errors
from fuchsiatrestle import logs
from fuchsiatrestle.net import http
from standins import _answers
from standins import _ledgers
from standins import _programs

__all__ = ('MIXES', 'Caller', 'Report', 'main')

CALL_TIMEOUT_S = 10.0
MAX_CALLS_PER_REQUEST = 4
RESEND_DELAY_S = 0.2
MAX_LATENCY_US = 60 * 1000 * 1000
PERCENTILES = (50.0, 99.0, 99.9)

# Weights of reads, of non-idempotent requests without an idempotency key and
# of non-idempotent requests with one.
MIXES = {
    'read': (1, 0, 0),
    'write': (0, 1, 0),
    'keyed': (0, 0, 1),
    'mixed': (6, 1, 3),
}
_REQUEST_KINDS = ('read', 'write', 'keyed')


class Report:
    """Counts of calls by result, and latencies by kind of request.

    Attributes:
        answer_counts: number of calls by ``CallLine.answer``.
        reason_counts: number of calls whose answer is not ``whole``, by a text
            of status, reason and outcome.
    """

    def __init__(self):
        self.answer_counts = {}
        self.reason_counts = {}
        self._latency_histograms_us = {
            kind: histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
            for kind in _REQUEST_KINDS
        }

    def add_call(self, kind, line):
        """Adds one call.

        Args:
            kind: ``read``, ``write`` or ``keyed``.
            line: the ``CallLine``.
        """
        self.answer_counts[line.answer] = (
            self.answer_counts.get(line.answer, 0) + 1
        )
        if line.answer == 'whole':
            latency_us = (line.end_ns - line.start_ns) // 1000
            self._latency_histograms_us[kind].record_value(
                min(latency_us, MAX_LATENCY_US)
            )
            return
        reason = f'{line.status} {line.reason} {line.outcome}'.strip()
        self.reason_counts[reason] = self.reason_counts.get(reason, 0) + 1

    def to_dict(self):
        """Returns the report as nested dicts; latencies in milliseconds."""
        return {
            'answers': self.answer_counts,
            'reasons': self.reason_counts,
            'latency_ms': {
                kind: _compute_percentiles_ms(histogram_us)
                for kind, histogram_us in self._latency_histograms_us.items()
                if histogram_us.total_count
            },
        }


def _compute_percentiles_ms(histogram_us):
    return {
        f'p{percentile:g}': round(
            histogram_us.get_value_at_percentile(percentile) / 1000, 2
        )
        for percentile in PERCENTILES
    }


class _Request:
    """A request, with everything that a resend must repeat."""

    __slots__ = ('body', 'headers', 'key', 'kind', 'method', 'request_id')

    def __init__(self, kind, request_id):
        self.kind = kind
        self.request_id = request_id
        self.method = 'GET' if kind == 'read' else 'POST'
        self.key = request_id if kind == 'keyed' else ''
        self.body = b'' if kind == 'read' else b'{"amount": 1}'
        self.headers = []
        if self.key:
            self.headers = [(b'idempotency-key', self.key.encode())]

    @property
    def is_resendable(self):
        """True if a call whose outcome is unknown may be repeated."""
        return self.method == 'GET' or bool(self.key)


class Caller:
    """A caller that sends one request at a time.

    Args:
        cfg: parsed flags, see ``make_flags``.
        number: number of the caller within the process.
        ledger: the ``Ledger`` to write to.
        report: the ``Report`` to add to.
    """

    def __init__(self, cfg, number, ledger, report):
        self._cfg = cfg
        self._name = f'{cfg.name}-{number}'
        self._rng = random.Random(f'{cfg.seed}-{number}')
        self._ledger = ledger
        self._report = report
        self._entry_clients = [
            http.Client(address, CALL_TIMEOUT_S) for address in cfg.entry
        ]
        self._request_count = 0

    async def run(self, deadline_s):
        """Sends requests until ``time.monotonic()`` reaches ``deadline_s``."""
        while time.monotonic() < deadline_s:
            self._request_count += 1
            kind = self._rng.choices(_REQUEST_KINDS, MIXES[self._cfg.mix])[0]
            await self._send_until_settled(
                _Request(kind, f'{self._name}-{self._request_count}')
            )
            await curio.sleep(self._draw_pause_s())

    def _draw_pause_s(self):
        if not self._cfg.pause_ms:
            return 0.0
        return self._rng.expovariate(1000 / self._cfg.pause_ms)

    async def _send_until_settled(self, request):
        """Sends a request until it is answered or must not be resent.

        Sends it ``MAX_CALLS_PER_REQUEST`` times at most, each time to the next
        entry, beginning with a random one.
        """
        first_index = self._rng.randrange(len(self._entry_clients))
        for call_number in range(MAX_CALLS_PER_REQUEST):
            client = self._entry_clients[
                (first_index + call_number) % len(self._entry_clients)
            ]
            line = await self._send_once(client, request, call_number)
            self._ledger.write(line)
            self._report.add_call(request.kind, line)
            if line.answer == 'whole':
                return
            if line.outcome != 'not-run' and not request.is_resendable:
                return
            await curio.sleep(RESEND_DELAY_S)

    async def _send_once(self, client, request, call_number):
        """Sends a request to one entry; returns the ``CallLine``."""
        attempt_id = f'{request.request_id}.{call_number}'
        headers = [
            *request.headers,
            (b'x-attempt-id', attempt_id.encode()),
        ]
        target = f'{self._cfg.path}/{request.request_id}'
        start_ns = self._ledger.now_ns()
        try:
            response = await client.call(
                request.method, target, request.body, headers
            )
            result = self._classify_response(request, response)
        except errors.Error as exc:
            result = _CallResult('none', reason=f'{exc.step}:{exc.reason}')
        return _ledgers.CallLine(
            request_id=request.request_id,
            attempt_id=attempt_id,
            method=request.method,
            key=request.key,
            entry=str(client.address),
            status=result.status,
            outcome=result.outcome,
            reason=result.reason,
            answer=result.answer,
            start_ns=start_ns,
            end_ns=self._ledger.now_ns(),
        )

    def _classify_response(self, request, response):
        """Returns the ``_CallResult`` of a call that got a response."""
        if response.status == 200:
            payload_bytes = self._cfg.answer_bytes
            is_whole = _answers.is_whole_answer(
                response.body, request.request_id, payload_bytes
            )
            return _CallResult('whole' if is_whole else 'wrong', 200)
        headers = dict(response.headers)
        outcome = headers.get(b'fuchsiatrestle-outcome', b'').decode()
        try:
            reason = json.loads(response.body).get('reason', '')
        except (ValueError, AttributeError):
            reason = 'unreadable'
        return _CallResult('refused', response.status, outcome, reason)


class _CallResult:
    """Result of one call, in the terms of ``CallLine``."""

    __slots__ = ('answer', 'outcome', 'reason', 'status')

    def __init__(self, answer, status=0, outcome='', reason=''):
        self.answer = answer
        self.status = status
        self.outcome = outcome
        self.reason = reason


def make_flags():
    """Returns the flags of the program."""
    flag_values = flags.FlagValues()
    _programs.define_addresses(
        flag_values, 'entry', 'callers port of an entry'
    )
    flags.DEFINE_string(
        'ledger', None, 'ledger file', flag_values, required=True
    )
    flags.DEFINE_string('name', 'caller', 'prefix of request ids', flag_values)
    flags.DEFINE_string('path', '/quotes', 'path of the service', flag_values)
    flags.DEFINE_enum(
        'mix', 'mixed', list(MIXES), 'mix of requests', flag_values
    )
    flags.DEFINE_integer(
        'callers',
        8,
        'number of concurrent callers',
        lower_bound=1,
        flag_values=flag_values,
    )
    flags.DEFINE_float(
        'seconds', 5.0, 'how long to send', flag_values=flag_values
    )
    flags.DEFINE_float(
        'pause_ms',
        20.0,
        'mean pause of a caller after a request',
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        'answer_bytes',
        _answers.DEFAULT_PAYLOAD_BYTES,
        'size of the payload of an answer',
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        'seed', 1, 'seed of kinds and pauses', flag_values=flag_values
    )
    return flag_values


async def run_callers(cfg):
    """Runs all callers for the time set; returns the ``Report``."""
    report = Report()
    ledger = _ledgers.Ledger(cfg.ledger)
    deadline_s = time.monotonic() + cfg.seconds
    callers = [
        Caller(cfg, number, ledger, report) for number in range(cfg.callers)
    ]
    async with curio.TaskGroup(wait=all) as group:
        for caller in callers:
            await group.spawn(caller.run, deadline_s)
    return report


def main(argv):
    """Runs the callers and prints their report; returns the exit status."""
    cfg = _programs.parse_flags(make_flags(), argv, __doc__)
    logs.configure('warning')
    report = curio.run(run_callers, cfg)
    print(json.dumps(report.to_dict(), indent=2, sort_keys=True))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv))
