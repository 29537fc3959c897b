"""State that is learnt of one stage worker: its times and its memory for results."""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import replace

import pytest

from trefoilpaddle.coordination.chain import worker_caller
from trefoilpaddle.coordination.chain.worker_caller import WorkerCaller
from trefoilpaddle.state.chain.cell_handover import HeldResult, WorkerHandover
from trefoilpaddle.state.chain.crash_registry import Crash
from trefoilpaddle.state.chain.piece_times import RATIO_HALF_LIFE_S, PieceTimes
from trefoilpaddle.state.chain.piece_work import PieceFault, PieceOutcome, PieceWork
from trefoilpaddle.state.chain.result_memory import PROBE_INTERVAL_S, ResultMemory
from trefoilpaddle.state.chain.target_answers import CallFault, WorkerReport
from trefoilpaddle.state.chain.workers import Worker, WorkerTable

from ..waiting import until
from .fakes import (
    FakeCalls,
    crash_guard,
    journal,
    piece_service,
    result_of,
    send_limits,
    worker,
)
from .test_piece_queue import piece

NOW_S = 1000.0
AT = replace(worker("s1", "s"), born_ms=100)


KNOWN = WorkerHandover(
    worker_id="s1", born_ms=100, busy_s=0.0, ratio=1.0, busy_per_s=100.0, held=()
)
"""State of an idle worker that keeps no results."""


class Rig:
    """A caller of one worker, and the pieces that it returned."""

    def __init__(
        self, calls: FakeCalls, *, is_known: bool = True, **fields: float
    ) -> None:
        self.workers = WorkerTable()
        self.workers.put(AT)
        self.guard = crash_guard(calls, self.workers)
        self.returned: list[PieceWork] = []
        self.freed: list[str] = []
        self.caller = WorkerCaller(
            worker=AT,
            service=piece_service("s", **fields),
            calls=calls,
            workers=self.workers,
            journal=journal(),
            on_free=lambda: None,
            on_freed=lambda _, handles: self.freed.extend(handles),
            on_return=self.returned.extend,
            guard=self.guard,
            send_limits=send_limits(self.workers),
        )
        if is_known:
            self.caller.known.take_over(KNOWN, time.monotonic())

    async def call(self, *works: PieceWork) -> None:
        self.caller.start(list(works), n_waiting=0)
        await until(lambda: all(not w.is_pending for w in works) or self.returned)


def due(name: str, **fields: object) -> PieceWork:
    now_s = time.monotonic()
    return piece(name, due_s=now_s + 5, deadline_s=now_s + 9, **fields)


class TestTimes:
    def test_the_times_of_a_slow_worker_are_learnt(self) -> None:
        times = PieceTimes(service=piece_service("s", call_s=0.2, piece_s=0.0))
        for number in range(30):
            times.learn(4, 0.8, float(number))
        assert 0.7 < times.call_s(4) < 0.81

    def test_learnt_slowness_decays_while_idle(self) -> None:
        # A slow worker receives few calls, so few calls show its recovery.
        times = PieceTimes(service=piece_service("s", call_s=0.2, piece_s=0.0))
        for number in range(30):
            times.learn(4, 1.0, float(number))
        assert times.idle_ratio(29.0) > 4.5
        assert times.idle_ratio(29.0 + 4 * RATIO_HALF_LIFE_S) < 1.3

    def test_the_pace_follows_the_bottleneck(self) -> None:
        # With full calls a worker would complete 16 pieces per second; its memory
        # limits it to 4. Chains must be admitted by the actual pace.
        service = piece_service("s", batch=4, call_s=0.25, piece_s=0.0)
        times = PieceTimes(service=service)
        times.learn(1, 0.25, 0.0)
        for number in range(1, 40):
            began_s = (number - 1) * 0.25
            times.learn_busy(1, began_s=began_s, now_s=number * 0.25)
            times.learn(1, 0.25, number * 0.25)
        assert 3.9 < times.busy_per_s < 4.5


