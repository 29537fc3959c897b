"""Workers of an evacuated failure domain get nothing; what runs there completes."""

import asyncio

import pytest

from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.chain_work import ChainCompleted, ChainFailed
from trefoilpaddle.state.chain.requests import Answered, Refused
from trefoilpaddle.state.chain.workers import EVACUATED_RETRY_S, Worker, WorkerTable

from ..waiting import until
from .fakes import FakeAnswer, FakeCalls, FakeSink, worker
from .test_attempts import IDEMPOTENT, FakeInputs, attempts
from .test_chain_scheduler import Rig, work

THERE = frozenset({"there"})


def two_domains() -> WorkerTable:
    table = WorkerTable()
    table.put(worker("h", domain="here"))
    table.put(worker("t", domain="there"))
    return table


def usable_ids(table: WorkerTable) -> set[str]:
    return {each.worker_id for each in table.usable("plain")}


class TestTable:
    # Guards against a place that chooses workers without knowing of the order.
    def test_workers_are_excluded_until_the_order_ends(self) -> None:
        table = two_domains()
        table.evacuate(THERE)
        assert usable_ids(table) == {"h"}
        table.evacuate(frozenset())
        assert usable_ids(table) == {"h", "t"}

    # Guards against the rule that tries suspects rather than refusing everything.
    def test_they_are_excluded_even_if_all_others_are_suspect(self) -> None:
        table = two_domains()
        table.mark_suspect(worker("h", domain="here"))
        table.evacuate(THERE)
        assert usable_ids(table) == {"h"}

    # Guards against a worker that registers in the failure domain after the order.
    def test_a_worker_that_is_listed_later_is_excluded(self) -> None:
        table = two_domains()
        table.evacuate(THERE)
        table.put(worker("t2", domain="there"))
        assert usable_ids(table) == {"h"}

    # Guards against calls that were planned for the workers before the order.
    def test_listeners_are_told_of_each_worker_once(self) -> None:
        table = two_domains()
        told: list[Worker] = []
        table.leave_listeners.append(told.append)
        table.evacuate(THERE)
        table.evacuate(THERE | {"nowhere"})
        assert [each.worker_id for each in told] == ["t"]

    # Guards against a send by whoever has chosen a worker before the order came.
    @pytest.mark.parametrize(
        ("change", "may_receive"),
        [("none", True), ("order", False), ("removal", False)],
    )
    def test_a_chosen_worker_is_checked_again(
        self, change: str, may_receive: bool
    ) -> None:
        table = two_domains()
        chosen = worker("t", domain="there")
        match change:
            case "order":
                table.evacuate(THERE)
            case "removal":
                table.remove("t")
        assert table.may_receive(chosen) is may_receive


class TestAttempts:
    # Guards against a request that is sent after waiting for its inputs.
    async def test_an_order_during_the_wait_for_inputs_changes_the_worker(self) -> None:
        calls = FakeCalls(scripts=[FakeAnswer()])
        inputs = FakeInputs()
        tried = attempts(calls, IDEMPOTENT, n_workers=1, inputs=inputs)
        tried._workers.put(worker("other", domain="there"))
        first = await inputs.get()

        async def evacuate_meanwhile() -> tuple[str, ...] | None:
            tried._workers.evacuate(frozenset({"here"}))
            return first

        inputs.get = evacuate_meanwhile  # type: ignore[method-assign]
        assert isinstance(await tried.run(FakeSink()), Answered)
        assert [worker_id for worker_id, _ in calls.sent] == ["other"]

    # Guards against requests that wait for workers which get nothing, and against
    # refusals that operators cannot trace to their own order.
    async def test_without_any_other_worker_it_is_refused_at_once(self) -> None:
        calls = FakeCalls()
        tried = attempts(calls, IDEMPOTENT)
        tried._workers.evacuate(frozenset({"here"}))
        assert await tried.run(FakeSink()) == Refused(
            reason=Reason.EVACUATED, retry_after_s=EVACUATED_RETRY_S
        )
        assert not calls.sent


class TestStages:
    # Guards against pieces that wait for a worker when the order comes.
    async def test_waiting_pieces_go_to_other_workers(self) -> None:
        calls = FakeCalls(call_s=0.05)
        rig = Rig(calls, batch=1)
        running = asyncio.create_task(rig.scheduler.run(work(n_pieces=(4, 0, 0))))
        await until(lambda: calls.batches)
        rig.workers.put(worker("s2", "s", domain="there"))
        rig.workers.evacuate(frozenset({"here"}))
        outcome = await running
        assert isinstance(outcome, ChainCompleted)
        made_by = [handle.split("/")[0] for handle in outcome.handles]
        assert made_by == ["s1", "s2", "s2", "s2"]

    # Guards against calls that free results at workers that get nothing.
    async def test_results_there_are_read_but_not_freed(self) -> None:
        calls = FakeCalls()
        rig = Rig(calls)
        outcome = await rig.scheduler.run(work(n_pieces=(1, 0, 0)))
        assert isinstance(outcome, ChainCompleted)
        assert outcome.handles == ("s1/a.0.0",)
        rig.workers.evacuate(frozenset({"here"}))
        rig.scheduler.free("a")
        await asyncio.sleep(0.1)
        assert not calls.freed

    # Guards against chains that are begun although no worker may run their stages.
    async def test_a_chain_without_any_other_worker_is_refused_at_once(self) -> None:
        rig = Rig(FakeCalls())
        rig.workers.evacuate(frozenset({"here"}))
        assert await rig.scheduler.run(work()) == ChainFailed(
            reason=Reason.EVACUATED, is_begun=False, retry_after_s=EVACUATED_RETRY_S
        )
