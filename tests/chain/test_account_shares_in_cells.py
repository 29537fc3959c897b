"""Stages of a cell while one of eight accounts bursts.

The load: seven accounts send a tenth of what the cell can do each, and the eighth sends
a tenth and, for ten seconds, three times all of it. One cell has 26 stage workers, the
other 12. The model runs the real scheduler in virtual time.
"""

import asyncio
import statistics
from dataclasses import replace

import pytest

from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.chain_work import ChainFailed, ChainOutcome

from .cell_accounts import (
    EVEN,
    LOADS,
    Served,
    served,
    simulate_accounts,
    work_done,
)
from .cell_loads import BUSY_DAY, Load
from .cell_model import Outcome
from .fakes import FakeCalls
from .test_chain_scheduler import Rig, work
from .virtual_time import run_virtual

SEEDS = (1, 2, 3, 4)
MIN_IN_TIME = 0.95
MIN_DONE = 0.95
"""Aims of the operators: others in time as often as before, and no idle workers."""


def simulate(load: Load) -> list[Served]:
    return [served(load, simulate_accounts(load, seed)) for seed in SEEDS]


def answers(outcome: Outcome) -> list[tuple[str, float, bool]]:
    return [(each.kind, each.at_s, each.is_in_time) for each in outcome.asked]


class TestBurstOfOneAccount:
    @pytest.mark.parametrize("name", ["busy-burst", "tight-burst"])
    def test_the_others_are_in_time_and_the_work_does_not_fall(self, name: str) -> None:
        # Guards against queues of stages that one account fills, and against idle
        # workers beside refused requests. What the workers can do is what they do in
        # the same burst if nothing is limited.
        shared = simulate(LOADS[name])
        unlimited = simulate(replace(LOADS[name], has_shares=False))
        before = statistics.mean(each.before for each in shared)
        others = statistics.mean(each.others for each in shared)
        assert others >= MIN_IN_TIME * before
        done = [
            work_done(LOADS[name], *pair)
            for pair in zip(shared, unlimited, strict=True)
        ]
        assert statistics.mean(done) >= MIN_DONE


class TestRefusals:
    def test_it_names_what_decided(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # Guards against refusals of an account beyond its share that read as lateness.
        async def burst() -> list[ChainOutcome]:
            rig = Rig(FakeCalls(), batch=2)
            await rig.scheduler.run(replace(work("other"), account=2))
            ends: list[ChainOutcome] = []
            for wave in range(2):
                late = [
                    replace(
                        work(f"{wave}-{number}", due_in_s=0.3, deadline_in_s=0.9),
                        account=1,
                    )
                    for number in range(200)
                ]
                ends += await asyncio.gather(*map(rig.scheduler.run, late))
            return ends

        refused = [
            end
            for end in run_virtual(monkeypatch, burst())
            if isinstance(end, ChainFailed) and not end.is_begun
        ]
        assert refused[-1].reason is Reason.SHARE_EXCEEDED
        assert refused[-1].retry_after_s > 0.0


class TestNothingChanges:
    def test_for_a_single_account(self) -> None:
        # Guards against other decisions where only one account sends.
        load = replace(BUSY_DAY, account_parts=(1.0,), length_s=12.0)
        unlimited = replace(load, has_shares=False)
        assert answers(simulate_accounts(load, 1)) == answers(
            simulate_accounts(unlimited, 1)
        )

    def test_where_all_demand_fits(self) -> None:
        # Guards against other decisions without a shortage.
        load = replace(BUSY_DAY, account_parts=EVEN, bursts=(), length_s=12.0)
        unlimited = replace(load, has_shares=False)
        assert answers(simulate_accounts(load, 1)) == answers(
            simulate_accounts(unlimited, 1)
        )
