"""Commands that show, start and end the evacuation of data centres."""

import urllib.parse

from fuchsiatrestle.ctl import _commands
from fuchsiatrestle.ctl import _exits

__all__ = ('COMMANDS',)


class ShowEvacuations(_commands.QueryCommand):
    """Prints the data centres and which of them are evacuated."""

    words = ('evacuations', 'show')
    summary = 'data centres, and which of them are evacuated'
    path = '/v1/evacuations'

    def print_value(self, output, json_body, arguments):
        """Prints one row for each data centre."""
        if not json_body['offered']:
            output.print_line(
                'evacuations are not offered: evacuation_ms is 0'
            )
        columns = (
            ('DC', 'data_centre'),
            ('EVACUATED', 'evacuated'),
            ('ORDERS', 'order_count'),
        )
        output.print_table(columns, json_body['evacuations'])


class _OrderEvacuation(_commands.Command):
    """Base of the commands that start or end an evacuation.

    Attributes:
        action: ``start`` or ``end``.
    """

    arguments = 'DATA_CENTRE'
    action = ''

    def run(self, context, arguments):
        """Sends the order and prints the state of the data centre."""
        if len(arguments) != 1:
            raise _commands.UsageError(f'takes {self.arguments}')
        name = urllib.parse.quote(arguments[0], safe='')
        reply = context.client.call(
            'POST', f'/v1/evacuations/{name}/{self.action}'
        )
        if not reply.ok:
            return _commands.report_refusal(context.output, reply)
        context.output.print_json(reply.value)
        state = 'evacuated' if reply.value['evacuated'] else 'in use'
        context.output.print_line(f'{arguments[0]} is {state}')
        return _exits.ExitStatus.OK


class StartEvacuation(_OrderEvacuation):
    """Prevents further starts on the workers of a data centre."""

    words = ('evacuations', 'start')
    summary = 'starts nothing more on the workers of a data centre'
    action = 'start'


class EndEvacuation(_OrderEvacuation):
    """Lets tasks return to a data centre."""

    words = ('evacuations', 'end')
    summary = 'lets tasks return to a data centre'
    action = 'end'


COMMANDS = (ShowEvacuations(), StartEvacuation(), EndEvacuation())
