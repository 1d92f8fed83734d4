"""Base class of the roles of a replica."""

import abc
import types

from fuchsiatrestle.agreement import _events

__all__ = ('Role',)


class Role(abc.ABC):
    """Handles events and messages in one role.

    By default messages are ignored and requests are rejected with
    ``not_leader``.

    Args:
        replica: the ``Replica`` that has the role.

    Attributes:
        name: ``leader``, ``candidate`` or ``follower``.
        progress_by_identity: ``Progress`` by follower identity; empty but for
            a leader.
        joining_identities: identities that asked to join and may be added;
            empty but for a leader.
        bearable_losses: number of voters that may be lost now; 0 but for a
            leader.
    """

    name = ''
    progress_by_identity = types.MappingProxyType({})
    joining_identities = ()
    bearable_losses = 0

    def __init__(self, replica):
        self._replica = replica

    @property
    def confirmed_until_ms(self):
        """Time before which no other replica can be elected, 0 if unknown.

        Only a leader knows such a time.
        """
        return 0

    @abc.abstractmethod
    def tick(self):
        """Runs the timed work of the role."""

    def check_quorum(self):
        """Steps down as a leader that has lost its quorum.

        Called before each event, so that no event is handled by a leader
        that was replaced while its process did not run.
        """

    def on_writes_durable(self):
        """Handles a report that writes have become durable."""

    def on_vote_granted(self):
        """Handles that this replica has voted for another replica."""

    def stop(self):
        """Ends the role, before another one takes its place."""

    # Messages

    def has_active_leader(self):
        """Returns True if this replica leads or hears a leader.

        Vote requests are then ignored, except those of a leadership transfer.
        """
        return False

    def on_append_request(self, request):
        """Handles an append of the current term."""

    def on_append_reply(self, reply):
        """Handles the reply to an append."""

    def on_install_request(self, request):
        """Handles a snapshot chunk of the current term."""

    def on_install_reply(self, reply):
        """Handles the reply to a snapshot chunk."""

    def on_vote_reply(self, reply):
        """Handles the reply to a vote request."""

    def on_timeout_now(self, message):
        """Handles the leader's request to start an election."""

    def on_hello(self, message):
        """Handles the hello of a replica that is not a member."""

    def on_stop_notice(self, message):
        """Records that another replica is about to stop."""
        self._replica.record_stop(message.identity)

    # Requests of the local process

    def propose(self, proposals):
        """Proposes commands, given as (token, bytes) pairs."""
        for token, _ in proposals:
            self._reject(token, 'not_leader')

    def read(self, token):
        """Requests a linearizable read."""
        self._reject(token, 'not_leader')

    def change_voters(self, event):
        """Requests a membership change."""
        self._reject(event.token, 'not_leader')

    def transfer_leadership(self):
        """Starts a leadership transfer; does nothing unless leading."""

    def prepare_stop(self):
        """Tells the other voters that this replica is about to stop."""
        self._replica.announce_stop()

    def _reject(self, token, reason):
        leader = self._replica.leader_name
        self._replica.emit(_events.RequestRejected(token, reason, leader))
