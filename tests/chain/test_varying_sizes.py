"""Calls stay full if results are larger or smaller than published.

Pattern: one and a half times the usual request rate, with bursts of each kind and of
all kinds, at workers whose memory for results is filled by two full calls. Reasons for
the figures: the published size of a result is an approximation. Results found no memory
when the kept results, about thirty, used nine tenths of it by their published sizes.
Sizes that differ by two fifths between requests explain this.
"""

import statistics
from dataclasses import dataclass

import pytest

from trefoilpaddle.coordination.chain import overdue_queue
from trefoilpaddle.state.chain.result_memory import ResultMemory

from .__main__ import simulate, value_in_time
from .cell_loads import UNEVEN_DAY

SEEDS = (1, 2, 3, 4, 5)


@dataclass(frozen=True, slots=True, kw_only=True)
class Means:
    """Value in time, share not served, and pieces per call of the last stage."""

    value: float
    unserved: float
    n_pieces: float


def means() -> Means:
    """Return the means over the seeds."""
    days = [simulate(UNEVEN_DAY, seed) for seed in SEEDS]
    return Means(
        value=statistics.mean(value_in_time(day, UNEVEN_DAY) for day in days),
        unserved=statistics.mean(
            (day.refused.total() + day.left.total()) / day.arrived.total()
            for day in days
        ),
        n_pieces=statistics.mean(day.mean_pieces("draw") for day in days),
    )


def use_memory_free_now(patch: pytest.MonkeyPatch) -> None:
    """Use the memory that is free now instead of that when a result found no memory."""
    learn_full = ResultMemory.learn_full

    def learn(
        self: ResultMemory, result_bytes: float, now_s: float, *, own_bytes: float
    ) -> None:
        learn_full(self, result_bytes, now_s, own_bytes=self.own_bytes(now_s))

    patch.setattr(ResultMemory, "learn_full", learn)


class TestFullCalls:
    # The last piece of a full call finds no memory. Memory that was freed during the
    # call counted as kept by others for four seconds; the next calls carried half of
    # what fits, and chains were refused in bursts.
    def test_a_result_that_finds_no_memory_does_not_empty_the_next_calls(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Without overdue chains, which use all spare capacity.
        monkeypatch.setattr(overdue_queue, "MAX_WAITING", 0)
        after = means()
        use_memory_free_now(monkeypatch)
        before = means()
        assert after.n_pieces > before.n_pieces + 1.0
        assert after.value > before.value + 0.02

    def test_a_result_that_finds_no_memory_refuses_no_more_callers(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        after = means()
        use_memory_free_now(monkeypatch)
        before = means()
        assert after.n_pieces > before.n_pieces + 1.0
        assert after.unserved < before.unserved - 0.02
