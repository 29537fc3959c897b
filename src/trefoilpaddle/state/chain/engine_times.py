"""How long after its stages a route's requests have their first event."""

from typing import Final

FIRST_S: Final = 0.3
"""Taken until something was measured: a long prompt and a step at a full engine."""

SMOOTHING: Final = 0.1
"""Weight of the newest request; ten replace most of what was learnt."""

MARGIN: Final = 1.5
"""Times the mean that are left for it: nine requests in ten need less."""

MAX_ROUTES: Final = 2000
"""Routes learnt; the oldest are forgotten."""


class EngineTimes:
    """Mean seconds from sending to the first event, by route."""

    __slots__ = ("_mean_s",)

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}

    def expected_s(self, route: str) -> float:
        """Return the seconds to leave for the engine."""
        return MARGIN * self._mean_s.get(route, FIRST_S)

    def learn(self, route: str, took_s: float) -> None:
        """Take in one request's time."""
        if route not in self._mean_s and len(self._mean_s) >= MAX_ROUTES:
            del self._mean_s[next(iter(self._mean_s))]
        mean_s = self._mean_s.setdefault(route, took_s)
        self._mean_s[route] = mean_s + SMOOTHING * (took_s - mean_s)
