"""The number of slots settles where more concurrent calls gain no throughput."""

import random
from collections.abc import Callable

import pytest

from trefoilpaddle.state.concurrency import MAX_FACTOR, AdaptiveSlots, Sample
from trefoilpaddle.state.slowness import Slowness

Stretch = Callable[[int], float]
"""Service time with a number of concurrent calls, relative to one call alone."""


def pool_of(n_workers: int) -> Stretch:
    """A pool runs `n_workers` calls at full speed; further calls wait inside it."""
    return lambda n: max(1.0, n / n_workers)


def engine_of(max_batch: int) -> Stretch:
    """The step time of an engine grows slightly with its batch, which is bounded."""
    return lambda n: (8 + min(n, max_batch)) / 9 * max(1.0, n / max_batch)


def slots_after_calls(
    slots: AdaptiveSlots, stretch: Stretch, *, n_calls: int
) -> list[int]:
    """Run calls in all slots; return the number of slots after each call."""
    noise = random.Random(1)
    now_s = 0.0
    counts = []
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
        counts.append(slots.n_slots)
    return counts


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
    def test_slots_settle_near_the_capacity_of_the_target(
        self, begin: int, stretch: Stretch, best: int
    ) -> None:
        counts = slots_after_calls(
            AdaptiveSlots(n_slots=begin), stretch, n_calls=20_000
        )[-5000:]
        mean = sum(counts) / len(counts)
        assert 0.75 * best <= mean <= 1.6 * best

    def test_slots_stay_within_bounds(self) -> None:
        counts = slots_after_calls(
            AdaptiveSlots(n_slots=2), pool_of(1000), n_calls=20_000
        )
        assert max(counts) == 8
        counts = slots_after_calls(
            AdaptiveSlots(n_slots=2), lambda n: float(n), n_calls=20_000
        )
        assert min(counts) == 1

    def test_calls_without_prediction_or_full_load_are_ignored(self) -> None:
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

    def test_new_number_of_slots_in_the_catalogue_is_applied(self) -> None:
        slots = AdaptiveSlots(n_slots=4)
        slots_after_calls(slots, pool_of(16), n_calls=5000)
        slots.set_base(6)
        assert slots.n_slots == 6


class TestSlowness:
    def test_ratio_follows_measurements(self) -> None:
        slowness = Slowness()
        for i in range(100):
            slowness.record(service_s=0.5, predicted_s=0.1, now_s=0.1 * i)
        assert slowness.at(10.0) == pytest.approx(5.0, rel=0.01)

    def test_allowed_ratio_covers_the_variance_of_calls(self) -> None:
        noise = random.Random(1)
        slowness = Slowness()
        for i in range(3000):
            service_s = 0.1 * noise.lognormvariate(0.0, 0.4)
            slowness.record(service_s=service_s, predicted_s=0.1, now_s=0.1 * i)
        high = slowness.allowed_at(300.0, pressure=1.0)
        n_below = sum(noise.lognormvariate(0.0, 0.4) <= high for _ in range(3000))
        assert 0.75 <= n_below / 3000 <= 0.95

    def test_ratio_decays_without_measurements(self) -> None:
        """A target recovers while all work is refused because it was slow.

        No call is measured then, so the ratio must return to 1 with time alone.
        """
        slowness = Slowness()
        for i in range(100):
            slowness.record(service_s=0.5, predicted_s=0.1, now_s=0.1 * i)
        assert slowness.at(30.0) < 1.01
