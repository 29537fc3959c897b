"""Claims on request keys at one replica, bounded in count, bytes and time."""

import heapq
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto, unique
from typing import Final

MAX_CLAIMS: Final = 100_000
"""Largest number of claims; a full table refuses new ones and evicts none."""

MAX_RESULTS_BYTES: Final = 32 * 1024 * 1024
"""Largest total size of all stored answers."""

MAX_RESULT_BYTES: Final = 256 * 1024
"""Largest answer that is stored; a retry after a larger one is told only that the
request ran."""


@unique
class ClaimPhase(Enum):
    """Phase of a claim."""

    PENDING = auto()
    """The primary is still querying the other replicas."""
    RUNNING = auto()
    DONE = auto()
    MOVED = auto()
    """Another replica decides about the key and may have granted it."""


@dataclass(slots=True, kw_only=True)
class ClaimRecord:
    """One claim.

    Parameters
    ----------
    key, request_id : str
        The key, and the request of the try that holds it.
    gateway, gateway_incarnation : str, int
        The gateway that runs the request; for a moved key, the replica that
        requested the move.
    grant : int
        Number that the primary drew for its latest copy of the claim.
    fingerprint : int
        Checksum of pipeline and body.
    is_idempotent : bool
        True if the request may be run again.
    phase : ClaimPhase
        The current phase.
    result : bytes, optional
        The stored answer of a finished request.
    overdue_s : float
        Time, on this process's clock, after which a running request counts as
        lost: its gateway will not report an outcome any more.
    expires_s : float
        Time, on this process's clock, at which the record is removed.
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
    """Claim records by key.

    A record is never evicted before it expires: a full table refuses new ones,
    because without its claim a request could be run a second time by a retry.

    Parameters
    ----------
    window_s : float
        Retry window: how long a finished claim is kept.
    max_claims, max_results_bytes : int
        Bounds. An answer beyond the second is not stored, but its claim is kept.
    clock : callable
        Returns monotonic seconds.
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
        """Return the record of `key`, or None if there is none."""
        self._expire()
        return self._records.get(key)

    def add(self, record: ClaimRecord, *, budget_s: float) -> bool:
        """Add a record; return False if the table is full.

        Parameters
        ----------
        record : ClaimRecord
            Record of a key that has none yet.
        budget_s : float
            Seconds within which the request must end. The record is kept for
            one retry window longer.
        """
        self._expire()
        if len(self._records) >= self._max_claims:
            return False
        record.overdue_s = self._clock() + budget_s
        self._records[record.key] = record
        self._expire_at(record, record.overdue_s + self.window_s)
        return True

    def records_after(self, key: str) -> list[ClaimRecord]:
        """Return the records whose keys sort after `key`, in order of key."""
        self._expire()
        return [self._records[name] for name in sorted(self._records) if name > key]

    def add_copy(
        self, record: ClaimRecord, *, overdue_in_s: float, expires_in_s: float
    ) -> bool:
        """Add a record received from another replica; return False if full."""
        result, record.result = record.result, None
        if not self.add(record, budget_s=overdue_in_s):
            return False
        if result is not None and self._has_space(result):
            record.result = result
            self._results_bytes += len(result)
        self._expire_at(record, self._clock() + expires_in_s)
        return True

    def expire_after(self, record: ClaimRecord, *, for_s: float) -> None:
        """Let `record` expire `for_s` seconds from now."""
        self._expire_at(record, self._clock() + for_s)

    def finish(self, record: ClaimRecord, *, result: bytes | None) -> None:
        """Mark `record` done; `result` is None if the answer is not to be stored."""
        if record.phase is ClaimPhase.DONE:
            return
        record.phase = ClaimPhase.DONE
        if result is not None and self._has_space(result):
            record.result = result
            self._results_bytes += len(result)
        self._expire_at(record, self._clock() + self.window_s)

    def remove(self, key: str) -> None:
        """Remove the record of `key`, if there is one."""
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
