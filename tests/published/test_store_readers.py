"""Few gateways read the store, the others hear of it and miss nothing."""

import asyncio
import time
from collections.abc import Sequence

import pytest
from result import Err, Ok
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from trefoilpaddle.coordination.published import store_feed, store_readers, store_view
from trefoilpaddle.coordination.published.published_store import (
    PublishedTable,
    StoreChanges,
    StoreFault,
    UnreadableEntry,
)
from trefoilpaddle.coordination.published.store_feed import POLL_S, StoreFeed
from trefoilpaddle.coordination.published.store_position import StorePosition
from trefoilpaddle.coordination.published.store_readers import (
    MAX_REGION_GROUP_SIZE,
    N_READERS,
    StoreReaders,
)
from trefoilpaddle.coordination.published.store_relay import StoreRelay
from trefoilpaddle.coordination.published.table_change import change_between
from trefoilpaddle.protocol.frames import HEADER, Message, encode
from trefoilpaddle.protocol.gen.chain.ttypes import ListedWorker, StoreNews, StoreState
from trefoilpaddle.state.chain.routes import RouteTable
from trefoilpaddle.state.chain.workers import WorkerTable
from trefoilpaddle.state.members import MemberRecord
from trefoilpaddle.transport.connection import Address

from ..chain.fakes import journal, process
from ..chain.test_chain_router import member
from .test_store_feed import Answer, FakeStore, changes, published


class SentLink:
    """A link that keeps what is sent on it."""

    def __init__(self, sent: list[StoreNews]) -> None:
        self._sent = sent

    def send(self, message: Message) -> bool:
        self._sent.append(message)
        return True


class SentPeers:
    """Links to peers, all of which keep what is sent in one list."""

    def __init__(self) -> None:
        self.sent: list[StoreNews] = []

    def link(self, address: Address) -> SentLink:
        return SentLink(self.sent)


class Rig:
    """One gateway's feed among `members`."""

    def __init__(
        self, own_id: str, members: Sequence[MemberRecord], *answers: Answer
    ) -> None:
        own = process(own_id)
        self.peers = SentPeers()
        own.peers = self.peers  # type: ignore[assignment]
        self.store = FakeStore(*answers)
        self.workers = WorkerTable()
        self.tables: list[int] = []
        self.readers = StoreReaders(process=own, live=lambda: list(members))
        self.feed = StoreFeed(
            store=self.store,
            workers=self.workers,
            on_table=lambda table: self.tables.append(table.table.version),
            journal=journal(),
            relay=StoreRelay(process=own, workers=self.workers),
            readers=self.readers,
            query_peers=self._ask,
            decode=lambda data: published(int(data)),
        )

    async def _ask(self) -> list[StoreState]:
        return []

    def hear(self, news: StoreNews) -> None:
        self.readers._on_message(None, news)  # type: ignore[arg-type]


def listed(
    worker_id: str, *, is_leaving: bool = False, born_ms: int = 0
) -> ListedWorker:
    return ListedWorker(
        worker_id=worker_id,
        service_name="plain",
        address=f"{worker_id}:1",
        failure_domain="here",
        is_leaving=is_leaving,
        born_ms=born_ms,
    )


def news(rig: Rig, base: int, revision: int, **fields: object) -> StoreNews:
    """Return news that fit `rig` as it is now, but for `fields`."""
    known: dict[str, object] = {"version": 5, "digest": rig.workers.digest}
    return StoreNews(base_revision=base, revision=revision, **(known | fields))  # type: ignore[arg-type]


def _compact(data: bytes) -> TCompactProtocolAccelerated:
    return TCompactProtocolAccelerated(TMemoryBuffer(data), fallback=False)


GROUP = [member(name, number) for number, name in enumerate("abcd")]
FIRST = changes(1, "w1", "w2", table=published(5))


async def follower(*answers: Answer) -> Rig:
    """Return the youngest of four gateways, which has read the store once."""
    rig = Rig("d", GROUP, FIRST, *answers)
    await rig.feed.read_once()
    return rig


PACKET_HEADER_BYTES = 66
CONTROL_BYTES_PER_S = 17_000
"""What a host may send for control, as the size that decides the design states."""


