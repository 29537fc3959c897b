"""Compare the queue's policy with first in, first out, on one target.

``PYTHONPATH=src python -m tools.measure_queue`` prints, for overload, the calls met
in time as a share of those that fit and the wasted share of the target's time, and
for a burst the attainment of each owner, as medians over the seeds. It runs the
simulation of the tests, whose clock is simulated, so the figures do not depend on
the machine.
"""

import statistics
from typing import Final

from rich.console import Console
from rich.table import Table

from tests.queue_simulation import QueueSimulation, Source, max_calls_that_fit
from trefoilpaddle.state.fair_queue import FairQueue
from trefoilpaddle.state.work_queue import FifoQueue

SPAN_S: Final = 60.0
SEEDS: Final = (1, 2, 3, 4, 5)
LOADS: Final = (0.6, 1.5, 3.0)
DEADLINES_S: Final = (0.4, 1.0)
SCATTERS: Final = (0.15, 0.5)


def main() -> None:
    """Print the tables for overload and for a burst."""
    console = Console(width=100)
    console.print(_overload())
    console.print(_burst())


def _run(sources: list[Source], seed: int, *, is_product: bool) -> QueueSimulation:
    queue = FairQueue() if is_product else FifoQueue()
    simulation = QueueSimulation(queue, refuses_early=is_product, seed=seed)
    return simulation.run(sources, span_s=SPAN_S)


def _overload() -> Table:
    table = Table(title="two owners, mean service time 0.1 s, 4 slots")
    for name in ("load", "deadline, s", "scatter"):
        table.add_column(name)
    for name in ("met of those that fit", "wasted share"):
        table.add_column(f"{name}: first come")
        table.add_column(f"{name}: fair")
    for load in LOADS:
        for deadline_s in DEADLINES_S:
            for scatter in SCATTERS:
                table.add_row(*_overload_row(load, deadline_s, scatter))
    return table


def _overload_row(load: float, deadline_s: float, scatter: float) -> list[str]:
    sources = [
        Source(owner=owner, load=load / 2, deadline_s=deadline_s, scatter=scatter)
        for owner in "ab"
    ]
    met: dict[bool, list[float]] = {False: [], True: []}
    wasted: dict[bool, list[float]] = {False: [], True: []}
    for seed in SEEDS:
        n_fit = max_calls_that_fit(sources, seed=seed, span_s=SPAN_S)
        for is_product in (False, True):
            simulation = _run(sources, seed, is_product=is_product)
            met[is_product].append(simulation.n_met / n_fit)
            wasted[is_product].append(simulation.wasted_share)
    figures = [met[False], met[True], wasted[False], wasted[True]]
    medians = [f"{statistics.median(each):.3f}" for each in figures]
    return [f"{load:g}", f"{deadline_s:g}", f"{scatter:g}", *medians]


def _burst() -> Table:
    table = Table(title="an owner at 0.3 of capacity while another bursts to 3 times")
    table.add_column("attainment of")
    table.add_column("first come")
    table.add_column("fair")
    sources = [
        Source(owner="steady", load=0.3),
        Source(owner="bursting", load=3.0, mean_s=0.3, deadline_s=2.0, from_s=20.0),
    ]
    for owner in ("steady", "bursting"):
        row = [owner]
        for is_product in (False, True):
            shares = [
                _run(sources, seed, is_product=is_product).tallies[owner].attainment
                for seed in SEEDS
            ]
            row.append(f"{statistics.median(shares):.3f}")
        table.add_row(*row)
    return table


if __name__ == "__main__":
    main()
