"""Use by owner and by stage in the last minute, counted from the decisions."""

import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from ..protocol.reasons import Reason
from .journal import Decision, Event

BUCKET_S: Final = 5.0
"""Length of the span of time that one bucket covers."""

N_BUCKETS: Final = 12
"""Number of buckets kept."""


@dataclass(slots=True, kw_only=True)
class Use:
    """Requests, calls and target time of one owner or stage.

    Parameters
    ----------
    n_accepted, n_answered, n_failed : int
        Numbers of requests at a gateway.
    n_calls : int
        Stage calls finished at a target with a result.
    cost_s, queued_s : float
        Target-seconds used and seconds queued at a target.
    refused : Counter of str
        Numbers of refusals by the reason's name.
    """

    n_accepted: int = 0
    n_answered: int = 0
    n_failed: int = 0
    n_calls: int = 0
    cost_s: float = 0.0
    queued_s: float = 0.0
    refused: Counter[str] = field(default_factory=Counter)

    def add(self, other: "Use") -> None:
        """Add the counts of `other`."""
        self.n_accepted += other.n_accepted
        self.n_answered += other.n_answered
        self.n_failed += other.n_failed
        self.n_calls += other.n_calls
        self.cost_s += other.cost_s
        self.queued_s += other.queued_s
        self.refused.update(other.refused)

    def count(self, decision: Decision) -> None:
        """Count one decision."""
        # Looked up in a table: comparing with one enum member after the other by
        # `match` took longer than all other work for a decision.
        counter = COUNTERS.get(int(decision.event))
        if counter is not None:
            counter(self, decision)


def _accepted(use: Use, decision: Decision) -> None:
    use.n_accepted += 1


def _answered(use: Use, decision: Decision) -> None:
    use.n_answered += 1


def _failed(use: Use, decision: Decision) -> None:
    use.n_failed += 1


def _refused(use: Use, decision: Decision) -> None:
    use.refused[decision.reason.name.lower()] += 1


def _started(use: Use, decision: Decision) -> None:
    use.queued_s += _figure(decision, "queued_s")


def _finished(use: Use, decision: Decision) -> None:
    use.n_calls += decision.reason is Reason.NONE
    use.cost_s += _figure(decision, "cost_s")


COUNTERS: Final[dict[int, Callable[[Use, Decision], None]]] = {
    int(Event.REQUEST_ACCEPTED): _accepted,
    int(Event.REQUEST_ANSWERED): _answered,
    int(Event.REQUEST_FAILED): _failed,
    int(Event.REQUEST_REFUSED): _refused,
    int(Event.REFUSED): _refused,
    int(Event.DROPPED): _refused,
    int(Event.STARTED): _started,
    int(Event.FINISHED): _finished,
}


@dataclass(slots=True, kw_only=True)
class _Bucket:
    begin_s: float
    owners: dict[str, Use] = field(default_factory=dict)
    stages: dict[str, Use] = field(default_factory=dict)


class Tally:
    """Use by owner and by stage over the last ``N_BUCKETS * BUCKET_S`` seconds.

    Memory is bounded by the numbers of owners and stages of the catalogue,
    because decisions name no others.
    """

    __slots__ = ("_buckets", "_clock")

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._buckets: deque[_Bucket] = deque()

    def count(self, decision: Decision) -> None:
        """Count one decision; to be subscribed to a journal."""
        if int(decision.event) not in COUNTERS:
            return
        bucket = self._current_bucket()
        if decision.owner:
            _use(bucket.owners, decision.owner).count(decision)
        if decision.stage:
            _use(bucket.stages, decision.stage).count(decision)

    def by_owner(self) -> dict[str, Use]:
        """Return the use of each owner."""
        return self._sum(lambda bucket: bucket.owners)

    def by_stage(self) -> dict[str, Use]:
        """Return the use of each stage."""
        return self._sum(lambda bucket: bucket.stages)

    def _current_bucket(self) -> _Bucket:
        now_s = self._clock()
        self._evict_expired(now_s)
        if not self._buckets or now_s - self._buckets[-1].begin_s >= BUCKET_S:
            self._buckets.append(_Bucket(begin_s=now_s))
        return self._buckets[-1]

    def _evict_expired(self, now_s: float) -> None:
        while self._buckets and now_s - self._buckets[0].begin_s > N_BUCKETS * BUCKET_S:
            self._buckets.popleft()

    def _sum(self, part: Callable[[_Bucket], dict[str, Use]]) -> dict[str, Use]:
        self._evict_expired(self._clock())
        total: dict[str, Use] = {}
        for bucket in self._buckets:
            for name, use in part(bucket).items():
                total.setdefault(name, Use()).add(use)
        return total


def _use(uses: dict[str, Use], name: str) -> Use:
    use = uses.get(name)
    if use is None:
        use = uses[name] = Use()
    return use


def _figure(decision: Decision, name: str) -> float:
    for figure in decision.figures:
        if figure.name == name:
            return figure.value
    return 0.0
