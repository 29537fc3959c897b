"""Few gateways read the store; the others receive their updates and miss nothing."""

import asyncio
import time
from collections.abc import Sequence

import pytest
from result import Err, Ok
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from trefoilpaddle.coordination.published import (
    answer_times,
    store_feed,
    store_readers,
    store_view,
)
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
    """A link that records what is sent on it."""

    def __init__(self, sent: list[StoreNews]) -> None:
        self._sent = sent

    def send(self, message: Message) -> bool:
        self._sent.append(message)
        return True


class SentPeers:
    """Links to peers, all of which record what is sent in one list."""

    def __init__(self) -> None:
        self.sent: list[StoreNews] = []

    def link(self, address: Address) -> SentLink:
        return SentLink(self.sent)


class Harness:
    """The feed of one gateway among `members`."""

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
            query_peers=self._query,
            decode=lambda data: published(int(data)),
        )

    async def _query(self) -> list[StoreState]:
        return []

    def receive(self, update: StoreNews) -> None:
        self.readers._on_message(None, update)  # type: ignore[arg-type]


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


def update(harness: Harness, base: int, revision: int, **fields: object) -> StoreNews:
    """Return an update that matches the state of `harness`, except for `fields`."""
    digest = harness.workers.digest
    known: dict[str, object] = {
        "version": 5,
        "digest": digest.entries,
        "domain_digest": digest.domains,
        "evacuated": [],
    }
    return StoreNews(base_revision=base, revision=revision, **(known | fields))  # type: ignore[arg-type]


def _compact(data: bytes) -> TCompactProtocolAccelerated:
    return TCompactProtocolAccelerated(TMemoryBuffer(data), fallback=False)


GROUP = [member(name, number) for number, name in enumerate("abcd")]
FIRST = changes(1, "w1", "w2", table=published(5))


async def follower(*answers: Answer) -> Harness:
    """Return the last of four gateways in rank, after its first read of the store."""
    harness = Harness("d", GROUP, FIRST, *answers)
    await harness.feed.read_once()
    return harness


PACKET_HEADER_BYTES = 66
CONTROL_BYTES_PER_S = 17_000
"""What a host may send for control traffic, at the size that the design is for."""


