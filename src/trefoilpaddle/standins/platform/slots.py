"""Slots of a stand-in worker, and the short queue in front of them."""

import asyncio
import contextlib
from collections.abc import AsyncIterator


class Slots:
    """Slots in which requests run, and a bounded queue in order of arrival.

    Parameters
    ----------
    n_slots : int
        Requests that run at the same time; 0 for any number.
    n_queued : int
        Requests that may wait for a slot.

    Attributes
    ----------
    n_waiting : int
        Requests that wait for a slot.
    n_running : int
        Requests that run.
    """

    __slots__ = ("_n_queued", "_n_slots", "_slots", "n_running", "n_waiting")

    def __init__(self, *, n_slots: int, n_queued: int) -> None:
        self._n_slots = n_slots
        self._n_queued = n_queued
        self._slots = asyncio.Semaphore(max(1, n_slots))
        self.n_waiting = 0
        self.n_running = 0

    @property
    def is_full(self) -> bool:
        """True if another request would have to be turned away."""
        return (
            bool(self._n_slots)
            and self._slots.locked()
            and self.n_waiting >= self._n_queued
        )

    @contextlib.asynccontextmanager
    async def one(self) -> AsyncIterator[None]:
        """Wait for a slot, and hold it while the context is open."""
        if not self._n_slots:
            yield
            return
        self.n_waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.n_waiting -= 1
        self.n_running += 1
        try:
            yield
        finally:
            self.n_running -= 1
            self._slots.release()
