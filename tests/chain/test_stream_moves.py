"""When the run of a stream that is cut goes on from its copy, and when it does not."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
from result import Result

from trefoilpaddle.coordination.chain.attempts import Attempts
from trefoilpaddle.coordination.chain.job import Job
from trefoilpaddle.coordination.chain.planned_stop import PlannedStop
from trefoilpaddle.coordination.chain.stream_backup import StreamBackup
from trefoilpaddle.coordination.chain.target_calls import OpenAnswer, TargetCall
from trefoilpaddle.coordination.chain.worker_choice import Need, WorkerChoice
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.crash_registry import Crash
from trefoilpaddle.state.chain.delivery import Delivery
from trefoilpaddle.state.chain.requests import Answered, Failed, Prompt, PromptPart
from trefoilpaddle.state.chain.routes import Account, EngineService, Route
from trefoilpaddle.state.chain.stream_copies import StreamCopies
from trefoilpaddle.state.chain.target_answers import AnswerHead, CallFault
from trefoilpaddle.state.chain.workers import Worker, WorkerTable
from trefoilpaddle.state.journal import Decision, Event

from .fakes import (
    FakeAnswer,
    FakeCalls,
    FakeSink,
    budgets,
    crash_guard,
    journal,
    request,
    route,
    send_limits,
    worker,
)
from .test_attempts import FINGERPRINT, FakeInputs

SERVICE = EngineService(name="model", n_slots=8, cache_tokens=100_000)
STREAM = route(is_stream=True, max_attempts=1)
RESUMABLE = route(is_stream=True, is_resumable=True, max_attempts=2)
PROMPT = Prompt(
    parts=(PromptPart(part_id="p", n_tokens=100),), n_tokens=100, n_output_tokens=200
)
CUT = FakeAnswer(n_events=2, breaks=True, is_cut=True)
REST = FakeAnswer(n_events=2, first=3)
WHOLE = ["begin", "1", "2", "3", "4", "end"]
BROKEN_OFF = ["begin", "1", "2"]


class Rig:
    """One stream over a few engines, with copies."""

    def __init__(
        self,
        *scripts: FakeAnswer | CallFault,
        of_route: Route = STREAM,
        n_workers: int = 2,
        slack: float = 100.0,
        has_copies: bool = True,
        prompt: Prompt = PROMPT,
        timeout_s: float = 2.0,
        n_crashes: int = 0,
    ) -> None:
        self.calls = FakeCalls(scripts=list(scripts))
        self.sink = FakeSink()
        self.decisions: list[Decision] = []
        notes = journal()
        notes.subscribe(self.decisions.append)
        self.workers = WorkerTable()
        for number in range(n_workers):
            self.workers.put(self.engine(f"w{number}"))
        self.guard = crash_guard(self.calls, self.workers)
        for number in range(n_crashes):
            crash = Crash(
                worker_id=f"x{number}",
                born_ms=1,
                level=1 + number,
                ended_s=time.monotonic() - 9.5 + number,
            )
            self.guard.receive_crash(FINGERPRINT, crash)
        choice = WorkerChoice(failure_domain="here", workers=self.workers)
        self.copies = StreamCopies(n_gateways=lambda: 1, n_open=choice.n_open)
        self.stop = PlannedStop(grace_s=8.0)
        self.inputs = FakeInputs()
        job = Job(
            request=request(prompt=prompt),
            route=of_route,
            account=Account(name="acme"),
            service="model",
            services={"model": SERVICE},
            deadline_s=time.monotonic() + timeout_s,
            fingerprint=FINGERPRINT,
        )
        self.attempts = Attempts(
            job=job,
            inputs=self.inputs,
            need=Need(prompt=prompt),
            workers=self.workers,
            choice=choice,
            calls=self.calls,
            budget=budgets(slack=slack, ratio=0.0).for_service("model"),
            journal=notes,
            delivery=Delivery(),
            guard=self.guard,
            send_limits=send_limits(self.workers),
            backup=StreamBackup(
                job=job, workers=self.workers, copies=self.copies, stop=self.stop
            )
            if has_copies
            else None,
        )

    @staticmethod
    def engine(worker_id: str, **fields: object) -> Worker:
        known: dict[str, object] = {"software_version": "v1", "born_ms": 1}
        return worker(worker_id, "model", **(known | fields))  # type: ignore[arg-type]

    @property
    def ids(self) -> list[str]:
        """Workers that the request was sent to, in order."""
        return [worker_id for worker_id, _ in self.calls.sent]

    def n_moves(self) -> int:
        return sum(each.event is Event.STREAM_MOVED for each in self.decisions)

    async def fails(self) -> bool:
        """Run the stream; return True if it was cut and does not look complete."""
        outcome = await self.attempts.run(self.sink)
        return (
            isinstance(outcome, Failed)
            and outcome.is_begun
            and self.sink.seen == BROKEN_OFF
        )


class TestGoingOn:
    async def test_a_cut_stream_goes_on_without_a_gap(self) -> None:
        # An engine crashes in the middle of a stream that must not run twice.
        rig = Rig(CUT, REST)
        assert isinstance(await rig.attempts.run(rig.sink), Answered)
        assert rig.sink.seen == WHOLE
        (first, began), (second, went_on) = rig.calls.sent
        assert began.backup is not None and began.backup.worker_id == second != first
        assert (began.copy_of, began.after_event) == ("", None)
        assert (went_on.copy_of, went_on.after_event) == ("a1", 2)
        assert went_on.backup is None
        assert rig.n_moves() == 1

    async def test_the_first_connection_is_closed_before(self) -> None:
        # Guards against a run that goes on while its first worker may still write.
        rig = Rig(CUT, REST)
        calls = rig.calls
        exchange = calls.exchange
        n_open = 0
        most_open = 0

        @asynccontextmanager
        async def counted(
            worker: Worker, call: TargetCall
        ) -> AsyncIterator[Result[OpenAnswer, CallFault]]:
            nonlocal n_open, most_open
            n_open += 1
            most_open = max(most_open, n_open)
            try:
                async with exchange(worker, call) as opened:
                    yield opened
            finally:
                n_open -= 1

        calls.exchange = counted  # type: ignore[method-assign]
        assert isinstance(await rig.attempts.run(rig.sink), Answered)
        assert (len(rig.ids), most_open) == (2, 1)

    async def test_a_stream_that_lacks_only_its_end_is_completed(self) -> None:
        rig = Rig(CUT, FakeAnswer(n_events=0))
        assert isinstance(await rig.attempts.run(rig.sink), Answered)
        assert rig.sink.seen == [*BROKEN_OFF, "end"]

    async def test_it_may_go_on_beyond_the_limit_of_attempts_once(self) -> None:
        # Guards against a go-on that counts as another run, and against a third one.
        rig = Rig(CUT, replace(REST, breaks=True, is_cut=True), REST, n_workers=4)
        outcome = await rig.attempts.run(rig.sink)
        assert outcome == Failed(reason=Reason.CONNECTION_LOST, is_begun=True)
        assert rig.sink.seen == ["begin", "1", "2", "3", "4"]
        assert len(rig.ids) == 2

    async def test_inputs_that_were_freed_are_computed_again(self) -> None:
        rig = Rig(CUT, REST)
        await rig.attempts.run(rig.sink)
        assert [call.inputs for _, call in rig.calls.sent] == [("made-1",), ("made-2",)]

    async def test_a_worker_that_did_not_run_the_first_attempt_holds_no_copy(
        self,
    ) -> None:
        # Guards against a copy at the worker that then runs the stream itself.
        twice = route(is_stream=True, max_attempts=2)
        rig = Rig(CallFault.FULL, CUT, REST, n_workers=3, of_route=twice)
        assert isinstance(await rig.attempts.run(rig.sink), Answered)
        _, second, third = rig.ids
        backup = rig.calls.sent[1][1].backup
        assert backup is not None and backup.worker_id == third != second
        assert rig.copies.n_begun == 1


class TestNoCopy:
    async def test_a_refusal_without_a_copy_ends_the_stream(self) -> None:
        # Guards against a stream that is ended as if it were complete.
        rig = Rig(CUT, CallFault.FULL, n_workers=3)
        assert await rig.fails()
        assert len(rig.ids) == 2

    async def test_a_refusal_without_a_copy_is_no_shed(self) -> None:
        # Guards against a capacity that falls although nothing is overloaded.
        rig = Rig(CUT, CallFault.FULL)
        await rig.attempts.run(rig.sink)
        assert rig.attempts._held.shed_by == []

    @pytest.mark.parametrize(
        "fault", [CallFault.REFUSED, CallFault.UNREACHABLE, CallFault.BROKEN]
    )
    async def test_the_worker_of_the_copy_is_gone_too(self, fault: CallFault) -> None:
        rig = Rig(CUT, fault, n_workers=3)
        assert await rig.fails()
        assert len(rig.ids) == 2

    async def test_a_gap_after_the_hand_over_ends_the_stream(self) -> None:
        # Guards against a stream that lacks an event, and against a repeated one.
        for first in (2, 4):
            assert await Rig(CUT, FakeAnswer(n_events=2, first=first)).fails()

    async def test_a_failure_answer_ends_the_stream(self) -> None:
        failed = FakeAnswer(head=AnswerHead(status=500, headers=()))
        assert await Rig(CUT, failed).fails()

    async def test_without_a_second_worker_there_is_no_copy(self) -> None:
        rig = Rig(CUT, n_workers=1)
        assert await rig.fails()
        assert rig.calls.sent[0][1].backup is None

    async def test_switched_off_nothing_is_asked_for_and_nothing_goes_on(self) -> None:
        rig = Rig(CUT, has_copies=False)
        assert await rig.fails()
        assert rig.calls.sent[0][1].backup is None

    async def test_a_resumable_stream_gets_no_copy(self) -> None:
        # Guards against a price for streams that may run again anyway.
        rig = Rig(CUT, REST, of_route=RESUMABLE)
        assert isinstance(await rig.attempts.run(rig.sink), Answered)
        assert all(call.backup is None for _, call in rig.calls.sent)
        assert all(not call.copy_of for _, call in rig.calls.sent)

    async def test_a_gateway_that_stops_begins_no_copies(self) -> None:
        rig = Rig(CUT)
        rig.stop.order()
        assert await rig.fails()
        assert rig.calls.sent[0][1].backup is None


class TestNothingIsSent:
    async def test_while_the_first_worker_is_silent(self) -> None:
        # Guards against one run at two workers.
        rig = Rig(FakeAnswer(n_events=2, hangs_s=5.0), REST, timeout_s=0.2)
        assert await rig.fails()
        assert len(rig.ids) == 1

    async def test_after_a_broken_answer_of_a_worker_that_may_still_run(self) -> None:
        rig = Rig(FakeAnswer(n_events=2, breaks=True), REST)
        assert await rig.fails()
        assert len(rig.ids) == 1

    async def test_before_the_first_event(self) -> None:
        rig = Rig(FakeAnswer(n_events=0, breaks=True, is_cut=True), REST)
        outcome = await rig.attempts.run(rig.sink)
        assert outcome == Failed(reason=Reason.CONNECTION_LOST)
        assert len(rig.ids) == 1

    async def test_without_a_repeat_left(self) -> None:
        rig = Rig(CUT, REST, slack=0.0)
        assert await rig.fails()
        assert len(rig.ids) == 1

    @pytest.mark.parametrize(
        "fields",
        [{"born_ms": 2}, {"software_version": "v2"}, {"is_leaving": True}],
        ids=["restarted", "other version", "leaving"],
    )
    async def test_if_the_worker_of_the_copy_has_changed(
        self, fields: dict[str, object]
    ) -> None:
        rig = Rig(CUT, REST)
        rig.sink = ChangingSink(rig, fields)
        assert await rig.fails()
        assert len(rig.ids) == 1

    async def test_of_a_request_that_is_suspected_of_crashing_workers(self) -> None:
        # Guards against a request that takes the worker of its copy with it.
        rig = Rig(CUT, REST, n_crashes=2, n_workers=3)
        assert await rig.fails()
        assert rig.calls.sent[0][1].backup is None

    async def test_once_the_crash_makes_the_request_suspect(self) -> None:
        # Guards against a hand-over before the check of the first worker is complete.
        rig = Rig(CUT, REST, n_crashes=1, n_workers=3)
        rig.sink = CrashingSink(rig)
        assert await rig.fails()
        assert rig.calls.sent[0][1].backup is not None
        assert len(rig.ids) == 1

    async def test_if_the_caller_has_left_meanwhile(self) -> None:
        # Guards against a run for nobody: the caller leaves while the inputs are
        # computed again.
        rig = Rig(CUT, REST)
        gets = asyncio.Event()
        inputs = rig.inputs
        get = inputs.get

        async def slow_get() -> tuple[str, ...] | None:
            if not inputs.is_there:
                gets.set()
                await asyncio.Event().wait()
            return await get()

        inputs.get = slow_get  # type: ignore[method-assign]
        running = asyncio.create_task(rig.attempts.run(rig.sink))
        await gets.wait()
        running.cancel()
        with pytest.raises(asyncio.CancelledError):
            await running
        assert len(rig.ids) == 1
        assert not rig.copies._n_copies


class CrashingSink(FakeSink):
    """Lets the first worker refuse connections from the first event on."""

    def __init__(self, rig: Rig) -> None:
        super().__init__()
        self._rig = rig

    async def begin(self, head: AnswerHead) -> None:
        await super().begin(head)
        self._rig.calls.refusing.add(self._rig.ids[0])


class ChangingSink(FakeSink):
    """Changes the entry of the copy's worker at the first event."""

    def __init__(self, rig: Rig, fields: dict[str, object]) -> None:
        super().__init__()
        self._rig = rig
        self._fields = fields

    async def begin(self, head: AnswerHead) -> None:
        await super().begin(head)
        backup = self._rig.calls.sent[0][1].backup
        assert backup is not None
        self._rig.workers.put(self._rig.engine(backup.worker_id, **self._fields))
