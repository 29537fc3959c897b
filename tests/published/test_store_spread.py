"""What is published reaches every gateway in time, and few read the store for it."""

import asyncio
from typing import Final

import pytest

from trefoilpaddle.coordination.published.store_feed import PEER_FALLBACK_S, POLL_S
from trefoilpaddle.coordination.published.store_readers import N_READERS

from ..chain.fakes import worker
from ..chain.virtual_time import run_virtual
from .store_network import LAST_TIMEOUT_S, STEP_S, Gateway, Network

SPREAD_S: Final = POLL_S + 0.1
"""One turn of a reader, its read and what it tells."""

ASKED_S: Final = SPREAD_S + 0.4
"""The same for a gateway that has to ask peers first."""

BEAT_S: Final = 0.1
"""Between moves of the revision by heartbeats."""

CONTROL_BYTES_PER_S: Final = 17_000
"""What control may cost each gateway; see the head of docs/DESIGN.md."""

KNOWN_S: Final = 3.0
"""Within which what is written after a return of the store must be known."""

CONFIGURATION_S: Final = 2.0
"""Within which a change must be in force, whoever is turned away."""


def is_usable(gateway: Gateway, worker_id: str) -> bool:
    """Return True if a gateway would give work to a worker."""
    usable = gateway.workers.usable(worker("any").service)
    return any(known.worker_id == worker_id for known in usable)


class TestNewTable:
    def test_nobody_but_the_readers_reads_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # An operator changes one time-out. All 22 gateways read the store at the
        # same moment, and each of these reads is paid for: what readers tell the
        # others named the new table and did not hold it.
        async def play() -> None:
            network = Network(22)
            await network.start()
            with network.reads() as reads:
                network.store.publish(2)
                times_s = await network.time_to(version=2)
                await asyncio.sleep(POLL_S)
            assert max(times_s.values()) <= SPREAD_S
            assert set(reads) == {g.name for g in network.gateways[:N_READERS]}

        run_virtual(monkeypatch, play())


