"""Commands that show the system."""

from fuchsiatrestle.ctl import _client
from fuchsiatrestle.ctl import _commands
from fuchsiatrestle.ctl import _exits

__all__ = ('COMMANDS',)


class Status(_commands.QueryCommand):
    """Leader, replicas, version in force and jobs by state."""

    words = ('status',)
    summary = 'leader, replicas, version in force, jobs by state'
    path = '/v1/status'

    def show(self, output, value, arguments):
        """Prints the entry's part and the leader's part."""
        entry = value['entry']
        output.fields([(f'entry.{key}', entry[key]) for key in entry])
        control = value['control']
        rows = [
            (f'control.{key}', control[key])
            for key in control
            if key not in ('jobs', 'in_force', 'entries')
        ]
        if 'in_force' in control:
            spread = f'{control["in_force"]} of {control["entries"]} entries'
            rows.append(('control.in_force', spread))
        jobs = control.get('jobs', {})
        rows += [(f'jobs.{state}', jobs[state]) for state in sorted(jobs)]
        output.fields(rows)

    def verdict(self, value):
        """Says by the exit status whether a leader answered."""
        if 'leader' in value['control']:
            return _exits.ExitStatus.OK
        return _exits.ExitStatus.UNAVAILABLE


class Upstreams(_commands.QueryCommand):
    """Upstreams as the answering entry sees them."""

    words = ('upstreams',)
    summary = 'upstreams as the answering entry sees them'
    path = '/v1/upstreams'

    def show(self, output, value, arguments):
        """Prints a table."""
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
        output.table(columns, value['upstreams'])


class Workers(_commands.QueryCommand):
    """Workers that the leader knows."""

    words = ('workers',)
    summary = 'workers that the leader knows'
    path = '/v1/workers'

    def show(self, output, value, arguments):
        """Prints a table."""
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
        output.table(columns, value['workers'])


class Counters(_commands.QueryCommand):
    """Counters and gauges of the answering entry."""

    words = ('counters',)
    arguments = '[PREFIX]'
    summary = 'counters and gauges of the answering entry'
    path = '/v1/counters'
    process = 'entry'

    def make_path(self, arguments):
        """Takes a prefix; the entry sends all names all the same."""
        if len(arguments) > 1:
            raise _commands.UsageError('takes one prefix at most')
        return self.path

    def show(self, output, value, arguments):
        """Prints the names that start with the prefix."""
        prefix = arguments[0] if arguments else ''
        rows = [(self.process, value[self.process])]
        for group in ('counters', 'gauges'):
            rows += [
                (name, number)
                for name, number in value[group].items()
                if name.startswith(prefix)
            ]
        output.fields(rows)


class ControlCounters(Counters):
    """Counters and gauges of the leading control replica."""

    words = ('control', 'counters')
    summary = 'counters and gauges of the leading control replica'
    path = '/v1/control/counters'
    process = 'replica'


class _Members:
    """Shows the control replicas; shared by the commands about them."""

    COLUMNS = (
        ('NAME', 'name'),
        ('ROLE', 'role'),
        ('ADDRESS', 'address'),
        ('SYNCED', 'match'),
        ('HEARD-MS', 'heard_ms'),
        ('IDENTITY', 'identity'),
    )

    @classmethod
    def print(cls, output, value):
        """Prints leader and table."""
        leader = f'leader {value["leader"]}, term {value["term"]}'
        output.line(f'{leader}, committed {value["commit"]}')
        output.table(cls.COLUMNS, value['members'])


class ShowMembers(_commands.QueryCommand):
    """Shows the control replicas."""

    words = ('members', 'show')
    summary = 'control replicas, how far each is synced'
    path = '/v1/members'

    def show(self, output, value, arguments):
        """Prints a table."""
        _Members.print(output, value)


class _ChangeMember(_commands.Command):
    """Changes the control replicas by one."""

    change = ''

    def make_body(self, arguments):
        """Returns the body of the call."""
        raise NotImplementedError

    def run(self, context, arguments):
        """Sends the change and prints the replicas."""
        body = {'change': self.change, **self.make_body(arguments)}
        reply = context.client.call('POST', '/v1/members', value=body)
        if not reply.ok:
            return _commands.report_refusal(context.output, reply)
        context.output.value(reply.value)
        _Members.print(context.output, reply.value)
        return _exits.ExitStatus.OK


class AddMember(_ChangeMember):
    """Adds a control replica."""

    words = ('members', 'add')
    arguments = 'NAME IP:PORT'
    summary = 'adds a control replica as learner; it votes once caught up'
    change = 'add'

    def make_body(self, arguments):
        """Returns name and address."""
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
        """Returns the name."""
        if len(arguments) != 1:
            raise _commands.UsageError(f'takes {self.arguments}')
        return {'name': arguments[0]}


class Drain(_commands.Command):
    """Starts the graceful stop of one entry."""

    words = ('drain',)
    arguments = 'ENTRY'
    summary = 'stops one entry gracefully, so that its VM can be replaced'

    def run(self, context, arguments):
        """Finds the named entry among the addresses and drains it."""
        if len(arguments) != 1:
            raise _commands.UsageError('takes the name of one entry')
        body = {'entry': arguments[0]}
        for reply in context.client.call_each('POST', '/v1/drain', body):
            if isinstance(reply, _client.CallFailed):
                context.output.advice(f'passed over: {reply}')
            elif reply.ok:
                context.output.value(reply.value)
                context.output.line(f'{arguments[0]} is draining')
                return _exits.ExitStatus.OK
            elif reply.reason != 'other_entry':
                return _commands.report_refusal(context.output, reply)
        context.output.advice(
            f'no address given with --entry is entry {arguments[0]!r}'
        )
        return _exits.ExitStatus.UNAVAILABLE


COMMANDS = (
    Status(),
    Upstreams(),
    Workers(),
    Counters(),
    ControlCounters(),
    Drain(),
    ShowMembers(),
    AddMember(),
    RemoveMember(),
)
