"""Budget of repeats over a sliding window, split among gateways."""

from collections import deque
from collections.abc import Callable
from typing import Final

SAFETY_FACTOR: Final = 0.8
"""Part of the published share that is used.

Gateways count their own windows, which slide against one another, and a
request that never reached a worker earns no repeat.
"""


class RepeatBudget:
    """How often requests for one service may be sent to workers once more.

    All gateways together may repeat `ratio` of the requests of a window, plus
    a fixed slack. Each earns the ratio by its own requests; the slack is
    divided by the number of gateways, so that shares add up to the whole.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    slack : float
        Repeats of all gateways in a window beyond the ratio.
    window_s : float
        Length of the window.
    n_gateways : callable
        Returns among how many gateways the slack is divided.
    """

    __slots__ = (
        "_n_gateways",
        "_ratio",
        "_repeats_s",
        "_requests_s",
        "_slack",
        "_window_s",
    )

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_s: float,
        n_gateways: Callable[[], int],
    ) -> None:
        self._n_gateways = n_gateways
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests_s: deque[float] = deque()
        self._repeats_s: deque[float] = deque()

    def earn(self, now_s: float) -> None:
        """Count one request."""
        self._requests_s.append(now_s)
        self._forget(self._requests_s, now_s)

    def spend(self, now_s: float) -> bool:
        """Take one repeat; return False if none is left."""
        self._forget(self._requests_s, now_s)
        self._forget(self._repeats_s, now_s)
        share = self._slack / max(1, self._n_gateways())
        allowed = SAFETY_FACTOR * (self._ratio * len(self._requests_s) + share)
        if len(self._repeats_s) + 1 > allowed:
            return False
        self._repeats_s.append(now_s)
        return True

    def _forget(self, times_s: deque[float], now_s: float) -> None:
        while times_s and now_s - times_s[0] > self._window_s:
            times_s.popleft()


class RepeatBudgets:
    """One budget for each service, made on first use.

    Parameters
    ----------
    ratio, slack, window_s, n_gateways
        Of each, as for `RepeatBudget`.
    """

    __slots__ = ("_by_service", "_n_gateways", "_ratio", "_slack", "_window_s")

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_s: float,
        n_gateways: Callable[[], int],
    ) -> None:
        self._n_gateways = n_gateways
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._by_service: dict[str, RepeatBudget] = {}

    def for_service(self, service: str) -> RepeatBudget:
        """Return the budget of a service."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = RepeatBudget(
                ratio=self._ratio,
                slack=self._slack,
                window_s=self._window_s,
                n_gateways=self._n_gateways,
            )
            self._by_service[service] = budget
        return budget
