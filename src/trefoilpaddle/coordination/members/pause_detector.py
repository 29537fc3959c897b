"""Detection of pauses of this process, before it acts on outdated state."""

import time
from collections.abc import Callable
from typing import Final

from ...protocol.const import HEARTBEAT_S, UNRESPONSIVE_AFTER_S
from ...transport.aligned import aligned_sleep

CHECK_PERIOD_S: Final = 0.25
"""Time between two checks of the clock."""

PAUSE_MIN_S: Final = UNRESPONSIVE_AFTER_S - HEARTBEAT_S
"""Gap between two checks above which this process counts as paused.

After a shorter gap, an unread heartbeat in a socket is at most this gap plus one
heartbeat period old, which is within the ``UNRESPONSIVE_AFTER_S`` after which a
peer gets no new work.
"""

OnPause = Callable[[float], None]


class PauseDetector:
    """Checks the monotonic clock from the event loop and detects gaps.

    A process that was paused (stopped, or in a frozen virtual machine) finds old
    heartbeats in its sockets when it resumes and would take them for recent ones.
    The pause is visible as a gap between two checks. `is_pause_pending` reads the
    clock itself, so that a task that runs before the next check sees the gap too.

    Parameters
    ----------
    on_pause : callable
        Called once for each gap, with its length in seconds, to discard state
        that may be stale.
    clock : callable
        Monotonic clock in seconds.
    """

    __slots__ = ("_checked_s", "_clock", "_on_pause")

    def __init__(
        self, *, on_pause: OnPause, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._on_pause = on_pause
        self._clock = clock
        self._checked_s = clock()

    def is_pause_pending(self) -> bool:
        """Return True while a pause has not been handled yet."""
        return self._clock() - self._checked_s > PAUSE_MIN_S

    def check(self) -> None:
        """Handle a pause if there was one, then start the next interval."""
        gap_s = self._clock() - self._checked_s
        if gap_s > PAUSE_MIN_S:
            self._on_pause(gap_s)
        self._checked_s = self._clock()

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            self.check()
            await aligned_sleep(CHECK_PERIOD_S)
