"""Waits for conditions, never for fixed times."""

import asyncio
from collections.abc import Callable
from typing import Final

CAP_S: Final = 20.0
POLL_S: Final = 0.005


async def until(condition: Callable[[], object], *, cap_s: float = CAP_S) -> None:
    """Return as soon as `condition` holds.

    Raises
    ------
    TimeoutError
        If it does not hold within `cap_s` seconds.
    """
    async with asyncio.timeout(cap_s):
        while not condition():  # noqa: ASYNC110 - any condition, not an event
            await asyncio.sleep(POLL_S)
