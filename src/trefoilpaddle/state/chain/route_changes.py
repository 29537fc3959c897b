"""When a route last changed how its streams begin."""

import time
from collections.abc import Mapping
from typing import Final

from .routes import Route, RouteTable

APPLY_LAG_S: Final = 10.0
"""Time for which another gateway may use a table that this one has replaced."""

Key = tuple[str, str]
"""Host and prefix of a route."""


class RouteChanges:
    """Routes that a later table lets begin their streams elsewhere."""

    __slots__ = ("_changed_s",)

    def __init__(self) -> None:
        self._changed_s: dict[Key, float] = {}

    def activate(self, before: RouteTable, after: RouteTable) -> None:
        """Note which routes differ; the first table of a process changes none."""
        if not before.version:
            return
        now_s = time.monotonic()
        known, routes = _by_key(before), _by_key(after)
        changed_s = {
            key: now_s if _begins_at(route) != _begins_at(known.get(key)) else earlier_s
            for key, route in routes.items()
            for earlier_s in [self._changed_s.get(key)]
        }
        self._changed_s = {k: at_s for k, at_s in changed_s.items() if at_s is not None}

    def is_unchanged(self, route: Route, for_s: float) -> bool:
        """Return True if streams of a route have begun alike for a time in seconds."""
        changed_s = self._changed_s.get((route.host, route.prefix))
        if changed_s is None:
            return True
        return time.monotonic() - changed_s > for_s + APPLY_LAG_S


def _by_key(table: RouteTable) -> Mapping[Key, Route]:
    return {
        (route.host, route.prefix): route
        for in_host in table.by_host.values()
        for route in in_host
    }


def _begins_at(route: Route | None) -> object:
    """Return what decides at which workers the streams of a route begin."""
    if route is None or not route.is_resumable:
        return None
    return route.splits
