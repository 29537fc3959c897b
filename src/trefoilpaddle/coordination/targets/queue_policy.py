"""Whether work is taken into the queue, and what gives way for it."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from ...protocol.const import NS_PER_S
from ...protocol.reasons import Reason
from ...state.wait_estimate import wait_s
from ...state.work_queue import Work, WorkQueue

MIN_RETRY_S: Final = 0.05
"""Shortest wait that a refused call is told."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Slots:
    """The target's slots at this moment.

    Parameters
    ----------
    n_slots : int
        Calls that may run at once.
    left_s : sequence of float
        Predicted seconds that each running call still needs.
    slowness : float
        Measured over predicted service time of late.
    """

    n_slots: int
    left_s: Sequence[float]
    slowness: float

    def wait_s(self, ahead_s: float) -> float:
        """Return the seconds until a slot is free for work behind `ahead_s`."""
        return wait_s(
            left_s=self.left_s,
            n_slots=self.n_slots,
            ahead_s=ahead_s * self.slowness,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """What is done with new work.

    Parameters
    ----------
    reason : Reason
        Why it is refused; ``Reason.NONE`` takes it.
    wait_s, n_ahead : float, int
        Predicted wait, and what goes first inside its share.
    retry_after_s : float
        When the same work could be taken.
    displaced : tuple of Work
        What gives way to it.
    displaced_for : Reason
        Why that gives way.
    """

    reason: Reason = Reason.NONE
    wait_s: float = 0.0
    n_ahead: int = 0
    retry_after_s: float = 0.0
    displaced: tuple[Work, ...] = ()
    displaced_for: Reason = Reason.NONE


def judge(
    work: Work,
    *,
    queue: WorkQueue,
    slots: Slots,
    now_ns: int,
    max_queue_s: float,
    refuses_early: bool,
) -> Verdict:
    """Return what is done with `work`, before anything was spent on it.

    Work that is predicted to miss its time is refused at once with the time
    after which it would be taken, unless work of the same owner can give way:
    enough of a lower brown-out order, or else the longest that goes before it.
    The latter is the rule of Moore (1968), which leaves the fewest late: with
    one refused in either case, the longest frees the most time for the rest.
    Work that would make the queue too long displaces what is over its share, or
    is refused.
    """
    ahead = queue.ahead(work)
    waits_s = slots.wait_s(ahead.work_s)
    may_wait_s = (work.latest_start_ns - now_ns) / NS_PER_S
    if not refuses_early or waits_s <= 0.0:
        return Verdict(wait_s=waits_s, n_ahead=ahead.n_ahead)
    if waits_s > may_wait_s:
        return _make_room(
            work,
            queue=queue,
            slots=slots,
            ahead_s=ahead.work_s,
            may_wait_s=may_wait_s,
        )
    excess_s = queue.work_s + work.predicted_s - max_queue_s
    if excess_s > 0.0:
        return _cut_queue(work, queue=queue, slots=slots, excess_s=excess_s)
    return Verdict(wait_s=waits_s, n_ahead=ahead.n_ahead)


def _make_room(
    work: Work,
    *,
    queue: WorkQueue,
    slots: Slots,
    ahead_s: float,
    may_wait_s: float,
) -> Verdict:
    was_s = slots.wait_s(ahead_s)
    displaced: list[Work] = []
    left_s = ahead_s
    for other in queue.preceding_lower_order(work):
        displaced.append(other)
        left_s = max(0.0, left_s - other.predicted_s)
        waits_s = slots.wait_s(left_s)
        if waits_s <= may_wait_s:
            return Verdict(
                wait_s=waits_s,
                displaced=tuple(displaced),
                displaced_for=Reason.BROWNOUT,
            )
    longest = queue.longest_preceding(work)
    if longest is not None:
        waits_s = slots.wait_s(max(0.0, ahead_s - longest.predicted_s))
        if waits_s <= may_wait_s:
            return Verdict(
                wait_s=waits_s,
                displaced=(longest,),
                displaced_for=Reason.PREDICTED_LATE,
            )
    return Verdict(
        reason=Reason.PREDICTED_LATE,
        wait_s=was_s,
        retry_after_s=max(MIN_RETRY_S, was_s - may_wait_s),
    )


def _cut_queue(
    work: Work, *, queue: WorkQueue, slots: Slots, excess_s: float
) -> Verdict:
    displaced: list[Work] = []
    left_s = excess_s
    for other in queue.displaceable(work):
        if left_s <= 0.0:
            break
        displaced.append(other)
        left_s -= other.predicted_s
    if left_s > 0.0:
        return Verdict(
            reason=Reason.QUEUE_FULL,
            retry_after_s=max(MIN_RETRY_S, slots.wait_s(excess_s)),
        )
    is_brownout = any(other.brownout_order < work.brownout_order for other in displaced)
    return Verdict(
        wait_s=slots.wait_s(queue.ahead(work).work_s),
        displaced=tuple(displaced),
        displaced_for=Reason.BROWNOUT if is_brownout else Reason.SHARE_EXCEEDED,
    )
