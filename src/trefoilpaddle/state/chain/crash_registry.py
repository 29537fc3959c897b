"""Worker crashes by what ran there, and the restrictions that follow.

What may have crashed a worker is called a subject: a request, its pieces at a service
of its stages, or a part of its prompt that other requests may share. Each has a
fingerprint.
"""

import time
from collections import Counter, OrderedDict
from collections.abc import Iterator, Set
from dataclasses import dataclass, field, replace
from enum import Enum, unique
from typing import Final

from .fingerprint import PARTS_ACCOUNT, account_part, is_part

BLOCK_AFTER: Final = 3
"""Number of crashes after which a subject is sent to no worker."""

BLOCK_PART_AFTER: Final = 5
"""Crashed workers after which a part is blocked while others crash without it.

A part that is often sent runs at several of them by chance. After `BLOCK_AFTER` crashes
in succession it is isolated then.
"""

OTHER_EXITS_S: Final = 30.0
"""Seconds within which exits of other workers count for this."""

MAX_EXITS: Final = 64
"""Exits of workers that are remembered for this."""

BLOCK_S: Final = {3: 600.0, 4: 3600.0}
"""Seconds for which a request is blocked, by its number of crashes.

With more crashes it is blocked until its record expires. After the block it runs once
more, isolated, so that a request that ran at crashing workers by chance is cleared.
"""

BLOCK_PART_S: Final = {3: 600.0, 4: 3600.0, 5: 600.0, 6: 3600.0}
"""The same for a part of a prompt."""

VERDICT_S: Final = 1.0
"""Seconds within which other gateways report which requests ran at a crashed worker."""

RETENTION_S: Final = 86400.0
"""Seconds for which a crash is remembered."""

MAX_REQUESTS: Final = 2048
"""Requests that are remembered; those with the fewest crashes are evicted first."""

MAX_REQUESTS_PER_ACCOUNT: Final = 256
"""The same limit per client account: twice what runs at the largest worker."""

MAX_PARTS: Final = 1024
"""The same limit for parts of prompts, which belong to no account."""

MAX_LEVEL: Final = 8
"""Highest level of a crash. Further crashes have it, too: that a subject ran at their
workers, or did not, still tells it from others."""

MAX_STARTS: Final = 32
"""Worker processes of one record; an outage may end more that ran a subject."""

MAX_CLEARED: Final = 2048
"""Cleared or answered subjects that are remembered, so that late reports of crashes
do not undo this."""


Start = tuple[str, int]
"""Id and start time of a worker process; a restarted worker keeps its id."""


