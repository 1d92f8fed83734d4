"""Link: typed messages between the system's own processes.

A link names its process, listens on one address and keeps a stream to every
peer it was told to connect to.  ``send`` never blocks: a message for a peer
that is away is dropped and counted, since every protocol above repeats what
matters.  Messages to one peer keep their order on a stream; a stream that
breaks, or on which nothing was heard for a while, is dialled again with
back-off.  A peer that already dialled this process is not dialled back.  All
messages waiting for a peer leave in one frame.

Use from curio::

    link = Link('e1', incarnation=7, listen=address)
    await link.start()
    link.connect('c1', address_of_c1)
    link.send('c1', message)
    inbound = await link.receive()
"""

import collections
from concurrent import futures

import curio

from fuchsiatrestle import errors
from fuchsiatrestle import logs
from fuchsiatrestle import messages
from fuchsiatrestle.net import _grpc_thread
from fuchsiatrestle.net._link_events import Inbound
from fuchsiatrestle.net._link_events import PeerDown
from fuchsiatrestle.net._link_events import PeerUp
from fuchsiatrestle.net import _link_peers

__all__ = (
    'Inbound',
    'Link',
    'PeerDown',
    'PeerUp',
)

CLOSE_TIMEOUT_S = 5.0

LOG = logs.get_logger(__name__)


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
        self._thread = _grpc_thread.GrpcThread()
        self._peers = _link_peers.PeerStreams(
            name, incarnation, tls_files, self._put
        )
        self._inbox = curio.UniversalQueue()
        self._pending = collections.deque()
        self._unsent = collections.deque()
        self._flush_scheduled = False

    async def start(self):
        """Starts the thread and the listener.

        Raises:
            errors.Error: the address can not be bound.
        """
        self._thread.start()
        if self._listen is None:
            return
        fut = self._thread.run(self._peers.listen(self._listen))
        try:
            await curio.traps._future_wait(fut)
            fut.result()
        except OSError as exc:
            raise errors.Error(
                f'can not listen on {self._listen}: {exc.strerror}',
                step='listen',
            ) from exc

    async def stop(self):
        """Closes all streams and ends the thread."""
        await curio.run_in_thread(self._stop_thread)

    def connect(self, peer, address):
        """Keeps a stream to ``peer`` from now on, at its newest address."""
        self._thread.call(self._peers.dial, peer, address)

    def disconnect(self, peer):
        """Ends the stream to ``peer`` and stops dialling it."""
        self._thread.call(self._peers.hang_up, peer)

    def send(self, peer, message):
        """Sends a message; drops and counts it if the peer is away.

        A message to this process itself is received like any other.
        """
        if peer == self.name:
            self._put([Inbound(peer, self.incarnation, message)])
            return
        self._unsent.append((peer, messages.CODEC.encode(message)))
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._thread.call(self._flush)

    async def receive(self):
        """Returns the next ``Inbound``, ``PeerUp`` or ``PeerDown``."""
        while not self._pending:
            self._pending.extend(await self._inbox.get())
        return self._pending.popleft()

    # In the asyncio thread

    def _put(self, events):
        # A plain function gets the synchronous put of the queue.
        self._inbox.put(events)

    def _flush(self):
        self._flush_scheduled = False
        while self._unsent:
            self._peers.send(*self._unsent.popleft())

    def _stop_thread(self):
        fut = self._thread.run(self._peers.close())
        try:
            fut.result(CLOSE_TIMEOUT_S)
        except futures.TimeoutError:
            # A process that was frozen here finds its time used up at once.
            LOG.warning('link_close_timed_out')
        self._thread.stop()
