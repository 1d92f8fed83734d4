"""A thread that runs grpclib on asyncio beside a daemon on curio.

grpclib works on asyncio only, whereas the daemons use curio. The thread owns
the event loop and all channels and servers on it; no code outside this
package uses them.
"""

import asyncio
import threading

__all__ = ('GrpcThread',)

JOIN_TIMEOUT_S = 5.0


class GrpcThread:
    """An asyncio event loop that runs in a thread of its own."""

    def __init__(self):
        # Made at the start, as a loop that is not closed can print an error
        # when the process ends.
        self._loop = None
        # Functions, each with its arguments, to be called after the start.
        self._early_calls = []
        self._thread = threading.Thread(
            target=self._run_loop, name='grpc', daemon=True
        )

    def _run_loop(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def start(self):
        """Starts the thread, which runs the loop until ``stop``."""
        self._loop = asyncio.new_event_loop()
        for callback, args in self._early_calls:
            self._loop.call_soon_threadsafe(callback, *args)
        self._early_calls = []
        self._thread.start()

    def schedule_call(self, callback, *args):
        """Schedules a function call on the loop, from any thread.

        Before ``start`` it is called once the loop runs, and only from the
        thread that starts it.

        Args:
            callback: function to call.
            *args: its arguments.
        """
        if self._loop is None:
            self._early_calls.append((callback, args))
        elif not self._loop.is_closed():
            self._loop.call_soon_threadsafe(callback, *args)

    def schedule_coroutine(self, coro):
        """Schedules a coroutine on the loop, from any thread.

        Returns:
            A ``concurrent.futures.Future`` for the result of the coroutine.
        """
        return asyncio.run_coroutine_threadsafe(coro, self._loop)

    def stop(self):
        """Cancels all tasks, stops the loop and waits until the thread ends.

        The wait lasts ``JOIN_TIMEOUT_S`` at most.
        """
        if self._loop is None:
            return
        self.schedule_call(self._cancel_tasks)
        self._thread.join(JOIN_TIMEOUT_S)
        if not self._thread.is_alive():
            self._loop.close()

    def _cancel_tasks(self):
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        # Cancelled tasks get 50 ms to run their ``finally`` blocks.
        self._loop.call_later(0.05, self._loop.stop)
