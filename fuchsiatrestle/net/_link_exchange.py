"""One stream of a link: sends and receives frames and detects silence.

All code of this module runs in the asyncio thread.
"""

import asyncio
import collections

from fuchsiatrestle import messages
from fuchsiatrestle import metrics

__all__ = ('DROPPED_MESSAGES', 'Exchange', 'Outbox', 'loop_time_s')

# A stream on which the peer is silent has to be detected and replaced before a
# configuration lease ends.
KEEPALIVE_INTERVAL_S = 0.4
SILENCE_LIMIT_S = 1.2
MAX_QUEUED_MESSAGES = 20000
MAX_FRAME_MESSAGES = 512
# The messages of one queue and of one frame take at most so much, apart from
# the last message of each.  Calls carry bodies of clients, so that their
# number alone bounds no memory.
MAX_QUEUED_BYTES = 24 * 1024 * 1024
MAX_FRAME_BYTES = 1024 * 1024

DROPPED_MESSAGES = metrics.declare(
    'link.dropped', 'Messages dropped because the peer was away or full.'
)
SILENT_STREAMS = metrics.declare(
    'link.silent', 'Streams closed because nothing was heard on them.'
)


def loop_time_s():
    """Returns the monotonic time of the running asyncio loop."""
    return asyncio.get_running_loop().time()


class Outbox:
    """The send queue of one stream, with the times of its last activity.

    All times are those of ``loop_time_s``, in seconds.

    Args:
        now_s: current time.

    Attributes:
        closed_event: set once the stream has ended.
        last_received_s: time at which the last frame was received.
        last_sent_s: time at which the last frame was sent completely.
        send_started_s: time at which sending the current frame began; None
            while no frame is being sent.
    """

    __slots__ = (
        '_queue',
        '_queued_bytes',
        '_wake_event',
        'closed_event',
        'last_received_s',
        'last_sent_s',
        'send_started_s',
    )

    def __init__(self, now_s):
        self._queue = collections.deque()
        self._queued_bytes = 0
        self._wake_event = asyncio.Event()
        self.closed_event = asyncio.Event()
        self.last_received_s = now_s
        self.last_sent_s = now_s
        self.send_started_s = None

    def put(self, encoded_message):
        """Queues an encoded message.

        If the queue is full, the message is dropped and counted.
        """
        if (
            len(self._queue) >= MAX_QUEUED_MESSAGES
            or self._queued_bytes >= MAX_QUEUED_BYTES
        ):
            metrics.count(DROPPED_MESSAGES)
            return
        self._queue.append(encoded_message)
        self._queued_bytes += len(encoded_message)
        self._wake_event.set()

    def wake_sender(self):
        """Makes ``take_messages`` return even if no message is queued.

        The caller of ``take_messages`` then sends an empty frame.
        """
        self._wake_event.set()

    async def take_messages(self):
        """Waits for messages or a call of ``wake_sender``.

        Returns:
            Encoded messages for one frame, in order; an empty list
            if ``wake_sender`` was called and none is queued.
        """
        await self._wake_event.wait()
        encoded_messages = []
        frame_bytes = 0
        while (
            self._queue
            and len(encoded_messages) < MAX_FRAME_MESSAGES
            and frame_bytes < MAX_FRAME_BYTES
        ):
            encoded_message = self._queue.popleft()
            encoded_messages.append(encoded_message)
            frame_bytes += len(encoded_message)
        self._queued_bytes -= frame_bytes
        if not self._queue:
            self._wake_event.clear()
        return encoded_messages

    def needs_keepalive(self, now_s):
        """Returns True if nothing was sent for half the keep-alive interval.

        An empty frame then has to be sent, so that the peer does not take
        this process for silent.
        """
        return now_s - self.last_sent_s >= KEEPALIVE_INTERVAL_S / 2

    def is_peer_silent(self, now_s):
        """Returns True if the peer was inactive for ``SILENCE_LIMIT_S``.

        It is inactive while it sends no frame, and while it does not accept
        the frame that is being sent to it.
        """
        silent_since_s = self.last_received_s
        if self.send_started_s is not None:
            silent_since_s = min(silent_since_s, self.send_started_s)
        return now_s - silent_since_s > SILENCE_LIMIT_S


class Exchange:
    """Sends and receives on one stream until either direction ends.

    Args:
        name: name of this process.
        incarnation: number drawn when this process started.
        stream: open grpclib stream.
        outbox: ``Outbox`` of the stream.
        deliver_frame: function called with each frame received.
        closing_event: asyncio event that ends the exchange when this process
            stops as planned.
    """

    def __init__(
        self, name, incarnation, stream, outbox, deliver_frame, closing_event
    ):
        self._name = name
        self._incarnation = incarnation
        self._stream = stream
        self._outbox = outbox
        self._deliver_frame = deliver_frame
        self._closing_event = closing_event
        self._tasks = []

    async def run(self):
        """Runs the exchange until the peer or this process ends the stream.

        The tasks that it starts may still run when it returns or raises; the
        caller ends them with ``cancel_tasks``.

        Raises:
            asyncio.TimeoutError: the peer is silent.
            Exception: the stream broke; any exception of grpclib.
        """
        coros = (
            self._send_frames(),
            self._receive_frames(),
            self._monitor_silence(),
            self._closing_event.wait(),
        )
        self._tasks = [asyncio.ensure_future(coro) for coro in coros]
        ended_tasks, _ = await asyncio.wait(
            self._tasks, return_when=asyncio.FIRST_COMPLETED
        )
        for task in ended_tasks:
            task.result()

    async def cancel_tasks(self):
        """Cancels the tasks that ``run`` has started and waits for them."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_frames(self):
        """Sends an empty frame, then the messages of the outbox in frames.

        The first frame tells the accepting peer which process this is.
        """
        seq = 0
        encoded_messages = []
        while True:
            seq += 1
            frame = messages.Frame(
                self._name, self._incarnation, seq, encoded_messages
            )
            self._outbox.send_started_s = loop_time_s()
            await self._stream.send_message(frame)
            self._outbox.send_started_s = None
            self._outbox.last_sent_s = loop_time_s()
            encoded_messages = await self._outbox.take_messages()

    async def _receive_frames(self):
        while True:
            frame = await self._stream.recv_message()
            if frame is None:
                return
            self._outbox.last_received_s = loop_time_s()
            self._deliver_frame(frame)

    async def _monitor_silence(self):
        """Sends keep-alive frames; raises an error if the peer is silent.

        If this process itself was suspended, it finds the limit exceeded when
        it resumes although the peer has sent data. The second check, made
        after a short sleep, lets that data be received first.

        Raises:
            asyncio.TimeoutError: the peer is silent.
        """
        while True:
            await asyncio.sleep(KEEPALIVE_INTERVAL_S)
            if self._outbox.needs_keepalive(loop_time_s()):
                self._outbox.wake_sender()
            if self._outbox.is_peer_silent(loop_time_s()):
                await asyncio.sleep(KEEPALIVE_INTERVAL_S / 4)
            if self._outbox.is_peer_silent(loop_time_s()):
                metrics.count(SILENT_STREAMS)
                raise asyncio.TimeoutError('peer is silent')
