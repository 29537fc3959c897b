"""A gateway's view of the store: versions, workers, loss and recovery."""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import pairwise
from types import SimpleNamespace

import pytest
from result import Err, Ok, Result

from trefoilpaddle.coordination.published import store_feed, store_view
from trefoilpaddle.coordination.published.published_store import (
    PublishedTable,
    StoreChanges,
    StoreFault,
    UnreadableEntry,
)
from trefoilpaddle.coordination.published.store_feed import StoreFeed
from trefoilpaddle.coordination.published.store_position import StorePosition
from trefoilpaddle.coordination.published.store_readers import StoreReaders
from trefoilpaddle.coordination.published.store_relay import StoreRelay
from trefoilpaddle.protocol.gen.chain.ttypes import ListedWorker, StoreState
from trefoilpaddle.state.chain.routes import RouteTable
from trefoilpaddle.state.chain.workers import WorkerTable
from trefoilpaddle.state.journal import Event

from ..chain.fakes import journal, process, worker
from ..waiting import until

Answer = Result[StoreChanges, StoreFault]


def published(version: int) -> PublishedTable:
    return PublishedTable(table=RouteTable(version=version), data=str(version).encode())


class FakeStore:
    """Returns the next of `answers` from each read."""

    def __init__(self, *answers: Answer) -> None:
        self.answers = list(answers)
        self.requested: list[int] = []

    @property
    def is_receiving(self) -> bool:
        return False

    async def snapshot(self) -> Answer:
        self.requested.append(0)
        return self.answers.pop(0)

    async def changes(self, after: StorePosition) -> Answer:
        self.requested.append(after.revision)
        return self.answers.pop(0)


class Harness:
    """A feed with a scripted store and scripted peers."""

    def __init__(self, *answers: Answer) -> None:
        self.store = FakeStore(*answers)
        self.workers = WorkerTable()
        self.tables: list[int] = []
        self.states: list[StoreState] = []
        self.records = journal()
        own = process("g")
        self.feed = StoreFeed(
            store=self.store,
            workers=self.workers,
            on_table=lambda table: self.tables.append(table.table.version),
            journal=self.records,
            relay=StoreRelay(process=own, workers=self.workers),
            readers=StoreReaders(process=own, live=list),
            query_peers=self._query(),
            decode=lambda data: published(int(data)),
        )

    def _query(self) -> Callable[[], Awaitable[list[StoreState]]]:
        async def query() -> list[StoreState]:
            return self.states

        return query

    async def read(self, n: int = 1) -> None:
        for _ in range(n):
            await self.feed.read_once()


def changes(
    revision: int,
    *ids: str,
    table: PublishedTable | None = None,
    removed: tuple[str, ...] = (),
) -> Answer:
    workers = tuple(worker(worker_id) for worker_id in ids)
    return Ok(
        StoreChanges(
            position=StorePosition(revision=revision),
            workers=workers,
            table=table,
            removed=removed,
        )
    )


class TestVersions:
    async def test_an_older_table_is_never_applied(self) -> None:
        # A late response contains the version before a key was revoked.
        harness = Harness(
            changes(1, table=published(5)),
            changes(2, table=published(4)),
            changes(3, table=published(7)),
        )
        await harness.read(3)
        assert harness.tables == [5, 7]

    async def test_the_list_is_read_again_after_a_lost_history(self) -> None:
        harness = Harness(
            changes(1, "a", "b"), Err(StoreFault.HISTORY_LOST), changes(9, "b", "c")
        )
        await harness.read(2)
        assert harness.store.requested == [0, 1, 0]
        assert sorted(harness.workers.ids()) == ["b", "c"]


