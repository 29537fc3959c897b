"""What a gateway still takes after the order to stop, and what it still waits for."""

import asyncio
import contextlib
import math
import time
from collections.abc import AsyncIterator
from typing import Final

from ...protocol.reasons import Reason
from ...state.chain.delivery import Delivery
from ...state.chain.routes import Route
from .answer_deadline import AnswerDeadline

TAKE_STREAMS_S: Final = 2.8
"""Streams are taken so long after the order.

The balancer sends new connections for two more seconds. A stream that is taken
later would often not end before the process is killed.
"""

ANSWER_S: Final = 2.0
"""Left before the kill for the answers of what was sent to a worker last.

Longer than the time in which most plain requests are answered. A stream that
begins later would mostly be broken off within.
"""

WRITE_S: Final = 0.9
"""Left before the kill to write the last answers and to close.

An answer takes a hundredth of it; the rest is for a weak host on which many
requests end at the same moment.
"""

CLOSE_S: Final = 0.3
"""Left before the kill to close connections, and to end."""


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

    __slots__ = ("_bounds", "_grace_s", "_ordered", "_ordered_s", "is_closing")

    def __init__(self, *, grace_s: float) -> None:
        self._grace_s = grace_s
        self._ordered = asyncio.Event()
        self._ordered_s = math.inf
        self._bounds: set[AnswerDeadline] = set()
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
        if self._ordered.is_set():
            return
        self._ordered_s = time.monotonic()
        self._ordered.set()
        for bound in self._bounds:
            bound.refresh()

    @property
    def since_s(self) -> float:
        """Seconds since the order; negative without bound before it."""
        return time.monotonic() - self._ordered_s

    @property
    def send_until_s(self) -> float:
        """Monotonic time until which requests are sent to workers."""
        return self._ordered_s + self._grace_s - ANSWER_S

    @property
    def answer_until_s(self) -> float:
        """Monotonic time at which every request gets its final answer."""
        return self._ordered_s + self._grace_s - WRITE_S

    def left_s(self) -> float:
        """Return the seconds until the kill; all of them before the order."""
        return self._grace_s - max(0.0, self.since_s)

    def closes_in_s(self) -> float:
        """Return how long answers may still go out."""
        return max(0.0, self.left_s() - CLOSE_S)

    def accepts(self, route: Route) -> bool:
        """Return True if a request of `route` can still be answered whole."""
        if time.monotonic() >= self.send_until_s:
            return False
        return not route.is_stream or self.since_s < TAKE_STREAMS_S

    @contextlib.asynccontextmanager
    async def answer_deadline(
        self, delivery: Delivery, deadline_s: float
    ) -> AsyncIterator[None]:
        """End what runs in the context while its request can still be answered.

        Raises
        ------
        AnswerDueError
            When the request must be answered now.
        """
        bound = AnswerDeadline(
            delivery=delivery, ends_s=lambda: self._ends_s(delivery, deadline_s)
        )
        self._bounds.add(bound)
        try:
            async with bound.open():
                yield
        finally:
            self._bounds.remove(bound)

    def _ends_s(self, delivery: Delivery, deadline_s: float) -> tuple[float, Reason]:
        """Return when a request must be answered, and why then."""
        stop_s = self.answer_until_s if delivery.is_in_progress else self.send_until_s
        if stop_s < deadline_s:
            return stop_s, Reason.STOPPING
        return deadline_s, Reason.DEADLINE_PASSED
