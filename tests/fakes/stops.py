"""Stops of a task group between a reader and a writer, at every step."""

import threading

import curio

__all__ = ('find_hanging_stops',)

MAX_STEPS = 20
HANG_TIMEOUT_S = 5.0


def find_hanging_stops(make_queue):
    """Returns the steps after which a stop leaves the curio thread hanging.

    A group of one task that reads and one that writes is stopped after each
    number of steps below ``MAX_STEPS``; something is written afterwards.

    Args:
        make_queue: function that returns a coroutine function that reads one
            item and a function that writes one.
    """
    return [
        step_count
        for step_count in range(MAX_STEPS)
        if _hangs(*make_queue(), step_count)
    ]


def _hangs(read_item, write_item, step_count):
    """Returns True if the group hangs; the thread it hangs in is left."""
    thread = threading.Thread(
        target=curio.run,
        args=(_run_group, read_item, write_item, step_count),
        daemon=True,
    )
    thread.start()
    thread.join(HANG_TIMEOUT_S)
    return thread.is_alive()


async def _run_group(read_item, write_item, step_count):
    async def read():
        while True:
            await read_item()

    async def write():
        while True:
            write_item()
            await curio.sleep(0)

    async def stop():
        for _ in range(step_count):
            await curio.sleep(0)

    async with curio.TaskGroup(wait=any) as task_group:
        await task_group.spawn(read)
        await task_group.spawn(write)
        await task_group.spawn(stop)
    write_item()
