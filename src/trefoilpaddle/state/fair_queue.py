"""Fair queueing of target time among owners; each owner's work is in slack order.

Between owners this is start-time fair queueing (Goyal, Vin and Cheng, 1996).
Each owner has a tag in virtual time, which advances by the work started for the
owner divided by its share. The owner with the smallest tag is served next. An
owner that was idle restarts at the current virtual time: idle time earns it no
credit.
"""

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Final

from .work_queue import OwnerBacklog, Work, WorkAhead

MIN_CHARGE_S: Final = 0.001
"""Least charge for work at its start; covers work whose size cannot be predicted.

The charge is corrected when the used time is known.
"""

MAX_IDLE_FLOWS: Final = 1000
"""Number of owners from which idle owners whose tag is past are evicted."""


def _slack_key(work: Work) -> int:
    return work.latest_start_ns


class Flow:
    """The queued work of one owner at one target, and its position in virtual time.

    Parameters
    ----------
    owner : str
        The owner.
    tag_s : float
        Virtual time at which the owner is served next, in target-seconds.
    """

    __slots__ = (
        "_floors",
        "_n_of_entry",
        "owner",
        "tag_s",
        "waiting",
        "weight",
        "work_s",
    )

    def __init__(self, *, owner: str, tag_s: float) -> None:
        self.owner = owner
        self.tag_s = tag_s
        self.waiting: list[Work] = []
        self.weight = 1.0
        self.work_s = 0.0
        self._floors: dict[str, float] = {}
        self._n_of_entry: Counter[str] = Counter()

    def floor_share(self) -> float:
        """Return the sum of the floor shares of the entries that have queued work."""
        return sum(self._floors.values())

    def copy_floors(self, other: "Flow") -> None:
        """Replace the floor shares by those of `other`."""
        self._floors = dict(other._floors)

    def push(self, work: Work) -> None:
        """Add `work` in order of slack."""
        insort(self.waiting, work, key=_slack_key)
        self.weight = work.weight
        self.work_s += work.predicted_s
        self._n_of_entry[work.entry] += 1
        self._floors[work.entry] = work.floor_share

    def pop(self, now_ns: int) -> Work:
        """Remove and return the work that starts next.

        This is the work with the least slack among that which can still start in
        time, or the most overdue work if there is none.
        """
        at = bisect_left(self.waiting, now_ns, key=_slack_key)
        work = self.waiting.pop(at if at < len(self.waiting) else 0)
        self._subtract(work)
        return work

    def remove(self, work: Work) -> bool:
        """Remove `work`; return False if it is not queued."""
        at = bisect_left(self.waiting, work.latest_start_ns, key=_slack_key)
        while at < len(self.waiting):
            if self.waiting[at] is work:
                del self.waiting[at]
                self._subtract(work)
                return True
            if self.waiting[at].latest_start_ns != work.latest_start_ns:
                return False
            at += 1
        return False

    def preceding(self, work: Work) -> list[Work]:
        """Return the owner's queued work that has less slack than `work`."""
        at = bisect_left(self.waiting, work.latest_start_ns, key=_slack_key)
        return self.waiting[:at]

    def _subtract(self, work: Work) -> None:
        self.work_s = self.work_s - work.predicted_s if self.waiting else 0.0
        self._n_of_entry[work.entry] -= 1
        if not self._n_of_entry[work.entry]:
            del self._n_of_entry[work.entry]
            del self._floors[work.entry]


