"""Which ends of connections are taken for ends of workers."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import replace

import pytest

from trefoilpaddle.coordination.chain.worker_exits import Evidence, WorkerExits
from trefoilpaddle.state.chain.worker_runs import RunOutcome, UnansweredRun
from trefoilpaddle.state.chain.workers import Worker, WorkerTable
from trefoilpaddle.state.journal import Event

from .fakes import FakeCalls, journal, worker

FIRST = replace(worker("w1"), born_ms=1000)


class Rig:
    """Ends of the workers of one table, as they are found."""

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

    def _take(self, at: Worker, runs: Sequence[UnansweredRun]) -> None:
        self.found += [run.fingerprint for run in runs]

    def run(self, end: RunOutcome, *, fingerprint: str = "f1") -> None:
        now_s = time.monotonic()
        self.ends.record(
            UnansweredRun(
                worker=FIRST,
                fingerprint=fingerprint,
                level=0,
                ended_s=now_s,
                outcome=end,
            )
        )

    async def settle(self) -> None:
        await asyncio.sleep(0)
        await self.ends.wait_for_check(FIRST)


class TestEnds:
    async def test_a_refused_connection_tells_at_once(self) -> None:
        rig = Rig()
        rig.calls.refusing.add("w1")
        rig.run(RunOutcome.BROKEN)
        rig.run(RunOutcome.BROKEN, fingerprint="f2")
        await rig.settle()
        assert rig.found == ["f1", "f2"]

    async def test_a_later_break_at_an_ended_worker_counts_too(self) -> None:
        rig = Rig()
        rig.calls.refusing.add("w1")
        rig.run(RunOutcome.BROKEN)
        await rig.settle()
        rig.run(RunOutcome.SILENT, fingerprint="f2")
        assert rig.found == ["f1", "f2"]

    @pytest.mark.parametrize(
        "end", [RunOutcome.BROKEN, RunOutcome.SILENT, RunOutcome.LEFT]
    )
    async def test_a_new_start_tells_of_the_end_before(self, end: RunOutcome) -> None:
        rig = Rig()
        rig.run(end)
        rig.workers.put(replace(FIRST, born_ms=2000))
        assert rig.found == ["f1"]

    async def test_a_break_after_the_new_start_is_listed_counts(self) -> None:
        # Under its id and address a worker is back before its break is noticed.
        rig = Rig()
        rig.workers.put(replace(FIRST, born_ms=2000))
        rig.run(RunOutcome.BROKEN)
        assert rig.found == ["f1"]

    @pytest.mark.parametrize(
        "end", [RunOutcome.BROKEN, RunOutcome.SILENT, RunOutcome.LEFT]
    )
    async def test_another_worker_at_its_address_tells_of_the_end(
        self, end: RunOutcome
    ) -> None:
        # A worker that goes dark answers nothing, and comes back under a new id.
        rig = Rig()
        rig.run(end)
        rig.workers.put(replace(FIRST, worker_id="w2", born_ms=2000))
        assert rig.found == ["f1"]

    async def test_an_entry_that_runs_out_tells_of_the_end(self) -> None:
        # Its host is gone: an answer broke, and nothing says whether it listens.
        rig = Rig()
        rig.calls.is_dark = True
        rig.run(RunOutcome.BROKEN)
        await rig.settle()
        rig.workers.remove("w1")
        assert rig.found == ["f1"]

    async def test_a_caller_that_left_before_the_crash_hides_nothing(self) -> None:
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


class TestNoEnds:
    async def test_a_reset_connection_blames_nobody(self) -> None:
        # Half of a machine's connections are reset; their workers go on.
        rig = Rig()
        rig.run(RunOutcome.BROKEN)
        await rig.settle()
        assert rig.found == []

    async def test_a_worker_that_is_cut_off_blames_nobody(self) -> None:
        # Its requests fall silent and its entry runs out, and it runs all the while.
        rig = Rig()
        rig.run(RunOutcome.SILENT)
        rig.workers.remove("w1")
        assert rig.found == []

    async def test_a_release_blames_nobody(self) -> None:
        # A worker that leaves breaks off what lasts longer than its notice.
        rig = Rig()
        rig.calls.refusing.add("w1")
        rig.workers.put(replace(FIRST, is_leaving=True))
        rig.run(RunOutcome.BROKEN)
        await rig.settle()
        rig.workers.remove("w1")
        assert rig.found == []

    async def test_one_that_left_without_a_word_blames_nobody(self) -> None:
        # Some workers only take their entry away, and end some time after it.
        rig = Rig()
        rig.calls.refusing.add("w1")
        rig.workers.remove("w1")
        rig.run(RunOutcome.BROKEN)
        await rig.settle()
        assert rig.found == []

    @pytest.mark.parametrize("end", [RunOutcome.BROKEN, RunOutcome.LEFT])
    async def test_one_that_leaves_soon_after_blames_nobody(
        self, end: RunOutcome
    ) -> None:
        # It has reset a connection, or a caller left, and takes its entry away then.
        rig = Rig()
        rig.run(end)
        await rig.settle()
        rig.workers.remove("w1")
        assert rig.found == []

    async def test_an_answer_that_is_told_twice_is_looked_at_once(self) -> None:
        # A worker spoils many answers: each look is a connection to it.
        rig = Rig()
        for _ in range(5):
            rig.run(RunOutcome.BROKEN)
            await rig.settle()
        assert rig.calls.n_looks == 1
