"""Service times of a stand-in: scaled, jittered and slowed by faults."""

import random

from .faults import Faults


class Pace:
    """Turns nominal service times into the ones that are waited for.

    Parameters
    ----------
    time_scale : float
        Multiplies every service time.
    jitter : float
        Each time is drawn evenly from ``1 - jitter`` to ``1 + jitter`` of it.
    seed : int
        Of those draws.
    faults : Faults
        May slow down.
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
        """Return how long work of `nominal_s` takes now."""
        scaled_s = nominal_s * self._time_scale * self._faults.slow_factor
        if not self._jitter:
            return scaled_s
        return scaled_s * self._random.uniform(1.0 - self._jitter, 1.0 + self._jitter)
