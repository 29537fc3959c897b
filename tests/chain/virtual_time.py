"""An event loop whose clock jumps to the next timer, so that seconds take none."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import pytest

T = TypeVar("T")


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop that never waits: with nothing to run it is at its next timer."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 1000.0

    def time(self) -> float:
        return self._now_s

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:  # type: ignore[attr-defined]
            next_s = self._scheduled[0].when()  # type: ignore[attr-defined]
            self._now_s = max(self._now_s, next_s)
        super()._run_once()  # type: ignore[misc]


def run_virtual(patch: pytest.MonkeyPatch, work: Coroutine[Any, Any, T]) -> T:
    """Run `work` in virtual time, the monotonic clock included."""
    loop = VirtualLoop()
    patch.setattr("time.monotonic", loop.time)
    try:
        return loop.run_until_complete(_to_the_end(work))
    finally:
        loop.close()


async def _to_the_end(work: Coroutine[Any, Any, T]) -> T:
    """Return what `work` returns, and leave nothing running behind it."""
    try:
        return await work
    finally:
        left = asyncio.all_tasks() - {asyncio.current_task()}
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
