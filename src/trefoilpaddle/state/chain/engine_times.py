"""Learnt times from sending a request to an engine to its first event, by route."""

import time
from dataclasses import dataclass
from typing import Final

DEFAULT_FIRST_EVENT_S: Final = 0.3
"""Time assumed without measurements: a long prompt and a step at a full engine."""

SMOOTHING: Final = 0.1
"""Weight of the newest request in the mean; ten requests replace most of it."""

MARGIN: Final = 1.5
"""Factor on the mean for the time to reserve; nine requests in ten need less."""

HALF_LIFE_S: Final = 5.0
"""Half-life of the excess over `DEFAULT_FIRST_EVENT_S` while no request arrives.

Without decay, engines that are taken for too slow would have all their requests
refused, and no request could show that they have become faster.
"""

MAX_ROUTES: Final = 2000
"""Routes that are remembered; the one learnt first is dropped first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LearntTime:
    """Learnt time of one route.

    Parameters
    ----------
    mean_s : float
        Smoothed mean time from sending to the first event.
    learnt_s : float
        Monotonic time of the newest request.
    """

    mean_s: float
    learnt_s: float


class EngineTimes:
    """Mean seconds from sending a request to its first event, by route."""

    __slots__ = ("_learnt",)

    def __init__(self) -> None:
        self._learnt: dict[str, LearntTime] = {}

    def expected_s(self, route: str) -> float:
        """Return the seconds to reserve for the engine."""
        learnt = self._learnt.get(route)
        if learnt is None:
            return MARGIN * DEFAULT_FIRST_EVENT_S
        remaining_share: float = 0.5 ** (
            (time.monotonic() - learnt.learnt_s) / HALF_LIFE_S
        )
        excess_s = max(0.0, learnt.mean_s - DEFAULT_FIRST_EVENT_S)
        return MARGIN * (
            min(learnt.mean_s, DEFAULT_FIRST_EVENT_S) + remaining_share * excess_s
        )

    def learn(self, route: str, took_s: float) -> None:
        """Record the time of one request."""
        known = self._learnt.get(route)
        if known is None and len(self._learnt) >= MAX_ROUTES:
            del self._learnt[next(iter(self._learnt))]
        mean_s = took_s if known is None else known.mean_s
        self._learnt[route] = LearntTime(
            mean_s=mean_s + SMOOTHING * (took_s - mean_s), learnt_s=time.monotonic()
        )
