"""Check of planned stops: a request that was received in time gets an answer."""

from collections.abc import Iterator
from typing import Final

from .soak_actions import (
    DisturbWorker,
    InterruptAnswers,
    KillGateway,
    PauseGateway,
    ReplaceWorker,
    RestartWorker,
)
from .soak_callers import STAGE_PIECES, Callers, ObservedRequest, is_overdue
from .soak_record import GRACE_S, Record, StopOrder

STREAM_CLOSE_S: Final = GRACE_S / 6
"""Time before the kill in which a started stream may be interrupted."""

CLOSE_DETECTION_S: Final = 0.5
"""Maximum time from the exit of the process until a caller detects the close."""

OTHER_FAULTS: Final = (
    KillGateway,
    PauseGateway,
    DisturbWorker,
    InterruptAnswers,
    ReplaceWorker,
    RestartWorker,
)
"""Faults of the gateway of a request, of its scheduler and of the workers.

Each gateway may be the scheduler.
"""


def interrupted_at_stops(record: Record, callers: Callers) -> Iterator[str]:
    """Check that a planned stop without other faults interrupts no accepted request."""
    for request in callers.requests:
        order = _stop_at_outcome(record, request)
        if (
            order is None
            or not _was_interrupted(record, request)
            or _has_other_fault(record, request)
        ):
            continue
        remaining_s = order.ordered_s + GRACE_S - request.ended_s
        has_begun = request.kind in STAGE_PIECES and request.status > 0
        if has_begun and (remaining_s <= STREAM_CLOSE_S or is_overdue(request)):
            continue
        yield (
            f"{request.request_id} ({request.kind}) was interrupted by the stop of"
            f" g{order.host},"
            f" {request.ended_s - request.fully_sent_s:.2f} s after it was sent and"
            f" {request.ended_s - order.ordered_s:.2f} s after the order"
        )


def _was_interrupted(record: Record, request: ObservedRequest) -> bool:
    """Return True if its connection closed before the answer.

    One that crosses the close reads a refusal. Callers detect a close only while the
    test process runs. After a stall, a close that they detect may be as old as the
    stall, so the stalled time is subtracted.
    """
    if request.is_complete or request.is_left:
        return False
    if not request.ended_s or not request.fully_sent_s:
        return False
    stalled_s = sum(
        max(
            0.0,
            min(stall.ended_s, request.ended_s)
            - max(stall.began_s, request.fully_sent_s),
        )
        for stall in record.stalls
    )
    return request.ended_s - request.fully_sent_s - stalled_s > 0.0


def _stop_at_outcome(record: Record, request: ObservedRequest) -> StopOrder | None:
    """Return the stop of its gateway during which a request ended, or None."""
    for order in record.orders:
        is_within = (
            order.ordered_s <= request.ended_s <= order.ended_s + CLOSE_DETECTION_S
        )
        if order.host == request.gateway and is_within:
            return order
    return None


def _has_other_fault(record: Record, request: ObservedRequest) -> bool:
    return any(
        isinstance(interval.action, OTHER_FAULTS)
        and interval.began_s <= request.ended_s
        and interval.ended_s + CLOSE_DETECTION_S >= request.sent_s
        for interval in record.intervals
    )
