"""The promise of a planned stop: whoever was heard in time gets an answer."""

from collections.abc import Iterator
from typing import Final

from .soak_actions import (
    BreakAnswers,
    DisturbWorker,
    KillGateway,
    PauseGateway,
    ReplaceWorker,
    RestartWorker,
)
from .soak_callers import PIECES, Callers, Seen, is_overdue
from .soak_record import GRACE_S, Record, StopOrder

CROSSING_S: Final = 0.2
"""What is sent so shortly before the close crosses it; its caller sends it again."""

LAST_S: Final = GRACE_S / 6
"""Left before the kill when a stream that has begun may be broken off."""

SEEN_S: Final = 0.5
"""A caller sees the close so long after the process is gone at the latest."""

OTHER_FAULTS: Final = (
    KillGateway,
    PauseGateway,
    DisturbWorker,
    BreakAnswers,
    ReplaceWorker,
    RestartWorker,
)
"""Of its gateway, its scheduler, which may be any gateway, and the workers."""


def cut_at_stops(record: Record, callers: Callers) -> Iterator[str]:
    """Around a planned stop alone, what was sent in time is answered."""
    for seen in callers.seen:
        order = _stop_at_end(record, seen)
        if order is None or not _is_cut(record, seen) or _has_other_fault(record, seen):
            continue
        left_s = order.ordered_s + GRACE_S - seen.ended_s
        has_begun = seen.kind in PIECES and seen.status > 0
        if has_begun and (left_s <= LAST_S or is_overdue(seen)):
            continue
        yield (
            f"{seen.request_id} ({seen.kind}) was cut by the stop of g{order.host},"
            f" {seen.ended_s - seen.whole_s:.2f} s after it was sent and"
            f" {seen.ended_s - order.ordered_s:.2f} s after the order"
        )


def _is_cut(record: Record, seen: Seen) -> bool:
    """Return True if its connection was closed on it, and it did not cross that.

    A caller sees the close when it runs. While the soak stands still none does, and
    what it sees next may be as old as that.
    """
    if seen.is_whole or not seen.ended_s or not seen.whole_s:
        return False
    stood_still_s = sum(
        max(0.0, min(stall.ended_s, seen.ended_s) - max(stall.began_s, seen.whole_s))
        for stall in record.stalls
    )
    return seen.ended_s - seen.whole_s - stood_still_s > CROSSING_S


def _stop_at_end(record: Record, seen: Seen) -> StopOrder | None:
    """Return the stop of its gateway in which a request ended."""
    for order in record.orders:
        is_within = order.ordered_s <= seen.ended_s <= order.ended_s + SEEN_S
        if order.host == seen.gateway and is_within:
            return order
    return None


def _has_other_fault(record: Record, seen: Seen) -> bool:
    return any(
        isinstance(mark.action, OTHER_FAULTS)
        and mark.began_s <= seen.ended_s
        and mark.ended_s + SEEN_S >= seen.sent_s
        for mark in record.marks
    )
