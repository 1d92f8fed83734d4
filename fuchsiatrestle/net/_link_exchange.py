"""One stream of a link: frames out, frames in, and a watch over silence.

Everything here runs in the asyncio thread.
"""

import asyncio
import collections

from fuchsiatrestle import messages
from fuchsiatrestle import metrics

__all__ = ('LINK_DROPPED', 'Exchange', 'Outbox', 'loop_time_s')

# A silent stream has to be found and replaced within a configuration lease.
KEEPALIVE_S = 0.4
SILENCE_LIMIT_S = 1.2
MAX_WAITING_MESSAGES = 20000
MAX_FRAME_MESSAGES = 512

LINK_DROPPED = metrics.declare(
    'link.dropped', 'Messages dropped because the peer was away or full.'
)
LINK_SILENT = metrics.declare(
    'link.silent', 'Streams closed because nothing was heard on them.'
)


def loop_time_s():
    """Returns the monotonic time of the running asyncio loop."""
    return asyncio.get_running_loop().time()


class Outbox:
    """Messages that wait for one stream, and when it last moved."""

    __slots__ = (
        '_ready',
        '_waiting',
        'closed',
        'heard_s',
        'written_s',
        'writing_since_s',
    )

    def __init__(self, now_s):
        self._waiting = collections.deque()
        self._ready = asyncio.Event()
        self.closed = asyncio.Event()
        self.heard_s = now_s
        self.written_s = now_s
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

    def is_quiet(self, now_s):
        """True if the peer may soon take this process for silent."""
        return now_s - self.written_s >= KEEPALIVE_S / 2

    def is_silent(self, now_s):
        """True if the peer neither sent nor took anything for too long."""
        oldest_s = self.heard_s
        if self.writing_since_s is not None:
            oldest_s = min(oldest_s, self.writing_since_s)
        return now_s - oldest_s > SILENCE_LIMIT_S


class Exchange:
    """Runs both directions of one stream until either one ends.

    Args:
        name: name of this process.
        incarnation: its incarnation.
        stream: grpclib stream, open on both sides.
        outbox: ``Outbox`` of the stream.
        deliver: called with each frame that came in.
        closing: event that ends the exchange for a planned stop.
    """

    def __init__(self, name, incarnation, stream, outbox, deliver, closing):
        self._name = name
        self._incarnation = incarnation
        self._stream = stream
        self._outbox = outbox
        self._deliver = deliver
        self._closing = closing
        self._tasks = []

    async def run(self):
        """Returns when the stream or this process ends, raises when broken.

        Raises:
            asyncio.TimeoutError: the peer is silent.
            Exception: what grpclib raises for a broken stream.
        """
        parts = (
            self._write(),
            self._read(),
            self._watch(),
            self._closing.wait(),
        )
        self._tasks = [asyncio.ensure_future(part) for part in parts]
        done, _ = await asyncio.wait(
            self._tasks, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            task.result()

    async def end(self):
        """Ends what ``run`` has started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _write(self):
        seq = 0
        items = []
        while True:
            seq += 1
            frame = messages.Frame(self._name, self._incarnation, seq, items)
            self._outbox.writing_since_s = loop_time_s()
            await self._stream.send_message(frame)
            self._outbox.writing_since_s = None
            self._outbox.written_s = loop_time_s()
            items = await self._outbox.take()

    async def _read(self):
        while True:
            frame = await self._stream.recv_message()
            if frame is None:
                return
            self._outbox.heard_s = loop_time_s()
            self._deliver(frame)

    async def _watch(self):
        """Sends keep-alives and ends a stream that has gone silent.

        A process that was frozen finds its own timers late as well; the
        second look gives waiting data the chance to be read first.
        """
        while True:
            await asyncio.sleep(KEEPALIVE_S)
            if self._outbox.is_quiet(loop_time_s()):
                self._outbox.prompt()
            if self._outbox.is_silent(loop_time_s()):
                await asyncio.sleep(KEEPALIVE_S / 4)
            if self._outbox.is_silent(loop_time_s()):
                metrics.count(LINK_SILENT)
                raise asyncio.TimeoutError('peer is silent')
