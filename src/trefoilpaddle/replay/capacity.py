"""An estimate of how many requests of a trace the capacity can serve in time."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from .trace import (
    CutDomain,
    Fault,
    FreezeTarget,
    KillTarget,
    Request,
    SlowService,
    StaleLoad,
    Trace,
)

BUCKET_S: Final = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetCapacity:
    """A target, its failure domain and its rate of work.

    Parameters
    ----------
    name, service, failure_domain : str
        Identify the target and its failure domain.
    speed : float
        Target-seconds of work that it completes in a second.
    """

    name: str
    service: str
    failure_domain: str
    speed: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StageWork:
    """Work that one stage of a request requires of a target.

    Parameters
    ----------
    service : str
        Service whose targets can run it.
    work_s : float
        Target-seconds.
    unloaded_s : float
        Service time, in seconds, at a target without other work.
    """

    service: str
    work_s: float
    unloaded_s: float


WorkOf = Callable[[Request], list[StageWork]]


def capacity_bound(
    trace: Trace, *, targets: Sequence[TargetCapacity], work_of: WorkOf
) -> list[bool]:
    """Return for each request whether capacity allows an answer in time.

    Requests are allocated greedily, smallest first: the size of a request is the
    largest share that any of its stages takes of its service's capacity. A request
    is allowed if the work of all its stages fits into the remaining capacity
    between its arrival and its deadline, in buckets of ``BUCKET_S``. Work may be
    split freely over targets and buckets, and queueing and messages cost nothing,
    so no real scheduler reaches this result. The greedy order is not proven to
    give the maximum; the result serves as a reference value.
    """
    n_buckets = _n_buckets(trace)
    remaining = _supply(trace.head.faults, targets, n_buckets)
    speeds = _speeds(targets)
    work = [work_of(request) for request in trace.requests]
    allowed = [False] * len(work)
    for index in sorted(
        range(len(work)), key=lambda i: _largest_share(work[i], speeds)
    ):
        request = trace.requests[index]
        if _unloaded_s(request, work[index], trace.head.faults) > request.deadline_s:
            continue
        allowed[index] = _reserve(request, work[index], remaining)
    return allowed


def _speeds(targets: Sequence[TargetCapacity]) -> dict[str, float]:
    speeds: dict[str, float] = {}
    for target in targets:
        speeds[target.service] = speeds.get(target.service, 0.0) + target.speed
    return speeds


def offered_share(
    requests: Sequence[Request],
    *,
    duration_s: float,
    targets: Sequence[TargetCapacity],
    work_of: WorkOf,
) -> float:
    """Return the ratio of offered work to capacity at the most loaded service."""
    speeds = _speeds(targets)
    offered = dict.fromkeys(speeds, 0.0)
    for request in requests:
        for stage in work_of(request):
            offered[stage.service] += stage.work_s
    return max(offered[name] / (speeds[name] * duration_s) for name in speeds)


def _n_buckets(trace: Trace) -> int:
    longest = max((request.deadline_s for request in trace.requests), default=0.0)
    return math.ceil((trace.head.duration_s + longest) / BUCKET_S) + 1


def _largest_share(stages: list[StageWork], speeds: dict[str, float]) -> float:
    return max(stage.work_s / speeds[stage.service] for stage in stages)


def _unloaded_s(
    request: Request, stages: list[StageWork], faults: Sequence[Fault]
) -> float:
    return sum(
        stage.unloaded_s * _slowness(stage.service, request.at_s, faults)
        for stage in stages
    )


def _slowness(service: str, at_s: float, faults: Sequence[Fault]) -> float:
    factor = 1.0
    for fault in faults:
        if isinstance(fault, SlowService) and fault.service == service:
            is_on = fault.at_s <= at_s < fault.at_s + fault.duration_s
            factor *= fault.factor if is_on else 1.0
    return factor


def _supply(
    faults: Sequence[Fault], targets: Sequence[TargetCapacity], n_buckets: int
) -> dict[str, list[float]]:
    supply = {target.service: [0.0] * n_buckets for target in targets}
    for target in targets:
        for bucket in range(n_buckets):
            at_s = bucket * BUCKET_S
            share = math.prod(_share(fault, target, at_s) for fault in faults)
            supply[target.service][bucket] += target.speed * share * BUCKET_S
    return supply


def _share(fault: Fault, target: TargetCapacity, at_s: float) -> float:
    """Return the share of its speed that a target keeps during a fault."""
    match fault:
        case SlowService():
            is_hit = fault.service == target.service
            remaining = 1.0 / fault.factor
        case KillTarget():
            return 0.0 if fault.target == target.name and at_s >= fault.at_s else 1.0
        case FreezeTarget():
            is_hit = fault.target == target.name
            remaining = 0.0
        case CutDomain():
            is_hit = fault.failure_domain == target.failure_domain
            remaining = 0.0
        case StaleLoad():
            return 1.0
    is_on = fault.at_s <= at_s < fault.at_s + fault.duration_s
    return remaining if is_hit and is_on else 1.0


def _reserve(
    request: Request, stages: list[StageWork], remaining: dict[str, list[float]]
) -> bool:
    first = int(request.at_s / BUCKET_S)
    last = int((request.at_s + request.deadline_s) / BUCKET_S)
    reserved: list[tuple[str, int, float]] = []
    for stage in stages:
        rest = stage.work_s
        supply = remaining[stage.service]
        for bucket in range(first, min(last, len(supply))):
            part = min(rest, supply[bucket])
            supply[bucket] -= part
            reserved.append((stage.service, bucket, part))
            rest -= part
            if rest <= 0.0:
                break
        if rest > 1e-9:
            for service, bucket, part in reserved:
                remaining[service][bucket] += part
            return False
    return True
