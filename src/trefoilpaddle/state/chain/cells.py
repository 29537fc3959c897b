"""Cells: groups of stage workers that one scheduler looks after."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from .workers import Worker

MAX_WORKERS_PER_CELL: Final = 64
"""About as many stage workers are one cell at most, however strong its scheduler is.

In one cell the load of all failure domains is shared out, and a lost worker's is
taken over by all, so cells are as large as their schedulers bear.
"""

WORKERS_PER_CORE: Final = 50
"""Stage workers that a scheduler bears for each core that it may use.

Half of its share is then left in bursts for the requests of its own callers.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Cell:
    """A group of stage workers.

    Parameters
    ----------
    name : str
        Its region, with a number where the region has more than one.
    failure_domains : frozenset of str
        Where its workers stand.
    """

    name: str
    failure_domains: frozenset[str]


def worker_capacity(millicores: int) -> int:
    """Return how many stage workers a scheduler with so much processor bears.

    Parameters
    ----------
    millicores : int
        What its process may use, in thousandths of a core; 0 if untold.
    """
    if not millicores:
        return MAX_WORKERS_PER_CELL
    return min(MAX_WORKERS_PER_CELL, max(1, millicores * WORKERS_PER_CORE // 1000))


def cells_of(
    workers: Iterable[Worker],
    region_of: Mapping[str, str],
    n_borne: Callable[[str], int] = lambda _: MAX_WORKERS_PER_CELL,
) -> list[Cell]:
    """Return the cells that stage workers make up, the same for the same workers.

    A region is cut into as many cells of whole failure domains as its schedulers
    need. Where hosts are weak, one scheduler for all fell behind while the others
    idled: requests waited for it, were refused, and lost their order.

    Parameters
    ----------
    workers : iterable of Worker
        All stage workers; silent ones too, so that a moment's silence cuts nothing
        anew.
    region_of : mapping of str to str
        Region of each failure domain; one that is missing is its own region.
    n_borne : callable
        Returns how many workers a scheduler of a region bears.
    """
    by_region: dict[str, dict[str, Counter[str]]] = {}
    for worker in workers:
        domain = worker.failure_domain
        domains = by_region.setdefault(region_of.get(domain, domain), {})
        domains.setdefault(domain, Counter())[worker.service] += 1
    return [
        Cell(name=f"{region}/{number}" if number else region, failure_domains=part)
        for region, domains in by_region.items()
        for number, part in enumerate(_parts(domains, n_borne(region)))
    ]


def _parts(
    domains: Mapping[str, Counter[str]], n_borne: int
) -> Sequence[frozenset[str]]:
    """Return a region's failure domains, one part for each of its cells.

    Each part has every service of the region: a chain passes one cell, and one
    without some service would let the rest of its workers idle.
    """
    n_workers = sum(services.total() for services in domains.values())
    services = set().union(*domains.values())
    ordered = sorted(domains)
    # To the nearest number: a worker that comes or goes seldom cuts cells anew.
    n_cells = min(len(ordered), max(1, round(n_workers / n_borne)))
    while n_cells > 1:
        parts = [frozenset(ordered[first::n_cells]) for first in range(n_cells)]
        if all(set().union(*(domains[d] for d in part)) == services for part in parts):
            return parts
        n_cells -= 1
    return [frozenset(ordered)]
