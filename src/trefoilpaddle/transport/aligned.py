"""Sleep to a common beat, so that many timers wake the process once."""

import asyncio
import random
import time
from typing import Final

_PHASE_S: Final = random.uniform(0.0, 60.0)
_SHORTEST_SHARE: Final = 0.1


async def aligned_sleep(period_s: float) -> None:
    """Sleep until the next multiple of `period_s` of this process's own beat.

    A process has a timer for each connection. Were each to count from its own
    beginning, each would wake the process by itself, which costs more than what
    it then does. Processes differ in phase, so they do not beat together.
    """
    late_s = (time.monotonic() - _PHASE_S) % period_s
    wait_s = period_s - late_s
    if wait_s < _SHORTEST_SHARE * period_s:
        wait_s += period_s
    await asyncio.sleep(wait_s)
