"""The queues of all stage workers that one keeper looks after."""

from collections.abc import Sequence
from typing import Final

from ...state.chain.piece_work import PieceFault, PieceWork
from ...state.chain.routes import PieceService, RouteTable
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Journal
from .piece_home import PieceHome
from .target_calls import TargetCalls

FAR_S: Final = 0.05
"""Wait that is borne to stay near; the calls before and behind stay in step."""

FAR_S_PER_BYTE: Final = 9e-8
"""The same for each byte of results, which are paid for where they cross.

A large result of 1.5 MB weighs half a call.
"""


FRESH_CALL_S: Final = 0.2
"""Wait that is borne to share a call that forms instead of beginning another.

A call of its own takes its fixed time, 200 ms as published, from all who come
later. Without this the stages that one call sets off are spread over all the
workers that are free soonest: all make small calls, and each next stage waits
for two thirds of a call. In the model of a busy day calls of the last stage
carry a fifth more, and 0.90 of the worth is in time instead of 0.84.
"""


class PieceHomes:
    """Makes pieces at the workers of one cell.

    Where a service has no worker there, those of other cells are used: their
    own keepers call them as well, so calls are smaller, but chains go on.

    Parameters
    ----------
    failure_domains : frozenset of str
        Where the cell's workers stand.
    calls : TargetCalls
        Speaks to the workers.
    workers : WorkerTable
        Who may get work.
    journal : Journal
        Takes decisions.

    Attributes
    ----------
    table : RouteTable
        What is in force; says what a worker bears.
    """

    __slots__ = (
        "_calls",
        "_homes",
        "_journal",
        "_workers",
        "failure_domains",
        "table",
    )

    def __init__(
        self,
        *,
        failure_domains: frozenset[str],
        calls: TargetCalls,
        workers: WorkerTable,
        journal: Journal,
        table: RouteTable,
    ) -> None:
        self.failure_domains = failure_domains
        self._calls = calls
        self._workers = workers
        self._journal = journal
        self._homes: dict[str, PieceHome] = {}
        self.table = table
        workers.leave_listeners.append(self._on_leave)

    def choose(
        self,
        service: str,
        n_pieces: int,
        *,
        near: str = "",
        n_bytes: float = 0.0,
        without: frozenset[str] = frozenset(),
    ) -> Worker | None:
        """Return the worker that would have the pieces soonest, or None.

        Parameters
        ----------
        service : str
            What makes them.
        n_pieces : int
            How many.
        near : str
            Failure domain that goes first where the waits are alike.
        n_bytes : float
            Size of the results, which cross if they are made elsewhere.
        without : frozenset of str
            Workers that are passed over.
        """
        homes = self._usable(service, without)
        if not homes:
            return None

        far_s = FAR_S + FAR_S_PER_BYTE * n_bytes

        def cost_s(home: PieceHome) -> float:
            is_far = home.worker.failure_domain != near
            fresh_s = 0.0 if len(home.queue) else FRESH_CALL_S
            return home.wait_s(n_pieces) + fresh_s + (far_s if is_far else 0.0)

        return min(homes, key=cost_s).worker

    def wait_s(
        self, service: str, n_pieces: int, *, n_promised: int, in_s: float
    ) -> float | None:
        """Return the expected seconds from then until pieces are made.

        None if the service has no worker.

        Parameters
        ----------
        service : str
            What makes them.
        n_pieces : int
            How many.
        n_promised : int
            Pieces that will come before them and are not queued yet.
        in_s : float
            When they will be queued; what is made until then is off the queue.
        """
        homes = self._usable(service, frozenset())
        if not homes:
            return None
        n_ahead = n_promised + sum(home.n_on_time() for home in homes)
        pace_per_s = sum(home.queue.times.busy_per_s for home in homes)
        ahead_s = max(0.0, n_ahead / pace_per_s - in_s)
        own_s = min(home.queue.times.call_s(n_pieces) for home in homes)
        # The call that runs when they come is half over on the average.
        turn_s = own_s / 2 if in_s else min(home.busy_s() for home in homes)
        return max(ahead_s, turn_s) + own_s

    def call_s(self, service: str, n_pieces: int) -> float:
        """Return the published seconds of a call of pieces; 0 if unknown."""
        plan = self.table.services.get(service)
        if not isinstance(plan, PieceService):
            return 0.0
        return plan.call_s + min(n_pieces, plan.batch) * plan.piece_s

    def submit(self, worker: Worker, works: Sequence[PieceWork]) -> None:
        """Have pieces made at a worker."""
        home = self._home(worker)
        if home is None:
            for work in works:
                work.settle(PieceFault.NO_WORKER)
            return
        home.submit(works)

    def failure_domain_of(self, worker_id: str) -> str:
        """Return where a worker of this cell stands; empty if it is gone."""
        home = self._homes.get(worker_id)
        return "" if home is None else home.worker.failure_domain

    def free(self, worker_id: str, handle: str) -> None:
        """Free a result that all who need it have read."""
        home = self._homes.get(worker_id)
        if home is not None:
            home.free(handle)

    def _usable(self, service: str, without: frozenset[str]) -> list[PieceHome]:
        workers = self._workers.usable(service, without=without)
        near = [w for w in workers if w.failure_domain in self.failure_domains]
        homes = (self._home(worker) for worker in near or workers)
        return [home for home in homes if home is not None]

    def _home(self, worker: Worker) -> PieceHome | None:
        home = self._homes.get(worker.worker_id)
        if home is not None:
            return home
        service = self.table.services.get(worker.service)
        if not isinstance(service, PieceService):
            return None
        home = PieceHome(
            worker=worker,
            service=service,
            calls=self._calls,
            workers=self._workers,
            journal=self._journal,
        )
        self._homes[worker.worker_id] = home
        return home

    def _on_leave(self, worker: Worker) -> None:
        home = self._homes.get(worker.worker_id)
        if home is None:
            return
        home.close()
        if self._workers.get(worker.worker_id) is None:
            del self._homes[worker.worker_id]