class TestResultMemory:
    def memory(self, **fields: float) -> ResultMemory:
        return ResultMemory(service=piece_service("s", memory_bytes=10, **fields))

    def test_results_count_from_the_start_of_their_call(self) -> None:
        memory = self.memory()
        memory.begin_call(4)
        assert memory.free_bytes(NOW_S) == 6
        memory.keep("a", 3, NOW_S)
        memory.end_call(4)
        assert memory.free_bytes(NOW_S) == 7
        memory.free("a")
        assert memory.is_empty(NOW_S)

    def test_results_expire(self) -> None:
        memory = self.memory(retention_s=4.0)
        memory.keep("a", 8, NOW_S)
        assert memory.used_bytes(NOW_S + 3.9) == 8
        assert memory.used_bytes(NOW_S + 4.1) == 0

    def test_results_of_others_count_until_they_expire(self) -> None:
        # A scheduler is lost and its results are not freed any more.
        memory = self.memory(retention_s=4.0)
        memory.keep("a", 2, NOW_S)
        memory.learn_report(2, 3, NOW_S)
        assert memory.free_bytes(NOW_S + 3.9) == 3
        assert memory.free_bytes(NOW_S + 4.1) == 10

    def test_a_further_report_does_not_extend_the_expiry(self) -> None:
        # With a report every half second, results that expire after four seconds
        # seemed to be kept for eight.
        memory = self.memory(retention_s=4.0)
        for half in range(8):
            memory.learn_report(2, 3, NOW_S + half / 2)
        assert memory.free_bytes(NOW_S + 4.1) == 10

    def test_a_rounded_report_does_not_reduce_free_memory(self) -> None:
        # 4 and nearly 5 free units are reported alike. If the lower bound were taken
        # for exact, small memories would count as full while results are kept.
        memory = self.memory()
        memory.learn_report(9, 11, NOW_S)
        assert memory.free_bytes(NOW_S) == 10

    def test_after_lack_of_memory_smaller_results_are_tried(self) -> None:
        memory = self.memory()
        memory.learn_full(4, NOW_S, own_bytes=0)
        assert 3 < memory.free_bytes(NOW_S) < 4

    def test_after_a_while_a_result_of_the_same_size_is_tried(self) -> None:
        memory = self.memory()
        memory.learn_full(2, NOW_S, own_bytes=0)
        assert 3.5 < memory.free_bytes(NOW_S + PROBE_INTERVAL_S) < 4

    def test_others_are_estimated_from_own_results_at_that_time(self) -> None:
        memory = self.memory()
        memory.keep("a", 3, NOW_S)
        memory.learn_full(2, NOW_S, own_bytes=9)
        assert memory.free_bytes(NOW_S) == 7

    def test_results_of_the_former_scheduler_count(self) -> None:
        memory = self.memory()
        memory.take_over_results(
            [HeldResult(handle="a", n_bytes=4, expires_in_s=1.0)], NOW_S
        )
        assert memory.free_bytes(NOW_S) == 6
        assert memory.free_bytes(NOW_S + 1.1) == 10


class TestPace:
    async def test_an_idle_worker_that_was_skipped_keeps_its_pace(self) -> None:
        # A piece waits briefly for a worker of its preferred domain. The preceding idle
        # time of this worker counted as busy: after some repetitions its pace was
        # almost zero, and chains were refused while workers were idle.
        rig = Rig(FakeCalls(call_s=0.02))
        before_per_s = rig.caller.known.times.busy_per_s
        for _ in range(6):
            await rig.call(due("a"), due("b"), due("c"), due("d"))
            await asyncio.sleep(0.3)
            rig.caller.block(time.monotonic())
        assert rig.caller.known.times.busy_per_s > 0.5 * before_per_s


class TestAsking:
    async def test_a_worker_of_a_former_scheduler_is_asked_first(self) -> None:
        # A scheduler crashes. The workers still keep its results and run its calls. As
        # the next scheduler did not know of them, 3,343 pieces found no memory in a
        # day, with up to 790 calls in one second.
        worker_report = WorkerReport(
            n_queued=1, is_busy=True, least_free_bytes=1e5, most_free_bytes=2e5
        )
        rig = Rig(FakeCalls(worker_report=worker_report), is_known=False, call_s=0.2)
        now_s = time.monotonic()
        assert not rig.caller.is_free(now_s)
        await until(lambda: rig.caller.known.memory.used_bytes(now_s) > 0)
        assert rig.caller.known.memory.free_bytes(now_s) == pytest.approx(2e5)
        assert not rig.caller.is_free(now_s)
        assert 0.1 < rig.caller.known.busy_s(now_s) < 0.4

    async def test_a_worker_that_sends_no_report_is_called(self) -> None:
        rig = Rig(FakeCalls(worker_report=None), is_known=False)
        rig.caller.is_free(time.monotonic())
        await until(lambda: rig.caller.is_free(time.monotonic()))

    async def test_a_full_worker_is_paused_for_half_a_call_and_asked(self) -> None:
        calls = FakeCalls(make=lambda _, __: CallFault.FULL)
        rig = Rig(calls, call_s=0.2)
        await rig.call(due("a"))
        assert [work.request_id for work in rig.returned] == ["a"]
        now_s = time.monotonic()
        assert not rig.caller.is_free(now_s + 0.05)
        rig.caller.is_free(now_s + 0.15)
        await until(lambda: calls.n_reports == 1)

    async def test_a_worker_without_memory_is_asked_and_offers_less(self) -> None:
        def no_memory(_: Worker, works: Sequence[PieceWork]) -> list[PieceOutcome]:
            return [PieceFault.NO_MEMORY] * len(works)

        calls = FakeCalls(make=no_memory)
        rig = Rig(calls)
        await rig.call(due("a", result_bytes=1e5), due("b", result_bytes=1e5))
        now_s = time.monotonic()
        assert not rig.caller.is_free(now_s)
        await until(lambda: calls.n_reports == 1)
        offer = rig.caller.known.offer(now_s, n_skipped=0, free_in_s_by_domain={})
        assert offer.free_bytes < 1e5


