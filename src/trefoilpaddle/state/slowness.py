"""How much slower than predicted the target is of late, and how surely."""

import math
from typing import Final

STEP: Final = 0.1
"""Weight of one call in the ratio."""

GRACE_S: Final = 2.0
"""Age up to which the last measurement counts in full."""

FADE_S: Final = 2.0
"""Time in which an older one fades to a third."""

MIN_SLOWNESS: Final = 0.5
"""Least ratio that one call counts with."""

MAX_SLOWNESS: Final = 20.0
"""Largest ratio that is believed, of one call and of a report."""

QUANTILE: Final = 0.85
QUANTILE_STEP: Final = 0.05
FIRST_SPREAD: Final = 1.25
MAX_SPREAD: Final = 2.0


class Slowness:
    """Running ratio of measured to predicted service time; 1 is as predicted.

    Without a new measurement for ``GRACE_S`` it fades back to 1. A target that
    was slow while everything was refused because of it would otherwise never be
    tried again.
    """

    __slots__ = ("_ratio", "_spread", "_when_s")

    def __init__(self) -> None:
        self._ratio = 1.0
        self._spread = FIRST_SPREAD
        self._when_s = 0.0

    def at(self, now_s: float) -> float:
        """Return the ratio at `now_s`, seconds on a monotonic clock."""
        age_s = max(0.0, now_s - self._when_s - GRACE_S)
        return 1.0 + (self._ratio - 1.0) * math.exp(-age_s / FADE_S)

    def allowed_at(self, now_s: float, *, pressure: float) -> float:
        """Return the ratio to allow for when work must be in time.

        Parameters
        ----------
        now_s : float
            Seconds on a monotonic clock.
        pressure : float
            From 0, nothing else waits, to 1, much does. Under pressure it is
            the ratio that ``QUANTILE`` of the calls stay below, since the time
            of a call that is late after all is missing to others; without it,
            the ratio that few calls stay below, since nobody else is hurt.
        """
        return self.at(now_s) * math.pow(self._spread, 2.0 * pressure - 1.0)

    def record(self, *, service_s: float, predicted_s: float, now_s: float) -> None:
        """Take in one ended call; one without prediction says nothing."""
        if predicted_s <= 0.0:
            return
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, service_s / predicted_s))
        self._record_spread(ratio / self.at(now_s))
        self._ratio = self.at(now_s) + STEP * (ratio - self.at(now_s))
        self._when_s = now_s

    def _record_spread(self, relative: float) -> None:
        """Move the tracked quantile of the ratio over its mean."""
        above = QUANTILE if relative > self._spread else QUANTILE - 1.0
        moved = self._spread * (1.0 + QUANTILE_STEP * above)
        self._spread = min(MAX_SPREAD, max(1.0, moved))
