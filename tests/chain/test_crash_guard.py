"""Which requests are kept from workers, by which gateways, and who is spared."""

import asyncio
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest
from result import Ok

from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.crash_registry import Crash, CrashStatus
from trefoilpaddle.state.chain.exit_rate import MAX_ATTRIBUTED_EXITS
from trefoilpaddle.state.chain.piece_work import PieceFault, PieceOutcome, PieceResult
from trefoilpaddle.state.chain.worker_runs import RunOutcome
from trefoilpaddle.state.journal import Event

from ..waiting import until
from .crash_fleet import CrashFleet, crash_fleet
from .test_piece_queue import piece

GUILTY = "a" * 32
INNOCENT = "b" * 32


async def crash_three(fleet: CrashFleet) -> None:
    """Let a request crash three workers, each at another gateway's request."""
    for number in range(3):
        await fleet.run_at(number, f"w{number}", GUILTY, RunOutcome.BROKEN)
        await until(lambda: len(fleet.standings(GUILTY)) == 1)


class TestBlame:
    async def test_all_gateways_know_after_the_third_crash(self) -> None:
        # Each crash is seen by another gateway, and the next attempt reaches any.
        async with crash_fleet() as fleet:
            await crash_three(fleet)
            await until(lambda: fleet.standings(GUILTY) == {CrashStatus.BLOCKED})
            refusal = fleet.every[-1].guard.refusal(GUILTY)
        assert refusal is not None
        assert refusal.reason is Reason.CRASHES_WORKERS

    async def test_one_sent_at_once_from_two_gateways_is_found(self) -> None:
        async with crash_fleet() as fleet:
            for first in (0, 2, 4):
                await asyncio.gather(
                    fleet.run_at(0, f"w{first}", GUILTY, RunOutcome.BROKEN),
                    fleet.run_at(1, f"w{first + 1}", GUILTY, RunOutcome.BROKEN),
                )
                await asyncio.sleep(0.05)
            assert fleet.standings(GUILTY) == {CrashStatus.BLOCKED}

    async def test_a_worker_that_comes_back_under_its_id_counts_each_time(self) -> None:
        async with crash_fleet() as fleet:
            for _ in range(3):
                await fleet.run_at(0, "w0", GUILTY, RunOutcome.BROKEN)
                fleet.start_again("w0")
            assert fleet.every[0].book.status(GUILTY) is CrashStatus.BLOCKED

    async def test_a_caller_that_leaves_before_each_crash_is_found(self) -> None:
        # Its gateway has closed the connection; another saw the worker end.
        async with crash_fleet() as fleet:
            for number in range(3):
                await fleet.run_at(0, f"w{number}", GUILTY, RunOutcome.LEFT)
                await fleet.run_at(1, f"w{number}", f"{number}" * 32, RunOutcome.BROKEN)
                await asyncio.sleep(0.05)
            await until(lambda: fleet.standings(GUILTY) == {CrashStatus.BLOCKED})


class TestInnocents:
    async def test_one_that_ends_well_after_crashes_beside_it_is_cleared(self) -> None:
        # It was sent on to the next worker together with the one that crashes them.
        async with crash_fleet() as fleet:
            for worker_id in ("w0", "w1"):
                await asyncio.gather(
                    fleet.run_at(0, worker_id, GUILTY, RunOutcome.BROKEN),
                    fleet.run_at(1, worker_id, INNOCENT, RunOutcome.BROKEN),
                )
                await asyncio.sleep(0.05)
            assert fleet.standings(INNOCENT) == {CrashStatus.SUSPECT}
            await fleet.run_at(2, "w5", INNOCENT, RunOutcome.ANSWERED)
            await until(lambda: fleet.standings(INNOCENT) == {CrashStatus.CLEAR})
            assert fleet.standings(GUILTY) == {CrashStatus.SUSPECT}

    async def test_a_popular_request_bears_the_loss_of_all_workers(self) -> None:
        # It runs everywhere at all times; its workers lose their power three times.
        async with crash_fleet() as fleet:
            for _ in range(3):
                await asyncio.gather(
                    *(
                        fleet.run_at(
                            number % 8, f"w{number}", INNOCENT, RunOutcome.BROKEN
                        )
                        for number in range(9)
                    )
                )
                await asyncio.sleep(0.05)
                assert fleet.standings(INNOCENT) == {CrashStatus.WATCHED}
                for number in range(9):
                    fleet.start_again(f"w{number}")
                await fleet.run_at(0, "w0", INNOCENT, RunOutcome.ANSWERED)
                await asyncio.sleep(0.05)

    async def test_crashes_without_a_common_request_block_nobody(self) -> None:
        async with crash_fleet() as fleet:
            for number in range(9):
                await fleet.run_at(0, f"w{number}", f"{number}" * 32, RunOutcome.BROKEN)
            await asyncio.sleep(0.05)
            blamed = [f for g in fleet.every for f in g.book.fingerprints()]
            standings = [fleet.standings(f) for f in blamed]
        assert all(each == {CrashStatus.WATCHED} for each in standings)


