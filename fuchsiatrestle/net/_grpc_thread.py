"""The asyncio thread that carries grpclib for one daemon.

grpclib runs on asyncio only, the daemons on curio.  One thread owns the event
loop with all channels and servers; nothing outside this package touches it.
"""

import asyncio
import threading

__all__ = ('GrpcThread',)

JOIN_TIMEOUT_S = 5.0


class GrpcThread:
    """An asyncio event loop in a thread of its own."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._run, name='grpc', daemon=True
        )

    def _run(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def start(self):
        """Starts the thread."""
        self._thread.start()

    def call(self, callback, *args):
        """Schedules a plain callable in the loop; safe from any thread."""
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(callback, *args)

    def run(self, coro):
        """Schedules a coroutine; returns its ``concurrent.futures.Future``."""
        return asyncio.run_coroutine_threadsafe(coro, self._loop)

    def stop(self):
        """Stops the loop and waits for the thread."""
        self.call(self._cancel_all)
        self._thread.join(JOIN_TIMEOUT_S)

    def _cancel_all(self):
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        self._loop.call_later(0.05, self._loop.stop)
