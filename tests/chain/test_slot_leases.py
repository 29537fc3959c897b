"""Leases of a service's slots: what a gateway does when its home fails or is late.

The load is one service with two workers of four slots, in virtual time.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any, cast

import pytest
from result import Err, Ok, Result

from trefoilpaddle.coordination.chain.job import Job
from trefoilpaddle.coordination.chain.planned_stop import PlannedStop
from trefoilpaddle.coordination.chain.service_lease import (
    EARLY_PERIODS,
    GRANT_WAIT_S,
    LATE_CHECK_S,
    SHED_WINDOW_S,
    HeldSlot,
    PublishedSlots,
    ServiceLease,
)
from trefoilpaddle.coordination.chain.slot_home import SlotHome, report_period_s
from trefoilpaddle.coordination.chain.slot_leases import SlotLeases
from trefoilpaddle.protocol.errors import PeerError
from trefoilpaddle.protocol.frames import NEWEST_KIND, is_read_by
from trefoilpaddle.protocol.gen.chain.ttypes import AccountShare, SlotGrant, SlotReport
from trefoilpaddle.protocol.gen.stage.ttypes import Hello
from trefoilpaddle.state.chain.requests import Refused
from trefoilpaddle.state.chain.routes import Account, EngineService, Route
from trefoilpaddle.state.chain.slot_ledger import WARM_UP_S, capacity_of
from trefoilpaddle.state.chain.workers import WorkerTable
from trefoilpaddle.state.members import MemberRecord, MemberState
from trefoilpaddle.state.rendezvous import highest
from trefoilpaddle.transport.connection import Address
from trefoilpaddle.transport.link import Link

from .fakes import journal, process, request, route, table, worker
from .virtual_time import VirtualLoop, run_virtual

ONE_WAY_S = 0.002
WORK_S = 0.2
N_SLOTS = 8

Answer = Callable[[SlotReport], SlotGrant | None]


def contended(n_slots: float, *, n_gateways: int = 2) -> SlotGrant:
    """Return a grant of a service that is short of slots."""
    return SlotGrant(
        is_known=True,
        is_contended=True,
        total_milli=int(n_slots * 1000),
        level_milli=int(n_slots * 1000),
        n_gateways=n_gateways,
    )


def plentiful(n_slots: float) -> SlotGrant:
    """Return a grant of a service that has slots to spare."""
    return SlotGrant(is_known=True, total_milli=int(n_slots * 1000))


def silent(report: SlotReport) -> None:
    """Answer nothing."""


@dataclass
class Home:
    """Answers the reports of a lease; None as an answer takes the whole wait."""

    answer: Answer
    home_id: str = "home"
    reports: list[SlotReport] = field(default_factory=list)
    reported_s: list[float] = field(default_factory=list)

    async def ask(self, report: SlotReport) -> tuple[str, SlotGrant] | None:
        self.reports.append(report)
        self.reported_s.append(time.monotonic())
        grant = self.answer(report)
        if grant is None:
            await asyncio.sleep(GRANT_WAIT_S)
            return None
        await asyncio.sleep(ONE_WAY_S)
        return self.home_id, grant


@dataclass
class Gateway:
    """A lease, its home and the requests that it has served."""

    home: Home
    n_gateways: int = 2
    published: PublishedSlots | None = field(
        default_factory=lambda: PublishedSlots(n_slots=N_SLOTS, n_workers=2)
    )
    n_at_workers: int = 0
    most_at_workers: int = 0
    waited_s: list[float] = field(default_factory=list)
    refused: list[Refused] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.lease = ServiceLease(
            service="plain",
            may_grow=lambda: True,
            published=lambda: self.published,
            n_gateways=lambda: self.n_gateways,
            ask_home=self.home.ask,
            uses=dict,
            on_uses=lambda uses: None,
            journal=journal(),
        )

    async def serve(
        self, account: str = "a", *, work_s: float = WORK_S, **fields: Any
    ) -> None:
        """Hold a slot for a request as long as a worker runs it."""
        arrived_s = time.monotonic()
        async with self.lease.slot(job(account, **fields)) as held:
            match held:
                case Refused():
                    self.refused.append(held)
                case HeldSlot():
                    self.waited_s.append(time.monotonic() - arrived_s)
                    self.n_at_workers += 1
                    self.most_at_workers = max(self.most_at_workers, self.n_at_workers)
                    try:
                        await asyncio.sleep(work_s)
                        held.has_run = True
                    finally:
                        self.n_at_workers -= 1

    def send(
        self, n: int, account: str = "a", **fields: Any
    ) -> list[asyncio.Task[None]]:
        """Start a number of requests at once."""
        return [asyncio.create_task(self.serve(account, **fields)) for _ in range(n)]


def job(account: str = "a", *, deadline_s: float = 2.0, **fields: Any) -> Job:
    of_route: Route = route(**({"target_latency_s": 1.0} | fields))
    sent = request()
    return Job(
        request=sent,
        route=of_route,
        account=Account(name=account),
        service="plain",
        services={},
        deadline_s=sent.received_s + deadline_s,
        fingerprint="",
    )


@pytest.fixture
def virtually(
    monkeypatch: pytest.MonkeyPatch,
) -> Callable[[Callable[[], Awaitable[None]]], None]:
    """Return a function that plays a coroutine in virtual time."""

    def play(work: Callable[[], Awaitable[None]]) -> None:
        async def run() -> None:
            await work()

        run_virtual(monkeypatch, run())

    return play


Play = Callable[[Callable[[], Awaitable[None]]], None]


class TestFirstReport:
    def test_answers_before_it_are_not_counted_as_throughput(
        self, virtually: Play
    ) -> None:
        # Guards against a home that takes the answers of hours without contention for
        # those of a moment, and grants many times the capacity.
        async def play() -> None:
            gateway = Gateway(home=Home(lambda report: contended(4)))
            for _ in range(50):
                await gateway.serve()
            await asyncio.gather(*gateway.send(12))
            assert sum(report.n_answered for report in gateway.home.reports) <= 12

        virtually(play)


class TestDueTime:
    def test_a_caller_that_waits_less_than_the_target_is_refused_in_time(
        self, virtually: Play
    ) -> None:
        # Guards against requests that wait for a slot until their callers have left,
        # as the target latency of their route is longer than their deadline.
        async def play() -> None:
            gateway = Gateway(home=Home(lambda report: contended(0.01)))
            busy = gateway.send(5, work_s=5.0)
            await asyncio.sleep(WORK_S)
            began_s = time.monotonic()
            await gateway.serve(deadline_s=1.0, target_latency_s=10.0)
            assert len(gateway.refused) == 1
            assert time.monotonic() - began_s <= 1.0 + LATE_CHECK_S
            await asyncio.gather(*busy)

        virtually(play)


class TestStop:
    def test_requests_that_come_after_the_share_was_given_back_do_not_wait_for_ever(
        self, virtually: Play
    ) -> None:
        # Guards against a closed lease that checks its waiting requests no more,
        # although a stopping gateway accepts streams for some seconds.
        async def play() -> None:
            home = Home(lambda report: contended(0.01))
            gateway = Gateway(home=home, n_gateways=400)
            first = gateway.send(8)
            await asyncio.sleep(WORK_S / 2)
            for task in first:
                task.cancel()
            await asyncio.gather(*first, return_exceptions=True)
            await gateway.lease.leave()
            assert home.reports[-1].is_leaving
            busy = gateway.send(2, work_s=5.0)
            began_s = time.monotonic()
            await gateway.serve(deadline_s=1.0)
            assert time.monotonic() - began_s <= 1.0 + LATE_CHECK_S
            await asyncio.gather(*busy)

        virtually(play)


class TestHomeSilent:
    def test_accounts_get_even_shares(self, virtually: Play) -> None:
        # Guards against requests that wait for a grant until they are late.
        async def play() -> None:
            gateway = Gateway(home=Home(silent))
            await asyncio.gather(
                *gateway.send(30, deadline_s=9.0, target_latency_s=9.0)
            )
            assert gateway.refused == []
            assert max(gateway.waited_s[:6]) < 2 * GRANT_WAIT_S
            assert gateway.most_at_workers <= 7

        virtually(play)

    def test_reports_end_with_the_demand(self, virtually: Play) -> None:
        # Guards against a lease that reports for ever, and limits its accounts, once
        # its home has been silent.
        async def play() -> None:
            gateway = Gateway(home=Home(silent))
            await asyncio.gather(
                *gateway.send(12, deadline_s=9.0, target_latency_s=9.0)
            )
            await asyncio.sleep(10.0)
            n_reports = len(gateway.home.reports)
            await asyncio.sleep(10.0)
            assert len(gateway.home.reports) == n_reports
            assert not gateway.lease.line.share.is_contended

        virtually(play)


@dataclass
class Peer:
    """A link to another gateway that keeps a ledger, unless its build has none."""

    newest_kind: int = NEWEST_KIND
    is_silent: bool = False
    n_asked: int = 0
    last: SlotReport | None = None

    @property
    def peer(self) -> Hello:
        return Hello(newest_kind=self.newest_kind)

    async def ask(
        self, message: SlotReport, *, timeout_s: float
    ) -> Result[SlotGrant, PeerError]:
        self.n_asked += 1
        self.last = message
        if not is_read_by(self.peer, message):
            return Err(PeerError(step="send", peer="", detail="", is_sent=True))
        if self.is_silent:
            await asyncio.sleep(timeout_s)
            return Err(PeerError(step="wait", peer="", detail="", is_sent=True))
        return Ok(contended(3))


class OwnGateway:
    """A gateway with real leases among peers, which are played."""

    def __init__(self, *peers: Peer, own_millicores: int = 1000) -> None:
        self.peers = peers
        self.members = [member("own", millicores=own_millicores)]
        self.members += [member(f"p{n}") for n in range(len(peers))]
        self.live = tuple(self.members)
        own = process("own")
        for number, peer in enumerate(peers):
            address = Address(ip="127.0.0.1", port=number + 1)
            own.peers.links[address] = cast(Link, peer)
        workers = WorkerTable()
        for number in range(2):
            workers.put(worker(f"w{number}", n_slots=4))
        self.home = SlotHome(
            process=own, n_gateways=lambda: len(self.live), journal=journal()
        )
        self.leases = SlotLeases(
            process=own,
            live=lambda: self.live,
            workers=workers,
            home=self.home,
            uses=lambda service: {},
            on_uses=lambda service, uses: None,
            journal=journal(),
        )
        self.leases.activate(replace(table(), has_accounts=True))

    async def serve(self, account: str = "a", *, work_s: float = WORK_S) -> None:
        """Serve a request."""
        async with self.leases.slot(job(account)) as held:
            if isinstance(held, HeldSlot):
                await asyncio.sleep(work_s)
                held.has_run = True

    async def overload(self) -> None:
        """Send more requests than may run without a grant."""
        await asyncio.gather(*(self.serve(work_s=1.0) for _ in range(12)))

    @property
    def home_id(self) -> str:
        """Id of the gateway that has granted the present share."""
        ((_, lease),) = self.leases.leases()
        return lease.home_id


def member(name: str, *, millicores: int = 4000) -> MemberRecord:
    number = int(name[1:]) + 1 if name[1:].isdecimal() else 0
    return MemberRecord(
        process_id=name,
        incarnation=100 + number,
        address=f"127.0.0.1:{number}",
        role="gateway",
        failure_domain="here",
        region="",
        service="",
        target="",
        state=MemberState.LIVE,
        beat=1,
        millicores=millicores,
    )


class TestHomeOfEarlierBuild:
    def test_another_gateway_is_the_home(self, virtually: Play) -> None:
        # Guards against even shares for as long as a gateway of an earlier build runs.
        async def play() -> None:
            gateway = OwnGateway(Peer(newest_kind=100))
            serving = asyncio.create_task(gateway.overload())
            await asyncio.sleep(GRANT_WAIT_S + WARM_UP_S)
            assert gateway.home_id == "own"
            await serving
            assert gateway.peers[0].n_asked == 1

        virtually(play)

    def test_the_next_of_the_strongest_is_asked(self, virtually: Play) -> None:
        # Guards against gateways that each take themselves for the home.
        async def play() -> None:
            old, new = Peer(newest_kind=100), Peer()
            by_rank = highest("plain", ["p0", "p1"], n=2)
            peers = (old, new) if by_rank[0] == "p0" else (new, old)
            gateway = OwnGateway(*peers)
            serving = asyncio.create_task(gateway.overload())
            await asyncio.sleep(GRANT_WAIT_S + WARM_UP_S)
            assert gateway.home_id == by_rank[1]
            await serving

        virtually(play)


class TestDemandThatRises:
    def test_it_is_reported_at_once_in_a_large_fleet(self, virtually: Play) -> None:
        # Guards against requests that wait for the next report, 1.5 s later, although
        # nothing is contended and workers are idle.
        async def play() -> None:
            home = Home(lambda report: plentiful(8))
            gateway = Gateway(home=home, n_gateways=400)
            await asyncio.gather(*gateway.send(4, work_s=0.01))
            gateway.lease.hear_contention()
            await gateway.serve(work_s=0.3)
            home.answer = lambda report: plentiful(12)
            await asyncio.gather(*gateway.send(12, work_s=0.5))
            assert gateway.refused == []
            assert max(gateway.waited_s) < 0.1

        virtually(play)

    def test_reports_keep_a_distance(self, virtually: Play) -> None:
        # Guards against a message for each request.
        async def play() -> None:
            home = Home(lambda report: plentiful(0))
            gateway = Gateway(home=home, n_gateways=400)
            for _ in range(100):
                gateway.send(1, work_s=0.1)
                await asyncio.sleep(0.01)
            assert len(home.reports) <= 1.0 / (EARLY_PERIODS * report_period_s(400)) + 1

        virtually(play)


class TestGrantThatEnds:
    def test_a_gateway_that_was_paused_uses_its_even_share_until_it_is_answered(
        self, virtually: Play
    ) -> None:
        # Guards against a gateway that wakes and uses slots that the home has granted
        # to others meanwhile.
        async def play() -> None:
            home = Home(lambda report: contended(30, n_gateways=1))
            gateway = Gateway(home=home, n_gateways=4)
            await asyncio.gather(*gateway.send(9, work_s=0.1))
            assert gateway.most_at_workers == 9
            pause(2.0)
            home.answer = silent
            gateway.most_at_workers = 0
            tasks = gateway.send(20, deadline_s=9.0, target_latency_s=9.0)
            await asyncio.sleep(GRANT_WAIT_S / 2)
            assert 1 <= gateway.most_at_workers <= 12 / 4 + 1
            await asyncio.gather(*tasks)

        virtually(play)

    def test_it_is_used_until_then_though_the_home_is_lost(
        self, virtually: Play
    ) -> None:
        # Guards against even shares at each message that is lost.
        async def play() -> None:
            home = Home(lambda report: contended(30, n_gateways=1))
            gateway = Gateway(home=home, n_gateways=4)
            await asyncio.gather(*gateway.send(9, work_s=0.1))
            home.answer = silent
            await asyncio.sleep(GRANT_WAIT_S)
            await asyncio.gather(*gateway.send(9, work_s=0.1))
            assert gateway.lease.home_id == "home"
            assert max(gateway.waited_s[9:]) == 0.0

        virtually(play)


def pause(for_s: float) -> None:
    """Let virtual time pass without running anything."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    loop.pass_time(for_s)


