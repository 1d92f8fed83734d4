"""Stand-in for the network: ``python -m standins.relay --help``.

Forwards TCP connections, with one listener for each target.  ``POST
/standin/relay`` with ``{"target": "c1", "mode": "cut"}`` changes how the
connections to a target are treated, see ``MODES``.  A silent connection stays
open and its bytes are dropped in both directions, as by a middlebox that has
lost its state.
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
SILENT_CLOSE_DELAY_S = 3600
MAX_DELAY_S = 1.0
# SO_LINGER with a timeout of 0 s: closing the socket resets the connection.
LINGER_ZERO = struct.pack('ii', 1, 0)

PASS = 'pass'
SILENCE = 'silence'
CUT = 'cut'
MUTE = 'mute'
DELAY = 'delay'
RESET = 'reset'

MODES = {
    PASS: 'bytes are forwarded; silent and mute connections stay so',
    SILENCE: 'open connections become silent for good, new ones are forwarded',
    CUT: 'open connections and those opened in this mode are silent for good',
    MUTE: 'as cut, but only bytes from the target are dropped',
    DELAY: f'bytes are forwarded in order, up to {MAX_DELAY_S} s late',
    RESET: 'open connections are reset, new ones are forwarded',
}

LOG = logs.get_logger(__name__)


class RelayBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of the call that changes the mode of a target.

    Attributes:
        target: name of the target.
        mode: one of ``MODES``.
    """

    target: str
    mode: str


class _Conn:
    """A forwarded connection.

    Attributes:
        caller_sock: socket of the connection from the caller.
        silent: True if bytes in both directions are dropped.
        mute: True if bytes from the target are dropped.
    """

    __slots__ = ('caller_sock', 'mute', 'silent')

    def __init__(self, caller_sock, mode):
        self.caller_sock = caller_sock
        self.silent = mode == CUT
        self.mute = mode == MUTE

    def reset(self):
        """Resets the connection to the caller.

        Shutting down its read side ends the task that copies from it, which
        closes the socket; ``LINGER_ZERO`` turns the close into a reset.
        """
        sock = self.caller_sock._socket
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        try:
            sock.shutdown(socket.SHUT_RD)
        except OSError as exc:
            # The caller has closed or reset the connection already.
            LOG.debug('relay_reset_late', extra={'error': str(exc)})


class _Target:
    """A listener and the target that its connections are forwarded to.

    Args:
        name: name of the target.
        listen_address: ``settings.Address`` to listen on.
        target_address: ``settings.Address`` of the target.
    """

    def __init__(self, name, listen_address, target_address):
        self.name = name
        self.listen_address = listen_address
        self.target_address = target_address
        self.mode = PASS
        self._conns = set()

    def set_mode(self, mode):
        """Changes how the connections are treated, as ``MODES`` says."""
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
            self.listen_address.host, self.listen_address.port, backlog=BACKLOG
        )
        async with sock:
            while True:
                caller_sock, _ = await sock.accept()
                await curio.spawn(
                    self._relay_connection, caller_sock, daemon=True
                )

    async def _relay_connection(self, caller_sock):
        """Forwards a connection in both directions until one side ends."""
        conn = _Conn(caller_sock, self.mode)
        self._conns.add(conn)
        target_sock = None
        try:
            async with caller_sock:
                if conn.silent:
                    await self._discard_input(caller_sock)
                    return
                target_sock = await curio.open_connection(
                    self.target_address.host, self.target_address.port
                )
                async with target_sock, curio.TaskGroup(wait=any) as group:
                    await group.spawn(
                        self._copy_bytes, conn, caller_sock, target_sock
                    )
                    await group.spawn(
                        self._copy_from_target, conn, target_sock, caller_sock
                    )
        except OSError as exc:
            LOG.debug('relay_broken', extra={'error': str(exc)})
        finally:
            self._conns.discard(conn)

    async def _discard_input(self, sock):
        """Reads and drops bytes until the peer ends the connection."""
        while await sock.recv(RECV_BYTES):
            continue

    async def _copy_from_target(self, conn, target_sock, caller_sock):
        await self._copy_bytes(
            conn, target_sock, caller_sock, from_target=True
        )

    async def _copy_bytes(self, conn, source, sink, *, from_target=False):
        """Forwards, delays or drops bytes in one direction, by the mode."""
        try:
            while data := await source.recv(RECV_BYTES):
                if self.mode == DELAY:
                    await curio.sleep(random.uniform(0, MAX_DELAY_S))
                if not conn.silent and not (from_target and conn.mute):
                    await sink.sendall(data)
        except OSError as exc:
            LOG.debug('relay_broken', extra={'error': str(exc)})
        if conn.silent or conn.mute:
            # Keeps both sides open, so that neither learns of the other's end.
            await curio.sleep(SILENT_CLOSE_DELAY_S)


class Relay(http.Handler):
    """All targets, and the HTTP call that changes their modes.

    Args:
        target_specs: texts ``NAME=LISTEN>ADDRESS``, one for each target.
    """

    def __init__(self, target_specs):
        self._targets = {}
        for target_spec in target_specs:
            name, _, rest = target_spec.partition('=')
            listen_text, _, address_text = rest.partition('>')
            self._targets[name] = _Target(
                name,
                settings.Address.parse(listen_text),
                settings.Address.parse(address_text),
            )

    @property
    def targets(self):
        """Names of the targets."""
        return self._targets.keys()

    async def start(self):
        """Starts a task with the listener of each target."""
        for target in self._targets.values():
            await curio.spawn(target.serve, daemon=True)

    def set_mode(self, target, mode):
        """Changes how the connections of one target are treated.

        Args:
            target: name of the target.
            mode: one of ``MODES``.
        """
        self._targets[target].set_mode(mode)

    async def handle(self, request):
        """Answers the call that changes the mode of a target."""
        try:
            body = msgspec.json.decode(request.body, type=RelayBody)
        except msgspec.DecodeError as exc:
            return http.make_reason_response(400, 'bad_json', str(exc))
        if body.target not in self._targets or body.mode not in MODES:
            return http.make_reason_response(400, 'unknown', repr(body))
        self.set_mode(body.target, body.mode)
        return http.make_json_response(200, {'mode': body.mode})


def make_flags():
    """Returns the flags of the program."""
    flag_values = flags.FlagValues()
    _programs.define_address(
        flag_values, 'control', 'address of the call that changes modes'
    )
    flags.DEFINE_multi_string(
        'pair', None, 'NAME=LISTEN>ADDRESS, repeated', flag_values=flag_values
    )
    return flag_values


async def serve(cfg):
    """Forwards connections until SIGTERM."""
    relay = Relay(cfg.pair)
    await relay.start()
    server = http.Server(cfg.control, relay)
    await server.start()
    await _programs.wait_for_stop_signal()


def main(argv):
    """Runs the relay until SIGTERM; returns the exit status."""
    cfg = _programs.parse_flags(make_flags(), argv, __doc__)
    logs.configure()
    curio.run(serve, cfg)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv))
