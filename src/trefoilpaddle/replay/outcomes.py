"""Whether the outcomes that a trace states were reached."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from .audit import Violation
from .figures import Figures, attainment_of, is_met
from .results import Answer, Replayed
from .trace import Measure, Request, StatedOutcome, Trace

RECOVERY_S: Final = 3.0
"""Time after a repair within which things must be as before; never scaled."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditedReplay:
    """One play with its figures and what it violated."""

    replayed: Replayed
    figures: Figures
    violations: tuple[Violation, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Round:
    """All plays of one trace, and what its capacity allows.

    Parameters
    ----------
    trace : Trace
        What was played.
    baseline, product : AuditedReplay
        The two that are compared.
    fresh : AuditedReplay, optional
        The product without the faults; only where an outcome asks for it.
    allowed : list of bool
        For each request, whether capacity allows it.
    """

    trace: Trace
    baseline: AuditedReplay
    product: AuditedReplay
    fresh: AuditedReplay | None
    allowed: list[bool]


@dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeResult:
    """A stated outcome and what was measured."""

    stated: StatedOutcome
    value: float
    holds: bool


def outcome_results(round_: Round) -> tuple[OutcomeResult, ...]:
    """Return each outcome that the trace states, with what was measured."""
    return tuple(_outcome_result(stated, round_) for stated in round_.trace.head.stated)


def _outcome_result(stated: StatedOutcome, round_: Round) -> OutcomeResult:
    value = measure(stated.measure, round_)
    return OutcomeResult(stated=stated, value=value, holds=stated.holds(value))


def measure(which: Measure, round_: Round) -> float:
    """Return a measure of a round; NaN when it cannot be told."""
    base, product = round_.baseline.figures, round_.product.figures
    match which:
        case Measure.ATTAINMENT_RATIO:
            return _over(product.attainment, base.attainment)
        case Measure.ATTAINMENT_OF_BOUND:
            return _of_bound(round_)
        case Measure.WASTED_SHARE:
            return product.wasted_share
        case Measure.WITHIN_SHARE_OF_CALM:
            return _within_share(round_)
        case Measure.REPAIRED_OF_CALM:
            return _repaired(round_)
        case Measure.OF_FRESH:
            fresh = round_.fresh
            nan = float("nan")
            return _over(product.attainment, fresh.figures.attainment if fresh else nan)
        case Measure.COST_RATIO:
            return _over(product.cost_per_met_s, base.cost_per_met_s)
        case Measure.EXTRA_CALLS_SHARE:
            return product.extra_calls_share


def _over(part: float, whole: float) -> float:
    return part / whole if whole else float("inf")


def _select(round_: Round, wanted: Callable[[Request], bool]) -> Sequence[Answer]:
    requests = round_.trace.requests
    return [
        answer
        for answer in round_.product.replayed.answers
        if wanted(requests[answer.index])
    ]


def _of_bound(round_: Round) -> float:
    """Compare with the bound where trouble is, else over the whole trace."""
    window = round_.trace.head.disturbed
    answers = _select(round_, lambda request: not window or window.has(request.at_s))
    n_allowed = sum(round_.allowed[answer.index] for answer in answers)
    return _over(sum(map(is_met, answers)), n_allowed)


def _before(round_: Round, request: Request) -> bool:
    window = round_.trace.head.disturbed
    return window is None or request.at_s < window.begin_s


def _within_share(round_: Round) -> float:
    head = round_.trace.head
    window = head.disturbed

    def is_other(request: Request) -> bool:
        return request.account != head.bursting_account

    calm = _select(round_, lambda each: is_other(each) and _before(round_, each))
    during = _select(
        round_,
        lambda each: is_other(each) and window is not None and window.has(each.at_s),
    )
    return _over(attainment_of(during), attainment_of(calm))


def _repaired(round_: Round) -> float:
    window = round_.trace.head.disturbed
    if window is None:
        return float("nan")
    back_s = window.end_s + RECOVERY_S
    after = _select(round_, lambda request: request.at_s >= back_s)
    calm = _select(round_, lambda request: _before(round_, request))
    return _over(attainment_of(after), attainment_of(calm))
