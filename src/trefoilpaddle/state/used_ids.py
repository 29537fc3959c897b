"""Ids of attempts that must never start again: finished, refused or barred."""

from collections import deque
from enum import Enum, auto, unique
from typing import Final

from ..protocol.const import NS_PER_S

KEEP_NS: Final = 120 * NS_PER_S
"""How long an id is remembered; longer than any deadline a gateway accepts."""

MAX_IDS: Final = 120_000
"""Most ids remembered, some 20 MB."""

N_GENERATIONS: Final = 6
"""Parts in which the memory is dropped."""

CLOCK_MARGIN_NS: Final = NS_PER_S // 20
"""More than two hosts' clocks can drift apart during one elapsed span."""


@unique
class UsedState(Enum):
    """Why an id is spent."""

    NEVER_STARTED = auto()
    RAN = auto()


class Generation:
    """Ids spent within one span of time.

    Parameters
    ----------
    opened_ns : int
        When the span began.
    """

    __slots__ = ("ids", "last_ns", "opened_ns")

    def __init__(self, *, opened_ns: int) -> None:
        self.ids: dict[bytes, UsedState] = {}
        self.opened_ns = opened_ns
        self.last_ns = opened_ns


class UsedIds:
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
        How long an id is kept at least, while the number allows.
    max_ids : int
        How many ids are kept at most.
    """

    __slots__ = ("_generations", "_horizon_ns", "_keep_ns", "_max_ids")

    def __init__(self, *, keep_ns: int = KEEP_NS, max_ids: int = MAX_IDS) -> None:
        self._keep_ns = keep_ns
        self._max_ids = max_ids
        self._horizon_ns = 0
        self._generations: deque[Generation] = deque()

    def __len__(self) -> int:
        return sum(len(generation.ids) for generation in self._generations)

    def add(self, attempt_id: bytes, spent: UsedState, *, now_ns: int) -> None:
        """Remember that `attempt_id` is spent; an id that ran stays so."""
        if self.get(attempt_id) is UsedState.RAN:
            spent = UsedState.RAN
        generation = self._open_generation(now_ns)
        generation.ids[attempt_id] = spent
        generation.last_ns = now_ns

    def get(self, attempt_id: bytes) -> UsedState | None:
        """Return why `attempt_id` is spent, or None if it is not remembered."""
        for generation in reversed(self._generations):
            spent = generation.ids.get(attempt_id)
            if spent is not None:
                return spent
        return None

    def is_before_horizon(self, sent_ns: int) -> bool:
        """Return True if a message sent at `sent_ns` may be of a dropped id."""
        return self._horizon_ns > 0 and sent_ns <= self._horizon_ns + CLOCK_MARGIN_NS

    def is_complete(self, now_ns: int) -> bool:
        """Return True if every id spent within the keeping time is remembered."""
        return self._horizon_ns <= now_ns - self._keep_ns

    def _open_generation(self, now_ns: int) -> Generation:
        if not self._generations:
            self._generations.append(Generation(opened_ns=now_ns))
        newest = self._generations[-1]
        is_old = now_ns - newest.opened_ns >= self._keep_ns // N_GENERATIONS
        is_full = len(newest.ids) >= self._max_ids // (N_GENERATIONS + 1)
        if is_old or is_full:
            newest = Generation(opened_ns=now_ns)
            self._generations.append(newest)
        if len(self._generations) > N_GENERATIONS + 1:
            self._horizon_ns = self._generations.popleft().last_ns
        return newest
