"""Which requests are kept from workers by which gateways, and which are not."""

import asyncio
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest
from result import Ok

from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.crash_registry import Crash, CrashStatus
from trefoilpaddle.state.chain.exit_rate import MAX_ATTRIBUTED_EXITS
from trefoilpaddle.state.chain.fingerprint import part_fingerprint
from trefoilpaddle.state.chain.piece_work import PieceFault, PieceOutcome, PieceResult
from trefoilpaddle.state.chain.worker_runs import RunOutcome
from trefoilpaddle.state.journal import Event

from ..waiting import until
from .crash_fleet import CrashFleet, crash_fleet
from .test_piece_queue import piece

GUILTY = "a" * 32
INNOCENT = "b" * 32
BAD_PART, OTHER_PART = map(part_fingerprint, ("bad", "other"))


async def crash_three(fleet: CrashFleet) -> None:
    """Let a request crash three workers, each sent by another gateway."""
    for number in range(3):
        await fleet.run_at(number, f"w{number}", GUILTY, RunOutcome.BROKEN)
        await until(lambda: len(fleet.statuses(GUILTY)) == 1)


class TestBlame:
    async def test_all_gateways_know_after_the_third_crash(self) -> None:
        # Each crash is observed by another gateway; the next attempt may reach any.
        async with crash_fleet() as fleet:
            await crash_three(fleet)
            await until(lambda: fleet.statuses(GUILTY) == {CrashStatus.BLOCKED})
            refusal = fleet.every[-1].guard.refusal(GUILTY)
        assert refusal is not None
        assert refusal.reason is Reason.CRASHES_WORKERS

    async def test_a_request_sent_by_two_gateways_at_once_is_blocked(self) -> None:
        async with crash_fleet() as fleet:
            for first in (0, 2, 4):
                await asyncio.gather(
                    fleet.run_at(0, f"w{first}", GUILTY, RunOutcome.BROKEN),
                    fleet.run_at(1, f"w{first + 1}", GUILTY, RunOutcome.BROKEN),
                )
                await asyncio.sleep(0.05)
            assert fleet.statuses(GUILTY) == {CrashStatus.BLOCKED}

    async def test_each_crash_of_a_restarted_worker_id_counts(self) -> None:
        async with crash_fleet() as fleet:
            for _ in range(3):
                await fleet.run_at(0, "w0", GUILTY, RunOutcome.BROKEN)
                fleet.restart("w0")
            assert fleet.every[0].book.status(GUILTY) is CrashStatus.BLOCKED

    async def test_a_request_whose_caller_leaves_before_crashes_is_blocked(
        self,
    ) -> None:
        # Its gateway has closed the connection; another one observed the crash.
        async with crash_fleet() as fleet:
            for number in range(3):
                await fleet.run_at(0, f"w{number}", GUILTY, RunOutcome.LEFT)
                await fleet.run_at(1, f"w{number}", f"{number}" * 32, RunOutcome.BROKEN)
                await asyncio.sleep(0.05)
            await until(lambda: fleet.statuses(GUILTY) == {CrashStatus.BLOCKED})


class TestInnocents:
    async def test_an_answered_request_is_cleared_of_crashes(self) -> None:
        # It was retried at the same workers as the request that crashes them.
        async with crash_fleet() as fleet:
            for worker_id in ("w0", "w1"):
                await asyncio.gather(
                    fleet.run_at(0, worker_id, GUILTY, RunOutcome.BROKEN),
                    fleet.run_at(1, worker_id, INNOCENT, RunOutcome.BROKEN),
                )
                await asyncio.sleep(0.05)
            assert fleet.statuses(INNOCENT) == {CrashStatus.SUSPECT}
            await fleet.run_at(2, "w5", INNOCENT, RunOutcome.ANSWERED)
            await until(lambda: fleet.statuses(INNOCENT) == {CrashStatus.CLEAR})
            assert fleet.statuses(GUILTY) == {CrashStatus.SUSPECT}

    async def test_a_popular_request_survives_the_loss_of_all_workers(self) -> None:
        # It always runs at all workers; these lose power three times.
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
                assert fleet.statuses(INNOCENT) == {CrashStatus.WATCHED}
                for number in range(9):
                    fleet.restart(f"w{number}")
                await fleet.run_at(0, "w0", INNOCENT, RunOutcome.ANSWERED)
                await asyncio.sleep(0.05)

    async def test_crashes_without_a_common_request_block_none(self) -> None:
        async with crash_fleet() as fleet:
            for number in range(9):
                await fleet.run_at(0, f"w{number}", f"{number}" * 32, RunOutcome.BROKEN)
            await asyncio.sleep(0.05)
            blamed = [f for g in fleet.every for f in g.book.fingerprints()]
            statuses = [fleet.statuses(f) for f in blamed]
        assert all(each == {CrashStatus.WATCHED} for each in statuses)


