"""Timers that drop an attempt which has not started by a given time."""

import asyncio
import time
from collections.abc import Callable

from ...protocol.const import NS_PER_S
from .attempts import Attempt, Phase

OnExpired = Callable[[Attempt], None]


class DropTimers:
    """Reports each attempt that still waits when its timer expires.

    Parameters
    ----------
    on_due : callable
        Called with the attempt.
    """

    __slots__ = ("_on_due",)

    def __init__(self, *, on_due: OnExpired) -> None:
        self._on_due = on_due

    def arm(self, attempt: Attempt, *, at_ns: int) -> None:
        """Set the timer of `attempt` to `at_ns` on this process's monotonic clock."""
        attempt.stop_timer()
        wait_s = max(0.0, (at_ns - time.monotonic_ns()) / NS_PER_S)
        loop = asyncio.get_running_loop()
        attempt.timer = loop.call_later(wait_s, self._fire, attempt)

    def has_expired(self, attempt: Attempt) -> bool:
        """Return True if the timer's time has passed, even if it has not run yet.

        After a pause of the process, or a long iteration of its event loop,
        received messages are handled before the expired timers.
        """
        if attempt.timer is None:
            return False
        return attempt.timer.when() <= asyncio.get_running_loop().time()

    def _fire(self, attempt: Attempt) -> None:
        if attempt.phase in (Phase.RECEIVING, Phase.WAITING):
            self._on_due(attempt)
