"""All streams of a link: the listener, the dialled peers, who is up.

Everything here runs in the asyncio thread.
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

CLOSE_GRACE_S = 0.02
DIAL_TIMEOUT_S = 0.5
FIRST_FRAME_TIMEOUT_S = 1.2
REDIAL_MIN_S = 0.05
REDIAL_MAX_S = 0.5
# A stream that lived this long resets the back-off.
SOUND_STREAM_S = 1.0

LINK_REDIALLED = metrics.declare(
    'retry.link_redial', 'A stream to a peer broke and was dialled again.'
)
LINK_MALFORMED = metrics.declare(
    'refused.link_malformed', 'Messages from a peer that failed to decode.'
)
LINK_MISNAMED = metrics.declare(
    'refused.link_misnamed', 'Streams whose name is not the certified one.'
)

LOG = logs.get_logger(__name__)

_BROKEN = (
    OSError,
    asyncio.TimeoutError,
    exceptions.GRPCError,
    exceptions.ProtocolError,
    exceptions.StreamTerminatedError,
    records.DecodeError,
)


class PeerStreams:
    """Accepts and dials streams and keeps the newest one of each peer.

    Args:
        name: name of this process.
        incarnation: its incarnation.
        tls_files: ``tls.TlsFiles`` or None.
        report: called with a list of link events.
    """

    def __init__(self, name, incarnation, tls_files, report):
        self._name = name
        self._incarnation = incarnation
        self._tls = tls_files
        self._report = report
        self._outboxes = {}
        self._dial_tasks = {}
        self._addresses = {}
        self._server = None
        self._closing = asyncio.Event()

    def __mapping__(self):
        return {_stream.METHOD_PATH: _stream.stream_handler(self._accept)}

    # Calls of the link

    async def listen(self, address):
        """Accepts streams on an address.

        Raises:
            OSError: the address can not be bound.
        """
        self._server = server.Server([self], codec=_stream.RecordCodec())
        context = self._tls.server_context() if self._tls else None
        await self._server.start(address.host, address.port, ssl=context)

    async def close(self):
        """Ends all streams cleanly, so that peers learn of it at once."""
        self._closing.set()
        await asyncio.sleep(CLOSE_GRACE_S)
        for task in self._dial_tasks.values():
            task.cancel()
        if self._server is not None:
            self._server.close()

    def send(self, peer, data):
        """Sends an encoded message; drops it if the peer is away."""
        outbox = self._outboxes.get(peer)
        if outbox is None:
            metrics.count(_link_exchange.LINK_DROPPED)
        else:
            outbox.put(data)

    def dial(self, peer, address):
        """Keeps a stream to a peer from now on, at its newest address."""
        if self._addresses.get(peer) == address:
            return
        self.hang_up(peer)
        self._addresses[peer] = address
        self._dial_tasks[peer] = asyncio.ensure_future(
            self._keep_dialled(peer, address)
        )

    def hang_up(self, peer):
        """Ends the dialled stream to a peer and stops dialling it."""
        self._addresses.pop(peer, None)
        task = self._dial_tasks.pop(peer, None)
        if task is not None:
            task.cancel()

    # Dialled streams

    async def _keep_dialled(self, peer, address):
        delay_s = REDIAL_MIN_S
        while True:
            while peer in self._outboxes:
                await self._outboxes[peer].closed.wait()
            started_s = _link_exchange.loop_time_s()
            try:
                await self._dial(peer, address)
            except _BROKEN as exc:
                LOG.debug(
                    'link_broken', extra={'peer': peer, 'error': repr(exc)}
                )
            metrics.count(LINK_REDIALLED)
            lived_s = _link_exchange.loop_time_s() - started_s
            if lived_s > SOUND_STREAM_S:
                delay_s = REDIAL_MIN_S
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, REDIAL_MAX_S)

    def _channel(self, peer, address):
        context = self._tls.client_context() if self._tls else None
        cfg = grpc_config.Configuration(ssl_target_name_override=peer)
        return client.Channel(
            address.host,
            address.port,
            codec=_stream.RecordCodec(),
            ssl=context,
            config=cfg if context else None,
        )

    async def _dial(self, peer, address):
        channel = self._channel(peer, address)
        try:
            stream = channel.request(
                _stream.METHOD_PATH,
                _stream.stream_handler(None).cardinality,
                messages.Frame,
                messages.Frame,
            )
            async with stream:
                await asyncio.wait_for(stream.send_request(), DIAL_TIMEOUT_S)
                await self._exchange(stream, peer)
                if self._closing.is_set():
                    await stream.cancel()
        finally:
            channel.close()

    # Accepted streams

    async def _accept(self, stream):
        try:
            first = await asyncio.wait_for(
                stream.recv_message(), FIRST_FRAME_TIMEOUT_S
            )
            if first is not None and self._is_certified(stream, first):
                self._deliver(first)
                await self._exchange(stream, first.sender)
        except _BROKEN as exc:
            LOG.debug('link_broken', extra={'error': repr(exc)})

    def _is_certified(self, stream, frame):
        if self._tls is None:
            return True
        names = tls.certified_names(stream.peer.cert())
        if frame.sender in names:
            return True
        metrics.count(LINK_MISNAMED)
        LOG.warning(
            'link_misnamed',
            extra={'peer': frame.sender, 'certified': sorted(names)},
        )
        return False

    # Both

    async def _exchange(self, stream, peer):
        outbox = _link_exchange.Outbox(_link_exchange.loop_time_s())
        exchange = _link_exchange.Exchange(
            self._name,
            self._incarnation,
            stream,
            outbox,
            self._deliver,
            self._closing,
        )
        self._outboxes[peer] = outbox
        self._report([_link_events.PeerUp(peer)])
        try:
            await exchange.run()
        finally:
            # Nothing is awaited before the peer is reported down: grpclib
            # may cancel this task more than once.
            self._forget(peer, outbox)
            await exchange.end()

    def _forget(self, peer, outbox):
        outbox.closed.set()
        if self._outboxes.get(peer) is outbox:
            del self._outboxes[peer]
            self._report([_link_events.PeerDown(peer)])

    def _deliver(self, frame):
        inbound = []
        for data in frame.items:
            try:
                message = messages.CODEC.decode(data)
            except records.DecodeError as exc:
                metrics.count(LINK_MALFORMED)
                LOG.warning(
                    'link_malformed',
                    extra={'peer': frame.sender, 'error': str(exc)},
                )
                continue
            inbound.append(
                _link_events.Inbound(frame.sender, frame.incarnation, message)
            )
        if inbound:
            self._report(inbound)
