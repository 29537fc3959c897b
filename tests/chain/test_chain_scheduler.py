"""Chains of stages: admitted or refused, run in order, and freed."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import replace

import pytest

from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.chain_work import (
    ChainCompleted,
    ChainFailed,
    ChainWork,
    StagePiece,
)
from trefoilpaddle.state.chain.piece_work import (
    PieceFault,
    PieceOutcome,
    PieceResult,
    PieceWork,
)
from trefoilpaddle.state.chain.routes import StagePlan
from trefoilpaddle.state.chain.target_answers import CallFault
from trefoilpaddle.state.chain.workers import Worker, WorkerTable

from ..waiting import until
from .fakes import FakeCalls, journal, made, piece_service, scheduler, table, worker

DIAMOND = (
    StagePlan(service="s", after=(), result_bytes=1000.0),
    StagePlan(service="s", after=(), result_bytes=10.0),
    StagePlan(service="t", after=(1,), result_bytes=10.0),
)
"""The request takes stage 0 and stage 2; stage 2 takes stage 1."""


def work(
    name: str = "a",
    *,
    due_in_s: float = 5.0,
    n_pieces: tuple[int, ...] = (2, 1, 3),
    priority: int = 0,
    near: str = "",
) -> ChainWork:
    now_s = time.monotonic()
    return ChainWork(
        request_id=name,
        route="r",
        stages=DIAMOND,
        n_pieces=n_pieces,
        piece_key=f"k{name}",
        due_s=now_s + due_in_s,
        deadline_s=now_s + 9.0,
        priority=priority,
        preferred_domain=near,
    )


class Rig:
    """A scheduler over one worker of each of two services."""

    def __init__(self, calls: FakeCalls, **fields: float) -> None:
        self.calls = calls
        self.workers = WorkerTable()
        self.workers.put(worker("s1", "s"))
        self.workers.put(worker("t1", "t"))
        services = [piece_service("s", **fields), piece_service("t", **fields)]
        self.notes = journal()
        self.scheduler = scheduler(
            calls, self.workers, table(services=services), self.notes
        )

    async def warm(self) -> None:
        """Have each worker called once: the first call to one carries little."""
        await self.scheduler.run(work("first", n_pieces=(1, 1, 1)))
        self.calls.batches.clear()


class TestExecution:
    async def test_stages_take_the_results_of_those_before(self) -> None:
        calls = FakeCalls()
        end = await Rig(calls).scheduler.run(work())
        assert isinstance(end, ChainCompleted)
        assert end.handles == (
            "s1/a.0.0",
            "s1/a.0.1",
            "t1/a.2.0",
            "t1/a.2.1",
            "t1/a.2.2",
        )
        last = [piece for batch in calls.batches for piece in batch if piece.stage == 2]
        assert {piece.inputs for piece in last} == {("s1/a.1.0",)}
        assert {piece.key for piece in last} == {""}

    async def test_a_stage_without_pieces_is_left_out(self) -> None:
        end = await Rig(FakeCalls()).scheduler.run(work(n_pieces=(0, 1, 1)))
        assert isinstance(end, ChainCompleted)
        assert end.handles == ("t1/a.2.0",)

    async def test_pieces_of_several_requests_ride_together(self) -> None:
        # A call of a stage worker takes 200 ms whatever it carries. With one
        # request a call, a calm day needs more workers than there are.
        calls = FakeCalls()
        rig = Rig(calls, batch=20)
        ends = await asyncio.gather(*(rig.scheduler.run(work(n)) for n in "abcdef"))
        assert all(isinstance(end, ChainCompleted) for end in ends)
        assert len(calls.batches) <= 6

    async def test_next_stages_that_one_call_sets_off_ride_together(self) -> None:
        # One call ends the first stage of four requests at the same moment.
        # Their second stages are queued one after another; a worker called at
        # the first made that one alone, and the rest waited for a whole call.
        calls = FakeCalls()
        rig = Rig(calls, batch=20)
        await rig.warm()
        chains = [work(name, n_pieces=(0, 1, 2)) for name in "abcd"]
        await asyncio.gather(*(rig.scheduler.run(each) for each in chains))
        assert [len(batch) for batch in calls.batches] == [4, 8]

    async def test_a_stage_is_not_split_between_two_calls(self) -> None:
        # Nothing is gained by a part that is made ahead: its results only take
        # up memory until the rest is there.
        calls = FakeCalls()
        rig = Rig(calls, batch=5)
        await rig.warm()
        chains = [work(name, n_pieces=(3, 0, 0)) for name in "ab"]
        await asyncio.gather(*(rig.scheduler.run(each) for each in chains))
        assert [len(batch) for batch in calls.batches] == [3, 3]

    async def test_results_that_were_read_are_freed(self) -> None:
        calls = FakeCalls()
        rig = Rig(calls)
        await rig.scheduler.run(work())
        await until(lambda: "s1/a.1.0" in calls.freed)
        assert "s1/a.0.0" not in calls.freed
        rig.scheduler.free("a")
        await until(lambda: len(calls.freed) == 6)

    async def test_a_failed_stage_frees_what_the_others_made(self) -> None:
        def fail(at: Worker, works: Sequence[PieceWork]) -> list[PieceOutcome]:
            if at.worker_id == "t1":
                return [PieceFault.INPUT_GONE] * len(works)
            return [made(at, each) for each in works]

        calls = FakeCalls(make=fail)
        end = await Rig(calls).scheduler.run(work())
        assert end == ChainFailed(reason=Reason.RESULT_GONE, is_begun=True)
        await until(lambda: len(calls.freed) == 3)

    async def test_a_silent_worker_is_left_for_another(self) -> None:
        # A worker falls silent under a call. What waits behind it must not
        # wait for its end.
        def answer(
            at: Worker, works: Sequence[PieceWork]
        ) -> list[PieceOutcome] | CallFault:
            if at.worker_id == "s1":
                return CallFault.SILENT
            return [made(at, each) for each in works]

        rig = Rig(FakeCalls(make=answer))
        rig.workers.put(worker("s2", "s"))
        end = await rig.scheduler.run(work())
        assert isinstance(end, ChainCompleted)
        assert end.handles[0].startswith("s2/")

    async def test_a_fault_of_a_call_does_not_stop_the_worker(self) -> None:
        # A worker answers a call with what nobody foresaw. It must not count as
        # busy for good.
        def answer(at: Worker, works: Sequence[PieceWork]) -> list[PieceOutcome]:
            if len(calls.batches) == 1:
                raise ValueError("unforeseen")
            return [made(at, each) for each in works]

        calls = FakeCalls(make=answer)
        end = await Rig(calls).scheduler.run(work())
        assert isinstance(end, ChainCompleted)

    async def test_a_piece_without_room_stays_and_is_made_when_there_is(self) -> None:
        tries: list[int] = []

        def answer(at: Worker, works: Sequence[PieceWork]) -> list[PieceOutcome]:
            tries.append(len(works))
            if at.worker_id == "s1" and len(tries) == 1:
                return [PieceFault.NO_MEMORY] * len(works)
            return [made(at, each) for each in works]

        end = await Rig(FakeCalls(make=answer)).scheduler.run(work())
        assert isinstance(end, ChainCompleted)


class TestLetIn:
    async def test_a_chain_that_would_be_late_is_refused_before_any_piece(self) -> None:
        calls = FakeCalls()
        end = await Rig(calls).scheduler.run(work(due_in_s=-1.0))
        assert isinstance(end, ChainFailed)
        assert end.reason is Reason.PREDICTED_LATE and not end.is_begun
        assert end.finish_s > 0.01 and end.retry_after_s > 0
        assert calls.batches == []

    async def test_what_is_promised_counts(self) -> None:
        # Two hundred chains come in one moment. Queues are empty, but each
        # chain that is let in fills them; letting all in makes all late.
        calls = FakeCalls(call_s=0.02)
        rig = Rig(calls)
        many = [work(f"r{n}", due_in_s=0.4) for n in range(200)]
        ends = await asyncio.gather(*(rig.scheduler.run(each) for each in many))
        n_made = sum(isinstance(end, ChainCompleted) for end in ends)
        assert 5 < n_made < 100

    async def test_what_is_less_urgent_is_refused_first(self) -> None:
        # Half of the chains of a burst are answers to chats, half are checks
        # that go before them. Let in as they come, both are refused alike.
        rig = Rig(FakeCalls(call_s=0.02))
        many = [work(f"r{n}", due_in_s=0.4, priority=2 * (n % 2)) for n in range(200)]
        ends = await asyncio.gather(*(rig.scheduler.run(each) for each in many))
        let_in = [
            each.priority
            for each, end in zip(many, ends, strict=True)
            if isinstance(end, ChainCompleted)
        ]
        assert let_in.count(0) > 1.5 * let_in.count(2) > 0

    @pytest.mark.parametrize("must_be_on_time", [True, False])
    async def test_what_cannot_be_made_in_time_at_all_is_refused_at_once(
        self, *, must_be_on_time: bool
    ) -> None:
        # Its caller will have left before the last stage is made, whatever is done.
        # Let in, it took places of others until its pieces were dropped one by one.
        calls = FakeCalls()
        hopeless = replace(
            work(), deadline_s=time.monotonic() + 0.02, must_be_on_time=must_be_on_time
        )
        end = await Rig(calls).scheduler.run(hopeless)
        assert isinstance(end, ChainFailed)
        assert end.reason is Reason.PREDICTED_LATE and not end.is_begun
        assert calls.batches == []

    async def test_what_is_nearly_made_goes_on_after_a_handover(self) -> None:
        # A cell changes hands while a chain's last piece is to be made. Judged by what
        # all of its stages take, it was refused though its caller could still wait.
        rig = Rig(FakeCalls(call_s=0.001), call_s=2.0)
        made_pieces = tuple(
            StagePiece(
                stage=stage,
                piece=piece,
                result=PieceResult(handle=f"h{stage}.{piece}", worker_id="s1"),
            )
            for stage, n_pieces in enumerate((2, 1))
            for piece in range(n_pieces)
        )
        moved = replace(
            work("b"),
            completed_pieces=made_pieces,
            must_be_on_time=False,
            deadline_s=time.monotonic() + 3.0,
        )
        assert isinstance(await rig.scheduler.run(moved), ChainCompleted)

    async def test_without_load_the_least_urgent_is_let_in(self) -> None:
        rig = Rig(FakeCalls())
        end = await rig.scheduler.run(work(due_in_s=0.3, priority=2))
        assert isinstance(end, ChainCompleted)

    async def test_without_a_worker_it_says_so(self) -> None:
        rig = Rig(FakeCalls())
        rig.workers.remove("t1")
        end = await rig.scheduler.run(work())
        assert end == ChainFailed(reason=Reason.NO_TARGET, is_begun=False)


class TestLeaving:
    async def test_a_worker_that_leaves_gets_no_more_calls(self) -> None:
        calls = FakeCalls(call_s=0.05)
        rig = Rig(calls, batch=1)
        running = asyncio.create_task(rig.scheduler.run(work(n_pieces=(4, 0, 0))))
        await until(lambda: calls.batches)
        rig.workers.put(worker("s1", "s", is_leaving=True))
        end = await running
        assert end == ChainFailed(reason=Reason.NO_TARGET, is_begun=True)
        assert len(calls.batches) == 1

    async def test_a_caller_that_left_takes_no_calls(self) -> None:
        calls = FakeCalls(call_s=0.05)
        rig = Rig(calls, batch=1)
        running = asyncio.create_task(rig.scheduler.run(work(n_pieces=(4, 0, 0))))
        await until(lambda: calls.batches)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await asyncio.sleep(0.12)
        assert len(calls.batches) == 1
        await until(lambda: len(calls.freed) == 1)