class TestWhoReads:
    def test_the_first_of_a_group_read(self) -> None:
        reading = [name for name in "abcd" if Rig(name, GROUP).readers.is_reader()]
        assert len(reading) == N_READERS
        assert reading == ["a", "b"]

    # 68 gateways stand in six failure domains. Four more than a group may have, they
    # were six groups with twelve readers, which paid for 1,386 reads of a calm day.
    def test_a_region_of_some_ten_hosts_a_domain_has_two_readers(self) -> None:
        group = [member(f"g{n}", n, f"d{n % 6}") for n in range(80)]
        reading = [m for m in group if Rig(m.process_id, group).readers.is_reader()]
        assert len(reading) == N_READERS

    def test_a_reader_of_the_largest_group_stays_within_its_bytes(self) -> None:
        calm = StoreNews(
            base_revision=10**6, revision=10**6 + 99, version=999, digest=2**62
        )
        n_bytes = (MAX_REGION_GROUP_SIZE - 1) * (
            len(encode(calm)) + PACKET_HEADER_BYTES
        )
        assert n_bytes / POLL_S <= CONTROL_BYTES_PER_S

    def test_a_large_region_has_readers_in_each_failure_domain(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(store_readers, "MAX_REGION_GROUP_SIZE", 3)
        near = [member(name, number, "here") for number, name in enumerate("cd")]
        far = [member(name, number, "far") for number, name in enumerate("ab", -9)]
        assert Rig("d", near + far).readers.is_reader()

    async def test_one_that_is_told_does_not_read(self) -> None:
        rig = await follower()
        rig.hear(news(rig, 1, 2))
        assert not rig.readers.must_read()

    async def test_one_that_has_read_does_not_read_again_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(store_readers, "UPDATE_TIMEOUT_S", 0.05)
        rig = await follower()
        rig.readers.record_read(is_answered=True)
        assert not rig.readers.must_read()
        await asyncio.sleep(0.06)
        assert rig.readers.must_read()
        rig.readers.record_read(is_answered=False)
        assert rig.readers.must_read(), "nobody has said anything"

    async def test_one_that_is_not_told_reads_itself(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # All readers of the group are killed at the same moment. Its members
        # learn of it seconds later; keys that are revoked meanwhile must not
        # stay in force until then.
        monkeypatch.setattr(store_readers, "UPDATE_TIMEOUT_S", 0.05)
        rig = await follower()
        rig.hear(news(rig, 1, 2))
        await asyncio.sleep(0.06)
        assert rig.readers.must_read()

    async def test_a_reader_tells_all_others_after_each_read(self) -> None:
        rig = Rig("a", GROUP, FIRST, changes(2, "w1"), changes(3, removed=("w2",)))
        for _ in range(3):
            await rig.feed.read_once()
        told = rig.peers.sent[:: len(GROUP) - 1]
        assert len(rig.peers.sent) == 3 * (len(GROUP) - 1)
        assert [(each.base_revision, each.revision) for each in told] == [
            (0, 1),
            (1, 2),
            (2, 3),
        ]
        # A worker that only says that it lives is no news.
        assert [len(each.workers) for each in told] == [2, 0, 0]
        assert told[2].removed == ["w2"]

    async def test_one_that_cannot_read_tells_nothing(self) -> None:
        rig = Rig("a", GROUP, FIRST, Err(StoreFault.REFUSED))
        await rig.feed.read_once()
        rig.peers.sent.clear()
        await rig.feed.read_once()
        assert not rig.peers.sent


class TestNews:
    async def test_workers_come_and_go_by_it(self) -> None:
        rig = await follower()
        rig.hear(news(rig, 1, 4, workers=[listed("w3")], removed=["w1"]))
        assert sorted(rig.workers.ids()) == ["w2", "w3"]
        assert rig.feed.position.revision == 4

    async def test_a_later_start_of_a_worker_is_heard_of(self) -> None:
        rig = await follower()
        before = rig.workers.digest
        rig.hear(news(rig, 1, 2, workers=[listed("w1", born_ms=9)]))
        known = rig.workers.get("w1")
        assert known is not None and known.born_ms == 9
        assert rig.workers.digest != before

    async def test_a_withdrawn_worker_is_heard_of(self) -> None:
        rig = await follower()
        rig.hear(news(rig, 1, 2, withdrawn=["w1"], back_ms=0))
        assert rig.workers.ids() == ["w2"]

    async def test_a_reader_tells_what_it_withdraws(self) -> None:
        entry = UnreadableEntry(worker_id="w1", problem="no address")
        foreign = Ok(
            StoreChanges(position=StorePosition(revision=2), unreadable=(entry,))
        )
        rig = Rig("a", GROUP, FIRST, foreign)
        for _ in range(2):
            await rig.feed.read_once()
        assert rig.peers.sent[-1].withdrawn == ["w1"]

    async def test_what_leads_on_from_later_is_not_enough(self) -> None:
        # A connection to the reader breaks and news on it are lost, one of them
        # that a worker is leaving.
        rig = await follower()
        rig.hear(news(rig, 3, 4))
        assert rig.readers.must_read()
        assert rig.feed.position.revision == 1

    async def test_a_newer_table_is_read_at_once(self) -> None:
        rig = await follower(changes(2, table=published(6)))
        rig.hear(news(rig, 1, 2, version=6))
        assert rig.readers.must_read()
        await rig.feed.read_once()
        assert rig.tables == [5, 6]
        assert rig.store.asked == [0, 1]

    async def test_a_newer_table_that_is_told_is_in_force_at_once(self) -> None:
        rig = await follower()
        change = change_between(published(5), published(6))
        rig.hear(news(rig, 1, 2, version=6, table=change))
        assert rig.tables == [5, 6]
        assert not rig.readers.must_read()

    async def test_a_change_of_another_table_sends_it_to_the_store(self) -> None:
        # News of a version before were lost, with the connection on which they
        # were. What these add is added to a table that is not here.
        rig = await follower(changes(2, table=published(7)))
        change = change_between(published(6), published(7))
        rig.hear(news(rig, 1, 2, version=7, table=change))
        assert rig.tables == [5]
        assert rig.readers.must_read()
        await rig.feed.read_once()
        assert rig.tables == [5, 7]

    async def test_a_table_is_taken_from_news_that_cannot_be_used(self) -> None:
        # News of workers were lost, and the store turns this gateway away. A key
        # is revoked with the next news.
        rig = await follower()
        change = change_between(published(5), published(6))
        rig.hear(news(rig, 3, 4, version=6, table=change))
        assert rig.tables == [5, 6]
        assert rig.readers.must_read()

    async def test_a_table_that_cannot_be_decoded_keeps_nothing_else_away(
        self,
    ) -> None:
        # In a rolling restart the readers know a kind of route that this gateway
        # does not. It read the store for it with all news, and took none of them.
        rig = await follower()
        unknown = PublishedTable(table=RouteTable(version=6), data=b"unknown")
        change = change_between(published(5), unknown)
        rig.feed.view.table._decode = lambda _: None
        for revision in (2, 3):
            told = news(rig, revision - 1, revision, version=6, table=change)
            told.removed = ["w1"]
            told.digest = 0
            rig.hear(told)
            change = None
        assert rig.workers.ids() == ["w2"]
        assert rig.tables == [5]
        assert not rig.readers.must_read()

    async def test_a_reader_tells_what_a_newer_table_adds(self) -> None:
        rig = Rig("a", GROUP, FIRST, changes(2, table=published(6)), changes(3))
        for _ in range(3):
            await rig.feed.read_once()
        told = [each.table for each in rig.peers.sent[:: len(GROUP) - 1]]
        assert told == [None, change_between(published(5), published(6)), None]

    async def test_older_gateways_can_read_it(self) -> None:
        # In a rolling restart readers and the others are of two versions. One that
        # does not know the newest field passes over it, and reads the store.
        class OlderNews(StoreNews):
            thrift_spec = StoreNews.thrift_spec[:9]  # type: ignore[attr-defined]

        change = change_between(published(5), published(6))
        told = StoreNews(base_revision=1, revision=2, version=6, table=change)
        heard = OlderNews.__new__(OlderNews)
        heard.read(_compact(encode(told)[HEADER.size :]))  # type: ignore[attr-defined]
        assert (heard.base_revision, heard.revision, heard.version) == (1, 2, 6)
        assert getattr(heard, "table", None) is None

    async def test_workers_that_go_on_differing_are_listed_anew(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # An entry runs out and comes back between two reads of one reader, and
        # this gateway heard of its end from the other, which then is killed. No
        # news would ever name that worker again.
        monkeypatch.setattr(store_feed, "POLL_S", 0.01)
        rig = await follower(changes(9, "w1", "w2"))
        full = rig.workers.digest
        rig.hear(news(rig, 1, 2, removed=["w2"]))
        reading = asyncio.create_task(rig.feed.run())
        for revision in range(3, 8):
            rig.hear(news(rig, revision - 1, revision, digest=full))
        async with asyncio.timeout(1.0):
            while len(rig.workers) < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        reading.cancel()

    async def test_a_list_that_is_asked_for_meanwhile_is_read_whole(self) -> None:
        # A reader asks for what has changed. Before the answer comes, the other
        # reader's news show that their lists differ, and this one is to be made
        # anew. The answer, a few changes, was taken for the whole list: all other
        # workers counted as gone, here and at all who were told, for half a minute.
        rig = Rig("a", GROUP, FIRST, changes(3, "w2"), changes(9, "w1", "w2"))
        await rig.feed.read_once()
        ask = rig.store.changes

        async def interrupted(after: StorePosition) -> Answer:
            for revision in range(2, 2 + store_view.MAX_DIGEST_MISMATCHES):
                rig.hear(news(rig, revision - 1, revision, digest=1))
            return await ask(after)

        rig.store.changes = interrupted  # type: ignore[method-assign]
        await rig.feed.read_once()
        assert sorted(rig.workers.ids()) == ["w1", "w2"]
        assert rig.store.asked == [0, 1, 0]
        assert all(not told.removed for told in rig.peers.sent)

    async def test_entries_may_come_back_after_the_store_was_away(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The store was away for a moment, too short for this gateway to notice,
        # and entries ran out. Dropped at once, the workers are missing until
        # they write again.
        monkeypatch.setattr(store_view, "RECOVERY_GRACE_S", 0.05)
        rig = await follower()
        rig.hear(news(rig, 1, 2, removed=["w1"], back_ms=0))
        assert "w1" in rig.workers.ids()
        await asyncio.sleep(0.06)
        rig.feed.view.listing.remove_expired(time.monotonic())
        assert "w1" not in rig.workers.ids()

    async def test_nothing_is_taken_before_the_first_list(self) -> None:
        rig = Rig("d", GROUP)
        rig.hear(news(rig, 0, 4, workers=[listed("w3")]))
        assert not rig.workers.ids()
        assert rig.readers.must_read()
