"""The cells that this gateway schedules, for itself and for other gateways."""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Final

from result import Ok

from ...protocol.frames import Message
from ...protocol.gen.chain.ttypes import (
    CellTaken,
    ChainAnswer,
    FreeChain,
    ResultsFreed,
    RunChain,
    TakeCell,
)
from ...protocol.gen.stage.ttypes import Hello
from ...protocol.reasons import Reason
from ...state.chain.cells import Cell
from ...state.chain.chain_work import ChainFailed, ChainMoved, ChainOutcome, ChainWork
from ...state.chain.routes import RouteTable
from ...state.chain.workers import Worker
from ...state.journal import Decision, Event, Figure, Journal
from ...transport.connection import Connection
from ...transport.link import Link
from ..own_process import OwnProcess
from .chain_scheduler import ChainScheduler
from .chain_wire import (
    cell_from_wire,
    handover_from_wire,
    handover_to_wire,
    outcome_to_wire,
    work_from_wire,
)

CHAIN_RESPONSE_TIMEOUT_S: Final = 60.0
"""Upper limit in seconds for answering a chain; its own deadline is earlier.

Three times the longest deadline that callers are known to set.
"""

MIN_TENURE_S: Final = 1.0
"""Seconds after a takeover in which a cell is not handed to a higher-ranked gateway.

The previous gateway may still be listed as live for a moment and would rank higher
than this one. The cell, and every chain with it, moved back and forth.
"""

TAKEOVER_TIMEOUT_S: Final = 0.3
"""Longest wait in seconds for a gateway to take a cell over; no calls are sent then.

About the duration of a call, which keeps the workers busy meanwhile. A message
takes a hundredth of it.
"""

NO_SUCCESSOR: Final = "nobody"
"""Placeholder where there is no successor; no process has this name."""

MakeScheduler = Callable[[frozenset[str]], ChainScheduler]


