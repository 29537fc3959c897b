"""A value with its recent past, for what is published or reported late."""

import time
from bisect import bisect_right
from collections import deque
from typing import Final, Generic, TypeVar

T = TypeVar("T")

RESOLUTION_S: Final = 0.002
"""Changes that follow each other faster are kept as one."""


class Lagged(Generic[T]):
    """Keeps the values of the last seconds, to answer with an older one.

    Parameters
    ----------
    initial : T
        Value before the first change.
    keep_s : float
        How far back values are kept.
    """

    __slots__ = ("_keep_s", "_past", "latest")

    def __init__(self, *, initial: T, keep_s: float = 60.0) -> None:
        self.latest = initial
        self._keep_s = keep_s
        self._past: deque[tuple[float, T]] = deque([(float("-inf"), initial)])

    def set(self, value: T) -> None:
        """Change the value now."""
        now = time.monotonic()
        self.latest = value
        if now - self._past[-1][0] < RESOLUTION_S:
            self._past[-1] = (self._past[-1][0], value)
        else:
            self._past.append((now, value))
        while len(self._past) > 1 and self._past[1][0] < now - self._keep_s:
            self._past.popleft()

    def at(self, moment_s: float) -> T:
        """Return the value that held at `moment_s` of the monotonic clock."""
        place = bisect_right(self._past, moment_s, key=lambda entry: entry[0])
        return self._past[max(0, place - 1)][1]
