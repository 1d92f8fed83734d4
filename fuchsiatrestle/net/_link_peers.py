"""All streams of a link: accepts and dials them, and reports peers up or down.

All code of this module runs in the asyncio thread.
"""

import asyncio

from grpclib import client
from grpclib import config as grpc_config
from grpclib import exceptions
from grpclib import server

from fuchsiatrestle import logs
from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle.net import _link_events
from fuchsiatrestle.net import _link_exchange
from fuchsiatrestle.net import _stream
from fuchsiatrestle.net import tls
from fuchsiatrestle import records

__all__ = ('PeerStreams',)

# Time for all streams to end cleanly before their connections are closed.
CLOSE_GRACE_S = 0.02
DIAL_TIMEOUT_S = 0.5
FIRST_FRAME_TIMEOUT_S = 1.2
REDIAL_MIN_S = 0.05
REDIAL_MAX_S = 0.5
# A stream that lasted longer than this resets the delay before redialling.
STABLE_STREAM_S = 1.0

REDIALLED_STREAMS = metrics.declare(
    'retry.link_redial', 'A stream to a peer broke and was dialled again.'
)
MALFORMED_MESSAGES = metrics.declare(
    'refused.link_malformed', 'Messages from a peer that failed to decode.'
)
MISNAMED_STREAMS = metrics.declare(
    'refused.link_misnamed', 'Streams whose name is not the certified one.'
)

LOG = logs.get_logger(__name__)

_STREAM_ERRORS = (
    OSError,
    asyncio.TimeoutError,
    exceptions.GRPCError,
    exceptions.ProtocolError,
    exceptions.StreamTerminatedError,
    records.DecodeError,
)


