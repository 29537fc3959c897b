"""Which gateway schedules a cell, as members join and leave."""

import asyncio
import time
from collections.abc import Mapping, Sequence

import pytest
from result import Ok

from trefoilpaddle.coordination.chain import chain_router, scheduler_links
from trefoilpaddle.coordination.chain.cell_schedulers import CellSchedulers
from trefoilpaddle.coordination.chain.chain_router import ChainRouter
from trefoilpaddle.coordination.chain.chain_wire import outcome_to_wire
from trefoilpaddle.coordination.chain.running_chain import running_chain
from trefoilpaddle.coordination.chain.scheduler_links import SchedulerLinks
from trefoilpaddle.protocol.ids import time_ordered_incarnation
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.cells import MAX_WORKERS_PER_CELL, Cell
from trefoilpaddle.state.chain.chain_work import (
    ChainCompleted,
    ChainFailed,
    ChainOutcome,
)
from trefoilpaddle.state.chain.piece_work import PieceFault, PieceOutcome, PieceWork
from trefoilpaddle.state.chain.repeat_budget import RepeatBudgets
from trefoilpaddle.state.chain.routes import RouteTable
from trefoilpaddle.state.chain.workers import Worker, WorkerTable
from trefoilpaddle.state.members import MemberRecord, MemberState
from trefoilpaddle.transport.connection import Address