class TestReportThatFails:
    def test_requests_start_without_a_grant(self, virtually: Play) -> None:
        # Guards against requests that wait until they are late, as no grant can come.
        async def play() -> None:
            def fail(report: SlotReport) -> None:
                raise OverflowError("int out of range")

            gateway = Gateway(home=Home(fail))
            await asyncio.gather(*gateway.send(12, work_s=1.5))
            assert gateway.refused == []
            assert len(gateway.waited_s) == 12

        virtually(play)


class TestServiceThatChanges:
    def test_slots_of_an_engine_that_was_a_plain_service_are_not_measured(
        self, virtually: Play
    ) -> None:
        # Guards against an engine that is taken to have more slots the longer its
        # requests take, as the service was a plain one before.
        async def play() -> None:
            peer = Peer()
            gateway = OwnGateway(peer)
            await gateway.overload()
            assert peer.last is not None and peer.last.may_grow
            engine = EngineService(name="plain", n_slots=4, cache_tokens=1)
            services = {"plain": engine}
            changed = replace(table(), has_accounts=True, services=services)
            gateway.leases.activate(changed)
            await asyncio.sleep(0.2)
            assert not peer.last.may_grow

        virtually(play)

    def test_a_home_measures_no_slots_once_they_are_those_of_an_engine(
        self, virtually: Play
    ) -> None:
        # Guards against a home that keeps the kind of the first report of a service.
        async def play() -> None:
            home = OwnGateway().home
            for may_grow in (True, False):
                report = SlotReport(
                    service_name="plain",
                    n_slots=8,
                    n_workers=2,
                    base_ms=1000,
                    n_answered=40,
                    may_grow=may_grow,
                )
                home.divide(report, "p0")
                ((_, division),) = home.divisions()
                assert (division.capacity > capacity_of(8, 2)) == may_grow
                await asyncio.sleep(0.1)

        virtually(play)

    def test_a_service_that_was_removed_is_no_longer_limited(
        self, virtually: Play
    ) -> None:
        # Guards against requests that wait for slots that nobody grants any more, and
        # against a lease that goes on reporting.
        async def play() -> None:
            gateway = OwnGateway()
            serving = asyncio.create_task(gateway.overload())
            await asyncio.sleep(0.5)
            gateway.leases.activate(replace(table(), has_accounts=True, services={}))
            await gateway.serve()
            await serving
            await asyncio.sleep(5.0)
            gateway.leases.activate(replace(table(), has_accounts=True, services={}))
            assert list(gateway.leases.leases()) == []
            assert len(asyncio.all_tasks()) == 1

        virtually(play)

    def test_nothing_waits_once_accounts_are_no_longer_published(
        self, virtually: Play
    ) -> None:
        # Guards against limits in a deployment without client accounts.
        async def play() -> None:
            gateway = OwnGateway()
            serving = asyncio.create_task(gateway.overload())
            await asyncio.sleep(0.5)
            gateway.leases.activate(table())
            began_s = time.monotonic()
            await gateway.serve()
            assert time.monotonic() - began_s == pytest.approx(WORK_S)
            await serving

        virtually(play)


