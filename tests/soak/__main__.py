"""Run soaks by hand: ``python -m tests.soak --seeds 50 --jobs 4 [--first N]``."""

import asyncio
import secrets
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import fire

from .soak_checks import broken
from .soak_run import run_soak

LENGTH_S = 20.0
KEEP = Path(tempfile.gettempdir()) / "trefoilpaddle-soak"
"""Takes the logs of the seeds that failed."""


def one(seed: int, length_s: float = LENGTH_S, stops: bool = False) -> int:
    """Run one seed, of all faults or of planned stops; print what was broken."""
    folder = KEEP / f"{'stops-' if stops else ''}{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    record, callers = asyncio.run(
        run_soak(seed, folder, length_s=length_s, is_stops=stops)
    )
    lines = broken(record, callers)
    print(f"seed {seed}: {len(callers.seen)} requests, {len(record.marks)} faults")
    start_s = min(seen.sent_s for seen in callers.seen)
    if lines:
        for mark in sorted(record.marks, key=lambda mark: mark.began_s):
            began_s, ended_s = mark.began_s - start_s, mark.ended_s - start_s
            print(f"  {began_s:6.2f} to {ended_s:6.2f} s {mark.action}")
        for stall in record.stalls:
            began_s, ended_s = stall.began_s - start_s, stall.ended_s - start_s
            print(f"  {began_s:6.2f} to {ended_s:6.2f} s the soak itself stood still")
    for line in lines:
        print(f"  BROKEN {line}")
    return len(lines)


def many(
    seeds: int = 50, jobs: int = 3, first: int | None = None, stops: bool = False
) -> int:
    """Run seeds, fresh ones unless `first` is given; return how many failed."""
    start = secrets.randbelow(10**9) if first is None else first

    def run(seed: int) -> int:
        command = [sys.executable, "-m", "tests.soak", "one", str(seed)]
        command += [f"--stops={stops}"]
        ended = subprocess.run(command, capture_output=True, text=True, check=False)
        if ended.returncode:
            print(f"seed {seed} ended with {ended.returncode}")
        print(ended.stdout, ended.stderr[-2000:], sep="", end="", flush=True)
        return int(ended.returncode != 0 or "BROKEN" in ended.stdout)

    with ThreadPoolExecutor(max_workers=jobs) as pool:
        n_failed = sum(pool.map(run, range(start, start + seeds)))
    print(f"{n_failed} of {seeds} seeds failed")
    return n_failed


if __name__ == "__main__":
    fire.Fire({"one": one, "many": many})
