"""Budget for retries and hedges, as a share of a service's calls."""

from typing import Final

INITIAL_CREDIT: Final = 5.0
"""Repeated calls that a service may make before its first calls earn credit."""

MAX_CREDIT: Final = 20.0
"""Largest credit that a service can accumulate, in repeated calls."""


class RetryBudget:
    """Credit that each first call earns and each repeated call uses.

    Repeated calls stay below `share` times the first calls plus the initial
    credit. Without this bound, retries multiply the load of a service that
    fails because it is overloaded, and keep it overloaded.

    Parameters
    ----------
    share : float
        Credit earned by one first call.
    is_limited : bool
        If False, no repeated call is refused; the baseline policy.
    """

    __slots__ = ("_credit", "_is_limited", "n_calls", "n_refused", "n_spent", "share")

    def __init__(self, *, share: float, is_limited: bool = True) -> None:
        self.share = share
        self._is_limited = is_limited
        self._credit = INITIAL_CREDIT
        self.n_calls = 0
        self.n_spent = 0
        self.n_refused = 0

    def earn(self) -> None:
        """Count one first call."""
        self.n_calls += 1
        self._credit = min(MAX_CREDIT, self._credit + self.share)

    def spend(self) -> bool:
        """Use credit for one repeated call; return False if there is none."""
        if self._is_limited and self._credit < 1.0:
            self.n_refused += 1
            return False
        self._credit -= 1.0
        self.n_spent += 1
        return True


class RetryBudgets:
    """One budget per service.

    Parameters
    ----------
    is_limited : bool
        See `RetryBudget`.
    """

    __slots__ = ("_by_service", "_is_limited")

    def __init__(self, *, is_limited: bool) -> None:
        self._is_limited = is_limited
        self._by_service: dict[str, RetryBudget] = {}

    def of(self, service: str, *, share: float) -> RetryBudget:
        """Return the budget of `service`, with `share` as its new share."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = RetryBudget(share=share, is_limited=self._is_limited)
            self._by_service[service] = budget
        budget.share = share
        return budget
