"""Events and effects of the configuration lease holder and granter."""

from fuchsiatrestle import core

__all__ = (
    'ConfigInForce',
    'LeaseLost',
    'LeaderReady',
    'MessageReceived',
    'ReleaseLease',
    'SendToPeer',
    'Tick',
    'VersionAgreed',
)


# Events


class Tick(core.Value):
    """Time has passed; the entry steps its holder with this periodically.

    Renewals and timeouts are late by at most the time between two ticks.
    """

    __slots__ = ()


class MessageReceived(core.Value):
    """A message has arrived.

    Attributes:
        sender: name of the link peer that sent it.
        message: a record of ``messages``.
    """

    __slots__ = ('sender', 'message')


class ReleaseLease(core.Value):
    """The entry has stopped serving and gives up its lease."""

    __slots__ = ()


class LeaderReady(core.Value):
    """This control replica leads and the no-op of its term is committed.

    The no-op is the log entry with which a leader starts its term.

    Attributes:
        term: the term that this replica leads.
    """

    __slots__ = ('term',)


class VersionAgreed(core.Value):
    """The replicated state machine has applied a configuration version.

    Attributes:
        version: number of the version.
        document: its JSON, as canonical bytes.
        addresses: address (``IP:port``) of each entry that may serve, by name.
        patch: the JSON merge patch that led from the version before to this
            one, empty if it is not known.
    """

    __slots__ = ('version', 'document', 'addresses', 'patch')


# Effects


class SendToPeer(core.Value):
    """A message is to be sent; it may be lost on the way.

    Attributes:
        peer: name of the link peer to send it to.
        message: a record of ``messages``.
    """

    __slots__ = ('peer', 'message')


class ConfigInForce(core.Value):
    """The entry has brought a newer configuration version into force.

    Attributes:
        version: number of the version.
        document: its JSON, as bytes.
    """

    __slots__ = ('version', 'document')


class LeaseLost(core.Value):
    """The lease has ended.

    The entry must refuse requests and tell their callers that these were not
    run.

    Attributes:
        reason: ``released``, or ``expired`` for every other end, such as that
            the entry is no longer admitted.
    """

    __slots__ = ('reason',)
