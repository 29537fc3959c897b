"""Check that the binary runs as one process and drains on SIGTERM.

Starts ``dist/trefoilpaddle`` as gateway and as sidecar between fakes, holds a
request at the target, sends SIGTERM to both, and counts their child processes.
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
COUNT_PERIOD_S: Final = 0.01


class Counter:
    """Records the largest number of children that either process had."""

    def __init__(self, pair: ProcessPair) -> None:
        self._pair = pair
        self.n_max = 0

    async def run(self) -> None:
        while True:
            for started in (self._pair.gateway, self._pair.sidecar):
                self.n_max = max(self.n_max, started.n_children())
            await asyncio.sleep(COUNT_PERIOD_S)


async def check(folder: Path) -> list[str]:
    """Return the failed checks."""
    async with process_pair([str(BINARY)], folder) as pair:
        counter = Counter(pair)
        counting = asyncio.create_task(counter.run())
        await pair.until_serving()
        programs = {
            name: Path(psutil.Process(started.popen.pid).exe()).name
            for name, started in (("gateway", pair.gateway), ("sidecar", pair.sidecar))
        }
        pair.target.gate.clear()
        request = asyncio.create_task(pair.price())
        await pair.until_target_called()
        pair.stop()
        await asyncio.sleep(1.0)  # a process that does not drain exits within this time
        still_running = [
            started.popen.poll() is None for started in (pair.gateway, pair.sidecar)
        ]
        pair.target.gate.set()
        status = await request
        codes = [await pair.gateway.ended(), await pair.sidecar.ended()]
        counting.cancel()
    problems = []
    if counter.n_max:
        problems.append(f"{counter.n_max} child processes of one of the two")
    if set(programs.values()) != {"trefoilpaddle"}:
        problems.append(f"the started pids run {programs}")
    if not all(still_running):
        problems.append("a process exited while its request was still open")
    if status != 200 or any(codes):
        problems.append(f"answer {status}, exit codes {codes}")
    return problems


def start_time_s() -> float:
    """Return the seconds that ``trefoilpaddle version`` takes."""
    begin_s = time.perf_counter()
    subprocess.run([str(BINARY), "version"], check=True, stdout=subprocess.DEVNULL)
    return time.perf_counter() - begin_s


def main() -> None:
    with tempfile.TemporaryDirectory() as space:
        os.environ["TREFOILPADDLE_TMP"] = space
        os.environ.pop("PYTHONPATH", None)
        first_s, second_s = start_time_s(), start_time_s()
        folder = Path(space, "check")
        folder.mkdir()
        problems = asyncio.run(check(folder))
    print(f"size {BINARY.stat().st_size / 1e6:.1f} MB")
    print(f"first start {first_s:.2f} s, later start {second_s:.2f} s")
    for problem in problems:
        print(f"failed: {problem}")
    if not problems:
        print("one process each, drained on SIGTERM, no request interrupted")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
