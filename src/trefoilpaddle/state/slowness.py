"""How much slower than predicted the target is of late."""

import math
from typing import Final

STEP: Final = 0.1
GRACE_S: Final = 2.0
FADE_S: Final = 2.0
MIN: Final = 0.5
MAX: Final = 20.0


class Slowness:
    """Running ratio of measured to predicted service time; 1 is as predicted.

    Without a new measurement for ``GRACE_S`` it fades back to 1. A target that
    was slow while everything was refused because of it would otherwise never be
    tried again.
    """

    __slots__ = ("_ratio", "_when_s")

    def __init__(self) -> None:
        self._ratio = 1.0
        self._when_s = 0.0

    def at(self, now_s: float) -> float:
        """Return the ratio at `now_s`, seconds on a monotonic clock."""
        age_s = max(0.0, now_s - self._when_s - GRACE_S)
        return 1.0 + (self._ratio - 1.0) * math.exp(-age_s / FADE_S)

    def note(self, *, service_s: float, predicted_s: float, now_s: float) -> None:
        """Take in one ended call; one without prediction says nothing."""
        if predicted_s <= 0.0:
            return
        ratio = min(MAX, max(MIN, service_s / predicted_s))
        self._ratio = self.at(now_s) + STEP * (ratio - self.at(now_s))
        self._when_s = now_s