class TestWorkersThatChange:
    def test_requests_start_when_the_slots_are_no_longer_known(
        self, virtually: Play
    ) -> None:
        # Guards against requests that wait although nothing may be limited.
        async def play() -> None:
            gateway = Gateway(home=Home(lambda report: contended(0.01)))
            tasks = gateway.send(12, work_s=0.9)
            await asyncio.sleep(0.05)
            gateway.published = None
            await asyncio.gather(*tasks)
            assert gateway.refused == []

        virtually(play)


class TestHomeLost:
    def test_the_next_one_is_asked(self, virtually: Play) -> None:
        # Guards against reports to a gateway that is no longer there.
        async def play() -> None:
            gateway = OwnGateway(Peer(), Peer())
            lost, following = highest("plain", ["p0", "p1"], n=2)
            serving = asyncio.create_task(gateway.overload())
            await asyncio.sleep(0.2)
            assert gateway.home_id == lost
            gateway.peers[int(lost[1:])].is_silent = True
            gateway.live = tuple(m for m in gateway.members if m.process_id != lost)
            await asyncio.sleep(2 * GRANT_WAIT_S)
            assert gateway.home_id == following
            await serving

        virtually(play)

    def test_the_weakest_gateway_becomes_the_home_of_last_resort(
        self, virtually: Play
    ) -> None:
        # Guards against a gateway that is alone and waits for a home.
        async def play() -> None:
            gateway = OwnGateway(Peer())
            gateway.live = tuple(gateway.members[:1])
            serving = asyncio.create_task(gateway.overload())
            await asyncio.sleep(2 * WARM_UP_S)
            assert gateway.home_id == "own"
            await serving

        virtually(play)


