"""Print what records and log lines cost on the path, in processor time a call.

A gateway and a sidecar run as processes before an instant target; each way
serves the same number of one-stage requests. Ways take turns, so that a busy
machine touches all alike.
"""

import asyncio
import os
import statistics
import sys
import tempfile
from pathlib import Path
from typing import Final

import psutil

from tests.process_harness import ProcessPair, process_pair

N_REQUESTS: Final = 3000
N_AT_ONCE: Final = 16
N_ROUNDS: Final = 3

COMMAND: Final = [sys.executable, "-m", "trefoilpaddle"]
WITHOUT_JOURNAL: Final = [
    sys.executable,
    "-c",
    "from trefoilpaddle.state.journal import Journal\n"
    "from trefoilpaddle.cli.main import main\n"
    "Journal.record = lambda self, decision: None\n"
    "main()",
]
WAYS: Final = {
    "no records, no lines": (WITHOUT_JOURNAL, ""),
    "records, no lines": (COMMAND, '[log]\nverbosity = "warning"\n'),
    "records and key=value lines": (COMMAND, ""),
    "records and JSON lines": (COMMAND, '[log]\nformat = "json"\n'),
}


def used_s(both: ProcessPair) -> float:
    """Return the processor time that both processes have used."""
    times = [
        psutil.Process(started.popen.pid).cpu_times()
        for started in (both.gateway, both.sidecar)
    ]
    return sum(time.user + time.system for time in times)


async def serve(both: ProcessPair, n_requests: int) -> None:
    left = iter(range(n_requests))

    async def caller() -> None:
        for _ in left:
            status = await both.price()
            if status != 200:
                raise RuntimeError(f"a request got status {status}")

    await asyncio.gather(*(caller() for _ in range(N_AT_ONCE)))


async def measure(program: list[str], more_settings: str) -> float:
    """Return the microseconds of processor time that one request takes."""
    with tempfile.TemporaryDirectory() as name:
        async with process_pair(
            program, Path(name), more_settings=more_settings
        ) as both:
            await both.until_serving()
            await serve(both, N_REQUESTS // 10)
            begin_s = used_s(both)
            await serve(both, N_REQUESTS)
            return (used_s(both) - begin_s) / N_REQUESTS * 1e6


def main() -> None:
    os.environ["PYTHONPATH"] = str(Path(__file__).resolve().parent.parent / "src")
    costs_us: dict[str, list[float]] = {way: [] for way in WAYS}
    for _ in range(N_ROUNDS):
        for way, (program, settings) in WAYS.items():
            costs_us[way].append(asyncio.run(measure(program, settings)))
    base_us = statistics.median(costs_us["no records, no lines"])
    for way, found in costs_us.items():
        cost_us = statistics.median(found)
        share = (cost_us - base_us) / base_us
        print(f"{way}: {cost_us:.0f} us a request, {share:+.1%}; {sorted(found)}")


if __name__ == "__main__":
    main()
