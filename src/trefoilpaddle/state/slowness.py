"""Tracks how much slower than predicted a target has been recently."""

import math
from typing import Final

STEP: Final = 0.1
"""Weight of one call in the moving average of the ratio."""

GRACE_S: Final = 2.0
"""Age up to which the last measurement has its full effect."""

FADE_S: Final = 2.0
"""Time constant with which the effect of an older measurement decays."""

MIN_SLOWNESS: Final = 0.5
"""Lower bound of the ratio of one call."""

MAX_SLOWNESS: Final = 20.0
"""Upper bound of the ratio, of one call and in a report."""

QUANTILE: Final = 0.85
QUANTILE_STEP: Final = 0.05
FIRST_SPREAD: Final = 1.25
MAX_SPREAD: Final = 2.0


class Slowness:
    """Moving average of the ratio of measured to predicted service time.

    A value of 1 means as predicted. Without a new measurement for ``GRACE_S``,
    the value decays to 1: if a slow target caused all its work to be refused, it
    would otherwise get no more calls and no new measurement.
    """

    __slots__ = ("_ratio", "_recorded_s", "_spread")

    def __init__(self) -> None:
        self._ratio = 1.0
        self._spread = FIRST_SPREAD
        self._recorded_s = 0.0

    def at(self, now_s: float) -> float:
        """Return the ratio at `now_s`, seconds on a monotonic clock."""
        age_s = max(0.0, now_s - self._recorded_s - GRACE_S)
        return 1.0 + (self._ratio - 1.0) * math.exp(-age_s / FADE_S)

    def allowed_at(self, now_s: float, *, pressure: float) -> float:
        """Return the ratio to allow for when work must be in time.

        Parameters
        ----------
        now_s : float
            Seconds on a monotonic clock.
        pressure : float
            From 0, no other work waits, to 1, much work waits. At 1 the result
            is the ratio below which ``QUANTILE`` of the calls stay, because the
            time of a late call is lost to other work. At 0 it is a ratio below
            which few calls stay, because a late call harms no other work.
        """
        return self.at(now_s) * math.pow(self._spread, 2.0 * pressure - 1.0)

    def record(self, *, service_s: float, predicted_s: float, now_s: float) -> None:
        """Record one finished call; a call without a prediction is ignored."""
        if predicted_s <= 0.0:
            return
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, service_s / predicted_s))
        self._record_spread(ratio / self.at(now_s))
        self._ratio = self.at(now_s) + STEP * (ratio - self.at(now_s))
        self._recorded_s = now_s

    def _record_spread(self, relative: float) -> None:
        """Update the tracked quantile of the ratio relative to its average."""
        above = QUANTILE if relative > self._spread else QUANTILE - 1.0
        moved = self._spread * (1.0 + QUANTILE_STEP * above)
        self._spread = min(MAX_SPREAD, max(1.0, moved))
