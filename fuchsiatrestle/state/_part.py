"""Abstract base class of the parts of the agreed state.

The agreed state is what the commands in the replicated log have produced.  It
is divided by subject into parts, such as claims and jobs.
"""

import abc

__all__ = ('Part',)


class Part(abc.ABC):
    """Part of the agreed state, with its own commands and queries.

    The content of a part is a function of the commands applied to it: it reads
    no clock, no file and no random source.

    Attributes:
        name: key of the part in snapshots; it never changes.
        command_kinds: record classes of the commands it handles.
        query_kinds: record classes of the queries it answers.
    """

    name = ''
    command_kinds = ()
    query_kinds = ()

    @abc.abstractmethod
    def apply(self, index, command):
        """Applies one command.

        Args:
            index: its position in the log.
            command: a record of one of ``command_kinds``.

        Returns:
            A record of ``outcomes.CODEC``.
        """

    @abc.abstractmethod
    def query(self, query):
        """Answers one query.

        Args:
            query: a record of one of ``query_kinds``.

        Returns:
            A record of ``queries.CODEC``.
        """

    @abc.abstractmethod
    def snapshot(self):
        """Returns the whole part as bytes."""

    @abc.abstractmethod
    def restore(self, data):
        """Replaces the whole part by what ``snapshot`` returned."""
