"""Who used what in the last minute, counted from the decisions."""

import time
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

from ..protocol.reasons import Reason
from .journal import Decision, Event

BUCKET_S: Final = 5.0
N_BUCKETS: Final = 12


@dataclass(slots=True, kw_only=True)
class Use:
    """What one owner or stage used.

    Parameters
    ----------
    n_accepted, n_answered, n_failed : int
        Requests at a gateway.
    n_calls : int
        Stage calls finished at a target.
    cost_s, queued_s : float
        Target-seconds used and seconds waited, at a target.
    refused : Counter of str
        Refusals by the reason's name.
    """

    n_accepted: int = 0
    n_answered: int = 0
    n_failed: int = 0
    n_calls: int = 0
    cost_s: float = 0.0
    queued_s: float = 0.0
    refused: Counter[str] = field(default_factory=Counter)

    def add(self, other: "Use") -> None:
        """Count `other` in."""
        self.n_accepted += other.n_accepted
        self.n_answered += other.n_answered
        self.n_failed += other.n_failed
        self.n_calls += other.n_calls
        self.cost_s += other.cost_s
        self.queued_s += other.queued_s
        self.refused.update(other.refused)

    def count(self, decision: Decision) -> None:
        """Count one decision in."""
        match decision.event:
            case Event.REQUEST_ACCEPTED:
                self.n_accepted += 1
            case Event.REQUEST_ANSWERED:
                self.n_answered += 1
            case Event.REQUEST_FAILED:
                self.n_failed += 1
            case Event.REQUEST_REFUSED | Event.REFUSED | Event.DROPPED:
                self.refused[decision.reason.name.lower()] += 1
            case Event.STARTED:
                self.queued_s += _figure(decision, "queued_s")
            case Event.FINISHED:
                self.n_calls += decision.reason is Reason.NONE
                self.cost_s += _figure(decision, "cost_s")


@dataclass(slots=True, kw_only=True)
class _Bucket:
    begin_s: float
    owners: defaultdict[str, Use] = field(default_factory=lambda: defaultdict(Use))
    stages: defaultdict[str, Use] = field(default_factory=lambda: defaultdict(Use))


class Tally:
    """Use by owner and by stage over the last ``N_BUCKETS * BUCKET_S`` seconds.

    Memory is bounded by the owners and stages of the catalogue: decisions name
    no others.
    """

    __slots__ = ("_buckets", "_clock")

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._buckets: deque[_Bucket] = deque()

    def count(self, decision: Decision) -> None:
        """Count one decision; subscribe this to a journal."""
        if not decision.owner and not decision.stage:
            return
        bucket = self._now()
        if decision.owner:
            bucket.owners[decision.owner].count(decision)
        if decision.stage:
            bucket.stages[decision.stage].count(decision)

    def by_owner(self) -> dict[str, Use]:
        """Return the use of each owner."""
        return self._sum(lambda bucket: bucket.owners)

    def by_stage(self) -> dict[str, Use]:
        """Return the use of each stage."""
        return self._sum(lambda bucket: bucket.stages)

    def _now(self) -> _Bucket:
        now_s = self._clock()
        self._forget_old(now_s)
        if not self._buckets or now_s - self._buckets[-1].begin_s >= BUCKET_S:
            self._buckets.append(_Bucket(begin_s=now_s))
        return self._buckets[-1]

    def _forget_old(self, now_s: float) -> None:
        while self._buckets and now_s - self._buckets[0].begin_s > N_BUCKETS * BUCKET_S:
            self._buckets.popleft()

    def _sum(self, part: Callable[[_Bucket], Mapping[str, Use]]) -> dict[str, Use]:
        self._forget_old(self._clock())
        total: dict[str, Use] = {}
        for bucket in self._buckets:
            for name, use in part(bucket).items():
                total.setdefault(name, Use()).add(use)
        return total


def _figure(decision: Decision, name: str) -> float:
    return sum(figure.value for figure in decision.figures if figure.name == name)
