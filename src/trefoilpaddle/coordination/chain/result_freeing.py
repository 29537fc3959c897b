"""Frees results at one stage worker in batches."""

import asyncio
from collections.abc import Callable
from typing import Final

from ...state.chain.workers import Worker, WorkerTable
from .target_calls import TargetCalls

BATCH_WINDOW_S: Final = 0.05
"""Seconds for which results are collected before one call frees them.

A fifth of a call. If memory is short without this scheduler knowing, it stays
occupied for no longer than that.
"""


class ResultFreeing:
    """Frees results at one worker that no stage will read any more.

    When each result was freed by its own call, workers of a busy cell got more of
    these calls than of pieces, and they took a fifth of the scheduler's processor
    time. Results are therefore collected for a moment, unless the memory of the
    worker that holds them is short.

    Parameters
    ----------
    worker : Worker
        The worker.
    calls : TargetCalls
        Client that calls the worker.
    workers : WorkerTable
        The listed workers.
    on_freed : callable
        Called with the handles that the worker has freed.
    is_short : callable
        Returns True if the worker's memory for results may run short soon.
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
        """Free a result, together with others that are freed in the same window."""
        self._handles.append(handle)
        self.flush()

    def flush(self) -> None:
        """Free the collected results, at once if memory is short, otherwise later."""
        is_sending = self._task is not None and not self._task.done()
        if is_sending or not self._handles:
            return
        if self._is_short():
            self._start_sending()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(BATCH_WINDOW_S, self._start_sending)

    def _start_sending(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._send())

    async def _send(self) -> None:
        while self._handles:
            handles, self._handles = self._handles, []
            listed = self._workers.get(self._worker.worker_id)
            if listed is None or listed.failure_domain in self._workers.evacuated:
                continue
            if self._workers.is_resting(listed):
                # These results expire; the call would be one that the worker refuses.
                continue
            if await self._calls.free_results(self._worker, handles):
                self._on_freed(handles)
