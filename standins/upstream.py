"""Stand-in upstream: ``python -m standins.upstream --help``.

It answers ``/PATH/REQUEST_ID``, announces itself to the entries and records
begin and end of each request in a ledger.  ``POST /standin/mode`` with
``{"mode": "slow"}`` changes its behaviour, see ``MODES``.
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
ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 0.8
SLOW_FACTOR = 10
NS_PER_MS = 10**6

READY = 'ready'
LEAVING = 'leaving'

MODES = {
    'normal': 'answers after a random service time',
    'slow': f'takes {SLOW_FACTOR} times the service time',
    'fail': 'answers 500 at once',
    'refuse': 'answers 503 at once, with the outcome not-run',
    'freeze': 'answers after --freeze_s',
    'half': 'cuts the answer in the middle of the body',
    'leaving': 'answers as normal, but announces that it leaves',
}

LOG = logs.get_logger(__name__)


class ModeBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of the call that changes the mode.

    Attributes:
        mode: one of ``MODES``.
    """

    mode: str


class Announcement(msgspec.Struct):
    """Body of the announcement that is sent to an entry each second.

    Attributes:
        service: name of the service.
        address: address at which entries reach the upstream.
        incarnation: number higher than that of every earlier incarnation.
        seq: number of the announcement within the incarnation.
        state: ``ready`` or ``leaving``.
        slots: number of requests that it accepts at once.
        connections: number of connections that it accepts at once.
        data_centre: name of its data centre.
    """

    service: str
    address: str
    incarnation: int
    seq: int
    state: str
    slots: int
    connections: int
    data_centre: str


