"""Play the model of a cell: ``python -m tests.chain play --load tight --seeds 8``.

``--without NAME`` takes one mechanism out and prints the difference, in pairs of a
seed. ``python -m tests.chain cost`` measures what a scheduler costs a chain by the
size of its cell. ``python -m tests.chain store`` prints what a change of the
configuration costs gateways that read and hear of the store, ``crash`` what the end of
a worker costs them.
"""

import logging
import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Final

import fire
import pytest

from trefoilpaddle.coordination.chain import (
    cell_dispatch,
    overdue_queue,
    worker_caller,
)
from trefoilpaddle.replay.fleet_measure import numbers_of
from trefoilpaddle.state.chain import known_worker
from trefoilpaddle.state.chain.tolerable_waits import TolerableWaits

from ..published.store_costs import print_costs
from .cell_loads import BUSY_DAY, TIGHT_DAY, UNEVEN_DAY, Load
from .cell_model import Model, Outcome
from .crash_costs import print_crash_costs
from .virtual_time import run_virtual

LOADS: Final = {"busy": BUSY_DAY, "tight": TIGHT_DAY, "uneven": UNEVEN_DAY}
FOR_EVER_S: Final = 1e9


def _without_distance(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(cell_dispatch, "CROSS_DOMAIN_WAIT_S", 0.0)
    patch.setattr(cell_dispatch, "CROSS_DOMAIN_WAIT_S_PER_BYTE", 0.0)


SWITCHES: Final[dict[str, Callable[[pytest.MonkeyPatch], None]]] = {
    "early_free": lambda patch: patch.setattr(
        worker_caller, "INPUT_FETCH_S", FOR_EVER_S
    ),
    "overdue_queue": lambda patch: patch.setattr(overdue_queue, "MAX_WAITING", 0),
    "near_workers": _without_distance,
    "urgent_shares": lambda patch: patch.setattr(
        TolerableWaits, "min_of_more_urgent_s", lambda *_: float("inf")
    ),
    "small_first_call": lambda patch: patch.setattr(
        known_worker, "FIRST_CALL_SHARE", 1.0
    ),
}


def worth_in_time(outcome: Outcome, load: Load) -> float:
    """Return the share of what was asked, by its worth, that was in time."""
    owed = sum(kind.worth * outcome.asked[kind.name] for kind in load.kinds)
    got = sum(kind.worth * outcome.in_time[kind.name] for kind in load.kinds)
    return got / owed


def play(load: Load, seed: int, without: str = "") -> Outcome:
    """Return how one seed went."""

    async def run() -> Outcome:
        return await Model(load, seed=seed).run()

    with pytest.MonkeyPatch.context() as patch:
        if without:
            SWITCHES[without](patch)
        return run_virtual(patch, run())


def print_plays(load: str = "tight", seeds: int = 5, without: str = "") -> None:
    """Print how each seed went, and the means."""
    logging.disable(logging.CRITICAL)
    chosen = LOADS[load]
    worths, gains = [], []
    for seed in range(1, seeds + 1):
        outcome = play(chosen, seed)
        worths.append(worth_in_time(outcome, chosen))
        calls = " ".join(
            f"{service.name} {outcome.mean_pieces(service.name):.1f}"
            for service in chosen.services
        )
        line = f"seed {seed}: {worths[-1]:.3f} in time, pieces a call: {calls}"
        if without:
            other = worth_in_time(play(chosen, seed, without), chosen)
            gains.append(worths[-1] - other)
            line += f"; {other:.3f} without {without}"
        print(line, flush=True)
    print(f"mean {statistics.mean(worths):.4f}")
    if len(gains) > 1:
        error = statistics.stdev(gains) / len(gains) ** 0.5
        print(f"{without}: {statistics.mean(gains):+.4f}, error {error:.4f}")


def grown(load: Load, n_per_service: int) -> Load:
    """Return a load without bursts for cells of so many workers of each service.

    As many requests come for each worker of the first service as before.
    """
    ratio = n_per_service / load.n_workers[load.services[0].name]
    return replace(
        load,
        kinds=tuple(replace(kind, per_s=kind.per_s * ratio) for kind in load.kinds),
        n_workers=dict.fromkeys(load.n_workers, n_per_service),
        bursts=(),
    )


def print_cost(
    per_service: str | int | Sequence[int] = (1, 8, 21, 32, 61, 100),
    length_s: float = 4.0,
) -> None:
    """Print the processor time of a chain, the model's own part included.

    The slope is what each worker more than in the row before adds to it.

    Parameters
    ----------
    per_service : comma-separated int
        Workers of each of the three services; callers grow with them.
    length_s : float
        How long callers come.
    """
    logging.disable(logging.CRITICAL)
    print("stage workers  chains  chains/s  ms a chain  slope, ms a worker")
    before: tuple[int, float] | None = None
    for n_per_service in numbers_of(per_service):
        load = replace(grown(TIGHT_DAY, n_per_service), length_s=length_s)
        n_workers = sum(load.n_workers.values())
        began_s = time.process_time()
        n_chains = play(load, seed=1).asked.total()
        chain_ms = 1000 * (time.process_time() - began_s) / n_chains
        line = f"{n_workers:13} {n_chains:7} {n_chains / length_s:9.0f}"
        line += f" {chain_ms:11.2f}"
        if before is not None:
            slope_ms = (chain_ms - before[1]) / (n_workers - before[0])
            line += f" {slope_ms:19.3f}"
        print(line, flush=True)
        before = (n_workers, chain_ms)


if __name__ == "__main__":
    fire.Fire(
        {
            "play": print_plays,
            "cost": print_cost,
            "store": print_costs,
            "crash": print_crash_costs,
        }
    )
