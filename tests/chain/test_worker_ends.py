"""Which interrupted connections count as worker crashes."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import replace

import pytest

from trefoilpaddle.coordination.chain import worker_exits
from trefoilpaddle.coordination.chain.worker_exits import Evidence, WorkerExits
from trefoilpaddle.state.chain.fingerprint import PARTS_ACCOUNT
from trefoilpaddle.state.chain.worker_runs import EndedRun, RunOutcome
from trefoilpaddle.state.chain.workers import Worker, WorkerTable
from trefoilpaddle.state.journal import Event

from .fakes import FakeCalls, journal, worker

FIRST = replace(worker("w1"), born_ms=1000)


RUN_S = 0.05
PART_1, PART_2 = (f"{PARTS_ACCOUNT}{number}" for number in (1, 2))


class Rig:
    """Crash detection for the workers of one table, and the runs it reported."""

    def __init__(self) -> None:
        self.calls = FakeCalls()
        self.workers = WorkerTable()
        self.workers.put(FIRST)
        self.found: list[str] = []
        self.notes = journal()
        self.ends = WorkerExits(
            workers=self.workers,
            calls=self.calls,
            journal=self.notes,
            on_ended=self._take,
        )

    def _take(self, at: Worker, runs: Sequence[EndedRun]) -> None:
        self.found += [run.fingerprint for run in runs]

    def run(
        self,
        end: RunOutcome,
        *,
        at: Worker = FIRST,
        fingerprint: str = "f1",
        parts: tuple[str, ...] = (),
    ) -> None:
        now_s = time.monotonic()
        self.ends.record(
            EndedRun(
                worker=at,
                fingerprint=fingerprint,
                levels=dict.fromkeys((fingerprint, *parts), 0),
                began_s=now_s - RUN_S,
                ended_s=now_s,
                outcome=end,
            )
        )

    async def settle(self) -> None:
        await asyncio.sleep(0)
        await self.ends.wait_for_check(FIRST)


class TestCrashes:
    async def test_a_refused_connection_confirms_a_crash_at_once(self) -> None:
        rig = Rig()
        rig.calls.refusing.add("w1")
        rig.run(RunOutcome.BROKEN)
        rig.run(RunOutcome.BROKEN, fingerprint="f2")
        await rig.settle()
        assert rig.found == ["f1", "f2"]

    async def test_a_later_failure_at_a_crashed_worker_counts_too(self) -> None:
        rig = Rig()
        rig.calls.refusing.add("w1")
        rig.run(RunOutcome.BROKEN)
        await rig.settle()
        rig.run(RunOutcome.SILENT, fingerprint="f2")
        assert rig.found == ["f1", "f2"]

    @pytest.mark.parametrize(
        "end", [RunOutcome.BROKEN, RunOutcome.SILENT, RunOutcome.LEFT]
    )
    async def test_a_new_start_confirms_the_crash_of_the_former(
        self, end: RunOutcome
    ) -> None:
        rig = Rig()
        rig.run(end)
        rig.workers.put(replace(FIRST, born_ms=2000))
        assert rig.found == ["f1"]

    # Guards against a crash that is missed as the clock of the host was set back.
    @pytest.mark.parametrize("born_ms", [2000, 500])
    async def test_a_failure_after_the_new_start_is_listed_counts(
        self, born_ms: int
    ) -> None:
        # The worker is back under its id and address before the failure is noticed.
        rig = Rig()
        rig.workers.put(replace(FIRST, born_ms=born_ms))
        rig.run(RunOutcome.BROKEN)
        assert rig.found == ["f1"]

    @pytest.mark.parametrize(
        "end", [RunOutcome.BROKEN, RunOutcome.SILENT, RunOutcome.LEFT]
    )
    async def test_another_worker_at_its_address_confirms_the_crash(
        self, end: RunOutcome
    ) -> None:
        # A worker stops responding, and is back under a new id.
        rig = Rig()
        rig.run(end)
        rig.workers.put(replace(FIRST, worker_id="w2", born_ms=2000))
        assert rig.found == ["f1"]

    async def test_an_expired_entry_confirms_the_crash(self) -> None:
        # Its host is gone: an answer was interrupted, and connecting gives no result.
        rig = Rig()
        rig.calls.is_unreachable = True
        rig.run(RunOutcome.BROKEN)
        await rig.settle()
        rig.workers.remove("w1")
        assert rig.found == ["f1"]

    async def test_a_run_whose_caller_left_counts(self) -> None:
        rig = Rig()
        rig.run(RunOutcome.LEFT)
        rig.ends.confirm(FIRST, Evidence.REPORTED)
        assert rig.found == ["f1"]

    async def test_the_log_names_the_requests_and_the_evidence(self) -> None:
        rig = Rig()
        rig.run(RunOutcome.BROKEN)
        rig.ends.confirm(FIRST, Evidence.REPORTED)
        (record,) = rig.notes.recent()
        assert record.decision.event is Event.TARGET_ENDED
        assert record.decision.detail == "a peer says so; requests f1"

    async def test_the_log_names_the_prompt_parts_of_the_requests(self) -> None:
        rig = Rig()
        rig.run(RunOutcome.BROKEN, parts=(PART_2, PART_1))
        rig.run(RunOutcome.BROKEN, fingerprint="f2", parts=(PART_2,))
        rig.ends.confirm(FIRST, Evidence.REPORTED)
        (record,) = rig.notes.recent()
        assert record.decision.detail == (
            f"a peer says so; requests f1 f2; parts {PART_1} {PART_2}"
        )


class TestNoCrashes:
    # Guards against a crash that is attributed to a start which is not listed yet.
    async def test_a_start_that_is_not_listed_yet_has_not_exited(self) -> None:
        rig = Rig()
        rig.run(RunOutcome.BROKEN, at=replace(FIRST, born_ms=2000))
        await rig.settle()
        assert rig.found == []

    async def test_a_run_that_began_after_a_break_is_not_counted(self) -> None:
        # Guards against a request that is blamed for a worker that had exited already.
        rig = Rig()
        rig.run(RunOutcome.BROKEN)
        await asyncio.sleep(2 * RUN_S)
        rig.run(RunOutcome.BROKEN, fingerprint="f2")
        rig.workers.put(replace(FIRST, born_ms=2000))
        assert rig.found == ["f1"]

    async def test_one_that_began_after_an_answer_is_counted(self) -> None:
        # Guards against a reset connection that hides the crash of a later request.
        rig = Rig()
        rig.run(RunOutcome.BROKEN)
        rig.ends.record_response(FIRST)
        await asyncio.sleep(2 * RUN_S)
        rig.run(RunOutcome.BROKEN, fingerprint="f2")
        rig.workers.put(replace(FIRST, born_ms=2000))
        assert "f2" in rig.found

    async def test_breaks_are_forgotten(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # Guards against memory that grows with each worker whose answer broke.
        monkeypatch.setattr(worker_exits, "PENDING_RUN_S", RUN_S)
        rig = Rig()
        rig.run(RunOutcome.BROKEN)
        await asyncio.sleep(2 * RUN_S)
        rig.ends.confirm(replace(FIRST, worker_id="w2"), Evidence.EXPIRED)
        assert not rig.ends._first_break_s

    async def test_a_reset_connection_blames_no_request(self) -> None:
        # Half of the connections of a host are reset; its workers keep running.
        rig = Rig()
        rig.run(RunOutcome.BROKEN)
        await rig.settle()
        assert rig.found == []

    async def test_a_partitioned_worker_blames_no_request(self) -> None:
        # Its requests get no answer and its entry expires, but the worker runs on.
        rig = Rig()
        rig.run(RunOutcome.SILENT)
        rig.workers.remove("w1")
        assert rig.found == []

    async def test_a_leaving_worker_blames_no_request(self) -> None:
        # A leaving worker interrupts requests that last longer than its notice period.
        rig = Rig()
        rig.calls.refusing.add("w1")
        rig.workers.put(replace(FIRST, is_leaving=True))
        rig.run(RunOutcome.BROKEN)
        await rig.settle()
        rig.workers.remove("w1")
        assert rig.found == []

    async def test_a_worker_that_left_unannounced_blames_no_request(self) -> None:
        # Some workers only remove their entry, and exit some time later.
        rig = Rig()
        rig.calls.refusing.add("w1")
        rig.workers.remove("w1")
        rig.run(RunOutcome.BROKEN)
        await rig.settle()
        assert rig.found == []

    @pytest.mark.parametrize("end", [RunOutcome.BROKEN, RunOutcome.LEFT])
    async def test_a_worker_that_leaves_soon_after_blames_no_request(
        self, end: RunOutcome
    ) -> None:
        # It has reset a connection, or a caller left, and then it removes its entry.
        rig = Rig()
        rig.run(end)
        await rig.settle()
        rig.workers.remove("w1")
        assert rig.found == []

    async def test_repeated_failures_check_the_worker_only_once(self) -> None:
        # A worker sends many truncated answers; each check is a connection to it.
        rig = Rig()
        for _ in range(5):
            rig.run(RunOutcome.BROKEN)
            await rig.settle()
        assert rig.calls.n_checks == 1
