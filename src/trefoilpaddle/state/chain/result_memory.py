"""Use of one worker's memory for results: sizes, owners and expiry of the results."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from .cell_handover import HeldResult
from .routes import PieceService

PROBE_INTERVAL_S: Final = 0.5
"""Time after which memory for one more result is assumed where a result found none.

This is an eighth of the usual published retention of results that are not freed: at
most eight results fail for lack of memory after a scheduler is lost.
"""

ASSUMED_FREE_SHARE: Final = 0.9
"""Part of the size of a result that found no memory which is still taken to be free.

Smaller results of other stages often fit where a large one does not.
"""

LOW_MEMORY_SHARE: Final = 0.5
"""Used part of the memory above which it is low: one or two full calls are left."""


@dataclass(frozen=True, slots=True, kw_only=True)
class KeptResult:
    """A result that is kept at the worker that computed it.

    Parameters
    ----------
    n_bytes : float
        Expected size in bytes.
    until_s : float
        Monotonic time at which the result expires unless it is freed earlier.
    """

    n_bytes: float
    until_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ExternalResults:
    """Estimated results that others than this scheduler keep at a worker.

    Parameters
    ----------
    n_bytes : float
        Estimated bytes at time `at_s`.
    at_s : float
        Monotonic time of the estimate.
    until_s : float
        Monotonic time at which the last of these results must have expired.
    freed_per_s : float
        Bytes by which the estimate falls per second.
    """

    n_bytes: float = 0.0
    at_s: float = 0.0
    until_s: float = 0.0
    freed_per_s: float = 0.0

    def bytes_at(self, now_s: float) -> float:
        """Return the estimated bytes at time `now_s`."""
        if now_s >= self.until_s:
            return 0.0
        return max(0.0, self.n_bytes - self.freed_per_s * (now_s - self.at_s))


class ResultMemory:
    """Use of one worker's memory for results, as far as it is known here.

    A piece whose result finds no memory fails at once, and its slot in the call is
    wasted. Results therefore count from the sending of their call until the worker has
    confirmed that it freed them. Results of others, a former scheduler or one that
    calls the same worker, are only partly visible in its report; the rest is inferred
    when a result finds no memory.

    Parameters
    ----------
    service : PieceService
        Service of the worker, with the size of the memory and the retention.
    """

    __slots__ = (
        "_external",
        "_first_expiry_s",
        "_kept",
        "_kept_bytes",
        "_sent_bytes",
        "service",
    )

    def __init__(self, *, service: PieceService) -> None:
        self.service = service
        self._kept: dict[str, KeptResult] = {}
        # Sum of the kept results, or None after a change. It is read many times between
        # changes. Adding and subtracting instead would accumulate rounding errors, so
        # that a last result would seem not to fit.
        self._kept_bytes: float | None = 0.0
        self._first_expiry_s = float("inf")
        self._sent_bytes = 0.0
        self._external = ExternalResults()

    def is_empty(self, now_s: float) -> bool:
        """Return True if no result is known to be kept."""
        return not self.used_bytes(now_s)

    def is_low(self, now_s: float) -> bool:
        """Return True if results should be freed at once when they are read."""
        return self.used_bytes(now_s) > LOW_MEMORY_SHARE * self.service.memory_bytes

    def begin_call(self, n_bytes: float) -> None:
        """Count the expected results of a call that is sent."""
        self._sent_bytes += n_bytes

    def end_call(self, n_bytes: float) -> None:
        """Stop counting the expected results of a call that has ended."""
        self._sent_bytes = max(0.0, self._sent_bytes - n_bytes)

    def keep(self, handle: str, n_bytes: float, now_s: float) -> None:
        """Count a result that the worker keeps from now on."""
        self._put(handle, n_bytes, now_s + self.service.retention_s)

    def free(self, handle: str) -> None:
        """Stop counting a result that the worker has freed."""
        if self._kept.pop(handle, None) is not None:
            self._kept_bytes = None

    def _put(self, handle: str, n_bytes: float, until_s: float) -> None:
        self._kept[handle] = KeptResult(n_bytes=n_bytes, until_s=until_s)
        self._kept_bytes = None
        self._first_expiry_s = min(self._first_expiry_s, until_s)

    def learn_report(self, least_bytes: float, most_bytes: float, now_s: float) -> None:
        """Update the estimate from the reported bounds of the free memory."""
        others_bytes = self.service.memory_bytes - self.own_bytes(now_s)
        known_bytes = self._external.bytes_at(now_s)
        n_bytes = min(known_bytes, max(0.0, others_bytes - least_bytes))
        n_bytes = max(n_bytes, others_bytes - most_bytes, 0.0)
        # A remaining part of known results expires no later than assumed before.
        until_s = self._external.until_s
        if n_bytes > known_bytes:
            until_s = now_s + self.service.retention_s
        self._external = ExternalResults(
            n_bytes=n_bytes,
            at_s=now_s,
            until_s=until_s,
            freed_per_s=self._external.freed_per_s,
        )

    def learn_full(
        self, result_bytes: float, now_s: float, *, own_bytes: float
    ) -> None:
        """Update the estimate after a result of that size found no memory.

        The memory that is free now is irrelevant: a call allocates its memory when it
        begins, and half of what was kept then may be freed before the call ends. When
        the freed part was counted as kept by others, a worker had only a third of its
        memory for four seconds each time that the last result of a full call was
        slightly larger than published.

        Parameters
        ----------
        result_bytes : float
            Expected size of the result.
        now_s : float
            Monotonic time.
        own_bytes : float
            Memory that results of this scheduler used at that time.
        """
        free_bytes = self.service.memory_bytes - own_bytes
        self._external = ExternalResults(
            n_bytes=max(0.0, free_bytes - ASSUMED_FREE_SHARE * result_bytes),
            at_s=now_s,
            until_s=now_s + self.service.retention_s,
            freed_per_s=result_bytes / PROBE_INTERVAL_S,
        )

    def has_external_results(self, now_s: float) -> bool:
        """Return True while others are estimated to keep results there."""
        return self._external.bytes_at(now_s) > 0.0

    def used_bytes(self, now_s: float) -> float:
        """Return the bytes used by all results at the worker, known and estimated."""
        return self.own_bytes(now_s) + self._external.bytes_at(now_s)

    def free_bytes(self, now_s: float) -> float:
        """Return the bytes that are free for new results."""
        return self.service.memory_bytes - self.used_bytes(now_s)

    def held(self, now_s: float) -> tuple[HeldResult, ...]:
        """Return the results of this scheduler that the worker keeps."""
        self._drop_expired(now_s)
        return tuple(
            HeldResult(
                handle=handle, n_bytes=kept.n_bytes, expires_in_s=kept.until_s - now_s
            )
            for handle, kept in self._kept.items()
        )

    def take_over_results(self, held: Iterable[HeldResult], now_s: float) -> None:
        """Count the results of a former scheduler as those of this one."""
        for each in held:
            self._put(each.handle, each.n_bytes, now_s + each.expires_in_s)

    def own_bytes(self, now_s: float) -> float:
        """Return the bytes of this scheduler's results, including those of calls."""
        self._drop_expired(now_s)
        if self._kept_bytes is None:
            self._kept_bytes = sum(kept.n_bytes for kept in self._kept.values())
        return self._sent_bytes + self._kept_bytes

    def _drop_expired(self, now_s: float) -> None:
        if now_s < self._first_expiry_s:
            return
        expired = [
            handle for handle, kept in self._kept.items() if kept.until_s <= now_s
        ]
        for handle in expired:
            self.free(handle)
        expiries_s = (kept.until_s for kept in self._kept.values())
        self._first_expiry_s = min(expiries_s, default=float("inf"))