class Upstream(http.Handler):
    """Runs requests, records them in the ledger and announces itself.

    Args:
        cfg: parsed flags, see ``make_flags``.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._mode = cfg.mode
        self._in_flight = 0
        self._rng = random.Random(cfg.seed)
        self._ledger = _ledgers.Ledger(cfg.ledger)
        self._is_stopping = False
        self._start_incarnation()
        self._record_state()

    @property
    def is_idle(self):
        """True if no request is being processed."""
        return self._in_flight == 0

    @property
    def is_leaving(self):
        """True if the upstream announces that it leaves."""
        return self._is_stopping or self._mode == 'leaving'

    def start_leaving(self):
        """Makes all further announcements say that the upstream leaves."""
        self._is_stopping = True
        self._record_state()

    def _start_incarnation(self):
        """Starts a new incarnation.

        An upstream that has announced ``is_leaving`` needs one to become ready
        again, as entries take ``is_leaving`` as final within an incarnation.
        """
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
            return http.make_reason_response(503, 'not_now', '', headers)
        self._in_flight += 1
        try:
            self._record_request_event('begin', request_id, request)
            response = await self._make_response(request_id)
            self._record_request_event('end', request_id, request)
            return response
        finally:
            self._in_flight -= 1

    def _set_mode(self, request):
        try:
            body = msgspec.json.decode(request.body, type=ModeBody)
        except msgspec.DecodeError as exc:
            return http.make_reason_response(400, 'bad_json', str(exc))
        if body.mode not in MODES:
            return http.make_reason_response(400, 'unknown_mode', body.mode)
        if self._mode == 'leaving':
            self._start_incarnation()
        self._mode = body.mode
        self._record_state()
        return http.make_json_response(200, {'mode': self._mode})

    def _record_state(self):
        """Records in the ledger whether the upstream leaves."""
        self._write_line(LEAVING if self.is_leaving else READY, '', '', '')

    def _record_request_event(self, event, request_id, request):
        attempt_id = request.get_header(b'x-attempt-id')
        self._write_line(event, request_id, attempt_id, request.method)

    def _write_line(self, event, request_id, attempt_id, method):
        self._ledger.write(
            _ledgers.RunLine(
                event=event,
                request_id=request_id,
                attempt_id=attempt_id,
                method=method,
                in_flight=self._in_flight,
                slots=self._cfg.slots,
                leaving=self.is_leaving,
                time_ns=self._ledger.now_ns(),
            )
        )

    async def _make_response(self, request_id):
        if self._mode == 'fail':
            return http.make_reason_response(500, 'failed')
        if self._mode == 'freeze':
            await curio.sleep(self._cfg.freeze_s)
        await curio.sleep(self._draw_service_time_s())
        body = _answers.encode_answer_body(
            request_id, str(self._cfg.listen), self._cfg.answer_bytes
        )
        if self._mode == 'half':
            headers = [(b'content-length', b'%d' % len(body))]
            return http.StreamedResponse(200, headers, _send_first_half(body))
        headers = [(b'content-type', b'application/json')]
        return http.Response(200, headers, body)

    def _draw_service_time_s(self):
        mean_s = self._cfg.service_ms / 1000
        if self._mode == 'slow':
            mean_s *= SLOW_FACTOR
        return self._rng.expovariate(1 / mean_s) if mean_s else 0.0

    # Announcements

    async def announce_forever(self):
        """Announces to one entry each second, taking the entries in turn.

        Tries the next entry if one fails or refuses.
        """
        clients = [
            http.Client(address, ANNOUNCE_TIMEOUT_S)
            for address in self._cfg.entry
        ]
        first_client_index = 0
        while True:
            started_s = time.monotonic()
            for offset in range(len(clients)):
                client = clients[(first_client_index + offset) % len(clients)]
                if await self.send_announcement(client):
                    break
            first_client_index += 1
            pause_s = ANNOUNCE_INTERVAL_S - (time.monotonic() - started_s)
            await curio.sleep(max(pause_s, 0.0))

    async def send_announcement(self, client):
        """Sends an announcement; returns True if the entry accepted it."""
        self._seq += 1
        announcement = Announcement(
            service=self._cfg.service,
            address=str(self._cfg.advertise or self._cfg.listen),
            incarnation=self._incarnation,
            seq=self._seq,
            state=LEAVING if self.is_leaving else READY,
            slots=self._cfg.slots,
            connections=self._cfg.connections,
            data_centre=self._cfg.data_centre,
        )
        try:
            status, _ = await client.call_json(
                'POST', ANNOUNCE_PATH, announcement
            )
        except errors.Error as exc:
            LOG.info('announce_failed', extra={'error': str(exc)})
            return False
        if status >= 300:
            LOG.warning('announce_refused', extra={'status': status})
        return status < 300


async def _send_first_half(body):
    """Yields the first half of a body, then fails to break the connection."""
    yield body[: len(body) // 2]
    raise errors.Error('answer cut on purpose', step='write_body')


def make_flags():
    """Returns the flags of the program."""
    flag_values = flags.FlagValues()
    _programs.define_address(flag_values, 'listen', 'address to serve on')
    _programs.define_addresses(
        flag_values, 'entry', 'platform port of an entry'
    )
    flags.DEFINE_string(
        'advertise',
        '',
        'address to announce, if not that of --listen',
        flag_values,
    )
    flags.DEFINE_string(
        'ledger', None, 'ledger file', flag_values, required=True
    )
    flags.DEFINE_string(
        'service', 'quotes', 'name of its service', flag_values
    )
    flags.DEFINE_string(
        'data_centre', 'dc1', 'name of its data centre', flag_values
    )
    flags.DEFINE_integer(
        'slots',
        8,
        'number of requests at once to announce',
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        'connections',
        64,
        'number of connections accepted at once',
        flag_values=flag_values,
    )
    flags.DEFINE_float(
        'service_ms', 5.0, 'mean service time', flag_values=flag_values
    )
    flags.DEFINE_integer(
        'answer_bytes',
        _answers.DEFAULT_PAYLOAD_BYTES,
        'size of the payload of an answer',
        flag_values=flag_values,
    )
    flags.DEFINE_float(
        'freeze_s',
        600.0,
        'delay of answers in mode freeze',
        flag_values=flag_values,
    )
    flags.DEFINE_float(
        'leave_s',
        4.0,
        'time of serving after SIGTERM',
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        'seed', 1, 'seed of service times', flag_values=flag_values
    )
    flags.DEFINE_enum(
        'mode', 'normal', list(MODES), 'behaviour at start', flag_values
    )
    return flag_values


async def serve(cfg):
    """Serves until SIGTERM, then announces that it leaves and drains.

    It goes on serving for ``leave_s``, so that every entry can learn of it.
    """
    upstream = Upstream(cfg)
    limits = http.Limits(connections=cfg.connections)
    server = http.Server(cfg.listen, upstream, limits)
    await server.start()
    announce_task = await curio.spawn(upstream.announce_forever, daemon=True)
    LOG.info('upstream_ready', extra={'address': cfg.listen})
    await _programs.wait_for_stop_signal()
    upstream.start_leaving()
    await curio.sleep(cfg.leave_s)
    await announce_task.cancel()
    await server.stop(grace_s=cfg.leave_s)


def main(argv):
    """Runs the upstream until SIGTERM; returns the exit status."""
    cfg = _programs.parse_flags(make_flags(), argv, __doc__)
    logs.configure()
    curio.run(serve, cfg)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv))
