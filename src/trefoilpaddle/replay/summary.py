"""The summary of a round, for output as JSON."""

from dataclasses import dataclass

from .audit import Violation
from .figures import Figures
from .outcomes import OutcomeResult, Round, outcome_results
from .trace import Head


@dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """Figures, violations and outcomes of a round.

    Parameters
    ----------
    head : Head
        Head of the trace.
    n_allowed : int
        Number of requests that capacity allows to be answered in time.
    baseline, product, fresh : Figures
        Figures of each replay.
    violations : tuple of Violation
        Violations of invariants by the baseline and the product.
    outcomes : tuple of OutcomeResult
        Each stated outcome with its measured value.
    """

    head: Head
    n_allowed: int
    baseline: Figures
    product: Figures
    fresh: Figures | None
    violations: tuple[Violation, ...]
    outcomes: tuple[OutcomeResult, ...]


def summary_of(round_: Round) -> Summary:
    """Return the summary of `round_`."""
    fresh = round_.fresh
    return Summary(
        head=round_.trace.head,
        n_allowed=sum(round_.allowed),
        baseline=round_.baseline.figures,
        product=round_.product.figures,
        fresh=fresh.figures if fresh else None,
        violations=round_.baseline.violations + round_.product.violations,
        outcomes=outcome_results(round_),
    )
