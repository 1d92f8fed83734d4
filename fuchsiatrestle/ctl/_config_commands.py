"""Commands about the numbered configuration."""

import getpass
import secrets
import sys
import time

from fuchsiatrestle.ctl import _commands
from fuchsiatrestle.ctl import _exits
from fuchsiatrestle.ctl import _patch_files

__all__ = ('COMMANDS',)

PATCH_ID_BYTES = 8
POLL_S = 0.1


def _read_patch(arguments, assignments):
    """Returns the merge patch that the command line names."""
    if len(arguments) > 1:
        raise _commands.UsageError('takes one file at most')
    if bool(arguments) == bool(assignments):
        raise _commands.UsageError('give a file (or -) or --set, one of them')
    if assignments:
        return _patch_files.from_assignments(assignments)
    if arguments[0] == '-':
        return _patch_files.from_file('standard input', sys.stdin)
    try:
        with open(arguments[0], encoding='utf-8') as stream:
            return _patch_files.from_file(arguments[0], stream)
    except OSError as exc:
        raise _commands.UsageError(f'{arguments[0]}: {exc.strerror}') from exc


class Patch(_commands.Command):
    """Submits a patch against a numbered version."""

    words = ('patch',)
    arguments = 'FILE|-'
    summary = 'submits a patch (INI or JSON merge patch) on version --base'
    flag_names = ('base', 'patch_id', 'set', 'wait_s')

    def run(self, context, arguments):
        """Sends the patch; prints its id first, for a resend."""
        flags = context.flags
        if flags.base is None:
            raise _commands.UsageError(
                'needs --base=VERSION; read it with `config show`'
            )
        patch = _read_patch(arguments, flags.set)
        patch_id = flags.patch_id or secrets.token_hex(PATCH_ID_BYTES)
        context.output.advice(f'patch_id={patch_id}')
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
        output.value(reply.value)
        first = ' (first answer repeated)' if reply.get('repeated') else ''
        output.advice(f'conflict{first}: {reply.get("detail")}')
        return _exits.ExitStatus.CONFLICT

    def _report_accepted(self, context, reply):
        version = reply.get('version')
        first = ' (first answer repeated)' if reply.get('repeated') else ''
        context.output.line(f'accepted as version {version}{first}')
        context.output.value(reply.value)
        if context.flags.wait_s:
            return _wait_in_force(context, version)
        return _exits.ExitStatus.OK


def _wait_in_force(context, version):
    """Waits until every leased entry has at least ``version``."""
    deadline = time.monotonic() + context.flags.wait_s
    while True:
        control = context.client.call('GET', '/v1/status').get('control', {})
        reached = control.get('config_version', 0) >= version
        if reached and not control['lagging']:
            count = control['in_force']
            context.output.line(f'in force on {count} of {count} entries')
            return _exits.ExitStatus.OK
        if time.monotonic() > deadline:
            lagging = control.get('lagging', 'unknown')
            context.output.advice(f'not yet in force on: {lagging}')
            return _exits.ExitStatus.UNKNOWN
        time.sleep(POLL_S)


class ShowConfig(_commands.QueryCommand):
    """Prints one version of the configuration."""

    words = ('config', 'show')
    summary = 'the configuration, of --version_number or current'
    path = '/v1/config'
    flag_names = ('version_number',)

    def parameters(self, flags):
        """Returns the version asked for."""
        return {'version': flags.version_number}

    def show(self, output, value, arguments):
        """Prints number and document."""
        output.line(f'version {value["version"]}')
        if not output.as_json:
            output.document(value['document'])


class ShowHistory(_commands.QueryCommand):
    """Prints the newest versions."""

    words = ('config', 'history')
    summary = 'accepted patches, newest first'
    path = '/v1/config/history'
    flag_names = ('limit',)

    def parameters(self, flags):
        """Returns the number of versions."""
        return {'limit': flags.limit}

    def show(self, output, value, arguments):
        """Prints a table."""
        columns = (
            ('VERSION', 'version'),
            ('PATCH-ID', 'patch_id'),
            ('AUTHOR', 'author'),
            ('PATCH', 'patch'),
        )
        output.table(columns, value['versions'])


class CheckPatch(_commands.Command):
    """Checks a patch file without sending it."""

    words = ('config', 'check')
    arguments = 'FILE|-'
    summary = 'shows the JSON merge patch that a file holds, sends nothing'
    flag_names = ('set',)

    def run(self, context, arguments):
        """Prints the patch."""
        patch = _read_patch(arguments, context.flags.set)
        context.output.document(patch)
        return _exits.ExitStatus.OK


COMMANDS = (Patch(), ShowConfig(), ShowHistory(), CheckPatch())
