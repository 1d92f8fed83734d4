"""Transport unit of a link."""

from fuchsiatrestle import records

__all__ = ('Frame',)


class Frame(records.Record, tag='F'):
    """Messages that one process sends to another in one go.

    Attributes:
        sender: name of the sending process.
        incarnation: number drawn when the sender started.
        seq: position of the frame on its stream, from 1.
        items: encoded messages, in order.
    """

    sender: str
    incarnation: int
    seq: int
    items: list[bytes]


KINDS = (Frame,)
