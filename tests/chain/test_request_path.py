"""The path of a request from its route to its answer, and callers that leave."""

import asyncio
import itertools
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import pytest
from result import Ok, Result

from trefoilpaddle.coordination.chain.cell_schedulers import CellSchedulers
from trefoilpaddle.coordination.chain.chain_router import ChainRouter
from trefoilpaddle.coordination.chain.job import Job
from trefoilpaddle.coordination.chain.origin_placement import OriginPlacement
from trefoilpaddle.coordination.chain.planned_stop import PlannedStop
from trefoilpaddle.coordination.chain.request_path import NO_ACCOUNT, RequestPath
from trefoilpaddle.coordination.chain.scheduler_links import (
    SchedulerEndpoint,
    SchedulerLinks,
)
from trefoilpaddle.coordination.chain.service_lease import (
    HeldSlot,
    HoldSlot,
    unlimited_slot,
)
from trefoilpaddle.coordination.chain.stream_origins import StreamOrigins
from trefoilpaddle.coordination.chain.target_calls import OpenAnswer, TargetCall
from trefoilpaddle.coordination.chain.worker_choice import WorkerChoice
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.chain_work import ChainCompleted, ChainFailed, ChainWork
from trefoilpaddle.state.chain.crash_registry import Crash
from trefoilpaddle.state.chain.delivery import Delivery, Step
from trefoilpaddle.state.chain.fingerprint import fingerprint_of, part_fingerprint
from trefoilpaddle.state.chain.requests import (
    Answered,
    Failed,
    Outcome,
    Prompt,
    PromptPart,
    Refused,
)
from trefoilpaddle.state.chain.routes import (
    Account,
    RepeatPolicy,
    Route,
    RouteTable,
    StagePlan,
)
from trefoilpaddle.state.chain.target_answers import AnswerHead, CallFault
from trefoilpaddle.state.chain.workers import Worker, WorkerTable
from trefoilpaddle.state.journal import Event, Figure

from ..waiting import until
from .fakes import (
    FakeAnswer,
    FakeCalls,
    FakeSink,
    budgets,
    catch_up,
    crash_guard,
    journal,
    no_wait,
    process,
    request,
    route,
    scheduler,
    send_limits,
    table,
    worker,
)

GRACE_S = 8.0

Serving = asyncio.Task[Outcome]


class SlowCalls(FakeCalls):
    """Counts the answers that were waited for until complete."""

    n_finished = 0

    @asynccontextmanager
    async def exchange(
        self, worker: Worker, call: TargetCall
    ) -> AsyncIterator[Result[OpenAnswer, CallFault]]:
        self.sent.append((worker.worker_id, call))
        await asyncio.sleep(0.05)
        self.n_finished += 1
        yield Ok(FakeAnswer())


@dataclass
class HeldChecks(FakeCalls):
    """Tells whether a worker has exited only once the test allows it."""

    may_tell: asyncio.Event = field(default_factory=asyncio.Event)

    async def is_listening(self, worker: Worker) -> bool | None:
        self.n_checks += 1
        await self.may_tell.wait()
        return True


