"""Only one gateway at a time calls the stage workers, also during restarts.

Patterns: all gateways stopped in turn, two seconds apart, and all gateways restarted
at once after a power loss, both during a burst that fills the cell. Reasons for the
bounds: a call takes 0.24 to 0.45 s, so 0.3 s of overlap is less than one call, and
twelve workers that run one call at a time complete 32 in a second; a result that is not
freed is kept for 4 s, and memory for one more of its size is tried each 0.5 s, so at
most eight pieces per worker and service find no memory.
"""

import asyncio
import random
from collections import Counter
from dataclasses import replace

import pytest

from trefoilpaddle.coordination.chain.cell_schedulers import CellSchedulers
from trefoilpaddle.coordination.chain.worker_caller import WorkerCaller

from .cell_loads import TIGHT_DAY, Burst
from .cell_model import SentCall
from .fleet_model import ModelFleet
from .virtual_time import run_virtual

BUSY = replace(
    TIGHT_DAY,
    bursts=(Burst(kind="", at_s=1, duration_s=12, factor=1.5),),
    length_s=14.0,
)
MAX_OVERLAP_S = 0.3
MAX_CALLS_PER_S = 50
MAX_TURNED_AWAY = 50
SEEDS = (1, 2, 3)


def stopped_in_turn(patch: pytest.MonkeyPatch, seed: int) -> ModelFleet:
    """Simulate a burst in which the gateways are stopped one after another."""

    async def run() -> ModelFleet:
        fleet = ModelFleet(BUSY, seed=seed)
        running = asyncio.create_task(fleet.run())
        stops = []
        for name in random.Random(seed).sample("pqrs", 4):
            await asyncio.sleep(2.0)
            stops.append(asyncio.create_task(fleet.stop(name, after_s=5.0)))
        await asyncio.gather(running, *stops)
        return fleet

    with patch.context() as time_patch:
        return run_virtual(time_patch, run())


def lost_together(
    patch: pytest.MonkeyPatch, seed: int, *, settle_s: float = 0.4
) -> ModelFleet:
    """Simulate a burst in which all gateways lose power for half a second."""

    async def run() -> ModelFleet:
        fleet = ModelFleet(BUSY, seed=seed, settle_s=settle_s)
        running = asyncio.create_task(fleet.run())
        await asyncio.sleep(6.0)
        await fleet.lose_all(down_s=0.5)
        await running
        return fleet

    with patch.context() as time_patch:
        return run_virtual(time_patch, run())


def longest_overlap_s(sent: list[SentCall]) -> float:
    """Return the longest time for which two gateways called the same worker."""
    longest_s = 0.0
    for one in sent:
        for other in sent:
            if one.worker_id != other.worker_id or one.gateway >= other.gateway:
                continue
            ends_s = min(one.ended_s, other.ended_s)
            longest_s = max(longest_s, ends_s - max(one.began_s, other.began_s))
    return longest_s


def most_calls_per_s(sent: list[SentCall]) -> int:
    """Return the largest number of calls that began within one second."""
    began = sorted(call.began_s for call in sent)
    return max(sum(1 for b in began if a <= b < a + 1.0) for a in began)


def n_turned_away(sent: list[SentCall]) -> int:
    return sum(call.n_turned_away for call in sent)


class TestStoppedInTurn:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_two_gateways_call_a_worker(
        self, monkeypatch: pytest.MonkeyPatch, seed: int
    ) -> None:
        # Gateways are stopped one after another for a new version. For two to four
        # seconds of each stop the old scheduler completed its chains while the next one
        # began, each counting only its own results: pieces found no memory and were
        # sent again at once, and most calls carried only one piece.
        fleet = stopped_in_turn(monkeypatch, seed)
        assert longest_overlap_s(fleet.calls.sent) <= MAX_OVERLAP_S
        assert n_turned_away(fleet.calls.sent) <= MAX_TURNED_AWAY

    def test_without_a_handover_two_gateways_call_a_worker(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def keep(*_: object) -> bool:
            return False

        monkeypatch.setattr(CellSchedulers, "hand_over", keep)
        # The largest of several seeds, as the overlap depends on what runs at the stop.
        overlaps_s = [
            longest_overlap_s(stopped_in_turn(monkeypatch, seed).calls.sent)
            for seed in SEEDS
        ]
        assert max(overlaps_s) > MAX_OVERLAP_S

    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_chain_is_lost(self, monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
        fleet = stopped_in_turn(monkeypatch, seed)
        outcome = fleet.outcome
        n_answered = outcome.in_time.total() + outcome.late.total()
        assert n_answered + outcome.refused.total() == outcome.arrived.total()
        assert outcome.refused.total() < 0.25 * outcome.arrived.total()


class TestLostTogether:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_calls_and_pieces_turned_away_are_bounded(
        self, monkeypatch: pytest.MonkeyPatch, seed: int
    ) -> None:
        # All hosts are back after a power loss. The workers still keep results of
        # gateways that are gone. Up to 790 calls were sent in one second, and 3,343
        # pieces found no memory in a day.
        fleet = lost_together(monkeypatch, seed)
        assert most_calls_per_s(fleet.calls.sent) <= MAX_CALLS_PER_S
        assert n_turned_away(fleet.calls.sent) <= MAX_TURNED_AWAY

    def test_without_waiting_for_memory_they_are_not_bounded(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def learn_nothing(*_: object, **__: object) -> None:
            return

        def is_free(self: WorkerCaller, now_s: float) -> bool:
            return not self.known._n_calls

        monkeypatch.setattr(WorkerCaller, "is_free", is_free)
        monkeypatch.setattr(
            "trefoilpaddle.state.chain.result_memory.ResultMemory.learn_full",
            learn_nothing,
        )
        fleet = lost_together(monkeypatch, SEEDS[0])
        assert n_turned_away(fleet.calls.sent) > MAX_TURNED_AWAY

    @pytest.mark.parametrize("seed", SEEDS)
    def test_one_gateway_schedules_the_cell_soon(
        self, monkeypatch: pytest.MonkeyPatch, seed: int
    ) -> None:
        fleet = lost_together(monkeypatch, seed)
        back_s = max(gateway.began_s for gateway in fleet.gateways.values())
        callers = Counter(
            call.gateway for call in fleet.calls.sent if call.began_s > back_s + 1.0
        )
        assert len(callers) == 1
