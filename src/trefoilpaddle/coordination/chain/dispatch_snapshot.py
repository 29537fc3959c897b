"""What one dispatch of a service's queue sees of the workers, looked at once."""

from bisect import bisect_right
from collections.abc import Mapping, Sequence
from itertools import accumulate

from ...state.chain.piece_work import PieceWork
from .worker_caller import WorkerCaller


class DispatchSnapshot:
    """The times of all workers at one moment, and those that are free still.

    Within a dispatch only a call that it sends changes a worker's times. Looked at
    again for each offer, all workers for each free one, they were most of what a
    chain costs a scheduler of a large cell.

    Parameters
    ----------
    callers : sequence of WorkerCaller
        All that may get work.
    free : sequence of WorkerCaller
        Those of them that may be called now, in the same order.
    now_s : float
        Monotonic time of the dispatch.

    Attributes
    ----------
    free_in_s : mapping of str to float
        Seconds until a worker of each failure domain is free.
    """

    __slots__ = (
        "_busy_s",
        "_call_s",
        "_callers",
        "_done_in_s",
        "_free",
        "_now_s",
        "_paces_before_per_s",
        "_paces_per_s",
        "_positions",
        "_positions_in",
        "_second_done_s",
        "_soonest_at",
        "_soonest_done_s",
        "free_in_s",
    )

    def __init__(
        self,
        *,
        callers: Sequence[WorkerCaller],
        free: Sequence[WorkerCaller],
        now_s: float,
    ) -> None:
        self._callers = callers
        self._now_s = now_s
        self._call_s = [caller.known.call_s(1, now_s) for caller in callers]
        self._busy_s = [caller.known.busy_s(now_s) for caller in callers]
        self._done_in_s = [
            busy_s + call_s
            for busy_s, call_s in zip(self._busy_s, self._call_s, strict=True)
        ]
        self._paces_per_s = [caller.known.times.busy_per_s for caller in callers]
        self._paces_before_per_s = list(accumulate(self._paces_per_s, initial=0.0))
        self._positions = {id(caller): at for at, caller in enumerate(callers)}
        self._positions_in: dict[str, list[int]] = {}
        for at, caller in enumerate(callers):
            self._positions_in.setdefault(caller.worker.failure_domain, []).append(at)
        # By failure domain, as being far counts the same for all of one.
        self._free: dict[str, list[tuple[float, int]]] = {}
        for caller in free:
            at = self._positions[id(caller)]
            group = self._free.setdefault(caller.worker.failure_domain, [])
            group.append((self._call_s[at], at))
        for group in self._free.values():
            group.sort()
        self._find_soonest()
        self.free_in_s: Mapping[str, float] = {
            domain: self._domain_free_in_s(domain) for domain in self._positions_in
        }

    @property
    def has_free(self) -> bool:
        """True while a free worker was not taken."""
        return bool(self._free)

    def shortest_call_s(self) -> float:
        """Return the shortest call of one piece at any worker."""
        return min(self._call_s)

    def shortest_free_call_s(self) -> float:
        """Return the shortest call of one piece at a worker that is free still."""
        return min(group[0][0] for group in self._free.values())

    def take_next(self, first: PieceWork | None) -> WorkerCaller:
        """Return the free worker that should be called next, which is taken.

        The one that has the most urgent piece soonest, where being near counts
        for as much time as the piece may wait for that.

        Parameters
        ----------
        first : PieceWork or None
            The most urgent piece.
        """
        found: list[tuple[float, int, str, int]] = []
        for domain, group in self._free.items():
            is_far = first is not None and first.preferred_domain != domain
            far_s = first.cross_domain_wait_s if first is not None and is_far else 0.0
            number = _first_of_least(group, far_s)
            found.append((group[0][0] + far_s, group[number][1], domain, number))
        _, at, domain, number = min(found)
        del self._free[domain][number]
        if not self._free[domain]:
            del self._free[domain]
        return self._callers[at]

    def n_skipped(self, caller: WorkerCaller) -> int:
        """Return how many of the first pieces other workers have done sooner.

        A worker that has become slow is free most of the time, as it is given
        little. Taking the most urgent pieces it would make them late, one call of
        its own being as long as several of the others'. It gets what would wait
        longer for these.
        """
        at = self._positions[id(caller)]
        is_soonest = at == self._soonest_at
        soonest_s = self._second_done_s if is_soonest else self._soonest_done_s
        gain_s = self._call_s[at] - soonest_s
        if gain_s <= 0.0:
            return 0
        # Not all less its own: rounded otherwise, a whole number could be missed.
        pace_per_s = sum(self._paces_per_s[at + 1 :], self._paces_before_per_s[at])
        return int(gain_s * pace_per_s)

    def refresh(self, caller: WorkerCaller) -> None:
        """Look again at a worker that was sent a call."""
        at = self._positions[id(caller)]
        self._busy_s[at] = caller.known.busy_s(self._now_s)
        self._call_s[at] = caller.known.call_s(1, self._now_s)
        self._done_in_s[at] = self._busy_s[at] + self._call_s[at]
        self._find_soonest()
        domain = caller.worker.failure_domain
        self.free_in_s = {**self.free_in_s, domain: self._domain_free_in_s(domain)}

    def _find_soonest(self) -> None:
        """Find who has one more piece done soonest, and when the next after it has."""
        done_in_s = self._done_in_s
        self._soonest_done_s = min(done_in_s)
        at = done_in_s.index(self._soonest_done_s)
        self._soonest_at = at
        others_s = done_in_s[:at] + done_in_s[at + 1 :]
        self._second_done_s = min(others_s, default=float("inf"))

    def _domain_free_in_s(self, domain: str) -> float:
        return min(self._busy_s[at] for at in self._positions_in[domain])


def _first_of_least(group: Sequence[tuple[float, int]], far_s: float) -> int:
    """Return the place of the one listed first among those of the least cost.

    Calls that differ by less than rounding bears cost the same once `far_s` is added.
    """
    least_s = group[0][0] + far_s
    best = at = 0
    while True:
        at = bisect_right(group, (group[at][0], float("inf")))
        if at == len(group) or group[at][0] + far_s > least_s:
            return best
        if group[at][1] < group[best][1]:
            best = at
