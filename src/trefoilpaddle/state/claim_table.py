"""Claims on request keys that one place knows, bounded in count, bytes, time."""

import heapq
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto, unique
from typing import Final

MAX_CLAIMS: Final = 100_000
"""Claims kept; a full table refuses new ones rather than forget any."""

MAX_RESULTS_BYTES: Final = 32 * 1024 * 1024
"""Memory of all stored answers together."""

MAX_RESULT_BYTES: Final = 256 * 1024
"""Largest answer that is stored; a retry of a larger one learns only that it ran."""


@unique
class ClaimPhase(Enum):
    """How far a claim has come."""

    PENDING = auto()
    """The first place is still asking others."""
    RUNNING = auto()
    DONE = auto()
    MOVED = auto()
    """Another place decides and may have granted it."""


@dataclass(slots=True, kw_only=True)
class ClaimRecord:
    """One claim.

    Parameters
    ----------
    key, request_id : str
        The key, and the request of the try that holds it.
    gateway, gateway_incarnation : str, int
        The process that runs the request; of a moved key, the place that asked.
    grant : int
        Number of the copy that the first place asked for last.
    fingerprint : int
        Of pipeline and body.
    is_idempotent : bool
        True if the request may be run again.
    phase : ClaimPhase
        How far it has come.
    result : bytes, optional
        The stored answer of a finished request.
    overdue_s : float
        Own clock; a request still running then will not be reported any more.
    expires_s : float
        Own clock; the record is forgotten then.
    """

    key: str
    request_id: str = ""
    gateway: str = ""
    gateway_incarnation: int = 0
    fingerprint: int = 0
    is_idempotent: bool = False
    grant: int = 0
    phase: ClaimPhase = ClaimPhase.RUNNING
    result: bytes | None = None
    overdue_s: float = 0.0
    expires_s: float = 0.0


class ClaimTable:
    """Records by key.

    A record is never dropped before its time: a full table refuses new ones,
    because a forgotten claim would let a retry run a second time.

    Parameters
    ----------
    window_s : float
        How long a finished claim is kept for retries.
    max_claims, max_results_bytes : int
        Bounds; an answer over the second is forgotten, its claim is not.
    clock : callable
        Monotonic seconds.
    """

    __slots__ = (
        "_clock",
        "_expiries",
        "_max_claims",
        "_max_results_bytes",
        "_records",
        "_results_bytes",
        "window_s",
    )

    def __init__(
        self,
        *,
        window_s: float,
        max_claims: int = MAX_CLAIMS,
        max_results_bytes: int = MAX_RESULTS_BYTES,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.window_s = window_s
        self._max_claims = max_claims
        self._max_results_bytes = max_results_bytes
        self._clock = clock
        self._records: dict[str, ClaimRecord] = {}
        self._expiries: list[tuple[float, str]] = []
        self._results_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> ClaimRecord | None:
        """Return the record of `key`, or None without one."""
        self._expire()
        return self._records.get(key)

    def add(self, record: ClaimRecord, *, budget_s: float) -> bool:
        """Keep a new record; return False if the table is full.

        Parameters
        ----------
        record : ClaimRecord
            Of a key that has none.
        budget_s : float
            Seconds in which the request must end; the record outlives them by
            a whole retry window.
        """
        self._expire()
        if len(self._records) >= self._max_claims:
            return False
        record.overdue_s = self._clock() + budget_s
        self._records[record.key] = record
        self._expire_at(record, record.overdue_s + self.window_s)
        return True

    def records_after(self, key: str) -> list[ClaimRecord]:
        """Return the records of keys beyond `key`, in order of key."""
        self._expire()
        return [self._records[name] for name in sorted(self._records) if name > key]

    def add_copy(
        self, record: ClaimRecord, *, overdue_in_s: float, expires_in_s: float
    ) -> bool:
        """Keep a record that another place holds; return False if full."""
        result, record.result = record.result, None
        if not self.add(record, budget_s=overdue_in_s):
            return False
        if result is not None and self._has_space(result):
            record.result = result
            self._results_bytes += len(result)
        self._expire_at(record, self._clock() + expires_in_s)
        return True

    def expire_after(self, record: ClaimRecord, *, for_s: float) -> None:
        """Forget `record` after `for_s` seconds from now."""
        self._expire_at(record, self._clock() + for_s)

    def finish(self, record: ClaimRecord, *, result: bytes | None) -> None:
        """Mark `record` done; None where the answer was too large to keep."""
        if record.phase is ClaimPhase.DONE:
            return
        record.phase = ClaimPhase.DONE
        if result is not None and self._has_space(result):
            record.result = result
            self._results_bytes += len(result)
        self._expire_at(record, self._clock() + self.window_s)

    def remove(self, key: str) -> None:
        """Forget `key`, whose request was not run."""
        record = self._records.pop(key, None)
        if record is not None and record.result is not None:
            self._results_bytes -= len(record.result)

    def _has_space(self, result: bytes) -> bool:
        if len(result) > MAX_RESULT_BYTES:
            return False
        return self._results_bytes + len(result) <= self._max_results_bytes

    def _expire_at(self, record: ClaimRecord, expires_s: float) -> None:
        record.expires_s = expires_s
        heapq.heappush(self._expiries, (expires_s, record.key))

    def _expire(self) -> None:
        now_s = self._clock()
        while self._expiries and self._expiries[0][0] <= now_s:
            _, key = heapq.heappop(self._expiries)
            record = self._records.get(key)
            if record is not None and record.expires_s <= now_s:
                self.remove(key)