class TestFreedDuringCall:
    async def test_memory_that_is_freed_during_a_call_stays_free(self) -> None:
        # A worker's results are slightly larger than published, and the last piece of a
        # full call finds no memory. All memory that was freed during the call counted
        # as kept by others, so calls of the worker carried a third of their pieces for
        # four seconds, and callers in a burst were refused.
        def all_but_last(at: Worker, works: Sequence[PieceWork]) -> list[PieceOutcome]:
            rig.caller.known.memory.free("before")
            return [*(result_of(at, w) for w in works[:-1]), PieceFault.NO_MEMORY]

        rig = Rig(FakeCalls(make=all_but_last), memory_bytes=10e5)
        now_s = time.monotonic()
        rig.caller.known.memory.keep("before", 6e5, now_s)
        await rig.call(*(due(name, result_bytes=1e5) for name in "abcd"))
        assert [work.request_id for work in rig.returned] == ["d"]
        offer = rig.caller.known.offer(now_s, n_skipped=0, free_in_s_by_domain={})
        assert offer.free_bytes > 6e5


class TestNewStart:
    async def test_calls_to_the_former_start_fail_at_once(self) -> None:
        # The worker crashes and is back under its id before its calls time out. Waiting
        # for their responses delayed their requests by one and a half seconds.
        rig = Rig(FakeCalls(call_s=9.0))
        work = due("a")
        rig.caller.start([work], n_waiting=0)
        rig.caller.mark_exited()
        assert work.outcome.result() is PieceFault.LOST

    async def test_a_late_response_of_the_former_start_is_ignored(self) -> None:
        gate = asyncio.Event()
        calls = FakeCalls()

        async def answer(
            at: Worker,
            works: Sequence[PieceWork],
            *,
            timeout_s: float,
            on_sent: Callable[[], None],
        ) -> object:
            await gate.wait()
            return await FakeCalls().run_pieces(
                at, works, timeout_s=timeout_s, on_sent=on_sent
            )

        calls.run_pieces = answer  # type: ignore[method-assign,assignment]
        rig = Rig(calls)
        work = due("a")
        rig.caller.start([work], n_waiting=0)
        rig.caller.mark_exited()
        gate.set()
        await asyncio.sleep(0.05)
        assert work.outcome.result() is PieceFault.LOST
        assert result_of(AT, work).handle not in calls.freed


class TestUnsentCall:
    @pytest.mark.parametrize("has_exited", [False, True])
    async def test_pieces_that_nobody_waits_for_are_not_sent(
        self, has_exited: bool
    ) -> None:
        # Guards against pieces that run once their request was refused, and against a
        # worker that is left out for a call that was never sent to it.
        class SlowChecks(FakeCalls):
            async def is_listening(self, worker: Worker) -> bool | None:
                work.outcome.cancel()
                return not has_exited

        calls = SlowChecks()
        rig = Rig(calls)
        work = due("a", fingerprint="f" * 32)
        crash = Crash(worker_id="x", born_ms=1, level=1, ended_s=time.monotonic())
        rig.guard.receive_crash(work.fingerprint, crash)
        await rig.call(work)
        await until(lambda: rig.caller.is_free(time.monotonic()))
        assert calls.batches == []
        assert not rig.workers.is_suspect("s1")


class TestFetched:
    async def test_the_request_is_notified_when_inputs_are_fetched(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(worker_caller, "INPUT_FETCH_S", 0.01)
        notified: list[str] = []
        rig = Rig(FakeCalls(call_s=0.1))
        work = due("a", on_fetched=lambda: notified.append("a"))
        rig.caller.start([work], n_waiting=0)
        await until(lambda: notified == ["a"])
        assert work.is_pending

    async def test_the_delay_counts_from_the_sending_of_the_call(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A gateway is short of processor time and sends a call 0.1 s after it was
        # begun. When the delay was counted from the beginning, inputs were freed before
        # the worker fetched them: 589 pieces of a day found an input gone, and their
        # chains ran again, which took more processor time.
        monkeypatch.setattr(worker_caller, "INPUT_FETCH_S", 0.01)
        notified: list[str] = []
        rig = Rig(FakeCalls(sending_s=0.1, call_s=0.1))
        rig.caller.start(
            [due("a", on_fetched=lambda: notified.append("a"))], n_waiting=0
        )
        await asyncio.sleep(0.08)
        assert notified == []
        await until(lambda: notified == ["a"])

    @pytest.mark.parametrize("end", [CallFault.FULL, PieceFault.NO_MEMORY])
    async def test_a_refused_call_does_not_notify(
        self, monkeypatch: pytest.MonkeyPatch, end: CallFault | PieceFault
    ) -> None:
        # The worker has no slot for the call, or no memory for its results, and refuses
        # at once. When the request was still notified that the inputs were fetched, it
        # freed them, and the next worker did not find them.
        def turn_away(
            _: Worker, works: Sequence[PieceWork]
        ) -> list[PieceOutcome] | CallFault:
            return end if isinstance(end, CallFault) else [end] * len(works)

        monkeypatch.setattr(worker_caller, "INPUT_FETCH_S", 0.03)
        notified: list[str] = []
        rig = Rig(FakeCalls(make=turn_away))
        await rig.call(due("a", on_fetched=lambda: notified.append("a")))
        await asyncio.sleep(0.05)
        assert notified == []
