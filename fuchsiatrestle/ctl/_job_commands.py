"""Commands that submit, show, cancel and resolve batch jobs."""

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


def _parse_deadline_ms(deadline_text):
    """Converts an ISO 8601 time to milliseconds since the epoch.

    Returns:
        The time, 0 for an empty text.

    Raises:
        UsageError: the text is no such time or lacks the offset from UTC.
    """
    if not deadline_text:
        return 0
    try:
        deadline_time = datetime.datetime.fromisoformat(deadline_text)
    except ValueError as exc:
        raise _commands.UsageError(f'--deadline: {exc}') from exc
    if deadline_time.tzinfo is None:
        raise _commands.UsageError('--deadline: give the offset from UTC')
    return int(deadline_time.timestamp() * 1000)


def _make_job_from_flags(job_id, flags):
    """Returns the JSON object of a job that the flags describe."""
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
        'deadline_ms': _parse_deadline_ms(flags.deadline),
        'run_ms': flags.run_ms,
        'command': flags.command,
        'urgent': flags.urgent,
        'data_centre': flags.data_centre,
        'submitted_ms': flags.submitted_ms or int(time.time() * 1000),
    }


def _read_jobs(path):
    """Returns the jobs of a JSON file that holds a list of jobs or one job."""
    try:
        with open(path, encoding='utf-8') as stream:
            jobs = json.load(stream)
    except (OSError, ValueError) as exc:
        raise _commands.UsageError(f'{path}: {exc}') from exc
    return jobs if isinstance(jobs, list) else [jobs]


def _report_outcomes(context, reply):
    """Prints the outcome of each job; returns the ``ExitStatus``."""
    context.output.print_json(reply.value)
    context.output.print_table(_OUTCOME_COLUMNS, reply.value['jobs'])
    if any(job['reason'] for job in reply.value['jobs']):
        return _exits.ExitStatus.REFUSED
    return _exits.ExitStatus.OK


class SubmitJobs(_commands.Command):
    """Submits one job described by flags, or the jobs of a JSON file."""

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
        """Sends the jobs in one call and prints their outcomes.

        For a job described by flags, ``submitted_ms`` is printed before the
        call, so that the same job can be submitted again if the answer is
        lost.
        """
        flags = context.flags
        if bool(flags.file) == bool(arguments) or len(arguments) > 1:
            raise _commands.UsageError('give one job id or --file')
        if flags.file:
            jobs = _read_jobs(flags.file)
        else:
            jobs = [_make_job_from_flags(arguments[0], flags)]
            context.output.print_to_stderr(
                f'submitted_ms={jobs[0]["submitted_ms"]}'
            )
        author = flags.author or getpass.getuser()
        body = {'jobs': jobs, 'author': author}
        reply = context.client.call('POST', '/v1/jobs', value=body)
        if not reply.ok:
            return _commands.report_refusal(context.output, reply)
        return _report_outcomes(context, reply)


class CancelJobs(_commands.Command):
    """Cancels jobs with one agreed command."""

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


class _JobQuery(_commands.QueryCommand):
    """Base of the queries about one job."""

    arguments = 'JOB_ID'

    def make_path(self, arguments):
        """Returns the path of the job that the argument names."""
        if len(arguments) != 1:
            raise _commands.UsageError('takes one job id')
        return '/v1/jobs/' + urllib.parse.quote(arguments[0], safe='')


class ShowJob(_JobQuery):
    """Prints state and history of one job."""

    words = ('jobs', 'show')
    summary = 'state of one job'

    def print_value(self, output, json_body, arguments):
        """Prints the fields of the job, then its history, oldest first."""
        field_names = (key for _, key in _JOB_COLUMNS)
        output.print_fields([(name, json_body[name]) for name in field_names])
        for line in json_body['history']:
            output.print_line(f'  {line}')


class ExplainJob(_JobQuery):
    """Prints why a job is in its state."""

    words = ('jobs', 'why')
    summary = 'why a job stands where it does'

    def make_path(self, arguments):
        """Returns the path of the explanation of the job."""
        return super().make_path(arguments) + '/why'

    def print_value(self, output, json_body, arguments):
        """Prints the state, then its reasons, the most important first."""
        output.print_line(f'{json_body["job_id"]} is {json_body["state"]}')
        for line in json_body['lines']:
            output.print_line(f'  {line}')


class ResolveJobs(_commands.Command):
    """Ends or requeues parked jobs, as the operator states."""

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


class ListJobs(_commands.QueryCommand):
    """Prints one page of the list of jobs."""

    words = ('jobs', 'list')
    summary = 'jobs, by --state and --team; next page with --after'
    path = '/v1/jobs'
    flag_names = ('state', 'team', 'after', 'limit')

    def make_parameters(self, flags):
        """Returns the filters, and start and length of the page."""
        return {
            'state': flags.state,
            'team': flags.team,
            'after': flags.after,
            'limit': flags.limit,
        }

    def print_value(self, output, json_body, arguments):
        """Prints one row for each job, then the flag for the next page."""
        output.print_table(_JOB_COLUMNS, json_body['jobs'])
        if json_body['next_after']:
            output.print_line(f'more with --after={json_body["next_after"]}')


COMMANDS = (
    SubmitJobs(),
    ShowJob(),
    ExplainJob(),
    ListJobs(),
    CancelJobs(),
    ResolveJobs(),
)