class TestApart:
    async def test_a_suspect_runs_once_at_a_time(self) -> None:
        async with crash_fleet() as fleet:
            for number in range(2):
                await fleet.run_at(0, f"w{number}", GUILTY, RunOutcome.BROKEN)
                await asyncio.sleep(0.05)
            at = fleet.every[1].workers.get("w5")
            assert at is not None
            with fleet.every[1].guard.running(at, GUILTY) as run:
                await until(lambda: fleet.every[5].guard.isolating_workers() == {"w5"})
                refusal = fleet.every[5].guard.refusal(GUILTY)
                run.end = RunOutcome.NOT_RUN
            assert refusal is not None
            assert refusal.reason is Reason.RUNS_APART
            assert refusal.retry_after_s > 0
            await until(lambda: not fleet.every[5].guard.isolating_workers())
            assert fleet.every[5].guard.refusal(GUILTY) is None

    async def test_a_suspect_whose_answer_broke_waits_for_the_look_at_its_worker(
        self,
    ) -> None:
        # Sent on before it is known that the worker is gone, it crashes one more.
        async with crash_fleet() as fleet:
            for number in range(2):
                await fleet.run_at(0, f"w{number}", GUILTY, RunOutcome.BROKEN)
            guard = fleet.every[0].guard
            at = fleet.every[0].workers.get("w5")
            assert at is not None
            with guard.running(at, GUILTY) as run:
                run.end = RunOutcome.BROKEN
            assert guard.is_running(GUILTY)
            await guard.wait_for_exit_check(at)
            await until(lambda: not guard.is_running(GUILTY))


class TestCalls:
    @pytest.mark.parametrize(
        ("end", "standing"),
        [
            (PieceResult(handle="h", worker_id="w1"), CrashStatus.CLEAR),
            (PieceFault.FAILED, CrashStatus.CLEAR),
            (PieceFault.LATE, CrashStatus.WATCHED),
            (PieceFault.NO_MEMORY, CrashStatus.WATCHED),
            (PieceFault.INPUT_GONE, CrashStatus.WATCHED),
        ],
    )
    async def test_a_piece_that_was_not_begun_clears_nobody(
        self, end: PieceOutcome, standing: CrashStatus
    ) -> None:
        # A worker turns the piece away that crashed another one.
        async with crash_fleet() as fleet:
            await fleet.run_at(0, "w0", GUILTY, RunOutcome.BROKEN)
            gateway = fleet.every[0]
            at = gateway.workers.get("w1")
            assert at is not None
            works = [piece("r", due_s=1.0, fingerprint=GUILTY)]
            with gateway.guard.running_call(at, works) as call:
                call.take(Ok([end]))
            assert gateway.book.status(GUILTY) is standing


