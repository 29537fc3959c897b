"""Decides whether new work is queued, and which queued work it displaces."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from ...protocol.const import NS_PER_S
from ...protocol.reasons import Reason
from ...state.wait_estimate import wait_s
from ...state.work_queue import Work, WorkQueue

MIN_RETRY_S: Final = 0.05
"""Shortest retry delay reported with a refusal."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotSnapshot:
    """The target's slots and running calls at one moment.

    Parameters
    ----------
    n_slots : int
        Calls that may run at once.
    remaining_s : sequence of float
        Predicted seconds that each running call still needs.
    slowness : float
        Recent ratio of measured to predicted service time.
    """

    n_slots: int
    remaining_s: Sequence[float]
    slowness: float

    def wait_s(self, ahead_s: float) -> float:
        """Return the seconds until work can start that has `ahead_s` ahead of it.

        Parameters
        ----------
        ahead_s : float
            Predicted target-seconds of queued work that starts first.
        """
        return wait_s(
            left_s=self.remaining_s,
            n_slots=self.n_slots,
            ahead_s=ahead_s * self.slowness,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueDecision:
    """Whether new work is queued or refused, and what it displaces.

    Parameters
    ----------
    reason : Reason
        Why it is refused; ``Reason.NONE`` if it is queued.
    wait_s, n_ahead : float, int
        Predicted wait in seconds, and number of queued attempts of the same share
        that start first.
    retry_after_s : float
        Seconds after which the same work could be queued.
    displaced : tuple of Work
        Queued work that is dropped in favour of it.
    displaced_reason : Reason
        Why the displaced work is dropped.
    """

    reason: Reason = Reason.NONE
    wait_s: float = 0.0
    n_ahead: int = 0
    retry_after_s: float = 0.0
    displaced: tuple[Work, ...] = ()
    displaced_reason: Reason = Reason.NONE


def decide_queueing(
    work: Work,
    *,
    queue: WorkQueue,
    slots: SlotSnapshot,
    now_ns: int,
    max_queue_s: float,
    refuses_early: bool,
) -> QueueDecision:
    """Decide whether to queue or refuse `work`, before target time is spent on it.

    Work that is predicted to be late is refused at once, with the time after
    which it would be queued, unless it can displace work of the same owner:
    enough work of a lower brown-out order or else the longest work ahead of it.
    The latter is the rule of Moore (1968), which minimises the number of late
    jobs: one is refused in either case, and dropping the longest frees the most
    time for the rest. Work that would make the queue too long displaces work
    that exceeds its share, or is refused.

    Parameters
    ----------
    work : Work
        The new work.
    queue : WorkQueue
        Work that is already queued.
    slots : SlotSnapshot
        The target's slots at `now_ns`.
    now_ns : int
        Current time on this process's monotonic clock.
    max_queue_s : float
        Limit of queued work, in predicted target-seconds.
    refuses_early : bool
        False queues all work.
    """
    ahead = queue.ahead(work)
    waits_s = slots.wait_s(ahead.work_s)
    may_wait_s = (work.latest_start_ns - now_ns) / NS_PER_S
    if not refuses_early or waits_s <= 0.0:
        return QueueDecision(wait_s=waits_s, n_ahead=ahead.n_ahead)
    if waits_s > may_wait_s:
        return _displace_for_deadline(
            work,
            queue=queue,
            slots=slots,
            ahead_s=ahead.work_s,
            may_wait_s=may_wait_s,
        )
    excess_s = queue.work_s + work.predicted_s - max_queue_s
    if excess_s > 0.0:
        return _displace_excess(work, queue=queue, slots=slots, excess_s=excess_s)
    return QueueDecision(wait_s=waits_s, n_ahead=ahead.n_ahead)


def _displace_for_deadline(
    work: Work,
    *,
    queue: WorkQueue,
    slots: SlotSnapshot,
    ahead_s: float,
    may_wait_s: float,
) -> QueueDecision:
    full_wait_s = slots.wait_s(ahead_s)
    displaced: list[Work] = []
    remaining_ahead_s = ahead_s
    for other in queue.preceding_lower_order(work):
        displaced.append(other)
        remaining_ahead_s = max(0.0, remaining_ahead_s - other.predicted_s)
        waits_s = slots.wait_s(remaining_ahead_s)
        if waits_s <= may_wait_s:
            return QueueDecision(
                wait_s=waits_s,
                displaced=tuple(displaced),
                displaced_reason=Reason.BROWNOUT,
            )
    longest = queue.longest_preceding(work)
    if longest is not None:
        waits_s = slots.wait_s(max(0.0, ahead_s - longest.predicted_s))
        if waits_s <= may_wait_s:
            return QueueDecision(
                wait_s=waits_s,
                displaced=(longest,),
                displaced_reason=Reason.PREDICTED_LATE,
            )
    return QueueDecision(
        reason=Reason.PREDICTED_LATE,
        wait_s=full_wait_s,
        retry_after_s=max(MIN_RETRY_S, full_wait_s - may_wait_s),
    )


def _displace_excess(
    work: Work, *, queue: WorkQueue, slots: SlotSnapshot, excess_s: float
) -> QueueDecision:
    displaced: list[Work] = []
    remaining_excess_s = excess_s
    for other in queue.displaceable(work):
        if remaining_excess_s <= 0.0:
            break
        displaced.append(other)
        remaining_excess_s -= other.predicted_s
    if remaining_excess_s > 0.0:
        return QueueDecision(
            reason=Reason.QUEUE_FULL,
            retry_after_s=max(MIN_RETRY_S, slots.wait_s(excess_s)),
        )
    is_brownout = any(other.brownout_order < work.brownout_order for other in displaced)
    return QueueDecision(
        wait_s=slots.wait_s(queue.ahead(work).work_s),
        displaced=tuple(displaced),
        displaced_reason=Reason.BROWNOUT if is_brownout else Reason.SHARE_EXCEEDED,
    )
