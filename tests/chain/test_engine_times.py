"""The time that is reserved for the engine after the stages of a request."""

import pytest

from trefoilpaddle.state.chain import engine_times
from trefoilpaddle.state.chain.engine_times import (
    DEFAULT_FIRST_EVENT_S,
    HALF_LIFE_S,
    MARGIN,
    EngineTimes,
)


class Clock:
    """A clock that is set by the test."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def monotonic(self) -> float:
        return self.now_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    fake = Clock()
    monkeypatch.setattr(engine_times, "time", fake)
    return fake


class TestDecay:
    def test_learnt_slowness_decays_without_requests(self, clock: Clock) -> None:
        # The first request after a start reaches a worker that answers late. All others
        # were refused as predicted late until the gateway was restarted.
        times = EngineTimes()
        times.learn("r", 4.0)
        assert times.expected_s("r") == pytest.approx(MARGIN * 4.0)
        clock.now_s += HALF_LIFE_S
        assert times.expected_s("r") == pytest.approx(
            MARGIN * (4.0 + DEFAULT_FIRST_EVENT_S) / 2
        )
        clock.now_s += 10 * HALF_LIFE_S
        assert times.expected_s("r") == pytest.approx(
            MARGIN * DEFAULT_FIRST_EVENT_S, rel=0.02
        )

    def test_slowness_that_requests_confirm_stays(self, clock: Clock) -> None:
        times = EngineTimes()
        for _ in range(50):
            times.learn("r", 2.0)
            clock.now_s += HALF_LIFE_S / 50
        assert times.expected_s("r") == pytest.approx(MARGIN * 2.0, rel=0.02)

    def test_fast_engines_stay_fast(self, clock: Clock) -> None:
        times = EngineTimes()
        times.learn("r", 0.1)
        clock.now_s += 10 * HALF_LIFE_S
        assert times.expected_s("r") == pytest.approx(MARGIN * 0.1)
