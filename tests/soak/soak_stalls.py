"""When the soak itself was kept from running: a machine that was too busy."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

LOOK_S: Final = 0.05
STALL_S: Final = 0.2
"""Late by so much, callers see a close too late to say what crossed it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Stall:
    """A time in which the soak's own process did not run."""

    began_s: float
    ended_s: float


async def note_stalls(note: Callable[[Stall], None]) -> None:
    """Note stalls until cancelled."""
    while True:
        began_s = time.monotonic()
        await asyncio.sleep(LOOK_S)
        ended_s = time.monotonic()
        if ended_s - began_s > LOOK_S + STALL_S:
            note(Stall(began_s=began_s, ended_s=ended_s))
