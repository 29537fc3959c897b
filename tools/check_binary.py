"""Prove that the binary runs as one process and drains when it is told to stop.

Starts ``dist/trefoilpaddle`` as gateway and as sidecar between fakes, holds a
request at the target, sends SIGTERM to both, and counts processes throughout.
"""

import asyncio
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

import psutil

from tests.process_harness import ProcessPair, process_pair

ROOT: Final = Path(__file__).resolve().parent.parent
BINARY: Final = ROOT / "dist" / "trefoilpaddle"
COUNT_EVERY_S: Final = 0.01


class Counter:
    """Counts the most processes that each of two pids ever had below it."""

    def __init__(self, both: ProcessPair) -> None:
        self._both = both
        self.n_most = 0

    async def run(self) -> None:
        while True:
            for started in (self._both.gateway, self._both.sidecar):
                self.n_most = max(self.n_most, started.n_children())
            await asyncio.sleep(COUNT_EVERY_S)


async def check(folder: Path) -> list[str]:
    """Return what does not hold."""
    async with process_pair([str(BINARY)], folder) as both:
        counter = Counter(both)
        counting = asyncio.create_task(counter.run())
        await both.until_serving()
        programs = {
            name: Path(psutil.Process(started.popen.pid).exe()).name
            for name, started in (("gateway", both.gateway), ("sidecar", both.sidecar))
        }
        both.target.gate.clear()
        asked = asyncio.create_task(both.price())
        await both.until_target_called()
        both.stop()
        await asyncio.sleep(1.0)  # long enough to see a stop that does not drain
        still_running = [
            started.popen.poll() is None for started in (both.gateway, both.sidecar)
        ]
        both.target.gate.set()
        status = await asked
        codes = [await both.gateway.ended(), await both.sidecar.ended()]
        counting.cancel()
    wrong = []
    if counter.n_most:
        wrong.append(f"{counter.n_most} processes below one of the two")
    if set(programs.values()) != {"trefoilpaddle"}:
        wrong.append(f"the started pids run {programs}")
    if not all(still_running):
        wrong.append("a process ended while its request was still open")
    if status != 200 or any(codes):
        wrong.append(f"answer {status}, exit codes {codes}")
    return wrong


def start_s() -> float:
    """Return how long ``trefoilpaddle version`` takes."""
    begin_s = time.perf_counter()
    subprocess.run([str(BINARY), "version"], check=True, stdout=subprocess.DEVNULL)
    return time.perf_counter() - begin_s


def main() -> None:
    with tempfile.TemporaryDirectory() as space:
        os.environ["TREFOILPADDLE_TMP"] = space
        os.environ.pop("PYTHONPATH", None)
        first_s, second_s = start_s(), start_s()
        folder = Path(space, "check")
        folder.mkdir()
        wrong = asyncio.run(check(folder))
    print(f"size {BINARY.stat().st_size / 1e6:.1f} MB")
    print(f"first start {first_s:.2f} s, later start {second_s:.2f} s")
    for fault in wrong:
        print(f"wrong: {fault}")
    if not wrong:
        print("one process each, drained on SIGTERM, nothing cut off")
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    main()
