"""Which cells there are, the same at every gateway that knows the same workers."""

from collections.abc import Hashable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from ...state.chain.cells import Cell, cells_of, worker_capacity
from ...state.chain.routes import PieceService, RouteTable
from ...state.chain.workers import WorkerTable
from .scheduler_links import SchedulerLinks


@dataclass(frozen=True, slots=True, kw_only=True)
class CellPartition:
    """The cells, and what they were cut by.

    Parameters
    ----------
    seen : hashable
        Differs whenever the cells may.
    cells : sequence of Cell
        All of them.
    """

    seen: Hashable
    cells: Sequence[Cell]


class CellMap:
    """The cells of all stage workers.

    Parameters
    ----------
    workers : WorkerTable
        Says where there are stage workers.
    region_of : mapping of str to str
        Region of each failure domain.
    links : SchedulerLinks
        Says how strong the gateways are that may schedule.
    """

    __slots__ = ("_cut", "_links", "_region_of", "_stage_services", "_workers")

    def __init__(
        self,
        *,
        workers: WorkerTable,
        region_of: Mapping[str, str],
        links: SchedulerLinks,
    ) -> None:
        self._workers = workers
        self._region_of = region_of
        self._links = links
        self._stage_services: frozenset[str] = frozenset()
        self._cut: CellPartition | None = None

    def activate(self, table: RouteTable) -> None:
        """Take for stage workers those that `table` has make pieces."""
        self._stage_services = frozenset(
            name
            for name, service in table.services.items()
            if isinstance(service, PieceService)
        )

    def all(self, services: Iterable[str] = ()) -> Sequence[Cell]:
        """Return all cells, cut anew only when what they are cut by has changed.

        Workers of all stages count, whichever `services` a request passes, and those
        that are silent. If cells came and went with requests or with suspicions, two
        schedulers would call the same workers meanwhile, each with half of the
        pieces, and find them full of the other's calls.
        """
        of_services = self._stage_services.union(services)
        seen = (self._workers.version, self._links.version_of_live(), of_services)
        if self._cut is None or self._cut.seen != seen:
            listed = [w for name in of_services for w in self._workers.listed(name)]
            cells = cells_of(listed, self._region_of, self._n_borne)
            self._cut = CellPartition(seen=seen, cells=cells)
        return self._cut.cells

    def of(self, services: set[str]) -> Sequence[Cell]:
        """Return the cells with a worker of every service.

        Where none has all, every one will do: its scheduler then uses workers of
        other cells.
        """
        cells = self.all(services)
        of_service = [self._workers.usable(service) for service in services]
        whole = [
            cell
            for cell in cells
            if all(
                any(w.failure_domain in cell.failure_domains for w in workers)
                for workers in of_service
            )
        ]
        return whole or cells

    def _n_borne(self, region: str) -> int:
        """Return how many stage workers the strongest gateway of a region bears."""
        return worker_capacity(self._links.most_millicores(region))
