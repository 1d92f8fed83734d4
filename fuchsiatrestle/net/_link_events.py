"""The events that ``Link.receive`` returns."""

__all__ = ('PeerDown', 'PeerUp', 'ReceivedMessage')


class ReceivedMessage:
    """A message from a peer.

    Attributes:
        peer: name of the process that sent it.
        incarnation: number that the peer drew when it started.
        message: the decoded message.
    """

    __slots__ = ('incarnation', 'message', 'peer')

    def __init__(self, peer, incarnation, message):
        self.peer = peer
        self.incarnation = incarnation
        self.message = message


class PeerUp:
    """A stream to or from a peer was opened.

    Attributes:
        peer: name of the peer.
    """

    __slots__ = ('peer',)

    def __init__(self, peer):
        self.peer = peer


class PeerDown:
    """The newest stream to or from a peer has ended.

    Attributes:
        peer: name of the peer.
    """

    __slots__ = ('peer',)

    def __init__(self, peer):
        self.peer = peer
