"""Which new connections are read while the event loop lags."""

import asyncio
import time

import pytest

from trefoilpaddle.coordination.chain.connection_admission import (
    ADMIT_EVERY_S,
    MAX_LAG_S,
    MAX_PACED,
    PACED_S,
    ConnectionAdmission,
)
from trefoilpaddle.state.journal import Event, Journal
from trefoilpaddle.transport.loop_lag import MIN_SAMPLES, WINDOW_S, LoopLag

from .fakes import journal
from .virtual_time import run_virtual


class FakeLag(LoopLag):
    """A lag that a test sets."""

    lag_s = 0.0

    @property
    def lasting_s(self) -> float:
        return self.lag_s


class Rig:
    """An admission with a lag that a test sets."""

    def __init__(self) -> None:
        self.lag = FakeLag()
        self.notes: Journal = journal()
        self.admission = ConnectionAdmission(
            process_id="g", lag=self.lag, journal=self.notes
        )

    def n_admitted(self, n_new: int) -> int:
        """Return how many of a number of new connections are admitted."""
        return sum(self.admission.admits() for _ in range(n_new))


def in_virtual_time(patch: pytest.MonkeyPatch, run: object) -> None:
    run_virtual(patch, run())  # type: ignore[operator]


class TestAdmission:
    def test_a_loop_that_keeps_up_admits_all(self) -> None:
        assert Rig().n_admitted(1000) == 1000

    # Guards against a gateway that reads requests that it cannot work on in time.
    def test_a_loop_that_lags_admits_one_connection_in_a_while(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def run() -> None:
            rig = Rig()
            rig.lag.lag_s = 2 * MAX_LAG_S
            for _ in range(4):
                assert rig.n_admitted(100) == 1
                await asyncio.sleep(ADMIT_EVERY_S)
            assert rig.admission.n_closed == 4 * 99

        in_virtual_time(monkeypatch, run)

    # Guards against a gateway that reads all that has come meanwhile as soon as it has
    # caught up, and lags again.
    def test_after_a_lag_few_connections_are_admitted_at_a_time(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def run() -> None:
            rig = Rig()
            rig.lag.lag_s = 2 * MAX_LAG_S
            rig.n_admitted(1)
            rig.lag.lag_s = 0.0
            for _ in range(3):
                rig.lag.n_samples += 1
                assert rig.n_admitted(100) == MAX_PACED
            await asyncio.sleep(PACED_S)
            assert rig.n_admitted(100) == 100

        in_virtual_time(monkeypatch, run)

    def test_one_log_line_in_a_while_counts_what_was_closed(self) -> None:
        rig = Rig()
        rig.lag.lag_s = 0.2
        rig.n_admitted(500)
        (record,) = rig.notes.recent()
        assert record.decision.event is Event.CONNECTIONS_CLOSED
        figures = {each.name: each.value for each in record.decision.figures}
        assert figures == {"n_closed": 1, "lag_s": 0.2}


class TestLoopLag:
    async def measure(self, busy_s: float, idle_s: float, for_s: float) -> float:
        """Return the lasting lag of a loop that is busy and idle by turns."""
        lag = LoopLag()
        ends_s = time.monotonic() + for_s
        async with lag.measuring():
            while time.monotonic() < ends_s:
                time.sleep(busy_s)  # noqa: ASYNC251 - the loop must be busy
                await asyncio.sleep(idle_s)
        return lag.lasting_s

    async def test_a_loop_that_always_has_something_to_do_lags(self) -> None:
        assert await self.measure(0.06, 0.0, 4 * WINDOW_S) > 0.04

    # Guards against connections that are closed as a host was paused, or as the loop
    # ran one long task.
    async def test_a_loop_that_is_paused_by_turns_does_not(self) -> None:
        assert await self.measure(0.06, 0.02, 4 * WINDOW_S) < 0.02

    async def test_a_loop_that_ran_one_long_task_does_not(self) -> None:
        lag = LoopLag()
        async with lag.measuring():
            await asyncio.sleep(WINDOW_S)
            time.sleep(2 * WINDOW_S)  # noqa: ASYNC251 - the loop must be busy
            await asyncio.sleep(0.05)
            assert lag.lasting_s < 0.02

    def test_without_samples_there_is_no_lag(self) -> None:
        assert MIN_SAMPLES > 1
        assert LoopLag().lasting_s == 0.0
