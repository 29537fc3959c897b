"""Where each worker's home is, and the choice of a worker for pieces."""

from collections.abc import Callable, Sequence
from typing import Final

from absl import logging
from result import Err, Ok

from ...state.chain.piece_work import PieceFault, PieceWork
from ...state.chain.routes import PieceService, RouteTable
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Journal
from ...state.members import MemberRecord
from ...state.rendezvous import highest
from ...transport.connection import Address
from ...transport.peers import Peers
from .piece_home import PieceHome
from .remote_home import RemoteHome
from .target_calls import TargetCalls

FAR_S: Final = 0.15
"""Wait that is borne to stay in one's own failure domain.

Results that cross failure domains are paid for and read more slowly; about half
a call of waiting weighs the same.
"""


Home = PieceHome | RemoteHome


class PieceHomes:
    """Makes pieces at the worker that will be done first, through its home.

    Each worker has one home among the live gateways of its failure domain,
    chosen by rendezvous, so all agree without asking one another. While two
    gateways see different members, a worker may have two homes; its calls are
    smaller then, and nothing else goes wrong, as a piece may be made twice.

    Parameters
    ----------
    own_id : str
        This gateway's process id.
    failure_domain : str
        Where this gateway stands.
    live : callable
        Returns the live gateways, this one included.
    peers : Peers
        Links to the others.
    calls : TargetCalls
        Speaks to the workers.
    workers : WorkerTable
        Who may get work.
    journal : Journal
        Takes decisions.
    """

    __slots__ = (
        "_calls",
        "_failure_domain",
        "_homes",
        "_journal",
        "_live",
        "_own_id",
        "_peers",
        "_remote",
        "_workers",
        "table",
    )

    def __init__(
        self,
        *,
        own_id: str,
        failure_domain: str,
        live: Callable[[], list[MemberRecord]],
        peers: Peers,
        calls: TargetCalls,
        workers: WorkerTable,
        journal: Journal,
    ) -> None:
        self._own_id = own_id
        self._failure_domain = failure_domain
        self._live = live
        self._peers = peers
        self._calls = calls
        self._workers = workers
        self._journal = journal
        self._homes: dict[str, PieceHome] = {}
        self._remote: dict[str, tuple[Address, RemoteHome]] = {}
        self.table = RouteTable()
        workers.leave_listeners.append(self._on_leave)

    def choose(
        self, service: str, n_pieces: int, *, without: frozenset[str] = frozenset()
    ) -> Worker | None:
        """Return the worker that would have the pieces soonest, or None."""
        workers = self._workers.usable(service, without=without)
        if not workers:
            return None
        return min(workers, key=lambda worker: self._cost_s(worker, n_pieces))

    def wait_s(self, service: str, n_pieces: int) -> float | None:
        """Return the expected seconds until pieces are made; None if nowhere."""
        worker = self.choose(service, n_pieces)
        if worker is None:
            return None
        home = self._home(worker)
        return None if home is None else home.wait_s(n_pieces)

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

    def free(self, worker_id: str, handle: str) -> None:
        """Free a result that all who need it have read."""
        worker = self._workers.get(worker_id)
        home = None if worker is None else self._home(worker)
        if home is not None:
            home.free(handle)

    def submit_here(self, worker_id: str, works: Sequence[PieceWork]) -> None:
        """Have pieces made at a worker, with this gateway as its home."""
        worker = self._workers.get(worker_id)
        home = None if worker is None else self._own_home(worker)
        if home is None:
            for work in works:
                work.settle(PieceFault.NO_WORKER)
            return
        home.submit(works)

    def wait_here_s(self, worker_id: str, n_pieces: int) -> float:
        """Return the expected wait at a worker's home here; 0 if there is none."""
        home = self._homes.get(worker_id)
        return 0.0 if home is None else home.wait_s(n_pieces)

    def free_here(self, worker_id: str, handle: str) -> None:
        """Free a result at a worker, with this gateway as its home."""
        home = self._homes.get(worker_id)
        if home is not None:
            home.free(handle)

    def _cost_s(self, worker: Worker, n_pieces: int) -> float:
        home = self._home(worker)
        wait_s = 0.0 if home is None else home.wait_s(n_pieces)
        is_far = worker.failure_domain != self._failure_domain
        return wait_s + (FAR_S if is_far else 0.0)

    def _home(self, worker: Worker) -> Home | None:
        address = self._home_address(worker)
        if address is None:
            return self._own_home(worker)
        known = self._remote.get(worker.worker_id)
        if known is not None and known[0] == address:
            return known[1]
        service = self.table.services.get(worker.service)
        if not isinstance(service, PieceService):
            return None
        home = RemoteHome(
            worker_id=worker.worker_id,
            service=service,
            link=self._peers.link(address),
        )
        self._remote[worker.worker_id] = (address, home)
        return home

    def _home_address(self, worker: Worker) -> Address | None:
        """Return where the worker's home is, or None if it is this gateway.

        A home that is silent is passed over at once: waiting until the members
        have agreed on its end would hold up every request that needs it.
        """
        near = [
            member
            for member in self._live()
            if member.failure_domain == worker.failure_domain
        ]
        members = {member.process_id: member for member in near or self._live()}
        for process_id in highest(worker.worker_id, members, n=len(members)):
            if process_id == self._own_id:
                return None
            match Address.parse(members[process_id].address):
                case Ok(address):
                    if self._peers.link(address).is_heard():
                        return address
                case Err(problem):
                    logging.warning("address of %s: %s", process_id, problem)
        return None

    def _own_home(self, worker: Worker) -> PieceHome | None:
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
        self._remote.pop(worker.worker_id, None)
        home = self._homes.get(worker.worker_id)
        if home is None:
            return
        home.close()
        if self._workers.get(worker.worker_id) is None:
            del self._homes[worker.worker_id]
