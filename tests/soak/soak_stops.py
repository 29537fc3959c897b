"""Schedules of consecutive and overlapping planned stops, drawn from a seed."""

import random
from typing import Final

from .soak_actions import HangUpGateway, Step, StopGateway
from .soak_record import GRACE_S

WARM_UP_S: Final = 3.0
"""Time before the first order to stop; requests then queue for their stages."""

SERIES_GAP_S: Final = (1.0, 3.0)
"""Range of the time from the last kill of a series to the next series.

Depending on it, all gateways are ready again or the last ones not quite yet.
"""

ORDER_GAP_S: Final = (0.25, 2.5)
"""Range of the time between orders of a series.

Each order arrives before the previous gateway is ready again.
"""

MAX_HANG_UPS: Final = 3
"""Maximum number of SIGHUP signals during one stop."""


def stop_schedule(seed: int, *, length_s: float, n_gateways: int) -> list[Step]:
    """Return series of planned stops, with SIGHUP signals during them."""
    rng = random.Random(f"stops {seed}")
    steps: list[Step] = []
    at_s = WARM_UP_S
    while at_s < length_s:
        last_s = at_s
        for gateway_index, after_s in _series(rng, n_gateways):
            last_s = at_s + after_s
            steps.append(
                Step(at_s=last_s, action=StopGateway(gateway_index=gateway_index))
            )
            steps += [
                Step(
                    at_s=last_s + rng.uniform(0.0, GRACE_S),
                    action=HangUpGateway(gateway_index=gateway_index),
                )
                for _ in range(rng.randint(0, MAX_HANG_UPS))
            ]
        at_s = last_s + GRACE_S + rng.uniform(*SERIES_GAP_S)
    return sorted(steps, key=lambda step: step.at_s)


def _series(rng: random.Random, n_gateways: int) -> list[tuple[int, float]]:
    """Return the gateways and the times of their orders, singly or in pairs."""
    gateway_indexes = rng.sample(range(n_gateways), n_gateways)
    n_at_once = rng.choice((1, 2))
    after_s = 0.0
    series = []
    for position, gateway_index in enumerate(gateway_indexes):
        if position >= n_at_once:
            after_s += rng.uniform(*ORDER_GAP_S)
        series.append((gateway_index, after_s))
    return series
