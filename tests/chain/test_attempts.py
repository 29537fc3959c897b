"""When a request may be sent once more, and what its caller is told."""

import time
from collections.abc import Sequence

import pytest

from trefoilpaddle.coordination.chain import attempt_timeouts
from trefoilpaddle.coordination.chain.attempts import Attempts
from trefoilpaddle.coordination.chain.job import Job
from trefoilpaddle.coordination.chain.worker_choice import Need, WorkerChoice
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.crash_registry import Crash
from trefoilpaddle.state.chain.delivery import Delivery
from trefoilpaddle.state.chain.isolated_runs import IsolatedRun
from trefoilpaddle.state.chain.requests import Answered, Failed, Refused
from trefoilpaddle.state.chain.routes import Account, RepeatPolicy, Route
from trefoilpaddle.state.chain.target_answers import AnswerHead, CallFault
from trefoilpaddle.state.chain.workers import WorkerTable

from .fakes import (
    FakeAnswer,
    FakeCalls,
    FakeSink,
    budgets,
    crash_guard,
    journal,
    request,
    route,
    worker,
)

FINGERPRINT = "f" * 32


class FakeInputs:
    """Results that can be made again `n_left` times."""

    def __init__(self, *, n_left: int = 1) -> None:
        self.n_left = n_left
        self.version = 1
        self.is_there = True

    async def get(self) -> tuple[str, ...] | None:
        if not self.is_there:
            if not self.n_left:
                return None
            self.n_left -= 1
            self.version += 1
            self.is_there = True
        return (f"made-{self.version}",)

    def mark_read(self) -> None:
        self.is_there = False

    def mark_lost(self) -> None:
        self.is_there = False


def attempts(
    calls: FakeCalls,
    way: Route,
    *,
    n_workers: int = 3,
    slack: float = 100.0,
    inputs: FakeInputs | None = None,
    n_crashes: int = 0,
    apart: Sequence[str] = (),
) -> Attempts:
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
    for run_id, worker_id in enumerate(apart):
        run = IsolatedRun(run_id=run_id, fingerprint="0" * 32, worker_id=worker_id)
        guard.receive_run(run)
    job = Job(
        request=request(),
        route=way,
        account=Account(name="acme"),
        service="plain",
        services={},
        deadline_s=request().deadline_s,
        fingerprint=FINGERPRINT,
    )
    return Attempts(
        job=job,
        inputs=inputs or FakeInputs(),
        need=Need(),
        workers=workers,
        choice=WorkerChoice(failure_domain="here", workers=workers),
        calls=calls,
        budget=budgets(slack=slack, ratio=0.0).for_service("plain"),
        journal=journal(),
        delivery=Delivery(),
        guard=guard,
    )


IDEMPOTENT = route(repeat=RepeatPolicy.IDEMPOTENT, max_attempts=2)
ONCE = route(max_attempts=3)
STREAM = route(is_stream=True, is_resumable=True, max_attempts=2)
STREAM_ONCE = route(is_stream=True, max_attempts=2)
FAILED_HEAD = AnswerHead(status=500, headers=())


class TestLeaving:
    async def test_what_was_told_not_run_is_not_sent_later(self) -> None:
        # The inputs of a request that may not run twice are made again when its
        # caller is told, at a planned stop, that it has not run. They came, and the
        # request was sent to a worker after all.
        class SlowInputs(FakeInputs):
            async def get(self) -> tuple[str, ...] | None:
                running.stop_retrying()
                return await super().get()

        calls = FakeCalls(scripts=[FakeAnswer()])
        running = attempts(calls, ONCE, inputs=SlowInputs())
        assert isinstance(await running.run(FakeSink()), Refused)
        assert calls.sent == []


