"""Commands that show the system, change its members or stop an entry."""

from fuchsiatrestle.ctl import _client
from fuchsiatrestle.ctl import _commands
from fuchsiatrestle.ctl import _exits

__all__ = ('COMMANDS',)


class ShowStatus(_commands.QueryCommand):
    """Prints the status of the answering entry and of the control leader."""

    words = ('status',)
    summary = 'leader, replicas, version in force, jobs by state'
    path = '/v1/status'

    def print_value(self, output, json_body, arguments):
        """Prints the fields of the entry, then those of the leader."""
        entry_status = json_body['entry']
        output.print_fields(
            [(f'entry.{key}', entry_status[key]) for key in entry_status]
        )
        control_status = json_body['control']
        control_fields = [
            (f'control.{key}', control_status[key])
            for key in control_status
            if key not in ('jobs', 'in_force', 'entries')
        ]
        if 'in_force' in control_status:
            in_force_text = (
                f'{control_status["in_force"]} of '
                f'{control_status["entries"]} entries'
            )
            control_fields.append(('control.in_force', in_force_text))
        job_counts = control_status.get('jobs', {})
        control_fields += [
            (f'jobs.{state}', job_counts[state])
            for state in sorted(job_counts)
        ]
        output.print_fields(control_fields)

    def get_exit_status(self, json_body):
        """Returns OK if a leader answered, else UNAVAILABLE."""
        if 'leader' in json_body['control']:
            return _exits.ExitStatus.OK
        return _exits.ExitStatus.UNAVAILABLE


class ListUpstreams(_commands.QueryCommand):
    """Prints the upstreams that the answering entry knows."""

    words = ('upstreams',)
    summary = 'upstreams as the answering entry sees them'
    path = '/v1/upstreams'

    def print_value(self, output, json_body, arguments):
        """Prints one row for each upstream."""
        columns = (
            ('SERVICE', 'service'),
            ('ADDRESS', 'address'),
            ('DC', 'data_centre'),
            ('STATE', 'state'),
            ('SLOTS', 'slots'),
            ('SHARE', 'share'),
            ('IN-FLIGHT', 'in_flight'),
            ('AGE-MS', 'age_ms'),
        )
        output.print_table(columns, json_body['upstreams'])


class ListWorkers(_commands.QueryCommand):
    """Prints the workers that the leader knows."""

    words = ('workers',)
    summary = 'workers that the leader knows'
    path = '/v1/workers'

    def print_value(self, output, json_body, arguments):
        """Prints one row for each worker."""
        columns = (
            ('WORKER', 'worker'),
            ('DC', 'data_centre'),
            ('RACK', 'rack'),
            ('STATE', 'state'),
            ('ATTEMPTS', 'attempts'),
            ('RESERVED-CPU', 'reserved_cpu_milli'),
            ('CPU', 'capacity_cpu_milli'),
            ('AGE-MS', 'age_ms'),
        )
        output.print_table(columns, json_body['workers'])


class ShowCounters(_commands.QueryCommand):
    """Prints counters and gauges of the answering entry.

    Attributes:
        process_key: key of the answer that holds the name of the process.
    """

    words = ('counters',)
    arguments = '[PREFIX]'
    summary = 'counters and gauges of the answering entry'
    path = '/v1/counters'
    process_key = 'entry'

    def make_path(self, arguments):
        """Returns the path; ``print_value`` applies the prefix."""
        if len(arguments) > 1:
            raise _commands.UsageError('takes one prefix at most')
        return self.path

    def print_value(self, output, json_body, arguments):
        """Prints the counters and gauges whose name starts with the prefix."""
        prefix = arguments[0] if arguments else ''
        fields = [(self.process_key, json_body[self.process_key])]
        for group in ('counters', 'gauges'):
            fields += [
                (metric_name, metric_value)
                for metric_name, metric_value in json_body[group].items()
                if metric_name.startswith(prefix)
            ]
        output.print_fields(fields)


class ShowControlCounters(ShowCounters):
    """Prints counters and gauges of the leading control replica."""

    words = ('control', 'counters')
    summary = 'counters and gauges of the leading control replica'
    path = '/v1/control/counters'
    process_key = 'replica'