class PeerStreams:
    """Accepts and dials streams and sends on the newest one of each peer.

    Args:
        name: name of this process.
        incarnation: number drawn when this process started.
        tls_files: ``tls.TlsFiles``; None for plain TCP.
        report_events: function called with a list of link events.
    """

    def __init__(self, name, incarnation, tls_files, report_events):
        self._name = name
        self._incarnation = incarnation
        self._tls_files = tls_files
        self._report_events = report_events
        self._outbox_by_peer = {}
        self._dial_task_by_peer = {}
        self._dialled_address_by_peer = {}
        self._server = None
        self._closing_event = asyncio.Event()

    def __mapping__(self):
        """Returns the gRPC methods that grpclib serves with this object."""
        return {
            _stream.METHOD_PATH: _stream.make_stream_handler(
                self._run_accepted_stream
            )
        }

    # Methods that ``Link`` schedules in the asyncio thread

    async def listen(self, address):
        """Starts to accept streams on a ``settings.Address``.

        Raises:
            OSError: the address can not be bound.
        """
        self._server = server.Server([self], codec=_stream.RecordCodec())
        context = self._tls_files.server_context() if self._tls_files else None
        await self._server.start(address.host, address.port, ssl=context)

    async def close(self):
        """Ends all streams cleanly, so that peers detect the end at once."""
        self._closing_event.set()
        await asyncio.sleep(CLOSE_GRACE_S)
        for task in self._dial_task_by_peer.values():
            task.cancel()
        if self._server is not None:
            self._server.close()

    def send(self, peer, encoded_message):
        """Queues an encoded message for the newest stream to a peer.

        The message is dropped and counted if the peer has no stream.
        """
        outbox = self._outbox_by_peer.get(peer)
        if outbox is None:
            metrics.count(_link_exchange.DROPPED_MESSAGES)
        else:
            outbox.put(encoded_message)

    def dial(self, peer, address):
        """Keeps a stream to a peer open, redialling it whenever it ends.

        A stream dialled to an earlier address of the peer is ended.
        """
        if self._dialled_address_by_peer.get(peer) == address:
            return
        self.stop_dialling(peer)
        self._dialled_address_by_peer[peer] = address
        self._dial_task_by_peer[peer] = asyncio.ensure_future(
            self._redial_forever(peer, address)
        )

    def stop_dialling(self, peer):
        """Ends the dialled stream to a peer and does not redial it."""
        self._dialled_address_by_peer.pop(peer, None)
        task = self._dial_task_by_peer.pop(peer, None)
        if task is not None:
            task.cancel()

    # Dialled streams

    async def _redial_forever(self, peer, address):
        """Dials a peer while it has no stream, with exponential delays."""
        delay_s = REDIAL_MIN_S
        while True:
            while peer in self._outbox_by_peer:
                await self._outbox_by_peer[peer].closed_event.wait()
            dial_started_s = _link_exchange.loop_time_s()
            try:
                await self._run_dialled_stream(peer, address)
            except _STREAM_ERRORS as exc:
                LOG.debug(
                    'link_broken', extra={'peer': peer, 'error': repr(exc)}
                )
            metrics.count(REDIALLED_STREAMS)
            attempt_duration_s = _link_exchange.loop_time_s() - dial_started_s
            if attempt_duration_s > STABLE_STREAM_S:
                delay_s = REDIAL_MIN_S
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, REDIAL_MAX_S)

    def _make_channel(self, peer, address):
        context = self._tls_files.client_context() if self._tls_files else None
        channel_config = grpc_config.Configuration(
            ssl_target_name_override=peer
        )
        return client.Channel(
            address.host,
            address.port,
            codec=_stream.RecordCodec(),
            ssl=context,
            config=channel_config if context else None,
        )

    async def _run_dialled_stream(self, peer, address):
        channel = self._make_channel(peer, address)
        try:
            stream = channel.request(
                _stream.METHOD_PATH,
                _stream.make_stream_handler(None).cardinality,
                messages.Frame,
                messages.Frame,
            )
            async with stream:
                await asyncio.wait_for(stream.send_request(), DIAL_TIMEOUT_S)
                await self._run_exchange(stream, peer)
                if self._closing_event.is_set():
                    await stream.cancel()
        finally:
            channel.close()

    # Accepted streams

    async def _run_accepted_stream(self, stream):
        """Serves a stream after checking the sender of its first frame."""
        try:
            first_frame = await asyncio.wait_for(
                stream.recv_message(), FIRST_FRAME_TIMEOUT_S
            )
            if first_frame is not None and self._is_sender_certified(
                stream, first_frame
            ):
                self._deliver_frame(first_frame)
                await self._run_exchange(stream, first_frame.sender)
        except _STREAM_ERRORS as exc:
            LOG.debug('link_broken', extra={'error': repr(exc)})

    def _is_sender_certified(self, stream, frame):
        """Returns True if the certificate of the peer names the sender."""
        if self._tls_files is None:
            return True
        certified_names = tls.certified_names(stream.peer.cert())
        if frame.sender in certified_names:
            return True
        metrics.count(MISNAMED_STREAMS)
        LOG.warning(
            'link_misnamed',
            extra={'peer': frame.sender, 'certified': sorted(certified_names)},
        )
        return False

    # Dialled and accepted streams

    async def _run_exchange(self, stream, peer):
        """Exchanges frames on a stream and reports its peer up and down."""
        outbox = _link_exchange.Outbox(_link_exchange.loop_time_s())
        exchange = _link_exchange.Exchange(
            self._name,
            self._incarnation,
            stream,
            outbox,
            self._deliver_frame,
            self._closing_event,
        )
        self._outbox_by_peer[peer] = outbox
        self._report_events([_link_events.PeerUp(peer)])
        try:
            await exchange.run()
        finally:
            # The peer is reported down before anything is awaited, because
            # grpclib may cancel this task again during an await.
            self._remove_outbox(peer, outbox)
            await exchange.cancel_tasks()

    def _remove_outbox(self, peer, outbox):
        outbox.closed_event.set()
        if self._outbox_by_peer.get(peer) is outbox:
            del self._outbox_by_peer[peer]
            self._report_events([_link_events.PeerDown(peer)])

    def _deliver_frame(self, frame):
        """Reports the messages of a frame; drops and counts malformed ones."""
        received_messages = []
        for encoded_message in frame.items:
            try:
                message = messages.CODEC.decode(encoded_message)
            except records.DecodeError as exc:
                metrics.count(MALFORMED_MESSAGES)
                LOG.warning(
                    'link_malformed',
                    extra={'peer': frame.sender, 'error': str(exc)},
                )
                continue
            received_messages.append(
                _link_events.ReceivedMessage(
                    frame.sender, frame.incarnation, message
                )
            )
        if received_messages:
            self._report_events(received_messages)
