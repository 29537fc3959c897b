"""Which requests were running at workers as these ended, and what follows from it."""

import time
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from .fingerprint import account_part

BLOCK_AFTER: Final = 3
"""Crashes after which a request is sent to no worker."""

BLOCK_S: Final = {3: 600.0, 4: 3600.0}
"""How long a request is blocked, by its crashes; with more, until it is forgotten.

After that it is tried once more, alone, so that one that was only unlucky is cleared.
"""

RETENTION_S: Final = 86400.0
"""How long a crash is remembered."""

MAX_REQUESTS: Final = 2048
"""Requests that are remembered, those with the fewest crashes forgotten first."""

MAX_REQUESTS_PER_ACCOUNT: Final = 256
"""The same of one client account: twice what runs at the largest worker."""

MAX_LEVEL: Final = 8
"""Crashes of one request that are counted; more change nothing."""

MAX_CLEARED: Final = 2048
"""Requests whose clearing is remembered, so that late news do not undo it."""


@unique
class CrashStatus(Enum):
    """What may be done with a request."""

    CLEAR = "clear"
    """Nothing is known against it."""
    WATCHED = "watched"
    """One worker has ended under it."""
    SUSPECT = "suspect"
    """It runs once at a time, apart from others."""
    BLOCKED = "blocked"
    """It is sent to no worker."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Crash:
    """The end of a worker under a run of a request.

    Parameters
    ----------
    worker_id : str
        The worker.
    born_ms : int
        Its start; 0 where it tells none.
    level : int
        One more than the crashes that its gateway knew as the run began. All that
        began with the same knowledge count as one: workers that lose their power
        together end many runs of a popular request, and news of it come late.
    ended_s : float
        Monotonic time of the end.
    """

    worker_id: str
    born_ms: int
    level: int
    ended_s: float


@dataclass(slots=True, kw_only=True)
class CrashRecord:
    """The crashes of one request, the first that was heard of each level."""

    crashes: dict[int, Crash] = field(default_factory=dict)

    def level(self) -> int:
        """Return how many crashes there were, one after another."""
        return max(self.crashes, default=0)

    def last_crash_s(self) -> float:
        """Return the time of the last crash."""
        return max(crash.ended_s for crash in self.crashes.values())


class CrashRegistry:
    """Remembers crashes by request, bounded in count and time.

    A request that ends well anywhere is cleared of all its crashes: one that
    crashes each worker never does.
    """

    __slots__ = ("_cleared_s", "_of_account", "_records")

    def __init__(self) -> None:
        self._records: dict[str, CrashRecord] = {}
        self._of_account: Counter[str] = Counter()
        self._cleared_s: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def record(self, fingerprint: str, crash: Crash) -> bool:
        """Take in a crash; return True if it was news."""
        now_s = time.monotonic()
        is_old = now_s - crash.ended_s > RETENTION_S
        if is_old or crash.level > MAX_LEVEL or self.is_cleared(fingerprint, crash):
            return False
        record = self._records.get(fingerprint)
        if record is None:
            if not self._make_room(fingerprint, now_s):
                return False
            record = self._records[fingerprint] = CrashRecord()
            self._of_account[account_part(fingerprint)] += 1
        if crash.level in record.crashes:
            return False
        record.crashes[crash.level] = crash
        return True

    def clear(self, fingerprint: str) -> bool:
        """Forget the crashes of a request; return True if that was news."""
        is_news = fingerprint not in self._cleared_s or fingerprint in self._records
        self._forget(fingerprint)
        self._cleared_s[fingerprint] = time.monotonic()
        self._cleared_s.move_to_end(fingerprint)
        while len(self._cleared_s) > MAX_CLEARED:
            self._cleared_s.popitem(last=False)
        return is_news

    def is_cleared(self, fingerprint: str, crash: Crash) -> bool:
        """Return True if a request was cleared since a crash."""
        cleared_s = self._cleared_s.get(fingerprint)
        return cleared_s is not None and crash.ended_s <= cleared_s

    def status(self, fingerprint: str) -> CrashStatus:
        """Return what may be done with a request now."""
        record = self._records.get(fingerprint)
        if record is None:
            return CrashStatus.CLEAR
        age_s = time.monotonic() - record.last_crash_s()
        level = record.level()
        if age_s > RETENTION_S:
            self._forget(fingerprint)
            return CrashStatus.CLEAR
        if level >= BLOCK_AFTER:
            is_over = age_s > BLOCK_S.get(level, RETENTION_S)
            return CrashStatus.SUSPECT if is_over else CrashStatus.BLOCKED
        return CrashStatus.SUSPECT if level == BLOCK_AFTER - 1 else CrashStatus.WATCHED

    def level(self, fingerprint: str) -> int:
        """Return how many crashes of a request there were, one after another."""
        record = self._records.get(fingerprint)
        return 0 if record is None else record.level()

    def crashes(self, fingerprint: str) -> tuple[Crash, ...]:
        """Return the crashes of a request."""
        record = self._records.get(fingerprint)
        return () if record is None else tuple(record.crashes.values())

    def fingerprints(self) -> list[str]:
        """Return all requests that are remembered."""
        return list(self._records)

    def _make_room(self, fingerprint: str, now_s: float) -> bool:
        """Forget what matters least where there is too much; False if nothing does.

        What one client account sends takes the place of its own records only.
        """
        account = account_part(fingerprint)
        if self._of_account[account] >= MAX_REQUESTS_PER_ACCOUNT:
            return self._drop_least(account)
        if len(self._records) < MAX_REQUESTS:
            return True
        for known in [f for f, r in self._records.items() if _is_old(r, now_s)]:
            self._forget(known)
        if len(self._records) < MAX_REQUESTS:
            return True
        return self._drop_least(self._of_account.most_common(1)[0][0])

    def _drop_least(self, account: str) -> bool:
        """Forget the record of an account with the fewest and oldest crashes.

        One whose request is no longer only watched stays: a caller that makes up
        bodies would have what it has crashed workers with forgotten.
        """
        least = min(
            (
                (record.level(), record.last_crash_s(), fingerprint)
                for fingerprint, record in self._records.items()
                if account_part(fingerprint) == account
            ),
        )
        if least[0] >= BLOCK_AFTER - 1:
            return False
        self._forget(least[2])
        return True

    def _forget(self, fingerprint: str) -> None:
        if self._records.pop(fingerprint, None) is not None:
            account = account_part(fingerprint)
            self._of_account[account] -= 1
            if not self._of_account[account]:
                del self._of_account[account]


def _is_old(record: CrashRecord, now_s: float) -> bool:
    return now_s - record.last_crash_s() > RETENTION_S
