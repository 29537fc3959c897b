"""A snapshot of a service's workers for one dispatch of its queue."""

from bisect import bisect_right
from collections.abc import Mapping, Sequence
from itertools import accumulate

from ...state.chain.piece_work import PieceWork
from .worker_caller import WorkerCaller


class DispatchSnapshot:
    """The call times of all workers at one moment, and the workers still free.

    Within a dispatch, a worker's times change only by a call that the dispatch sends.
    When the times of all workers were computed again for each free worker, they were
    most of the cost of a chain at the scheduler of a large cell.

    Parameters
    ----------
    callers : sequence of WorkerCaller
        Callers of all usable workers.
    free : sequence of WorkerCaller
        Those of them whose workers may be called now, in the same order.
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
        "_cumulative_paces_per_s",
        "_done_in_s",
        "_free",
        "_now_s",
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
        self._cumulative_paces_per_s = list(accumulate(self._paces_per_s, initial=0.0))
        self._positions = {id(caller): at for at, caller in enumerate(callers)}
        self._positions_in: dict[str, list[int]] = {}
        for at, caller in enumerate(callers):
            self._positions_in.setdefault(caller.worker.failure_domain, []).append(at)
        # Grouped by failure domain, as the cross-domain wait is the same within one.
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
        """True if a free worker has not been taken yet."""
        return bool(self._free)

    def shortest_call_s(self) -> float:
        """Return the shortest duration in seconds of a call of one piece."""
        return min(self._call_s)

    def shortest_free_call_s(self) -> float:
        """Return the shortest duration in seconds of a call at a free worker."""
        return min(group[0][0] for group in self._free.values())

    def take_next(self, first: PieceWork | None) -> WorkerCaller:
        """Take the free worker that should be called next.

        It is the one that completes the most urgent piece soonest. For workers outside
        the piece's preferred failure domain, the time that the piece may wait for that
        domain is added.

        Parameters
        ----------
        first : PieceWork or None
            The most urgent piece.
        """
        found: list[tuple[float, int, str, int]] = []
        for domain, group in self._free.items():
            is_other_domain = first is not None and first.preferred_domain != domain
            cross_domain_wait_s = (
                first.cross_domain_wait_s
                if first is not None and is_other_domain
                else 0.0
            )
            index = _index_of_least(group, cross_domain_wait_s)
            found.append(
                (group[0][0] + cross_domain_wait_s, group[index][1], domain, index)
            )
        _, at, domain, index = min(found)
        del self._free[domain][index]
        if not self._free[domain]:
            del self._free[domain]
        return self._callers[at]

    def n_skipped(self, caller: WorkerCaller) -> int:
        """Return how many of the first pieces other workers would complete sooner.

        A worker that has become slow is free most of the time, as it gets few pieces.
        The most urgent pieces would be late there, as one of its calls takes as long
        as several calls of other workers. It gets the pieces that would wait longer
        for the other workers.
        """
        at = self._positions[id(caller)]
        is_soonest = at == self._soonest_at
        soonest_s = self._second_done_s if is_soonest else self._soonest_done_s
        gain_s = self._call_s[at] - soonest_s
        if gain_s <= 0.0:
            return 0
        # The sum of all paces minus its own would be rounded differently, and the
        # integer result could be too low by one.
        pace_per_s = sum(self._paces_per_s[at + 1 :], self._cumulative_paces_per_s[at])
        return int(gain_s * pace_per_s)

    def refresh(self, caller: WorkerCaller) -> None:
        """Update the times of a worker that was sent a call."""
        at = self._positions[id(caller)]
        self._busy_s[at] = caller.known.busy_s(self._now_s)
        self._call_s[at] = caller.known.call_s(1, self._now_s)
        self._done_in_s[at] = self._busy_s[at] + self._call_s[at]
        self._find_soonest()
        domain = caller.worker.failure_domain
        self.free_in_s = {**self.free_in_s, domain: self._domain_free_in_s(domain)}

    def _find_soonest(self) -> None:
        """Find the two earliest completions of one more piece, and the first worker."""
        done_in_s = self._done_in_s
        self._soonest_done_s = min(done_in_s)
        at = done_in_s.index(self._soonest_done_s)
        self._soonest_at = at
        others_s = done_in_s[:at] + done_in_s[at + 1 :]
        self._second_done_s = min(others_s, default=float("inf"))

    def _domain_free_in_s(self, domain: str) -> float:
        return min(self._busy_s[at] for at in self._positions_in[domain])


def _index_of_least(
    group: Sequence[tuple[float, int]], cross_domain_wait_s: float
) -> int:
    """Return the index in `group` of the worker of least cost.

    Among workers of equal cost, it is the one listed first in the dispatch. Call
    durations that differ only by a rounding error cost the same once the cross-domain
    wait is added.
    """
    least_s = group[0][0] + cross_domain_wait_s
    best = at = 0
    while True:
        at = bisect_right(group, (group[at][0], float("inf")))
        if at == len(group) or group[at][0] + cross_domain_wait_s > least_s:
            return best
        if group[at][1] < group[best][1]:
            best = at
