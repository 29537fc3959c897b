"""Sleep until a shared tick, so that many timers wake the process once."""

import asyncio
import random
import time
from typing import Final

_PHASE_S: Final = random.uniform(0.0, 60.0)
_MIN_WAIT_SHARE: Final = 0.1


async def aligned_sleep(period_s: float) -> None:
    """Sleep until the next multiple of `period_s` in this process's own phase.

    A process has a timer for each connection. If each timer counted from its own
    start, each would wake the process separately, which costs more than the work
    that it then does. The phase differs between processes, so that they do not
    all send at the same moment.

    Parameters
    ----------
    period_s : float
        Period in seconds. A wait shorter than a tenth of it is extended by one
        period.
    """
    elapsed_s = (time.monotonic() - _PHASE_S) % period_s
    wait_s = period_s - elapsed_s
    if wait_s < _MIN_WAIT_SHARE * period_s:
        wait_s += period_s
    await asyncio.sleep(wait_s)
