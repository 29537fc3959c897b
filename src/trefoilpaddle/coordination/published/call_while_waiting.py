"""Calls a function repeatedly while a coroutine has not finished."""

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
    """Return the result of `work`; call `other` repeatedly while `work` is running.

    Parameters
    ----------
    work : coroutine
        Runs to completion, whatever `other` does.
    other : callable
        Called `every_s` seconds after the start, then `every_s` after each return.
    every_s : float
        Time in seconds to wait for `work` before each call.
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
