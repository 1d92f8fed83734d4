"""Commands that read a data folder in place; none of them changes it.

The control replica that owns the folder may be running.
"""

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

COMMAND_ENTRY_KIND = 'command'


class _FolderCommand(_commands.Command):
    """Base of the commands that print a report on a data folder.

    A damaged record ends in ``ExitStatus.DAMAGED``, which is 6.

    Attributes:
        argument_count: number of arguments that the command takes.
    """

    arguments = 'FOLDER'
    argument_count = 1

    def run(self, context, arguments):
        """Reads the folder and prints the report."""
        if len(arguments) != self.argument_count:
            raise _commands.UsageError(f'takes {self.arguments}')
        try:
            folder = agreement.read_folder(arguments[0])
            report = self.make_report(folder, arguments)
        except errors.DataDamaged as exc:
            context.output.print_to_stderr(f'damaged: {exc.reason}')
            context.output.print_to_stderr(
                'keep the folder aside and start the replica on an empty one'
            )
            return _exits.ExitStatus.DAMAGED
        except (errors.StorageFailed, OSError) as exc:
            raise _commands.UsageError(str(exc)) from exc
        context.output.print_json(report)
        context.output.print_fields(list(report.items()))
        return _exits.ExitStatus.OK

    def make_report(self, folder, arguments):
        """Returns the report as a dict of names and values.

        Args:
            folder: what ``agreement.read_folder`` returned.
            arguments: list of the arguments, the path of the folder first.

        Raises:
            errors.DataDamaged: a record can not be decoded.
            errors.StorageFailed: the folder lacks what the command needs.
            OSError: a file can not be written.
        """
        raise NotImplementedError


def _describe_folder(folder):
    return {
        'identity': folder.identity,
        'term': folder.hard_state.term,
        'vote': folder.hard_state.vote,
    }


def _check_command(entry):
    """Raises ``errors.DataDamaged`` if an entry holds no known command."""
    try:
        commands.CODEC.decode(entry.data)
    except records.DecodeError as exc:
        raise errors.DataDamaged(
            f'log entry {entry.index}: {exc}', step='log_verify'
        ) from exc


class VerifyLog(_FolderCommand):
    """Checks that every record of the log can be decoded."""

    words = ('log', 'verify')
    summary = 'checks every record of a data folder in place'

    def make_report(self, folder, arguments):
        """Checks the log and returns what it contains.

        Each log entry of kind ``COMMAND_ENTRY_KIND`` has to hold a known
        command.
        """
        log_entries = folder.state.entries
        for entry in log_entries:
            if entry.kind == COMMAND_ENTRY_KIND:
                _check_command(entry)
        torn_path = folder.torn_segment[0] if folder.torn_segment else ''
        return {
            **_describe_folder(folder),
            'segments': len(folder.segments),
            'entries': len(log_entries),
            'first_index': log_entries[0].index if log_entries else 0,
            'last_index': log_entries[-1].index if log_entries else 0,
            'torn_tail': torn_path,
        }


def _restore_snapshot(folder):
    """Returns a state machine restored from the snapshot."""
    state_machine = machine.StateMachine()
    state_machine.restore(folder.snapshot.data)
    return state_machine


def _describe_snapshot(folder):
    if folder.snapshot is None:
        return {**_describe_folder(folder), 'snapshot': 'none yet'}
    state_machine = _restore_snapshot(folder)
    return {
        **_describe_folder(folder),
        'last_index': folder.snapshot.last_index,
        'last_term': folder.snapshot.last_term,
        'bytes': len(folder.snapshot.data),
        'config_version': state_machine.query(queries.GetConfig()).version,
    }


class VerifySnapshot(_FolderCommand):
    """Checks that the snapshot can be restored into an empty state."""

    words = ('snapshot', 'verify')
    summary = 'checks that the snapshot of a data folder can be restored'

    def make_report(self, folder, arguments):
        """Restores the snapshot and returns its description."""
        return _describe_snapshot(folder)


class SaveSnapshot(_FolderCommand):
    """Writes the encoded state of the snapshot to a new file."""

    words = ('snapshot', 'save')
    arguments = 'FOLDER FILE'
    summary = 'writes the checked snapshot of a data folder to a new file'
    argument_count = 2

    def make_report(self, folder, arguments):
        """Checks the snapshot, writes it to the file and describes it.

        The file must not exist yet; it is synced to disk.
        """
        if folder.snapshot is None:
            raise errors.StorageFailed('no snapshot yet', step='save')
        report = _describe_snapshot(folder)
        with open(arguments[1], 'xb') as stream:
            stream.write(folder.snapshot.data)
            stream.flush()
            os.fsync(stream.fileno())
        return {**report, 'file': arguments[1]}


COMMANDS = (VerifyLog(), VerifySnapshot(), SaveSnapshot())
