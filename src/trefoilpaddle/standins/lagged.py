"""A value with its recent history, for delayed publishing and reports."""

import time
from bisect import bisect_right
from collections import deque
from typing import Final, Generic, TypeVar

T = TypeVar("T")

RESOLUTION_S: Final = 0.002
"""Changes within this time of the previous entry replace its value."""


class Lagged(Generic[T]):
    """Keeps the recent values, so that an earlier one can be returned.

    Parameters
    ----------
    initial : T
        Value before the first change.
    keep_s : float
        Time for which replaced values are kept.
    """

    __slots__ = ("_history", "_keep_s", "latest")

    def __init__(self, *, initial: T, keep_s: float = 60.0) -> None:
        self.latest = initial
        self._keep_s = keep_s
        self._history: deque[tuple[float, T]] = deque([(float("-inf"), initial)])

    def set(self, value: T) -> None:
        """Set the current value."""
        now = time.monotonic()
        self.latest = value
        if now - self._history[-1][0] < RESOLUTION_S:
            self._history[-1] = (self._history[-1][0], value)
        else:
            self._history.append((now, value))
        while len(self._history) > 1 and self._history[1][0] < now - self._keep_s:
            self._history.popleft()

    def at(self, moment_s: float) -> T:
        """Return the value that was current at `moment_s` of the monotonic clock."""
        index = bisect_right(self._history, moment_s, key=lambda entry: entry[0])
        return self._history[max(0, index - 1)][1]
