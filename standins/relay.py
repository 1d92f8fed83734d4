"""Stand-in for the network: ``python -m standins.relay --help``.

Passes TCP connections on, one listener for each target.  ``POST
/standin/relay`` with ``{"target": "c1", "mode": "cut"}`` changes what happens
to a target, see ``MODES``.  A silent connection stays open and its bytes go
nowhere, as behind a middlebox that dropped its state.
"""

import random
import socket
import struct
import sys

from absl import flags
import curio
import msgspec

from fuchsiatrestle import logs
from fuchsiatrestle.net import http
from fuchsiatrestle import settings
from standins import _programs

__all__ = ('MODES', 'Relay', 'main')

MODE_PATH = '/standin/relay'
RECV_BYTES = 65536
BACKLOG = 256
SILENT_END_S = 3600
MAX_DELAY_S = 1.0
# Closing with this lingers for no time: the peer sees a reset.
RESET_AT_CLOSE = struct.pack('ii', 1, 0)

PASS = 'pass'
SILENCE = 'silence'
CUT = 'cut'
MUTE = 'mute'
DELAY = 'delay'
RESET = 'reset'

MODES = {
    PASS: 'everything passes; silent connections stay silent',
    SILENCE: 'open connections go silent for good, new ones pass',
    CUT: 'open and new connections are silent until the next pass',
    MUTE: 'what the target sends goes nowhere; what it is sent arrives',
    DELAY: f'bytes arrive up to {MAX_DELAY_S} s late, in order',
    RESET: 'open connections are reset at once, new ones pass',
}

LOG = logs.get_logger(__name__)


class RelayBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of the call that changes a target's mode."""

    target: str
    mode: str


class _Conn:
    """One connection passed on.

    Attributes:
        inner: the socket towards the caller.
        silent: True if its bytes go nowhere any more, both ways.
        mute: True if what the target sends goes nowhere any more.
    """

    __slots__ = ('inner', 'mute', 'silent')

    def __init__(self, inner, mode):
        self.inner = inner
        self.silent = mode == CUT
        self.mute = mode == MUTE

    def reset(self):
        """Has the caller see a reset."""
        sock = self.inner._socket
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        try:
            sock.shutdown(socket.SHUT_RD)
        except OSError as exc:
            # The caller was faster.
            LOG.debug('relay_reset_late', extra={'error': str(exc)})


class _Target:
    """One listener and what it passes on to."""

    def __init__(self, name, listen, address):
        self.name = name
        self.listen = listen
        self.address = address
        self.mode = PASS
        self._conns = set()

    def set_mode(self, mode):
        """Changes what happens to the connections."""
        self.mode = mode
        for conn in self._conns:
            if mode in (SILENCE, CUT):
                conn.silent = True
            elif mode == MUTE:
                conn.mute = True
            elif mode == RESET:
                conn.reset()

    async def serve(self):
        """Accepts connections until cancelled."""
        sock = curio.network.tcp_server_socket(
            self.listen.host, self.listen.port, backlog=BACKLOG
        )
        async with sock:
            while True:
                inner, _ = await sock.accept()
                await curio.spawn(self._pass_on, inner, daemon=True)

    async def _pass_on(self, inner):
        conn = _Conn(inner, self.mode)
        self._conns.add(conn)
        outer = None
        try:
            async with inner:
                if conn.silent:
                    await self._swallow(inner)
                    return
                outer = await curio.open_connection(
                    self.address.host, self.address.port
                )
                async with outer, curio.TaskGroup(wait=any) as group:
                    await group.spawn(self._pump, conn, inner, outer)
                    await group.spawn(self._pump_back, conn, outer, inner)
        except OSError as exc:
            LOG.debug('relay_broken', extra={'error': str(exc)})
        finally:
            self._conns.discard(conn)

    async def _swallow(self, sock):
        while await sock.recv(RECV_BYTES):
            continue

    async def _pump_back(self, conn, outer, inner):
        await self._pump(conn, outer, inner, back=True)

    async def _pump(self, conn, source, sink, *, back=False):
        try:
            while data := await source.recv(RECV_BYTES):
                if self.mode == DELAY:
                    await curio.sleep(random.uniform(0, MAX_DELAY_S))
                if not conn.silent and not (back and conn.mute):
                    await sink.sendall(data)
        except OSError as exc:
            LOG.debug('relay_broken', extra={'error': str(exc)})
        if conn.silent or conn.mute:
            # Not even the end of the connection gets through.
            await curio.sleep(SILENT_END_S)


class Relay(http.Handler):
    """All targets, and the call that changes them.

    Args:
        pairs: texts ``NAME=LISTEN>ADDRESS``.
    """

    def __init__(self, pairs):
        self._targets = {}
        for pair in pairs:
            name, _, rest = pair.partition('=')
            listen, _, address = rest.partition('>')
            self._targets[name] = _Target(
                name,
                settings.Address.parse(listen),
                settings.Address.parse(address),
            )

    @property
    def targets(self):
        """Names of the targets."""
        return self._targets.keys()

    async def start(self):
        """Starts every listener in a task of its own."""
        for target in self._targets.values():
            await curio.spawn(target.serve, daemon=True)

    def set_mode(self, target, mode):
        """Changes what happens to the connections of one target."""
        self._targets[target].set_mode(mode)

    async def handle(self, request):
        """Changes the mode of one target."""
        try:
            body = msgspec.json.decode(request.body, type=RelayBody)
        except msgspec.DecodeError as exc:
            return http.reason_response(400, 'bad_json', str(exc))
        if body.target not in self._targets or body.mode not in MODES:
            return http.reason_response(400, 'unknown', repr(body))
        self.set_mode(body.target, body.mode)
        return http.json_response(200, {'mode': body.mode})


def make_flags():
    """Returns the flags of the program."""
    values = flags.FlagValues()
    _programs.define_address(values, 'control', 'where modes are changed')
    flags.DEFINE_multi_string(
        'pair', None, 'NAME=LISTEN>ADDRESS, repeated', flag_values=values
    )
    return values


async def serve(cfg):
    """Passes connections on until SIGTERM."""
    relay = Relay(cfg.pair)
    await relay.start()
    server = http.Server(cfg.control, relay)
    await server.start()
    await _programs.wait_for_stop()


def main(argv):
    """Runs the program."""
    cfg = _programs.parse(make_flags(), argv, __doc__)
    logs.configure()
    curio.run(serve, cfg)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv))
