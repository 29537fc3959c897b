"""How long after its stages a route's requests have their first event."""

import time
from dataclasses import dataclass
from typing import Final

DEFAULT_FIRST_EVENT_S: Final = 0.3
"""Taken until something was measured: a long prompt and a step at a full engine."""

SMOOTHING: Final = 0.1
"""Weight of the newest request; ten replace most of what was learnt."""

MARGIN: Final = 1.5
"""Times the mean that are left for it: nine requests in ten need less."""

HALF_LIFE_S: Final = 5.0
"""Time without a request in which half of what exceeds `FIRST_S` is forgotten.

With engines taken for too slow, all requests are refused, and none would show better.
"""

MAX_ROUTES: Final = 2000
"""Routes learnt; the oldest are forgotten."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LearntTime:
    """What a route's requests have shown.

    Parameters
    ----------
    mean_s : float
        From sending to the first event.
    learnt_s : float
        Monotonic time of the newest request.
    """

    mean_s: float
    learnt_s: float


class EngineTimes:
    """Mean seconds from sending to the first event, by route."""

    __slots__ = ("_learnt",)

    def __init__(self) -> None:
        self._learnt: dict[str, LearntTime] = {}

    def expected_s(self, route: str) -> float:
        """Return the seconds to leave for the engine."""
        learnt = self._learnt.get(route)
        if learnt is None:
            return MARGIN * DEFAULT_FIRST_EVENT_S
        left: float = 0.5 ** ((time.monotonic() - learnt.learnt_s) / HALF_LIFE_S)
        more_s = max(0.0, learnt.mean_s - DEFAULT_FIRST_EVENT_S)
        return MARGIN * (min(learnt.mean_s, DEFAULT_FIRST_EVENT_S) + left * more_s)

    def learn(self, route: str, took_s: float) -> None:
        """Take in one request's time."""
        known = self._learnt.get(route)
        if known is None and len(self._learnt) >= MAX_ROUTES:
            del self._learnt[next(iter(self._learnt))]
        mean_s = took_s if known is None else known.mean_s
        self._learnt[route] = LearntTime(
            mean_s=mean_s + SMOOTHING * (took_s - mean_s), learnt_s=time.monotonic()
        )
