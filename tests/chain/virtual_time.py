"""An event loop whose clock jumps to the next timer instead of waiting for it."""

import asyncio
import heapq
from collections.abc import Coroutine
from typing import Any, TypeVar

import pytest

T = TypeVar("T")


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop that never waits: when idle, it sets its clock to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 1000.0

    def time(self) -> float:
        return self._now_s

    def pass_time(self, for_s: float) -> None:
        """Set the clock forward, as after a pause of the process."""
        self._now_s += for_s

    def _run_once(self) -> None:
        timers: list[asyncio.TimerHandle] = self._scheduled  # type: ignore[attr-defined]
        # The next timer that will run counts; cancelled ones would be waited for.
        while timers and timers[0].cancelled():
            heapq.heappop(timers)._scheduled = False  # type: ignore[attr-defined]
            self._timer_cancelled_count -= 1  # type: ignore[attr-defined]
        if not self._ready and timers:  # type: ignore[attr-defined]
            self._now_s = max(self._now_s, timers[0].when())
        super()._run_once()  # type: ignore[misc]


def run_virtual(patch: pytest.MonkeyPatch, work: Coroutine[Any, Any, T]) -> T:
    """Run `work` in virtual time, which the clocks that do not jump return as well."""
    loop = VirtualLoop()
    patch.setattr("time.monotonic", loop.time)
    patch.setattr("time.clock_gettime", lambda _: loop.time())
    try:
        return loop.run_until_complete(_run_to_completion(work))
    finally:
        loop.close()


async def _run_to_completion(work: Coroutine[Any, Any, T]) -> T:
    """Return the result of `work`; cancel all tasks that are still running then."""
    try:
        return await work
    finally:
        left = asyncio.all_tasks() - {asyncio.current_task()}
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
