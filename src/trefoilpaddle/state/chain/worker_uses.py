"""Requests of all gateways at the workers of a service, as they report them."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

WorkerStart = tuple[str, int]
"""Id of a worker and Unix time of its start in milliseconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportedUse:
    """Requests of one gateway by worker.

    Parameters
    ----------
    n_running : mapping of WorkerStart to int
        Requests at each worker.
    until_s : float
        Monotonic time until which the report counts.
    """

    n_running: Mapping[WorkerStart, int]
    until_s: float


class WorkerUses:
    """Requests at the workers of one service, by gateway."""

    __slots__ = ("_by_gateway", "_next_end_s", "_totals")

    def __init__(self) -> None:
        self._by_gateway: dict[str, ReportedUse] = {}
        self._totals: dict[WorkerStart, int] = {}
        self._next_end_s = math.inf

    def record(
        self, gateway_id: str, n_running: Mapping[WorkerStart, int], *, until_s: float
    ) -> None:
        """Record the requests of one gateway; its last report is replaced."""
        self.forget(gateway_id)
        self._by_gateway[gateway_id] = ReportedUse(n_running=n_running, until_s=until_s)
        self._next_end_s = min(self._next_end_s, until_s)
        for start, n in n_running.items():
            self._totals[start] = self._totals.get(start, 0) + n

    def forget(self, gateway_id: str) -> None:
        """Forget the requests of a gateway that stops."""
        use = self._by_gateway.pop(gateway_id, None)
        if use is None:
            return
        for start, n in use.n_running.items():
            self._totals[start] -= n
            if not self._totals[start]:
                del self._totals[start]

    def totals(self, now_s: float) -> Mapping[WorkerStart, int]:
        """Return the requests of all gateways at each worker that has any."""
        if now_s >= self._next_end_s:
            expired = [i for i, use in self._by_gateway.items() if use.until_s <= now_s]
            for gateway_id in expired:
                self.forget(gateway_id)
            ends_s = [use.until_s for use in self._by_gateway.values()]
            self._next_end_s = min(ends_s, default=math.inf)
        return self._totals