@unique
class CrashStatus(Enum):
    """What may be done with a subject after worker crashes."""

    CLEAR = "clear"
    """No crash is known."""
    WATCHED = "watched"
    """Workers have crashed while they ran it, too few or for another reason."""
    SUSPECT = "suspect"
    """It has at most one run at a time, isolated from other requests."""
    BLOCKED = "blocked"
    """It is sent to no worker."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Crash:
    """The crash of a worker while it ran a subject.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    born_ms : int
        Start time of the worker; 0 if it reports none.
    level : int
        One more than the number of crashes that the gateway knew when the run began.
        Crashes of runs that began with the same knowledge count as one: workers that
        lose power together end many runs of a popular subject, and the reports of
        these crashes arrive late.
    ended_s : float
        Monotonic time of the crash.
    """

    worker_id: str
    born_ms: int
    level: int
    ended_s: float

    @property
    def start(self) -> Start:
        """Id and start time of the worker process."""
        return self.worker_id, self.born_ms


@dataclass(slots=True, kw_only=True)
class CrashRecord:
    """The crashes of one subject.

    A process crashes once, although runs of a subject there may have begun with
    different knowledge: the run with the least of it may have been the cause.

    Attributes
    ----------
    crashes : dict of Start to Crash
        The crash of each process, with the lowest level that was reported.
    last_start : Start
        Process of the crash that was recorded last.
    reported_s : float
        Monotonic time at which that was.
    """

    crashes: dict[Start, Crash] = field(default_factory=dict)
    last_start: Start = ("", 0)
    reported_s: float = 0.0

    def n_successive(self) -> int:
        """Return how many crashes there were in succession."""
        return len({crash.level for crash in self.crashes.values()})

    def last_level(self) -> int:
        """Return the highest level of the crashes."""
        return max((crash.level for crash in self.crashes.values()), default=0)

    def add(self, crash: Crash) -> bool:
        """Add a crash; return True if this changed anything."""
        known = self.crashes.get(crash.start)
        if known is None and len(self.crashes) >= MAX_STARTS:
            return False
        if known is not None and known.level <= crash.level:
            return False
        self.crashes[crash.start] = crash
        self.last_start = crash.start
        return True

    def starts_before_last(self) -> set[Start]:
        """Return all processes but that of the crash that was recorded last."""
        return set(self.crashes) - {self.last_start}

    def last_crash_s(self) -> float:
        """Return the monotonic time of the latest crash."""
        return max(crash.ended_s for crash in self.crashes.values())


class CrashRegistry:
    """Records crashes by subject, bounded in count and time.

    A subject that any worker answers is cleared of all its crashes: one that crashes
    every worker is never answered.
    """

    __slots__ = (
        "_answered_s",
        "_cleared_s",
        "_exits_s",
        "_n_by_account",
        "_records",
    )

    def __init__(self) -> None:
        self._exits_s: OrderedDict[Start, float] = OrderedDict()
        self._answered_s: OrderedDict[str, float] = OrderedDict()
        self._records: dict[str, CrashRecord] = {}
        self._n_by_account: Counter[str] = Counter()
        self._cleared_s: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def record(self, fingerprint: str, crash: Crash) -> bool:
        """Record a crash; return True if it was not known yet."""
        now_s = time.monotonic()
        self._exits_s[crash.start] = crash.ended_s
        while len(self._exits_s) > MAX_EXITS:
            self._exits_s.popitem(last=False)
        is_old = now_s - crash.ended_s > RETENTION_S
        if is_old or self.is_cleared(fingerprint, crash):
            return False
        record = self._records.get(fingerprint)
        if record is None:
            if not self._ensure_capacity(fingerprint, now_s):
                return False
            record = self._records[fingerprint] = CrashRecord()
            self._n_by_account[account_part(fingerprint)] += 1
        if not record.add(replace(crash, level=min(crash.level, MAX_LEVEL))):
            return False
        record.reported_s = now_s
        return True

    def clear(self, fingerprint: str) -> bool:
        """Forget the crashes of a subject; return True if this changed anything."""
        is_change = fingerprint not in self._cleared_s or fingerprint in self._records
        self._forget(fingerprint)
        _remember(self._cleared_s, fingerprint)
        return is_change

    def record_answer(self, fingerprint: str) -> None:
        """Remember that a subject without crashes on record was answered.

        A crash that happened before may be reported later.
        """
        _remember(self._answered_s, fingerprint)

    def is_cleared(self, fingerprint: str, crash: Crash) -> bool:
        """Return True if a subject was cleared or answered after a crash."""
        return any(
            fingerprint in known and crash.ended_s <= known[fingerprint]
            for known in (self._cleared_s, self._answered_s)
        )

    def status(
        self, fingerprint: str, *, within: frozenset[str] = frozenset()
    ) -> CrashStatus:
        """Return what may be done with a subject now, given its fingerprint.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the subject.
        within : frozenset of str
            Fingerprints of all subjects of the request that is to be sent. These do not
            excuse one another: whichever is the cause, the request crashes its worker.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return CrashStatus.CLEAR
        age_s = time.monotonic() - record.last_crash_s()
        n_successive = record.n_successive()
        if age_s > RETENTION_S:
            self._forget(fingerprint)
            return CrashStatus.CLEAR
        if n_successive >= BLOCK_AFTER:
            blocks_s = BLOCK_PART_S if is_part(fingerprint) else BLOCK_S
            is_over = age_s > blocks_s.get(n_successive, RETENTION_S)
            has_other = self._has_other_cause(fingerprint, record, within)
            if is_part(fingerprint) and has_other:
                # Many sound requests may share the part, and the next good end of one
                # of them clears it.
                return CrashStatus.WATCHED
            is_part_in_doubt = (
                is_part(fingerprint)
                and len(record.crashes) < BLOCK_PART_AFTER
                and self._has_exits_without(record)
            )
            is_sure = not (is_over or has_other or is_part_in_doubt)
            return CrashStatus.BLOCKED if is_sure else CrashStatus.SUSPECT
        is_suspect = n_successive == BLOCK_AFTER - 1 and not is_part(fingerprint)
        return CrashStatus.SUSPECT if is_suspect else CrashStatus.WATCHED

    def is_verdict_due(
        self, fingerprint: str, *, within: frozenset[str] = frozenset()
    ) -> bool:
        """Return False while another subject may still turn out to be the cause.

        It ran at all workers whose crashes were recorded before the last one. If it ran
        there too, the gateway that sent it may not have reported this yet.
        """
        record = self._records.get(fingerprint)
        if record is None or time.monotonic() - record.reported_s > VERDICT_S:
            return True
        earlier = record.starts_before_last()
        return next(self._sharing(earlier, {fingerprint} | within), None) is None

    def other_causes(self, fingerprint: str, *, with_last: bool = True) -> list[str]:
        """Return the other subjects that ran at all workers that crashed.

        Without `with_last`, at all of them but those of the last crash.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return []
        starts = set(record.crashes) if with_last else record.starts_before_last()
        return list(self._sharing(starts, {fingerprint}))

    def excused_by(self, fingerprint: str) -> list[str]:
        """Return the other subjects that crashed only workers at which one ran."""
        record = self._records.get(fingerprint)
        if record is None:
            return []
        return [
            known
            for known, other in self._records.items()
            if known != fingerprint and other.crashes.keys() <= record.crashes.keys()
        ]

    def unsure(self) -> list[str]:
        """Return the requests that are not blocked only because of another subject."""
        return [
            fingerprint
            for fingerprint, record in self._records.items()
            if not is_part(fingerprint)
            and record.n_successive() >= BLOCK_AFTER
            and self._has_other_cause(fingerprint, record, frozenset())
        ]

    def _has_other_cause(
        self, fingerprint: str, record: CrashRecord, within: frozenset[str]
    ) -> bool:
        """Return True if other subjects explain all crashes of one.

        Either another one ran at all of these workers, as a popular one may by chance:
        neither is blocked until one of them is answered, or has crashed a worker
        without the other. Or each of these workers ran another one that has crashed as
        many, some of them without this one.
        """
        unexplained = set(record.crashes)
        # Without `within`, the parts of a request's own prompt are not known here, and
        # ran wherever it did.
        ignores_parts = not within and not is_part(fingerprint)
        for known, other in self._records.items():
            if known == fingerprint or known in within:
                continue
            if ignores_parts and is_part(known):
                continue
            starts = other.crashes.keys()
            if starts >= record.crashes.keys():
                return True
            has_own = not starts <= record.crashes.keys()
            if has_own and other.n_successive() >= BLOCK_AFTER:
                unexplained -= starts
        return not unexplained

    def _has_exits_without(self, record: CrashRecord) -> bool:
        """Return True if workers crashed lately that did not run a subject."""
        since_s = record.last_crash_s() - OTHER_EXITS_S
        return any(
            ended_s > since_s and start not in record.crashes
            for start, ended_s in self._exits_s.items()
        )

    def _sharing(self, starts: set[Start], without: Set[str]) -> Iterator[str]:
        """Yield the subjects that ran at all of these workers, but for some."""
        for fingerprint, record in self._records.items():
            if (
                len(record.crashes) >= len(starts)
                and fingerprint not in without
                and starts <= record.crashes.keys()
            ):
                yield fingerprint

    def level(self, fingerprint: str) -> int:
        """Return the highest level of the crashes of a subject, 0 without one."""
        record = self._records.get(fingerprint)
        return 0 if record is None else record.last_level()

    def n_successive(self, fingerprint: str) -> int:
        """Return how many crashes of a subject there were in succession."""
        record = self._records.get(fingerprint)
        return 0 if record is None else record.n_successive()

    def crashes(self, fingerprint: str) -> tuple[Crash, ...]:
        """Return the crashes of a subject, one for each process."""
        record = self._records.get(fingerprint)
        return () if record is None else tuple(record.crashes.values())

    def fingerprints(self) -> list[str]:
        """Return the fingerprints of all subjects that are remembered."""
        return list(self._records)

    def _ensure_capacity(self, fingerprint: str, now_s: float) -> bool:
        """Evict a record if a limit is reached; return False if none may be evicted.

        Above the limit of a client account, only records of that account are evicted.
        """
        account = account_part(fingerprint)
        limit = MAX_PARTS if account == PARTS_ACCOUNT else MAX_REQUESTS_PER_ACCOUNT
        if self._n_by_account[account] >= limit:
            return self._evict_least_severe(account)
        if len(self._records) < MAX_REQUESTS:
            return True
        for known in [f for f, r in self._records.items() if _is_expired(r, now_s)]:
            self._forget(known)
        if len(self._records) < MAX_REQUESTS:
            return True
        return self._evict_least_severe(self._n_by_account.most_common(1)[0][0])

    def _evict_least_severe(self, account: str) -> bool:
        """Evict the record of an account with the fewest and oldest crashes.

        Records of suspect and blocked requests stay: a caller that sends many different
        bodies could otherwise evict the records of the requests that crashed workers.
        """
        least = min(
            (
                (record.n_successive(), record.last_crash_s(), fingerprint)
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
            self._n_by_account[account] -= 1
            if not self._n_by_account[account]:
                del self._n_by_account[account]


def _remember(times_s: OrderedDict[str, float], fingerprint: str) -> None:
    """Note the present time for a subject, and forget the oldest above the limit."""
    times_s[fingerprint] = time.monotonic()
    times_s.move_to_end(fingerprint)
    while len(times_s) > MAX_CLEARED:
        times_s.popitem(last=False)


def _is_expired(record: CrashRecord, now_s: float) -> bool:
    return now_s - record.last_crash_s() > RETENTION_S
