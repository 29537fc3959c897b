"""How long chains of each route can wait, so that less urgent ones leave them time."""

from dataclasses import dataclass
from typing import Final

SMOOTHING: Final = 0.1
"""Weight of the newest chain; ten replace most of what was learnt."""

ROUTE_EXPIRY_S: Final = 5.0
"""A route without a chain for so long needs no time left; a burst lasts about that."""

MAX_ROUTES: Final = 2000
"""Routes remembered; the oldest are forgotten."""


@dataclass(slots=True, kw_only=True)
class RouteWait:
    """What the chains of one route can bear.

    Parameters
    ----------
    priority : int
        Their rank, 0 first.
    services : frozenset of str
        What they pass.
    wait_s : float
        Mean time for which they can wait in all queues together.
    seen_s : float
        When the last one came.
    """

    priority: int
    services: frozenset[str]
    wait_s: float
    seen_s: float


class TolerableWaits:
    """The waits that the routes of one cell can bear."""

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
        """Take in a chain that comes now."""
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
        """Return the least wait that a more urgent route can bear.

        Infinite if none that passes one of `services` has come lately.
        """
        waits_s = (
            known.wait_s
            for known in self._by_route.values()
            if known.priority < priority
            and now_s - known.seen_s < ROUTE_EXPIRY_S
            and not services.isdisjoint(known.services)
        )
        return min(waits_s, default=float("inf"))
