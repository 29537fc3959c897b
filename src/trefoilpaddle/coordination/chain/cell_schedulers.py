"""The cells that this gateway schedules, for itself and for others."""

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

CHAIN_ANSWER_S: Final = 60.0
"""Longest time that a chain may take; its own deadline ends it before.

Three times the longest deadline that callers are known to set.
"""

MIN_TENURE_S: Final = 1.0
"""Time after a cell was taken over in which it is not handed on for its rank.

The gateway that handed it over may be known as live a moment longer, and would go
before this one: the cell went to and fro, and every chain with it.
"""

TAKE_TIMEOUT_S: Final = 0.3
"""Longest wait for a gateway to take a cell; nothing is sent meanwhile.

About a call, which the workers make then; a message's way takes a hundredth.
"""

NOBODY: Final = "nobody"
"""Stands for the successor where there is none; no process has this name."""

MakeScheduler = Callable[[frozenset[str]], ChainScheduler]


class CellSchedulers:
    """Schedules the stages of cells, each from its first chain on.

    A gateway that sends a chain here takes this one for the scheduler. It is
    served even where this gateway sees it otherwise: after a change of members
    the two agree within moments, and a worker that is called from two sides
    meanwhile is asked what it does before it is called again.

    Parameters
    ----------
    process : OwnProcess
        Listens for peers.
    make : callable
        Returns a new scheduler of the stage workers in some failure domains.
    """

    __slots__ = (
        "_by_cell",
        "_cells",
        "_has_given_up",
        "_is_stopping",
        "_journal",
        "_make",
        "_running",
    )

    def __init__(self, *, process: OwnProcess, make: MakeScheduler) -> None:
        self._make = make
        self._is_stopping = process.stopping.is_set
        self._has_given_up = False
        self._journal: Journal = process.journal
        self._by_cell: dict[str, ChainScheduler] = {}
        self._cells: dict[str, Cell] = {}
        self._running: dict[str, asyncio.Task[ChainOutcome]] = {}
        process.server.answer(RunChain, self._answer, timeout_s=CHAIN_ANSWER_S)
        process.server.answer(TakeCell, self._take)
        process.message_listeners.append(self._on_message)

    def activate(self, table: RouteTable) -> None:
        """Take workers for what `table` says of them."""
        for scheduler in self._by_cell.values():
            scheduler.dispatch.table = table

    def of(self, cell: Cell) -> ChainScheduler:
        """Return the scheduler of a cell's stages."""
        scheduler = self._by_cell.get(cell.name)
        # One that stops does not begin anew what it has handed over: chains would
        # go with it, and the workers be called from two sides.
        may_begin_anew = not self._is_stopping()
        if scheduler is None or (scheduler.is_superseded() and may_begin_anew):
            scheduler = self._begin(cell, "from its first chain")
        scheduler.dispatch.failure_domains = cell.failure_domains
        self._cells[cell.name] = cell
        return scheduler

    def active(self, *, for_s: float = 0.0) -> list[Cell]:
        """Return the cells that this gateway schedules, for so long at least."""
        began_s = time.monotonic() - for_s
        return [
            self._cells[name]
            for name, scheduler in self._by_cell.items()
            if not scheduler.successor and scheduler.began_s <= began_s
        ]

    def update_cells(self, cells: Sequence[Cell]) -> None:
        """Go on with the cells that are scheduled here as they are cut now.

        A gateway to which no chain comes any more learns of a change no other way,
        and would go on calling workers of what is another's cell by now.
        """
        for cell in cells:
            scheduler = self._by_cell.get(cell.name)
            if scheduler is not None:
                scheduler.dispatch.failure_domains = cell.failure_domains
                self._cells[cell.name] = cell

    async def run(self, cell: Cell, work: ChainWork) -> ChainOutcome:
        """Run a chain here until it ends or is freed."""
        if self._has_given_up and cell.name not in self._by_cell:
            return ChainMoved(successor=NOBODY, completed_pieces=work.completed_pieces)
        task = asyncio.create_task(self.of(cell).run(work))
        self._running[work.request_id] = task
        try:
            end = await task
        except asyncio.CancelledError:
            if not task.cancelled() or _is_cancelling():
                task.cancel()
                raise
            return ChainFailed(reason=Reason.CANCELLED, is_begun=True)
        finally:
            if self._running.get(work.request_id) is task:
                del self._running[work.request_id]
        if _is_cancelling():
            # A chain that fails in the moment in which it is cancelled ends with its
            # fault. Its request must end all the same, not run the chain again.
            raise asyncio.CancelledError
        return end

    def free(self, cell: str, request_id: str) -> None:
        """Free what a chain has made, and end it if it still runs."""
        task = self._running.get(request_id)
        if task is not None:
            task.cancel()
        scheduler = self._by_cell.get(cell)
        if scheduler is not None:
            scheduler.free(request_id)

    async def hand_over(self, cell: Cell, successor: str, link: Link) -> bool:
        """Have another gateway schedule a cell from now on; True if it does.

        This one first sends no more calls, so that no worker is called from two
        sides; it goes on if the other does not answer.
        """
        scheduler = self._by_cell.get(cell.name)
        if scheduler is None or scheduler.successor:
            return False
        handover = scheduler.dispatch.stop()
        question = handover_to_wire(handover, cell)
        is_taken = False
        try:
            answer = await link.ask(question, timeout_s=TAKE_TIMEOUT_S)
            is_taken = isinstance(answer, Ok) and answer.ok_value.is_taken
        finally:
            # Also where the order to stop breaks the question off: a cell that
            # stays stopped sends nothing, and its chains wait without end.
            if not is_taken:
                scheduler.dispatch.resume()
                self._note(cell, successor, "was not taken over", 0)
        if not is_taken:
            return False

        def tell_freed(worker: Worker, handles: list[str]) -> None:
            link.send(
                ResultsFreed(
                    cell=cell.name,
                    worker_id=worker.worker_id,
                    born_ms=worker.born_ms,
                    handles=handles,
                )
            )

        scheduler.dispatch.on_freed = tell_freed
        scheduler.hand_over(successor)
        self._note(cell, successor, "handed over", len(handover.workers))
        return True

    def abandon_cells(self) -> None:
        """Send nothing more for cells that nobody took over: this process ends.

        Their chains go back to the gateways that sent them. Scheduled on, they
        would go with this process, and calls of workers fail as sessions close.
        """
        self._has_given_up = True
        for name, scheduler in self._by_cell.items():
            if not scheduler.successor:
                scheduler.dispatch.stop()
                scheduler.hand_over(NOBODY)
                self._note(self._cells[name], "", "given up", 0)

    def _begin(self, cell: Cell, detail: str) -> ChainScheduler:
        former = self._by_cell.get(cell.name)
        if former is not None:
            former.dispatch.close()
        scheduler = self._make(cell.failure_domains)
        self._by_cell[cell.name] = scheduler
        self._note(cell, "", f"scheduled here {detail}", 0)
        return scheduler

    async def _take(self, question: TakeCell, peer: Hello) -> CellTaken:
        """Schedule a cell from now on, with what the scheduler before knows of it."""
        if self._is_stopping():
            return CellTaken(is_taken=False)
        cell = cell_from_wire(question)
        known = self._by_cell.get(cell.name)
        if known is None or known.successor:
            self._begin(cell, f"after {peer.process_id}")
        handover = handover_from_wire(question)
        self.of(cell).dispatch.take_over(handover)
        self._note(cell, peer.process_id, "taken over", len(handover.workers))
        return CellTaken(is_taken=True)

    async def _answer(self, question: RunChain, peer: Hello) -> ChainAnswer:
        work = work_from_wire(question)
        return outcome_to_wire(await self.run(cell_from_wire(question), work))

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

    def _note(self, cell: Cell, peer: str, detail: str, n_workers: int) -> None:
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
    """Return True if the running task itself was cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
