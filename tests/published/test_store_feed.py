"""A gateway's view of the store: versions, workers, loss and return."""

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
    """Answers each read with the next of `answers`."""

    def __init__(self, *answers: Answer) -> None:
        self.answers = list(answers)
        self.asked: list[int] = []

    async def snapshot(self) -> Answer:
        self.asked.append(0)
        return self.answers.pop(0)

    async def changes(self, after: StorePosition) -> Answer:
        self.asked.append(after.revision)
        return self.answers.pop(0)


class Rig:
    """A feed over a scripted store and scripted peers."""

    def __init__(self, *answers: Answer) -> None:
        self.store = FakeStore(*answers)
        self.workers = WorkerTable()
        self.tables: list[int] = []
        self.states: list[StoreState] = []
        self.notes = journal()
        own = process("g")
        self.feed = StoreFeed(
            store=self.store,
            workers=self.workers,
            on_table=lambda table: self.tables.append(table.table.version),
            journal=self.notes,
            relay=StoreRelay(process=own, workers=self.workers),
            readers=StoreReaders(process=own, live=list),
            query_peers=self._ask(),
            decode=lambda data: published(int(data)),
        )

    def _ask(self) -> Callable[[], Awaitable[list[StoreState]]]:
        async def ask() -> list[StoreState]:
            return self.states

        return ask

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
    async def test_an_older_table_is_never_taken(self) -> None:
        # A read answered late brings the version before a key was revoked.
        rig = Rig(
            changes(1, table=published(5)),
            changes(2, table=published(4)),
            changes(3, table=published(7)),
        )
        await rig.read(3)
        assert rig.tables == [5, 7]

    async def test_lost_history_is_listed_anew(self) -> None:
        rig = Rig(
            changes(1, "a", "b"), Err(StoreFault.HISTORY_LOST), changes(9, "b", "c")
        )
        await rig.read(2)
        assert rig.store.asked == [0, 1, 0]
        assert sorted(rig.workers.ids()) == ["b", "c"]


