"""Brings a request's chain of stages to the scheduler that will do it on time."""

import asyncio
import random
import time
from collections.abc import Callable, Mapping
from typing import Any, Final

from absl import logging
from result import Err, Ok

from ...protocol.gen.chain.ttypes import ChainAnswer, FreeChain
from ...protocol.reasons import Reason
from ...state.chain.cells import Cell
from ...state.chain.chain_work import (
    ChainFailed,
    ChainOutcome,
    ChainWork,
)
from ...state.chain.repeat_budget import RepeatBudgets
from ...state.chain.routes import RouteTable
from ...state.chain.workers import WorkerTable
from ...transport.link import Link
from .cell_map import CellMap
from .cell_schedulers import MIN_TENURE_S, CellSchedulers
from .chain_wire import outcome_from_wire, work_to_wire
from .scheduler_links import SchedulerEndpoint, SchedulerLinks, is_live

ASK_SLACK_S: Final = 0.1
"""Added to a chain's deadline; the scheduler itself gives up at it."""

LIVENESS_CHECK_PERIOD_S: Final = 0.25
"""Time between looks whether a scheduler is heard; half a heartbeat."""

N_CELLS_TRIED: Final = 2
"""Cells asked for one chain; a second one where the nearest is full."""

REFUSAL_AGE_S: Final = 0.25
"""How long a cell's refusal speaks for the next chain; about one call."""


SETTLE_LOOK_S: Final = 0.02
"""Time between looks whether all gateways are known; soon after a start they are."""

RANK_CHECK_PERIOD_S: Final = 0.25
"""Time between looks whether another gateway goes before this one."""

HANDOVER_S: Final = 1.0
"""A gateway that stops begins to hand its cells over for so long.

The others may be starting just then. It goes on scheduling meanwhile.
"""

HANDOVER_RETRY_S: Final = 0.05
"""Pause between two tries; many times a message's way."""


