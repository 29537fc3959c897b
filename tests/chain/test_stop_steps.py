"""The last steps of a planned stop: each is bounded by the time that is left."""

import asyncio
import time

import pytest

from trefoilpaddle.coordination.chain.planned_stop import (
    END_TASKS_S,
    EXIT_RESERVE_S,
    PlannedStop,
)

SLACK_S = 0.3
"""Time in seconds by which a busy machine may exceed a bound."""


def ordered_stop(*, left_s: float) -> PlannedStop:
    stop = PlannedStop(grace_s=left_s)
    stop.order()
    return stop


class TestSteps:
    async def test_a_step_ends_before_the_kill(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        # Guards against a step that outlives the grace time without a word.
        stop = ordered_stop(left_s=0.6)
        async with stop.step("a paused peer"):
            await asyncio.sleep(10.0)
        assert stop.left_s() < EXIT_RESERVE_S
        assert stop.since_s < 0.6 + SLACK_S
        assert "the stop waits for a paused peer" in caplog.text
        assert "the stop no longer waits for a paused peer" in caplog.text

    async def test_a_step_without_time_begins(self) -> None:
        # Guards against connections that stay open because no time is left to wait.
        stop = ordered_stop(left_s=0.0)
        is_begun = False
        async with stop.step("a peer"):
            is_begun = True
            await asyncio.sleep(10.0)
        assert is_begun

    async def test_a_failure_in_a_step_is_raised(self) -> None:
        stop = ordered_stop(left_s=1.0)
        with pytest.raises(TimeoutError):
            async with stop.step("a peer"):
                raise TimeoutError


class TestTasks:
    async def test_tasks_end_in_order(self, caplog: pytest.LogCaptureFixture) -> None:
        # Guards against tasks that run on while what they use is closed.
        stop = ordered_stop(left_s=1.0)
        ended = []

        async def work() -> None:
            try:
                await asyncio.sleep(10.0)
            finally:
                await asyncio.sleep(0)
                ended.append("work")

        async with stop.ending_tasks():
            task = asyncio.create_task(work())
            await asyncio.sleep(0)
        ended.append("context")
        assert task.cancelled()
        assert ended == ["work", "context"]
        assert "the stop" not in caplog.text

    async def test_a_task_that_does_not_end_is_named(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        # Guards against a task that keeps the process from its exit.
        stop = ordered_stop(left_s=1.0)

        async def resist() -> None:
            while True:
                try:
                    await asyncio.sleep(10.0)
                except asyncio.CancelledError:
                    if stop.since_s > END_TASKS_S:
                        raise

        async with stop.ending_tasks():
            task = asyncio.create_task(resist())
            await asyncio.sleep(0)
        assert END_TASKS_S <= stop.since_s < END_TASKS_S + SLACK_S
        assert "resist" in caplog.text
        task.cancel()

    async def test_earlier_tasks_run_on(self) -> None:
        stop = ordered_stop(left_s=1.0)
        earlier = asyncio.create_task(asyncio.sleep(10.0))
        began_s = time.monotonic()
        async with stop.ending_tasks():
            pass
        assert time.monotonic() - began_s < SLACK_S
        assert not earlier.cancelling()
        earlier.cancel()
