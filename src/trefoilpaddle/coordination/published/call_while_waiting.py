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
    is_obsolete: Callable[[], bool] = lambda: False,
) -> T | None:
    """Return the result of `work`; call `other` repeatedly while `work` is running.

    Parameters
    ----------
    work : coroutine
        Runs to completion, whatever `other` does.
    other : callable
        Called `every_s` seconds after the start, then `every_s` after each return;
        cancelled once `work` has ended.
    every_s : float
        Time in seconds to wait for `work` before each call.
    is_obsolete : callable
        Asked after each call of `other`; if it returns True, `work` is cancelled.

    Returns
    -------
    T or None
        The result of `work`; None if it was cancelled.
    """
    task = asyncio.create_task(work)
    try:
        await asyncio.wait({task}, timeout=every_s)
        while not task.done():
            await _call_until(other, task)
            if is_obsolete() and not task.done():
                return None
            await asyncio.wait({task}, timeout=every_s)
        return task.result()
    finally:
        task.cancel()


async def _call_until(
    other: Callable[[], Awaitable[object]], task: asyncio.Task[T]
) -> None:
    """Call `other`; cancel it if `task` ends before it returns."""
    calling = asyncio.ensure_future(other())
    try:
        await asyncio.wait({task, calling}, return_when=asyncio.FIRST_COMPLETED)
        if calling.done():
            calling.result()
    finally:
        calling.cancel()
