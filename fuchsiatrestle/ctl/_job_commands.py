"""Commands about batch jobs."""

import datetime
import getpass
import json
import time
import urllib.parse

from fuchsiatrestle.ctl import _commands
from fuchsiatrestle.ctl import _exits

__all__ = ('COMMANDS',)

_JOB_COLUMNS = (
    ('JOB', 'job_id'),
    ('TEAM', 'team'),
    ('CLASS', 'job_class'),
    ('PRIORITY', 'priority'),
    ('STATE', 'state'),
    ('ATTEMPT', 'attempt'),
    ('WORKER', 'worker'),
    ('CHECKPOINT', 'checkpoint'),
    ('REASON', 'reason'),
)
_OUTCOME_COLUMNS = (
    ('JOB', 'job_id'),
    ('STATE', 'state'),
    ('REPEATED', 'repeated'),
    ('REFUSED', 'reason'),
    ('DETAIL', 'detail'),
)
_RESOLUTIONS = ('done', 'failed', 'queued')


def _deadline_ms(text):
    """Returns epoch milliseconds of an ISO 8601 time, 0 for no text."""
    if not text:
        return 0
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError as exc:
        raise _commands.UsageError(f'--deadline: {exc}') from exc
    if moment.tzinfo is None:
        raise _commands.UsageError('--deadline: give the offset from UTC')
    return int(moment.timestamp() * 1000)


def _job_from_flags(job_id, flags):
    if not flags.team:
        raise _commands.UsageError('needs --team')
    return {
        'job_id': job_id,
        'team': flags.team,
        'job_class': flags.job_class,
        'priority': flags.priority,
        'size': {
            'cpu_milli': flags.cpu_milli,
            'memory_mib': flags.memory_mib,
            'accelerators': flags.accelerators,
        },
        'idempotent': not flags.billed,
        'deadline_ms': _deadline_ms(flags.deadline),
        'run_ms': flags.run_ms,
        'command': flags.command,
        'urgent': flags.urgent,
        'data_centre': flags.data_centre,
        'submitted_ms': flags.submitted_ms or int(time.time() * 1000),
    }


def _jobs_from_file(path):
    try:
        with open(path, encoding='utf-8') as stream:
            jobs = json.load(stream)
    except (OSError, ValueError) as exc:
        raise _commands.UsageError(f'{path}: {exc}') from exc
    return jobs if isinstance(jobs, list) else [jobs]


def _report_outcomes(context, reply):
    context.output.value(reply.value)
    context.output.table(_OUTCOME_COLUMNS, reply.value['jobs'])
    if any(job['reason'] for job in reply.value['jobs']):
        return _exits.ExitStatus.REFUSED
    return _exits.ExitStatus.OK


class Submit(_commands.Command):
    """Submits one job by flags, or many from a JSON file."""

    words = ('jobs', 'submit')
    arguments = 'JOB_ID | --file=JOBS.json'
    summary = 'submits jobs; the same job id again is the same job'
    flag_names = (
        'file',
        'team',
        'job_class',
        'priority',
        'cpu_milli',
        'memory_mib',
        'accelerators',
        'billed',
        'deadline',
        'run_ms',
        'command',
        'urgent',
        'data_centre',
        'submitted_ms',
    )

    def run(self, context, arguments):
        """Sends the jobs in one call."""
        flags = context.flags
        if bool(flags.file) == bool(arguments) or len(arguments) > 1:
            raise _commands.UsageError('give one job id or --file')
        if flags.file:
            jobs = _jobs_from_file(flags.file)
        else:
            jobs = [_job_from_flags(arguments[0], flags)]
            context.output.advice(f'submitted_ms={jobs[0]["submitted_ms"]}')
        author = flags.author or getpass.getuser()
        body = {'jobs': jobs, 'author': author}
        reply = context.client.call('POST', '/v1/jobs', value=body)
        if not reply.ok:
            return _commands.report_refusal(context.output, reply)
        return _report_outcomes(context, reply)


class Cancel(_commands.Command):
    """Cancels jobs in one agreed batch."""

    words = ('jobs', 'cancel')
    arguments = 'JOB_ID...'
    summary = 'cancels jobs in one batch'

    def run(self, context, arguments):
        """Sends the identifiers in one call."""
        if not arguments:
            raise _commands.UsageError('takes at least one job id')
        author = context.flags.author or getpass.getuser()
        body = {'job_ids': arguments, 'author': author}
        reply = context.client.call('POST', '/v1/jobs/cancel', value=body)
        if not reply.ok:
            return _commands.report_refusal(context.output, reply)
        return _report_outcomes(context, reply)


class _OneJob(_commands.QueryCommand):
    """Reads one job."""

    arguments = 'JOB_ID'

    def make_path(self, arguments):
        """Returns the path of the job."""
        if len(arguments) != 1:
            raise _commands.UsageError('takes one job id')
        return '/v1/jobs/' + urllib.parse.quote(arguments[0], safe='')


class Show(_OneJob):
    """Shows one job."""

    words = ('jobs', 'show')
    summary = 'state of one job'

    def show(self, output, value, arguments):
        """Prints its fields, then its attempts, oldest first."""
        names = (key for _, key in _JOB_COLUMNS)
        output.fields([(name, value[name]) for name in names])
        for line in value['history']:
            output.line(f'  {line}')


class Why(_OneJob):
    """Explains why a job stands where it does."""

    words = ('jobs', 'why')
    summary = 'why a job stands where it does'

    def make_path(self, arguments):
        """Returns the path of the explanation."""
        return super().make_path(arguments) + '/why'

    def show(self, output, value, arguments):
        """Prints one line a fact, most important first."""
        output.line(f'{value["job_id"]} is {value["state"]}')
        for line in value['lines']:
            output.line(f'  {line}')


class Resolve(_commands.Command):
    """Settles parked jobs on the operator's word."""

    words = ('jobs', 'resolve')
    arguments = 'done|failed|queued JOB_ID...'
    summary = 'settles parked jobs once you know how they ended'

    def run(self, context, arguments):
        """Sends the identifiers in one call."""
        if len(arguments) < 2 or arguments[0] not in _RESOLUTIONS:
            raise _commands.UsageError(f'takes {self.arguments}')
        body = {
            'job_ids': arguments[1:],
            'resolution': arguments[0],
            'author': context.flags.author or getpass.getuser(),
        }
        reply = context.client.call('POST', '/v1/jobs/resolve', value=body)
        if not reply.ok:
            return _commands.report_refusal(context.output, reply)
        return _report_outcomes(context, reply)


class List(_commands.QueryCommand):
    """Lists jobs by page."""

    words = ('jobs', 'list')
    summary = 'jobs, by --state and --team; next page with --after'
    path = '/v1/jobs'
    flag_names = ('state', 'team', 'after', 'limit')

    def parameters(self, flags):
        """Returns the filters."""
        return {
            'state': flags.state,
            'team': flags.team,
            'after': flags.after,
            'limit': flags.limit,
        }

    def show(self, output, value, arguments):
        """Prints a table and how to go on."""
        output.table(_JOB_COLUMNS, value['jobs'])
        if value['next_after']:
            output.line(f'more with --after={value["next_after"]}')


COMMANDS = (Submit(), Show(), Why(), List(), Cancel(), Resolve())
