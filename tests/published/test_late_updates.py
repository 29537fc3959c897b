"""Gateways know in time which workers leave, also if updates or readers are late."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final

import pytest

from trefoilpaddle.coordination.published.answer_times import AnswerTimes
from trefoilpaddle.coordination.published.update_delays import UpdateDelays
from trefoilpaddle.protocol.gen.chain.ttypes import StoreNews

from ..chain.fakes import worker
from ..chain.virtual_time import run_virtual
from .store_network import STEP_S, Gateway, Network
from .test_store_spread import is_usable

DRAIN_S: Final = 2.0
"""Seconds after which a worker that leaves must get nothing."""

LONGEST_WAIT_S: Final = 10.0
HEARTBEAT_S: Final = 0.1
N_GATEWAYS: Final = 12

SETTLED_S: Final = 3.0
"""Seconds in which all gateways hear of the store as usual."""

OUTAGE_S: Final = 4.0
"""Seconds for which a reader is cut off; workers' entries would run out meanwhile."""


async def _beat(network: Network) -> None:
    while True:
        network.store.heartbeat()
        await asyncio.sleep(HEARTBEAT_S)


@contextlib.asynccontextmanager
async def running_network() -> AsyncIterator[Network]:
    """Run gateways at a store whose revision advances with workers' heartbeats."""
    network = Network(N_GATEWAYS)
    await network.start()
    beats = asyncio.create_task(_beat(network))
    await asyncio.sleep(SETTLED_S)
    try:
        yield network
    finally:
        beats.cancel()


async def used_s(gateway: Gateway, worker_id: str) -> float:
    """Return for how many seconds from now on a gateway uses a worker."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    for _ in range(round(LONGEST_WAIT_S / STEP_S)):
        if not is_usable(gateway, worker_id):
            break
        await asyncio.sleep(STEP_S)
    return loop.time() - began_s


class TestLateUpdates:
    @pytest.mark.parametrize("delay_s", [0.5, 1.0, 1.7, 3.0])
    def test_a_leaving_worker_is_known_in_time(
        self, monkeypatch: pytest.MonkeyPatch, delay_s: float
    ) -> None:
        # Guards against updates that are seconds old and count as fresh on arrival.
        async def scenario() -> None:
            async with running_network() as network:
                last = network.gateways[-1]
                last.update_delay_s = delay_s
                await asyncio.sleep(2 * delay_s)
                network.store.write(worker("w003", is_leaving=True))
                assert await used_s(last, "w003") <= DRAIN_S

        run_virtual(monkeypatch, scenario())


class TestUpdateDelays:
    @staticmethod
    def sent(delays: UpdateDelays) -> StoreNews:
        update = StoreNews()
        delays.stamp(update, incarnation=1)
        return update

    def test_a_delay_is_that_beyond_the_quickest_update(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against clocks of two hosts that are taken for the same.
        async def scenario() -> None:
            delays = UpdateDelays()
            delays_s = []
            for under_way_s in (0.3, 0.2, 2.2, 0.2):
                update = self.sent(delays)
                update.sent_ms = 7_000_000 + (update.sent_ms or 0)
                await asyncio.sleep(under_way_s)
                delays_s.append(delays.delay_s(update))
            assert delays_s == pytest.approx([0.0, 0.0, 2.0, 0.0], abs=0.002)

        run_virtual(monkeypatch, scenario())

    def test_another_start_of_a_reader_is_measured_by_itself(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a reader whose host has rebooted and whose news all look late.
        async def scenario() -> None:
            delays = UpdateDelays()
            delays.delay_s(self.sent(delays))
            restarted = self.sent(delays)
            restarted.reader_incarnation = 2
            await asyncio.sleep(5.0)
            assert delays.delay_s(restarted) == 0.0

        run_virtual(monkeypatch, scenario())

    def test_updates_of_earlier_builds_have_no_delay(self) -> None:
        # Guards against a rolling release in which all gateways read the store.
        assert UpdateDelays().delay_s(StoreNews()) == 0.0


class TestAnswerTimes:
    def test_the_first_answers_after_an_outage_do_not_deny_it(self) -> None:
        # Guards against living workers that are dropped after an outage, as a peer had
        # an answer just before the gateway that reports the recovery.
        answers = AnswerTimes()
        for answered_s in (6.4, 6.7, 7.0, 10.50, 10.52, 11.1, 11.7):
            answers.record(answered_s)
        assert answers.is_end_of_outage(10.53)
        assert not answers.is_end_of_outage(12.0)

    def test_answers_all_along_deny_an_outage(self) -> None:
        # Guards against workers that are kept for the outage of one gateway.
        answers = AnswerTimes()
        assert answers.is_end_of_outage(1.0)
        for number in range(40):
            answers.record(1.0 + 0.3 * number)
        assert not answers.is_end_of_outage(12.8)


class TestReaderOutage:
    @pytest.mark.parametrize("removed_after_s", [0.0, 0.5, 0.7, 1.0, 2.0])
    @pytest.mark.parametrize("reader", [0, 1])
    def test_a_removed_worker_is_dropped_in_time(
        self, monkeypatch: pytest.MonkeyPatch, reader: int, removed_after_s: float
    ) -> None:
        # Guards against an outage of one reader that all take for one of the store.
        async def scenario() -> None:
            async with running_network() as network:
                cut = network.gateways[reader]
                cut.is_cut = True
                await asyncio.sleep(OUTAGE_S)
                cut.is_cut = False
                await asyncio.sleep(removed_after_s)
                network.store.remove("w003")
                others = [each for each in network.gateways if each is not cut]
                times_s = await asyncio.gather(*(used_s(g, "w003") for g in others))
                assert max(times_s) <= DRAIN_S

        run_virtual(monkeypatch, scenario())