class TestLateAnswer:
    def test_one_of_before_a_pause_is_not_used(self, virtually: Play) -> None:
        # Guards against slots that were granted to others since the answer was given.
        async def play() -> None:
            home = Home(lambda report: contended(30, n_gateways=1))
            gateway = Gateway(home=home, n_gateways=4)
            tasks = gateway.send(12, work_s=9.0, deadline_s=20.0, target_latency_s=20.0)
            await asyncio.sleep(ONE_WAY_S / 2)
            assert len(home.reports) == 1
            pause(2.0)
            home.answer = silent
            await asyncio.sleep(GRANT_WAIT_S)
            assert gateway.lease.home_id == ""
            assert gateway.lease.line.share.n_slots == pytest.approx(12 / 4)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        virtually(play)


class TestGivingBack:
    def test_a_stopping_gateway_without_requests_gives_its_share_back(
        self, virtually: Play
    ) -> None:
        # Guards against slots that stay idle until the report of a gateway that has
        # stopped ends.
        async def play() -> None:
            gateway = OwnGateway(Peer())
            stop = PlannedStop(grace_s=8.0)
            giving = asyncio.create_task(gateway.leases.give_back(stop))
            await gateway.overload()
            stop.order()
            await asyncio.sleep(0.5)
            (peer,) = gateway.peers
            assert peer.last is not None and peer.last.is_leaving
            n_asked = peer.n_asked
            await asyncio.sleep(5.0)
            assert peer.n_asked == n_asked
            giving.cancel()

        virtually(play)

    def test_it_is_kept_while_requests_run(self, virtually: Play) -> None:
        # Guards against requests of a stopping gateway that nobody counts.
        async def play() -> None:
            gateway = OwnGateway(Peer())
            stop = PlannedStop(grace_s=8.0)
            giving = asyncio.create_task(gateway.leases.give_back(stop))
            serving = asyncio.create_task(gateway.overload())
            await asyncio.sleep(0.2)
            stop.order()
            await asyncio.sleep(0.3)
            (peer,) = gateway.peers
            assert peer.last is not None and not peer.last.is_leaving
            await serving
            await asyncio.sleep(0.3)
            assert peer.last.is_leaving
            giving.cancel()

        virtually(play)

    def test_nothing_runs_on_after_the_close(self, virtually: Play) -> None:
        # Guards against a process that is kept alive by tasks of its leases.
        async def play() -> None:
            gateway = OwnGateway(Peer())
            serving = asyncio.create_task(gateway.overload())
            await asyncio.sleep(0.2)
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)
            gateway.leases.close()
            await asyncio.sleep(0.0)
            await asyncio.sleep(0.0)
            assert len(asyncio.all_tasks()) == 1

        virtually(play)


