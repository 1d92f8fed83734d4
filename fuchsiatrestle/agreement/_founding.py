"""Founding of the agreement group by its initial members.

Replicas that are not members send hellos to all initial members.  The initial
member with the lowest name founds the group once the last hello of every other
initial member arrived within ``HELLO_VALID_INTERVALS`` and says that its
sender belongs to no group.  A replica joins at most one group in its life, so
a founder that lost its disk hears from the others that they belong to a group
and can not found a second one.
"""

from fuchsiatrestle import messages

__all__ = ('Founding',)

# A hello counts for this many intervals between hellos, so that the loss of
# one hello does no harm.
HELLO_VALID_INTERVALS = 3


class Founding:
    """Tracks the hellos of one replica and decides when to found a group.

    Args:
        cell: name of the cell.
        identity: identity of this replica.
        name: process name of this replica.
        initial_names: process names of all initial members; a replica that is
            not one of them joins an existing group and never founds one.
        hello_ms: interval between two hellos, in milliseconds.
        may_found: False for a replica that came after the group was founded.

    Attributes:
        initial_names: process names of the initial members.
    """

    def __init__(
        self, cell, identity, name, initial_names, hello_ms, may_found=True
    ):
        self._cell = cell
        self._identity = identity
        self._name = name
        self.set_initial_names(initial_names)
        self._hello_ms = hello_ms
        self._may_found = may_found
        self._next_hello_ms = 0
        # Newest hello and the time of its arrival, by process name.
        self._last_hello_by_name = {}

    def set_initial_names(self, initial_names):
        """Replaces the process names of the initial members."""
        self.initial_names = frozenset(initial_names)
        self._other_initial_names = sorted(self.initial_names - {self._name})

    @property
    def is_founder(self):
        """True for the initial member with the lowest name."""
        return (
            self._may_found
            and self._name in self.initial_names
            and all(self._name < other for other in self._other_initial_names)
        )

    def build_hello(self, group, joined):
        """Returns the ``Hello`` of this replica.

        Args:
            group: agreement group joined, empty for none.
            joined: True if this replica holds the group's voter set.
        """
        return messages.Hello(
            self._cell, group, self._identity, joined, self._may_found
        )

    def take_hello_receivers(self, now_ms, known_names=()):
        """Returns the process names to send a hello to now.

        These are the other initial members and the given replicas.  The list
        is empty until ``hello_ms`` have passed since the last call that
        returned names.

        Args:
            now_ms: monotonic time, in milliseconds.
            known_names: process names of the replicas known to belong to the
                group.
        """
        if now_ms < self._next_hello_ms:
            return []
        self._next_hello_ms = now_ms + self._hello_ms
        return sorted(
            {*self._other_initial_names, *known_names} - {self._name}
        )

    def record_hello(self, name, message, now_ms):
        """Records a ``Hello`` as the newest one of its sender.

        Ignored unless the sender is another initial member.
        """
        if name in self._other_initial_names:
            self._last_hello_by_name[name] = (message, now_ms)

    def find_founding_members(self, now_ms):
        """Returns the identities with which to found the group now.

        Returns:
            Those of all initial members, the founder's first.  The list is
            empty on any other replica than the founder, and while a member
            has sent no hello within ``HELLO_VALID_INTERVALS`` or belongs to a
            group.
        """
        if not self.is_founder:
            return []
        oldest_valid_arrival_ms = (
            now_ms - HELLO_VALID_INTERVALS * self._hello_ms
        )
        identities = [self._identity]
        for name in self._other_initial_names:
            message, arrived_ms = self._last_hello_by_name.get(name, (None, 0))
            if message is None or arrived_ms < oldest_valid_arrival_ms:
                return []
            if message.group or message.joined:
                return []
            identities.append(message.sender)
        return identities
