"""The cells, the same at every gateway that knows the same workers."""

from collections.abc import Hashable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from ...state.chain.cells import Cell, cells_of, worker_capacity
from ...state.chain.routes import PieceService, RouteTable
from ...state.chain.workers import WorkerTable
from .scheduler_links import SchedulerLinks


@dataclass(frozen=True, slots=True, kw_only=True)
class CellPartition:
    """A partition of the stage workers into cells.

    Parameters
    ----------
    key : hashable
        Key of the state that the partition depends on.
    cells : sequence of Cell
        All cells.
    """

    key: Hashable
    cells: Sequence[Cell]


class CellMap:
    """The cells of all stage workers.

    Parameters
    ----------
    workers : WorkerTable
        The listed workers.
    region_of : mapping of str to str
        Region of each failure domain.
    links : SchedulerLinks
        Reports the processor capacity of the gateways that may schedule.
    """

    __slots__ = ("_links", "_partition", "_region_of", "_stage_services", "_workers")

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
        self._partition: CellPartition | None = None

    def activate(self, table: RouteTable) -> None:
        """Treat the services to which `table` assigns pieces as stage services."""
        self._stage_services = frozenset(
            name
            for name, service in table.services.items()
            if isinstance(service, PieceService)
        )

    def all(self, services: Iterable[str] = ()) -> Sequence[Cell]:
        """Return all cells; they are recomputed only when their inputs have changed.

        Workers of all stage services count, not only those of `services`, and
        unresponsive ones count as well. If cells changed with requests or with
        suspected workers, two schedulers would call the same workers for a while,
        each with half of the pieces, and find them busy with the other's calls.

        Parameters
        ----------
        services : iterable of str
            Services of a request, counted in addition to the stage services.
        """
        of_services = self._stage_services.union(services)
        key = (self._workers.version, self._links.version_of_live(), of_services)
        if self._partition is None or self._partition.key != key:
            listed = [w for name in of_services for w in self._workers.listed(name)]
            cells = cells_of(listed, self._region_of, self._worker_capacity)
            self._partition = CellPartition(key=key, cells=cells)
        return self._partition.cells

    def of(self, services: set[str]) -> Sequence[Cell]:
        """Return the cells that have a usable worker of every service.

        All cells if there is none: the scheduler then uses workers of other cells.
        """
        cells = self.all(services)
        of_service = [self._workers.usable(service) for service in services]
        complete = [
            cell
            for cell in cells
            if all(
                any(w.failure_domain in cell.failure_domains for w in workers)
                for workers in of_service
            )
        ]
        return complete or cells

    def _worker_capacity(self, region: str) -> int:
        """Return how many stage workers a region's strongest gateway can schedule."""
        return worker_capacity(self._links.max_millicores(region))
