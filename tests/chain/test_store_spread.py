"""What is published reaches every gateway in time, and few read the store for it."""

import asyncio

import pytest

from trefoilpaddle.coordination.chain.store_feed import POLL_S
from trefoilpaddle.coordination.chain.store_readers import N_READERS

from .fakes import worker
from .store_network import STEP_S, Network
from .virtual_time import run_virtual

SPREAD_S = POLL_S + 0.1
"""One turn of a reader, its read and what it tells."""


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
                assert not gateway.workers.is_usable("w003")
                assert not reads[gateway.name]

        run_virtual(monkeypatch, play())
