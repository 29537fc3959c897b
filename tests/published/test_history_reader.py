"""A gateway reads the store's history after the loss of all."""

import asyncio
import math
from typing import Final

import pytest
from result import Err, Ok, Result

from trefoilpaddle.coordination.published.history_reader import (
    READ_AT_MOST_S,
    HistoryReader,
)
from trefoilpaddle.coordination.published.published_store import StoreFault
from trefoilpaddle.state.chain.served_versions import MAX_KNOWN_S, ServedVersions
from trefoilpaddle.state.chain.store_history import EntryWrite
from trefoilpaddle.state.chain.workers import WorkerTable

from ..chain.test_version_splits import SERVICE, Store
from ..chain.virtual_time import run_virtual

KEPT_S: Final = 20.0
WAIT_S: Final = 0.8
WRITE_PERIOD_S: Final = 1.2
CALL_S: Final = 0.004
LIFE_S: Final = 15.0


class Source:
    """A store that keeps all changes after a revision."""

    def __init__(self, store: Store, *, kept_after: int = 0) -> None:
        self.store = store
        self.kept_after = kept_after
        self.call_s = CALL_S
        self.fault: StoreFault | None = None
        self.n_calls = 0

    async def listed_entries(self) -> Result[tuple[list[EntryWrite], int], StoreFault]:
        await self._call()
        if self.fault is not None:
            return Err(self.fault)
        return Ok((list(self.store.items.values()), len(self.store.events)))

    async def is_kept(self, revision: int) -> Result[bool, StoreFault]:
        await self._call()
        return Ok(revision >= self.kept_after)

    async def entry_changes(
        self, revision: int
    ) -> Result[list[EntryWrite], StoreFault]:
        await self._call()
        if revision < self.kept_after:
            return Err(StoreFault.HISTORY_LOST)
        return Ok([e for e in self.store.events if e.revision > revision])

    async def _call(self) -> None:
        self.n_calls += 1
        await asyncio.sleep(self.call_s)


class Rig:
    """A gateway that has just started beside a store."""

    def __init__(self, source: Source, *, kept_s: float = KEPT_S) -> None:
        self.workers = WorkerTable()
        self.served = ServedVersions(workers=self.workers)
        self.reader = HistoryReader(
            source=source,
            served=self.served,
            workers=self.workers,
            kept_s=kept_s,
            write_period_s=WRITE_PERIOD_S,
        )
        for write in source.store.items.values():
            if write.worker is not None:
                self.workers.put(write.worker)

    async def sole_version(self) -> str | None:
        await asyncio.sleep(0)
        await self.reader.read(wait_s=WAIT_S)
        return self.served.sole_version(SERVICE, LIFE_S)


def store_of(*versions: str, n_others: int = 0) -> Store:
    """Return a store whose configuration was written some times after its workers."""
    store = Store()
    store.put_other()
    for number, version in enumerate(versions):
        store.put(f"w{number}", version)
    for _ in range(n_others):
        store.put_other()
    return store


