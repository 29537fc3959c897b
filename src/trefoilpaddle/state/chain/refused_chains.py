"""Recently refused chains, and the time after which their callers should retry."""

import random
from collections import OrderedDict
from typing import Final

RETENTION_S: Final = 10.0
"""Seconds for which a refused chain is recognised when it is sent again.

Callers retry within a third of their deadline, and the longest deadline is 20 s.
"""

MAX_REMEMBERED: Final = 20_000
"""Remembered refusals; the most that one scheduler can refuse in ten seconds."""

OVERLOAD_GAP_S: Final = 1.0
"""Time without a refusal after which the overload is taken to have ended."""

MIN_RETRY_AFTER_S: Final = 0.3
"""Shortest time after which a caller is told to retry; about one call."""

MAX_RETRY_AFTER_S: Final = 2.5
"""Longest such time; callers with deadlines of 8 s wait no longer."""

JITTER: Final = 0.25
"""Relative spread of the retry times, so that callers do not retry together."""


class RefusedChains:
    """Chains that one scheduler has refused recently."""

    __slots__ = ("_due_s", "_last_s", "_overload_began_s")

    def __init__(self) -> None:
        self._due_s: OrderedDict[str, tuple[float, float]] = OrderedDict()
        self._overload_began_s = 0.0
        self._last_s = 0.0

    def first_due_s(self, key: str, now_s: float) -> float | None:
        """Return when a chain that was refused was first due; None for a new chain."""
        known = self._due_s.get(key)
        if known is None or now_s - known[0] > RETENTION_S:
            return None
        return known[1]

    def record(self, key: str, due_s: float, now_s: float) -> None:
        """Record a refusal; the first due time of a chain is kept."""
        if now_s - self._last_s > OVERLOAD_GAP_S:
            self._overload_began_s = now_s
        self._last_s = now_s
        first_s = self.first_due_s(key, now_s)
        self._due_s[key] = (now_s, due_s if first_s is None else first_s)
        self._due_s.move_to_end(key)
        while len(self._due_s) > MAX_REMEMBERED:
            self._due_s.popitem(last=False)

    def retry_after_s(self, now_s: float) -> float:
        """Return the seconds after which a caller that is refused now should retry.

        The duration of an overload is unknown; on average it lasts for about as long
        again as it has lasted already. A caller that retries during the overload takes
        capacity from another, or is refused again.
        """
        lasted_s = now_s - self._overload_began_s
        base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, lasted_s))
        return base_s * random.uniform(1.0 - JITTER, 1.0 + JITTER)