class Rig:
    """A request path over two plain workers."""

    def __init__(
        self, calls: FakeCalls, *routes: Route, hold_slot: HoldSlot = unlimited_slot
    ) -> None:
        self.notes = journal()
        self.stop = PlannedStop(grace_s=GRACE_S)
        self.workers = workers = WorkerTable()
        for number in range(2):
            workers.put(worker(f"w{number}"))
        own = process("g")
        schedulers = CellSchedulers(
            process=own,
            make=lambda domains: scheduler(calls, workers, RouteTable(), self.notes),
        )
        self.guard = crash_guard(calls, workers)
        self.path = RequestPath(
            failure_domain="here",
            workers=workers,
            router=ChainRouter(
                links=SchedulerLinks(
                    own_id="g",
                    live=list,
                    peers=own.peers,
                ),
                schedulers=schedulers,
                workers=workers,
                region_of={},
                budgets=budgets(),
            ),
            choice=WorkerChoice(failure_domain="here", workers=workers),
            calls=calls,
            budgets=budgets(),
            journal=self.notes,
            stop=self.stop,
            guard=self.guard,
            catch_up=catch_up(own, self.guard),
            send_limits=send_limits(workers),
            origins=StreamOrigins(
                process=own,
                placement=OriginPlacement(own_id="g", live=list, stopping=list),
                workers=workers,
                wait_known=no_wait,
            ),
            hold_slot=hold_slot,
        )
        if routes:
            self.path.activate(table(*routes))

    async def serve(self, **fields: object) -> Outcome:
        return await self.path.serve(request(**fields), FakeSink())

    def record_crash(self) -> None:
        """Record that a worker has crashed under the request that `serve` sends."""
        crash = Crash(worker_id="x", born_ms=1, level=1, ended_s=time.monotonic())
        self.guard.receive_crash(fingerprint_of(request(), NO_ACCOUNT.name), crash)

    async def finished(self) -> None:
        """Wait until no request is finished without its caller any more."""
        await until(lambda: not self.path._finishing)

    def stop_sending(self) -> None:
        """Order a stop whose time to send requests to workers is over."""
        self.stop.order(time.monotonic() - GRACE_S)

    def events(self) -> list[Event]:
        return [record.decision.event for record in self.notes.recent()]


