"""Writes the traces of deployments: ``python -m trefoilpaddle.replay.make``."""

import sys
from pathlib import Path
from typing import Final

import fire

from ..standins.description import EXAMPLES
from .generate import Site, generate
from .scenarios import SCENARIOS
from .site import WorkModel, load_deployment, target_capacities
from .trace import write_trace
from .workloads import WORKLOADS

TIME_SCALES: Final = {"garantia": 0.5, "baird": 0.8}
"""One machine can sustain the rate at these scales; smaller ones raise the rate."""


def site_of(deployment: str, *, time_scale: float, folder: Path) -> Site:
    """Return the site that traces of a deployment are generated for.

    Raises
    ------
    KeyError
        If no workload has that name.
    ValueError
        If the deployment's catalogue is invalid.
    """
    described = load_deployment(folder)
    return Site(
        workload=WORKLOADS[deployment],
        targets=tuple(target_capacities(described.description)),
        work_of=WorkModel(deployment=described, time_scale=time_scale),
        time_scale=time_scale,
    )


def make(
    folder: str = "traces",
    *,
    deployments: tuple[str, ...] = ("garantia", "baird"),
    seed: int = 1,
) -> None:
    """Write every scenario of the deployments to ``FOLDER/DEPLOYMENT-SCENARIO.jsonl``.

    Parameters
    ----------
    folder : str
        Folder to write to.
    deployments : tuple of str
        Names of the deployments; each is read from ``examples/``.
    seed : int
        Seed of the generator.
    """
    Path(folder).mkdir(parents=True, exist_ok=True)
    for name in deployments:
        site = site_of(name, time_scale=TIME_SCALES[name], folder=EXAMPLES / name)
        for scenario in SCENARIOS:
            trace = generate(site, scenario=scenario, seed=seed)
            path = Path(folder) / f"{name}-{scenario}.jsonl"
            write_trace(trace, path)
            n_requests = len(trace.requests)
            print(f"{path}: {n_requests} requests, {trace.head.origin}")


if __name__ == "__main__":
    sys.exit(fire.Fire(make))
