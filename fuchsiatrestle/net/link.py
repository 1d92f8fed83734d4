"""Link: typed messages between the system's own processes.

A link identifies its process by name, listens on one address and keeps a
stream open to every peer given to ``connect``. ``send`` never blocks: a
message to a peer without a stream is dropped and counted, because the
protocols that use links resend whatever has to arrive. Messages to one peer
stay in order within a stream. A stream that breaks, or on which the peer stays
silent, is dialled again after an exponential delay. A peer that has a stream
to this process already is not dialled. Messages queued for one peer are sent
together in a frame.

Example, in a curio task::

    link = Link('e1', incarnation=7, listen_address=address)
    await link.start()
    link.connect('c1', address_of_c1)
    link.send('c1', message)
    event = await link.receive()
"""

import collections
from concurrent import futures

import curio

from fuchsiatrestle import errors
from fuchsiatrestle import inbox
from fuchsiatrestle import logs
from fuchsiatrestle import messages
from fuchsiatrestle.net import _grpc_thread
from fuchsiatrestle.net._link_events import PeerDown
from fuchsiatrestle.net._link_events import PeerUp
from fuchsiatrestle.net._link_events import ReceivedMessage
from fuchsiatrestle.net import _link_peers

__all__ = (
    'Link',
    'PeerDown',
    'PeerUp',
    'ReceivedMessage',
)

CLOSE_TIMEOUT_S = 5.0

LOG = logs.get_logger(__name__)


class Link:
    """Sends messages to peers and receives theirs.

    The methods are called from curio; the streams run in an asyncio thread.

    Args:
        name: name of this process, unique among all processes.
        incarnation: number drawn when this process started.
        listen_address: ``settings.Address`` to accept streams on; None to
            accept none.
        tls_files: ``tls.TlsFiles`` for mutual authentication; None for plain
            TCP.
    """

    def __init__(self, name, incarnation, listen_address=None, tls_files=None):
        self.name = name
        self.incarnation = incarnation
        self._listen_address = listen_address
        self._thread = _grpc_thread.GrpcThread()
        self._peer_streams = _link_peers.PeerStreams(
            name, incarnation, tls_files, self._put_events
        )
        self._inbox = inbox.Inbox()
        self._received_events = collections.deque()
        self._outgoing_messages = collections.deque()
        self._is_send_scheduled = False

    async def start(self):
        """Starts the asyncio thread and accepts streams.

        Raises:
            errors.Error: the address can not be bound.
        """
        self._thread.start()
        if self._listen_address is None:
            return
        future = self._thread.schedule_coroutine(
            self._peer_streams.listen(self._listen_address)
        )
        try:
            await curio.traps._future_wait(future)
            future.result()
        except OSError as exc:
            raise errors.Error(
                f'can not listen on {self._listen_address}: {exc.strerror}',
                step='listen',
            ) from exc

    async def stop(self):
        """Closes all streams and ends the asyncio thread."""
        await curio.run_in_thread(self._stop_thread)

    def connect(self, peer, address):
        """Keeps a stream to a peer open, at the address given last.

        Args:
            peer: name of the peer.
            address: its ``settings.Address``.
        """
        self._thread.schedule_call(self._peer_streams.dial, peer, address)

    def disconnect(self, peer):
        """Ends the stream dialled to a peer and does not redial it."""
        self._thread.schedule_call(self._peer_streams.stop_dialling, peer)

    def send(self, peer, message):
        """Sends a message; drops and counts it if the peer has no stream.

        A message to this process itself is delivered to its own ``receive``.
        """
        if peer == self.name:
            self._put_events(
                [ReceivedMessage(peer, self.incarnation, message)]
            )
            return
        self._outgoing_messages.append((peer, messages.CODEC.encode(message)))
        if not self._is_send_scheduled:
            self._is_send_scheduled = True
            self._thread.schedule_call(self._send_outgoing_messages)

    async def receive(self):
        """Waits for the next event and returns it.

        That is a ``ReceivedMessage``, a ``PeerUp`` or a ``PeerDown``.
        """
        while not self._received_events:
            self._received_events.extend(await self._inbox.get())
        return self._received_events.popleft()

    # Methods that run in the asyncio thread.  ``send`` also calls
    # ``_put_events``, from the thread of its caller.

    def _put_events(self, events):
        self._inbox.put(events)

    def _send_outgoing_messages(self):
        self._is_send_scheduled = False
        while self._outgoing_messages:
            self._peer_streams.send(*self._outgoing_messages.popleft())

    # Method that ``stop`` calls by ``curio.run_in_thread``

    def _stop_thread(self):
        future = self._thread.schedule_coroutine(self._peer_streams.close())
        try:
            future.result(CLOSE_TIMEOUT_S)
        except futures.TimeoutError:
            # A process that was suspended during this wait finds the timeout
            # exceeded when it resumes.
            LOG.warning('link_close_timed_out')
        self._thread.stop()
