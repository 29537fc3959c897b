"""Simulate restores of the store: ``python -m tests.published --seeds 200``."""

import fire
import pytest

from ..chain.virtual_time import run_virtual
from .recovery_runs import RecoveryRun
from .test_recovery_runs import LENGTH_S


def play(*, seeds: int = 200, gateways: int = 4, first: int = 0) -> None:
    """Run the simulation with several seeds and print what was not known in time.

    Parameters
    ----------
    seeds : int
        Number of seeds.
    gateways : int
        Number of gateways, all in one group.
    first : int
        First seed.
    """
    n_failed = n_restores = 0
    for seed in range(first, first + seeds):
        with pytest.MonkeyPatch.context() as patch:
            run = RecoveryRun(seed, n_gateways=gateways, length_s=LENGTH_S)
            problems = run_virtual(patch, run.run())
        n_restores += run.n_restores
        n_failed += bool(problems)
        for problem in problems[:3]:
            print(f"seed {seed}: {problem}", flush=True)
    print(f"{seeds} seeds, {n_failed} failed, {n_restores} restores")


if __name__ == "__main__":
    fire.Fire(play)