class TestWhoKnows:
    async def test_a_gateway_that_starts_learns_it(self) -> None:
        async with crash_fleet() as fleet:
            new = fleet.every[4]
            links = [
                link
                for gateway in fleet.every
                for link in gateway.links
                if link.address == new.address
            ]
            for link in links:
                link.connection = None
            for number in range(3):
                await fleet.run_at(number, f"w{number}", GUILTY, RunOutcome.BROKEN)
                await asyncio.sleep(0.05)
            assert new.book.status(GUILTY) is CrashStatus.CLEAR
            links[0].connection = SimpleNamespace()
            await until(lambda: new.book.status(GUILTY) is CrashStatus.BLOCKED)

    async def test_what_one_missed_the_clearing_of_does_not_come_back(self) -> None:
        # A gateway that was cut off tells the others of a request that is cleared.
        async with crash_fleet() as fleet:
            await fleet.run_at(0, "w0", INNOCENT, RunOutcome.BROKEN)
            await asyncio.sleep(0.05)
            away = fleet.every[4]
            into = [g for g in fleet.every if g is not away]
            links = [k for g in into for k in g.links if k.address == away.address]
            for link in (*links, *away.links):
                link.connection = None
            await fleet.run_at(0, "w5", INNOCENT, RunOutcome.ANSWERED)
            await asyncio.sleep(0.05)
            assert fleet.standings(INNOCENT) == {CrashStatus.CLEAR, CrashStatus.WATCHED}
            for link in (*links, *away.links):
                link.connection = SimpleNamespace()
            await until(lambda: fleet.standings(INNOCENT) == {CrashStatus.CLEAR})

    async def test_requests_that_harm_nobody_cost_no_message(self) -> None:
        async with crash_fleet() as fleet:
            for number in range(50):
                end = RunOutcome.ANSWERED if number % 2 else RunOutcome.SILENT
                await fleet.run_at(number % 8, "w0", f"{number:032x}", end)
            await asyncio.sleep(0.05)
            assert fleet.n_messages == 0

    async def test_a_crash_costs_each_gateway_few_messages(self) -> None:
        # Sixty requests run at the worker; what is told of them goes out together.
        async with crash_fleet() as fleet:
            await asyncio.gather(
                *(
                    fleet.run_at(n % 8, "w0", f"{n:032x}", RunOutcome.BROKEN)
                    for n in range(60)
                )
            )
            await asyncio.sleep(0.2)
            assert len(fleet.every[0].book) == 60
            assert fleet.n_messages <= 8 * 4 * 5

    async def test_the_loss_of_a_failure_domain_floods_no_news(self) -> None:
        # What ran at each of its workers went to every gateway, one link after another.
        async with crash_fleet(n_workers=60) as fleet:
            await asyncio.gather(
                *(
                    fleet.run_at(n % 8, f"w{n % 60}", f"{n:032x}", RunOutcome.BROKEN)
                    for n in range(600)
                )
            )
            await asyncio.sleep(0.2)
            n_known = max(len(gateway.book) for gateway in fleet.every)
        assert n_known <= 10 * MAX_ATTRIBUTED_EXITS


class TestLog:
    async def test_one_line_names_the_crashes_that_decided_it(self) -> None:
        async with crash_fleet() as fleet:
            await crash_three(fleet)
            last = fleet.every[-1]
            await until(lambda: last.book.status(GUILTY) is CrashStatus.BLOCKED)
            (line,) = [
                record.decision
                for record in last.notes.recent()
                if record.decision.event is Event.REQUEST_BLOCKED
            ]
        assert all(worker_id in line.detail for worker_id in ("w0", "w1", "w2"))
        assert GUILTY in line.detail


class TestOldNews:
    async def test_an_end_of_hours_ago_blames_nobody_at_its_worker_now(self) -> None:
        # A worker that tells no starts is back under its id; a link that opens brings
        # what is remembered of it.
        async with crash_fleet() as fleet:
            gateway = fleet.every[0]
            await fleet.run_at(0, "w0", INNOCENT, RunOutcome.SILENT)
            hours_ago_s = time.monotonic() - 7200.0
            gateway.guard.receive_crash(
                GUILTY, Crash(worker_id="w0", born_ms=1, level=1, ended_s=hours_ago_s)
            )
            assert gateway.book.status(GUILTY) is CrashStatus.WATCHED
            assert gateway.book.status(INNOCENT) is CrashStatus.CLEAR


class TestRestartedWorker:
    async def test_a_start_that_peers_know_first_blames_nobody_there(self) -> None:
        # A peer's word on the start before says nothing of runs at the present one.
        async with crash_fleet() as fleet:
            gateway = fleet.every[4]
            known = gateway.workers.get("w0")
            assert known is not None
            gateway.workers.put(replace(known, born_ms=2))
            await fleet.run_at(4, "w0", INNOCENT, RunOutcome.SILENT)
            await fleet.run_at(0, "w0", GUILTY, RunOutcome.BROKEN)
            await until(lambda: fleet.standings(GUILTY) == {CrashStatus.WATCHED})
            assert fleet.standings(INNOCENT) == {CrashStatus.CLEAR}
