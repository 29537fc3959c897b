"""What a gateway still takes after the order to stop."""

import asyncio
import time
from typing import Final

from ...state.chain.routes import Route

TAKE_STREAMS_S: Final = 2.8
"""Streams are taken so long after the order.

The balancer sends new connections for two more seconds. A stream that is taken
later would often not end before the process is killed.
"""

ANSWER_S: Final = 2.0
"""Left for the answers of whole requests that were taken last.

Longer than the deadlines of plain requests, of which it is the longest.
"""


class PlannedStop:
    """The order to stop, and the time that is left after it.

    Callers go on sending on open connections until the process is gone. What
    could not be answered before the kill is refused at once: the caller goes to
    another gateway, where a cut connection would leave it not knowing.

    Parameters
    ----------
    grace_s : float
        Time from the order to the kill.

    Attributes
    ----------
    is_closing : bool
        True once callers' connections are closed: who is not answered is cut.
    """

    __slots__ = ("_grace_s", "_ordered", "_ordered_s", "is_closing")

    def __init__(self, *, grace_s: float) -> None:
        self._grace_s = grace_s
        self._ordered = asyncio.Event()
        self._ordered_s = 0.0
        self.is_closing = False

    @property
    def event(self) -> asyncio.Event:
        """Set by the order."""
        return self._ordered

    @property
    def is_ordered(self) -> bool:
        """True from the order on."""
        return self._ordered.is_set()

    def order(self) -> None:
        """Begin the stop; a second order changes nothing."""
        if not self._ordered.is_set():
            self._ordered_s = time.monotonic()
            self._ordered.set()

    def left_s(self) -> float:
        """Return the seconds until the kill."""
        return self._ordered_s + self._grace_s - time.monotonic()

    def takes(self, route: Route) -> bool:
        """Return True if a request of `route` can still be answered whole."""
        if not self.is_ordered:
            return True
        if route.is_stream:
            return time.monotonic() - self._ordered_s < TAKE_STREAMS_S
        return self.left_s() > ANSWER_S
