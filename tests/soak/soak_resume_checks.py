"""Check of streams that callers resume: they go on about as often as new ones begin."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from .soak_actions import HangUpGateway, StopGateway
from .soak_callers import (
    HARMFUL,
    STAGE_PIECES,
    Callers,
    ObservedRequest,
    events_of,
    versions_of,
)
from .soak_record import Record

MIN_RESUMED: Final = 12
"""Tries to resume a stream from which on their share that goes on is checked."""

MIN_SHARE: Final = 0.5
"""Least share that goes on, as a part of the share of new streams that begin."""

MIN_WORKERS: Final = 2
"""Workers of the version of a stream that serve while it is resumed."""

STREAM_KINDS: Final = frozenset(STAGE_PIECES) - {HARMFUL}
OK: Final = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamTries:
    """Tries of streams where only planned stops disturbed.

    Parameters
    ----------
    n_new, n_begun : int
        Tries of new streams, and those that brought events.
    n_resumed, n_gone_on : int
        Tries to resume a stream, and those that brought events.
    """

    n_new: int
    n_begun: int
    n_resumed: int
    n_gone_on: int


def resumed_streams(record: Record, callers: Callers) -> Iterator[str]:
    """Check that streams go on at planned stops if workers of their version serve."""
    tries = stream_tries(record, callers)
    if tries.n_resumed < MIN_RESUMED or not tries.n_new:
        return
    share = tries.n_gone_on / tries.n_resumed
    if share < MIN_SHARE * tries.n_begun / tries.n_new:
        yield (
            f"{tries.n_gone_on} of {tries.n_resumed} resumed streams went on,"
            f" while {tries.n_begun} of {tries.n_new} new ones began"
        )


def stream_tries(record: Record, callers: Callers) -> StreamTries:
    """Count the tries of streams that only planned stops may have disturbed."""
    sent = {request.request_id: request for request in callers.requests}
    new, resumed = [], []
    for request in callers.requests:
        if request.kind not in STREAM_KINDS or not request.ended_s:
            continue
        if request.resumes:
            if _counts(record, request, sent):
                resumed.append(request)
        elif _is_undisturbed(record, request.sent_s, request.ended_s):
            new.append(request)
    # Tries with another deadline begin more or less often.
    deadlines_s = {request.deadline_s for request in resumed}
    new = [request for request in new if request.deadline_s in deadlines_s]
    return StreamTries(
        n_new=len(new),
        n_begun=sum(map(_has_events, new)),
        n_resumed=len(resumed),
        n_gone_on=sum(map(_has_events, resumed)),
    )


def _counts(
    record: Record, request: ObservedRequest, sent: Mapping[str, ObservedRequest]
) -> bool:
    """Return True if only planned stops may have kept a stream from going on."""
    begun = sent[request.resumes]
    versions = versions_of(begun)
    n_serving = sum(
        1
        for worker in record.workers
        if worker.n_events
        and worker.software_version.encode() in versions
        and record.listed_s.get(worker.worker_id, 0.0) <= request.sent_s
        and _left_s(record, worker.worker_id, request.ended_s) >= request.ended_s
    )
    return n_serving >= MIN_WORKERS and _is_undisturbed(
        record, begun.sent_s, request.ended_s
    )


def _left_s(record: Record, worker_id: str, default_s: float) -> float:
    """Return when a worker left, by its entry or by its own word."""
    return min(
        record.left_s.get(worker_id, default_s),
        record.left_by_word_s.get(worker_id, default_s),
    )


def _has_events(request: ObservedRequest) -> bool:
    return request.status == OK and (bool(events_of(request)) or request.is_complete)


def _is_undisturbed(record: Record, from_s: float, until_s: float) -> bool:
    """Return True if nothing but planned stops disturbed a period."""
    is_crash = any(from_s <= at_s <= until_s for at_s in record.part_crashed_s)
    return not is_crash and not any(
        not isinstance(interval.action, StopGateway | HangUpGateway)
        and interval.began_s <= until_s
        and interval.ended_s >= from_s
        for interval in record.intervals
    )
