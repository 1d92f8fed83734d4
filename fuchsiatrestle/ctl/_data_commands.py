"""Commands that read a data folder in place; none of them changes it."""

import os

from fuchsiatrestle import agreement
from fuchsiatrestle.ctl import _commands
from fuchsiatrestle.ctl import _exits
from fuchsiatrestle import errors
from fuchsiatrestle import records
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine
from fuchsiatrestle.state import queries

__all__ = ('COMMANDS',)

COMMAND_KIND = 'command'


class _FolderCommand(_commands.Command):
    """Reads a folder, prints what it holds; damage is exit status 6."""

    arguments = 'FOLDER'
    argument_count = 1

    def run(self, context, arguments):
        """Reads the folder and reports on it."""
        if len(arguments) != self.argument_count:
            raise _commands.UsageError(f'takes {self.arguments}')
        try:
            folder = agreement.read_folder(arguments[0])
            report = self.inspect(folder, arguments)
        except errors.DataDamaged as exc:
            context.output.advice(f'damaged: {exc.reason}')
            context.output.advice(
                'keep the folder aside and start the replica on an empty one'
            )
            return _exits.ExitStatus.DAMAGED
        except (errors.StorageFailed, OSError) as exc:
            raise _commands.UsageError(str(exc)) from exc
        context.output.value(report)
        context.output.fields(list(report.items()))
        return _exits.ExitStatus.OK

    def inspect(self, folder, arguments):
        """Returns the report, a dict.

        Raises:
            errors.DataDamaged: a record can not be read.
        """
        raise NotImplementedError


def _describe(folder):
    return {
        'identity': folder.identity,
        'term': folder.hard_state.term,
        'vote': folder.hard_state.vote,
    }


def _check_command(entry):
    try:
        commands.CODEC.decode(entry.data)
    except records.DecodeError as exc:
        raise errors.DataDamaged(
            f'log entry {entry.index}: {exc}', step='log_verify'
        ) from exc


class VerifyLog(_FolderCommand):
    """Checks every record of the log."""

    words = ('log', 'verify')
    summary = 'checks every record of a data folder in place'

    def inspect(self, folder, arguments):
        """Checks that each entry holds a known command."""
        entries = folder.state.entries
        for entry in entries:
            if entry.kind == COMMAND_KIND:
                _check_command(entry)
        torn = folder.torn_tail[0] if folder.torn_tail else ''
        return {
            **_describe(folder),
            'segments': len(folder.segments),
            'entries': len(entries),
            'first_index': entries[0].index if entries else 0,
            'last_index': entries[-1].index if entries else 0,
            'torn_tail': torn,
        }


def _restore(folder):
    """Returns the state machine that the snapshot holds."""
    state = machine.StateMachine()
    state.restore(folder.snapshot.data)
    return state


def _describe_snapshot(folder):
    if folder.snapshot is None:
        return {**_describe(folder), 'snapshot': 'none yet'}
    state = _restore(folder)
    return {
        **_describe(folder),
        'last_index': folder.snapshot.last_index,
        'last_term': folder.snapshot.last_term,
        'bytes': len(folder.snapshot.data),
        'config_version': state.query(queries.GetConfig()).version,
    }


class VerifySnapshot(_FolderCommand):
    """Restores the snapshot into an empty state."""

    words = ('snapshot', 'verify')
    summary = 'checks that the snapshot of a data folder can be restored'

    def inspect(self, folder, arguments):
        """Restores it and says what it holds."""
        return _describe_snapshot(folder)


class SaveSnapshot(_FolderCommand):
    """Writes the checked state of a snapshot to a new file."""

    words = ('snapshot', 'save')
    arguments = 'FOLDER FILE'
    summary = 'writes the checked snapshot of a data folder to a new file'
    argument_count = 2

    def inspect(self, folder, arguments):
        """Writes and syncs the file, which must not exist."""
        if folder.snapshot is None:
            raise errors.StorageFailed('no snapshot yet', step='save')
        report = _describe_snapshot(folder)
        with open(arguments[1], 'xb') as stream:
            stream.write(folder.snapshot.data)
            stream.flush()
            os.fsync(stream.fileno())
        return {**report, 'file': arguments[1]}


COMMANDS = (VerifyLog(), VerifySnapshot(), SaveSnapshot())