class TestCallersThatLeave:
    def test_one_that_waits_leaves_no_trace(self, virtually: Play) -> None:
        # Guards against places of callers that have left, which count as demand.
        async def play() -> None:
            gateway = Gateway(home=Home(lambda report: contended(0.01)))
            tasks = gateway.send(12, work_s=0.5)
            await asyncio.sleep(0.1)
            assert gateway.lease.line.n_waiting
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            assert gateway.lease.is_idle

        virtually(play)

    def test_one_that_leaves_just_as_it_starts_frees_its_slot(
        self, virtually: Play
    ) -> None:
        # Guards against a slot that is assigned to a caller that has just left, and
        # is never freed.
        async def play() -> None:
            gateway = Gateway(home=Home(silent))
            first = gateway.send(5, work_s=0.1)
            (waiting,) = gateway.send(1)
            await asyncio.sleep(0.05)
            lease = gateway.lease
            assert lease.line.n_waiting == 1
            lease.line.free_limit = 6.0
            lease._start_waiting()
            assert lease.line.n_running == 6
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            assert lease.line.n_running == 5
            await asyncio.gather(*first)
            assert lease.is_idle

        virtually(play)

    def test_one_that_leaves_just_before_it_would_start_frees_its_slot(
        self, virtually: Play
    ) -> None:
        # The same, with the events the other way round.
        async def play() -> None:
            gateway = Gateway(home=Home(silent))
            first = gateway.send(5, work_s=0.1)
            (waiting,) = gateway.send(1)
            await asyncio.sleep(0.05)
            lease = gateway.lease
            waiting.cancel()
            lease.line.free_limit = 6.0
            lease._start_waiting()
            await asyncio.gather(waiting, return_exceptions=True)
            assert lease.line.n_running == 5
            await asyncio.gather(*first)
            assert lease.is_idle

        virtually(play)

    def test_a_worker_that_fails_frees_the_slot(self, virtually: Play) -> None:
        # Guards against slots that are lost with exceptions.
        async def play() -> None:
            gateway = Gateway(home=Home(silent))
            with pytest.raises(ConnectionError):
                async with gateway.lease.slot(job()):
                    raise ConnectionError
            assert gateway.lease.is_idle

        virtually(play)


