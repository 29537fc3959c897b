"""For how long the callers of each route wait, as they state themselves."""

from typing import Final

MAX_ROUTES: Final = 10_000
"""Routes that are remembered."""


class CallerWaits:
    """The longest time that callers of each route have stated."""

    __slots__ = ("_longest_s",)

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def learn(self, route: str, wait_s: float) -> None:
        """Learn for how long the caller of a new request waits."""
        if route not in self._longest_s and len(self._longest_s) >= MAX_ROUTES:
            return
        self._longest_s[route] = max(wait_s, self._longest_s.get(route, 0.0))

    def longest_s(self, route: str) -> float:
        """Return the longest time in seconds; 0 if none was stated."""
        return self._longest_s.get(route, 0.0)
