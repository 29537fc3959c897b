"""Frees results at one stage worker, those that come together in one call."""

import asyncio
from collections.abc import Callable
from typing import Final

from ...state.chain.workers import Worker, WorkerTable
from .target_calls import TargetCalls

BATCH_WINDOW_S: Final = 0.05
"""Time in which results that are read join one call to their maker.

A fifth of a call; where memory binds unseen, it is taken for no longer than that.
"""


class ResultFreeing:
    """Tells one worker which results nobody will read any more.

    Told one by one, as chains read them, workers of a busy cell got more of these
    calls than of pieces, and they took a fifth of its scheduler's processor. So they
    are gathered for a moment, but where the memory of their maker is short.

    Parameters
    ----------
    worker : Worker
        The worker.
    calls : TargetCalls
        Speaks to it.
    workers : WorkerTable
        Says whether it is still listed.
    on_freed : callable
        Called with the handles that it has freed.
    is_short : callable
        Returns True if the worker's memory for results may bind before long.
    """

    __slots__ = (
        "_calls",
        "_handles",
        "_is_short",
        "_on_freed",
        "_task",
        "_timer",
        "_worker",
        "_workers",
    )

    def __init__(
        self,
        *,
        worker: Worker,
        calls: TargetCalls,
        workers: WorkerTable,
        on_freed: Callable[[list[str]], None],
        is_short: Callable[[], bool],
    ) -> None:
        self._worker = worker
        self._calls = calls
        self._workers = workers
        self._on_freed = on_freed
        self._is_short = is_short
        self._handles: list[str] = []
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def free(self, handle: str) -> None:
        """Free a result, together with others that come meanwhile."""
        self._handles.append(handle)
        self.flush()

    def flush(self) -> None:
        """Free what was gathered at once where memory is short, else in a moment."""
        is_sending = self._task is not None and not self._task.done()
        if is_sending or not self._handles:
            return
        if self._is_short():
            self._begin()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(BATCH_WINDOW_S, self._begin)

    def _begin(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._send())

    async def _send(self) -> None:
        while self._handles:
            handles, self._handles = self._handles, []
            if self._workers.get(self._worker.worker_id) is None:
                continue
            if await self._calls.free_results(self._worker, handles):
                self._on_freed(handles)
