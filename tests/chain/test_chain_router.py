"""Which gateway keeps a cell, as the members come and go."""

import asyncio
import time
from collections.abc import Mapping, Sequence

import pytest

from trefoilpaddle.coordination.chain import chain_router, scheduler_links
from trefoilpaddle.coordination.chain.cell_schedulers import CellSchedulers
from trefoilpaddle.coordination.chain.chain_router import ChainRouter
from trefoilpaddle.coordination.chain.running_chain import running_chain
from trefoilpaddle.coordination.chain.scheduler_links import SchedulerLinks
from trefoilpaddle.protocol.ids import incarnation_by_age
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.cells import MAX_WORKERS_PER_CELL, Cell
from trefoilpaddle.state.chain.chain_work import (
    ChainCompleted,
    ChainFailed,
    ChainOutcome,
)
from trefoilpaddle.state.chain.piece_work import PieceFault, PieceOutcome, PieceWork
from trefoilpaddle.state.chain.routes import RouteTable
from trefoilpaddle.state.chain.workers import Worker, WorkerTable
from trefoilpaddle.state.members import MemberRecord, MemberState
from trefoilpaddle.transport.connection import Address

from .fakes import (
    FakeCalls,
    budgets,
    journal,
    made,
    piece_service,
    process,
    scheduler,
    table,
    worker,
)
from .test_chain_scheduler import work


def member(
    name: str, incarnation: int, domain: str = "here", *, millicores: int = 0
) -> MemberRecord:
    return MemberRecord(
        process_id=name,
        incarnation=incarnation,
        address="127.0.0.1:1",
        role="gateway",
        failure_domain=domain,
        region="",
        service="",
        target="",
        state=MemberState.LIVE,
        beat=1,
        millicores=millicores,
    )


class FakeConnection:
    """A connection whose peer spoke at `heard_s`."""

    def __init__(self, heard_s: float) -> None:
        self.heard_s = heard_s


class FakeLink:
    """A link to a gateway that was heard just now, or not at all."""

    def __init__(self, *, heard: bool) -> None:
        now_s = time.monotonic()
        self.connection = FakeConnection(now_s) if heard else None
        self.n_asked = 0

    async def ask(self, question: object, *, timeout_s: float) -> object:
        self.n_asked += 1
        await asyncio.sleep(timeout_s)
        raise AssertionError("nobody waits that long")

    def send(self, message: object) -> bool:
        return True


class FakePeers:
    """Links to gateways that are all heard, or none."""

    def __init__(self, *, heard: bool) -> None:
        self.only = FakeLink(heard=heard)

    def link(self, address: Address) -> FakeLink:
        return self.only


ONE_REGION = {"a": "north", "b": "north"}


def router(
    own_id: str,
    members: list[MemberRecord],
    *,
    heard: bool = True,
    workers: WorkerTable | None = None,
    region_of: Mapping[str, str] | None = None,
) -> ChainRouter:
    if workers is None:
        workers = WorkerTable()
        workers.put(worker("s1", "s"))
    own = process(own_id)
    return ChainRouter(
        links=SchedulerLinks(
            own_id=own_id,
            live=lambda: members,
            peers=FakePeers(heard=heard),  # type: ignore[arg-type]
        ),
        schedulers=CellSchedulers(
            process=own,
            make=lambda _: scheduler(FakeCalls(), workers, RouteTable(), journal()),
        ),
        workers=workers,
        region_of=region_of or {},
        budgets=budgets(),
    )


def keeps_itself(at: ChainRouter) -> bool:
    (place,) = at.endpoints({"s"}, "here")
    return place.link is None


class TestRunAgain:
    async def run(
        self, faults: list[PieceFault], *, slack: float = 100.0
    ) -> tuple[ChainOutcome, FakeCalls]:
        def make(at: Worker, works: Sequence[PieceWork]) -> list[PieceOutcome]:
            if at.service == "t" and faults:
                return [faults.pop()] * len(works)
            return [made(at, each) for each in works]

        calls = FakeCalls(make=make)
        workers = WorkerTable()
        for name in "st":
            workers.put(worker(f"{name}1", name))
        routes = table(services=[piece_service("s"), piece_service("t")])
        own = process("a")
        at = ChainRouter(
            links=SchedulerLinks(
                own_id="a",
                live=lambda: [member("a", 1)],
                peers=own.peers,
            ),
            schedulers=CellSchedulers(
                process=own, make=lambda _: scheduler(calls, workers, routes, journal())
            ),
            workers=workers,
            region_of={},
            budgets=budgets(slack=slack),
        )
        async with running_chain(at, work()) as chain:
            end = await chain.run()
        return end, calls

    async def test_a_chain_whose_inputs_are_gone_is_run_once_more(self) -> None:
        # The maker of a result crashes while the next stage waits for its turn.
        # All before it would be paid for and lost.
        end, calls = await self.run([PieceFault.INPUT_GONE])
        assert isinstance(end, ChainCompleted)
        n_first = sum(p.stage == 1 for batch in calls.batches for p in batch)
        assert n_first == 2

    async def test_once_and_no_more(self) -> None:
        end, _ = await self.run([PieceFault.INPUT_GONE] * 5)
        assert end == ChainFailed(reason=Reason.RESULT_GONE, is_begun=True)

    async def test_not_beyond_the_budget(self) -> None:
        end, _ = await self.run([PieceFault.INPUT_GONE], slack=0.0)
        assert end == ChainFailed(reason=Reason.RESULT_GONE, is_begun=True)


