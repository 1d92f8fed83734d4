"""The one gRPC method of a link: a bidirectional stream of frames."""

import grpclib.const
import grpclib.encoding.base

from fuchsiatrestle import messages

__all__ = (
    'METHOD_PATH',
    'RecordCodec',
    'stream_handler',
)

METHOD_PATH = '/fuchsiatrestle.Link/Exchange'


class RecordCodec(grpclib.encoding.base.CodecBase):
    """Lets grpclib carry records as MessagePack."""

    __content_subtype__ = 'msgpack'

    def encode(self, message, message_type):
        """Returns the bytes of a frame."""
        return messages.CODEC.encode(message)

    def decode(self, data, message_type):
        """Returns the frame held by ``data``."""
        return messages.CODEC.decode(data)


def stream_handler(func):
    """Returns the grpclib handler that serves ``METHOD_PATH`` with func."""
    return grpclib.const.Handler(
        func,
        grpclib.const.Cardinality.STREAM_STREAM,
        messages.Frame,
        messages.Frame,
    )