class TestWorkersThatShed:
    async def shed(self, gateway: Gateway, *worker_ids: str) -> list[int]:
        """Let workers turn a request away; return the sheds that were reported."""
        async with gateway.lease.slot(job()) as held:
            assert isinstance(held, HeldSlot)
            held.shed_by += worker_ids
        await asyncio.sleep(0.01)
        return [report.n_sheds for report in gateway.home.reports]

    def test_they_are_reported_at_once(self, virtually: Play) -> None:
        # Guards against a home that hears of overrun workers with the next contention.
        async def play() -> None:
            gateway = Gateway(home=Home(lambda report: plentiful(8)))
            assert await self.shed(gateway, "w0", "w1") == [2]

        virtually(play)

    def test_a_single_one_is_not_taken_for_a_service_that_is_overrun(
        self, virtually: Play
    ) -> None:
        # Guards against one worker that turns all away, for which the capacity of all
        # shrinks to a third.
        async def play() -> None:
            gateway = Gateway(home=Home(lambda report: plentiful(8)))
            for _ in range(20):
                assert await self.shed(gateway, "w0") == []
            await asyncio.sleep(SHED_WINDOW_S)
            assert await self.shed(gateway, "w1") == []

        virtually(play)

    def test_the_only_one_is_reported(self, virtually: Play) -> None:
        # Guards against an overrun worker that nothing relieves, as it is alone.
        async def play() -> None:
            slots = PublishedSlots(n_slots=4, n_workers=1)
            gateway = Gateway(home=Home(lambda report: plentiful(8)), published=slots)
            assert await self.shed(gateway, "w0") == [1]

        virtually(play)


