"""Waits in curio for a condition that other processes bring about."""

import curio

__all__ = ('DEFAULT_TIMEOUT_S', 'wait_for')

DEFAULT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05


async def wait_for(condition, description, timeout_s=DEFAULT_TIMEOUT_S):
    """Waits until a condition is met and returns its value.

    Args:
        condition: coroutine function, called until it returns a true value.
        description: what is waited for, for the error message.
        timeout_s: longest time to wait, in seconds.

    Raises:
        AssertionError: the condition was not met within ``timeout_s``.
    """
    try:
        async with curio.timeout_after(timeout_s):
            while True:
                condition_value = await condition()
                if condition_value:
                    return condition_value
                await curio.sleep(POLL_INTERVAL_S)
    except curio.TaskTimeout:
        raise AssertionError(f'timed out waiting for: {description}') from None
