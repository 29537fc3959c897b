"""Restores the store of a soak test from backups and rewrites the live entries."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from typing import Final

from trefoilpaddle.standins.platform.site import Site
from trefoilpaddle.standins.platform.store import StoreBackup

BACKUP_PERIOD_S: Final = 0.25
N_BACKUPS: Final = 40

HEARTBEAT_S: Final = 1.2
"""Mean time after a restore until all live items are written again."""

EXPIRY_S: Final = 3.6
"""Time after the rewrites until entries without a live writer expire."""


class StoreRestores:
    """Takes backups of the store periodically, and restores it from one.

    Parameters
    ----------
    site : Site
        Site whose store is restored.
    rng : random.Random
        Draws the order and the delays of the rewrites.

    Attributes
    ----------
    written : dict of str to object
        Current value of each key with a live writer: a worker or the operator.
    """

    def __init__(self, *, site: Site, rng: random.Random) -> None:
        self._store = site.store
        self._rng = rng
        self._backups: list[StoreBackup] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.written: dict[str, object] = {}

    def write(self, key: str, value: object) -> None:
        """Write an item that is written again after a restore."""
        self.written[key] = value
        self._store.put(key, value)

    def remove(self, key: str) -> None:
        """Remove an item, which is not written again after a restore."""
        self.written.pop(key, None)
        self._store.remove(key)

    @contextlib.asynccontextmanager
    async def taking_backups(self) -> AsyncIterator[None]:
        """Take backups of the store while the context is open."""
        taking_backups = asyncio.create_task(self._take_backups())
        try:
            yield
        finally:
            for task in (taking_backups, *self._tasks):
                task.cancel()

    def restore(self, age_s: float) -> None:
        """Restore the store from a backup that is `age_s` old, or the oldest one."""
        n_back = min(len(self._backups), 1 + int(age_s / BACKUP_PERIOD_S))
        if not n_back:
            return
        self._store.restore_from(self._backups[-n_back])
        self._backups = [self._store.take_backup()]
        task = asyncio.create_task(self._rewrite(self._store.era))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _take_backups(self) -> None:
        while True:
            self._backups.append(self._store.take_backup())
            del self._backups[:-N_BACKUPS]
            await asyncio.sleep(BACKUP_PERIOD_S)

    async def _rewrite(self, era: int) -> None:
        """Write all live items again in random order; later remove the others."""
        keys = list(self.written)
        self._rng.shuffle(keys)
        for key in keys:
            await asyncio.sleep(self._rng.uniform(0.0, 2.0 * HEARTBEAT_S / len(keys)))
            if key in self.written:
                self._store.put(key, self.written[key])
        await asyncio.sleep(EXPIRY_S)
        if self._store.era == era:
            for key in self._store.written_keys():
                if key not in self.written:
                    self._store.remove(key)
