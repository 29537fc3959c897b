"""Published changes reach every gateway in time, with few reads of the store."""

import asyncio
from typing import Final

import pytest

from trefoilpaddle.coordination.published.store_feed import PEER_FALLBACK_S, POLL_S
from trefoilpaddle.coordination.published.store_readers import N_READERS

from ..chain.fakes import worker
from ..chain.virtual_time import run_virtual
from .store_network import MAX_TIMEOUT_S, STEP_S, Gateway, Network

SPREAD_S: Final = POLL_S + 0.1
"""The interval of a reader, its read and its update."""

PEER_QUERY_S: Final = SPREAD_S + 0.4
"""The same for a gateway that has to query peers first."""

HEARTBEAT_S: Final = 0.1
"""Time between advances of the revision by heartbeats."""

CONTROL_BYTES_PER_S: Final = 17_000
"""What control traffic may cost each gateway; see the head of docs/DESIGN.md."""

PROPAGATION_S: Final = 3.0
"""Time within which writes after a restore of the store must be known."""

CONFIGURATION_S: Final = 2.0
"""Time within which a change must be active, even at gateways that are refused."""


def is_usable(gateway: Gateway, worker_id: str) -> bool:
    """Return True if a gateway would send work to a worker."""
    usable = gateway.workers.usable(worker("any").service)
    return any(known.worker_id == worker_id for known in usable)


