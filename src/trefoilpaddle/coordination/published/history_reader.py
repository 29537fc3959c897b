"""Reads the history of the store once no gateway is left that knew the workers before.

A stream that is resumed then goes on at the version that the history leaves no doubt
about. Few gateways read it, and only once such a stream is resumed.
"""

import asyncio
import math
import time
from typing import Final, Protocol

from absl import logging
from result import Err, Ok, Result

from ...state.chain.served_versions import ServedVersions
from ...state.chain.store_history import (
    EntryWrite,
    StoreHistory,
    earlier_splits,
    kept_splits,
    written_s,
)
from ...state.chain.workers import WorkerTable
from .published_store import StoreFault

READ_AT_MOST_S: Final = 5.0
"""Longest time for reading the history; streams are refused meanwhile."""

RETRY_S: Final = 0.5
"""Shortest time between two attempts to read it."""

FIRST_STEP: Final = 16
STEP_FACTOR: Final = 8
"""By how many revisions, and by which factor, the search goes back."""

DROPPED_POLL_S: Final = 0.05
"""Period in seconds of the check whether the store has dropped a revision."""

MAX_ENTRIES: Final = 50_000
"""Longest history that is read, in writes; some 15 MB."""


class HistorySource(Protocol):
    """Reads what the store knows of its entries; implements the store's protocol."""

    async def listed_entries(self) -> Result[tuple[list[EntryWrite], int], StoreFault]:
        """Return all entries, and a revision up to which none is missing."""

    async def is_kept(self, revision: int) -> Result[bool, StoreFault]:
        """Return True if the store still knows all changes after a revision."""

    async def entry_changes(
        self, revision: int
    ) -> Result[list[EntryWrite], StoreFault]:
        """Return all changes after a revision, oldest first.

        `StoreFault.HISTORY_LOST` if the store does not know all of them any more.
        """


class HistoryReader:
    """Extends what is known of the workers by what the store knows of the past.

    Parameters
    ----------
    source : HistorySource
        Reads the store.
    served : ServedVersions
        Is extended.
    workers : WorkerTable
        The listed workers.
    kept_s : float
        Seconds for which the store keeps changes, as its operators state; 0 if they do
        not, then only a history without gaps counts.
    write_period_s : float
        Seconds between two writes of a worker, if it writes periodically.
    """

    __slots__ = (
        "_is_read",
        "_kept_s",
        "_reading",
        "_served",
        "_source",
        "_tried_s",
        "_workers",
        "_write_period_s",
    )

    def __init__(
        self,
        *,
        source: HistorySource,
        served: ServedVersions,
        workers: WorkerTable,
        kept_s: float,
        write_period_s: float = 0.0,
    ) -> None:
        self._source = source
        self._write_period_s = write_period_s
        self._served = served
        self._workers = workers
        self._kept_s = kept_s
        self._reading: asyncio.Task[None] | None = None
        self._is_read = False
        self._tried_s = -math.inf

    async def read(self, *, wait_s: float) -> None:
        """Read the history unless it was; wait for it for a bounded time."""
        if self._is_read:
            return
        if self._reading is None:
            if time.monotonic() - self._tried_s < RETRY_S:
                return
            self._tried_s = time.monotonic()
            self._reading = asyncio.create_task(self._run())
        await asyncio.wait({self._reading}, timeout=wait_s)

    def close(self) -> None:
        """Stop reading."""
        if self._reading is not None:
            self._reading.cancel()

    async def _run(self) -> None:
        try:
            async with asyncio.timeout(READ_AT_MOST_S):
                match await self._history():
                    case Ok(history):
                        self._is_read = self._apply(history)
                    case Err(fault):
                        logging.warning("the store's history is unknown: %s", fault)
        except TimeoutError:
            logging.warning("the store's history was not read in time")
        except Exception:
            logging.exception("the store's history could not be read")
        finally:
            self._reading = None

    def _apply(self, history: StoreHistory) -> bool:
        """Extend what is known here by a history; return True if that was possible."""
        evacuated = self._workers.evacuated
        kept = kept_splits(history, evacuated)
        earlier = None if kept is None else earlier_splits(history, evacuated)
        is_extended = True
        if kept is not None:
            if not history.after:
                is_extended = self._served.extend(kept, since_s=-math.inf)
            elif self._kept_s or earlier is not None:
                since_s = time.monotonic() - self._reaches_back_s(history)
                is_extended = self._served.extend(kept, since_s=since_s)
            if earlier is not None:
                self._served.extend(earlier, since_s=-math.inf)
        logging.info(
            "history of the store: %d changes since revision %d, %s; workers are known"
            " for %.1f s",
            len(history.changes),
            history.after,
            "failure domains were evacuated" if kept is None else "versions known",
            self._served.known_s,
        )
        return is_extended

    def _reaches_back_s(self, history: StoreHistory) -> float:
        """Return for how many seconds the changes reach back.

        A store may drop its history sooner than stated, which shows only if workers
        write periodically.
        """
        written = written_s(history, self._write_period_s)
        return self._kept_s if written is None else min(self._kept_s, written)

    async def _history(self) -> Result[StoreHistory, StoreFault]:
        match await self._source.listed_entries():
            case Err(fault):
                return Err(fault)
            case Ok((listed, revision)):
                pass
        match await self._oldest_kept(revision):
            case Err(fault):
                return Err(fault)
            case Ok(after):
                pass
        match await self._changes(after, revision):
            case Err(fault):
                return Err(fault)
            case Ok((changes, after)):
                return Ok(StoreHistory(listed=listed, changes=changes, after=after))

    async def _changes(
        self, oldest: int, newest: int
    ) -> Result[tuple[list[EntryWrite], int], StoreFault]:
        """Return all changes since the oldest kept revision, or a little later one.

        A store with many writes a second may have dropped that revision meanwhile. A
        later one reaches back as far once it is dropped as well.
        """
        after, step = oldest, FIRST_STEP
        changes = await self._source.entry_changes(after)
        while changes == Err(StoreFault.HISTORY_LOST) and after < newest:
            after = min(newest, after + step)
            step *= STEP_FACTOR
            changes = await self._source.entry_changes(after)
        if after > oldest and changes.is_ok():
            match await self._until_dropped(after):
                case Err(fault):
                    return Err(fault)
                case Ok(_):
                    pass
        return changes.map(lambda found: (found, after))

    async def _until_dropped(self, revision: int) -> Result[None, StoreFault]:
        """Wait until the store does not know all changes after a revision any more."""
        while True:
            match await self._source.is_kept(revision):
                case Err(fault):
                    return Err(fault)
                case Ok(False):
                    return Ok(None)
                case Ok(_):
                    await asyncio.sleep(DROPPED_POLL_S)

    async def _oldest_kept(self, revision: int) -> Result[int, StoreFault]:
        """Return the oldest revision since which the store knows all changes."""
        kept, lost, step = revision, -1, FIRST_STEP
        while kept and lost < 0:
            tried = max(0, revision - step)
            match await self._source.is_kept(tried):
                case Err(fault):
                    return Err(fault)
                case Ok(is_kept):
                    kept, lost = (tried, lost) if is_kept else (kept, tried)
            step *= STEP_FACTOR
        while kept - lost > 1:
            tried = (kept + lost) // 2
            match await self._source.is_kept(tried):
                case Err(fault):
                    return Err(fault)
                case Ok(is_kept):
                    kept, lost = (tried, lost) if is_kept else (kept, tried)
        if revision - kept > MAX_ENTRIES:
            return Err(StoreFault.HISTORY_LOST)
        return Ok(kept)