class TestParts:
    """A part of a prompt, in requests that are never the same."""

    async def crash(
        self, fleet: CrashFleet, number: int, parts: tuple[str, ...]
    ) -> None:
        """Let a new request crash a worker; wait until all gateways know of it."""
        request = f"{number:032x}"
        await fleet.run_at(number % 8, f"w{number}", request, RunOutcome.BROKEN, parts)
        await until(lambda: all(request in g.book.fingerprints() for g in fleet.every))

    def refusals(self, fleet: CrashFleet, *parts: str) -> set[Reason | None]:
        """Return how the gateways refuse a new request with these parts."""
        refusals = [each.guard.refusal("d" * 32, parts) for each in fleet.every]
        return {None if each is None else each.reason for each in refusals}

    async def test_all_gateways_refuse_it_after_three_crashes(self) -> None:
        async with crash_fleet() as fleet:
            for number in range(3):
                await self.crash(
                    fleet, number, (BAD_PART, f"{OTHER_PART[:-1]}{number}")
                )
            assert self.refusals(fleet, BAD_PART) == {Reason.CRASHES_WORKERS}
            assert self.refusals(fleet, OTHER_PART) == {None}

    # Guards against sound requests that are refused for a part that only ever came
    # together with the bad one.
    async def test_of_two_that_came_together_each_runs_alone(self) -> None:
        async with crash_fleet() as fleet:
            for number in range(3):
                await self.crash(fleet, number, (OTHER_PART, BAD_PART))
            both = self.refusals(fleet, OTHER_PART, BAD_PART)
            assert both == {Reason.CRASHES_WORKERS}
            assert self.refusals(fleet, OTHER_PART) == {None}
            await self.crash(fleet, 3, (BAD_PART,))
            refused = {Reason.CRASHES_WORKERS}
            await until(lambda: self.refusals(fleet, BAD_PART) == refused)
            assert self.refusals(fleet, OTHER_PART) == {None}

    async def test_a_good_end_clears_a_part_at_all_gateways(self) -> None:
        async with crash_fleet() as fleet:
            for number in range(2):
                await self.crash(fleet, number, (OTHER_PART,))
            await fleet.run_at(5, "w8", "c" * 32, RunOutcome.ANSWERED, (OTHER_PART,))
            await until(lambda: fleet.statuses(OTHER_PART) == {CrashStatus.CLEAR})
            await self.crash(fleet, 2, (OTHER_PART,))
            assert self.refusals(fleet, OTHER_PART) == {None}

    # Guards against a bad part that is cleared by workers that fail before they begin.
    @pytest.mark.parametrize(
        "end", [RunOutcome.FAILED, RunOutcome.NOT_RUN, RunOutcome.LEFT]
    )
    async def test_no_other_end_clears_a_part(self, end: RunOutcome) -> None:
        async with crash_fleet() as fleet:
            for number in range(3):
                await self.crash(fleet, number, (BAD_PART,))
                await fleet.run_at(number, "w8", "c" * 32, end, (BAD_PART,))
            assert self.refusals(fleet, BAD_PART) == {Reason.CRASHES_WORKERS}

    async def test_a_crash_reported_after_a_good_end_is_cleared(self) -> None:
        async with crash_fleet() as fleet:
            guard = fleet.every[0].guard
            before_s = time.monotonic()
            await fleet.run_at(0, "w8", "c" * 32, RunOutcome.ANSWERED, (OTHER_PART,))
            for level in range(1, 4):
                crash = Crash(
                    worker_id=f"w{level}", born_ms=1, level=level, ended_s=before_s
                )
                guard.receive_crash(OTHER_PART, crash)
            assert fleet.every[0].book.status(OTHER_PART) is CrashStatus.CLEAR

    # Guards against a log that names a part of a prompt as a request.
    async def test_no_part_is_logged_as_a_request(self) -> None:
        async with crash_fleet() as fleet:
            for number in range(3):
                await self.crash(fleet, number, (OTHER_PART, BAD_PART))
            await fleet.run_at(5, "w8", "c" * 32, RunOutcome.ANSWERED, (OTHER_PART,))
            await until(lambda: fleet.statuses(OTHER_PART) == {CrashStatus.CLEAR})
            assert fleet.statuses(BAD_PART) == {CrashStatus.BLOCKED}
            events = [
                record.decision.event
                for gateway in fleet.every
                for record in gateway.notes.recent()
            ]
        assert Event.PART_CLEARED in events
        assert Event.REQUEST_BLOCKED not in events

    async def test_an_operator_clears_a_part(self) -> None:
        async with crash_fleet() as fleet:
            for number in range(3):
                await self.crash(fleet, number, (BAD_PART,))
            assert fleet.every[3].guard.unblock(BAD_PART)
            await until(lambda: self.refusals(fleet, BAD_PART) == {None})

    # Guards against a request that an operator lets run, and that stays blocked for its
    # parts, which only it had excused.
    async def test_an_operator_clears_a_request_with_its_parts(self) -> None:
        async with crash_fleet() as fleet:
            for number in range(3):
                await fleet.run_at(
                    number, f"w{number}", GUILTY, RunOutcome.BROKEN, (OTHER_PART,)
                )
                await until(lambda: len(fleet.statuses(GUILTY)) == 1)
            assert self.refusals(fleet, OTHER_PART) == {None}
            assert fleet.every[0].guard.unblock(GUILTY)
            await until(lambda: fleet.statuses(GUILTY) == {CrashStatus.CLEAR})
            assert self.refusals(fleet, OTHER_PART) == {None}

    async def test_one_log_line_names_the_crashes_and_other_causes(self) -> None:
        async with crash_fleet() as fleet:
            for number in range(3):
                await self.crash(fleet, number, (OTHER_PART, BAD_PART))
            lines = [
                record.decision.detail
                for record in fleet.every[-1].notes.recent()
                if record.decision.event is Event.PART_BLOCKED
            ]
        assert len(lines) == 2
        assert all(worker_id in lines[0] for worker_id in ("w0", "w1", "w2"))
        assert all(part in line for line in lines for part in (OTHER_PART, BAD_PART))


