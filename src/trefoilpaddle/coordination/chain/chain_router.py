"""Routes a request's chain of stages to a scheduler that can run it on time."""

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

RESPONSE_SLACK_S: Final = 0.1
"""Seconds added to a chain's deadline, at which the scheduler itself stops."""

LIVENESS_CHECK_PERIOD_S: Final = 0.25
"""Seconds between checks of a scheduler's liveness; half a heartbeat period."""

MAX_CELLS_TRIED: Final = 2
"""Maximum number of cells tried for a chain; the second if the preferred is full."""

REFUSAL_VALIDITY_S: Final = 0.25
"""Seconds for which a refusal also ranks a cell last for other chains.

About one call.
"""


SETTLE_CHECK_PERIOD_S: Final = 0.02
"""Seconds between checks after a start whether all gateways are known."""

RANK_CHECK_PERIOD_S: Final = 0.25
"""Seconds between checks whether another gateway ranks higher than this one."""

HANDOVER_PERIOD_S: Final = 1.0
"""Seconds for which a stopping gateway begins further tries to hand its cells over.

The other gateways may be starting just then. It continues to schedule meanwhile.
"""

HANDOVER_RETRY_S: Final = 0.05
"""Seconds between two tries to hand over; many times a message's latency."""


class ChainRouter:
    """Finds a scheduler for each chain and runs the chain there.

    Parameters
    ----------
    links : SchedulerLinks
        Ranks the schedulers of a cell and keeps links to them.
    schedulers : CellSchedulers
        The schedulers of this gateway.
    workers : WorkerTable
        The listed workers.
    region_of : mapping of str to str
        Region of each failure domain.
    budgets : RepeatBudgets
        Limit how many chains are run once more.
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
        """Treat the services to which `table` assigns pieces as stage services."""
        self._cells.activate(table)

    async def run(
        self,
        work: ChainWork,
        endpoint: SchedulerEndpoint,
        *,
        may_give_up: Callable[[], bool],
    ) -> ChainOutcome:
        """Run a chain at one scheduler.

        Parameters
        ----------
        work : ChainWork
            The chain.
        endpoint : SchedulerEndpoint
            The scheduler.
        may_give_up : callable
            Returns True if the chain may be run elsewhere; called repeatedly while the
            scheduler is silent.
        """
        if endpoint.link is None:
            return await self._schedulers.run(endpoint.cell, work)
        request = work_to_wire(work, endpoint.cell)
        timeout_s = work.deadline_s - time.monotonic() + RESPONSE_SLACK_S
        pending = asyncio.create_task(
            endpoint.link.ask(request, timeout_s=max(RESPONSE_SLACK_S, timeout_s))
        )
        try:
            if not await _await_response(pending, endpoint.link, may_give_up):
                return ChainFailed(reason=Reason.PEER_SILENT, is_begun=True)
        finally:
            pending.cancel()
        match pending.result():
            case Ok(ChainAnswer() as response):
                return outcome_from_wire(response)
            case Err(error):
                logging.info("scheduler %s: %s", error.peer, error.detail)
                return ChainFailed(reason=Reason.PEER_SILENT, is_begun=error.is_sent)
            case _:
                return ChainFailed(reason=Reason.INTERNAL, is_begun=True)

    def free(self, endpoint: SchedulerEndpoint, request_id: str) -> None:
        """Free the results of a chain, and cancel it if it still runs."""
        if endpoint.link is None:
            self._schedulers.free(endpoint.cell.name, request_id)
            return
        endpoint.link.send(FreeChain(cell=endpoint.cell.name, request_id=request_id))

    def endpoints(
        self, services: set[str], preferred_domain: str
    ) -> list[SchedulerEndpoint]:
        """Return the schedulers at which a chain should be tried, best first.

        The cell of the preferred failure domain comes first, as operators pay for
        results that cross failure domains. A cell that has just refused a chain comes
        last.

        Parameters
        ----------
        services : set of str
            Services that the chain needs.
        preferred_domain : str
            Preferred failure domain.
        """
        now_s = time.monotonic()

        def rank(cell: Cell) -> tuple[bool, float, bool, float]:
            at_s, finish_s = self._refused.get(cell.name, (0.0, 0.0))
            has_refused = now_s - at_s < REFUSAL_VALIDITY_S
            is_other_domain = preferred_domain not in cell.failure_domains
            return has_refused, finish_s * has_refused, is_other_domain, random.random()

        ranked = sorted(self._cells.of(services), key=rank)
        return [self.links.endpoint(cell) for cell in ranked[:MAX_CELLS_TRIED]]

    async def connected_endpoints(
        self, services: set[str], preferred_domain: str
    ) -> list[SchedulerEndpoint]:
        """Return the endpoints once new links to schedulers are connected."""
        while not self._is_settled():  # noqa: ASYNC110
            await asyncio.sleep(SETTLE_CHECK_PERIOD_S)
        for cell in self._cells.of(services):
            await self.links.connect(cell)
        return self.endpoints(services, preferred_domain)

    def may_repeat(self, services: set[str]) -> bool:
        """Spend a repeat of each service, or of none; return False if one has none."""
        now_s = time.monotonic()
        budgets = [self._budgets.for_service(service) for service in services]
        if not all(budget.has_left(now_s) for budget in budgets):
            return False
        for budget in budgets:
            budget.spend(now_s)
        return True

    def record_refusal(self, endpoint: SchedulerEndpoint, finish_s: float) -> None:
        """Record that a cell has refused a chain.

        Parameters
        ----------
        endpoint : SchedulerEndpoint
            The scheduler that refused it.
        finish_s : float
            Forecast of the chain in seconds, as reported with the refusal.
        """
        self._refused[endpoint.cell.name] = (time.monotonic(), finish_s)

    async def watch(self) -> None:
        """Keep links to schedulers and hand cells over, until cancelled."""
        while True:
            await asyncio.sleep(RANK_CHECK_PERIOD_S)
            try:
                cells = self._cells.all()
                self.links.keep_links(cells)
                self._schedulers.update_cells(cells)
                for cell in self._schedulers.active(for_s=MIN_TENURE_S):
                    await self._hand_over(cell)
            except Exception:
                # An exception would end all further handovers without a trace.
                logging.exception("checking which gateways schedule the cells failed")

    async def hand_over_all(self) -> None:
        """Hand all cells over, as this gateway was ordered to stop.

        All cells are handed over concurrently and within a time limit: an
        unresponsive successor costs 0.3 s per try, and one cell after another with
        twenty tries each took longer than the stop. The process was then killed and
        every request of this gateway was interrupted.
        """
        ends_s = time.monotonic() + HANDOVER_PERIOD_S
        while time.monotonic() < ends_s:
            cells = self._schedulers.active()
            if not cells:
                return
            await asyncio.gather(*(self._hand_over_now(cell) for cell in cells))
            await asyncio.sleep(HANDOVER_RETRY_S)

    def abandon_cells(self) -> None:
        """Stop scheduling all cells, as this gateway's own requests are answered."""
        self._schedulers.abandon_cells()

    async def _hand_over_now(self, cell: Cell) -> None:
        """Hand a cell over once the link to its next scheduler is connected."""
        try:
            await self.links.connect(cell)
            await self._hand_over(cell)
        except Exception:
            # An exception would end the process and interrupt every request.
            logging.exception("handing over a cell at a stop failed")

    async def _hand_over(self, cell: Cell) -> None:
        """Hand a cell over to the gateway that ranks higher than this one, if any."""
        endpoint = self.links.endpoint(cell)
        if endpoint.link is None or endpoint.link.peer is None:
            return
        successor = endpoint.link.peer.process_id
        await self._schedulers.hand_over(cell, successor, endpoint.link)


async def _await_response(
    pending: "asyncio.Task[Any]", link: Link, may_give_up: Callable[[], bool]
) -> bool:
    """Return True once a request is answered; False if its peer is given up.

    A scheduler that is paused, or whose host is disconnected, neither answers nor
    closes its connections. Its chains would wait for it until their deadlines. It may
    go on, so it is given up only if they can be run elsewhere or its connection closed.
    """
    while not pending.done():
        if link.connection is None or (not is_live(link) and may_give_up()):
            return False
        await asyncio.wait({pending}, timeout=LIVENESS_CHECK_PERIOD_S)
    return True
