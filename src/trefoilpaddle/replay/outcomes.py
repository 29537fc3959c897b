"""Compares the results of a replay with the outcomes that its trace states."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from .audit import Violation
from .figures import Figures, attainment_of, is_met
from .results import Answer, Replayed
from .trace import Measure, Request, StatedOutcome, Trace

RECOVERY_S: Final = 3.0
"""Time after a repair in which attainment must recover; real time, not scaled."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditedReplay:
    """One replay with its figures and its violations of invariants."""

    replayed: Replayed
    figures: Figures
    violations: tuple[Violation, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Round:
    """All replays of one trace, and the requests that capacity allows.

    Parameters
    ----------
    trace : Trace
        The replayed trace.
    baseline, product : AuditedReplay
        The two replays that are compared.
    fresh : AuditedReplay, optional
        The product without the faults; None if no stated outcome needs it.
    allowed : list of bool
        For each request, whether capacity allows an answer in time.
    """

    trace: Trace
    baseline: AuditedReplay
    product: AuditedReplay
    fresh: AuditedReplay | None
    allowed: list[bool]


@dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeResult:
    """A stated outcome, its measured value, and whether the value satisfies it."""

    stated: StatedOutcome
    value: float
    holds: bool


def outcome_results(round_: Round) -> tuple[OutcomeResult, ...]:
    """Return the result of each outcome that the trace states."""
    return tuple(_outcome_result(stated, round_) for stated in round_.trace.head.stated)


def _outcome_result(stated: StatedOutcome, round_: Round) -> OutcomeResult:
    value = measure(stated.measure, round_)
    return OutcomeResult(stated=stated, value=value, holds=stated.holds(value))


def measure(which: Measure, round_: Round) -> float:
    """Return the value of a measure in a round; NaN if it is undefined."""
    base, product = round_.baseline.figures, round_.product.figures
    match which:
        case Measure.ATTAINMENT_RATIO:
            return _ratio(product.attainment, base.attainment)
        case Measure.ATTAINMENT_OF_BOUND:
            return _attainment_of_bound(round_)
        case Measure.WASTED_SHARE:
            return product.wasted_share
        case Measure.WITHIN_SHARE_OF_CALM:
            return _attainment_within_share(round_)
        case Measure.REPAIRED_OF_CALM:
            return _attainment_after_repair(round_)
        case Measure.OF_FRESH:
            fresh = round_.fresh
            nan = float("nan")
            return _ratio(
                product.attainment, fresh.figures.attainment if fresh else nan
            )
        case Measure.COST_RATIO:
            return _ratio(product.cost_per_met_s, base.cost_per_met_s)
        case Measure.EXTRA_CALLS_SHARE:
            return product.extra_calls_share


def _ratio(part: float, total: float) -> float:
    return part / total if total else float("inf")


def _select(round_: Round, wanted: Callable[[Request], bool]) -> Sequence[Answer]:
    requests = round_.trace.requests
    return [
        answer
        for answer in round_.product.replayed.answers
        if wanted(requests[answer.index])
    ]


def _attainment_of_bound(round_: Round) -> float:
    """Return in-time over allowed requests, in the disturbed window if there is one."""
    window = round_.trace.head.disturbed
    answers = _select(round_, lambda request: not window or window.has(request.at_s))
    n_allowed = sum(round_.allowed[answer.index] for answer in answers)
    return _ratio(sum(map(is_met, answers)), n_allowed)


def _is_before_fault(round_: Round, request: Request) -> bool:
    window = round_.trace.head.disturbed
    return window is None or request.at_s < window.begin_s


def _attainment_within_share(round_: Round) -> float:
    head = round_.trace.head
    window = head.disturbed

    def is_other(request: Request) -> bool:
        return request.account != head.bursting_account

    calm = _select(
        round_, lambda each: is_other(each) and _is_before_fault(round_, each)
    )
    during = _select(
        round_,
        lambda each: is_other(each) and window is not None and window.has(each.at_s),
    )
    return _ratio(attainment_of(during), attainment_of(calm))


def _attainment_after_repair(round_: Round) -> float:
    window = round_.trace.head.disturbed
    if window is None:
        return float("nan")
    recovered_s = window.end_s + RECOVERY_S
    after = _select(round_, lambda request: request.at_s >= recovered_s)
    calm = _select(round_, lambda request: _is_before_fault(round_, request))
    return _ratio(attainment_of(after), attainment_of(calm))