class TestReading:
    async def test_an_exception_in_one_read_does_not_end_the_loop(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The store once sends a response that raises an unexpected exception. If the
        # read loop ended there, the gateway would keep outdated routes and keys.
        monkeypatch.setattr(store_feed, "POLL_S", 0.01)
        monkeypatch.setattr(store_feed, "RETRY_S", 0.01)
        harness = Harness(changes(1, "a"))

        async def fail(after: StorePosition) -> Answer:
            if len(harness.store.requested) < 3:
                harness.store.requested.append(after.revision)
                raise ValueError("unforeseen")
            return changes(7, "b")

        monkeypatch.setattr(harness.store, "changes", fail)
        reading = asyncio.create_task(harness.feed.run())
        await until(lambda: "b" in harness.workers.ids())
        reading.cancel()

    # Guards against a store that counts as unavailable, so that removed workers stay in
    # use, as a read gave way to a large response.
    async def test_a_read_that_gave_way_is_no_outage(self) -> None:
        harness = Harness(
            changes(1, "a", "b"),
            Err(StoreFault.GAVE_WAY),
            changes(2, removed=("a",)),
        )
        await harness.read(2)
        assert not harness.feed.is_unavailable
        await harness.read()
        assert harness.workers.ids() == ["b"]

    async def test_a_slow_response_does_not_delay_the_next_read(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The store takes a quarter of a second for each response. When the time to the
        # next read was counted from the response, a reader sent an update every 0.85 s.
        # The other gateways read after 0.8 s without one: all instead of two.
        now_s = 1000.0
        asked_s: list[float] = []
        pause = asyncio.sleep

        async def sleep(for_s: float) -> None:
            nonlocal now_s
            now_s += for_s
            await pause(0)

        harness = Harness(changes(1, "a"))

        async def answer(after: StorePosition) -> Answer:
            nonlocal now_s
            asked_s.append(now_s)
            now_s += 0.25
            return changes(after.revision)

        monkeypatch.setattr(harness.store, "changes", answer)
        monkeypatch.setattr(
            store_feed, "time", SimpleNamespace(monotonic=lambda: now_s)
        )
        monkeypatch.setattr(store_feed, "asyncio", SimpleNamespace(sleep=sleep))
        reading = asyncio.create_task(harness.feed.run())
        await until(lambda: len(asked_s) > 3)
        reading.cancel()
        between_s = [later - one for one, later in pairwise(asked_s[:4])]
        assert between_s == pytest.approx([store_feed.POLL_S] * 3)


class TestWorkers:
    async def test_a_removed_worker_is_dropped_at_once(self) -> None:
        harness = Harness(changes(1, "a"), changes(2, removed=("a",)))
        await harness.read(2)
        assert harness.workers.ids() == []

    async def test_entries_that_expired_during_an_outage_have_a_grace_period(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The store is unavailable for five seconds, and all entries have expired when
        # it recovers. The workers live and write again within two seconds. If the
        # store's list were applied at once, there would be no worker until then.
        monkeypatch.setattr(store_view, "RECOVERY_GRACE_S", 0.05)
        harness = Harness(
            changes(1, "a", "b"),
            Err(StoreFault.SILENT),
            changes(2, removed=("a", "b")),
            changes(3, "a"),
            changes(4),
        )
        await harness.read(3)
        assert sorted(harness.workers.ids()) == ["a", "b"]
        await harness.read(1)
        await asyncio.sleep(0.06)
        await harness.read(1)
        assert harness.workers.ids() == ["a"]


class TestOverwrittenEntries:
    def withdrawn(self, revision: int, worker_id: str) -> Answer:
        entry = UnreadableEntry(worker_id=worker_id, problem="no address")
        return Ok(
            StoreChanges(position=StorePosition(revision=revision), unreadable=(entry,))
        )

    async def test_a_worker_is_withdrawn_and_listed_again(self) -> None:
        # Another writer overwrites a worker's entry; the worker writes again
        # with its next heartbeat.
        harness = Harness(changes(1, "a", "b"), self.withdrawn(2, "a"), changes(3, "a"))
        await harness.read(2)
        assert harness.workers.ids() == ["b"]
        await harness.read(1)
        assert sorted(harness.workers.ids()) == ["a", "b"]

    async def test_a_worker_is_withdrawn_after_an_outage_too(self) -> None:
        # Expired entries have a grace period; an overwritten entry has not expired.
        harness = Harness(
            changes(1, "a"), Err(StoreFault.SILENT), self.withdrawn(2, "a")
        )
        await harness.read(3)
        assert harness.workers.ids() == []

    async def test_each_entry_is_logged_once(self) -> None:
        # The entry is written again with every heartbeat.
        harness = Harness(
            changes(1, "a"), *(self.withdrawn(n, "a") for n in range(2, 9))
        )
        await harness.read(8)
        decisions = [record.decision for record in harness.records.recent()]
        lines = [d for d in decisions if d.event is Event.ENTRY_UNREADABLE]
        assert [(line.peer, line.detail) for line in lines] == [("a", "no address")]


class TestPeers:
    async def test_a_refused_gateway_learns_from_peers(self) -> None:
        # The store serves the other gateways and refuses this one. A key is revoked
        # and a worker leaves: this gateway must learn of both.
        state = StoreState(
            revision=8,
            version=6,
            data=b"6",
            workers=[ListedWorker(worker_id="b", service_name="plain")],
        )
        harness = Harness(changes(1, "a", table=published(5)), Err(StoreFault.REFUSED))
        await harness.read(1)
        harness.states.append(state)
        await harness.read(1)
        await harness.feed.read_peers()
        assert harness.tables == [5, 6]
        assert harness.feed.is_unavailable

    async def test_the_state_of_a_peer_that_lags_is_not_applied(self) -> None:
        state = StoreState(revision=1, version=4, data=b"4", workers=[], evacuated=[])
        harness = Harness(changes(7, "a", table=published(5)))
        await harness.read(1)
        harness.states.append(state)
        await harness.feed.read_peers()
        assert harness.tables == [5]
        assert harness.workers.ids() == ["a"]

    async def test_a_gateway_without_a_table_is_not_ready(self) -> None:
        harness = Harness(Err(StoreFault.SILENT))
        await harness.read(1)
        assert not harness.feed.is_known
