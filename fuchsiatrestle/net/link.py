"""Link: typed messages between the system's own processes.

A link names its process, listens on one address and keeps a stream to every
peer it was told to connect to.  ``send`` never blocks: a message for a peer
that is away is dropped and counted, since every protocol above repeats what
matters.  Messages to one peer keep their order on a stream; a stream that
breaks, or on which nothing was heard for ``SILENCE_LIMIT_S``, is dialled
again with back-off.  A peer that already dialled this process is not dialled
back.  All messages waiting for a peer leave in one frame.

Use from curio::

    link = Link('e1', incarnation=7, listen=address)
    await link.start()
    link.connect('c1', address_of_c1)
    link.send('c1', message)
    inbound = await link.receive()
"""

import asyncio
import collections

import curio
from grpclib import client
from grpclib import config as grpc_config
from grpclib import exceptions
from grpclib import server

from fuchsiatrestle import errors
from fuchsiatrestle import logs
from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle.net import _grpc_thread
from fuchsiatrestle.net import _stream
from fuchsiatrestle.net import tls
from fuchsiatrestle import records

__all__ = (
    'Inbound',
    'Link',
    'PeerDown',
    'PeerUp',
)

# A silent stream has to be found and replaced within a configuration lease.
KEEPALIVE_S = 0.4
SILENCE_LIMIT_S = 1.2
DIAL_TIMEOUT_S = 0.5
CLOSE_GRACE_S = 0.02
REDIAL_MIN_S = 0.05
REDIAL_MAX_S = 0.5
MAX_WAITING_MESSAGES = 20000
MAX_FRAME_MESSAGES = 512

