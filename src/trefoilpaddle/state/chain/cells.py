"""Cells: groups of stage workers that one scheduler looks after."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from .workers import Worker

REGION_WORKERS: Final = 64
"""Stage workers of a region up to which they are one cell.

In one cell the load of all failure domains is shared out and a lost worker's is
taken over by all; 26 workers in one cell had 3,640 streams of a calm day in time,
in four cells 2,450. A scheduler's processor bounds it: it used 0.3
cores at its most with these 26, so 64 need 0.75, about the whole of an entry host's.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Cell:
    """A group of stage workers.

    Parameters
    ----------
    name : str
        Its region, or its failure domain where the region has many workers.
    failure_domains : frozenset of str
        Where its workers stand.
    """

    name: str
    failure_domains: frozenset[str]


def cells_of(workers: Iterable[Worker], region_of: Mapping[str, str]) -> list[Cell]:
    """Return the cells that stage workers make up.

    Parameters
    ----------
    workers : iterable of Worker
        All stage workers.
    region_of : mapping of str to str
        Region of each failure domain; one that is missing is its own region.
    """
    domains: dict[str, set[str]] = {}
    n_workers: dict[str, int] = {}
    for worker in workers:
        domain = worker.failure_domain
        region = region_of.get(domain, domain)
        domains.setdefault(region, set()).add(domain)
        n_workers[region] = n_workers.get(region, 0) + 1
    cells = []
    for region, in_region in domains.items():
        if n_workers[region] <= REGION_WORKERS:
            cells.append(Cell(name=region, failure_domains=frozenset(in_region)))
            continue
        cells += [
            Cell(name=domain, failure_domains=frozenset({domain}))
            for domain in sorted(in_region)
        ]
    return cells