class ChainRouter:
    """Finds a scheduler for each chain and follows it there.

    Parameters
    ----------
    links : SchedulerLinks
        Says which gateway schedules a cell, and leads there.
    schedulers : CellSchedulers
        What this gateway keeps itself.
    workers : WorkerTable
        Says where there are stage workers.
    region_of : mapping of str to str
        Region of each failure domain.
    budgets : RepeatBudgets
        Asked before a chain is run once more.
    is_settled : callable
        Returns True once the live gateways are known.
    """

    __slots__ = (
        "_budgets",
        "_cells",
        "_is_settled",
        "_refused",
        "_schedulers",
        "links",
    )

    def __init__(
        self,
        *,
        links: SchedulerLinks,
        schedulers: CellSchedulers,
        workers: WorkerTable,
        region_of: Mapping[str, str],
        budgets: RepeatBudgets,
        is_settled: Callable[[], bool] = lambda: True,
    ) -> None:
        self._budgets = budgets
        self._is_settled = is_settled
        self.links = links
        self._schedulers = schedulers
        self._cells = CellMap(workers=workers, region_of=region_of, links=links)
        self._refused: dict[str, tuple[float, float]] = {}

    def activate(self, table: RouteTable) -> None:
        """Take for stage workers those that `table` has make pieces."""
        self._cells.activate(table)

    async def run(self, work: ChainWork, place: SchedulerEndpoint) -> ChainOutcome:
        """Run a chain at one place."""
        if place.link is None:
            return await self._schedulers.run(place.cell, work)
        question = work_to_wire(work, place.cell)
        timeout_s = work.deadline_s - time.monotonic() + ASK_SLACK_S
        asking = asyncio.create_task(
            place.link.ask(question, timeout_s=max(ASK_SLACK_S, timeout_s))
        )
        try:
            if not await _answers(asking, place.link):
                return ChainFailed(reason=Reason.PEER_SILENT, is_begun=True)
        finally:
            asking.cancel()
        match asking.result():
            case Ok(ChainAnswer() as answer):
                return outcome_from_wire(answer)
            case Err(error):
                logging.info("scheduler %s: %s", error.peer, error.detail)
                return ChainFailed(reason=Reason.PEER_SILENT, is_begun=error.is_sent)
            case _:
                return ChainFailed(reason=Reason.INTERNAL, is_begun=True)

    def free(self, place: SchedulerEndpoint, request_id: str) -> None:
        """Free what a chain has made, and end it if it still runs."""
        if place.link is None:
            self._schedulers.free(place.cell.name, request_id)
            return
        place.link.send(FreeChain(cell=place.cell.name, request_id=request_id))

    def endpoints(self, services: set[str], near: str) -> list[SchedulerEndpoint]:
        """Return where a chain should be tried, best first.

        The cell of `near` comes first, as results that cross failure domains
        are paid for. One that has just refused a chain comes last.
        """
        now_s = time.monotonic()

        def rank(cell: Cell) -> tuple[bool, float, bool, float]:
            at_s, finish_s = self._refused.get(cell.name, (0.0, 0.0))
            has_refused = now_s - at_s < REFUSAL_AGE_S
            is_far = near not in cell.failure_domains
            return has_refused, finish_s * has_refused, is_far, random.random()

        ranked = sorted(self._cells.of(services), key=rank)
        return [self.links.endpoint(cell) for cell in ranked[:N_CELLS_TRIED]]

    async def connected_endpoints(
        self, services: set[str], near: str
    ) -> list[SchedulerEndpoint]:
        """Return the same, once new links to schedulers are connected."""
        while not self._is_settled():  # noqa: ASYNC110
            await asyncio.sleep(SETTLE_LOOK_S)
        for cell in self._cells.of(services):
            await self.links.connect(cell)
        return self.endpoints(services, near)

    def may_repeat(self, services: set[str]) -> bool:
        """Take a repeat of each service; return False if one has none left."""
        now_s = time.monotonic()
        return all(
            self._budgets.for_service(service).spend(now_s) for service in services
        )

    def record_refusal(self, place: SchedulerEndpoint, finish_s: float) -> None:
        """Remember that a cell was full."""
        self._refused[place.cell.name] = (time.monotonic(), finish_s)

    async def watch(self) -> None:
        """Keep links to schedulers, and hand cells over, until cancelled."""
        while True:
            await asyncio.sleep(RANK_CHECK_PERIOD_S)
            try:
                cells = self._cells.all()
                self.links.keep_links(cells)
                self._schedulers.update_cells(cells)
                for cell in self._schedulers.active(for_s=MIN_TENURE_S):
                    await self._hand_over(cell)
            except Exception:
                # A fault here would end all handovers, and nothing would show it.
                logging.exception("a look at who schedules the cells")

    async def hand_over_all(self) -> None:
        """Hand all cells over: this gateway was told to stop.

        All at once, and bounded in time: a successor that is silent costs 0.3 s a
        try, and one cell after another, twenty times each, outlasted the stop. The
        kill then cut every request of this gateway.
        """
        ends_s = time.monotonic() + HANDOVER_S
        while time.monotonic() < ends_s:
            cells = self._schedulers.active()
            if not cells:
                return
            await asyncio.gather(*(self._hand_over_now(cell) for cell in cells))
            await asyncio.sleep(HANDOVER_RETRY_S)

    def abandon_cells(self) -> None:
        """Schedule no cell any more: this gateway's requests are answered."""
        self._schedulers.abandon_cells()

    async def _hand_over_now(self, cell: Cell) -> None:
        """Hand a cell over, once the link to its next scheduler is connected."""
        try:
            await self.links.connect(cell)
            await self._hand_over(cell)
        except Exception:
            # A fault here would end the process at once, and cut every request.
            logging.exception("a handover at a stop")

    async def _hand_over(self, cell: Cell) -> None:
        """Hand a cell over to the gateway that goes before this one, if any does."""
        place = self.links.endpoint(cell)
        if place.link is None or place.link.peer is None:
            return
        successor = place.link.peer.process_id
        await self._schedulers.hand_over(cell, successor, place.link)


async def _answers(asking: "asyncio.Task[Any]", link: Link) -> bool:
    """Return True once a question has its answer; False if its peer falls silent.

    A scheduler that is paused, or whose host is cut off, answers nothing and
    closes nothing. Its chains would wait for it until their deadlines.
    """
    while not asking.done():
        if not is_live(link):
            return False
        await asyncio.wait({asking}, timeout=LIVENESS_CHECK_PERIOD_S)
    return True