LINK_DROPPED = metrics.declare(
    'link.dropped', 'Messages dropped because the peer was away or full.'
)
LINK_REDIALLED = metrics.declare(
    'retry.link_redial', 'A stream to a peer broke and was dialled again.'
)
LINK_SILENT = metrics.declare(
    'link.silent', 'Streams closed because nothing was heard on them.'
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


def _loop_time_s():
    return asyncio.get_running_loop().time()


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


class _Outbox:
    """Messages waiting for one stream; lives in the asyncio thread."""

    __slots__ = ('_ready', '_waiting', 'closed', 'heard_s', 'writing_since_s')

    def __init__(self, now_s):
        self._waiting = collections.deque()
        self._ready = asyncio.Event()
        self.closed = asyncio.Event()
        self.heard_s = now_s
        self.writing_since_s = None

    def put(self, data):
        """Adds an encoded message; drops and counts it when full."""
        if len(self._waiting) >= MAX_WAITING_MESSAGES:
            metrics.count(LINK_DROPPED)
            return
        self._waiting.append(data)
        self._ready.set()

    def prompt(self):
        """Makes ``take`` return, with nothing if nothing waits."""
        self._ready.set()

    async def take(self):
        """Waits for messages or a prompt; returns the messages."""
        await self._ready.wait()
        count = min(len(self._waiting), MAX_FRAME_MESSAGES)
        items = [self._waiting.popleft() for _ in range(count)]
        if not self._waiting:
            self._ready.clear()
        return items

    def is_silent(self, now_s):
        """True if the peer neither sent nor took anything for too long."""
        oldest_s = self.heard_s
        if self.writing_since_s is not None:
            oldest_s = min(oldest_s, self.writing_since_s)
        return now_s - oldest_s > SILENCE_LIMIT_S


class Link:
    """Streams between this process and its peers.

    Args:
        name: name of this process, unique among all of them.
        incarnation: number drawn when this process started.
        listen: ``settings.Address`` to accept streams on, None for a client.
        tls_files: ``tls.TlsFiles`` to prove and check names with; None for
            plain TCP.
    """

    def __init__(self, name, incarnation, listen=None, tls_files=None):
        self.name = name
        self.incarnation = incarnation
        self._listen = listen
        self._tls = tls_files
        self._thread = _grpc_thread.GrpcThread()
        self._inbox = curio.UniversalQueue()
        self._pending = collections.deque()
        self._outboxes = {}
        self._dial_tasks = {}
        self._addresses = {}
        self._server = None
        self._unsent = collections.deque()
        self._flush_scheduled = False
        self._closing = asyncio.Event()

    # Calls from curio

    async def start(self):
        """Starts the thread and the listener.

        Raises:
            errors.Error: the address can not be bound.
        """
        self._thread.start()
        if self._listen is None:
            return
        fut = self._thread.run(self._serve())
        try:
            await curio.traps._future_wait(fut)
            fut.result()
        except OSError as exc:
            raise errors.Error(
                f'can not listen on {self._listen}: {exc.strerror}',
                step='listen',
            ) from exc

    def connect(self, peer, address):
        """Keeps a stream to ``peer`` from now on, at its newest address."""
        self._thread.call(self._dial_in_loop, peer, address)

    def disconnect(self, peer):
        """Ends the stream to ``peer`` and stops dialling it."""
        self._thread.call(self._hang_up_in_loop, peer)

    def send(self, peer, message):
        """Sends a message; drops and counts it if the peer is away."""
        self._unsent.append((peer, messages.CODEC.encode(message)))
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._thread.call(self._flush_in_loop)

    async def receive(self):
        """Returns the next ``Inbound``, ``PeerUp`` or ``PeerDown``."""
        while not self._pending:
            self._pending.extend(await self._inbox.get())
        return self._pending.popleft()

    async def stop(self):
        """Closes all streams and ends the thread."""
        await curio.run_in_thread(self._stop_thread)

    # Inside the asyncio thread

    def __mapping__(self):
        return {_stream.METHOD_PATH: _stream.stream_handler(self._accept)}

    def _stop_thread(self):
        fut = self._thread.run(self._close())
        fut.result(DIAL_TIMEOUT_S * 2)
        self._thread.stop()

    async def _serve(self):
        self._server = server.Server([self], codec=_stream.RecordCodec())
        context = self._tls.server_context() if self._tls else None
        await self._server.start(
            self._listen.host, self._listen.port, ssl=context
        )

    async def _close(self):
        # Streams end cleanly, so that peers learn of the stop at once.
        self._closing.set()
        await asyncio.sleep(CLOSE_GRACE_S)
        for task in self._dial_tasks.values():
            task.cancel()
        if self._server is not None:
            self._server.close()

    def _flush_in_loop(self):
        self._flush_scheduled = False
        while self._unsent:
            peer, data = self._unsent.popleft()
            outbox = self._outboxes.get(peer)
            if outbox is None:
                metrics.count(LINK_DROPPED)
            else:
                outbox.put(data)

    def _dial_in_loop(self, peer, address):
        if self._addresses.get(peer) == address:
            return
        self._hang_up_in_loop(peer)
        self._addresses[peer] = address
        self._dial_tasks[peer] = asyncio.ensure_future(
            self._keep_dialled(peer, address)
        )

    def _hang_up_in_loop(self, peer):
        self._addresses.pop(peer, None)
        task = self._dial_tasks.pop(peer, None)
        if task is not None:
            task.cancel()

    async def _keep_dialled(self, peer, address):
        delay_s = REDIAL_MIN_S
        while True:
            while peer in self._outboxes:
                await self._outboxes[peer].closed.wait()
            started_s = _loop_time_s()
            try:
                await self._dial(peer, address)
            except _BROKEN as exc:
                LOG.debug(
                    'link_broken',
                    extra={'peer': peer, 'error': repr(exc)},
                )
            metrics.count(LINK_REDIALLED)
            lived_s = _loop_time_s() - started_s
            if lived_s > REDIAL_MAX_S * 2:
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

    async def _accept(self, stream):
        try:
            first = await asyncio.wait_for(
                stream.recv_message(), SILENCE_LIMIT_S
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

    async def _exchange(self, stream, peer):
        """Runs both directions of one stream until either one ends."""
        outbox = _Outbox(_loop_time_s())
        self._outboxes[peer] = outbox
        self._post([PeerUp(peer)])
        tasks = [
            asyncio.ensure_future(self._write(stream, outbox)),
            asyncio.ensure_future(self._read(stream, outbox)),
            asyncio.ensure_future(self._watch(outbox)),
            asyncio.ensure_future(self._closing.wait()),
        ]
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            # Nothing is awaited before the peer is reported down: grpclib
            # may cancel this task more than once.
            self._forget(peer, outbox)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _forget(self, peer, outbox):
        outbox.closed.set()
        if self._outboxes.get(peer) is outbox:
            del self._outboxes[peer]
            self._post([PeerDown(peer)])

    def _post(self, events):
        # A plain function gets the synchronous put of the queue.
        self._inbox.put(events)

    async def _write(self, stream, outbox):
        seq = 0
        items = []
        while True:
            seq += 1
            frame = messages.Frame(self.name, self.incarnation, seq, items)
            outbox.writing_since_s = _loop_time_s()
            await stream.send_message(frame)
            outbox.writing_since_s = None
            items = await outbox.take()

    async def _read(self, stream, outbox):
        while True:
            frame = await stream.recv_message()
            if frame is None:
                return
            outbox.heard_s = _loop_time_s()
            self._deliver(frame)

    async def _watch(self, outbox):
        """Sends keep-alives and ends a stream that has gone silent.

        A process that was frozen finds its own timers late as well; the
        second look gives waiting data the chance to be read first.
        """
        while True:
            await asyncio.sleep(KEEPALIVE_S)
            outbox.prompt()
            if outbox.is_silent(_loop_time_s()):
                await asyncio.sleep(KEEPALIVE_S / 4)
            if outbox.is_silent(_loop_time_s()):
                metrics.count(LINK_SILENT)
                raise asyncio.TimeoutError('peer is silent')

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
            inbound.append(Inbound(frame.sender, frame.incarnation, message))
        if inbound:
            self._post(inbound)
