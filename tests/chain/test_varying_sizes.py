"""Calls stay full where results are larger or smaller than published.

Pattern: one and a half times a day's requests, bursts of each kind and of all, at
workers whose memory for results two full calls fill. Grounds for the figures: the
published size of a result is an approximation; results that found no memory were seen
where those kept had nine tenths of it by their published sizes, the mean of some
thirty, which sizes that differ by two fifths from request to request explain.
"""

import statistics

import pytest

from trefoilpaddle.state.chain.result_memory import ResultMemory

from .__main__ import play, worth_in_time
from .cell_loads import UNEVEN_DAY

SEEDS = (1, 2, 3, 4, 5)


def means() -> tuple[float, float]:
    """Return the worth in time, and the pieces of a call of the last stage."""
    outcomes = [play(UNEVEN_DAY, seed) for seed in SEEDS]
    worths = [worth_in_time(outcome, UNEVEN_DAY) for outcome in outcomes]
    n_pieces = [outcome.mean_pieces("draw") for outcome in outcomes]
    return statistics.mean(worths), statistics.mean(n_pieces)


class TestFullCalls:
    def test_a_result_that_finds_no_memory_does_not_empty_the_next_calls(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The last piece of a full call finds no memory. What was freed while the
        # call was made counted as kept by others for four seconds; the next calls
        # carried half of what fits, and chains in bursts were refused.
        worth, n_pieces = means()
        learn_full = ResultMemory.learn_full

        def by_what_is_free_now(
            self: ResultMemory, result_bytes: float, now_s: float, *, own_bytes: float
        ) -> None:
            learn_full(self, result_bytes, now_s, own_bytes=self.own_bytes(now_s))

        monkeypatch.setattr(ResultMemory, "learn_full", by_what_is_free_now)
        worth_before, n_pieces_before = means()
        assert n_pieces > n_pieces_before + 1.0
        assert worth > worth_before + 0.02