class TestAtMostOnce:
    @pytest.mark.parametrize("fault", [CallFault.BROKEN, CallFault.SILENT])
    async def test_one_that_may_have_run_is_not_sent_again(
        self, fault: CallFault
    ) -> None:
        # A worker runs a reservation and its answer is lost. The caller must
        # neither get a second reservation nor hear that there was none.
        calls = FakeCalls(scripts=[fault])
        outcome = await attempts(calls, ONCE).run(FakeSink())
        assert isinstance(outcome, Failed)
        assert len(calls.sent) == 1

    @pytest.mark.parametrize(
        "fault", [CallFault.FULL, CallFault.MOVED, CallFault.UNREACHABLE]
    )
    async def test_one_that_has_not_run_goes_to_another_worker(
        self, fault: CallFault
    ) -> None:
        calls = FakeCalls(scripts=[fault, FakeAnswer()])
        sink = FakeSink()
        assert isinstance(await attempts(calls, ONCE).run(sink), Answered)
        assert sink.seen == ["200 body"]
        first, second = (worker_id for worker_id, _ in calls.sent)
        assert first != second

    async def test_refused_everywhere_it_has_truly_not_run(self) -> None:
        calls = FakeCalls(scripts=[CallFault.FULL] * 3)
        outcome = await attempts(calls, ONCE).run(FakeSink())
        assert isinstance(outcome, Refused)
        assert outcome.retry_after_s > 0

    async def test_refused_after_one_that_may_have_run_is_no_refusal(self) -> None:
        calls = FakeCalls(scripts=[CallFault.BROKEN, CallFault.FULL])
        outcome = await attempts(calls, IDEMPOTENT).run(FakeSink())
        assert isinstance(outcome, Failed)

    async def test_a_workers_failure_is_passed_on_as_it_is(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer(head=FAILED_HEAD, body=b"no")])
        sink = FakeSink()
        assert isinstance(await attempts(calls, ONCE).run(sink), Answered)
        assert sink.seen == ["500 no"]


class TestRepeats:
    async def test_an_idempotent_one_is_tried_again_after_a_failure(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer(head=FAILED_HEAD), FakeAnswer()])
        sink = FakeSink()
        await attempts(calls, IDEMPOTENT).run(sink)
        assert sink.seen == ["200 body"]

    async def test_never_at_more_workers_than_the_route_allows(self) -> None:
        calls = FakeCalls(scripts=[CallFault.BROKEN] * 5)
        await attempts(calls, IDEMPOTENT, n_workers=5).run(FakeSink())
        assert len(calls.sent) == 2

    async def test_never_beyond_the_budget(self) -> None:
        calls = FakeCalls(scripts=[CallFault.BROKEN] * 5)
        await attempts(calls, IDEMPOTENT, slack=0.0).run(FakeSink())
        assert len(calls.sent) == 1


class TestStreams:
    async def test_events_pass_in_order_to_the_end(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer(n_events=3)])
        sink = FakeSink()
        await attempts(calls, STREAM).run(sink)
        assert sink.seen == ["begin", "1", "2", "3", "end"]

    async def test_a_broken_one_goes_on_where_it_broke(self) -> None:
        # An engine dies in the middle of an answer. The caller sees one stream
        # with no hole and nothing twice.
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

    async def test_a_hole_is_never_passed_on(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer(n_events=1), FakeAnswer()])
        calls.scripts = [
            FakeAnswer(n_events=2, breaks=True),
            FakeAnswer(n_events=2, first=4),
        ]
        sink = FakeSink()
        outcome = await attempts(calls, STREAM).run(sink)
        assert outcome == Failed(reason=Reason.CONNECTION_LOST, is_begun=True)
        assert sink.seen == ["begin", "1", "2"]

    async def test_one_that_may_not_be_resumed_is_cut_off(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer(n_events=2, breaks=True)])
        sink = FakeSink()
        outcome = await attempts(calls, STREAM_ONCE).run(sink)
        assert isinstance(outcome, Failed) and outcome.is_begun
        assert "end" not in sink.seen

    async def test_one_that_ends_without_any_event_is_no_answer(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer(n_events=0)] * 2)
        outcome = await attempts(calls, STREAM).run(FakeSink())
        assert isinstance(outcome, Failed)


