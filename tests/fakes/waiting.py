"""Waiting in curio for what processes on loopback bring about."""

import curio

__all__ = ('PATIENCE_S', 'wait_for')

PATIENCE_S = 60.0
POLL_S = 0.05


async def wait_for(condition, what, patience_s=PATIENCE_S):
    """Waits until the awaitable condition gives a true value; returns it.

    Raises:
        AssertionError: it did not in time.
    """
    try:
        async with curio.timeout_after(patience_s):
            while True:
                value = await condition()
                if value:
                    return value
                await curio.sleep(POLL_S)
    except curio.TaskTimeout:
        raise AssertionError(f'not in time: {what}') from None
