"""Entry point of the program ``fuchsiatrestle-ctl``."""

import sys

from absl import flags

import fuchsiatrestle
from fuchsiatrestle.ctl import _client
from fuchsiatrestle.ctl import _commands
from fuchsiatrestle.ctl import _config_commands
from fuchsiatrestle.ctl import _data_commands
from fuchsiatrestle.ctl import _evacuation_commands
from fuchsiatrestle.ctl import _exits
from fuchsiatrestle.ctl import _flags
from fuchsiatrestle.ctl import _job_commands
from fuchsiatrestle.ctl import _output
from fuchsiatrestle.ctl import _view_commands
from fuchsiatrestle import errors

__all__ = ('COMMANDS', 'main', 'run')

PROGRAM = 'fuchsiatrestle-ctl'

COMMANDS = (
    _config_commands.COMMANDS
    + _view_commands.COMMANDS
    + _job_commands.COMMANDS
    + _evacuation_commands.COMMANDS
    + _data_commands.COMMANDS
)


def _find_command(words):
    """Returns the command that the first words name.

    Args:
        words: arguments of the command line without program name and flags.

    Raises:
        UsageError: there is no such command.
    """
    for command in COMMANDS:
        if tuple(words[: len(command.words)]) == command.words:
            return command
    given_words = ' '.join(words[:2]) or 'nothing'
    raise _commands.UsageError(f'unknown command: {given_words}')


def _format_command_line(command):
    return ' '.join((*command.words, command.arguments)).strip()


def _format_flag_lines(flag_values, flag_names):
    for name in flag_names:
        flag = flag_values[name]
        yield f'    --{name}: {flag.help}'


def _format_help(flag_values, command):
    """Returns the help of one command, or of the program if it is None."""
    if command is not None:
        lines = [f'{PROGRAM} {_format_command_line(command)}', '']
        lines += [f'    {command.summary}', '', 'flags:']
        lines += _format_flag_lines(
            flag_values, command.flag_names + _flags.COMMON_FLAGS
        )
        return '\n'.join(lines)
    lines = [f'usage: {PROGRAM} COMMAND [flags]', '', 'commands:']
    line_width = max(
        len(_format_command_line(listed_command))
        for listed_command in COMMANDS
    )
    lines += [
        f'    {_format_command_line(listed_command):<{line_width}}'
        f'  {listed_command.summary}'
        for listed_command in COMMANDS
    ]
    lines += ['', 'flags of every command:']
    lines += _format_flag_lines(flag_values, _flags.COMMON_FLAGS)
    lines += ['', 'exit codes:']
    lines += [
        f'    {status.value}  {status.name.lower()}'
        for status in _exits.ExitStatus
    ]
    return '\n'.join(lines)


def _run_command(command, words, flag_values, output):
    """Runs a command and reports its failure; returns the exit status.

    Raises:
        UsageError: the arguments do not fit the command.
    """
    client = _client.AdminClient(flag_values.entry, flag_values.timeout_s)
    context = _commands.Context(client, flag_values, output)
    arguments = words[len(command.words) :]
    try:
        return command.run(context, arguments)
    except _client.CallFailed as exc:
        output.print_to_stderr(f'error: {exc}')
        if exc.executed is None:
            output.print_to_stderr(
                'the outcome is unknown; send the same command again, with '
                'the same identifier, it will not be done twice'
            )
            return _exits.ExitStatus.UNKNOWN
        output.print_to_stderr(
            'nothing was changed; try again or another --entry'
        )
        return _exits.ExitStatus.UNAVAILABLE
    except errors.Error as exc:
        output.print_to_stderr(f'error: {exc.reason}')
        return _exits.ExitStatus.USAGE


def main(argv):
    """Carries out one command line and prints its result.

    Args:
        argv: list of program name, words and flags.

    Returns:
        The ``ExitStatus``.
    """
    flag_values = _flags.make_flags()
    output = _output.Output(False)
    try:
        words = flag_values(argv)[1:]
        output = _output.Output(flag_values.json)
        if flag_values.version:
            print(f'{PROGRAM} {fuchsiatrestle.__version__}')
            return _exits.ExitStatus.OK
        if flag_values.help:
            command = _find_command(words) if words else None
            print(_format_help(flag_values, command))
            return _exits.ExitStatus.OK
        command = _find_command(words)
        return _run_command(command, words, flag_values, output)
    except (flags.Error, _commands.UsageError) as exc:
        output.print_to_stderr(f'{PROGRAM}: {exc}; see {PROGRAM} --help')
        return _exits.ExitStatus.USAGE


def run():
    """Runs the program; exits the process with the ``ExitStatus``."""
    sys.exit(main(sys.argv))


if __name__ == '__main__':
    run()
