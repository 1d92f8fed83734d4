"""Stand-in callers: ``python -m standins.caller --help``.

A set number of callers send requests through the entries for a set time,
resend what may be resent, write each call to a ledger and print a report as
JSON.  ``MIXES`` names the kinds of requests.
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
RESEND_PAUSE_S = 0.2
HIGHEST_US = 60 * 1000 * 1000
PERCENTILES = (50.0, 99.0, 99.9)

# Weights of reads, of non-idempotent requests without a key and of
# non-idempotent requests with one.
MIXES = {
    'read': (1, 0, 0),
    'write': (0, 1, 0),
    'keyed': (0, 0, 1),
    'mixed': (6, 1, 3),
}
_KINDS = ('read', 'write', 'keyed')


class Report:
    """Counts, and latencies by kind of request."""

    def __init__(self):
        self.answers = {}
        self.reasons = {}
        self._latency_us = {
            kind: histogram.HdrHistogram(1, HIGHEST_US, 3) for kind in _KINDS
        }

    def add(self, kind, line):
        """Adds one call."""
        self.answers[line.answer] = self.answers.get(line.answer, 0) + 1
        if line.answer == 'whole':
            took_us = (line.end_ns - line.start_ns) // 1000
            self._latency_us[kind].record_value(min(took_us, HIGHEST_US))
            return
        reason = f'{line.status} {line.reason} {line.outcome}'.strip()
        self.reasons[reason] = self.reasons.get(reason, 0) + 1

    def to_plain(self):
        """Returns the report as nested dicts; latencies in milliseconds."""
        return {
            'answers': self.answers,
            'reasons': self.reasons,
            'latency_ms': {
                kind: _percentiles_ms(values)
                for kind, values in self._latency_us.items()
                if values.total_count
            },
        }


def _percentiles_ms(values):
    return {
        f'p{percentile:g}': round(
            values.get_value_at_percentile(percentile) / 1000, 2
        )
        for percentile in PERCENTILES
    }


class _Request:
    """A request and all that a resend must repeat."""

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
    def resendable(self):
        """True if a call of unknown outcome may be sent again."""
        return self.method == 'GET' or bool(self.key)


class Caller:
    """One caller, with one request at a time.

    Args:
        cfg: parsed flags, see ``make_flags``.
        number: of the caller within the process.
        ledger: the ``Ledger`` to write to.
        report: the ``Report`` to add to.
    """

    def __init__(self, cfg, number, ledger, report):
        self._cfg = cfg
        self._name = f'{cfg.name}-{number}'
        self._rng = random.Random(f'{cfg.seed}-{number}')
        self._ledger = ledger
        self._report = report
        self._clients = [
            http.Client(address, CALL_TIMEOUT_S) for address in cfg.entry
        ]
        self._sent = 0

    async def run(self, deadline_s):
        """Sends requests until the monotonic time ``deadline_s``."""
        while time.monotonic() < deadline_s:
            self._sent += 1
            kind = self._rng.choices(_KINDS, MIXES[self._cfg.mix])[0]
            await self._finish(_Request(kind, f'{self._name}-{self._sent}'))
            await curio.sleep(self._pause_s())

    def _pause_s(self):
        if not self._cfg.pause_ms:
            return 0.0
        return self._rng.expovariate(1000 / self._cfg.pause_ms)

    async def _finish(self, request):
        """Sends a request until it is answered or may not be resent."""
        first = self._rng.randrange(len(self._clients))
        for call in range(MAX_CALLS_PER_REQUEST):
            client = self._clients[(first + call) % len(self._clients)]
            line = await self._call(client, request, call)
            self._ledger.write(line)
            self._report.add(request.kind, line)
            if line.answer == 'whole':
                return
            if line.outcome != 'not-run' and not request.resendable:
                return
            await curio.sleep(RESEND_PAUSE_S)

    async def _call(self, client, request, call):
        attempt_id = f'{request.request_id}.{call}'
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
            verdict = self._judge(request, response)
        except errors.Error as exc:
            verdict = _Verdict('none', reason=f'{exc.step}:{exc.reason}')
        return _ledgers.CallLine(
            request_id=request.request_id,
            attempt_id=attempt_id,
            method=request.method,
            key=request.key,
            entry=str(client.address),
            status=verdict.status,
            outcome=verdict.outcome,
            reason=verdict.reason,
            answer=verdict.answer,
            start_ns=start_ns,
            end_ns=self._ledger.now_ns(),
        )

    def _judge(self, request, response):
        if response.status == 200:
            size = self._cfg.answer_bytes
            whole = _answers.matches(response.body, request.request_id, size)
            return _Verdict('whole' if whole else 'wrong', 200)
        headers = dict(response.headers)
        outcome = headers.get(b'fuchsiatrestle-outcome', b'').decode()
        try:
            reason = json.loads(response.body).get('reason', '')
        except (ValueError, AttributeError):
            reason = 'unreadable'
        return _Verdict('refused', response.status, outcome, reason)


class _Verdict:
    """What a caller makes of one call."""

    __slots__ = ('answer', 'outcome', 'reason', 'status')

    def __init__(self, answer, status=0, outcome='', reason=''):
        self.answer = answer
        self.status = status
        self.outcome = outcome
        self.reason = reason


def make_flags():
    """Returns the flags of the program."""
    values = flags.FlagValues()
    _programs.define_addresses(values, 'entry', 'callers port of an entry')
    flags.DEFINE_string('ledger', None, 'ledger file', values, required=True)
    flags.DEFINE_string('name', 'caller', 'prefix of request ids', values)
    flags.DEFINE_string('path', '/quotes', 'path of the service', values)
    flags.DEFINE_enum('mix', 'mixed', list(MIXES), 'kinds of requests', values)
    flags.DEFINE_integer(
        'callers', 8, 'callers at once', lower_bound=1, flag_values=values
    )
    flags.DEFINE_float('seconds', 5.0, 'how long', flag_values=values)
    flags.DEFINE_float(
        'pause_ms', 20.0, 'mean pause of a caller', flag_values=values
    )
    flags.DEFINE_integer(
        'answer_bytes',
        _answers.DEFAULT_BYTES,
        'payload of an answer',
        flag_values=values,
    )
    flags.DEFINE_integer('seed', 1, 'of kinds and pauses', flag_values=values)
    return values


async def generate(cfg):
    """Runs all callers and returns the ``Report``."""
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
    """Runs the program."""
    cfg = _programs.parse(make_flags(), argv, __doc__)
    logs.configure('warning')
    report = curio.run(generate, cfg)
    print(json.dumps(report.to_plain(), indent=2, sort_keys=True))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv))