class TestStreams:
    async def test_stages_are_to_be_made_before_its_caller_leaves(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A chat has a deadline of 20 s, but its caller leaves after 7 s without an
        # event. Its chain received the deadline of 20 s and was queued beyond the 7 s.
        works: list[ChainWork] = []

        async def refuse(
            _: ChainRouter, work: ChainWork, place: SchedulerEndpoint, **__: object
        ) -> ChainFailed:
            works.append(work)
            return ChainFailed(reason=Reason.PREDICTED_LATE, is_begun=False)

        monkeypatch.setattr(ChainRouter, "run", refuse)
        stages = (StagePlan(service="s", after=(), result_bytes=1.0),)
        chat = route(is_stream=True, timeout_s=20.0, event_timeout_s=7.0, stages=stages)
        rig = Rig(FakeCalls(), chat)
        rig.workers.put(worker("s1", "s"))
        now_s = time.monotonic()
        outcome = await rig.serve(received_s=now_s, deadline_s=now_s + 20.0)
        assert isinstance(outcome, Refused)
        assert [work.deadline_s <= now_s + 7.0 for work in works] == [True]


class TestAnswersInTheLog:
    @pytest.mark.parametrize("status", [200, 404, 500])
    async def test_an_answer_names_its_worker_and_status(self, status: int) -> None:
        # Guards against a failure of a worker whose line reads like that of a success.
        head = AnswerHead(status=status, headers=())
        rig = Rig(FakeCalls([FakeAnswer(head=head)]), route())
        await rig.serve()
        (line,) = [
            record.decision
            for record in rig.notes.recent()
            if record.decision.event is Event.REQUEST_ANSWERED
        ]
        assert line.peer in {"w0", "w1"}
        assert Figure(name="status", value=status) in line.figures


class TestBlockedPart:
    # Guards against a request that is held back in its stages although it will be sent
    # to no worker, as a part of its prompt was blocked meanwhile.
    async def test_a_request_in_its_stages_is_answered_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def wait(
            _: ChainRouter, work: ChainWork, place: SchedulerEndpoint, **__: object
        ) -> ChainFailed:
            await asyncio.sleep(20.0)
            raise AssertionError("the wait was not interrupted")

        monkeypatch.setattr(ChainRouter, "run", wait)
        stages = (StagePlan(service="s", after=(), result_bytes=1.0),)
        rig = Rig(FakeCalls(), route(is_stream=True, timeout_s=20.0, stages=stages))
        rig.workers.put(worker("s1", "s"))
        parts = tuple(PromptPart(part_id=each, n_tokens=1) for each in ("bad", "own"))
        prompt = Prompt(parts=parts, n_tokens=2, n_output_tokens=1)
        now_s = time.monotonic()
        waiting = asyncio.create_task(rig.serve(prompt=prompt, deadline_s=now_s + 20.0))
        await asyncio.sleep(0.01)
        bad = part_fingerprint("bad")
        for level in (1, 2, 3):
            assert not waiting.done()
            crash = Crash(
                worker_id=f"w{level}", born_ms=1, level=level, ended_s=time.monotonic()
            )
            rig.guard.receive_crash(bad, crash)
        async with asyncio.timeout(1.0):
            outcome = await waiting
        assert outcome == Refused(reason=Reason.CRASHES_WORKERS, detail=bad)


class TestWhoGoverns:
    async def test_nothing_is_denied_before_anything_is_known(self) -> None:
        outcome = await Rig(FakeCalls()).serve()
        assert isinstance(outcome, Refused)
        assert outcome.reason is Reason.NO_CONFIGURATION

    async def test_a_key_is_asked_for_but_on_public_routes(self) -> None:
        rig = Rig(FakeCalls(scripts=[FakeAnswer(), FakeAnswer()]))
        keyed = table(
            route(name="closed", prefix="/x"),
            route(name="open", prefix="/open", is_public=True),
        )
        accounts = {"key": Account(name="acme")}
        keyed = replace(keyed, account_of_key=accounts, has_accounts=True)
        rig.path.activate(keyed)
        refused = await rig.serve()
        assert isinstance(refused, Refused) and refused.reason is Reason.UNAUTHORISED
        assert isinstance(await rig.serve(key="key"), Answered)
        assert isinstance(await rig.serve(path="/open"), Answered)

    async def test_one_whose_time_is_over_is_not_sent(self) -> None:
        calls = FakeCalls()
        outcome = await Rig(calls, route()).serve(deadline_s=0.0)
        assert isinstance(outcome, Refused)
        assert calls.sent == []


class TestCallersThatLeave:
    async def leave(self, rig: Rig, calls: FakeCalls) -> None:
        serving = asyncio.create_task(rig.serve())
        await until(lambda: calls.sent)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    async def test_what_may_not_run_twice_is_finished(self) -> None:
        # A caller reserves stock and leaves before the answer. If the run is cancelled,
        # the reservation is incomplete; if it is completed, the worker has its result.
        calls = SlowCalls()
        rig = Rig(calls, route())
        await self.leave(rig, calls)
        await until(lambda: calls.n_finished == 1)
        assert Event.CALLER_LEFT in rig.events()

    async def test_what_waits_for_a_slot_gives_its_place_up(self) -> None:
        # Guards against requests that nobody waits for any more and that wait for a
        # slot before those of other callers, as they must be finished once begun.
        n_waiting = 0

        @asynccontextmanager
        async def hold_slot(job: Job) -> AsyncIterator[HeldSlot | Refused]:
            nonlocal n_waiting
            n_waiting += 1
            try:
                await asyncio.Event().wait()
            finally:
                n_waiting -= 1
            yield HeldSlot()

        calls = SlowCalls()
        rig = Rig(calls, route(), hold_slot=hold_slot)
        serving = asyncio.create_task(rig.serve())
        await until(lambda: n_waiting == 1)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        await asyncio.sleep(0.01)
        assert n_waiting == 0
        assert calls.sent == []

    async def test_what_may_be_repeated_is_broken_off(self) -> None:
        calls = SlowCalls()
        rig = Rig(calls, route(repeat=RepeatPolicy.IDEMPOTENT))
        await self.leave(rig, calls)
        await asyncio.sleep(0.1)
        assert calls.n_finished == 0


class BrokenSink(FakeSink):
    """A caller whose connection breaks before its answer is written."""

    async def whole(self, head: AnswerHead, body: bytes) -> None:
        raise ConnectionResetError("cannot write to a closing transport")


class TestUnwrittenAnswers:
    # Guards against requests that end without a line in the log.
    async def test_an_answer_that_cannot_be_written_is_in_the_log(self) -> None:
        rig = Rig(FakeCalls(scripts=[FakeAnswer()]), route())
        with pytest.raises(ConnectionResetError):
            await rig.path.serve(request(), BrokenSink())
        assert rig.events()[-1] is Event.CALLER_LEFT


class TestFailures:
    # Guards against failures of which the log does not tell how each attempt ended.
    async def test_the_log_tells_how_each_attempt_ended(self) -> None:
        calls = FakeCalls(
            scripts=[FakeAnswer(n_events=2, breaks=True), CallFault.BROKEN]
        )
        stream = route(is_stream=True, is_resumable=True, max_attempts=2)
        rig = Rig(calls, stream)
        assert isinstance(await rig.serve(), Failed)
        *_, last = rig.notes.recent()
        ended = [f"broken at {worker_id}, " for worker_id, _ in calls.sent]
        assert last.decision.event is Event.REQUEST_FAILED
        assert [each in last.decision.detail for each in ended] == [True, True]

    # Guards against an attempt that is not told for one at a worker of a longer name.
    def test_each_worker_is_told(self) -> None:
        delivery = Delivery()
        for worker_id in ("w10", "w1", "w1"):
            delivery.record_obstacle(f"silent at {worker_id}")
        assert delivery.obstacles == ["silent at w10", "silent at w1"]

    # Guards against a deadline that reads like a silent worker in the log.
    async def test_the_log_tells_a_deadline_from_silence(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer(hangs_s=60.0)])
        rig = Rig(calls, route(timeout_s=0.05))
        assert isinstance(await rig.serve(), Failed)
        *_, last = rig.notes.recent()
        assert last.decision.detail.startswith("deadline passed at w")


