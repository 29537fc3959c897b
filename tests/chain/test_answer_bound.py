"""A gateway that stops answers every request before it exits."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest

from trefoilpaddle.coordination.chain.answer_deadline import AnswerDueError
from trefoilpaddle.coordination.chain.planned_stop import PlannedStop
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.delivery import Delivery
from trefoilpaddle.state.chain.requests import Failed, Outcome, Refused

from .virtual_time import run_virtual

GRACE_S = 8.0
LONG_S = 20.0

Wait = Callable[[Delivery], Awaitable[None]]


async def for_stages(delivery: Delivery) -> None:
    await asyncio.sleep(LONG_S)


async def for_another_attempt(delivery: Delivery) -> None:
    with delivery.at_worker():
        await asyncio.sleep(0.1)
    delivery.may_have_run = True
    await asyncio.sleep(LONG_S)


async def for_a_worker(delivery: Delivery) -> None:
    with delivery.at_worker():
        await asyncio.sleep(LONG_S)


async def for_the_rest(delivery: Delivery) -> None:
    with delivery.at_worker():
        delivery.begin_answer()
        await asyncio.sleep(LONG_S)


async def for_a_worker_that_fails_late(delivery: Delivery) -> None:
    with delivery.at_worker():
        await asyncio.sleep(8.5)
    delivery.may_have_run = True
    await asyncio.sleep(LONG_S)


async def outcome_of(wait: Wait, stop: PlannedStop, deadline_s: float) -> Outcome:
    delivery = Delivery()
    try:
        async with stop.answer_deadline(delivery, deadline_s):
            await wait(delivery)
    except AnswerDueError as due:
        return delivery.failure_outcome(due.reason, retry_after_s=0.0)
    raise AssertionError("the wait was not interrupted")


def simulate(
    patch: pytest.MonkeyPatch, wait: Wait, *, order_s: float, deadline_s: float = LONG_S
) -> tuple[float, Outcome]:
    """Return duration and outcome of a request; the stop order arrives during it."""

    async def run() -> tuple[float, Outcome]:
        stop = PlannedStop(grace_s=GRACE_S)
        began_s = time.monotonic()
        asyncio.get_running_loop().call_later(order_s, stop.order)
        end = await outcome_of(wait, stop, began_s + deadline_s)
        return round(time.monotonic() - began_s, 3), end

    with patch.context() as time_patch:
        return run_virtual(time_patch, run())


NOT_RUN = Refused(reason=Reason.STOPPING, retry_after_s=0.0)
MAY_HAVE_RUN = Failed(reason=Reason.STOPPING)


class TestClosedRequests:
    # Guards against a refusal that says "not run" of a request that is still sent.

    def test_a_request_that_is_refused_is_given_to_no_worker(self) -> None:
        delivery = Delivery()
        outcome = delivery.failure_outcome(Reason.STOPPING, retry_after_s=0.0)
        assert outcome == NOT_RUN
        with delivery.at_worker() as may_send:
            assert not may_send
            assert not delivery.is_in_progress
        assert not delivery.may_have_run

    def test_a_request_that_a_worker_has_is_not_refused(self) -> None:
        delivery = Delivery()
        with delivery.at_worker() as may_send:
            assert may_send
            outcome = delivery.failure_outcome(Reason.STOPPING, retry_after_s=0.0)
            assert outcome == MAY_HAVE_RUN

    def test_a_request_whose_caller_has_left_is_given_to_no_other_worker(self) -> None:
        delivery = Delivery()
        with delivery.at_worker():
            delivery.close()
        with delivery.at_worker() as may_send:
            assert not may_send


class TestPlannedStop:
    @pytest.mark.parametrize(
        ("wait", "after_s", "end"),
        [
            (for_stages, 6.0, NOT_RUN),
            (for_another_attempt, 6.0, MAY_HAVE_RUN),
            (for_a_worker, 7.1, MAY_HAVE_RUN),
            (for_the_rest, 7.1, Failed(reason=Reason.STOPPING, is_begun=True)),
            (for_a_worker_that_fails_late, 6.5, MAY_HAVE_RUN),
        ],
    )
    def test_a_waiting_request_is_answered_before_the_kill(
        self, monkeypatch: pytest.MonkeyPatch, wait: Wait, after_s: float, end: Outcome
    ) -> None:
        # A request has a deadline of 20 s. After 2 s its gateway is told to stop and
        # will be killed 8 s later. The request kept waiting for its stages or worker,
        # and its connection was closed at the kill without an answer.
        took_s, outcome = simulate(monkeypatch, wait, order_s=2.0)
        assert (took_s, outcome) == (2.0 + after_s, end)

    def test_a_request_that_arrives_during_the_stop_is_refused(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        assert simulate(monkeypatch, for_stages, order_s=0.0) == (6.0, NOT_RUN)


class TestDeadline:
    @pytest.mark.parametrize("order_s", [0.0, 100.0])
    def test_a_wait_ends_at_the_deadline(
        self, monkeypatch: pytest.MonkeyPatch, order_s: float
    ) -> None:
        # The operation that a request waits for does not end at the deadline itself.
        took_s, outcome = simulate(
            monkeypatch, for_stages, order_s=order_s, deadline_s=3.0
        )
        assert took_s == 3.0
        assert outcome == Refused(reason=Reason.DEADLINE_PASSED, retry_after_s=0.0)


class TestFinishing:
    def test_a_run_that_outlives_its_caller_has_no_effect(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A caller leaves while a worker runs a request that may not run twice. The
        # worker's answer, handled after the request had ended, raised an error.
        async def run() -> None:
            stop = PlannedStop(grace_s=GRACE_S)
            delivery = Delivery()
            deadline_s = time.monotonic() + LONG_S
            async with stop.answer_deadline(delivery, deadline_s):
                working = asyncio.create_task(for_another_attempt(delivery))
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.1)
            stop.order()
            assert not working.done()

        with monkeypatch.context() as time_patch:
            run_virtual(time_patch, run())
