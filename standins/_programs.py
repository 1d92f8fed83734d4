"""Command line and stop signals shared by the stand-ins."""

import signal
import socket
import sys

from absl import flags
import curio

from fuchsiatrestle import settings

__all__ = ('define_address', 'define_addresses', 'parse', 'wait_for_stop')

EXIT_USAGE = 2


class _AddressParser(flags.ArgumentParser):
    """Parses ``IP:port``."""

    syntactic_help = 'IP:port'

    def parse(self, argument):
        """Returns the ``settings.Address``."""
        if isinstance(argument, settings.Address):
            return argument
        return settings.Address.parse(argument)


def define_address(values, name, text):
    """Defines a required flag that takes one ``IP:port``."""
    flags.DEFINE(_AddressParser(), name, None, text, values, required=True)


def define_addresses(values, name, text):
    """Defines a required flag that takes ``IP:port``, repeated."""
    flags.DEFINE_multi(
        _AddressParser(),
        flags.ArgumentSerializer(),
        name,
        None,
        text,
        values,
        required=True,
    )


def parse(values, argv, summary):
    """Parses a command line; prints the help or the fault and exits."""
    flags.DEFINE_bool('help', False, 'print the help and exit', values)
    if '--help' in argv:
        print(f'{summary}\n{values.get_help()}')
        sys.exit(0)
    try:
        rest = values(argv)[1:]
    except flags.Error as exc:
        print(f'{argv[0]}: {exc}', file=sys.stderr)
        sys.exit(EXIT_USAGE)
    if rest:
        print(f'{argv[0]}: takes no arguments, got {rest!r}', file=sys.stderr)
        sys.exit(EXIT_USAGE)
    return values


def _open_signal_pipe():
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.detach())
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda received, frame: None)
    return reader


async def wait_for_stop():
    """Waits for SIGTERM or SIGINT."""
    async with curio.io.Socket(_open_signal_pipe()) as pipe:
        await pipe.recv(1)