class TestRead:
    @pytest.mark.parametrize("n_others", [0, 3, 40, 5000])
    @pytest.mark.parametrize("n_kept", [0, 1, 30])
    def test_the_oldest_kept_revision_is_found_with_few_calls(
        self, n_others: int, n_kept: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            source = Source(store_of("v1", "v1", n_others=n_others))
            source.kept_after = max(0, len(source.store.events) - n_kept)
            rig = Rig(source)
            assert await rig.sole_version() == "v1"
            assert rig.served.known_s >= KEPT_S
            assert source.n_calls <= 20

        run_virtual(monkeypatch, scenario())

    def test_a_history_without_gaps_reaches_back_without_limit(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            source = Source(store_of("v1", "v1"), kept_after=3)
            rig = Rig(source, kept_s=0.0)
            assert await rig.sole_version() == "v1"
            assert rig.served.known_s == MAX_KNOWN_S

        run_virtual(monkeypatch, scenario())

    def test_gaps_leave_it_unknown_if_it_is_not_stated_how_long_changes_are_kept(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a history that was dropped and is taken for a quiet one.
        async def scenario() -> None:
            store = store_of("v1", "v1", "v2")
            store.remove("w2")
            rig = Rig(Source(store, kept_after=len(store.events)), kept_s=0.0)
            assert await rig.sole_version() is None

        run_virtual(monkeypatch, scenario())

    def test_a_version_that_was_removed_in_the_kept_time_is_not_ruled_out(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against streams that are joined from two versions.
        async def scenario() -> None:
            store = store_of("v1", "v1", "v2")
            store.remove("w2")
            for kept_after in range(len(store.events)):
                rig = Rig(Source(store, kept_after=kept_after))
                assert await rig.sole_version() is None

        run_virtual(monkeypatch, scenario())

    def test_a_history_that_was_dropped_shows_where_workers_write_periodically(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against streams joined from two versions, one of which left before
        # the store dropped its history sooner than stated.
        async def scenario() -> None:
            for n_periods, is_known in ((3, False), (20, True)):
                store = store_of("v1", "v1", "v2")
                store.remove("w2")
                kept_after = len(store.events)
                for _ in range(n_periods):
                    store.put("w0", "v1")
                    store.put("w1", "v1")
                rig = Rig(Source(store, kept_after=kept_after))
                assert (await rig.sole_version() == "v1") is is_known

        run_virtual(monkeypatch, scenario())

    def test_a_later_revision_counts_only_once_it_is_dropped(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against streams joined from two versions, one of which left between
        # the oldest kept revision and the one that could be read.
        async def scenario() -> None:
            store = store_of("v1", "v1", "v2", n_others=500)
            store.remove("w2")
            for _ in range(500):
                store.put_other()
            source = Source(store, kept_after=500)
            entry_changes = source.entry_changes

            async def drop_and_read(
                revision: int,
            ) -> Result[list[EntryWrite], StoreFault]:
                if source.kept_after == 500:
                    source.kept_after = 501
                return await entry_changes(revision)

            monkeypatch.setattr(source, "entry_changes", drop_and_read)
            rig = Rig(source)
            assert await rig.sole_version() is None
            assert rig.served.known_s < KEPT_S
            source.kept_after = 600
            assert await rig.sole_version() == "v1"
            assert rig.served.known_s >= KEPT_S

        run_virtual(monkeypatch, scenario())

    def test_a_history_that_was_dropped_is_not_taken_for_a_quiet_one(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against the same where workers write only when something changes.
        async def scenario() -> None:
            store = store_of("v1", "v1", "v2")
            store.remove("w2")
            rig = Rig(Source(store, kept_after=len(store.events)))
            assert await rig.sole_version() is None

        run_virtual(monkeypatch, scenario())

    @pytest.mark.parametrize("fault", list(StoreFault))
    def test_a_store_that_refuses_leaves_it_unknown_until_it_answers(
        self, fault: StoreFault, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            source = Source(store_of("v1"))
            source.fault = fault
            rig = Rig(source)
            assert await rig.sole_version() is None
            source.fault = None
            await asyncio.sleep(1.0)
            assert await rig.sole_version() == "v1"

        run_virtual(monkeypatch, scenario())

    def test_a_slow_store_is_given_up_and_not_waited_for(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against resumed streams that are held while the store is slow.
        async def scenario() -> None:
            source = Source(store_of("v1", n_others=500), kept_after=400)
            source.call_s = 2.25
            rig = Rig(source)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            assert await rig.sole_version() is None
            assert loop.time() - began_s == pytest.approx(WAIT_S, abs=0.01)
            await asyncio.sleep(2 * READ_AT_MOST_S)
            assert rig.served.known_s < math.inf
            assert source.n_calls <= 3

        run_virtual(monkeypatch, scenario())
