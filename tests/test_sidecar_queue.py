"""Refusal, displacement and reservation at a sidecar whose target is busy."""

from typing import Any

from tests.sidecar_harness import NS_PER_S, GatewaySide, SidecarSetup, sidecar_setup
from tests.waiting import until
from trefoilpaddle.coordination.requests import attempt_run
from trefoilpaddle.protocol.gen.stage.ttypes import (
    Bar,
    BarState,
    Cancel,
    Failure,
    Go,
    Outcome,
    Queued,
    Ready,
)
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.catalogue import Catalogue, Entry, Service, ServiceKind
from trefoilpaddle.state.journal import Event
from trefoilpaddle.state.settings import Order, PolicySettings

LONG_S = 100.0
PLAIN_POLICY = PolicySettings(order=Order.FIFO, refuse_early=False)


async def occupy(s: SidecarSetup, n_slots: int = 4, **fields: Any) -> list[bytes]:
    """Fill all slots with calls that run until the target's gate is opened."""
    s.target.gate.clear()
    running = [s.gateway.start(**fields) for _ in range(n_slots)]
    await until(lambda: len(s.target.runs) == n_slots)
    return running


async def finish(gateway: GatewaySide, attempt_ids: list[bytes]) -> None:
    for attempt_id in attempt_ids:
        await gateway.complete_answer(attempt_id)


class TestEarlyRefusal:
    async def test_work_predicted_late_is_refused_with_a_retry_delay(self) -> None:
        """The predicted wait exceeds the time until the deadline.

        Queueing would only waste the caller's time. It is told at once that
        nothing was run, and after how many seconds to retry.
        """
        async with sidecar_setup() as s:
            running = await occupy(s, predicted_s=5.0)
            failure = await s.gateway.failure(
                s.gateway.start(predicted_s=1.0, budget_ns=2 * NS_PER_S)
            )
            assert failure.outcome == Outcome.NOT_RUN
            assert failure.reason == Reason.PREDICTED_LATE
            # Five seconds of waiting and, as nothing else is queued, four fifths of
            # the predicted time, less the budget of two seconds.
            assert 3.5 < failure.retry_after_s <= 3.8
            s.target.gate.set()
            await finish(s.gateway, running)

    async def test_budget_of_the_stage_limits_the_wait(self) -> None:
        """The following stages need most of the time until the deadline."""
        async with sidecar_setup() as s:
            await occupy(s, predicted_s=5.0)
            late = s.gateway.start(predicted_s=1.0, stage_budget_ns=2 * NS_PER_S)
            assert (await s.gateway.failure(late)).reason == Reason.PREDICTED_LATE

    async def test_queued_work_is_dropped_once_it_is_known_to_be_late(self) -> None:
        """Running calls take far longer than predicted, so no queued call starts."""
        async with sidecar_setup() as s:
            await occupy(s, predicted_s=0.01)
            waiting = s.gateway.start(predicted_s=12.4)
            await s.gateway.first_message(Queued, waiting)
            failure = await s.gateway.failure(waiting)
            assert failure.reason == Reason.PREDICTED_LATE
            assert failure.retry_after_s > 0
            bar = await s.gateway.request(Bar(attempt_id=waiting))
            assert bar.state == BarState.BARRED

    async def test_baseline_refuses_nothing_early(self) -> None:
        async with sidecar_setup(policy=PLAIN_POLICY) as s:
            running = await occupy(s, predicted_s=LONG_S)
            waiting = s.gateway.start(predicted_s=LONG_S)
            await s.gateway.first_message(Queued, waiting)
            s.target.gate.set()
            await finish(s.gateway, [*running, waiting])

    async def test_idle_target_accepts_work_that_is_predicted_late(self) -> None:
        """Every call is predicted to be late because the target was slow.

        If all calls were refused, no measurement would show that it has recovered.
        """
        async with sidecar_setup() as s:
            attempt_id = s.gateway.start(predicted_s=LONG_S)
            await s.gateway.complete_answer(attempt_id)


