"""Base classes of the commands, and the report of a refusal."""

import abc

from fuchsiatrestle.ctl import _exits

__all__ = ('Command', 'Context', 'UsageError', 'report_refusal')


class UsageError(Exception):
    """The words or flags of the command line do not fit the command."""


class Context:
    """Objects that a command uses.

    Attributes:
        client: the ``AdminClient`` for the entries that ``--entry`` names.
        flags: parsed ``absl.flags.FlagValues``.
        output: the ``Output`` that the command prints to.
    """

    __slots__ = ('client', 'flags', 'output')

    def __init__(self, client, flags, output):
        self.client = client
        self.flags = flags
        self.output = output


class Command(abc.ABC):
    """One command of ``fuchsiatrestle-ctl``.

    Attributes:
        words: the words of the command line that select it.
        arguments: its arguments, as the help shows them.
        summary: one line of help.
        flag_names: names of the flags that it reads besides
            ``_flags.COMMON_FLAGS``.
    """

    words = ()
    arguments = ''
    summary = ''
    flag_names = ()

    @abc.abstractmethod
    def run(self, context, arguments):
        """Carries the command out and prints its result.

        Args:
            context: the ``Context``.
            arguments: list of the words after those that select the command.

        Returns:
            The ``ExitStatus``.

        Raises:
            UsageError: the arguments or flags do not fit the command.
            CallFailed: no entry answered with an outcome.
        """


class QueryCommand(Command):
    """A command that reads one value from an entry and prints it.

    Attributes:
        path: path of the call, unless ``make_path`` is overridden.
    """

    path = ''

    def run(self, context, arguments):
        """Reads the value, prints it and returns the ``ExitStatus``."""
        path = self.make_path(arguments)
        parameters = self.make_parameters(context.flags)
        reply = context.client.call('GET', path, parameters)
        if not reply.ok:
            return report_refusal(context.output, reply)
        context.output.print_json(reply.value)
        self.print_value(context.output, reply.value, arguments)
        return self.get_exit_status(reply.value)

    def make_path(self, arguments):
        """Returns the path of the call; by default refuses any arguments.

        Raises:
            UsageError: the arguments do not fit the command.
        """
        if arguments:
            raise UsageError(f'takes no arguments, got {arguments!r}')
        return self.path

    def make_parameters(self, flags):
        """Returns the query parameters that the flags ask for, by name."""
        return {}

    def get_exit_status(self, json_body):
        """Returns the ``ExitStatus`` for a value that was read."""
        return _exits.ExitStatus.OK

    @abc.abstractmethod
    def print_value(self, output, json_body, arguments):
        """Prints the value as text; prints nothing in JSON mode.

        Args:
            output: the ``Output``.
            json_body: decoded JSON of the answer.
            arguments: list of the words after those that select the command.
        """


def report_refusal(output, reply):
    """Prints why an entry refused a call.

    Args:
        output: the ``Output``.
        reply: the ``Reply`` that carries the refusal.

    Returns:
        The ``ExitStatus``: USAGE for a malformed call, else REFUSED.
    """
    output.print_json(reply.value)
    refusal_text = f'refused by {reply.entry}: {reply.reason or reply.status}'
    if reply.get('field'):
        refusal_text += f' (field {reply.get("field")})'
    if reply.get('detail'):
        refusal_text += f': {reply.get("detail")}'
    output.print_to_stderr(refusal_text)
    if reply.status == 400:
        return _exits.ExitStatus.USAGE
    return _exits.ExitStatus.REFUSED