class TestLightLoad:
    def test_it_costs_no_message(self, virtually: Play) -> None:
        # Guards against messages without contention, and against a deployment that
        # serves its requests later than without shares.
        async def play() -> None:
            gateway = Gateway(home=Home(silent))
            for _ in range(20):
                await asyncio.gather(*gateway.send(2))
            assert gateway.home.reports == []
            assert set(gateway.waited_s) == {0.0}

        virtually(play)

    def test_what_is_announced_is_reported_while_there_are_requests(
        self, virtually: Play
    ) -> None:
        # Guards against gateways with little traffic whose part is granted to others.
        async def play() -> None:
            home = Home(lambda report: contended(2))
            gateway = Gateway(home=home)
            gateway.lease.hear_contention()
            await asyncio.sleep(0.5)
            assert home.reports == []
            await gateway.serve()
            assert len(home.reports) > 1
            home.answer = lambda report: plentiful(8)
            await asyncio.sleep(4.0)
            n_reports = len(home.reports)
            await asyncio.sleep(4.0)
            assert len(home.reports) == n_reports

        virtually(play)

    def test_unknown_slots_limit_nothing(self, virtually: Play) -> None:
        # Guards against limits where the slots of workers are not published.
        async def play() -> None:
            gateway = Gateway(home=Home(silent), published=None)
            await asyncio.gather(*gateway.send(100))
            assert gateway.most_at_workers == 100
            assert gateway.home.reports == []

        virtually(play)


class TestClumpOfRequests:
    def test_none_is_refused_while_workers_are_idle(self, virtually: Play) -> None:
        # Guards against requests that are refused as late by the few that a gateway
        # may send without a grant, 2 ms before it is granted all that is spare.
        async def play() -> None:
            slots = PublishedSlots(n_slots=24, n_workers=6)
            home = Home(lambda report: plentiful(24))
            gateway = Gateway(home=home, published=slots, n_gateways=20)
            await gateway.serve()
            await asyncio.gather(*gateway.send(24))
            assert gateway.refused == []
            assert max(gateway.waited_s) == pytest.approx(ONE_WAY_S)

        virtually(play)


class TestAccountThatWasSilent:
    def test_its_requests_wait_for_the_next_grant(self, virtually: Play) -> None:
        # Guards against an account within its share whose requests are refused at
        # once, as it has sent nothing to this gateway before the last report.
        async def play() -> None:
            def answer(report: SlotReport) -> SlotGrant:
                grant = contended(12, n_gateways=1)
                grant.shares = [
                    AccountShare(account=one.account, share_milli=one.n_waiting * 2000)
                    for one in report.accounts
                ]
                return grant

            gateway = Gateway(home=Home(answer), n_gateways=1)
            await gateway.serve("quiet")
            busy = gateway.send(30, "busy", work_s=0.9)
            await asyncio.sleep(0.35)
            n_refused = len(gateway.refused)
            await asyncio.gather(*gateway.send(5, "quiet"))
            assert len(gateway.refused) == n_refused
            await asyncio.gather(*busy)

        virtually(play)