class TestShares:
    async def test_small_account_is_served_before_the_rest_of_a_burst(self) -> None:
        async with sidecar_setup() as s:
            running = await occupy(s, predicted_s=0.001, owner="large")
            burst = [s.gateway.start(owner="large") for _ in range(8)]
            small = s.gateway.start(owner="small")
            await s.gateway.first_message(Queued, small)
            s.target.gate.set()
            await finish(s.gateway, [*running, *burst, small])
            assert s.target.runs.index(small.hex()) <= 6

    async def test_weight_and_floor_come_from_the_catalogue(self) -> None:
        async with sidecar_setup() as s:
            entry = Entry(
                owner="small",
                class_of_work="c1",
                pipelines=("p1",),
                accounts=("a1",),
                floor_share=0.5,
            )
            s.harness.process.published.set_catalogue(
                Catalogue(revision=1, entries={"e1": entry})
            )
            running = await occupy(s, predicted_s=0.001, owner="large")
            burst = [
                s.gateway.start(owner="large", weight=100.0, predicted_s=0.1)
                for _ in range(8)
            ]
            kept = [
                s.gateway.start(owner="small", entry="e1", predicted_s=0.1)
                for _ in range(4)
            ]
            await s.gateway.first_message(Queued, kept[-1])
            s.target.gate.set()
            await finish(s.gateway, [*running, *burst, *kept])
            assert max(s.target.runs.index(each.hex()) for each in kept) < 15

    async def test_full_queue_drops_work_by_brownout_order(self) -> None:
        """When the queue is full, the lowest brown-out order is dropped first."""
        async with sidecar_setup() as s:
            service = Service(kind=ServiceKind.PLAIN, n_slots=1, max_queue_s=10.0)
            s.harness.process.published.set_catalogue(
                Catalogue(revision=1, services={"s1": service})
            )
            await occupy(s, 1, predicted_s=0.01)
            fields: dict[str, Any] = {"predicted_s": 6.0, "budget_ns": 60 * NS_PER_S}
            low = s.gateway.start(brownout_order=1, **fields)
            await s.gateway.first_message(Queued, low)
            high = s.gateway.start(brownout_order=2, **fields)
            failure = await s.gateway.failure(low)
            assert failure.outcome == Outcome.NOT_RUN
            assert failure.reason == Reason.BROWNOUT
            assert failure.retry_after_s > 0
            await s.gateway.first_message(Queued, high)
            refused = s.gateway.start(brownout_order=1, **fields)
            assert (await s.gateway.failure(refused)).reason == Reason.QUEUE_FULL


class TestReservation:
    async def test_reserved_call_does_not_run_before_go(self) -> None:
        async with sidecar_setup() as s:
            attempt_id = s.gateway.start(reserve=True)
            await s.gateway.first_message(Ready, attempt_id)
            assert s.target.runs == []
            s.gateway.connection.write(Go(attempt_id=attempt_id))
            await s.gateway.complete_answer(attempt_id)

    async def test_cancelled_reservation_frees_its_slot(self) -> None:
        """A slot was reserved at two targets, and the other one was ready first."""
        async with sidecar_setup() as s:
            unused = s.gateway.start(reserve=True)
            await s.gateway.first_message(Ready, unused)
            s.gateway.connection.write(Cancel(attempt_id=unused))
            failure = await s.gateway.failure(unused)
            assert failure.outcome == Outcome.NOT_RUN
            assert s.harness.sidecar.dispatcher.load().n_running == 0

    async def test_late_go_starts_nothing(self) -> None:
        """The gateway is paused between the sidecar's offer of a slot and its "go".

        The slot is freed after a short wait. The late "go" finds no attempt, and
        the gateway has received "not run".
        """
        async with sidecar_setup() as s:
            attempt_id = s.gateway.start(reserve=True)
            failure = await s.gateway.failure(attempt_id)
            assert failure.outcome == Outcome.NOT_RUN
            s.gateway.connection.write(Go(attempt_id=attempt_id))
            bar = await s.gateway.request(Bar(attempt_id=attempt_id))
            assert bar.state == BarState.BARRED
            assert s.target.runs == []
            assert attempt_run.READY_WAIT_S < 1.0

    async def test_offered_slot_can_be_barred(self) -> None:
        async with sidecar_setup() as s:
            attempt_id = s.gateway.start(reserve=True)
            await s.gateway.first_message(Ready, attempt_id)
            bar = await s.gateway.request(Bar(attempt_id=attempt_id))
            assert bar.state == BarState.BARRED
            s.gateway.connection.write(Go(attempt_id=attempt_id))
            await s.gateway.first_message(Failure, attempt_id)
            assert s.target.runs == []


class TestJournal:
    async def test_decisions_are_recorded_with_their_figures(self) -> None:
        async with sidecar_setup() as s:
            records = s.harness.process.journal
            running = await occupy(s, predicted_s=0.01)
            waiting = s.gateway.start(predicted_s=0.01, request_id="r-waiting")
            await s.gateway.first_message(Queued, waiting)
            s.target.gate.set()
            await finish(s.gateway, [*running, waiting])
            timeline = [record.decision for record in records.timeline("r-waiting")]
            assert [decision.event for decision in timeline] == [
                Event.QUEUED,
                Event.STARTED,
                Event.FINISHED,
            ]
            names = {figure.name for figure in timeline[0].figures}
            assert names == {"n_ahead", "predicted_wait_s", "predicted_s", "budget_s"}