class TestWhatIsCutOff:
    async def test_the_log_tells_it_from_a_caller_that_left(self) -> None:
        # A gateway that stops closed the connections of requests without an answer. Its
        # log reported for each of them that the caller had left.
        rig = Rig(SlowCalls(), route())
        rig.stop.order()
        rig.stop.is_closing = True
        serving = asyncio.create_task(rig.serve())
        await asyncio.sleep(0)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        assert rig.events()[-1] is Event.REQUEST_CUT


class TestAnsweredAsNotRun:
    # Guards against a request that runs once its caller was told that it has not, or
    # has left, as its wait before a worker went on.

    @pytest.fixture
    def calls(self) -> HeldChecks:
        return HeldChecks(scripts=[FakeAnswer()])

    @pytest.fixture
    async def rig(self, calls: HeldChecks) -> Rig:
        rig = Rig(calls, route())
        rig.record_crash()
        return rig

    async def begin(self, rig: Rig, calls: HeldChecks) -> Serving:
        """Begin to serve a request and wait for the check of its worker."""
        serving = asyncio.create_task(rig.serve())
        await until(lambda: calls.n_checks)
        return serving

    async def assert_not_sent(self, rig: Rig, calls: HeldChecks) -> None:
        calls.may_tell.set()
        await rig.finished()
        assert calls.sent == []

    async def test_a_check_of_its_worker_outlasts_the_time_to_send(
        self, rig: Rig, calls: HeldChecks
    ) -> None:
        serving = await self.begin(rig, calls)
        rig.stop_sending()
        outcome = await serving
        assert isinstance(outcome, Refused) and outcome.reason is Reason.STOPPING
        await self.assert_not_sent(rig, calls)

    async def test_a_check_of_its_worker_outlasts_its_deadline(
        self, rig: Rig, calls: HeldChecks
    ) -> None:
        outcome = await rig.serve(deadline_s=time.monotonic() + 0.05)
        assert isinstance(outcome, Refused)
        assert outcome.reason is Reason.DEADLINE_PASSED
        await self.assert_not_sent(rig, calls)

    async def test_a_check_of_its_worker_outlasts_its_caller(
        self, rig: Rig, calls: HeldChecks
    ) -> None:
        serving = await self.begin(rig, calls)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        await self.assert_not_sent(rig, calls)

    async def test_a_check_of_its_worker_ends_with_its_caller(
        self, rig: Rig, calls: HeldChecks
    ) -> None:
        # Guards against a slot that is held for a request that nobody waits for.
        serving = await self.begin(rig, calls)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        await rig.finished()
        assert not calls.may_tell.is_set()


