"""Base of the roles a replica plays."""

import abc
import types

from fuchsiatrestle.agreement import _events

__all__ = ('Role',)


class Role(abc.ABC):
    """What a replica does in one role; the defaults ignore or refuse.

    Args:
        replica: the ``Replica`` that plays the role.

    Attributes:
        progress: ``Progress`` of the followers by identity, of a leader only.
        newcomers: identities that a leader may add.
    """

    name = ''
    progress = types.MappingProxyType({})
    newcomers = ()

    def __init__(self, replica):
        self._replica = replica

    @abc.abstractmethod
    def tick(self):
        """Acts on the time that has passed."""

    def check_time(self):
        """Gives up what has expired, before any event is handled."""

    def settled(self):
        """Acts on writes that have become durable."""

    def postpone_election(self):
        """Waits another election timeout, after granting a vote."""

    def stop(self):
        """Ends the role."""

    # Messages

    def hears_leader(self):
        """Returns True while other candidates are to be refused."""
        return False

    def on_append(self, request):
        """Handles an append of the current term."""

    def on_append_reply(self, reply):
        """Handles the reply to an append."""

    def on_install(self, request):
        """Handles a chunk of a snapshot."""

    def on_install_reply(self, reply):
        """Handles the reply to a chunk."""

    def on_vote_reply(self, reply):
        """Handles a vote of the current term."""

    def on_timeout_now(self, message):
        """Handles the leader's order to stand for election."""

    def on_hello(self, message):
        """Handles the hello of another replica."""

    # Requests of the process itself

    def propose(self, items):
        """Proposes commands."""
        for token, _ in items:
            self._refuse(token, 'not_leader')

    def read(self, token):
        """Asks for a linearizable read."""
        self._refuse(token, 'not_leader')

    def change_voters(self, event):
        """Changes the set of voters by one member."""
        self._refuse(event.token, 'not_leader')

    def hand_over(self):
        """Gives leadership away."""

    def _refuse(self, token, reason):
        leader = self._replica.leader_name
        self._replica.emit(_events.Rejected(token, reason, leader))
