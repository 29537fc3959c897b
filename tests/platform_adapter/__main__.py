"""Print what a request that crashes its workers takes from the callers beside it.

``python -m tests.platform_adapter --for-s 16`` plays it once on each kind of route.
"""

import asyncio
import logging
import tempfile
from pathlib import Path

import fire

from .crash_rig import crash_rig


async def _play(route: str, for_s: float) -> str:
    with tempfile.TemporaryDirectory() as folder:
        async with crash_rig(Path(folder)) as rig:
            seen = await rig.play(route, for_s=for_s)
    return (
        f"{route:6} {len(seen.crashed_s):7} {seen.n_late():5}"
        f" {seen.statuses[200]:8} of {seen.statuses.total()}"
    )


def play(for_s: float = 16.0) -> None:
    """Play a request that comes four times a second, with twelve callers beside it.

    Parameters
    ----------
    for_s : float
        How long each play lasts.
    """
    logging.disable(logging.ERROR)
    print("route  crashes  late  others answered 200")
    for route in ("price", "hold", "draft"):
        print(asyncio.run(_play(route, for_s)), flush=True)


if __name__ == "__main__":
    fire.Fire(play)