class TestInputs:
    async def test_results_that_are_gone_are_made_again(self) -> None:
        # The maker of a result crashes before the engine has read it. The
        # request has not run; its stages are run once more.
        calls = FakeCalls(scripts=[CallFault.INPUTS_GONE, FakeAnswer(n_events=2)])
        sink = FakeSink()
        await attempts(calls, STREAM).run(sink)
        assert sink.seen == ["begin", "1", "2", "end"]
        assert [call.inputs for _, call in calls.sent] == [("made-1",), ("made-2",)]

    async def test_a_stream_that_goes_on_gets_them_anew(self) -> None:
        # An engine dies in the middle of a stream. Its results were freed at
        # the first event; the next engine refuses a request without them.
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

    async def test_gone_for_good_it_has_truly_not_run(self) -> None:
        calls = FakeCalls(scripts=[CallFault.INPUTS_GONE])
        inputs = FakeInputs(n_left=0)
        outcome = await attempts(calls, STREAM, inputs=inputs).run(FakeSink())
        assert outcome == Refused(reason=Reason.RESULT_GONE, retry_after_s=0.5)


class TestSilentStreams:
    async def test_one_that_falls_silent_goes_on_elsewhere(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # An engine's connection goes silent after two events. The gateway
        # counted the one sending twice, as sent and as timed out, took its two
        # attempts for used up, and cut a stream that could go on.
        monkeypatch.setattr(attempt_timeouts, "EVENT_TIMEOUT_S", 0.05)
        silent = FakeAnswer(n_events=2, hangs_s=5.0)
        calls = FakeCalls(scripts=[silent, FakeAnswer(n_events=2, first=3)])
        sink = FakeSink()
        assert isinstance(await attempts(calls, STREAM).run(sink), Answered)
        assert sink.seen == ["begin", "1", "2", "3", "4", "end"]

    async def test_one_that_can_go_nowhere_else_is_waited_for(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # An engine under pressure puts a stream back for two seconds. Cut then,
        # it is lost; waited for, it is only late.
        monkeypatch.setattr(attempt_timeouts, "EVENT_TIMEOUT_S", 0.05)
        calls = FakeCalls(scripts=[FakeAnswer(n_events=2, hangs_s=0.3)])
        sink = FakeSink()
        assert isinstance(await attempts(calls, STREAM_ONCE).run(sink), Answered)
        assert sink.seen == ["begin", "1", "2", "end"]


class TestCrashingRequests:
    async def test_one_that_crashes_its_third_worker_is_not_sent_on(self) -> None:
        # Its route would send it on at once, before anybody has told of the crash.
        calls = FakeCalls(scripts=[CallFault.BROKEN, FakeAnswer()])
        calls.refusing |= {"w0", "w1", "w2"}
        outcome = await attempts(calls, IDEMPOTENT, n_crashes=2).run(FakeSink())
        assert outcome == Failed(reason=Reason.CRASHES_WORKERS)
        assert len(calls.sent) == 1

    async def test_one_that_is_blocked_has_truly_not_run(self) -> None:
        calls = FakeCalls()
        running = attempts(calls, IDEMPOTENT, n_crashes=3)
        assert await running.run(FakeSink()) == Refused(reason=Reason.CRASHES_WORKERS)
        assert calls.sent == []

    async def test_a_broken_answer_of_a_live_worker_is_sent_on(self) -> None:
        calls = FakeCalls(scripts=[CallFault.BROKEN, FakeAnswer()])
        outcome = await attempts(calls, IDEMPOTENT, n_crashes=2).run(FakeSink())
        assert isinstance(outcome, Answered)

    async def test_others_go_where_no_suspect_runs(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer()])
        await attempts(calls, ONCE, apart=("w0", "w1")).run(FakeSink())
        assert calls.sent[0][0] == "w2"

    async def test_with_no_other_worker_they_go_there_all_the_same(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer()])
        running = attempts(calls, ONCE, n_workers=1, apart=("w0",))
        assert isinstance(await running.run(FakeSink()), Answered)
