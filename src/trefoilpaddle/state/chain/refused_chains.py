"""Chains that were refused a while ago, and when their callers should come back."""

import random
from collections import OrderedDict
from typing import Final

RETENTION_S: Final = 10.0
"""How long a refused chain is known again; callers come back within a third of
their deadline, and the longest is twenty seconds."""

MAX_REMEMBERED: Final = 20_000
"""Refused chains remembered; ten seconds of the most that one scheduler can refuse."""

OVERLOAD_GAP_S: Final = 1.0
"""Without a refusal for this long, the load that caused them is over."""

MIN_RETRY_AFTER_S: Final = 0.3
"""Shortest time after which a caller is asked back: about one call."""

MAX_RETRY_AFTER_S: Final = 2.5
"""Longest; callers with deadlines of eight seconds wait no longer."""

JITTER: Final = 0.25
"""Callers that were refused together come back spread over this share."""


class RefusedChains:
    """What one scheduler has refused lately."""

    __slots__ = ("_began_s", "_due_s", "_last_s")

    def __init__(self) -> None:
        self._due_s: OrderedDict[str, tuple[float, float]] = OrderedDict()
        self._began_s = 0.0
        self._last_s = 0.0

    def first_due_s(self, key: str, now_s: float) -> float | None:
        """Return when a chain was due that is here again; None for a new one."""
        known = self._due_s.get(key)
        if known is None or now_s - known[0] > RETENTION_S:
            return None
        return known[1]

    def record(self, key: str, due_s: float, now_s: float) -> None:
        """Remember a refusal; the first due time of a chain stays."""
        if now_s - self._last_s > OVERLOAD_GAP_S:
            self._began_s = now_s
        self._last_s = now_s
        first_s = self.first_due_s(key, now_s)
        self._due_s[key] = (now_s, due_s if first_s is None else first_s)
        self._due_s.move_to_end(key)
        while len(self._due_s) > MAX_REMEMBERED:
            self._due_s.popitem(last=False)

    def retry_after_s(self, now_s: float) -> float:
        """Return when a caller that is refused now should come back.

        How long a load lasts is not known; on the average it goes on for about
        as long as it has lasted. A caller that comes back within it takes a
        place from another, or is refused once more.
        """
        lasted_s = now_s - self._began_s
        base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, lasted_s))
        return base_s * random.uniform(1.0 - JITTER, 1.0 + JITTER)
