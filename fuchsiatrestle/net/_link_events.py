"""What a link gives to the task that receives from it."""

__all__ = ('Inbound', 'PeerDown', 'PeerUp')


class Inbound:
    """A message received from a peer."""

    __slots__ = ('incarnation', 'message', 'peer')

    def __init__(self, peer, incarnation, message):
        self.peer = peer
        self.incarnation = incarnation
        self.message = message


class PeerUp:
    """A stream to or from a peer was opened."""

    __slots__ = ('peer',)

    def __init__(self, peer):
        self.peer = peer


class PeerDown:
    """The last stream to or from a peer has ended."""

    __slots__ = ('peer',)

    def __init__(self, peer):
        self.peer = peer