class TestNewTable:
    def test_only_the_readers_read_it(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # An operator changes one timeout. All 22 gateways read the store at the same
        # moment, and each of these reads has a cost: the readers' updates named the new
        # table but did not contain it.
        async def scenario() -> None:
            network = Network(22)
            await network.start()
            with network.reads() as reads:
                network.store.publish(2)
                times_s = await network.activation_times_s(version=2)
                await asyncio.sleep(POLL_S)
            assert max(times_s.values()) <= SPREAD_S
            assert set(reads) == {g.name for g in network.gateways[:N_READERS]}

        run_virtual(monkeypatch, scenario())


class TestDisconnected:
    def test_a_change_is_active_there_as_soon_as_elsewhere(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A third of the gateways cannot reach the store; the readers can. An operator
        # revokes a key, and a worker leaves. The disconnected gateways learn that there
        # is a newer table, try to read it for one to three seconds, and apply no other
        # update meanwhile: they send requests to the worker long after it has exited,
        # and accept the key.
        async def scenario() -> None:
            network = Network(22)
            await network.start()
            disconnected = network.gateways[-8:]
            for gateway in disconnected:
                gateway.is_disconnected = True
            with network.reads() as reads:
                for version in (2, 3):
                    network.store.publish(version)
                    network.store.write(worker(f"w{version:03}", is_leaving=True))
                    times_s = await network.activation_times_s(version=version)
                    assert max(times_s.values()) <= SPREAD_S
                await asyncio.sleep(STEP_S)
            for gateway in disconnected:
                assert not is_usable(gateway, "w003")
                assert not reads[gateway.name]

        run_virtual(monkeypatch, scenario())

    def test_a_complete_list_is_requested_from_peers(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A disconnected gateway has another list of workers than the readers. It
        # requests the complete list from the store, waits three seconds for it, and
        # applies no updates before it has the list: a worker that leaves meanwhile
        # receives requests from it.
        async def scenario() -> None:
            network = Network(22)
            await network.start()
            last = network.gateways[-1]
            last.is_disconnected = True
            last.timeout_s = MAX_TIMEOUT_S
            last.workers.remove("w000")
            n_reads = network.n_reads[last.name]
            while network.n_reads[last.name] == n_reads:  # noqa: ASYNC110
                await asyncio.sleep(STEP_S)
            network.store.write(worker("w003", is_leaving=True))
            await asyncio.sleep(PEER_QUERY_S)
            assert is_usable(last, "w000")
            assert not is_usable(last, "w003")

        run_virtual(monkeypatch, scenario())

    def test_changes_are_active_in_time_with_both_readers_disconnected(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The store refuses a third of the gateways, including the two readers. The
        # others read the store, as they receive no updates. The refused gateways query
        # two peers, which may be refused as well, and query again only after the store
        # has not responded for one to three seconds.
        async def scenario() -> None:
            network = Network(22)
            await network.start()
            for gateway in network.gateways[:8]:
                gateway.is_disconnected = True
            await asyncio.sleep(5.0)
            for version in range(2, 12):
                network.store.publish(version)
                times_s = await network.activation_times_s(version=version)
                assert max(times_s.values()) <= CONFIGURATION_S

        run_virtual(monkeypatch, scenario())

    def test_responses_to_queries_stay_within_the_control_traffic(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # As above, with 910 workers. Their heartbeats advance the store's revision all
        # the time, so peers sent the complete list with every response: about 30 KB
        # that the querying gateway knew, three times a second.
        async def scenario() -> None:
            network = Network(22, n_workers=910)
            await network.start()
            for gateway in network.gateways[:8]:
                gateway.is_disconnected = True
            before = None
            for tick in range(100):
                network.store.heartbeat()
                await asyncio.sleep(HEARTBEAT_S)
                if tick == 50:
                    before = [gateway.sent_bytes for gateway in network.gateways]
            assert before is not None
            after = [gateway.sent_bytes for gateway in network.gateways]
            sent = [now - then for now, then in zip(after, before, strict=True)]
            assert max(sent) / (49 * HEARTBEAT_S) <= CONTROL_BYTES_PER_S
            listed = network.gateways[-1].workers.digest
            assert {gateway.workers.digest for gateway in network.gateways} == {listed}
            assert (
                network.gateways[0].feed.position.revision
                >= network.store.revision - 20
            )

        run_virtual(monkeypatch, scenario())


class TestRestore:
    @pytest.mark.parametrize("away_s", [1.9, 2.9, 3.4])
    def test_a_lost_read_does_not_delay_what_is_written_after_the_restore(
        self, monkeypatch: pytest.MonkeyPatch, away_s: float
    ) -> None:
        # Reads sent while the store is unavailable hang for up to three seconds, those
        # of both readers at the same time.
        async def scenario() -> None:
            network = Network(22)
            await network.start()
            for gateway in network.gateways:
                gateway.is_disconnected = True
            await asyncio.sleep(away_s)
            for gateway in network.gateways:
                gateway.is_disconnected = False
            network.store.restore_from(network.store.back_up())
            network.store.write(worker("last"))
            await asyncio.sleep(POLL_S + 2 * PEER_FALLBACK_S + SPREAD_S)
            assert all(is_usable(gateway, "last") for gateway in network.gateways)

        run_virtual(monkeypatch, scenario())

    @pytest.mark.parametrize("n_gateways", [4, 68, 300])
    @pytest.mark.parametrize("away_s", [0.0, 1.5])
    def test_few_gateways_list_the_store(
        self, monkeypatch: pytest.MonkeyPatch, n_gateways: int, away_s: float
    ) -> None:
        # The store is restored from a backup, and all gateways notice at once: while it
        # was unavailable there were no updates, so each gateway read by itself.
        async def scenario() -> None:
            network = Network(n_gateways, n_workers=60)
            await network.start()
            backup = network.store.back_up()
            for number in range(8):
                network.store.write(worker(f"new{number}"))
            await asyncio.sleep(2 * POLL_S)
            for gateway in network.gateways:
                gateway.is_disconnected = away_s > 0.0
            await asyncio.sleep(away_s)
            for gateway in network.gateways:
                gateway.is_disconnected = False
            network.store.restore_from(backup)
            network.store.write(worker("last"))
            n_lists = network.n_lists.total()
            await asyncio.sleep(PROPAGATION_S)
            assert all(is_usable(gateway, "last") for gateway in network.gateways)
            assert network.n_lists.total() - n_lists <= N_READERS

        run_virtual(monkeypatch, scenario())
