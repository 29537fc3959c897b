"""Sends further reads of the store while an earlier one is waiting for its answer."""

import asyncio
import contextlib
import math
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

from absl import logging

MAX_OVERLAPPING: Final = 5
"""Reads that may be outstanding beside the first one.

As many as are sent while a store takes the longest time that a read is given.
"""


class OverlappingReads:
    """Keeps the interval between reads while the store takes longer than that.

    A read that was lost while the store was unavailable still hangs after the recovery,
    and one that began before a change does not bring it, however slow the store is.

    Parameters
    ----------
    read : callable
        Reads the store once.
    is_needed : callable
        Returns True if others wait for what is read.
    period_s : float
        Time in seconds from the start of one read to that of the next.

    Attributes
    ----------
    sent_s : float
        Monotonic time at which the latest of these reads began.
    """

    __slots__ = ("_is_needed", "_period_s", "_read", "_tasks", "sent_s")

    def __init__(
        self,
        *,
        read: Callable[[], Awaitable[object]],
        is_needed: Callable[[], bool],
        period_s: float,
    ) -> None:
        self._read = read
        self._is_needed = is_needed
        self._period_s = period_s
        self._tasks: set[asyncio.Task[None]] = set()
        self.sent_s = -math.inf

    @contextlib.asynccontextmanager
    async def sending(self) -> AsyncIterator[None]:
        """Send reads while the context is open; those outstanding go on after it."""
        sending = asyncio.create_task(self._send(began_s=time.monotonic()))
        try:
            yield
        finally:
            sending.cancel()

    def cancel(self) -> None:
        """End the outstanding reads."""
        for task in self._tasks:
            task.cancel()

    async def _send(self, *, began_s: float) -> None:
        while True:
            due_s = max(began_s, self.sent_s) + self._period_s
            await asyncio.sleep(max(self._period_s / 2, due_s - time.monotonic()))
            if len(self._tasks) < MAX_OVERLAPPING and self._is_needed():
                self.sent_s = time.monotonic()
                task = asyncio.create_task(self._read_once())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _read_once(self) -> None:
        try:
            await self._read()
        except Exception:
            logging.exception("the published configuration could not be applied")
