"""Command line parsing and stop signals shared by the stand-ins."""

import signal
import socket
import sys

from absl import flags
import curio

from fuchsiatrestle import settings

__all__ = (
    'define_address',
    'define_addresses',
    'parse_flags',
    'wait_for_stop_signal',
)

EXIT_USAGE = 2


class _AddressParser(flags.ArgumentParser):
    """Parser of flags whose value is ``IP:port``."""

    syntactic_help = 'IP:port'

    def parse(self, argument):
        """Returns the ``settings.Address`` that the argument names."""
        if isinstance(argument, settings.Address):
            return argument
        return settings.Address.parse(argument)


def define_address(flag_values, name, help_text):
    """Defines a required flag that takes one ``IP:port``."""
    flags.DEFINE(
        _AddressParser(), name, None, help_text, flag_values, required=True
    )


def define_addresses(flag_values, name, help_text):
    """Defines a required flag that takes ``IP:port`` and can be repeated."""
    flags.DEFINE_multi(
        _AddressParser(),
        flags.ArgumentSerializer(),
        name,
        None,
        help_text,
        flag_values,
        required=True,
    )


def parse_flags(flag_values, argv, summary):
    """Sets flags from a command line; returns ``flag_values``.

    Prints the help and exits with 0 if the command line asks for it; prints
    the error and exits with ``EXIT_USAGE`` if it is invalid.

    Args:
        flag_values: the ``absl`` flag values, defined beforehand.
        argv: program name and arguments.
        summary: description of the program, shown above the help.
    """
    flags.DEFINE_bool('help', False, 'print the help and exit', flag_values)
    if '--help' in argv:
        print(f'{summary}\n{flag_values.get_help()}')
        sys.exit(0)
    try:
        arguments = flag_values(argv)[1:]
    except flags.Error as exc:
        print(f'{argv[0]}: {exc}', file=sys.stderr)
        sys.exit(EXIT_USAGE)
    if arguments:
        print(
            f'{argv[0]}: takes no arguments, got {arguments!r}',
            file=sys.stderr,
        )
        sys.exit(EXIT_USAGE)
    return flag_values


def _open_signal_pipe():
    read_socket, write_socket = socket.socketpair()
    write_socket.setblocking(False)
    signal.set_wakeup_fd(write_socket.detach())
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda received, frame: None)
    return read_socket


async def wait_for_stop_signal():
    """Returns once the process receives SIGTERM or SIGINT."""
    async with curio.io.Socket(_open_signal_pipe()) as pipe:
        await pipe.recv(1)