class TestCutOff:
    def test_a_change_is_in_force_there_as_soon_as_elsewhere(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A third of the gateways cannot reach the store; the readers can. An
        # operator revokes a key, and a worker leaves. Those cut off hear that
        # there is a newer table, ask the store for it in vain for a second or
        # three, and take no other news meanwhile: the worker gets requests there
        # long after it is gone, and the key is let in.
        async def play() -> None:
            network = Network(22)
            await network.start()
            cut_off = network.gateways[-8:]
            for gateway in cut_off:
                gateway.is_cut_off = True
            with network.reads() as reads:
                for version in (2, 3):
                    network.store.publish(version)
                    network.store.write(worker(f"w{version:03}", is_leaving=True))
                    times_s = await network.time_to(version=version)
                    assert max(times_s.values()) <= SPREAD_S
                await asyncio.sleep(STEP_S)
            for gateway in cut_off:
                assert not is_usable(gateway, "w003")
                assert not reads[gateway.name]

        run_virtual(monkeypatch, play())

    def test_a_whole_list_is_asked_of_peers(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A gateway that is cut off has another list of workers than the readers.
        # It asks the store for all of it, gives that three seconds, and takes no
        # news before it has it: a worker that leaves meanwhile gets requests there.
        async def play() -> None:
            network = Network(22)
            await network.start()
            last = network.gateways[-1]
            last.is_cut_off = True
            last.timeout_s = LAST_TIMEOUT_S
            last.workers.remove("w000")
            n_reads = network.n_reads[last.name]
            while network.n_reads[last.name] == n_reads:  # noqa: ASYNC110
                await asyncio.sleep(STEP_S)
            network.store.write(worker("w003", is_leaving=True))
            await asyncio.sleep(ASKED_S)
            assert is_usable(last, "w000")
            assert not is_usable(last, "w003")

        run_virtual(monkeypatch, play())

    def test_all_is_in_force_in_time_with_both_readers_cut_off(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The store turns a third of the gateways away, the two that read for all
        # among them. The others read by themselves, as nobody tells them. Those
        # turned away ask two peers, which may be turned away as well, and ask them
        # again only after the store did not answer for one to three seconds.
        async def play() -> None:
            network = Network(22)
            await network.start()
            for gateway in network.gateways[:8]:
                gateway.is_cut_off = True
            await asyncio.sleep(5.0)
            for version in range(2, 12):
                network.store.publish(version)
                times_s = await network.time_to(version=version)
                assert max(times_s.values()) <= CONFIGURATION_S

        run_virtual(monkeypatch, play())

    def test_peers_that_are_asked_stay_within_what_control_may_cost(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # As above, with 910 workers. Their heartbeats move the store's revision
        # all the time, so peers sent the whole list with every answer: some 30 KB
        # that the asking gateway knew, three times a second.
        async def play() -> None:
            network = Network(22, n_workers=910)
            await network.start()
            for gateway in network.gateways[:8]:
                gateway.is_cut_off = True
            before = None
            for tick in range(100):
                network.store.beat()
                await asyncio.sleep(BEAT_S)
                if tick == 50:
                    before = [gateway.sent_bytes for gateway in network.gateways]
            assert before is not None
            after = [gateway.sent_bytes for gateway in network.gateways]
            sent = [now - then for now, then in zip(after, before, strict=True)]
            assert max(sent) / (49 * BEAT_S) <= CONTROL_BYTES_PER_S
            listed = network.gateways[-1].workers.digest
            assert {gateway.workers.digest for gateway in network.gateways} == {listed}
            assert (
                network.gateways[0].feed.position.revision
                >= network.store.revision - 20
            )

        run_virtual(monkeypatch, play())


class TestReturn:
    @pytest.mark.parametrize("away_s", [1.9, 2.9, 3.4])
    def test_no_question_that_was_lost_puts_off_what_is_written_then(
        self, monkeypatch: pytest.MonkeyPatch, away_s: float
    ) -> None:
        # Questions asked while the store is away hang for up to three seconds, and
        # those of both readers at the same time.
        async def play() -> None:
            network = Network(22)
            await network.start()
            for gateway in network.gateways:
                gateway.is_cut_off = True
            await asyncio.sleep(away_s)
            for gateway in network.gateways:
                gateway.is_cut_off = False
            network.store.return_from(network.store.copy())
            network.store.write(worker("last"))
            await asyncio.sleep(POLL_S + 2 * PEER_FALLBACK_S + SPREAD_S)
            assert all(is_usable(gateway, "last") for gateway in network.gateways)

        run_virtual(monkeypatch, play())

    @pytest.mark.parametrize("n_gateways", [4, 68, 300])
    @pytest.mark.parametrize("away_s", [0.0, 1.5])
    def test_few_list_the_store_for_all(
        self, monkeypatch: pytest.MonkeyPatch, n_gateways: int, away_s: float
    ) -> None:
        # The store comes back from a copy, and all find it at once: while it was away
        # nobody was told, so each read by itself.
        async def play() -> None:
            network = Network(n_gateways, n_workers=60)
            await network.start()
            copy = network.store.copy()
            for number in range(8):
                network.store.write(worker(f"new{number}"))
            await asyncio.sleep(2 * POLL_S)
            for gateway in network.gateways:
                gateway.is_cut_off = away_s > 0.0
            await asyncio.sleep(away_s)
            for gateway in network.gateways:
                gateway.is_cut_off = False
            network.store.return_from(copy)
            network.store.write(worker("last"))
            n_lists = network.n_lists.total()
            await asyncio.sleep(KNOWN_S)
            assert all(is_usable(gateway, "last") for gateway in network.gateways)
            assert network.n_lists.total() - n_lists <= N_READERS

        run_virtual(monkeypatch, play())
