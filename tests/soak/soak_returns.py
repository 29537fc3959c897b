"""Lets a soak's store come back from copies, and all write again that live."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from typing import Final

from trefoilpaddle.standins.platform.site import Site
from trefoilpaddle.standins.platform.store import StoreBackup

COPIES_S: Final = 0.25
N_COPIES: Final = 40

BEAT_S: Final = 1.2
"""Within this after a return each worker and the operator write again."""

EXPIRY_S: Final = 3.6
"""After this the entries have run out that nobody writes any more."""


class StoreReturns:
    """Copies the store all the time, and lets it come back from one.

    Parameters
    ----------
    site : Site
        Whose store it is.
    rng : random.Random
        Draws who writes again when.

    Attributes
    ----------
    said : dict of str to object
        By key, what its writer holds to; of workers that live, and the operator.
    """

    def __init__(self, *, site: Site, rng: random.Random) -> None:
        self._store = site.store
        self._rng = rng
        self._copies: list[StoreBackup] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.said: dict[str, object] = {}

    def write(self, key: str, value: object) -> None:
        """Write an item that its writer writes again after a return."""
        self.said[key] = value
        self._store.put(key, value)

    def remove(self, key: str) -> None:
        """Remove an item that nobody writes any more."""
        self.said.pop(key, None)
        self._store.remove(key)

    @contextlib.asynccontextmanager
    async def copying(self) -> AsyncIterator[None]:
        """Copy the store while the context is open."""
        copying = asyncio.create_task(self._copy())
        try:
            yield
        finally:
            for task in (copying, *self._tasks):
                task.cancel()

    def come_back(self, age_s: float) -> None:
        """Let the store come back from a copy of that age."""
        n_before = min(len(self._copies), 1 + int(age_s / COPIES_S))
        if not n_before:
            return
        self._store.restore_from(self._copies[-n_before])
        self._copies = [self._store.take_backup()]
        task = asyncio.create_task(self._write_again(self._store.era))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _copy(self) -> None:
        while True:
            self._copies.append(self._store.take_backup())
            del self._copies[:-N_COPIES]
            await asyncio.sleep(COPIES_S)

    async def _write_again(self, era: int) -> None:
        """Write all items again, in any order; later remove what nobody has written."""
        keys = list(self.said)
        self._rng.shuffle(keys)
        for key in keys:
            await asyncio.sleep(self._rng.uniform(0.0, 2.0 * BEAT_S / len(keys)))
            if key in self.said:
                self._store.put(key, self.said[key])
        await asyncio.sleep(EXPIRY_S)
        if self._store.era == era:
            for key in self._store.written_keys():
                if key not in self.said:
                    self._store.remove(key)