class FairQueue:
    """Queued work of all owners; the module docstring describes the order."""

    __slots__ = ("_flows", "_n_waiting", "_now_s", "work_s")

    def __init__(self) -> None:
        self._flows: dict[str, Flow] = {}
        self._n_waiting = 0
        self._now_s = 0.0
        self.work_s = 0.0

    def __len__(self) -> int:
        return self._n_waiting

    def __iter__(self) -> Iterator[Work]:
        for flow in self._flows.values():
            yield from flow.waiting

    def push(self, work: Work) -> None:
        """Add `work`."""
        flow = self._flows.get(work.owner)
        if flow is None:
            self._evict_idle()
            flow = Flow(owner=work.owner, tag_s=self._now_s)
            self._flows[work.owner] = flow
        if not flow.waiting:
            flow.tag_s = max(flow.tag_s, self._now_s)
        flow.push(work)
        self._n_waiting += 1
        self.work_s += work.predicted_s

    def pop(self, *, now_ns: int) -> Work | None:
        """Remove the work that starts next and charge its owner; None when empty."""
        waiting = self._backlogged()
        if not waiting:
            return None
        flow = min(waiting, key=lambda each: each.tag_s)
        share = shares(waiting)[flow.owner] if len(waiting) > 1 else 1.0
        self._now_s = max(self._now_s, flow.tag_s)
        work = flow.pop(now_ns)
        self._subtract(work)
        work.charged_s = max(MIN_CHARGE_S, work.predicted_s)
        work.charged_share = share
        flow.tag_s += work.charged_s / share
        return work

    def remove(self, work: Work) -> bool:
        """Remove `work`; return False if it is not queued."""
        flow = self._flows.get(work.owner)
        if flow is None or not flow.remove(work):
            return False
        self._subtract(work)
        return True

    def correct_charge(self, work: Work, *, used_s: float) -> None:
        """Replace the predicted charge for `work` by the time that it used."""
        flow = self._flows.get(work.owner)
        if flow is not None and work.charged_s > 0.0:
            flow.tag_s += (used_s - work.charged_s) / work.charged_share
        work.charged_s = 0.0

    def ahead(self, work: Work) -> WorkAhead:
        """Return the work that would start before `work`, which need not be queued.

        While the owner's own preceding work is served, the other owners get
        their shares as well. If the owner was served more than its share, the
        others first catch up. The others' part is at most all of their queued
        work.
        """
        flow = self._flows.get(work.owner)
        before = flow.preceding(work) if flow is not None else []
        share = self.share_of(work)
        lead_s = max(0.0, flow.tag_s - self._now_s) if flow is not None else 0.0
        own_s = sum(other.predicted_s for other in before)
        others_s = self.work_s - (flow.work_s if flow is not None else 0.0)
        ahead_s = own_s + min(others_s, lead_s + own_s / share - own_s)
        return WorkAhead(n_ahead=len(before), work_s=ahead_s)

    def share_of(self, work: Work) -> float:
        """Return the share that the owner of `work` has once `work` is queued."""
        others = [flow for flow in self._backlogged() if flow.owner != work.owner]
        if not others:
            return 1.0
        own = Flow(owner=work.owner, tag_s=0.0)
        present = self._flows.get(work.owner)
        if present is not None:
            own.copy_floors(present)
        own.push(work)
        return shares([*others, own])[work.owner]

    def by_owner(self) -> list[OwnerBacklog]:
        """Return the queued work of each owner."""
        return [
            OwnerBacklog(owner=flow.owner, work_s=flow.work_s, weight=flow.weight)
            for flow in self._backlogged()
        ]

    def displaceable(self, work: Work) -> list[Work]:
        """Return queued work that may be dropped for `work`, first to drop first.

        Only owners whose part of the queue is at least their share are listed,
        so that a burst of one owner displaces no other owner's work. Of their
        work, a lower brown-out order is dropped first, then that of the owner
        farthest over its share, then the one with the most slack. The list ends
        where `work` itself would be dropped.
        """
        over = self._excess_shares(work)
        rows = [
            (other.brownout_order, -over[other.owner], -other.latest_start_ns, other)
            for other in (*self, work)
            if over[other.owner] >= 0.0
        ]
        rows.sort(key=lambda row: row[:3])
        order = [row[3] for row in rows]
        return order[: order.index(work)] if work in order else order

    def preceding_lower_order(self, work: Work) -> list[Work]:
        """Return the owner's work ahead of `work` that has a lower brown-out order."""
        flow = self._flows.get(work.owner)
        if flow is None:
            return []
        lower = [
            other
            for other in flow.preceding(work)
            if other.brownout_order < work.brownout_order
        ]
        lower.sort(key=lambda other: (other.brownout_order, -other.predicted_s))
        return lower

    def longest_preceding(self, work: Work) -> Work | None:
        """Return the owner's longest work ahead of `work` if longer than `work`.

        Only work of the same or a lower brown-out order is considered.
        """
        flow = self._flows.get(work.owner)
        if flow is None:
            return None
        longer = [
            other
            for other in flow.preceding(work)
            if other.brownout_order <= work.brownout_order
            and other.predicted_s > work.predicted_s
        ]
        return max(longer, key=lambda other: other.predicted_s, default=None)

    def _excess_shares(self, work: Work) -> dict[str, float]:
        """Return for each owner its part of the queued work minus its share."""
        work_s = {flow.owner: flow.work_s for flow in self._backlogged()}
        work_s[work.owner] = work_s.get(work.owner, 0.0) + work.predicted_s
        total_s = sum(work_s.values()) or 1.0
        own_share = self.share_of(work)
        by_owner = shares(self._backlogged())
        by_owner[work.owner] = own_share
        scale = sum(by_owner.values())
        return {
            owner: owned_s / total_s - by_owner[owner] / scale + 1e-9
            for owner, owned_s in work_s.items()
        }

    def _subtract(self, work: Work) -> None:
        self._n_waiting -= 1
        self.work_s = self.work_s - work.predicted_s if self._n_waiting else 0.0

    def _backlogged(self) -> list[Flow]:
        return [flow for flow in self._flows.values() if flow.waiting]

    def _evict_idle(self) -> None:
        if len(self._flows) < MAX_IDLE_FLOWS:
            return
        for owner, flow in list(self._flows.items()):
            if not flow.waiting and flow.tag_s <= self._now_s:
                del self._flows[owner]


def shares(flows: Iterable[Flow]) -> dict[str, float]:
    """Return the share of each owner among `flows`.

    Each owner gets the floor shares of its entries; the rest is divided by
    weight. Floor shares that sum to more than 1 are scaled down to 1. The
    shares sum to 1, or slightly more where an owner gets the minimum.
    """
    flows = list(flows)
    floors = {flow.owner: flow.floor_share() for flow in flows}
    total_floor = sum(floors.values())
    scale = 1.0 / total_floor if total_floor > 1.0 else 1.0
    rest = max(0.0, 1.0 - total_floor * scale)
    total_weight = sum(flow.weight for flow in flows)
    # An owner without a floor gets a minimum share if the floors sum to 1.
    return {
        flow.owner: max(
            1e-3, floors[flow.owner] * scale + rest * flow.weight / total_weight
        )
        for flow in flows
    }
