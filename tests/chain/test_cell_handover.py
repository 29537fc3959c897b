"""A gateway that stops hands over its cells, and keeps those that no gateway takes."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from result import Err, Result

from trefoilpaddle.coordination.chain.cell_schedulers import CellSchedulers
from trefoilpaddle.coordination.chain.chain_router import ChainRouter
from trefoilpaddle.coordination.chain.scheduler_links import SchedulerLinks
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.cells import Cell, cells_of
from trefoilpaddle.state.chain.chain_work import (
    ChainCompleted,
    ChainFailed,
    ChainMoved,
    ChainOutcome,
    ChainWork,
)
from trefoilpaddle.state.chain.workers import WorkerTable
from trefoilpaddle.transport.connection import Address

from .fakes import (
    FakeCalls,
    budgets,
    journal,
    piece_service,
    process,
    scheduler,
    table,
    worker,
)
from .test_chain_router import member
from .test_chain_scheduler import work
from .virtual_time import run_virtual

N_DOMAINS = 5
N_WORKERS = 35
"""Workers of each of two services; each failure domain becomes a cell."""

LONG_S = 60.0
"""Many times the deadline of a chain."""


class UnresponsiveLink:
    """A link to a gateway that is connected but answers no request."""

    def __init__(self) -> None:
        self.peer = SimpleNamespace(process_id="next")
        self.asked_s: list[float] = []

    @property
    def connection(self) -> object:
        return SimpleNamespace(last_received_s=time.monotonic())

    async def ask(self, question: object, *, timeout_s: float) -> Result[object, str]:
        self.asked_s.append(time.monotonic())
        await asyncio.sleep(timeout_s)
        return Err("no answer")


class Rig:
    """A gateway that schedules the cells of a large region, and its successor."""

    def __init__(self, *, call_s: float = 0.01) -> None:
        self.successor = UnresponsiveLink()
        self.calls = FakeCalls(call_s=call_s)
        domains = [f"d{number}" for number in range(N_DOMAINS)]
        workers = WorkerTable()
        for number in range(N_WORKERS):
            domain = domains[number % N_DOMAINS]
            workers.put(worker(f"s{number}", "s", domain=domain))
            workers.put(worker(f"t{number}", "t", domain=domain))
        routes = table(services=[piece_service("s"), piece_service("t")])
        region_of = dict.fromkeys(domains, "north")
        self.cells = cells_of(workers.all(), region_of, lambda _: 1)
        self.own = process("own")
        self.schedulers = CellSchedulers(
            process=self.own,
            make=lambda _: scheduler(self.calls, workers, routes, journal()),
        )
        for cell in self.cells:
            self.schedulers.of(cell)
        self.router = ChainRouter(
            links=SchedulerLinks(
                own_id="own",
                live=lambda: [member("own", 20), member("next", 10)],
                peers=self,  # type: ignore[arg-type]
            ),
            schedulers=self.schedulers,
            workers=workers,
            region_of=region_of,
            budgets=budgets(),
        )

    def link(self, address: Address) -> UnresponsiveLink:
        return self.successor

    async def completes_chain(self, cell: Cell) -> bool:
        """Return True if a chain completes at one of its cells."""
        try:
            async with asyncio.timeout(LONG_S):
                return isinstance(
                    await self.schedulers.run(cell, work()), ChainCompleted
                )
        except TimeoutError:
            return False


class TestPlannedStop:
    def test_an_unresponsive_successor_delays_the_stop_briefly(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A gateway that schedules the cells of a large region is told to stop, and the
        # next in rank is unresponsive. The handover of each cell in turn was tried
        # twenty times for up to 0.3 s: 30 s for five cells, with 8 s until the kill,
        # which interrupted its requests. The attempts were bounded, but not their time.
        async def run() -> float:
            rig = Rig()
            assert len(rig.cells) == N_DOMAINS
            began_s = time.monotonic()
            await rig.router.hand_over_all()
            took_s = time.monotonic() - began_s
            assert await rig.completes_chain(rig.cells[-1])
            return took_s

        with monkeypatch.context() as time_patch:
            assert run_virtual(time_patch, run()) < 1.5

    def test_a_cancelled_handover_resumes_scheduling(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A cell is being handed over because of its rank when its gateway is told to
        # stop, which cancels the handover. The cell had stopped sending calls and was
        # not resumed: its chains waited until the process exited.
        async def run() -> bool:
            rig = Rig()
            cell = rig.cells[0]
            handing = asyncio.create_task(
                rig.schedulers.hand_over(cell, "next", rig.successor)  # type: ignore[arg-type]
            )
            await asyncio.sleep(0.1)
            handing.cancel()
            await asyncio.gather(handing, return_exceptions=True)
            return await rig.completes_chain(cell)

        with monkeypatch.context() as time_patch:
            assert run_virtual(time_patch, run())

    def test_a_chain_after_the_handover_is_sent_to_the_successor(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A gateway that stops has handed its cell over; four seconds later another
        # gateway still sends it a chain. It began to schedule the cell again, next to
        # its successor, and that chain was lost when it exited.
        async def run() -> ChainOutcome:
            rig = Rig()
            cell = rig.cells[0]
            rig.own.stopping.set()
            rig.schedulers.of(cell).hand_over("next")
            await asyncio.sleep(4.0)
            return await rig.schedulers.run(cell, work())

        with monkeypatch.context() as time_patch:
            end = run_virtual(time_patch, run())
        assert isinstance(end, ChainMoved)
        assert end.successor == "next"

    def test_chains_of_a_cell_that_no_gateway_took_are_returned(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # No gateway takes the cell of a gateway that stops. It continued to schedule
        # while its sessions closed: its requests to workers failed, and the chains of
        # other gateways ended with it, so that their completed pieces were lost.
        async def run() -> tuple[ChainOutcome, ChainOutcome]:
            rig = Rig(call_s=0.5)
            cell = rig.cells[0]
            begun = asyncio.create_task(rig.schedulers.run(cell, work("a")))
            await asyncio.sleep(0.1)
            rig.own.stopping.set()
            rig.router.abandon_cells()
            n_batches = len(rig.calls.batches)
            ends = await begun, await rig.schedulers.run(cell, work("b"))
            assert len(rig.calls.batches) == n_batches
            return ends

        with monkeypatch.context() as time_patch:
            begun, late = run_virtual(time_patch, run())
        assert isinstance(begun, ChainMoved) and begun.completed_pieces
        assert isinstance(late, ChainMoved)

    def test_a_chain_received_at_exit_is_returned_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A gateway that is about to exit receives a chain of a cell that it has not
        # scheduled before. It started a scheduler for the cell, whose calls end with
        # the process, so that the chain had to be run again from the repeat budget.
        async def run() -> ChainOutcome:
            rig = Rig()
            rig.own.stopping.set()
            rig.router.abandon_cells()
            new = Cell(name="new", failure_domains=rig.cells[0].failure_domains)
            end = await rig.schedulers.run(new, work())
            assert not rig.calls.batches
            return end

        with monkeypatch.context() as time_patch:
            assert isinstance(run_virtual(time_patch, run()), ChainMoved)


class TestCancelling:
    async def test_cancellation_is_kept_when_the_chain_fails(self) -> None:
        # A planned stop cancels the run of a request at the moment in which a stage of
        # its chain fails. The chain ended with the failure, the cancellation was lost,
        # and the request continued without any bound.
        class Failing:
            began_s = 0.0
            successor = ""
            dispatch = SimpleNamespace(failure_domains=frozenset())

            def is_over(self) -> bool:
                return False

            async def run(self, work: ChainWork) -> ChainOutcome:
                try:
                    await asyncio.sleep(LONG_S)
                except asyncio.CancelledError:
                    return ChainFailed(reason=Reason.RESULT_GONE, is_begun=True)
                raise AssertionError

        schedulers = CellSchedulers(
            process=process("own"),
            make=lambda _: Failing(),  # type: ignore[arg-type, return-value]
        )
        cell = Cell(name="c", failure_domains=frozenset())
        running = asyncio.create_task(schedulers.run(cell, work()))
        await asyncio.sleep(0.01)
        running.cancel()
        with pytest.raises(asyncio.CancelledError):
            await running
