"""How long answers have taken lately, by route."""

import math
from collections import deque
from typing import Final

N_KEPT: Final = 64
"""Answers of a route that are remembered."""

LIKELY_SHARE: Final = 0.95
"""Share of the remembered answers that took no longer than the likely time."""

MAX_ROUTES: Final = 2000
"""Routes that are remembered; the one learnt first is dropped first."""


class AnswerDurations:
    """Durations of the latest answers of each route."""

    __slots__ = ("_latest_s",)

    def __init__(self) -> None:
        self._latest_s: dict[str, deque[float]] = {}

    def learn(self, route: str, took_s: float) -> None:
        """Record how long one answer took."""
        latest_s = self._latest_s.get(route)
        if latest_s is None:
            if len(self._latest_s) >= MAX_ROUTES:
                del self._latest_s[next(iter(self._latest_s))]
            latest_s = self._latest_s[route] = deque(maxlen=N_KEPT)
        latest_s.append(took_s)

    def likely_s(self, route: str) -> float:
        """Return a time in which most answers end; 0 if none is known."""
        latest_s = sorted(self._latest_s.get(route, ()))
        if not latest_s:
            return 0.0
        return latest_s[math.ceil(LIKELY_SHARE * len(latest_s)) - 1]
