"""Ids of attempts that must never start again: finished, refused or barred."""

from collections import OrderedDict
from enum import Enum, auto, unique
from typing import Final

KEEP_NS: Final = 120 * 1_000_000_000
"""How long an id is remembered; longer than any deadline a gateway accepts."""

MAX_IDS: Final = 200_000
"""Most ids remembered; some 30 MB."""

CLOCK_MARGIN_NS: Final = 50_000_000
"""More than two hosts' clocks can drift apart during one elapsed span."""


@unique
class Spent(Enum):
    """Why an id is spent."""

    NEVER_STARTED = auto()
    RAN = auto()


class SpentIds:
    """Remembers spent ids, and refuses by age where memory was cut.

    Guards against a start message that arrives late on another connection,
    after its attempt was barred or has run: it would run a second time, or
    after a gateway was promised that it never will. While the id is remembered
    the id refuses it. When ids are dropped, for age or for number, the moment
    at which the newest of them was spent becomes the *horizon*. A start message
    was written before its attempt was spent, and its stamp plus its elapsed
    span is a lower bound of that moment on this process's own clock; so every
    message that could belong to a dropped id lies before the horizon, and all
    messages from before the horizon are refused. Cutting the memory can only
    refuse too much, never run twice.

    Parameters
    ----------
    keep_ns : int
        How long an id is kept.
    max_ids : int
        How many ids are kept.
    """

    __slots__ = ("_horizon_ns", "_ids", "_keep_ns", "_max_ids")

    def __init__(self, *, keep_ns: int = KEEP_NS, max_ids: int = MAX_IDS) -> None:
        self._keep_ns = keep_ns
        self._max_ids = max_ids
        self._horizon_ns = 0
        self._ids: OrderedDict[bytes, tuple[Spent, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._ids)

    def add(self, attempt_id: bytes, spent: Spent, *, now_ns: int) -> None:
        """Remember that `attempt_id` is spent; an id that ran stays so."""
        known = self._ids.pop(attempt_id, None)
        if known is not None and known[0] is Spent.RAN:
            spent = Spent.RAN
        self._ids[attempt_id] = (spent, now_ns)
        self._cut(now_ns)

    def get(self, attempt_id: bytes) -> Spent | None:
        """Return why `attempt_id` is spent, or None if it is not remembered."""
        known = self._ids.get(attempt_id)
        return known[0] if known is not None else None

    def is_before_horizon(self, sent_ns: int) -> bool:
        """Return True if a message sent at `sent_ns` may be of a dropped id."""
        return self._horizon_ns > 0 and sent_ns <= self._horizon_ns + CLOCK_MARGIN_NS

    def is_complete(self, now_ns: int) -> bool:
        """Return True if every id spent within the keeping time is remembered."""
        return self._horizon_ns <= now_ns - self._keep_ns

    def _cut(self, now_ns: int) -> None:
        while self._ids:
            attempt_id, (_, spent_ns) = next(iter(self._ids.items()))
            is_old = spent_ns < now_ns - self._keep_ns
            if not is_old and len(self._ids) <= self._max_ids:
                return
            del self._ids[attempt_id]
            self._horizon_ns = spent_ns
