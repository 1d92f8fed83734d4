"""Makes replicas known by name before a group exists, and founds it.

The founder, the replica with the lowest name, founds the group once every
other one has said that it belongs to none.  A replica joins at most one
group in its life, so an empty folder can never found a second one beside it.
"""

from fuchsiatrestle import messages

__all__ = ('Founding',)

FRESH_ROUNDS = 3


class Founding:
    """Hellos sent and heard by one replica.

    Attributes:
        names: names of the first members.

    Args:
        cell: name of the cell.
        identity: the replica's own identity.
        name: its name.
        names: names of all first members; a replica that is not one of
            them joins and never founds.
        hello_ms: interval between two hellos.
    """

    def __init__(self, cell, identity, name, names, hello_ms):
        self._cell = cell
        self._identity = identity
        self._name = name
        self.names = frozenset(names)
        self._others = sorted(set(names) - {name})
        self._hello_ms = hello_ms
        self._next_ms = 0
        self._heard = {}

    @property
    def is_founder(self):
        """True for the first member with the lowest name."""
        return self._name in self.names and all(
            self._name < other for other in self._others
        )

    def hello(self, group, joined):
        """Returns the hello that describes this replica."""
        return messages.Hello(self._cell, group, self._identity, joined)

    def due(self, now_ms):
        """Returns the names to greet now, none before the interval."""
        if now_ms < self._next_ms:
            return []
        self._next_ms = now_ms + self._hello_ms
        return self._others

    def note(self, name, message, now_ms):
        """Remembers the newest hello of a first member."""
        if name in self._others:
            self._heard[name] = (message, now_ms)

    def members(self, now_ms):
        """Returns the identities of a new group, none while one lacks."""
        if not self.is_founder:
            return []
        oldest_ms = now_ms - FRESH_ROUNDS * self._hello_ms
        identities = [self._identity]
        for name in self._others:
            message, heard_ms = self._heard.get(name, (None, 0))
            if message is None or heard_ms < oldest_ms:
                return []
            if message.group or message.joined:
                return []
            identities.append(message.sender)
        return identities
