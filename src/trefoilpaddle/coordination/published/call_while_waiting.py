"""Does something else while an answer does not come."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


async def call_while_waiting(
    work: Coroutine[Any, Any, T],
    other: Callable[[], Awaitable[object]],
    *,
    every_s: float,
) -> T:
    """Return what `work` returns; call `other` again and again if that is late.

    Parameters
    ----------
    work : coroutine
        Run to its end, whatever `other` does.
    other : callable
        Called after `every_s`, and so long after each of its ends.
    every_s : float
        How long to wait for `work` before each call.
    """
    task = asyncio.create_task(work)
    try:
        await asyncio.wait({task}, timeout=every_s)
        while not task.done():
            await other()
            await asyncio.wait({task}, timeout=every_s)
        return task.result()
    finally:
        task.cancel()
