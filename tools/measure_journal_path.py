"""Print the cost of records and log lines, in processor time per request.

A gateway and a sidecar run as processes with a target that answers at once. Each
variant serves the same number of one-stage requests. The variants alternate, so
that other load on the machine affects all of them equally.
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
N_CONCURRENT: Final = 16
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
VARIANTS: Final = {
    "no records, no lines": (WITHOUT_JOURNAL, ""),
    "records, no lines": (COMMAND, '[log]\nverbosity = "warning"\n'),
    "records and key=value lines": (COMMAND, ""),
    "records and JSON lines": (COMMAND, '[log]\nformat = "json"\n'),
}


def used_s(pair: ProcessPair) -> float:
    """Return the processor time, in seconds, that both processes have used."""
    times = [
        psutil.Process(started.popen.pid).cpu_times()
        for started in (pair.gateway, pair.sidecar)
    ]
    return sum(time.user + time.system for time in times)


async def serve(pair: ProcessPair, n_requests: int) -> None:
    remaining_requests = iter(range(n_requests))

    async def caller() -> None:
        for _ in remaining_requests:
            status = await pair.price()
            if status != 200:
                raise RuntimeError(f"a request got status {status}")

    await asyncio.gather(*(caller() for _ in range(N_CONCURRENT)))


async def measure(program: list[str], more_settings: str) -> float:
    """Return the processor time of one request in microseconds."""
    with tempfile.TemporaryDirectory() as name:
        async with process_pair(
            program, Path(name), more_settings=more_settings
        ) as pair:
            await pair.until_serving()
            await serve(pair, N_REQUESTS // 10)
            begin_s = used_s(pair)
            await serve(pair, N_REQUESTS)
            return (used_s(pair) - begin_s) / N_REQUESTS * 1e6


def main() -> None:
    os.environ["PYTHONPATH"] = str(Path(__file__).resolve().parent.parent / "src")
    costs_us: dict[str, list[float]] = {variant: [] for variant in VARIANTS}
    for _ in range(N_ROUNDS):
        for variant, (program, settings) in VARIANTS.items():
            costs_us[variant].append(asyncio.run(measure(program, settings)))
    base_us = statistics.median(costs_us["no records, no lines"])
    for variant, found in costs_us.items():
        cost_us = statistics.median(found)
        share = (cost_us - base_us) / base_us
        print(f"{variant}: {cost_us:.0f} us a request, {share:+.1%}; {sorted(found)}")


if __name__ == "__main__":
    main()
