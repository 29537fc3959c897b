"""How many streams that may not be resumed outlive the crash of one engine in three.

``python -m tests.platform_adapter.copy_plays on 36`` plays 36 streams with copies and
prints how many arrived whole; ``off`` plays them without copies.
"""

import asyncio
import contextlib
import os
import sys
import tempfile
from pathlib import Path
from typing import Final

import aiohttp

from trefoilpaddle.standins.platform.gateway_process import event_numbers, headers

from .test_stream_moves import EVENT_S, TALK, WHOLE, Rig, metrics_of, rig_of

GAP_S: Final = 0.01
"""Time between the begins of two streams."""

CRASH_AFTER_S: Final = 3 * EVENT_S
"""Time from the begin of the last stream to the crash."""

VARIABLE: Final = "TREFOILPADDLE_STREAM_COPIES"


async def read(rig: Rig, client: aiohttp.ClientSession, number: int) -> bool | None:
    """Return True if a stream arrived whole, False if it was cut, None if faulty."""
    body = b""
    is_complete = False
    async with client.post(
        f"{rig.gateway.url}/talk/1",
        data=b"text %d" % number,
        headers=headers(f"s{number}") | TALK,
    ) as answer:
        with contextlib.suppress(aiohttp.ClientError):
            async for data in answer.content.iter_any():
                body += data
            is_complete = answer.status == 200
    numbers = event_numbers(body)
    if numbers != WHOLE[: len(numbers)] or (is_complete and numbers != WHOLE):
        return None
    return is_complete


async def play(folder: Path, n_streams: int) -> str:
    """Play the streams and return what happened."""
    async with (
        rig_of(folder, "v1", "v1", "v1") as rig,
        aiohttp.ClientSession() as client,
    ):
        reads = []
        for number in range(n_streams):
            reads.append(asyncio.create_task(read(rig, client, number)))
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(CRASH_AFTER_S)
        crashed = rig.site.workers["model0"]
        n_at_crashed = len(crashed.running)
        rig.crash(crashed)
        ends = await asyncio.gather(*reads)
        metrics = (await metrics_of(rig)).splitlines()
        n_copies = next(m for m in metrics if m.startswith("trefoilpaddle_stream_cop"))
        return (
            f"{n_streams} streams, {n_at_crashed} at the crashed engine:"
            f" {ends.count(True)} whole, {ends.count(False)} cut,"
            f" {ends.count(None)} faulty; {n_copies}"
        )


def main() -> None:
    """Play as the command line says."""
    os.environ[VARIABLE] = sys.argv[1]
    with tempfile.TemporaryDirectory() as folder:
        print(asyncio.run(play(Path(folder), int(sys.argv[2]))))


if __name__ == "__main__":
    main()
