"""The only gRPC method of a link: a bidirectional stream of frames."""

import grpclib.const
import grpclib.encoding.base

from fuchsiatrestle import messages

__all__ = (
    'METHOD_PATH',
    'RecordCodec',
    'make_stream_handler',
)

METHOD_PATH = '/fuchsiatrestle.Link/Exchange'


class RecordCodec(grpclib.encoding.base.CodecBase):
    """Encodes records as MessagePack for grpclib."""

    __content_subtype__ = 'msgpack'

    def encode(self, message, message_type):
        """Returns the encoding of a frame; the type is not used."""
        return messages.CODEC.encode(message)

    def decode(self, data, message_type):
        """Returns the frame that ``data`` encodes; the type is not used.

        Raises:
            records.DecodeError: the data is not a valid record.
        """
        return messages.CODEC.decode(data)


def make_stream_handler(func):
    """Returns the grpclib handler that serves ``METHOD_PATH`` with ``func``.

    Args:
        func: coroutine function that is called with each accepted stream;
            None to describe the method for a client.
    """
    return grpclib.const.Handler(
        func,
        grpclib.const.Cardinality.STREAM_STREAM,
        messages.Frame,
        messages.Frame,
    )
