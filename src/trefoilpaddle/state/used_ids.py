"""Ids of attempts that must not start again: finished, refused or barred."""

from collections import deque
from enum import Enum, auto, unique
from typing import Final

from ..protocol.const import NS_PER_S

KEEP_NS: Final = 120 * NS_PER_S
"""How long an id is remembered; longer than any deadline that a gateway accepts."""

MAX_IDS: Final = 120_000
"""Largest number of remembered ids; they take about 20 MB."""

N_GENERATIONS: Final = 6
"""Number of parts in which ids are kept and dropped."""

CLOCK_MARGIN_NS: Final = NS_PER_S // 20
"""Upper bound of the drift between two hosts' clocks during one elapsed span."""


@unique
class UsedState(Enum):
    """How an attempt id was used."""

    NEVER_STARTED = auto()
    RAN = auto()


class Generation:
    """Ids used within one span of time.

    Parameters
    ----------
    opened_ns : int
        Start of the span on this process's monotonic clock.
    """

    __slots__ = ("ids", "last_ns", "opened_ns")

    def __init__(self, *, opened_ns: int) -> None:
        self.ids: dict[bytes, UsedState] = {}
        self.opened_ns = opened_ns
        self.last_ns = opened_ns


class UsedIds:
    """Remembers used ids; refuses old messages whose ids may have been dropped.

    Guards against a start message that arrives late on another connection,
    after its attempt was barred or has run. Without this check, the attempt
    would run a second time, or would run after a gateway was promised that it
    never starts. While the id is remembered, the message is refused by its id.
    When ids are dropped, by age or by number, the time at which the newest of
    them was used becomes the *horizon*. A start message is written before its
    attempt is used, and its stamp plus its elapsed span is a lower bound of the
    time of writing on this process's clock. So every message of a dropped id
    lies before the horizon, and all messages from before the horizon are
    refused. Dropping ids can cause a refusal too many, but never a second run.

    Parameters
    ----------
    keep_ns : int
        How long an id is kept, unless `max_ids` is reached.
    max_ids : int
        Largest number of ids.
    """

    __slots__ = ("_generations", "_horizon_ns", "_keep_ns", "_max_ids")

    def __init__(self, *, keep_ns: int = KEEP_NS, max_ids: int = MAX_IDS) -> None:
        self._keep_ns = keep_ns
        self._max_ids = max_ids
        self._horizon_ns = 0
        self._generations: deque[Generation] = deque()

    def __len__(self) -> int:
        return sum(len(generation.ids) for generation in self._generations)

    def add(self, attempt_id: bytes, state: UsedState, *, now_ns: int) -> None:
        """Record that `attempt_id` is used; an id that ran keeps that state."""
        if self.get(attempt_id) is UsedState.RAN:
            state = UsedState.RAN
        generation = self._open_generation(now_ns)
        generation.ids[attempt_id] = state
        generation.last_ns = now_ns

    def get(self, attempt_id: bytes) -> UsedState | None:
        """Return how `attempt_id` was used, or None if it is not remembered."""
        for generation in reversed(self._generations):
            state = generation.ids.get(attempt_id)
            if state is not None:
                return state
        return None

    def is_before_horizon(self, sent_ns: int) -> bool:
        """Return True if a message sent at `sent_ns` may belong to a dropped id."""
        return self._horizon_ns > 0 and sent_ns <= self._horizon_ns + CLOCK_MARGIN_NS

    def is_complete(self, now_ns: int) -> bool:
        """Return True if every id used within the retention time is remembered."""
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