class TestReaderSelection:
    def test_the_first_members_of_a_group_read(self) -> None:
        reading = [name for name in "abcd" if Harness(name, GROUP).readers.is_reader()]
        assert len(reading) == N_READERS
        assert reading == ["a", "b"]

    # 68 gateways run in six failure domains. With a limit of 64 gateways per group they
    # were six groups with twelve readers, which made 1,386 reads on a calm day.
    def test_a_region_of_about_ten_hosts_per_domain_has_two_readers(self) -> None:
        group = [member(f"g{n}", n, f"d{n % 6}") for n in range(80)]
        reading = [m for m in group if Harness(m.process_id, group).readers.is_reader()]
        assert len(reading) == N_READERS

    def test_a_reader_of_the_largest_group_stays_within_the_control_traffic(
        self,
    ) -> None:
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
        assert Harness("d", near + far).readers.is_reader()

    async def test_a_gateway_with_a_recent_update_does_not_read(self) -> None:
        harness = await follower()
        harness.receive(update(harness, 1, 2))
        assert not harness.readers.must_read()

    async def test_a_gateway_that_has_read_does_not_read_again_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(store_readers, "UPDATE_TIMEOUT_S", 0.05)
        harness = await follower()
        harness.readers.record_read(is_answered=True)
        assert not harness.readers.must_read()
        await asyncio.sleep(0.06)
        assert harness.readers.must_read()
        harness.readers.record_read(is_answered=False)
        assert harness.readers.must_read(), "nobody has said anything"

    async def test_a_gateway_without_updates_reads_the_store(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # All readers of the group are killed at the same moment. The other members
        # detect it seconds later; keys revoked meanwhile must not stay valid until
        # then.
        monkeypatch.setattr(store_readers, "UPDATE_TIMEOUT_S", 0.05)
        harness = await follower()
        harness.receive(update(harness, 1, 2))
        await asyncio.sleep(0.06)
        assert harness.readers.must_read()

    async def test_a_reader_notifies_all_others_after_each_read(self) -> None:
        harness = Harness(
            "a", GROUP, FIRST, changes(2, "w1"), changes(3, removed=("w2",))
        )
        for _ in range(3):
            await harness.feed.read_once()
        sent_update = harness.peers.sent[:: len(GROUP) - 1]
        assert len(harness.peers.sent) == 3 * (len(GROUP) - 1)
        assert [(each.base_revision, each.revision) for each in sent_update] == [
            (0, 1),
            (1, 2),
            (2, 3),
        ]
        # A heartbeat without a change is not part of an update.
        assert [len(each.workers) for each in sent_update] == [2, 0, 0]
        assert sent_update[2].removed == ["w2"]

    async def test_a_reader_sends_nothing_after_a_failed_read(self) -> None:
        harness = Harness("a", GROUP, FIRST, Err(StoreFault.REFUSED))
        await harness.feed.read_once()
        harness.peers.sent.clear()
        await harness.feed.read_once()
        assert not harness.peers.sent


class TestUpdates:
    async def test_an_update_adds_and_removes_workers(self) -> None:
        harness = await follower()
        harness.receive(update(harness, 1, 4, workers=[listed("w3")], removed=["w1"]))
        assert sorted(harness.workers.ids()) == ["w2", "w3"]
        assert harness.feed.position.revision == 4

    async def test_an_update_contains_the_restart_of_a_worker(self) -> None:
        harness = await follower()
        before = harness.workers.digest
        harness.receive(update(harness, 1, 2, workers=[listed("w1", born_ms=9)]))
        known = harness.workers.get("w1")
        assert known is not None and known.born_ms == 9
        assert harness.workers.digest != before

    async def test_an_update_withdraws_workers(self) -> None:
        harness = await follower()
        harness.receive(update(harness, 1, 2, withdrawn=["w1"], back_ms=0))
        assert harness.workers.ids() == ["w2"]

    async def test_a_reader_sends_withdrawn_workers(self) -> None:
        entry = UnreadableEntry(worker_id="w1", problem="no address")
        foreign = Ok(
            StoreChanges(position=StorePosition(revision=2), unreadable=(entry,))
        )
        harness = Harness("a", GROUP, FIRST, foreign)
        for _ in range(2):
            await harness.feed.read_once()
        assert harness.peers.sent[-1].withdrawn == ["w1"]

    async def test_an_update_with_a_later_base_is_not_applied(self) -> None:
        # A connection to the reader breaks, and updates on it are lost. One of them
        # said that a worker is leaving.
        harness = await follower()
        harness.receive(update(harness, 3, 4))
        assert harness.readers.must_read()
        assert harness.feed.position.revision == 1

    async def test_an_update_that_is_older_than_what_is_known_is_not_recent(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against old news of a paused reader that count as recent.
        monkeypatch.setattr(store_readers, "UPDATE_TIMEOUT_S", 0.05)
        harness = await follower()
        harness.receive(update(harness, 1, 4))
        await asyncio.sleep(0.06)
        harness.receive(update(harness, 1, 2))
        assert harness.readers.must_read()

    async def test_an_announced_newer_table_is_read_at_once(self) -> None:
        harness = await follower(changes(2, table=published(6)))
        harness.receive(update(harness, 1, 2, version=6))
        assert harness.readers.must_read()
        await harness.feed.read_once()
        assert harness.tables == [5, 6]
        assert harness.store.requested == [0, 1]

    async def test_a_newer_table_in_an_update_is_active_at_once(self) -> None:
        harness = await follower()
        change = change_between(published(5), published(6))
        harness.receive(update(harness, 1, 2, version=6, table=change))
        assert harness.tables == [5, 6]
        assert not harness.readers.must_read()

    async def test_a_change_based_on_another_table_makes_it_read(self) -> None:
        # The update with the previous version was lost with its connection. The change
        # is based on a table that this gateway does not have.
        harness = await follower(changes(2, table=published(7)))
        change = change_between(published(6), published(7))
        harness.receive(update(harness, 1, 2, version=7, table=change))
        assert harness.tables == [5]
        assert harness.readers.must_read()
        await harness.feed.read_once()
        assert harness.tables == [5, 7]

    async def test_the_table_of_an_inapplicable_update_is_activated(self) -> None:
        # Worker changes were lost, and the store refuses this gateway. A key is revoked
        # with the next update.
        harness = await follower()
        change = change_between(published(5), published(6))
        harness.receive(update(harness, 3, 4, version=6, table=change))
        assert harness.tables == [5, 6]
        assert harness.readers.must_read()

    async def test_a_table_that_cannot_be_decoded_does_not_block_worker_changes(
        self,
    ) -> None:
        # In a rolling restart the readers know a kind of route that this gateway does
        # not. It read the store for that table after every update, and applied none.
        harness = await follower()
        unknown = PublishedTable(table=RouteTable(version=6), data=b"unknown")
        change = change_between(published(5), unknown)
        harness.feed.view.table._decode = lambda _: None
        for revision in (2, 3):
            sent_update = update(
                harness, revision - 1, revision, version=6, table=change
            )
            sent_update.removed = ["w1"]
            sent_update.digest = sent_update.domain_digest = 0
            harness.receive(sent_update)
            change = None
        assert harness.workers.ids() == ["w2"]
        assert harness.tables == [5]
        assert not harness.readers.must_read()

    async def test_a_reader_sends_the_change_to_a_newer_table(self) -> None:
        harness = Harness("a", GROUP, FIRST, changes(2, table=published(6)), changes(3))
        for _ in range(3):
            await harness.feed.read_once()
        sent_update = [each.table for each in harness.peers.sent[:: len(GROUP) - 1]]
        assert sent_update == [None, change_between(published(5), published(6)), None]

    async def test_older_gateways_can_decode_updates(self) -> None:
        # In a rolling restart readers and other gateways run two versions. A gateway
        # that does not know the newest field ignores it and reads the store.
        class OlderUpdate(StoreNews):
            thrift_spec = StoreNews.thrift_spec[:9]  # type: ignore[attr-defined]

        change = change_between(published(5), published(6))
        sent_update = StoreNews(base_revision=1, revision=2, version=6, table=change)
        decoded = OlderUpdate.__new__(OlderUpdate)
        decoded.read(_compact(encode(sent_update)[HEADER.size :]))  # type: ignore[attr-defined]
        assert (decoded.base_revision, decoded.revision, decoded.version) == (1, 2, 6)
        assert getattr(decoded, "table", None) is None

    async def test_a_list_that_keeps_differing_is_read_again(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # An entry expires and is written again between two reads of one reader. This
        # gateway received the removal from the other reader, which is killed then. No
        # later update would contain that worker.
        monkeypatch.setattr(store_feed, "POLL_S", 0.01)
        harness = await follower(changes(9, "w1", "w2"))
        full = harness.workers.digest
        harness.receive(update(harness, 1, 2, removed=["w2"]))
        reading = asyncio.create_task(harness.feed.run())
        for revision in range(3, 8):
            harness.receive(
                update(
                    harness,
                    revision - 1,
                    revision,
                    digest=full.entries,
                    domain_digest=full.domains,
                )
            )
        async with asyncio.timeout(1.0):
            while len(harness.workers) < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        reading.cancel()

    # Guards against a change of a failure domain that is lost unnoticed, and against
    # gateways of two builds that list the store again and again.
    @pytest.mark.parametrize(("domain_digest", "reads"), [(1, True), (None, False)])
    async def test_lists_are_compared_with_failure_domains_if_the_reader_knows_them(
        self, domain_digest: int | None, reads: bool
    ) -> None:
        harness = await follower()
        for revision in range(2, 2 + store_view.MAX_DIGEST_MISMATCHES):
            harness.receive(
                update(harness, revision - 1, revision, domain_digest=domain_digest)
            )
        assert harness.readers.must_read() is reads

    async def test_a_list_requested_during_a_read_of_changes_is_read_completely(
        self,
    ) -> None:
        # A reader requests changes. Before the response arrives, updates from the other
        # reader show that their lists differ, and the list is requested. The response
        # with a few changes was taken for the complete list: all other workers were
        # removed, here and at all gateways that were notified, for half a minute.
        harness = Harness("a", GROUP, FIRST, changes(3, "w2"), changes(9, "w1", "w2"))
        await harness.feed.read_once()
        ask = harness.store.changes

        async def interrupted(after: StorePosition) -> Answer:
            for revision in range(2, 2 + store_view.MAX_DIGEST_MISMATCHES):
                harness.receive(update(harness, revision - 1, revision, digest=1))
            return await ask(after)

        harness.store.changes = interrupted  # type: ignore[method-assign]
        await harness.feed.read_once()
        assert sorted(harness.workers.ids()) == ["w1", "w2"]
        assert harness.store.requested == [0, 1, 0]
        assert all(not sent_update.removed for sent_update in harness.peers.sent)

    async def test_expired_entries_have_a_grace_period_after_an_outage(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The store was unavailable too briefly for this gateway to notice, and entries
        # expired. If the workers were removed at once, they would be missing until they
        # write again.
        monkeypatch.setattr(store_view, "RECOVERY_GRACE_S", 0.05)
        monkeypatch.setattr(answer_times, "UNAVAILABLE_AFTER_S", 0.02)
        harness = await follower()
        await asyncio.sleep(0.03)
        harness.receive(update(harness, 1, 2, removed=["w1"], back_ms=0))
        assert "w1" in harness.workers.ids()
        await asyncio.sleep(0.06)
        harness.feed.view.listing.remove_expired(time.monotonic())
        assert "w1" not in harness.workers.ids()

    async def test_entries_have_no_grace_period_without_an_outage(self) -> None:
        # Guards against an outage of the reader that is taken for one of the store.
        harness = await follower()
        harness.receive(update(harness, 1, 2, removed=["w1"], back_ms=0))
        assert harness.workers.ids() == ["w2"]

    async def test_no_update_is_applied_before_the_first_list(self) -> None:
        harness = Harness("d", GROUP)
        harness.receive(update(harness, 0, 4, workers=[listed("w3")]))
        assert not harness.workers.ids()
        assert harness.readers.must_read()
