"""Budget of repeated calls over a sliding window, divided among the gateways."""

from collections import deque
from collections.abc import Callable
from typing import Final

SAFETY_FACTOR: Final = 0.8
"""Part of the published budget that is used.

Each gateway counts its own window, and the windows do not coincide. A request that
never reached a worker earns no repeat.
"""


class RepeatBudget:
    """Budget of the repeats of requests for one service.

    All gateways together may repeat a share `ratio` of the requests of a window, plus a
    fixed slack. Each gateway earns the ratio by its own requests; the slack is divided
    by the number of gateways, so that their shares add up to the slack.

    Parameters
    ----------
    ratio : float
        Repeats that each request earns.
    slack : float
        Repeats of all gateways in a window in addition to the ratio.
    window_s : float
        Length of the window in seconds.
    n_gateways : callable
        Returns the number of gateways among which the slack is divided.
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
        """Use one repeat of the budget; return False if none is left."""
        if not self.has_left(now_s):
            return False
        self._repeats_s.append(now_s)
        return True

    def has_left(self, now_s: float) -> bool:
        """Return True if a repeat is left."""
        self._forget(self._requests_s, now_s)
        self._forget(self._repeats_s, now_s)
        share = self._slack / max(1, self._n_gateways())
        allowed = SAFETY_FACTOR * (self._ratio * len(self._requests_s) + share)
        return len(self._repeats_s) + 1 <= allowed

    def _forget(self, times_s: deque[float], now_s: float) -> None:
        while times_s and now_s - times_s[0] > self._window_s:
            times_s.popleft()


class RepeatBudgets:
    """Repeat budgets by service, each created on first use.

    Parameters
    ----------
    ratio, slack, window_s, n_gateways
        Parameters of each `RepeatBudget`.
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
