"""Notices that this process was paused, before it acts on what it believed."""

import time
from collections.abc import Callable
from typing import Final

from ...protocol.const import HEARTBEAT_S, SILENCE_S
from ...transport.aligned import aligned_sleep

CHECK_PERIOD_S: Final = 0.25
"""Time between two looks at the clock."""

PAUSE_MIN_S: Final = SILENCE_S - HEARTBEAT_S
"""A gap between ticks from which on this process counts as paused.

What lies unread in a socket is then at most this old and one heartbeat older,
within the silence that takes a peer out of use.
"""

OnPause = Callable[[float], None]


class PauseDetector:
    """Ticks on the event loop and measures the gaps on the monotonic clock.

    A paused process (a stopped one, a frozen virtual machine) finds after it
    wakes old heartbeats in its sockets and takes them for fresh. It shows as a
    gap between ticks. `is_pause_pending` compares the clock itself, so that a
    task which runs before the next tick learns of the gap as well.

    Parameters
    ----------
    on_pause : callable
        Called once with each gap in seconds; drops what may be stale.
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
        """Return True while a pause has not been dealt with yet."""
        return self._clock() - self._checked_s > PAUSE_MIN_S

    def check(self) -> None:
        """Deal with a pause if there was one, then begin the next interval."""
        gap_s = self._clock() - self._checked_s
        if gap_s > PAUSE_MIN_S:
            self._on_pause(gap_s)
        self._checked_s = self._clock()

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.check()
            await aligned_sleep(CHECK_PERIOD_S)
