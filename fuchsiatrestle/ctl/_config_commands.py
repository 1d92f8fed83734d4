"""Commands that show or change the versions of the configuration."""

import getpass
import secrets
import sys
import time

from fuchsiatrestle.ctl import _commands
from fuchsiatrestle.ctl import _exits
from fuchsiatrestle.ctl import _patch_files

__all__ = ('COMMANDS',)

PATCH_ID_BYTES = 8
POLL_INTERVAL_S = 0.1


def _read_patch(arguments, assignments):
    """Returns the merge patch that the command line gives.

    Args:
        arguments: one file name, ``-`` for standard input, or nothing.
        assignments: values of ``--set``, used if no file is named.

    Raises:
        UsageError: neither or both are given, or the file can not be read.
        errors.SettingsInvalid: the file or an assignment is malformed.
    """
    if len(arguments) > 1:
        raise _commands.UsageError('takes one file at most')
    if bool(arguments) == bool(assignments):
        raise _commands.UsageError('give either a file (or -) or --set')
    if assignments:
        return _patch_files.parse_assignments(assignments)
    if arguments[0] == '-':
        return _patch_files.read_patch_file('standard input', sys.stdin)
    try:
        with open(arguments[0], encoding='utf-8') as stream:
            return _patch_files.read_patch_file(arguments[0], stream)
    except OSError as exc:
        raise _commands.UsageError(f'{arguments[0]}: {exc.strerror}') from exc


class SubmitPatch(_commands.Command):
    """Submits a patch that builds on a given version."""

    words = ('patch',)
    arguments = 'FILE|-'
    summary = 'submits a patch (INI or JSON merge patch) on version --base'
    flag_names = ('base', 'patch_id', 'set', 'wait_s')

    def run(self, context, arguments):
        """Sends the patch and prints the outcome.

        The patch id is printed before the patch is sent, so that the same
        patch can be sent again if the answer is lost.
        """
        flags = context.flags
        if flags.base is None:
            raise _commands.UsageError(
                'needs --base=VERSION; read it with `config show`'
            )
        patch = _read_patch(arguments, flags.set)
        patch_id = flags.patch_id or secrets.token_hex(PATCH_ID_BYTES)
        context.output.print_to_stderr(f'patch_id={patch_id}')
        parameters = {
            'base': flags.base,
            'patch_id': patch_id,
            'author': flags.author or getpass.getuser(),
        }
        reply = context.client.call('PATCH', '/v1/config', parameters, patch)
        if reply.reason == 'version_conflict':
            return self._report_conflict(context.output, reply)
        if not reply.ok:
            return _commands.report_refusal(context.output, reply)
        return self._report_accepted(context, reply)

    def _report_conflict(self, output, reply):
        output.print_json(reply.value)
        repeated_note = (
            ' (first answer repeated)' if reply.get('repeated') else ''
        )
        output.print_to_stderr(
            f'conflict{repeated_note}: {reply.get("detail")}'
        )
        return _exits.ExitStatus.CONFLICT

    def _report_accepted(self, context, reply):
        version = reply.get('version')
        repeated_note = (
            ' (first answer repeated)' if reply.get('repeated') else ''
        )
        context.output.print_line(
            f'accepted as version {version}{repeated_note}'
        )
        context.output.print_json(reply.value)
        if context.flags.wait_s:
            return _wait_until_in_force(context, version)
        return _exits.ExitStatus.OK


def _wait_until_in_force(context, version):
    """Waits until no entry with a lease is behind ``version``.

    Returns:
        The ``ExitStatus``: UNKNOWN if that takes longer than ``--wait_s``.
    """
    deadline_s = time.monotonic() + context.flags.wait_s
    while True:
        control_status = context.client.call('GET', '/v1/status').get(
            'control', {}
        )
        leader_has_version = control_status.get('config_version', 0) >= version
        if leader_has_version and not control_status['lagging']:
            entry_count = control_status['in_force']
            context.output.print_line(
                f'in force on {entry_count} of {entry_count} entries'
            )
            return _exits.ExitStatus.OK
        if time.monotonic() > deadline_s:
            lagging_entries = control_status.get('lagging', 'unknown')
            context.output.print_to_stderr(
                f'not yet in force on: {lagging_entries}'
            )
            return _exits.ExitStatus.UNKNOWN
        time.sleep(POLL_INTERVAL_S)


class ShowConfig(_commands.QueryCommand):
    """Prints one version of the configuration."""

    words = ('config', 'show')
    summary = 'the configuration, of --version_number or current'
    path = '/v1/config'
    flag_names = ('version_number',)

    def make_parameters(self, flags):
        """Returns the number of the version to show."""
        return {'version': flags.version_number}

    def print_value(self, output, json_body, arguments):
        """Prints the number of the version and its document."""
        output.print_line(f'version {json_body["version"]}')
        if not output.as_json:
            output.print_document(json_body['document'])


class ShowHistory(_commands.QueryCommand):
    """Prints the patches that made the newest versions."""

    words = ('config', 'history')
    summary = 'accepted patches, newest first'
    path = '/v1/config/history'
    flag_names = ('limit',)

    def make_parameters(self, flags):
        """Returns the largest number of versions to show."""
        return {'limit': flags.limit}

    def print_value(self, output, json_body, arguments):
        """Prints one row for each version."""
        columns = (
            ('VERSION', 'version'),
            ('PATCH-ID', 'patch_id'),
            ('AUTHOR', 'author'),
            ('PATCH', 'patch'),
        )
        output.print_table(columns, json_body['versions'])


class CheckPatch(_commands.Command):
    """Checks a patch file without sending it."""

    words = ('config', 'check')
    arguments = 'FILE|-'
    summary = 'shows the JSON merge patch that a file holds, sends nothing'
    flag_names = ('set',)

    def run(self, context, arguments):
        """Prints the JSON merge patch."""
        patch = _read_patch(arguments, context.flags.set)
        context.output.print_document(patch)
        return _exits.ExitStatus.OK


COMMANDS = (SubmitPatch(), ShowConfig(), ShowHistory(), CheckPatch())