class TestReading:
    async def test_one_answer_that_cannot_be_taken_does_not_end_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The store answers once with what nobody foresaw. A reader that ends
        # there leaves its gateway with old routes and keys for good.
        monkeypatch.setattr(store_feed, "POLL_S", 0.01)
        monkeypatch.setattr(store_feed, "RETRY_S", 0.01)
        rig = Rig(changes(1, "a"))

        async def fail(after: StorePosition) -> Answer:
            if len(rig.store.asked) < 3:
                rig.store.asked.append(after.revision)
                raise ValueError("unforeseen")
            return changes(7, "b")

        monkeypatch.setattr(rig.store, "changes", fail)
        reading = asyncio.create_task(rig.feed.run())
        await until(lambda: "b" in rig.workers.ids())
        reading.cancel()

    async def test_a_slow_answer_does_not_put_off_the_next_read(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The store takes a quarter of a second for each answer. With the time to
        # the next read counted from the answer, a reader told the others every
        # 0.85 s. They read by themselves after 0.8 s: all instead of two.
        now_s = 1000.0
        asked_s: list[float] = []
        pause = asyncio.sleep

        async def sleep(for_s: float) -> None:
            nonlocal now_s
            now_s += for_s
            await pause(0)

        rig = Rig(changes(1, "a"))

        async def answer(after: StorePosition) -> Answer:
            nonlocal now_s
            asked_s.append(now_s)
            now_s += 0.25
            return changes(after.revision)

        monkeypatch.setattr(rig.store, "changes", answer)
        monkeypatch.setattr(
            store_feed, "time", SimpleNamespace(monotonic=lambda: now_s)
        )
        monkeypatch.setattr(store_feed, "asyncio", SimpleNamespace(sleep=sleep))
        reading = asyncio.create_task(rig.feed.run())
        await until(lambda: len(asked_s) > 3)
        reading.cancel()
        between_s = [later - one for one, later in pairwise(asked_s[:4])]
        assert between_s == pytest.approx([store_feed.POLL_S] * 3)


class TestWorkers:
    async def test_one_that_is_removed_is_gone_at_once(self) -> None:
        rig = Rig(changes(1, "a"), changes(2, removed=("a",)))
        await rig.read(2)
        assert rig.workers.ids() == []

    async def test_entries_that_lapsed_while_the_store_was_away_may_come_back(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The store is down for five seconds. When it is back all entries have
        # run out; the workers live and write again within two seconds. Taken
        # at its word, the store would leave no worker at all until then.
        monkeypatch.setattr(store_view, "RECOVERY_GRACE_S", 0.05)
        rig = Rig(
            changes(1, "a", "b"),
            Err(StoreFault.SILENT),
            changes(2, removed=("a", "b")),
            changes(3, "a"),
            changes(4),
        )
        await rig.read(3)
        assert sorted(rig.workers.ids()) == ["a", "b"]
        await rig.read(1)
        await asyncio.sleep(0.06)
        await rig.read(1)
        assert rig.workers.ids() == ["a"]


class TestForeignEntries:
    def withdrawn(self, revision: int, worker_id: str) -> Answer:
        entry = UnreadableEntry(worker_id=worker_id, problem="no address")
        return Ok(
            StoreChanges(position=StorePosition(revision=revision), unreadable=(entry,))
        )

    async def test_a_worker_is_withdrawn_and_comes_back(self) -> None:
        # Another writer overwrites a worker's entry; the worker writes again
        # with its next heartbeat.
        rig = Rig(changes(1, "a", "b"), self.withdrawn(2, "a"), changes(3, "a"))
        await rig.read(2)
        assert rig.workers.ids() == ["b"]
        await rig.read(1)
        assert sorted(rig.workers.ids()) == ["a", "b"]

    async def test_it_is_withdrawn_also_after_the_store_was_away(self) -> None:
        # Entries that ran out meanwhile are given time to come back. One that
        # was overwritten did not run out.
        rig = Rig(changes(1, "a"), Err(StoreFault.SILENT), self.withdrawn(2, "a"))
        await rig.read(3)
        assert rig.workers.ids() == []

    async def test_each_is_logged_once(self) -> None:
        # It is written again with every heartbeat.
        rig = Rig(changes(1, "a"), *(self.withdrawn(n, "a") for n in range(2, 9)))
        await rig.read(8)
        decisions = [record.decision for record in rig.notes.recent()]
        lines = [d for d in decisions if d.event is Event.ENTRY_UNREADABLE]
        assert [(line.peer, line.detail) for line in lines] == [("a", "no address")]


class TestPeers:
    async def test_a_gateway_that_is_turned_away_learns_from_peers(self) -> None:
        # The store serves the other gateways and refuses this one. A key is
        # revoked and a worker leaves: both must be known here as well.
        state = StoreState(
            revision=8,
            version=6,
            data=b"6",
            workers=[ListedWorker(worker_id="b", service_name="plain")],
        )
        rig = Rig(changes(1, "a", table=published(5)), Err(StoreFault.REFUSED))
        await rig.read(1)
        rig.states.append(state)
        await rig.read(1)
        await rig.feed.read_peers()
        assert rig.tables == [5, 6]
        assert rig.feed.is_unavailable

    async def test_what_a_peer_knows_less_of_is_not_taken(self) -> None:
        state = StoreState(revision=1, version=4, data=b"4", workers=[])
        rig = Rig(changes(7, "a", table=published(5)))
        await rig.read(1)
        rig.states.append(state)
        await rig.feed.read_peers()
        assert rig.tables == [5]
        assert rig.workers.ids() == ["a"]

    async def test_nothing_known_is_not_ready(self) -> None:
        rig = Rig(Err(StoreFault.SILENT))
        await rig.read(1)
        assert not rig.feed.is_known
