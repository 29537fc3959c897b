"""How long chains of each route can wait, as a bound on less urgent chains."""

from dataclasses import dataclass
from typing import Final

SMOOTHING: Final = 0.1
"""Weight of the newest chain in the mean; ten chains replace most of it."""

ROUTE_EXPIRY_S: Final = 5.0
"""Time without a chain after which a route bounds no others; about one burst."""

MAX_ROUTES: Final = 2000
"""Routes that are remembered; the one recorded first is dropped first."""


@dataclass(slots=True, kw_only=True)
class RouteWait:
    """The wait that the chains of one route can tolerate.

    Parameters
    ----------
    priority : int
        Priority of the chains; 0 is the most urgent.
    services : frozenset of str
        Services that run the stages of the chains.
    wait_s : float
        Smoothed mean of the total time that a chain can wait in all queues.
    seen_s : float
        Monotonic time at which the newest chain arrived.
    """

    priority: int
    services: frozenset[str]
    wait_s: float
    seen_s: float


class TolerableWaits:
    """The waits that the routes of one cell can tolerate."""

    __slots__ = ("_by_route",)

    def __init__(self) -> None:
        self._by_route: dict[str, RouteWait] = {}

    def record(
        self,
        route: str,
        *,
        priority: int,
        services: frozenset[str],
        wait_s: float,
        now_s: float,
    ) -> None:
        """Record a chain that arrives now."""
        known = self._by_route.get(route)
        if known is None:
            if len(self._by_route) >= MAX_ROUTES:
                del self._by_route[next(iter(self._by_route))]
            known = RouteWait(
                priority=priority, services=services, wait_s=wait_s, seen_s=now_s
            )
            self._by_route[route] = known
        known.priority = priority
        known.services = services
        known.wait_s += SMOOTHING * (wait_s - known.wait_s)
        known.seen_s = now_s

    def min_of_more_urgent_s(
        self, priority: int, services: frozenset[str], now_s: float
    ) -> float:
        """Return the shortest wait that any more urgent route can tolerate.

        Infinite if no such route with a stage at one of `services` had a chain within
        `ROUTE_EXPIRY_S`.
        """
        waits_s = (
            known.wait_s
            for known in self._by_route.values()
            if known.priority < priority
            and now_s - known.seen_s < ROUTE_EXPIRY_S
            and not services.isdisjoint(known.services)
        )
        return min(waits_s, default=float("inf"))