def leave(rig: Rig, serving: Serving) -> None:
    """Let the caller of a request leave."""
    serving.cancel()


async def some_turns() -> None:
    """Wait for a few turns of the event loop."""
    for _ in range(3):
        await asyncio.sleep(0)


class SlowChecks(FakeCalls):
    """Checks whether workers have exited in a few turns of the event loop."""

    async def is_listening(self, worker: Worker) -> bool | None:
        await some_turns()
        return True


class TestEveryWait:
    # Guards against a wait before a worker after which a request is sent, although its
    # answer fell due, or its caller left, within that wait.

    BEFORE_A_WORKER = frozenset(Step) - {Step.PEERS, Step.WORKER, Step.NEXT_ATTEMPT}

    @pytest.fixture(autouse=True)
    def slow_stages(self, monkeypatch: pytest.MonkeyPatch) -> None:
        async def run(
            _: ChainRouter, work: ChainWork, place: SchedulerEndpoint, **__: object
        ) -> ChainCompleted:
            await some_turns()
            return ChainCompleted(handles=("made",))

        monkeypatch.setattr(ChainRouter, "run", run)

    def slow_rig(self, calls: FakeCalls) -> Rig:
        @asynccontextmanager
        async def hold_slot(job: Job) -> AsyncIterator[HeldSlot | Refused]:
            await some_turns()
            yield HeldSlot()

        stages = (StagePlan(service="s", after=(), result_bytes=1.0),)
        rig = Rig(calls, route(stages=stages, max_attempts=2), hold_slot=hold_slot)
        rig.workers.put(worker("s1", "s"))
        rig.record_crash()
        return rig

    async def steps_at_the_end(self, end: Callable[[Rig, Serving], None]) -> set[str]:
        """End the wait in each turn of the loop in turn; return what was waited for.

        The first worker does not find its inputs, so that these are computed again.
        """
        steps: set[str] = set()
        for n_turns in itertools.count():
            run = FakeAnswer()
            calls = SlowChecks(scripts=[CallFault.INPUTS_GONE, run])
            rig = self.slow_rig(calls)
            deliveries = rig.path._deliveries
            serving = asyncio.create_task(rig.serve())
            for _ in range(n_turns):
                await asyncio.sleep(0)
            if serving.done():
                assert run not in calls.scripts
                return steps
            waits_for = [each.waiting_for() for each in deliveries.values()]
            end(rig, serving)
            (outcome,) = await asyncio.gather(serving, return_exceptions=True)
            is_sent = run not in calls.scripts
            assert not (is_sent and isinstance(outcome, Refused))
            await rig.finished()
            is_sent_later = run not in calls.scripts and not is_sent
            assert not is_sent_later, f"after a wait for {waits_for}"
            steps.update(waits_for)
        raise AssertionError("the request was never sent")

    async def test_the_time_to_send_is_over(self) -> None:
        steps = await self.steps_at_the_end(lambda rig, _: rig.stop_sending())
        assert steps >= {step.value for step in self.BEFORE_A_WORKER}

    async def test_the_caller_leaves(self) -> None:
        steps = await self.steps_at_the_end(leave)
        assert steps >= {step.value for step in self.BEFORE_A_WORKER}


class TestWhatIsRefused:
    async def test_the_log_names_what_it_waited_for(self) -> None:
        # Guards against a refusal whose log tells nothing of the wait that it ended.
        calls = HeldChecks()
        rig = Rig(calls, route())
        rig.record_crash()
        serving = asyncio.create_task(rig.serve())
        await until(lambda: calls.n_checks)
        rig.stop_sending()
        assert isinstance(await serving, Refused)
        refused = list(rig.notes.recent())[-1].decision
        assert refused.event is Event.REQUEST_REFUSED
        assert refused.detail == "waited for the check whether its worker has exited"
