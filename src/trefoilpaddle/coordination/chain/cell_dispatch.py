"""The queues of all services of a cell, and the callers of its stage workers."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from ...state.chain.cell_handover import CellHandover
from ...state.chain.piece_times import MIN_PACE_PER_S
from ...state.chain.piece_work import PieceResult, PieceWork
from ...state.chain.routes import PieceService, RouteTable
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Journal
from .crash_guard import CrashGuard
from .service_dispatch import ServiceDispatch
from .target_calls import TargetCalls
from .worker_caller import WorkerCaller

CROSS_DOMAIN_WAIT_S: Final = 0.05
"""Wait that is borne to stay near; the calls before and behind stay in step."""

CROSS_DOMAIN_WAIT_S_PER_BYTE: Final = 9e-8
"""The same for each byte of results, which are paid for where they cross.

A large result of 1.5 MB weighs half a call.
"""


def cross_domain_wait_s(n_bytes: float) -> float:
    """Return the wait that is borne so that results of that size do not cross."""
    return CROSS_DOMAIN_WAIT_S + CROSS_DOMAIN_WAIT_S_PER_BYTE * n_bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class UsableCallers:
    """The callers of a service's workers, found once, and from what.

    Parameters
    ----------
    callers : sequence of WorkerCaller
        Those of the cell, or of all cells where it has none.
    workers : sequence of Worker
        The workers that may get work.
    failure_domains : frozenset of str
        The cell's.
    table : RouteTable
        What was in force.
    """

    callers: Sequence[WorkerCaller]
    workers: Sequence[Worker]
    failure_domains: frozenset[str]
    table: RouteTable

    def is_current(
        self,
        workers: Sequence[Worker],
        failure_domains: frozenset[str],
        table: RouteTable,
    ) -> bool:
        """Return True while nothing that they were found from has changed."""
        return (
            self.workers is workers
            and self.table is table
            and self.failure_domains == failure_domains
        )


class CellDispatch:
    """Makes pieces at the workers of one cell.

    Where a service has no worker there, those of other cells are used: their
    own schedulers call them as well, so calls are smaller, but chains go on.

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
    guard : CrashGuard
        Knows which requests crash workers.

    Attributes
    ----------
    table : RouteTable
        What is in force; says what a worker bears.
    on_freed : callable or None
        Called with a worker and results that it has freed.
    """

    __slots__ = (
        "_by_service",
        "_callers",
        "_calls",
        "_guard",
        "_is_moved",
        "_is_stopped",
        "_journal",
        "_usable",
        "_workers",
        "failure_domains",
        "on_freed",
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
        guard: CrashGuard,
    ) -> None:
        self._guard = guard
        self.failure_domains = failure_domains
        self._calls = calls
        self._workers = workers
        self._journal = journal
        self._callers: dict[str, WorkerCaller] = {}
        self._by_service: dict[str, ServiceDispatch] = {}
        self._usable: dict[str, UsableCallers] = {}
        self._is_stopped = False
        self._is_moved = False
        self.on_freed: Callable[[Worker, list[str]], None] | None = None
        self.table = table
        workers.leave_listeners.append(self._on_leave)
        workers.restart_listeners.append(self._on_end)

    def close(self) -> None:
        """Hear of workers no more: another scheduler of the cell has begun here.

        A gateway takes and gives cells for weeks; each that went on listening
        would be kept for good, with all that it knew of its workers.
        """
        self._workers.leave_listeners.remove(self._on_leave)
        self._workers.restart_listeners.remove(self._on_end)

    def has_worker(self, service: str) -> bool:
        """Return True if a worker of the service may get work."""
        return bool(self._callers_of(service))

    def wait_s(
        self, service: str, n_pieces: int, *, n_reserved: int, in_s: float
    ) -> float | None:
        """Return the expected seconds from then until pieces are made.

        None if the service has no worker.

        Parameters
        ----------
        service : str
            What makes them.
        n_pieces : int
            How many.
        n_reserved : int
            Pieces that will come before them and are not queued yet.
        in_s : float
            When they will be queued; what is made until then is off the queue.
        """
        callers = self._callers_of(service)
        if not callers:
            return None
        now_s = time.monotonic()
        n_ahead = n_reserved + self._dispatch(service).n_on_time(now_s)
        pace_per_s = sum([caller.known.times.busy_per_s for caller in callers])
        ahead_s = max(0.0, n_ahead / max(MIN_PACE_PER_S, pace_per_s) - in_s)
        own_s = min([caller.known.call_s(n_pieces, now_s) for caller in callers])
        # The call that runs when they come is half over on the average.
        turn_s = own_s / 2 if in_s else min([c.known.busy_s(now_s) for c in callers])
        return max(ahead_s, turn_s) + own_s

    def call_s(self, service: str, n_pieces: int) -> float:
        """Return the published seconds of a call of pieces; 0 if unknown."""
        plan = self.table.services.get(service)
        if not isinstance(plan, PieceService):
            return 0.0
        return plan.call_s + min(n_pieces, plan.batch) * plan.piece_s

    def submit(self, service: str, works: Sequence[PieceWork]) -> None:
        """Have pieces made."""
        self._dispatch(service).submit(works)

    def stop(self) -> CellHandover:
        """Send no more calls; return what is known of the workers."""
        for dispatch in self._by_service.values():
            dispatch.stop()
        self._is_stopped = True
        now_s = time.monotonic()
        return CellHandover(
            workers=tuple(
                caller.known.hand_over(now_s) for caller in self._callers.values()
            )
        )

    def resume(self) -> None:
        """Send calls again: nobody has taken over."""
        self._is_stopped = False
        for dispatch in self._by_service.values():
            dispatch.resume()

    def redirect_pieces(self) -> None:
        """Give up all pieces that wait or come; calls that were sent still end."""
        self._is_moved = True
        for dispatch in self._by_service.values():
            dispatch.redirect_pieces()

    def take_over(self, handover: CellHandover) -> None:
        """Go on from what the scheduler before knew of the workers."""
        now_s = time.monotonic()
        for taken in handover.workers:
            worker = self._workers.get(taken.worker_id)
            if worker is None or worker.born_ms != taken.born_ms:
                continue
            caller = self._caller(worker)
            if caller is not None:
                caller.known.take_over(taken, now_s)

    def adopt_result(self, made: PieceResult, n_bytes: float) -> None:
        """Count a result of a chain that came from the scheduler before."""
        caller = self._caller_of(made)
        if caller is not None:
            caller.known.memory.keep(made.handle, n_bytes, time.monotonic())

    def record_freed(
        self, worker_id: str, born_ms: int, handles: Sequence[str]
    ) -> None:
        """Count results as gone that the scheduler before has freed."""
        caller = self._callers.get(worker_id)
        if caller is None or caller.worker.born_ms != born_ms:
            return
        for handle in handles:
            caller.known.memory.free(handle)
        self._dispatch(caller.worker.service).trigger()

    def failure_domain_of(self, worker_id: str) -> str:
        """Return where a worker of this cell stands; empty if it is gone."""
        caller = self._callers.get(worker_id)
        return "" if caller is None else caller.worker.failure_domain

    def free(self, made: PieceResult) -> None:
        """Free a result that all who need it have read."""
        caller = self._caller_of(made)
        if caller is not None:
            caller.free(made.handle)

    def _caller_of(self, made: PieceResult) -> WorkerCaller | None:
        """Return the caller of a result's maker; None if its start has ended."""
        worker = self._workers.get(made.worker_id)
        caller = None if worker is None else self._caller(worker)
        if caller is None or caller.worker.born_ms != made.born_ms:
            return None
        return caller

    def _dispatch(self, service: str) -> ServiceDispatch:
        dispatch = self._by_service.get(service)
        if dispatch is None:
            dispatch = ServiceDispatch(
                callers=lambda: self._callers_of(service), guard=self._guard
            )
            if self._is_stopped:
                dispatch.stop()
            if self._is_moved:
                dispatch.redirect_pieces()
            self._by_service[service] = dispatch
        return dispatch

    def _callers_of(self, service: str) -> Sequence[WorkerCaller]:
        """Return the callers of the workers of a service that may get work."""
        workers = self._workers.usable(service)
        known = self._usable.get(service)
        if known is None or not known.is_current(
            workers, self.failure_domains, self.table
        ):
            near = [w for w in workers if w.failure_domain in self.failure_domains]
            callers = (self._caller(worker) for worker in near or workers)
            known = UsableCallers(
                callers=[caller for caller in callers if caller is not None],
                workers=workers,
                failure_domains=self.failure_domains,
                table=self.table,
            )
            self._usable[service] = known
        return known.callers

    def _caller(self, worker: Worker) -> WorkerCaller | None:
        caller = self._callers.get(worker.worker_id)
        if caller is not None:
            return caller
        service = self.table.services.get(worker.service)
        if not isinstance(service, PieceService):
            return None
        dispatch = self._dispatch(worker.service)
        caller = WorkerCaller(
            worker=worker,
            service=service,
            calls=self._calls,
            workers=self._workers,
            journal=self._journal,
            on_free=dispatch.trigger,
            on_freed=self._note_own_freed,
            on_return=dispatch.submit,
            guard=self._guard,
        )
        self._callers[worker.worker_id] = caller
        return caller

    def _note_own_freed(self, worker: Worker, handles: list[str]) -> None:
        if self.on_freed is not None:
            self.on_freed(worker, handles)

    def _on_leave(self, worker: Worker) -> None:
        if self._workers.get(worker.worker_id) is None:
            self._callers.pop(worker.worker_id, None)
        dispatch = self._by_service.get(worker.service)
        if dispatch is not None:
            dispatch.trigger()

    def _on_end(self, worker: Worker) -> None:
        caller = self._callers.get(worker.worker_id)
        if caller is not None:
            caller.mark_exited()
