"""Entry point of ``fuchsiatrestle-ctl``."""

import sys

from absl import flags

import fuchsiatrestle
from fuchsiatrestle.ctl import _client
from fuchsiatrestle.ctl import _commands
from fuchsiatrestle.ctl import _config_commands
from fuchsiatrestle.ctl import _data_commands
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
    + _data_commands.COMMANDS
)


def _find_command(words):
    """Returns the command that ``words`` start with."""
    for command in COMMANDS:
        if tuple(words[: len(command.words)]) == command.words:
            return command
    given = ' '.join(words[:2]) or 'nothing'
    raise _commands.UsageError(f'unknown command: {given}')


def _command_line(command):
    return ' '.join((*command.words, command.arguments)).strip()


def _flag_lines(values, names):
    for name in names:
        flag = values[name]
        yield f'    --{name}: {flag.help}'


def _help_text(values, command):
    if command is not None:
        lines = [f'{PROGRAM} {_command_line(command)}', '']
        lines += [f'    {command.summary}', '', 'flags:']
        lines += _flag_lines(values, command.flag_names + _flags.COMMON)
        return '\n'.join(lines)
    lines = [f'usage: {PROGRAM} COMMAND [flags]', '', 'commands:']
    width = max(len(_command_line(item)) for item in COMMANDS)
    lines += [
        f'    {_command_line(item):<{width}}  {item.summary}'
        for item in COMMANDS
    ]
    lines += ['', 'flags of every command:']
    lines += _flag_lines(values, _flags.COMMON)
    lines += ['', 'exit codes:']
    lines += [
        f'    {status.value}  {status.name.lower()}'
        for status in _exits.ExitStatus
    ]
    return '\n'.join(lines)


def _run_command(command, words, values, output):
    client = _client.AdminClient(values.entry, values.timeout_s)
    context = _commands.Context(client, values, output)
    arguments = words[len(command.words) :]
    try:
        return command.run(context, arguments)
    except _client.CallFailed as exc:
        output.advice(f'error: {exc}')
        if exc.executed is None:
            output.advice(
                'the outcome is unknown; send the same command again, with '
                'the same identifier, it will not be done twice'
            )
            return _exits.ExitStatus.UNKNOWN
        output.advice('nothing was changed; try again or another --entry')
        return _exits.ExitStatus.UNAVAILABLE
    except errors.Error as exc:
        output.advice(f'error: {exc.reason}')
        return _exits.ExitStatus.USAGE


def main(argv):
    """Runs one command line.

    Args:
        argv: program name and arguments.

    Returns:
        The ``ExitStatus``.
    """
    values = _flags.make_flags()
    output = _output.Output(False)
    try:
        words = values(argv)[1:]
        output = _output.Output(values.json)
        if values.version:
            print(f'{PROGRAM} {fuchsiatrestle.__version__}')
            return _exits.ExitStatus.OK
        if values.help:
            command = _find_command(words) if words else None
            print(_help_text(values, command))
            return _exits.ExitStatus.OK
        command = _find_command(words)
        return _run_command(command, words, values, output)
    except (flags.Error, _commands.UsageError) as exc:
        output.advice(f'{PROGRAM}: {exc}; see {PROGRAM} --help')
        return _exits.ExitStatus.USAGE


def run():
    """Runs the program."""
    sys.exit(main(sys.argv))


if __name__ == '__main__':
    run()
