"""Planned stops that follow one another and overlap, drawn from a seed."""

import random
from typing import Final

from .soak_actions import HangUpGateway, Step, StopGateway
from .soak_record import GRACE_S

FILL_S: Final = 3.0
"""Until the first order; by then requests queue for their stages."""

BACK_S: Final = (1.0, 3.0)
"""From the last kill of a series to the next: all are back, or just not yet."""

GAPS_S: Final = (0.25, 2.5)
"""Between the orders of a series; each comes before the former gateway is back."""

N_HANG_UPS: Final = 3
"""Most hang-ups within one stop."""


def stop_schedule(seed: int, *, length_s: float, n_gateways: int) -> list[Step]:
    """Return series of planned stops, and hang-ups within them."""
    rng = random.Random(f"stops {seed}")
    steps: list[Step] = []
    at_s = FILL_S
    while at_s < length_s:
        last_s = at_s
        for number, after_s in _series(rng, n_gateways):
            last_s = at_s + after_s
            steps.append(Step(at_s=last_s, action=StopGateway(number=number)))
            steps += [
                Step(
                    at_s=last_s + rng.uniform(0.0, GRACE_S),
                    action=HangUpGateway(number=number),
                )
                for _ in range(rng.randint(0, N_HANG_UPS))
            ]
        at_s = last_s + GRACE_S + rng.uniform(*BACK_S)
    return sorted(steps, key=lambda step: step.at_s)


def _series(rng: random.Random, n_gateways: int) -> list[tuple[int, float]]:
    """Return each gateway and the time of its order: in turn, or two at once."""
    numbers = rng.sample(range(n_gateways), n_gateways)
    n_at_once = rng.choice((1, 2))
    after_s = 0.0
    series = []
    for place, number in enumerate(numbers):
        if place >= n_at_once:
            after_s += rng.uniform(*GAPS_S)
        series.append((number, after_s))
    return series