class _MembersPrinter:
    """Prints the control replicas for the commands that show or change them.

    Attributes:
        COLUMNS: headings and keys of the table.
    """

    COLUMNS = (
        ('NAME', 'name'),
        ('ROLE', 'role'),
        ('ADDRESS', 'address'),
        ('SYNCED', 'match'),
        ('HEARD-MS', 'heard_ms'),
        ('IDENTITY', 'identity'),
    )

    @classmethod
    def print_members(cls, output, json_body):
        """Prints the leader, then one row for each control replica."""
        leader_text = f'leader {json_body["leader"]}, term {json_body["term"]}'
        output.print_line(f'{leader_text}, committed {json_body["commit"]}')
        losses = json_body['bearable_losses']
        output.print_line(f'voters that may be lost now: {losses}')
        output.print_table(cls.COLUMNS, json_body['members'])


class ShowMembers(_commands.QueryCommand):
    """Prints the control replicas and how far each is synced."""

    words = ('members', 'show')
    summary = 'control replicas, how far each is synced'
    path = '/v1/members'

    def print_value(self, output, json_body, arguments):
        """Prints the leader, then one row for each control replica."""
        _MembersPrinter.print_members(output, json_body)


class _ChangeMember(_commands.Command):
    """Base of the commands that add or remove one control replica.

    Attributes:
        change: ``add`` or ``remove``.
    """

    change = ''

    def make_body(self, arguments):
        """Returns the fields of the JSON body that the arguments set.

        Raises:
            UsageError: the arguments do not fit the command.
        """
        raise NotImplementedError

    def run(self, context, arguments):
        """Sends the change and prints the resulting control replicas."""
        body = {'change': self.change, **self.make_body(arguments)}
        reply = context.client.call('POST', '/v1/members', value=body)
        if not reply.ok:
            return _commands.report_refusal(context.output, reply)
        context.output.print_json(reply.value)
        _MembersPrinter.print_members(context.output, reply.value)
        return _exits.ExitStatus.OK


class AddMember(_ChangeMember):
    """Adds a control replica."""

    words = ('members', 'add')
    arguments = 'NAME IP:PORT'
    summary = 'adds a control replica as learner; it votes once caught up'
    change = 'add'

    def make_body(self, arguments):
        """Returns name and address of the replica."""
        if len(arguments) != 2:
            raise _commands.UsageError(f'takes {self.arguments}')
        return {'name': arguments[0], 'address': arguments[1]}


class RemoveMember(_ChangeMember):
    """Removes a control replica."""

    words = ('members', 'remove')
    arguments = 'NAME'
    summary = 'removes a control replica for good'
    change = 'remove'

    def make_body(self, arguments):
        """Returns the name of the replica."""
        if len(arguments) != 1:
            raise _commands.UsageError(f'takes {self.arguments}')
        return {'name': arguments[0]}


class DrainEntry(_commands.Command):
    """Starts the graceful stop of one entry."""

    words = ('drain',)
    arguments = 'ENTRY'
    summary = 'stops one entry gracefully, so that its VM can be replaced'

    def run(self, context, arguments):
        """Sends the call to each address until the named entry accepts it.

        The other entries refuse the call.
        """
        if len(arguments) != 1:
            raise _commands.UsageError('takes the name of one entry')
        body = {'entry': arguments[0]}
        for reply in context.client.call_each('POST', '/v1/drain', body):
            if isinstance(reply, _client.CallFailed):
                context.output.print_to_stderr(f'passed over: {reply}')
            elif reply.ok:
                context.output.print_json(reply.value)
                context.output.print_line(f'{arguments[0]} is draining')
                return _exits.ExitStatus.OK
            elif reply.reason != 'other_entry':
                return _commands.report_refusal(context.output, reply)
        context.output.print_to_stderr(
            f'no address given with --entry is entry {arguments[0]!r}'
        )
        return _exits.ExitStatus.UNAVAILABLE


COMMANDS = (
    ShowStatus(),
    ListUpstreams(),
    ListWorkers(),
    ShowCounters(),
    ShowControlCounters(),
    DrainEntry(),
    ShowMembers(),
    AddMember(),
    RemoveMember(),
)
