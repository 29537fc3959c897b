"""What is left for the engine after a request's stages."""

import pytest

from trefoilpaddle.state.chain import engine_times
from trefoilpaddle.state.chain.engine_times import (
    DEFAULT_FIRST_EVENT_S,
    HALF_LIFE_S,
    MARGIN,
    EngineTimes,
)


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def monotonic(self) -> float:
        return self.now_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    made = Clock()
    monkeypatch.setattr(engine_times, "time", made)
    return made


class TestForgetting:
    def test_slow_engines_that_nobody_calls_are_tried_again(self, clock: Clock) -> None:
        # The first request of a start meets a worker that answers late. All others
        # were refused as too late for as long as the gateway lived.
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

    def test_what_requests_go_on_showing_stays(self, clock: Clock) -> None:
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
