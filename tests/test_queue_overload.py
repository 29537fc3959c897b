"""The queue policy under overload and bursts, compared with the baseline."""

import pytest

from tests.queue_simulation import QueueSimulation, Source, max_calls_that_fit
from trefoilpaddle.state.fair_queue import FairQueue
from trefoilpaddle.state.work_queue import FifoQueue

SPAN_S = 30.0
SEEDS = (1, 2, 3)
CALM = [Source(owner="a", load=0.3), Source(owner="b", load=0.3)]
BURST = [
    Source(owner="a", load=0.3),
    Source(owner="b", load=3.0, mean_s=0.3, deadline_s=2.0, from_s=10.0),
]


def overload(load: float, deadline_s: float) -> list[Source]:
    return [Source(owner=owner, load=load / 2, deadline_s=deadline_s) for owner in "ab"]


def product(sources: list[Source], seed: int) -> QueueSimulation:
    simulation = QueueSimulation(FairQueue(), refuses_early=True, seed=seed)
    return simulation.run(sources, span_s=SPAN_S)


def baseline(sources: list[Source], seed: int) -> QueueSimulation:
    simulation = QueueSimulation(FifoQueue(), refuses_early=False, seed=seed)
    return simulation.run(sources, span_s=SPAN_S)


@pytest.mark.parametrize("seed", SEEDS)
class TestOverload:
    @pytest.mark.parametrize(
        ("load", "deadline_s", "share"),
        [(1.5, 0.4, 0.9), (1.5, 1.0, 0.9), (3.0, 0.4, 0.8), (3.0, 1.0, 0.9)],
    )
    def test_most_calls_that_fit_are_on_time_and_little_is_wasted(
        self, seed: int, load: float, deadline_s: float, share: float
    ) -> None:
        """The offered load exceeds the capacity of the target.

        With first come, first served, the queue grows until each call starts
        slightly too late, and all target time is spent on late answers.
        """
        sources = overload(load, deadline_s)
        simulation = product(sources, seed)
        most = max_calls_that_fit(sources, seed=seed, span_s=SPAN_S)
        assert simulation.n_met >= share * most
        assert simulation.wasted_share < 0.05
        assert simulation.n_met > 1.15 * baseline(sources, seed).n_met

    def test_each_refusal_has_a_retry_delay(self, seed: int) -> None:
        simulation = product(overload(1.5, 1.0), seed)
        for tally in simulation.tallies.values():
            assert tally.retry_after_s
            assert all(0.0 < wait_s < 10.0 for wait_s in tally.retry_after_s)


@pytest.mark.parametrize("seed", SEEDS)
class TestBurst:
    def test_owner_within_its_share_is_unaffected_by_a_burst(self, seed: int) -> None:
        """One owner sends ten times the work of the other, in longer calls."""
        calm = product(CALM, seed).tallies["a"].attainment
        assert product(BURST, seed).tallies["a"].attainment >= 0.98 * calm
        assert baseline(BURST, seed).tallies["a"].attainment < 0.7


@pytest.mark.parametrize("seed", SEEDS)
class TestCalm:
    def test_policy_loses_no_calls_at_low_load(self, seed: int) -> None:
        assert product(CALM, seed).n_met >= 0.998 * baseline(CALM, seed).n_met


class TestBrownout:
    def test_lower_brownout_order_is_refused_first(self) -> None:
        """Two classes of work of one owner exceed the target's capacity together."""
        sources = [
            Source(owner="a", load=0.75, brownout_order=1, label="low"),
            Source(owner="a", load=0.75, brownout_order=2, label="high"),
        ]
        tallies = product(sources, 1).tallies
        assert tallies["high"].attainment > tallies["low"].attainment + 0.15
