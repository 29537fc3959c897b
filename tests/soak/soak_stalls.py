"""Detects when the test process did not run because the machine was overloaded."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

POLL_S: Final = 0.05
MIN_STALL_S: Final = 0.2
"""Delay of a wake-up from which a stall is recorded.

After a longer one, callers observe the close of a connection too late to tell which
requests were in flight at that moment.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Stall:
    """A period in which the process of the test did not run."""

    began_s: float
    ended_s: float


async def record_stalls(record: Callable[[Stall], None]) -> None:
    """Record stalls of the event loop until cancelled."""
    while True:
        began_s = time.monotonic()
        await asyncio.sleep(POLL_S)
        ended_s = time.monotonic()
        if ended_s - began_s > POLL_S + MIN_STALL_S:
            record(Stall(began_s=began_s, ended_s=ended_s))
