"""Requests of all gateways at the workers of a service, as they report them."""

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

    __slots__ = ("_by_gateway",)

    def __init__(self) -> None:
        self._by_gateway: dict[str, ReportedUse] = {}

    def record(
        self, gateway_id: str, n_running: Mapping[WorkerStart, int], *, until_s: float
    ) -> None:
        """Record the requests of one gateway; its last report is replaced."""
        self._by_gateway[gateway_id] = ReportedUse(n_running=n_running, until_s=until_s)

    def forget(self, gateway_id: str) -> None:
        """Forget the requests of a gateway that stops."""
        self._by_gateway.pop(gateway_id, None)

    def totals(self, now_s: float) -> dict[WorkerStart, int]:
        """Return the requests of all gateways at each worker."""
        expired = [i for i, use in self._by_gateway.items() if use.until_s <= now_s]
        for gateway_id in expired:
            del self._by_gateway[gateway_id]
        totals: dict[WorkerStart, int] = {}
        for use in self._by_gateway.values():
            for start, n_running in use.n_running.items():
                totals[start] = totals.get(start, 0) + n_running
        return totals
