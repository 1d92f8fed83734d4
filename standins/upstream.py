"""Stand-in upstream: ``python -m standins.upstream --help``.

It answers ``/PATH/REQUEST_ID``, announces itself to the entries and writes
what it ran to a ledger.  ``POST /standin/mode`` with ``{"mode": "slow"}``
changes its behaviour, see ``MODES``.
"""

import random
import sys
import time

from absl import flags
import curio
import msgspec

from fuchsiatrestle import errors
from fuchsiatrestle import logs
from fuchsiatrestle.net import http
from standins import _answers
from standins import _ledgers
from standins import _programs

__all__ = ('MODES', 'Upstream', 'main')

ANNOUNCE_PATH = '/v1/announcements'
MODE_PATH = '/standin/mode'
ANNOUNCE_S = 1.0
ANNOUNCE_TIMEOUT_S = 0.8
SLOW_FACTOR = 10
NS_PER_MS = 10**6

READY = 'ready'
LEAVING = 'leaving'

MODES = {
    'normal': 'answers after a random service time',
    'slow': f'service time times {SLOW_FACTOR}',
    'fail': 'answers 500 at once',
    'refuse': 'answers 503, not run',
    'freeze': 'never answers',
    'half': 'breaks off in the middle of the body',
    'leaving': 'as normal, but announces that it leaves',
}

LOG = logs.get_logger(__name__)


class ModeBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of the call that changes the mode."""

    mode: str


class Announcement(msgspec.Struct):
    """What the upstream says of itself each second."""

    service: str
    address: str
    incarnation: int
    seq: int
    state: str
    slots: int
    connections: int
    data_centre: str


class Upstream(http.Handler):
    """Runs requests and keeps the ledger.

    Args:
        cfg: parsed flags, see ``make_flags``.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._mode = cfg.mode
        self._in_flight = 0
        self._rng = random.Random(cfg.seed)
        self._ledger = _ledgers.Ledger(cfg.ledger)
        self._stopping = False
        self._draw_incarnation()
        self._note_state()

    @property
    def idle(self):
        """True if no request is in work."""
        return self._in_flight == 0

    @property
    def leaving(self):
        """True once no new request is wanted."""
        return self._stopping or self._mode == 'leaving'

    def leave(self):
        """Says from now on that the upstream leaves."""
        self._stopping = True
        self._note_state()

    def _draw_incarnation(self):
        """Starts anew: within one incarnation leaving is for good."""
        self._incarnation = time.time_ns() // NS_PER_MS
        self._seq = 0

    # Requests

    async def handle(self, request):
        """Answers one request."""
        if request.path == MODE_PATH:
            return self._set_mode(request)
        request_id = request.path.rpartition('/')[2]
        if self._mode == 'refuse':
            headers = [(b'fuchsiatrestle-outcome', b'not-run')]
            return http.reason_response(503, 'not_now', '', headers)
        self._in_flight += 1
        try:
            self._note('begin', request_id, request)
            response = await self._run(request_id)
            self._note('end', request_id, request)
            return response
        finally:
            self._in_flight -= 1

    def _set_mode(self, request):
        try:
            body = msgspec.json.decode(request.body, type=ModeBody)
        except msgspec.DecodeError as exc:
            return http.reason_response(400, 'bad_json', str(exc))
        if body.mode not in MODES:
            return http.reason_response(400, 'unknown_mode', body.mode)
        if self._mode == 'leaving':
            self._draw_incarnation()
        self._mode = body.mode
        self._note_state()
        return http.json_response(200, {'mode': self._mode})

    def _note_state(self):
        self._write(LEAVING if self.leaving else READY, '', '', '')

    def _note(self, event, request_id, request):
        attempt_id = request.header(b'x-attempt-id')
        self._write(event, request_id, attempt_id, request.method)

    def _write(self, event, request_id, attempt_id, method):
        self._ledger.write(
            _ledgers.RunLine(
                event=event,
                request_id=request_id,
                attempt_id=attempt_id,
                method=method,
                in_flight=self._in_flight,
                slots=self._cfg.slots,
                leaving=self.leaving,
                time_ns=self._ledger.now_ns(),
            )
        )

    async def _run(self, request_id):
        if self._mode == 'fail':
            return http.reason_response(500, 'failed')
        if self._mode == 'freeze':
            await curio.sleep(self._cfg.freeze_s)
        await curio.sleep(self._service_s())
        body = _answers.make_body(
            request_id, str(self._cfg.listen), self._cfg.answer_bytes
        )
        if self._mode == 'half':
            headers = [(b'content-length', b'%d' % len(body))]
            return http.StreamedResponse(200, headers, _break_off(body))
        headers = [(b'content-type', b'application/json')]
        return http.Response(200, headers, body)

    def _service_s(self):
        mean_s = self._cfg.service_ms / 1000
        if self._mode == 'slow':
            mean_s *= SLOW_FACTOR
        return self._rng.expovariate(1 / mean_s) if mean_s else 0.0

    # Announcements

    async def announce_forever(self):
        """Announces to one entry after the other, each second."""
        clients = [
            http.Client(address, ANNOUNCE_TIMEOUT_S)
            for address in self._cfg.entry
        ]
        turn = 0
        while True:
            started = time.monotonic()
            for offset in range(len(clients)):
                client = clients[(turn + offset) % len(clients)]
                if await self.announce(client):
                    break
            turn += 1
            rest_s = ANNOUNCE_S - (time.monotonic() - started)
            await curio.sleep(max(rest_s, 0.0))

    async def announce(self, client):
        """Announces once; returns True if the entry took it."""
        self._seq += 1
        line = Announcement(
            service=self._cfg.service,
            address=str(self._cfg.advertise or self._cfg.listen),
            incarnation=self._incarnation,
            seq=self._seq,
            state=LEAVING if self.leaving else READY,
            slots=self._cfg.slots,
            connections=self._cfg.connections,
            data_centre=self._cfg.data_centre,
        )
        try:
            status, _ = await client.call_json('POST', ANNOUNCE_PATH, line)
        except errors.Error as exc:
            LOG.info('announce_failed', extra={'error': str(exc)})
            return False
        if status >= 300:
            LOG.warning('announce_refused', extra={'status': status})
        return status < 300


