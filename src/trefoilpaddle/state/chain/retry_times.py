"""When callers that were refused are asked to come back."""

import random
from typing import Final

RETRY_SPREAD: Final = 1.5
"""Largest factor by which one caller is told to wait longer than another."""

OVERLOAD_GAP_S: Final = 1.0
"""Time without a refusal after which the overload is taken to have ended."""

MIN_RETRY_AFTER_S: Final = 0.3
"""Shortest time after which a caller is told to retry; about one call."""

MAX_RETRY_AFTER_S: Final = 2.5
"""Longest such time; callers with deadlines of 8 s wait no longer."""

JITTER: Final = 0.25
"""Relative spread of the retry times, so that callers do not retry together."""


def spread_retry_s(wait_s: float) -> float:
    """Return Retry-After in seconds for a wait that many callers have in common.

    Callers that all came back at its end would find room for a few of them only.
    """
    return wait_s * random.uniform(1.0, RETRY_SPREAD)


class OverloadClock:
    """How long an overload has lasted, and when its refused callers should retry."""

    __slots__ = ("_began_s", "_last_s")

    def __init__(self) -> None:
        self._began_s = 0.0
        self._last_s = 0.0

    def record_refusal(self, now_s: float) -> None:
        """Record that a caller is refused for lack of capacity."""
        if now_s - self._last_s > OVERLOAD_GAP_S:
            self._began_s = now_s
        self._last_s = now_s

    def retry_after_s(self, now_s: float) -> float:
        """Return the seconds after which a caller that is refused now should retry.

        The duration of an overload is unknown; on average it lasts for about as long
        again as it has lasted already. A caller that retries during the overload takes
        capacity from another, or is refused again.
        """
        lasted_s = now_s - self._began_s
        base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, lasted_s))
        return base_s * random.uniform(1.0 - JITTER, 1.0 + JITTER)
