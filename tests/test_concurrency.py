"""Concurrency settles where the target's batching stops to bear more."""

import random
from collections.abc import Callable

import pytest

from trefoilpaddle.state.concurrency import MAX_FACTOR, AdaptiveSlots, Sample
from trefoilpaddle.state.slowness import Slowness

Stretch = Callable[[int], float]
"""Service time at a number of calls at once, over that of one alone."""


def pool_of(n_workers: int) -> Stretch:
    """A pool runs so many calls at full speed; the rest wait inside it."""
    return lambda n: max(1.0, n / n_workers)


def engine_of(max_batch: int) -> Stretch:
    """An engine's step grows a little with its batch, which has a bound."""
    return lambda n: (8 + min(n, max_batch)) / 9 * max(1.0, n / max_batch)


def settled(slots: AdaptiveSlots, stretch: Stretch, *, n_calls: int) -> list[int]:
    """Run saturated and return the number of slots after each call."""
    noise = random.Random(1)
    now_s = 0.0
    seen = []
    for _ in range(n_calls):
        n = slots.n_slots
        service_s = 0.1 * stretch(n) * noise.lognormvariate(0.0, 0.3)
        now_s += service_s / n
        slots.record(
            Sample(
                service_s=service_s,
                predicted_s=0.1,
                mean_running=float(n),
                now_s=now_s,
            )
        )
        seen.append(slots.n_slots)
    return seen


class TestAdaptiveSlots:
    @pytest.mark.parametrize(
        ("begin", "stretch", "best"),
        [
            (begin, stretch, best)
            for stretch, best in (
                (pool_of(4), 4),
                (engine_of(8), 8),
                (pool_of(16), 16),
            )
            for begin in (2, 4, 8, 16)
            if best <= MAX_FACTOR * begin
        ],
    )
    def test_it_settles_near_what_the_target_bears(
        self, begin: int, stretch: Stretch, best: int
    ) -> None:
        seen = settled(AdaptiveSlots(n_slots=begin), stretch, n_calls=20_000)[-5000:]
        mean = sum(seen) / len(seen)
        assert 0.75 * best <= mean <= 1.6 * best

    def test_it_stays_within_its_bounds(self) -> None:
        seen = settled(AdaptiveSlots(n_slots=2), pool_of(1000), n_calls=20_000)
        assert max(seen) == 8
        seen = settled(AdaptiveSlots(n_slots=2), lambda n: float(n), n_calls=20_000)
        assert min(seen) == 1

    def test_calls_without_prediction_or_load_teach_nothing(self) -> None:
        slots = AdaptiveSlots(n_slots=4)
        for now_s in range(1000):
            for predicted_s, mean_running in ((0.0, 4.0), (0.1, 1.0)):
                sample = Sample(
                    service_s=0.1,
                    predicted_s=predicted_s,
                    mean_running=mean_running,
                    now_s=float(now_s),
                )
                slots.record(sample)
        assert slots.n_slots == 4

    def test_a_new_number_in_the_catalogue_is_taken(self) -> None:
        slots = AdaptiveSlots(n_slots=4)
        settled(slots, pool_of(16), n_calls=5000)
        slots.set_base(6)
        assert slots.n_slots == 6


class TestSlowness:
    def test_it_follows_what_is_measured(self) -> None:
        slowness = Slowness()
        for i in range(100):
            slowness.record(service_s=0.5, predicted_s=0.1, now_s=0.1 * i)
        assert slowness.at(10.0) == pytest.approx(5.0, rel=0.01)

    def test_it_tells_how_far_calls_scatter(self) -> None:
        noise = random.Random(1)
        slowness = Slowness()
        for i in range(3000):
            service_s = 0.1 * noise.lognormvariate(0.0, 0.4)
            slowness.record(service_s=service_s, predicted_s=0.1, now_s=0.1 * i)
        high = slowness.allowed_at(300.0, pressure=1.0)
        n_below = sum(noise.lognormvariate(0.0, 0.4) <= high for _ in range(3000))
        assert 0.75 <= n_below / 3000 <= 0.95

    def test_it_fades_when_nothing_is_measured(self) -> None:
        """A slow spell ends while all work is refused because of it.

        No call is measured, so only time can bring the ratio back.
        """
        slowness = Slowness()
        for i in range(100):
            slowness.record(service_s=0.5, predicted_s=0.1, now_s=0.1 * i)
        assert slowness.at(30.0) < 1.01
