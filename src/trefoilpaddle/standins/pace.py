"""Service times of a stand-in: scaled, jittered and slowed by faults."""

import random

from .faults import Faults


class Pace:
    """Converts nominal service times into the actual ones.

    Parameters
    ----------
    time_scale : float
        Multiplies every service time.
    jitter : float
        Each time is multiplied by a factor that is drawn uniformly between
        ``1 - jitter`` and ``1 + jitter``.
    seed : int
        Seed of these draws.
    faults : Faults
        Faults that are set; ``slow`` multiplies the times further.
    """

    __slots__ = ("_faults", "_jitter", "_random", "_time_scale")

    def __init__(
        self, *, time_scale: float, jitter: float, seed: int, faults: Faults
    ) -> None:
        self._time_scale = time_scale
        self._jitter = jitter
        self._random = random.Random(seed)
        self._faults = faults

    def seconds(self, nominal_s: float) -> float:
        """Return the actual duration of work that nominally takes `nominal_s`."""
        scaled_s = nominal_s * self._time_scale * self._faults.slow_factor
        if not self._jitter:
            return scaled_s
        return scaled_s * self._random.uniform(1.0 - self._jitter, 1.0 + self._jitter)
