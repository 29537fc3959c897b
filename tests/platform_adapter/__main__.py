"""Print how a request that crashes its workers affects other callers.

``python -m tests.platform_adapter --for-s 16`` runs it once on each kind of route.
"""

import asyncio
import logging
import tempfile
from pathlib import Path

import fire

from .crash_harness import crash_harness


async def _play(route: str, for_s: float, accepts_when_down: bool) -> str:
    with tempfile.TemporaryDirectory() as folder:
        async with crash_harness(
            Path(folder), accepts_when_down=accepts_when_down
        ) as harness:
            observed = await harness.run(route, for_s=for_s)
    return (
        f"{route:6} {len(observed.crashed_s):7} {observed.n_late_starts():5}"
        f" {observed.statuses[200]:8} of {observed.statuses.total()}"
    )


def play(for_s: float = 16.0, accepts_when_down: bool = False) -> None:
    """Send a crashing request four times a second, next to twelve other callers.

    Parameters
    ----------
    for_s : float
        Length of each run in seconds.
    accepts_when_down : bool
        True if the addresses of crashed workers still accept connections.
    """
    logging.disable(logging.ERROR)
    print("route  crashes  late  others answered 200")
    for route in ("price", "hold", "draft"):
        print(asyncio.run(_play(route, for_s, accepts_when_down)), flush=True)


if __name__ == "__main__":
    fire.Fire(play)
