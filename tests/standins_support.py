"""What the tests of the stand-ins share."""

import asyncio
import itertools
from collections.abc import Callable

CAP_S = 20.0


async def until(condition: Callable[[], object]) -> None:
    """Return when `condition` holds; fail after a generous cap."""
    async with asyncio.timeout(CAP_S):
        for _ in itertools.count():
            if condition():
                return
            await asyncio.sleep(0.001)