from .fakes import (
    FakeCalls,
    budgets,
    journal,
    piece_service,
    process,
    result_of,
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
    """A connection whose peer last sent something at `last_received_s`."""

    def __init__(self, last_received_s: float) -> None:
        self.last_received_s = last_received_s


class FakeLink:
    """A link to a gateway that has sent something just now, or nothing at all."""

    def __init__(self, *, is_connected: bool) -> None:
        now_s = time.monotonic()
        self.connection = FakeConnection(now_s) if is_connected else None
        self.n_asked = 0

    async def ask(self, question: object, *, timeout_s: float) -> object:
        self.n_asked += 1
        await asyncio.sleep(timeout_s)
        raise AssertionError("the request was not cancelled")

    def send(self, message: object) -> bool:
        return True


class FakePeers:
    """Links to gateways, either all connected or none."""

    def __init__(self, *, is_connected: bool) -> None:
        self.only = FakeLink(is_connected=is_connected)

    def link(self, address: Address) -> FakeLink:
        return self.only


ONE_REGION = {"a": "north", "b": "north"}


def router(
    own_id: str,
    members: list[MemberRecord],
    *,
    is_connected: bool = True,
    workers: WorkerTable | None = None,
    region_of: Mapping[str, str] | None = None,
    repeats: RepeatBudgets | None = None,
) -> ChainRouter:
    if workers is None:
        workers = WorkerTable()
        workers.put(worker("s1", "s"))
    own = process(own_id)
    return ChainRouter(
        links=SchedulerLinks(
            own_id=own_id,
            live=lambda: members,
            peers=FakePeers(is_connected=is_connected),  # type: ignore[arg-type]
        ),
        schedulers=CellSchedulers(
            process=own,
            make=lambda _: scheduler(FakeCalls(), workers, RouteTable(), journal()),
        ),
        workers=workers,
        region_of=region_of or {},
        budgets=repeats or budgets(),
    )


def schedules_itself(at: ChainRouter) -> bool:
    (place,) = at.endpoints({"s"}, "here")
    return place.link is None


class TestRunAgain:
    async def run(
        self, faults: list[PieceFault], *, slack: float = 100.0
    ) -> tuple[ChainOutcome, FakeCalls]:
        def make(at: Worker, works: Sequence[PieceWork]) -> list[PieceOutcome]:
            if at.service == "t" and faults:
                return [faults.pop()] * len(works)
            return [result_of(at, each) for each in works]

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
        # The worker that keeps a result crashes while the next stage is queued. The
        # work of all preceding stages would be lost.
        end, calls = await self.run([PieceFault.INPUT_GONE])
        assert isinstance(end, ChainCompleted)
        n_first = sum(p.stage == 1 for batch in calls.batches for p in batch)
        assert n_first == 2

    async def test_a_chain_is_repeated_only_once(self) -> None:
        end, _ = await self.run([PieceFault.INPUT_GONE] * 5)
        assert end == ChainFailed(reason=Reason.RESULT_GONE, is_begun=True)

    async def test_a_chain_is_not_repeated_beyond_the_budget(self) -> None:
        end, _ = await self.run([PieceFault.INPUT_GONE], slack=0.0)
        assert end == ChainFailed(reason=Reason.RESULT_GONE, is_begun=True)


class TestRepeats:
    # Guards against repeats of one service that are spent on a chain which is not run
    # again, as another service has none left.
    def test_a_refused_repeat_costs_nothing(self) -> None:
        at = router("b", [member("b", 1)], repeats=budgets(slack=1.25, ratio=0.0))
        assert at.may_repeat({"exhausted"})
        assert not at.may_repeat({*"stuvwxyz", "exhausted"})
        assert at.may_repeat({*"stuvwxyz"})


class TestLinks:
    def test_former_starts_are_forgotten(self) -> None:
        # Gateways are replaced all the time, and each start has a new incarnation.
        members: list[MemberRecord] = []
        links = SchedulerLinks(
            own_id="b",
            live=lambda: members,
            peers=FakePeers(is_connected=True),  # type: ignore[arg-type]
        )
        cell = Cell(name="north", failure_domains=frozenset({"here"}))
        for number in range(1, 6):
            members[:] = [member("a", number), member("b", 9)]
            links.keep_links([cell])
        links.keep_links([cell])
        assert len(links._dialled_s) == 1


class AnsweringLink(FakeLink):
    """A link to a gateway that is silent and answers each request after `after_s`."""

    def __init__(self, *, after_s: float) -> None:
        super().__init__(is_connected=True)
        self.after_s = after_s

    async def ask(self, question: object, *, timeout_s: float) -> object:
        self.n_asked += 1
        await asyncio.sleep(self.after_s)
        return Ok(outcome_to_wire(COMPLETED))


COMPLETED = ChainCompleted(handles=("made",))


class TestPausedScheduler:
    async def run(
        self,
        link: FakeLink,
        monkeypatch: pytest.MonkeyPatch,
        *,
        slack: float = 100.0,
    ) -> ChainOutcome:
        """Run a chain whose scheduler is at the other end of `link`."""
        monkeypatch.setattr(scheduler_links, "SCHEDULER_TIMEOUT_S", 0.3)
        monkeypatch.setattr(chain_router, "LIVENESS_CHECK_PERIOD_S", 0.05)
        calls = FakeCalls()
        workers = WorkerTable()
        for name in "st":
            workers.put(worker(f"{name}1", name))
        routes = table(services=[piece_service("s"), piece_service("t")])
        own = process("b")
        peers = FakePeers(is_connected=True)
        peers.only = link
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
            budgets=budgets(slack=slack),
        )
        async with asyncio.timeout(2.0), running_chain(at, work()) as chain:
            return await chain.run()

    async def test_its_chains_are_run_again_elsewhere(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The scheduler's host freezes. Its connections stay open without any data; the
        # chains that it had admitted waited until their deadlines.
        silent = FakeLink(is_connected=True)
        end = await self.run(silent, monkeypatch)
        assert silent.n_asked == 1
        assert isinstance(end, ChainCompleted)

    # Guards against chains that are given up at a scheduler which goes on later, though
    # no repeat is left to run them elsewhere.
    async def test_its_chains_wait_for_it_without_a_repeat(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        paused = AnsweringLink(after_s=0.6)
        assert await self.run(paused, monkeypatch, slack=0.0) == COMPLETED
        assert paused.n_asked == 1

    # Guards against chains that wait for a scheduler whose connection has closed.
    async def test_its_chains_do_not_wait_once_it_has_gone(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        gone = FakeLink(is_connected=True)
        asyncio.get_running_loop().call_later(0.5, setattr, gone, "connection", None)
        end = await self.run(gone, monkeypatch, slack=0.0)
        assert end == ChainFailed(reason=Reason.PEER_SILENT, is_begun=True)


class TestScheduler:
    def test_the_oldest_gateway_schedules_the_cell(self) -> None:
        members = [member("a", 30), member("b", 10), member("c", 20)]
        assert schedules_itself(router("b", members))
        assert not schedules_itself(router("a", members))

    def test_a_restarted_gateway_does_not_take_the_cell_back(self) -> None:
        # Gateways are restarted one after another. Each that took its cell back began
        # without queues and reservations and admitted three times what could be done,
        # so that everything was late.
        members = [member("a", time_ordered_incarnation()), member("b", 1)]
        assert schedules_itself(router("b", members))

    def test_an_unresponsive_gateway_is_skipped(self) -> None:
        members = [member("a", 10), member("b", 20)]
        assert schedules_itself(router("b", members, is_connected=False))

    def test_gateways_of_other_domains_are_the_last_choice(self) -> None:
        far = member("a", 10, "far")
        assert schedules_itself(router("b", [far, member("b", 20)]))
        assert not schedules_itself(router("b", [far, member("b", 20, "far")]))

    def test_a_strong_host_is_preferred_to_an_older_gateway(self) -> None:
        # The processor limits of hosts differ by a factor of five. All stages of a
        # region depend on its scheduler; on a weak host it responds late under load,
        # and delays each chain of the region.
        members = [member("a", 10, millicores=387), member("b", 20, millicores=2150)]
        assert schedules_itself(router("b", members))
        assert not schedules_itself(router("a", members))

    def test_of_hosts_of_similar_strength_the_older_schedules(self) -> None:
        members = [member("a", 20, millicores=860), member("b", 10, millicores=817)]
        assert schedules_itself(router("b", members))

    def test_suspects_do_not_change_the_cells(self) -> None:
        # A region is just too large for one cell, and one of its workers does not
        # answer for a second. Meanwhile its chains were sent to a scheduler of the
        # whole region, next to those of the failure domains; both called the same
        # workers, and one call in five was refused by a full worker.
        workers = WorkerTable()
        for number in range(3 * MAX_WORKERS_PER_CELL // 2 + 1):
            workers.put(worker(f"s{number}", "s", domain="ab"[number % 2]))
        at = router("b", [member("b", 1)], workers=workers, region_of=ONE_REGION)
        before = {place.cell.name for place in at.endpoints({"s"}, "a")}
        workers.mark_suspect(worker("s0", "s", domain="a"))
        assert {place.cell.name for place in at.endpoints({"s"}, "a")} == before

    def test_incarnations_are_ordered_by_start_time(self) -> None:
        starts = [time_ordered_incarnation() >> 20 for _ in range(100)]
        assert starts == sorted(starts)
