"""The unit in which a link sends messages."""

from fuchsiatrestle import records

__all__ = ('Frame',)


class Frame(records.Record, tag='F'):
    """One or several messages that a process sends to another together.

    Attributes:
        sender: name of the sending process.
        incarnation: number drawn when the sender started.
        seq: number of the frame on its stream, from 1.
        items: encoded messages, in the order of sending.
    """

    sender: str
    incarnation: int
    seq: int
    items: list[bytes]


RECORD_CLASSES = (Frame,)
