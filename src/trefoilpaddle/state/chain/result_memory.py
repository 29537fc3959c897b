"""Memory for results at one worker: what is kept there, by whom, and until when."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from .cell_handover import HeldResult
from .routes import PieceService

PROBE_INTERVAL_S: Final = 0.5
"""Time after which memory for one more result is tried where one found none.

An eighth of the time after which results run out that nobody frees, as published
so far: at most eight results find none after a scheduler is lost.
"""

ASSUMED_FREE_SHARE: Final = 0.9
"""Part of a result that found no memory which is believed to be free after all.

Smaller results of other stages often fit where a large one does not.
"""

LOW_MEMORY_SHARE: Final = 0.5
"""Part of the memory from which on it counts as short: a full call or two are left."""


@dataclass(frozen=True, slots=True, kw_only=True)
class KeptResult:
    """A result that waits at its maker.

    Parameters
    ----------
    n_bytes : float
        Its expected size.
    until_s : float
        Monotonic time at which it runs out unless it is freed before.
    """

    n_bytes: float
    until_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ExternalResults:
    """What others than this scheduler are believed to keep at a worker.

    Parameters
    ----------
    n_bytes : float
        How much.
    at_s : float
        When that was learnt.
    until_s : float
        When the last of it must have run out.
    freed_per_s : float
        How much less of it is believed with each second.
    """

    n_bytes: float = 0.0
    at_s: float = 0.0
    until_s: float = 0.0
    freed_per_s: float = 0.0

    def bytes_at(self, now_s: float) -> float:
        """Return how much is believed of it by now."""
        if now_s >= self.until_s:
            return 0.0
        return max(0.0, self.n_bytes - self.freed_per_s * (now_s - self.at_s))


class ResultMemory:
    """What one worker's memory for results holds, as far as is known here.

    A piece whose result finds no memory fails at once, and its call is lost to
    others. So results are counted from the sending of their call until the worker
    has answered that it freed them. What others have left there, a scheduler that
    is gone or one that calls the worker as well, its report tells in part; the
    rest shows when a result finds no memory.

    Parameters
    ----------
    service : PieceService
        Says how much there is and how long results are kept.
    """

    __slots__ = (
        "_first_over_s",
        "_foreign",
        "_kept",
        "_kept_bytes",
        "_sent_bytes",
        "service",
    )

    def __init__(self, *, service: PieceService) -> None:
        self.service = service
        self._kept: dict[str, KeptResult] = {}
        # Summed once after a change, as it is asked for many times between two. Not
        # added to and taken from: rounded, a last result would seem not to fit.
        self._kept_bytes: float | None = 0.0
        self._first_over_s = float("inf")
        self._sent_bytes = 0.0
        self._foreign = ExternalResults()

    def is_empty(self, now_s: float) -> bool:
        """Return True if nothing is known to be kept."""
        return not self.used_bytes(now_s)

    def is_low(self, now_s: float) -> bool:
        """Return True if so much is kept that what is read should go at once."""
        return self.used_bytes(now_s) > LOW_MEMORY_SHARE * self.service.memory_bytes

    def begin_call(self, n_bytes: float) -> None:
        """Count the results of a call from its sending on."""
        self._sent_bytes += n_bytes

    def end_call(self, n_bytes: float) -> None:
        """Count them no more as those of a call."""
        self._sent_bytes = max(0.0, self._sent_bytes - n_bytes)

    def keep(self, handle: str, n_bytes: float, now_s: float) -> None:
        """Count a result that waits at the worker from now on."""
        self._put(handle, n_bytes, now_s + self.service.retention_s)

    def free(self, handle: str) -> None:
        """Count a result as gone from the worker."""
        if self._kept.pop(handle, None) is not None:
            self._kept_bytes = None

    def _put(self, handle: str, n_bytes: float, until_s: float) -> None:
        self._kept[handle] = KeptResult(n_bytes=n_bytes, until_s=until_s)
        self._kept_bytes = None
        self._first_over_s = min(self._first_over_s, until_s)

    def learn_report(self, least_bytes: float, most_bytes: float, now_s: float) -> None:
        """Take in between which bounds the worker reports its free memory."""
        others_bytes = self.service.memory_bytes - self.own_bytes(now_s)
        known_bytes = self._foreign.bytes_at(now_s)
        n_bytes = min(known_bytes, max(0.0, others_bytes - least_bytes))
        n_bytes = max(n_bytes, others_bytes - most_bytes, 0.0)
        # What is left of it cannot be kept longer than it could before.
        until_s = self._foreign.until_s
        if n_bytes > known_bytes:
            until_s = now_s + self.service.retention_s
        self._foreign = ExternalResults(
            n_bytes=n_bytes,
            at_s=now_s,
            until_s=until_s,
            freed_per_s=self._foreign.freed_per_s,
        )

    def learn_full(
        self, result_bytes: float, now_s: float, *, own_bytes: float
    ) -> None:
        """Take in that a result of that size found no memory.

        What is free by now says nothing: a call takes its memory at its turn, and
        half of what was kept then may be freed before it ends. Counted as kept by
        others, that left a worker a third of its memory for four seconds each time
        that the last result of a full call was a little larger than published.

        Parameters
        ----------
        result_bytes : float
            Expected size of the result.
        now_s : float
            Monotonic time.
        own_bytes : float
            What this scheduler's results took when it found none.
        """
        free_bytes = self.service.memory_bytes - own_bytes
        self._foreign = ExternalResults(
            n_bytes=max(0.0, free_bytes - ASSUMED_FREE_SHARE * result_bytes),
            at_s=now_s,
            until_s=now_s + self.service.retention_s,
            freed_per_s=result_bytes / PROBE_INTERVAL_S,
        )

    def has_external_results(self, now_s: float) -> bool:
        """Return True while others are believed to keep something there."""
        return self._foreign.bytes_at(now_s) > 0.0

    def used_bytes(self, now_s: float) -> float:
        """Return the bytes of all results that wait at the worker."""
        return self.own_bytes(now_s) + self._foreign.bytes_at(now_s)

    def free_bytes(self, now_s: float) -> float:
        """Return the bytes that are left for new results."""
        return self.service.memory_bytes - self.used_bytes(now_s)

    def held(self, now_s: float) -> tuple[HeldResult, ...]:
        """Return the results of this scheduler that wait there."""
        self._drop_over(now_s)
        return tuple(
            HeldResult(
                handle=handle, n_bytes=kept.n_bytes, expires_in_s=kept.until_s - now_s
            )
            for handle, kept in self._kept.items()
        )

    def take_over_results(self, held: Iterable[HeldResult], now_s: float) -> None:
        """Count what another scheduler has had made."""
        for each in held:
            self._put(each.handle, each.n_bytes, now_s + each.expires_in_s)

    def own_bytes(self, now_s: float) -> float:
        """Return the bytes of this scheduler's results, those of calls included."""
        self._drop_over(now_s)
        if self._kept_bytes is None:
            self._kept_bytes = sum(kept.n_bytes for kept in self._kept.values())
        return self._sent_bytes + self._kept_bytes

    def _drop_over(self, now_s: float) -> None:
        if now_s < self._first_over_s:
            return
        over = [handle for handle, kept in self._kept.items() if kept.until_s <= now_s]
        for handle in over:
            self.free(handle)
        left_s = (kept.until_s for kept in self._kept.values())
        self._first_over_s = min(left_s, default=float("inf"))
