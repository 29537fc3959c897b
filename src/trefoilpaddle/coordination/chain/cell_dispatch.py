"""The queues of all services of a cell, and the callers of its stage workers."""

import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from ...state.chain.cell_handover import CellHandover
from ...state.chain.piece_times import MIN_PACE_PER_S
from ...state.chain.piece_work import PieceResult, PieceWork
from ...state.chain.routes import PieceService, RouteTable
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Journal
from .crash_guard import CrashGuard
from .send_limits import SendLimits
from .service_dispatch import ServiceDispatch
from .target_calls import TargetCalls
from .worker_caller import WorkerCaller

CROSS_DOMAIN_WAIT_S: Final = 0.05
"""Seconds that a piece waits for a worker in its preferred failure domain.

Pieces of the same request stay in the same failure domain for up to this long, so
that the calls of preceding and following stages stay in step.
"""

CROSS_DOMAIN_WAIT_S_PER_BYTE: Final = 9e-8
"""Additional seconds for each byte of results that would cross failure domains.

Operators pay for this traffic. A large result of 1.5 MB counts as half a call.
"""


def cross_domain_wait_s(n_bytes: float) -> float:
    """Return the seconds to wait so that results do not cross failure domains.

    Parameters
    ----------
    n_bytes : float
        Size of the results in bytes.
    """
    return CROSS_DOMAIN_WAIT_S + CROSS_DOMAIN_WAIT_S_PER_BYTE * n_bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class UsableCallers:
    """Cached callers of a service's workers, with what they were derived from.

    Parameters
    ----------
    callers : sequence of WorkerCaller
        Callers of the workers of the cell, or of all cells if it has none.
    workers : sequence of Worker
        The usable workers of the service in all cells.
    failure_domains : frozenset of str
        Failure domains of the cell.
    table : RouteTable
        The route table that was active.
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
        """Return True if nothing that the callers were derived from has changed."""
        return (
            self.workers is workers
            and self.table is table
            and self.failure_domains == failure_domains
        )


class CellDispatch:
    """Dispatches pieces to the workers of one cell.

    If the cell has no worker of a service, workers of other cells are used. Their
    own schedulers call them as well, so calls are smaller, but chains continue.

    Parameters
    ----------
    failure_domains : frozenset of str
        Failure domains of the cell's workers.
    calls : TargetCalls
        Client that calls the workers.
    workers : WorkerTable
        The listed workers.
    journal : Journal
        Receives decisions.
    table : RouteTable
        The active route table.
    guard : CrashGuard
        Knows which requests crash workers.
    send_limits : SendLimits
        Limits what is sent to workers that bear few requests.

    Attributes
    ----------
    table : RouteTable
        The active route table, with the published capacity of workers.
    on_freed : callable or None
        Called with a worker and the handles of results that it has freed.
    """

    __slots__ = (
        "_by_service",
        "_callers",
        "_calls",
        "_guard",
        "_is_handed_over",
        "_is_stopped",
        "_journal",
        "_send_limits",
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
        send_limits: SendLimits,
    ) -> None:
        self._guard = guard
        self._send_limits = send_limits
        self.failure_domains = failure_domains
        self._calls = calls
        self._workers = workers
        self._journal = journal
        self._callers: dict[str, WorkerCaller] = {}
        self._by_service: dict[str, ServiceDispatch] = {}
        self._usable: dict[str, UsableCallers] = {}
        self._is_stopped = False
        self._is_handed_over = False
        self.on_freed: Callable[[Worker, list[str]], None] | None = None
        self.table = table
        workers.leave_listeners.append(self._on_leave)
        workers.restart_listeners.append(self._on_exit)

    def close(self) -> None:
        """Unsubscribe from worker changes, as a new scheduler of the cell has begun.

        A gateway takes cells over and hands them over for weeks. An object that
        stayed subscribed would never be released, with its state of all workers.
        """
        self._workers.leave_listeners.remove(self._on_leave)
        self._workers.restart_listeners.remove(self._on_exit)

    def has_worker(self, service: str) -> bool:
        """Return True if a worker of the service may get work."""
        return bool(self._usable_callers(service))

    def is_evacuated(self, service: str) -> bool:
        """Return True if orders to evacuate alone exclude the service's workers."""
        return self._workers.is_evacuated(service)

    def rested_in_s(self, services: Iterable[str]) -> float | None:
        """Return the seconds until each of these services has a worker that has rested.

        None if all workers of none of them rest.
        """
        rests_s = map(self._workers.rested_in_s, services)
        return max((each for each in rests_s if each is not None), default=None)

    def wait_s(
        self,
        service: str,
        n_pieces: int,
        *,
        n_reserved: int,
        queued_in_s: float,
        is_beyond_share: bool = True,
    ) -> float | None:
        """Return the expected seconds from queueing pieces to their completion.

        None if the service has no worker.

        Parameters
        ----------
        service : str
            Service that runs the pieces.
        n_pieces : int
            Number of pieces.
        n_reserved : int
            Pieces that will be queued before them and are not queued yet.
        queued_in_s : float
            Seconds until the pieces are queued; the backlog shrinks until then.
        is_beyond_share : bool
            False if pieces of accounts beyond their shares go after these.
        """
        callers = self._usable_callers(service)
        if not callers:
            return None
        now_s = time.monotonic()
        n_ahead = n_reserved + self._dispatch(service).n_on_time(
            now_s, is_beyond_share=is_beyond_share
        )
        pace_per_s = self.pace_per_s(service)
        ahead_s = max(0.0, n_ahead / max(MIN_PACE_PER_S, pace_per_s) - queued_in_s)
        own_s = min([caller.known.call_s(n_pieces, now_s) for caller in callers])
        # The call that runs when they are queued is half complete on average.
        queue_s = (
            own_s / 2 if queued_in_s else min([c.known.busy_s(now_s) for c in callers])
        )
        held_s = min([caller.held_s() for caller in callers]) - queued_in_s
        return max(ahead_s, queue_s, held_s) + own_s

    def pace_per_s(self, service: str) -> float:
        """Return the pieces per second that the workers of a service complete."""
        return sum([caller.pace_per_s() for caller in self._usable_callers(service)])

    def full_pace_per_s(self, service: str) -> float:
        """Return the pieces per second that the workers complete in full calls."""
        callers = self._usable_callers(service)
        return sum([caller.full_pace_per_s() for caller in callers])

    def call_s(self, service: str, n_pieces: int) -> float:
        """Return the published duration of a call in seconds; 0 if unknown."""
        plan = self.table.services.get(service)
        if not isinstance(plan, PieceService):
            return 0.0
        return plan.call_s + min(n_pieces, plan.batch) * plan.piece_s

    def has_unknown_results(self, service: str) -> bool:
        """Return True while workers of a service keep results unknown here.

        That is so after a result found no memory at a worker.
        """
        now_s = time.monotonic()
        return any(
            caller.known.memory.has_external_results(now_s)
            for caller in self._usable_callers(service)
        )

    def retention_s(self, service: str) -> float:
        """Return the published time for which results are kept; 0 if unknown."""
        plan = self.table.services.get(service)
        return plan.retention_s if isinstance(plan, PieceService) else 0.0

    def submit(self, service: str, works: Sequence[PieceWork]) -> None:
        """Queue pieces for the workers of a service."""
        self._dispatch(service).submit(works)

    def stop(self) -> CellHandover:
        """Send no more calls; return the state of the workers for a handover."""
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
        """Send calls again, as no other gateway has taken the cell over."""
        self._is_stopped = False
        for dispatch in self._by_service.values():
            dispatch.resume()

    def redirect_pieces(self) -> None:
        """Reject queued and further pieces, which another scheduler will run.

        Calls that were sent still complete.
        """
        self._is_handed_over = True
        for dispatch in self._by_service.values():
            dispatch.redirect_pieces()

    def take_over(self, handover: CellHandover) -> None:
        """Continue from the previous scheduler's state of the workers."""
        now_s = time.monotonic()
        for state in handover.workers:
            worker = self._workers.get(state.worker_id)
            if worker is None or worker.born_ms != state.born_ms:
                continue
            caller = self._caller(worker)
            if caller is not None:
                caller.known.take_over(state, now_s)

    def adopt_result(self, made: PieceResult, n_bytes: float) -> None:
        """Count the memory of a result that the previous scheduler had computed.

        Parameters
        ----------
        made : PieceResult
            The result.
        n_bytes : float
            Its expected size in bytes.
        """
        caller = self._caller_of(made)
        if caller is not None:
            caller.known.memory.keep(made.handle, n_bytes, time.monotonic())

    def record_freed(
        self, worker_id: str, born_ms: int, handles: Sequence[str]
    ) -> None:
        """Record that the previous scheduler has freed results of a worker."""
        caller = self._callers.get(worker_id)
        if caller is None or caller.worker.born_ms != born_ms:
            return
        for handle in handles:
            caller.known.memory.free(handle)
        self._dispatch(caller.worker.service).trigger()

    def failure_domain_of(self, worker_id: str) -> str:
        """Return the failure domain of a worker; empty if the worker is unknown."""
        caller = self._callers.get(worker_id)
        return "" if caller is None else caller.worker.failure_domain

    def free(self, made: PieceResult) -> None:
        """Free a result that all following stages have read."""
        caller = self._caller_of(made)
        if caller is not None:
            caller.free(made.handle)

    def _caller_of(self, made: PieceResult) -> WorkerCaller | None:
        """Return the caller of the worker that holds a result.

        None if that process has exited.
        """
        worker = self._workers.get(made.worker_id)
        caller = None if worker is None else self._caller(worker)
        if caller is None or caller.worker.born_ms != made.born_ms:
            return None
        return caller

    def _dispatch(self, service: str) -> ServiceDispatch:
        dispatch = self._by_service.get(service)
        if dispatch is None:
            dispatch = ServiceDispatch(
                callers=lambda: self._usable_callers(service), guard=self._guard
            )
            if self._is_stopped:
                dispatch.stop()
            if self._is_handed_over:
                dispatch.redirect_pieces()
            self._by_service[service] = dispatch
        return dispatch

    def _usable_callers(self, service: str) -> Sequence[WorkerCaller]:
        """Return the callers of a service's usable workers in the cell."""
        workers = self._workers.usable(service)
        cached = self._usable.get(service)
        if cached is None or not cached.is_current(
            workers, self.failure_domains, self.table
        ):
            in_cell = [w for w in workers if w.failure_domain in self.failure_domains]
            callers = (self._caller(worker) for worker in in_cell or workers)
            cached = UsableCallers(
                callers=[caller for caller in callers if caller is not None],
                workers=workers,
                failure_domains=self.failure_domains,
                table=self.table,
            )
            self._usable[service] = cached
        return cached.callers

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
            on_freed=self._report_freed,
            on_return=dispatch.submit,
            guard=self._guard,
            send_limits=self._send_limits,
        )
        self._callers[worker.worker_id] = caller
        return caller

    def _report_freed(self, worker: Worker, handles: list[str]) -> None:
        if self.on_freed is not None:
            self.on_freed(worker, handles)

    def _on_leave(self, worker: Worker) -> None:
        if self._workers.get(worker.worker_id) is None:
            self._callers.pop(worker.worker_id, None)
        dispatch = self._by_service.get(worker.service)
        if dispatch is not None:
            dispatch.trigger()

    def _on_exit(self, worker: Worker) -> None:
        caller = self._callers.get(worker.worker_id)
        if caller is not None:
            caller.mark_exited()
