"""When a request may be sent to another worker, and the outcome for its caller."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any, ClassVar, cast

import pytest
from result import Ok, Result

from trefoilpaddle.coordination.chain import attempt_timeouts
from trefoilpaddle.coordination.chain.attempts import Attempts
from trefoilpaddle.coordination.chain.chain_inputs import ChainInputs
from trefoilpaddle.coordination.chain.job import Job
from trefoilpaddle.coordination.chain.running_chain import RunningChain
from trefoilpaddle.coordination.chain.service_lease import (
    HeldSlot,
    HoldSlot,
    unlimited_slot,
)
from trefoilpaddle.coordination.chain.worker_choice import Need, WorkerChoice
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.chain_work import ChainCompleted
from trefoilpaddle.state.chain.crash_registry import Crash
from trefoilpaddle.state.chain.delivery import Delivery
from trefoilpaddle.state.chain.isolated_runs import IsolatedRun
from trefoilpaddle.state.chain.requests import Answered, Failed, Outcome, Refused
from trefoilpaddle.state.chain.routes import Account, RepeatPolicy, Route
from trefoilpaddle.state.chain.target_answers import (
    AnswerHead,
    CallFault,
    StreamEvent,
)
from trefoilpaddle.state.chain.worker_loads import N_FAILED, LeftOut, WorkerLoads
from trefoilpaddle.state.chain.workers import Worker, WorkerTable

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

FINGERPRINT = "f" * 32

FOR_EVER_S = 60.0
"""Longer than any request of these tests has."""


class FakeInputs:
    """Results that can be computed again `n_left` times."""

    def __init__(self, *, n_left: int = 1, takes_s: float = 0.0) -> None:
        self.n_left = n_left
        self.takes_s = takes_s
        self.version = 1
        self.is_there = True

    async def get(self) -> tuple[str, ...] | None:
        if not self.is_there:
            if not self.n_left:
                return None
            self.n_left -= 1
            await asyncio.sleep(self.takes_s)
            self.version += 1
            self.is_there = True
        return (f"made-{self.version}",)

    def mark_read(self) -> None:
        self.is_there = False

    def mark_lost(self) -> None:
        self.is_there = False


class ScriptedChain:
    """A chain whose further runs take the given times."""

    def __init__(self, *takes_s: float) -> None:
        self.takes_s = list(takes_s)
        self.n_freed = 0

    async def run(self, *, deadline_s: float) -> ChainCompleted:
        await asyncio.sleep(self.takes_s.pop(0))
        return ChainCompleted(handles=("made-2",))

    def free(self) -> None:
        self.n_freed += 1


def attempts(
    calls: FakeCalls,
    of_route: Route,
    *,
    n_workers: int = 3,
    slack: float = 100.0,
    inputs: FakeInputs | None = None,
    n_crashes: int = 0,
    isolated: Sequence[str] = (),
    workers: WorkerTable | None = None,
    choice: WorkerChoice | None = None,
    hold_slot: HoldSlot = unlimited_slot,
    left_s: float = 2.0,
) -> Attempts:
    if workers is None:
        workers = WorkerTable()
        for number in range(n_workers):
            workers.put(worker(f"w{number}"))
    guard = crash_guard(calls, workers)
    now_s = time.monotonic()
    for number in range(n_crashes):
        crash = Crash(
            worker_id=f"x{number}",
            born_ms=1,
            level=1 + number,
            ended_s=now_s - 9.5 + number,
        )
        guard.receive_crash(FINGERPRINT, crash)
    for run_id, worker_id in enumerate(isolated):
        run = IsolatedRun(run_id=run_id, fingerprint="0" * 32, worker_id=worker_id)
        guard.receive_run(run)
    job = Job(
        request=request(),
        route=of_route,
        account=Account(name="acme"),
        service="plain",
        services={},
        deadline_s=request().received_s + left_s,
        fingerprint=FINGERPRINT,
    )
    return Attempts(
        job=job,
        inputs=inputs or FakeInputs(),
        need=Need(),
        workers=workers,
        choice=choice or WorkerChoice(failure_domain="here", workers=workers),
        calls=calls,
        budget=budgets(slack=slack, ratio=0.0).for_service("plain"),
        journal=journal(),
        delivery=Delivery(),
        guard=guard,
        send_limits=send_limits(workers),
        hold_slot=hold_slot,
    )


IDEMPOTENT = route(repeat=RepeatPolicy.IDEMPOTENT, max_attempts=2)
ONCE = route(max_attempts=3)
STREAM = route(is_stream=True, is_resumable=True, max_attempts=2)
STREAM_ONCE = route(is_stream=True, max_attempts=2)
FAILED_HEAD = AnswerHead(status=500, headers=())


class TestLeaving:
    async def test_a_request_reported_as_not_run_is_not_sent_later(self) -> None:
        # While the inputs of a request that may not run twice are computed again, a
        # planned stop reports to its caller that it has not run. When the inputs were
        # ready, the request was sent to a worker nevertheless.
        class SlowInputs(FakeInputs):
            async def get(self) -> tuple[str, ...] | None:
                running.stop_retrying()
                return await super().get()

        calls = FakeCalls(scripts=[FakeAnswer()])
        running = attempts(calls, ONCE, inputs=SlowInputs())
        assert isinstance(await running.run(FakeSink()), Refused)
        assert calls.sent == []

    @pytest.mark.parametrize("has_exited", [False, True])
    async def test_a_request_refused_during_an_exit_check_is_not_sent(
        self, has_exited: bool
    ) -> None:
        # Guards against a request that runs after its refusal, at the worker that was
        # checked or at the next one.
        class SlowCalls(FakeCalls):
            async def is_listening(self, worker: Worker) -> bool | None:
                running.stop_retrying()
                self.refusing |= {worker.worker_id} if has_exited else set()
                return await super().is_listening(worker)

        calls = SlowCalls(scripts=[FakeAnswer()])
        running = attempts(calls, ONCE, n_crashes=1)
        assert isinstance(await running.run(FakeSink()), Refused)
        assert calls.sent == []
        assert calls.n_checks == 1


class TestAtMostOnce:
    @pytest.mark.parametrize("fault", [CallFault.BROKEN, CallFault.SILENT])
    async def test_a_request_that_may_have_run_is_not_sent_again(
        self, fault: CallFault
    ) -> None:
        # A worker runs a reservation and its answer is lost. The caller must
        # neither get a second reservation nor be told that there was none.
        calls = FakeCalls(scripts=[fault])
        outcome = await attempts(calls, ONCE).run(FakeSink())
        assert isinstance(outcome, Failed)
        assert len(calls.sent) == 1

    @pytest.mark.parametrize(
        "fault", [CallFault.FULL, CallFault.MOVED, CallFault.UNREACHABLE]
    )
    async def test_a_request_that_has_not_run_is_sent_to_another_worker(
        self, fault: CallFault
    ) -> None:
        calls = FakeCalls(scripts=[fault, FakeAnswer()])
        sink = FakeSink()
        assert isinstance(await attempts(calls, ONCE).run(sink), Answered)
        assert sink.seen == ["200 body"]
        first, second = (worker_id for worker_id, _ in calls.sent)
        assert first != second

    async def test_refused_by_all_workers_the_request_is_refused(self) -> None:
        calls = FakeCalls(scripts=[CallFault.FULL] * 3)
        outcome = await attempts(calls, ONCE).run(FakeSink())
        assert isinstance(outcome, Refused)
        assert outcome.retry_after_s > 0

    async def test_refused_after_a_lost_answer_the_request_fails(self) -> None:
        calls = FakeCalls(scripts=[CallFault.BROKEN, CallFault.FULL])
        outcome = await attempts(calls, IDEMPOTENT).run(FakeSink())
        assert isinstance(outcome, Failed)

    async def test_a_failure_answer_of_a_worker_is_forwarded_unchanged(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer(head=FAILED_HEAD, body=b"no")])
        sink = FakeSink()
        assert isinstance(await attempts(calls, ONCE).run(sink), Answered)
        assert sink.seen == ["500 no"]


class TestPromises:
    # Guards against a worker's own status that says "not run" of a request that ran.
    PROMISES: ClassVar = pytest.mark.parametrize("status", [408, 421, 429, 503])

    @PROMISES
    @pytest.mark.parametrize("of_route", [ONCE, STREAM_ONCE])
    async def test_one_is_not_passed_on_for_a_request_that_runs_once(
        self, status: int, of_route: Route
    ) -> None:
        head = AnswerHead(status=status, headers=())
        calls = FakeCalls(scripts=[FakeAnswer(head=head, body=b"busy")])
        sink = FakeSink()
        match await attempts(calls, of_route).run(sink):
            case Failed(reason=Reason.TARGET_FAILED, is_begun=False, detail=detail):
                worker_id, _ = calls.sent[0]
                assert detail == f"{worker_id} ran the request and answered {status}"
            case outcome:
                pytest.fail(f"{outcome}")
        assert not sink.seen
        assert len(calls.sent) == 1

    @PROMISES
    @pytest.mark.parametrize("of_route", [IDEMPOTENT, STREAM])
    async def test_one_is_passed_on_if_the_request_may_be_repeated(
        self, status: int, of_route: Route
    ) -> None:
        head = AnswerHead(status=status, headers=())
        calls = FakeCalls(scripts=[FakeAnswer(head=head, body=b"busy")] * 2)
        sink = FakeSink()
        outcome = await attempts(calls, of_route).run(sink)
        assert outcome == Answered()
        assert sink.seen == [f"{status} busy"]

    @pytest.mark.parametrize("status", [400, 409, 422, 500, 502, 504])
    async def test_another_status_is_passed_on(self, status: int) -> None:
        head = AnswerHead(status=status, headers=())
        sink = FakeSink()
        calls = FakeCalls(scripts=[FakeAnswer(head=head, body=b"no")])
        await attempts(calls, ONCE).run(sink)
        assert sink.seen == [f"{status} no"]

    @PROMISES
    async def test_a_refusal_after_one_promises_nothing(self, status: int) -> None:
        # The worker that answered may have run it; the next one did not.
        head = AnswerHead(status=status, headers=())
        calls = FakeCalls(scripts=[FakeAnswer(head=head), CallFault.FULL])
        outcome = await attempts(calls, IDEMPOTENT).run(FakeSink())
        assert isinstance(outcome, Failed)


class TestRepeats:
    async def test_an_idempotent_request_is_retried_after_a_failure(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer(head=FAILED_HEAD), FakeAnswer()])
        sink = FakeSink()
        await attempts(calls, IDEMPOTENT).run(sink)
        assert sink.seen == ["200 body"]

    async def test_attempts_are_limited_by_the_route(self) -> None:
        calls = FakeCalls(scripts=[CallFault.BROKEN] * 5)
        await attempts(calls, IDEMPOTENT, n_workers=5).run(FakeSink())
        assert len(calls.sent) == 2

    async def test_attempts_are_limited_by_the_repeat_budget(self) -> None:
        calls = FakeCalls(scripts=[CallFault.BROKEN] * 5)
        await attempts(calls, IDEMPOTENT, slack=0.0).run(FakeSink())
        assert len(calls.sent) == 1


class TestStreams:
    async def test_events_are_forwarded_in_order(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer(n_events=3)])
        sink = FakeSink()
        await attempts(calls, STREAM).run(sink)
        assert sink.seen == ["begin", "1", "2", "3", "end"]

    async def test_an_interrupted_stream_resumes_after_its_last_event(self) -> None:
        # An engine crashes in the middle of an answer. The caller receives one
        # stream without missing and without repeated events.
        calls = FakeCalls(
            scripts=[
                FakeAnswer(n_events=2, breaks=True),
                FakeAnswer(n_events=2, first=3),
            ]
        )
        sink = FakeSink()
        await attempts(calls, STREAM).run(sink)
        assert sink.seen == ["begin", "1", "2", "3", "4", "end"]
        assert calls.sent[1][1].after_event == 2

    async def test_a_gap_in_the_events_fails_the_request(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer(n_events=1), FakeAnswer()])
        calls.scripts = [
            FakeAnswer(n_events=2, breaks=True),
            FakeAnswer(n_events=2, first=4),
        ]
        sink = FakeSink()
        outcome = await attempts(calls, STREAM).run(sink)
        assert outcome == Failed(reason=Reason.CONNECTION_LOST, is_begun=True)
        assert sink.seen == ["begin", "1", "2"]

    async def test_a_stream_that_is_not_resumable_fails_when_interrupted(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer(n_events=2, breaks=True)])
        sink = FakeSink()
        outcome = await attempts(calls, STREAM_ONCE).run(sink)
        assert isinstance(outcome, Failed) and outcome.is_begun
        assert "end" not in sink.seen

    async def test_a_stream_without_any_event_is_a_failure(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer(n_events=0)] * 2)
        outcome = await attempts(calls, STREAM).run(FakeSink())
        assert isinstance(outcome, Failed)


class TestInputs:
    async def test_lost_results_are_computed_again(self) -> None:
        # The worker that keeps a result crashes before the engine has read it. The
        # request has not run; its stages are run once more.
        calls = FakeCalls(scripts=[CallFault.INPUTS_GONE, FakeAnswer(n_events=2)])
        sink = FakeSink()
        await attempts(calls, STREAM).run(sink)
        assert sink.seen == ["begin", "1", "2", "end"]
        assert [call.inputs for _, call in calls.sent] == [("made-1",), ("made-2",)]

    async def test_a_resumed_stream_gets_new_inputs(self) -> None:
        # An engine crashes in the middle of a stream. The results were freed at the
        # first event; the next engine refuses a request without them.
        calls = FakeCalls(
            scripts=[
                FakeAnswer(n_events=2, breaks=True),
                FakeAnswer(n_events=1, first=3),
            ]
        )
        sink = FakeSink()
        await attempts(calls, STREAM).run(sink)
        assert sink.seen == ["begin", "1", "2", "3", "end"]
        assert calls.sent[1][1].inputs == ("made-2",)

    async def test_inputs_lost_for_good_refuse_the_request(self) -> None:
        calls = FakeCalls(scripts=[CallFault.INPUTS_GONE])
        inputs = FakeInputs(n_left=0)
        outcome = await attempts(calls, STREAM, inputs=inputs).run(FakeSink())
        assert outcome == Refused(reason=Reason.RESULT_GONE, retry_after_s=0.5)


class TestUnresponsiveStreams:
    async def test_an_unresponsive_stream_resumes_at_another_worker(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # An engine's connection stops responding after two events. The gateway
        # counted the attempt twice, as sent and as timed out, so that the limit of two
        # attempts seemed reached, and it ended a stream that could be resumed.
        monkeypatch.setattr(attempt_timeouts, "EVENT_TIMEOUT_S", 0.05)
        unresponsive = FakeAnswer(n_events=2, hangs_s=5.0)
        calls = FakeCalls(scripts=[unresponsive, FakeAnswer(n_events=2, first=3)])
        sink = FakeSink()
        assert isinstance(await attempts(calls, STREAM).run(sink), Answered)
        assert sink.seen == ["begin", "1", "2", "3", "4", "end"]

    async def test_an_unresponsive_stream_that_cannot_move_is_waited_for(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # An overloaded engine preempts a stream for two seconds. If the gateway ends
        # it then, the stream is lost; if it waits, the stream is only late.
        monkeypatch.setattr(attempt_timeouts, "EVENT_TIMEOUT_S", 0.05)
        calls = FakeCalls(scripts=[FakeAnswer(n_events=2, hangs_s=0.3)])
        sink = FakeSink()
        assert isinstance(await attempts(calls, STREAM_ONCE).run(sink), Answered)
        assert sink.seen == ["begin", "1", "2", "end"]


class TestSilentWorkers:
    # Guards against answers that are ended for a silent worker which goes on later,
    # though the request cannot go on elsewhere.
    @pytest.mark.parametrize(
        "rest",
        [
            {"inputs": FakeInputs(n_left=0)},
            {"slack": 0.0},
            {"n_workers": 1},
            {"inputs": FakeInputs(takes_s=FOR_EVER_S)},
        ],
        ids=["inputs-gone", "no-budget", "no-other-worker", "slow-inputs"],
    )
    async def test_a_stream_that_cannot_go_on_elsewhere_is_waited_for(
        self, rest: dict[str, Any], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(attempt_timeouts, "EVENT_TIMEOUT_S", 0.05)
        calls = FakeCalls(scripts=[FakeAnswer(n_events=2, hangs_s=0.3, n_later=1)])
        sink = FakeSink()
        assert isinstance(await attempts(calls, STREAM, **rest).run(sink), Answered)
        assert sink.seen == ["begin", "1", "2", "3", "end"]
        assert len(calls.sent) == 1

    async def test_an_answer_without_another_try_is_waited_for(self) -> None:
        # Guards against the same for answers that are read whole.
        quick = route(
            repeat=RepeatPolicy.IDEMPOTENT, max_attempts=2, target_latency_s=0.02
        )
        calls = FakeCalls(scripts=[FakeAnswer(hangs_s=0.3)])
        sink = FakeSink()
        await attempts(calls, quick, slack=0.0).run(sink)
        assert sink.seen == ["200 body"]

    # Guards against a stream that pauses once and cannot be resumed after that.
    async def test_a_preparation_that_was_not_needed_costs_no_run(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(attempt_timeouts, "EVENT_TIMEOUT_S", 0.05)
        runs = ScriptedChain(FOR_EVER_S, 0.0)
        inputs = ChainInputs(
            chain=cast(RunningChain, runs),
            made=ChainCompleted(handles=("made-1",)),
            on_first_read=lambda _: None,
            delivery=Delivery(),
            complete_by_s=time.monotonic,
        )
        calls = FakeCalls(
            scripts=[
                FakeAnswer(n_events=2, hangs_s=0.2, n_later=1, breaks=True),
                FakeAnswer(n_events=1, first=4),
            ]
        )
        sink = FakeSink()
        running = attempts(calls, STREAM, inputs=cast(FakeInputs, inputs))
        assert isinstance(await running.run(sink), Answered)
        assert sink.seen == ["begin", "1", "2", "3", "4", "end"]
        assert runs.n_freed

    # Guards against stages that run again though no repeat is left for the request.
    async def test_nothing_is_prepared_without_a_repeat(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(attempt_timeouts, "EVENT_TIMEOUT_S", 0.05)
        inputs = FakeInputs()
        calls = FakeCalls(scripts=[FakeAnswer(n_events=2, hangs_s=0.2)])
        await attempts(calls, STREAM, slack=0.0, inputs=inputs).run(FakeSink())
        assert inputs.version == 1

    # Guards against a worker that counts as silent, and a request that runs again, as
    # this process has no room for the answer yet.
    async def test_a_wait_for_room_is_no_silence(self) -> None:
        whole = route(
            repeat=RepeatPolicy.IDEMPOTENT, max_attempts=2, target_latency_s=0.02
        )
        calls = FakeCalls(scripts=[FakeAnswer(room_s=0.2), FakeAnswer()])
        sink = FakeSink()
        await attempts(calls, whole).run(sink)
        assert sink.seen == ["200 body"]
        assert len(calls.sent) == 1

    # Guards against a caller that is slow to take the end of its answer, and a request
    # that runs at a second worker for it.
    async def test_a_slow_caller_is_no_silent_worker(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(attempt_timeouts, "EVENT_TIMEOUT_S", 0.05)

        class SlowSink(FakeSink):
            async def event(self, event: StreamEvent) -> None:
                await asyncio.sleep(0.1)
                await super().event(event)

            async def end(self) -> None:
                await asyncio.sleep(0.1)
                await super().end()

        calls = FakeCalls(scripts=[FakeAnswer(n_events=2), FakeAnswer()])
        sink = SlowSink()
        assert isinstance(await attempts(calls, STREAM).run(sink), Answered)
        assert sink.seen == ["begin", "1", "2", "end"]
        assert len(calls.sent) == 1

    # Guards against an answer that is complete and is given up all the same, as another
    # attempt is ready in the same turn of the event loop.
    @pytest.mark.parametrize("is_stream", [True, False])
    async def test_a_complete_answer_is_not_given_up(
        self, is_stream: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(attempt_timeouts, "EVENT_TIMEOUT_S", 0.05)
        ready = asyncio.Event()

        class ReadyInputs(FakeInputs):
            async def get(self) -> tuple[str, ...] | None:
                if calls.sent:
                    await asyncio.sleep(0.01)
                    ready.set()
                return ("made",)

        class LateAnswer(FakeAnswer):
            async def read(self) -> Result[bytes, CallFault]:
                await ready.wait()
                return Ok(self.body)

            async def events(self) -> AsyncIterator[StreamEvent]:
                async for event in super().events():
                    yield event
                await ready.wait()

        calls = FakeCalls(scripts=[LateAnswer(n_events=1), FakeAnswer()])
        whole = route(
            repeat=RepeatPolicy.IDEMPOTENT, max_attempts=2, target_latency_s=0.02
        )
        sink = FakeSink()
        running = attempts(calls, STREAM if is_stream else whole, inputs=ReadyInputs())
        assert isinstance(await running.run(sink), Answered)
        assert sink.seen == (["begin", "1", "end"] if is_stream else ["200 body"])
        assert len(calls.sent) == 1

    # Guards against a worker that is given up for another one that turns the request
    # away, while it would go on.
    async def test_a_stream_outlives_the_refusal_of_its_next_worker(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(attempt_timeouts, "EVENT_TIMEOUT_S", 0.05)
        paused = FakeAnswer(n_events=2, hangs_s=0.2, n_later=1)
        calls = FakeCalls(scripts=[paused, CallFault.FULL])
        running = attempts(calls, STREAM, n_workers=2)
        assert isinstance(await running.run(FakeSink()), Answered)

    async def test_a_worker_that_stays_silent_is_given_up_once_another_is_ready(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(attempt_timeouts, "EVENT_TIMEOUT_S", 0.05)
        calls = FakeCalls(
            scripts=[
                FakeAnswer(n_events=2, hangs_s=FOR_EVER_S),
                FakeAnswer(n_events=1, first=3),
            ]
        )
        sink = FakeSink()
        running = attempts(calls, STREAM, inputs=FakeInputs(takes_s=0.1))
        assert isinstance(await running.run(sink), Answered)
        assert sink.seen == ["begin", "1", "2", "3", "end"]

    async def test_a_silent_request_is_not_sent_again_at_its_deadline(self) -> None:
        # Guards against a repeat that is spent on a request whose time is over.
        calls = FakeCalls(scripts=[FakeAnswer(hangs_s=FOR_EVER_S), FakeAnswer()])
        late = route(repeat=RepeatPolicy.IDEMPOTENT, max_attempts=2)
        outcome = await attempts(calls, late, left_s=0.1).run(FakeSink())
        assert outcome == Failed(reason=Reason.TARGET_TIMEOUT)
        assert len(calls.sent) == 1


class TestCrashingRequests:
    async def test_a_request_is_not_retried_after_its_third_crash(self) -> None:
        # By its route it would be retried at once, before the crash is reported.
        calls = FakeCalls(scripts=[CallFault.BROKEN, FakeAnswer()], is_crashing=True)
        outcome = await attempts(calls, IDEMPOTENT, n_crashes=2).run(FakeSink())
        assert outcome == Failed(reason=Reason.CRASHES_WORKERS, detail=FINGERPRINT)
        assert len(calls.sent) == 1

    async def test_a_blocked_request_is_refused(self) -> None:
        calls = FakeCalls()
        running = attempts(calls, IDEMPOTENT, n_crashes=3)
        refused = Refused(reason=Reason.CRASHES_WORKERS, detail=FINGERPRINT)
        assert await running.run(FakeSink()) == refused
        assert calls.sent == []

    async def test_a_truncated_answer_of_a_live_worker_is_retried(self) -> None:
        calls = FakeCalls(scripts=[CallFault.BROKEN, FakeAnswer()])
        outcome = await attempts(calls, IDEMPOTENT, n_crashes=2).run(FakeSink())
        assert isinstance(outcome, Answered)

    async def test_other_requests_avoid_workers_that_run_suspects(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer()])
        await attempts(calls, ONCE, isolated=("w0", "w1")).run(FakeSink())
        assert calls.sent[0][0] == "w2"

    async def test_without_another_worker_they_share_it_with_a_suspect(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer()])
        running = attempts(calls, ONCE, n_workers=1, isolated=("w0",))
        assert isinstance(await running.run(FakeSink()), Answered)

    async def test_a_watched_request_is_not_sent_to_a_worker_that_has_exited(
        self,
    ) -> None:
        # Guards against a run at an exited worker that is taken for its cause.
        calls = FakeCalls(scripts=[FakeAnswer()])
        calls.refusing |= {"w0", "w1"}
        outcome = await attempts(calls, IDEMPOTENT, n_crashes=1).run(FakeSink())
        assert isinstance(outcome, Answered)
        assert [worker_id for worker_id, _ in calls.sent] == ["w2"]


class TestWhatWorkersDo:
    @pytest.mark.parametrize(
        ("script", "n_left_out"),
        [
            (CallFault.FULL, 1),
            (FakeAnswer(head=FAILED_HEAD), 1),
            (FakeAnswer(head=AnswerHead(status=404, headers=())), 0),
            (FakeAnswer(), 0),
        ],
    )
    async def test_sheds_and_failures_leave_a_worker_out(
        self, script: CallFault | FakeAnswer, n_left_out: int
    ) -> None:
        # Guards against a worker that sheds or fails at once and gets most requests.
        workers = WorkerTable()
        for number in range(2):
            workers.put(worker(f"w{number}"))
        loads = WorkerLoads(rng=random.Random(1))
        choice = WorkerChoice(failure_domain="here", workers=workers, loads=loads)
        told: list[LeftOut] = []
        choice.on_left_out = told.append
        bad, good = workers.all()
        choice.record_answer(good)
        workers.mark_suspect(good, for_s=100.0)
        for _ in range(N_FAILED):
            calls = FakeCalls(scripts=[script])
            of_route = route(max_attempts=1)
            await attempts(calls, of_route, workers=workers, choice=choice).run(
                FakeSink()
            )
        assert [each.worker for each in told] == [bad] * n_left_out


class TestSlots:
    async def held_by(
        self, calls: FakeCalls, of_route: Route
    ) -> tuple[HeldSlot, Outcome]:
        """Run a request and return the slot that it held, and its outcome."""
        held = HeldSlot()
        is_open = False

        @asynccontextmanager
        async def hold_slot(job: Job) -> AsyncIterator[HeldSlot | Refused]:
            nonlocal is_open
            is_open = True
            try:
                yield held
            finally:
                is_open = False

        outcome = await attempts(calls, of_route, hold_slot=hold_slot).run(FakeSink())
        assert not is_open
        return held, outcome

    async def test_workers_that_shed_are_told_apart(self) -> None:
        # Guards against one worker that sheds and counts as an overrun service.
        calls = FakeCalls(scripts=[CallFault.FULL, CallFault.FULL, FakeAnswer()])
        held, _ = await self.held_by(calls, ONCE)
        assert held.shed_by == [worker_id for worker_id, _ in calls.sent[:2]]
        assert held.has_run

    @pytest.mark.parametrize("fault", [CallFault.BROKEN, CallFault.UNREACHABLE])
    async def test_other_faults_are_no_sheds_and_no_answers(
        self, fault: CallFault
    ) -> None:
        # Guards against a capacity that shrinks, or durations that are learnt, by
        # workers that are lost.
        held, outcome = await self.held_by(FakeCalls(scripts=[fault] * 4), ONCE)
        assert not isinstance(outcome, Answered)
        assert held.shed_by == []
        assert not held.has_run

    async def test_one_without_a_slot_is_sent_to_no_worker(self) -> None:
        # Guards against a refusal that says that the request has not run, and is false.
        refused = Refused(reason=Reason.SHARE_EXCEEDED, retry_after_s=0.3, detail="d")

        @asynccontextmanager
        async def hold_slot(job: Job) -> AsyncIterator[HeldSlot | Refused]:
            yield refused

        calls = FakeCalls(scripts=[FakeAnswer()])
        outcome = await attempts(calls, ONCE, hold_slot=hold_slot).run(FakeSink())
        assert outcome == refused
        assert calls.sent == []