class TestIsolation:
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

    async def test_a_suspect_waits_until_its_worker_was_checked(
        self,
    ) -> None:
        # If it is retried before the crash is confirmed, it crashes another worker.
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
        ("end", "status"),
        [
            (PieceResult(handle="h", worker_id="w1"), CrashStatus.CLEAR),
            (PieceFault.FAILED, CrashStatus.CLEAR),
            (PieceFault.LATE, CrashStatus.WATCHED),
            (PieceFault.NO_MEMORY, CrashStatus.WATCHED),
            (PieceFault.INPUT_GONE, CrashStatus.WATCHED),
        ],
    )
    async def test_a_piece_that_was_not_run_clears_no_request(
        self, end: PieceOutcome, status: CrashStatus
    ) -> None:
        # A worker refuses the piece that crashed another one.
        async with crash_fleet() as fleet:
            await fleet.run_at(0, "w0", GUILTY, RunOutcome.BROKEN)
            gateway = fleet.every[0]
            at = gateway.workers.get("w1")
            assert at is not None
            works = [piece("r", due_s=1.0, fingerprint=GUILTY)]
            with gateway.guard.running_call(at, works) as call:
                call.take(Ok([end]))
            assert gateway.book.status(GUILTY) is status


class TestPropagation:
    async def test_a_new_gateway_learns_of_blocked_requests(self) -> None:
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

    async def test_a_gateway_that_missed_a_clearing_does_not_undo_it(self) -> None:
        # A gateway that was partitioned reports a crash of a request that was cleared.
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
            assert fleet.statuses(INNOCENT) == {CrashStatus.CLEAR, CrashStatus.WATCHED}
            for link in (*links, *away.links):
                link.connection = SimpleNamespace()
            await until(lambda: fleet.statuses(INNOCENT) == {CrashStatus.CLEAR})

    async def test_requests_without_crashes_send_no_message(self) -> None:
        async with crash_fleet() as fleet:
            for number in range(50):
                end = RunOutcome.ANSWERED if number % 2 else RunOutcome.SILENT
                await fleet.run_at(number % 8, "w0", f"{number:032x}", end)
            await asyncio.sleep(0.05)
            assert fleet.n_messages == 0

    async def test_a_crash_sends_few_messages_per_gateway(self) -> None:
        # Sixty requests run at the worker; their crashes are reported together.
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

    async def test_the_loss_of_a_failure_domain_is_not_broadcast(self) -> None:
        # The crashes of all its workers were relayed to every gateway over all links.
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
    async def test_one_log_line_names_the_crashes_behind_a_block(self) -> None:
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


class TestOldCrashes:
    async def test_an_old_crash_does_not_blame_current_runs(self) -> None:
        # A worker that reports no start times is back under its id. A link that opens
        # delivers the old crashes that the peer remembers.
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
    async def test_a_crash_of_the_former_start_blames_no_current_run(self) -> None:
        # A peer's report on the former start does not affect runs at the present one.
        async with crash_fleet() as fleet:
            gateway = fleet.every[4]
            known = gateway.workers.get("w0")
            assert known is not None
            gateway.workers.put(replace(known, born_ms=2))
            await fleet.run_at(4, "w0", INNOCENT, RunOutcome.SILENT)
            await fleet.run_at(0, "w0", GUILTY, RunOutcome.BROKEN)
            await until(lambda: fleet.statuses(GUILTY) == {CrashStatus.WATCHED})
            assert fleet.statuses(INNOCENT) == {CrashStatus.CLEAR}


class TestSilentWorkers:
    # Guards against a suspect that crashes one worker after the other, as each falls
    # silent and is known to have exited seconds later.
    async def test_a_suspect_is_held_back_after_a_run_that_fell_silent(self) -> None:
        async with crash_fleet() as fleet:
            for number in range(2):
                await fleet.run_at(0, f"w{number}", GUILTY, RunOutcome.BROKEN)
                await asyncio.sleep(0.05)
            await fleet.run_at(0, "w5", GUILTY, RunOutcome.SILENT)
            guard = fleet.every[5].guard
            await until(lambda: guard.refusal(GUILTY) is not None)
            refusal = guard.refusal(GUILTY)
            assert refusal is not None
            assert refusal.reason is Reason.RUNS_APART