class TestLinks:
    def test_starts_that_are_gone_are_forgotten(self) -> None:
        # Gateways are replaced all day, and each start has a number of its own.
        members: list[MemberRecord] = []
        links = SchedulerLinks(
            own_id="b",
            live=lambda: members,
            peers=FakePeers(heard=True),  # type: ignore[arg-type]
        )
        cell = Cell(name="north", failure_domains=frozenset({"here"}))
        for number in range(1, 6):
            members[:] = [member("a", number), member("b", 9)]
            links.keep_links([cell])
        links.keep_links([cell])
        assert len(links._dialled_s) == 1


class TestPausedScheduler:
    async def test_its_chains_are_run_again_elsewhere(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The scheduler's machine freezes. Its connections stay open and say
        # nothing; the chains that it had let in waited for their deadlines.
        monkeypatch.setattr(scheduler_links, "SCHEDULER_TIMEOUT_S", 0.3)
        monkeypatch.setattr(chain_router, "LIVENESS_CHECK_PERIOD_S", 0.05)
        calls = FakeCalls()
        workers = WorkerTable()
        for name in "st":
            workers.put(worker(f"{name}1", name))
        routes = table(services=[piece_service("s"), piece_service("t")])
        own = process("b")
        peers = FakePeers(heard=True)
        at = ChainRouter(
            links=SchedulerLinks(
                own_id="b",
                live=lambda: [member("a", 1), member("b", 2)],
                peers=peers,  # type: ignore[arg-type]
            ),
            schedulers=CellSchedulers(
                process=own, make=lambda _: scheduler(calls, workers, routes, journal())
            ),
            workers=workers,
            region_of={},
            budgets=budgets(),
        )
        async with asyncio.timeout(2.0), running_chain(at, work()) as chain:
            end = await chain.run()
        assert peers.only.n_asked == 1
        assert isinstance(end, ChainCompleted)


class TestScheduler:
    def test_the_oldest_gateway_keeps_the_cell(self) -> None:
        members = [member("a", 30), member("b", 10), member("c", 20)]
        assert keeps_itself(router("b", members))
        assert not keeps_itself(router("a", members))

    def test_a_restarted_one_does_not_take_it_back(self) -> None:
        # Gateways are restarted one after another. Each that took its cell back
        # began with no queues and no reservations, let in three times what could be
        # done, and all of it was late.
        members = [member("a", incarnation_by_age()), member("b", 1)]
        assert keeps_itself(router("b", members))

    def test_a_silent_one_is_passed_over(self) -> None:
        members = [member("a", 10), member("b", 20)]
        assert keeps_itself(router("b", members, heard=False))

    def test_gateways_of_other_domains_keep_it_only_without_any(self) -> None:
        far = member("a", 10, "far")
        assert keeps_itself(router("b", [far, member("b", 20)]))
        assert not keeps_itself(router("b", [far, member("b", 20, "far")]))

    def test_a_strong_machine_goes_before_an_older_one(self) -> None:
        # Machines differ five times in their processors. All stages of a region
        # pass its scheduler; on a weak machine it answers late under load, and each
        # chain of the region with it.
        members = [member("a", 10, millicores=387), member("b", 20, millicores=2150)]
        assert keeps_itself(router("b", members))
        assert not keeps_itself(router("a", members))

    def test_of_nearly_equal_ones_the_older_keeps_it(self) -> None:
        members = [member("a", 20, millicores=860), member("b", 10, millicores=817)]
        assert keeps_itself(router("b", members))

    def test_suspects_do_not_change_the_cells(self) -> None:
        # One of the workers that make a region just too large for one cell does
        # not answer for a second. Its chains went to a scheduler of the region
        # meanwhile, beside those of the failure domains; the two called the same
        # workers, and one call in five found its worker full.
        workers = WorkerTable()
        for number in range(3 * MAX_WORKERS_PER_CELL // 2 + 1):
            workers.put(worker(f"s{number}", "s", domain="ab"[number % 2]))
        at = router("b", [member("b", 1)], workers=workers, region_of=ONE_REGION)
        before = {place.cell.name for place in at.endpoints({"s"}, "a")}
        workers.mark_suspect(worker("s0", "s", domain="a"))
        assert {place.cell.name for place in at.endpoints({"s"}, "a")} == before

    def test_starts_have_the_order_of_their_times(self) -> None:
        starts = [incarnation_by_age() >> 20 for _ in range(100)]
        assert starts == sorted(starts)
