"""Cells: groups of stage workers, each called by one scheduler."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from .workers import Worker

MAX_WORKERS_PER_CELL: Final = 64
"""Approximate largest number of stage workers in a cell, for any scheduler capacity.

Within a cell, load is balanced over all failure domains, and all workers take over the
load of a lost worker. Cells are therefore as large as their schedulers can sustain.
"""

WORKERS_PER_CORE: Final = 50
"""Stage workers that a scheduler can call for each core that it may use.

Half of its processor share then remains, in bursts, for the requests of its own
callers.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Cell:
    """A group of stage workers.

    Parameters
    ----------
    name : str
        Region of the cell, followed by an index if the region has several cells.
    failure_domains : frozenset of str
        Failure domains of the workers.
    """

    name: str
    failure_domains: frozenset[str]


def worker_capacity(millicores: int) -> int:
    """Return how many stage workers a scheduler can call.

    Parameters
    ----------
    millicores : int
        Processor limit of the scheduler's process in thousandths of a core; 0 if
        unknown.
    """
    if not millicores:
        return MAX_WORKERS_PER_CELL
    return min(MAX_WORKERS_PER_CELL, max(1, millicores * WORKERS_PER_CORE // 1000))


def cells_of(
    workers: Iterable[Worker],
    region_of: Mapping[str, str],
    capacity_of: Callable[[str], int] = lambda _: MAX_WORKERS_PER_CELL,
) -> list[Cell]:
    """Divide stage workers into cells; the same workers give the same cells.

    A region is divided into as many cells as its schedulers need, each of complete
    failure domains. On weak hosts a single scheduler fell behind while the other
    gateways were idle: requests queued for it, were refused, and were no longer
    served in order of urgency.

    Parameters
    ----------
    workers : iterable of Worker
        All stage workers, including unresponsive ones, so that a short outage does
        not change the division.
    region_of : mapping of str to str
        Region of each failure domain; a domain that is missing is its own region.
    capacity_of : callable
        Returns how many workers a scheduler of a region can call.
    """
    by_region: dict[str, dict[str, Counter[str]]] = {}
    for worker in workers:
        domain = worker.failure_domain
        domains = by_region.setdefault(region_of.get(domain, domain), {})
        domains.setdefault(domain, Counter())[worker.service] += 1
    return [
        Cell(name=f"{region}/{index}" if index else region, failure_domains=part)
        for region, domains in by_region.items()
        for index, part in enumerate(_parts(domains, capacity_of(region)))
    ]


def _parts(
    domains: Mapping[str, Counter[str]], capacity: int
) -> Sequence[frozenset[str]]:
    """Divide the failure domains of a region into one part for each of its cells.

    Each part has workers of every service of the region, because a chain runs within
    one cell: in a cell without one of the services the other workers would be idle.
    """
    n_workers = sum(services.total() for services in domains.values())
    services = set().union(*domains.values())
    ordered = sorted(domains)
    # Rounded, so that adding or removing one worker rarely changes the division.
    n_cells = min(len(ordered), max(1, round(n_workers / capacity)))
    while n_cells > 1:
        parts = [frozenset(ordered[first::n_cells]) for first in range(n_cells)]
        if all(set().union(*(domains[d] for d in part)) == services for part in parts):
            return parts
        n_cells -= 1
    return [frozenset(ordered)]
