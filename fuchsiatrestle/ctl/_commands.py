"""Base of the commands and what they share."""

import abc

from fuchsiatrestle.ctl import _exits

__all__ = ('Command', 'Context', 'UsageError', 'report_refusal')


class UsageError(Exception):
    """The command line does not fit the command."""


class Context:
    """What a command works with.

    Attributes:
        client: the ``AdminClient``.
        flags: parsed ``absl.flags`` values.
        output: the ``Output``.
    """

    __slots__ = ('client', 'flags', 'output')

    def __init__(self, client, flags, output):
        self.client = client
        self.flags = flags
        self.output = output


class Command(abc.ABC):
    """One command of ``fuchsiatrestle-ctl``.

    Attributes:
        words: the words that select it.
        arguments: its arguments, as shown in the help.
        summary: one line of help.
        flag_names: flags it reads besides the common ones.
    """

    words = ()
    arguments = ''
    summary = ''
    flag_names = ()

    @abc.abstractmethod
    def run(self, context, arguments):
        """Carries the command out.

        Args:
            context: the ``Context``.
            arguments: list of words after the command.

        Returns:
            The ``ExitStatus``.

        Raises:
            UsageError: the arguments do not fit.
        """


class QueryCommand(Command):
    """A command that reads one value and shows it."""

    path = ''

    def run(self, context, arguments):
        """Fetches and shows the value."""
        path = self.make_path(arguments)
        parameters = self.parameters(context.flags)
        reply = context.client.call('GET', path, parameters)
        if not reply.ok:
            return report_refusal(context.output, reply)
        context.output.value(reply.value)
        self.show(context.output, reply.value, arguments)
        return self.verdict(reply.value)

    def make_path(self, arguments):
        """Returns the path to call; refuses arguments by default."""
        if arguments:
            raise UsageError(f'takes no arguments, got {arguments!r}')
        return self.path

    def parameters(self, flags):
        """Returns the query parameters."""
        return {}

    def verdict(self, value):
        """Returns the exit status for a value that was read."""
        return _exits.ExitStatus.OK

    @abc.abstractmethod
    def show(self, output, value, arguments):
        """Prints the value for people."""


def report_refusal(output, reply):
    """Prints why an entry refused a call; returns the exit status."""
    output.value(reply.value)
    text = f'refused by {reply.entry}: {reply.reason or reply.status}'
    if reply.get('field'):
        text += f' (field {reply.get("field")})'
    if reply.get('detail'):
        text += f': {reply.get("detail")}'
    output.advice(text)
    if reply.status == 400:
        return _exits.ExitStatus.USAGE
    return _exits.ExitStatus.REFUSED