class CellSchedulers:
    """The schedulers of the cells that this gateway schedules.

    A scheduler is created when the first chain of its cell arrives. Another gateway
    that sends a chain here regards this one as the cell's scheduler, and the chain is
    served even if this gateway does not: after a change of members the two agree
    within moments. A worker that is called by two schedulers meanwhile is queried for
    its state before it is called again.

    Parameters
    ----------
    process : OwnProcess
        Receives requests and messages of peers.
    make : callable
        Returns a new scheduler for the stage workers in the given failure domains.
    """

    __slots__ = (
        "_by_cell",
        "_cells",
        "_has_abandoned",
        "_is_stopping",
        "_journal",
        "_make",
        "_running",
    )

    def __init__(self, *, process: OwnProcess, make: MakeScheduler) -> None:
        self._make = make
        self._is_stopping = process.stopping.is_set
        self._has_abandoned = False
        self._journal: Journal = process.journal
        self._by_cell: dict[str, ChainScheduler] = {}
        self._cells: dict[str, Cell] = {}
        self._running: dict[str, asyncio.Task[ChainOutcome]] = {}
        process.server.add_handler(
            RunChain, self._run_for_peer, timeout_s=CHAIN_RESPONSE_TIMEOUT_S
        )
        process.server.add_handler(TakeCell, self._take_over)
        process.message_listeners.append(self._on_message)

    def activate(self, table: RouteTable) -> None:
        """Use `table` for all schedulers from now on."""
        for scheduler in self._by_cell.values():
            scheduler.dispatch.table = table

    def of(self, cell: Cell) -> ChainScheduler:
        """Return the scheduler of a cell's stages."""
        scheduler = self._by_cell.get(cell.name)
        # A gateway that stops does not schedule a cell again that it has handed over:
        # chains would be lost with it, and two schedulers would call the workers.
        may_begin_again = not self._is_stopping()
        if scheduler is None or (scheduler.is_superseded() and may_begin_again):
            scheduler = self._begin(cell, "from its first chain")
        scheduler.dispatch.failure_domains = cell.failure_domains
        self._cells[cell.name] = cell
        return scheduler

    def active(self, *, for_s: float = 0.0) -> list[Cell]:
        """Return the cells that this gateway has scheduled for at least `for_s`."""
        began_s = time.monotonic() - for_s
        return [
            self._cells[name]
            for name, scheduler in self._by_cell.items()
            if not scheduler.successor and scheduler.began_s <= began_s
        ]

    def update_cells(self, cells: Sequence[Cell]) -> None:
        """Apply the current partition to the cells that are scheduled here.

        A gateway that receives no chains any more learns of a change in no other way
        and would continue to call workers that belong to another cell by now.
        """
        for cell in cells:
            scheduler = self._by_cell.get(cell.name)
            if scheduler is not None:
                scheduler.dispatch.failure_domains = cell.failure_domains
                self._cells[cell.name] = cell

    async def run(self, cell: Cell, work: ChainWork) -> ChainOutcome:
        """Run a chain here and return its outcome."""
        if self._has_abandoned and cell.name not in self._by_cell:
            return ChainMoved(
                successor=NO_SUCCESSOR, completed_pieces=work.completed_pieces
            )
        task = asyncio.create_task(self.of(cell).run(work))
        self._running[work.request_id] = task
        try:
            outcome = await task
        except asyncio.CancelledError:
            if not task.cancelled() or _is_cancelling():
                task.cancel()
                raise
            return ChainFailed(reason=Reason.CANCELLED, is_begun=True)
        finally:
            if self._running.get(work.request_id) is task:
                del self._running[work.request_id]
        if _is_cancelling():
            # A chain that fails at the moment it is cancelled returns its failure.
            # Its request must be cancelled all the same and not run the chain again.
            raise asyncio.CancelledError
        return outcome

    def free(self, cell: str, request_id: str) -> None:
        """Free the results of a chain, and cancel it if it still runs."""
        task = self._running.get(request_id)
        if task is not None:
            task.cancel()
        scheduler = self._by_cell.get(cell)
        if scheduler is not None:
            scheduler.free(request_id)

    async def hand_over(self, cell: Cell, successor: str, link: Link) -> bool:
        """Hand a cell over to another gateway; return True if it has taken it.

        This gateway first stops sending calls, so that no worker is called by two
        schedulers. It resumes if the other gateway does not take the cell.
        """
        scheduler = self._by_cell.get(cell.name)
        if scheduler is None or scheduler.successor:
            return False
        handover = scheduler.dispatch.stop()
        request = handover_to_wire(handover, cell)
        is_taken = False
        try:
            response = await link.ask(request, timeout_s=TAKEOVER_TIMEOUT_S)
            is_taken = isinstance(response, Ok) and response.ok_value.is_taken
        finally:
            # Also if the order to stop cancels the request: a cell that stayed
            # stopped would send nothing, and its chains would wait forever.
            if not is_taken:
                scheduler.dispatch.resume()
                self._record(cell, successor, "was not taken over", 0)
        if not is_taken:
            return False

        def report_freed(worker: Worker, handles: list[str]) -> None:
            link.send(
                ResultsFreed(
                    cell=cell.name,
                    worker_id=worker.worker_id,
                    born_ms=worker.born_ms,
                    handles=handles,
                )
            )

        scheduler.dispatch.on_freed = report_freed
        scheduler.hand_over(successor)
        self._record(cell, successor, "handed over", len(handover.workers))
        return True

    def abandon_cells(self) -> None:
        """Stop scheduling the cells that no gateway took over: this process ends.

        Their chains are returned to the gateways that sent them. Otherwise they would
        be lost with this process, and calls would fail as connections are closed.
        """
        self._has_abandoned = True
        for name, scheduler in self._by_cell.items():
            if not scheduler.successor:
                scheduler.dispatch.stop()
                scheduler.hand_over(NO_SUCCESSOR)
                self._record(self._cells[name], "", "given up", 0)

    def _begin(self, cell: Cell, detail: str) -> ChainScheduler:
        previous = self._by_cell.get(cell.name)
        if previous is not None:
            previous.dispatch.close()
        scheduler = self._make(cell.failure_domains)
        self._by_cell[cell.name] = scheduler
        self._record(cell, "", f"scheduled here {detail}", 0)
        return scheduler

    async def _take_over(self, request: TakeCell, peer: Hello) -> CellTaken:
        """Take a cell over, with the previous scheduler's state of its workers."""
        if self._is_stopping():
            return CellTaken(is_taken=False)
        cell = cell_from_wire(request)
        existing = self._by_cell.get(cell.name)
        if existing is None or existing.successor:
            self._begin(cell, f"after {peer.process_id}")
        handover = handover_from_wire(request)
        self.of(cell).dispatch.take_over(handover)
        self._record(cell, peer.process_id, "taken over", len(handover.workers))
        return CellTaken(is_taken=True)

    async def _run_for_peer(self, request: RunChain, peer: Hello) -> ChainAnswer:
        work = work_from_wire(request)
        return outcome_to_wire(await self.run(cell_from_wire(request), work))

    def _on_message(self, connection: Connection, message: Message) -> None:
        match message:
            case FreeChain():
                self.free(message.cell, message.request_id)
            case ResultsFreed():
                scheduler = self._by_cell.get(message.cell)
                if scheduler is not None:
                    scheduler.dispatch.record_freed(
                        message.worker_id, message.born_ms, message.handles
                    )
            case _:
                return

    def _record(self, cell: Cell, peer: str, detail: str, n_workers: int) -> None:
        self._journal.record(
            Decision(
                event=Event.SCHEDULER_CHANGED,
                entry=cell.name,
                peer=peer,
                detail=detail,
                figures=(Figure(name="n_workers", value=n_workers),),
            )
        )


def _is_cancelling() -> bool:
    """Return True if the current task itself was cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
