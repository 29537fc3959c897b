"""Load that exceeds the workers for seconds at each crest of a wave.

Callers have more time than a crest lasts, so the trough after it can serve them late.
"""

import pytest

from trefoilpaddle.coordination.chain import chain_scheduler
from trefoilpaddle.coordination.chain.overdue_queue import OverdueQueue

from .cell_loads import WAVE_DAY
from .cell_model import Outcome
from .test_busy_cell import simulate

SEEDS = (1, 2, 3)
MAX_REFUSED = 0.015
"""Largest share of callers without an answer."""


def refused_share(days: list[Outcome]) -> float:
    n_refused = sum(day.refused.total() for day in days)
    return n_refused / sum(day.arrived.total() for day in days)


def urgent_in_time(days: list[Outcome]) -> float:
    return sum(day.share_in_time("urgent") for day in days) / len(days)


class TestCrest:
    # Guards against callers who are refused at a crest although the trough after it
    # leaves capacity, and against urgent requests that wait for those who are late.
    def test_late_callers_are_served_in_the_trough(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def play() -> list[Outcome]:
            return [simulate(monkeypatch, load=WAVE_DAY, seed=seed) for seed in SEEDS]

        chosen = play()
        assert refused_share(chosen) <= MAX_REFUSED
        with monkeypatch.context() as patch:
            patch.setattr(OverdueQueue, "may_wait", lambda *_, **__: False)
            without = play()
        assert refused_share(without) > 2 * MAX_REFUSED
        assert urgent_in_time(chosen) > urgent_in_time(without) - 0.02

    # Checks that the load exceeds the capacity for less time than callers have.
    def test_a_crest_is_shorter_than_the_deadlines(self) -> None:
        shortest_s = min(kind.deadline_s for kind in WAVE_DAY.kinds)
        assert max(burst.duration_s for burst in WAVE_DAY.bursts) < shortest_s
        assert chain_scheduler.OVERDUE_WAIT_SHARE < 0.5