async def _break_off(body):
    yield body[: len(body) // 2]
    raise errors.Error('broken off on purpose', step='write_body')


def make_flags():
    """Returns the flags of the program."""
    values = flags.FlagValues()
    _programs.define_address(values, 'listen', 'address to serve on')
    _programs.define_addresses(values, 'entry', 'platform port of an entry')
    flags.DEFINE_string(
        'advertise', '', 'address to announce, if not that of --listen', values
    )
    flags.DEFINE_string('ledger', None, 'ledger file', values, required=True)
    flags.DEFINE_string('service', 'quotes', 'service it serves', values)
    flags.DEFINE_string('data_centre', 'dc1', 'where it stands', values)
    flags.DEFINE_integer('slots', 8, 'requests at once', flag_values=values)
    flags.DEFINE_integer(
        'connections', 64, 'connections it accepts', flag_values=values
    )
    flags.DEFINE_float(
        'service_ms', 5.0, 'mean service time', flag_values=values
    )
    flags.DEFINE_integer(
        'answer_bytes',
        _answers.DEFAULT_BYTES,
        'payload of an answer',
        flag_values=values,
    )
    flags.DEFINE_float(
        'freeze_s', 600.0, 'how long freeze lasts', flag_values=values
    )
    flags.DEFINE_float(
        'leave_s', 4.0, 'time between leaving and stop', flag_values=values
    )
    flags.DEFINE_integer('seed', 1, 'of service times', flag_values=values)
    flags.DEFINE_enum(
        'mode', 'normal', list(MODES), 'behaviour at start', values
    )
    return values


async def serve(cfg):
    """Serves until SIGTERM, then announces that it leaves and drains."""
    upstream = Upstream(cfg)
    limits = http.Limits(connections=cfg.connections)
    server = http.Server(cfg.listen, upstream, limits)
    await server.start()
    announcer = await curio.spawn(upstream.announce_forever, daemon=True)
    LOG.info('upstream_ready', extra={'address': cfg.listen})
    await _programs.wait_for_stop()
    upstream.leave()
    await curio.sleep(cfg.leave_s)
    await announcer.cancel()
    await server.stop(grace_s=cfg.leave_s)


def main(argv):
    """Runs the program."""
    cfg = _programs.parse(make_flags(), argv, __doc__)
    logs.configure()
    curio.run(serve, cfg)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv))
