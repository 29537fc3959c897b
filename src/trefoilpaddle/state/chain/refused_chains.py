"""Recently refused chains, and the time after which their callers should retry."""

from collections import OrderedDict
from typing import Final

from .retry_times import OverloadClock

RETENTION_S: Final = 10.0
"""Seconds for which a refused chain is recognised when it is sent again.

Callers retry within a third of their deadline, and the longest deadline is 20 s.
"""

MAX_REMEMBERED: Final = 20_000
"""Remembered refusals; the most that one scheduler can refuse in ten seconds."""


class RefusedChains:
    """Chains that one scheduler has refused recently."""

    __slots__ = ("_due_s", "_overload")

    def __init__(self) -> None:
        self._due_s: OrderedDict[str, tuple[float, float]] = OrderedDict()
        self._overload = OverloadClock()

    def first_due_s(self, key: str, now_s: float) -> float | None:
        """Return when a chain that was refused was first due; None for a new chain."""
        known = self._due_s.get(key)
        if known is None or now_s - known[0] > RETENTION_S:
            return None
        return known[1]

    def record(self, key: str, due_s: float, now_s: float) -> None:
        """Record a refusal; the first due time of a chain is kept."""
        self._overload.record_refusal(now_s)
        first_s = self.first_due_s(key, now_s)
        self._due_s[key] = (now_s, due_s if first_s is None else first_s)
        self._due_s.move_to_end(key)
        while len(self._due_s) > MAX_REMEMBERED:
            self._due_s.popitem(last=False)

    def retry_after_s(self, now_s: float) -> float:
        """Return the seconds after which a caller that is refused now should retry."""
        return self._overload.retry_after_s(now_s)
