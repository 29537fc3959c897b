"""Which requests are accepted after the order to stop."""

import time

import pytest

from trefoilpaddle.coordination.chain import planned_stop
from trefoilpaddle.coordination.chain.planned_stop import PlannedStop
from trefoilpaddle.state.chain.requests import Answered, Refused
from trefoilpaddle.state.chain.routes import RepeatPolicy

from .fakes import FakeAnswer, FakeCalls, route
from .test_request_path import GRACE_S, Rig

PLAIN = route()
STREAM = route(is_stream=True)

WRITE_S = 0.2
"""Time in seconds that the last answers need at least."""

CLOSE_AND_EXIT_S = 0.3
"""Time in seconds to close callers' connections and to exit on a busy machine."""


class Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


class TestPlannedStop:
    def test_requests_that_would_be_interrupted_are_refused(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Seven seconds after the order a caller sends a request for a stream on an open
        # connection. The process exits during the stream, so that the caller has a
        # closed connection and no answer.
        clock = Clock()
        monkeypatch.setattr(planned_stop, "time", clock)
        stop = PlannedStop(grace_s=8.0)
        assert stop.accepts(STREAM)
        stop.order()
        assert stop.accepts(STREAM) and stop.accepts(PLAIN)
        clock.now_s += 3.0
        assert not stop.accepts(STREAM) and stop.accepts(PLAIN)
        clock.now_s += 3.5
        assert not stop.accepts(PLAIN)
        stop.order()
        assert stop.left_s() == pytest.approx(1.5)

    @pytest.mark.parametrize("grace_s", [2.0, 3.0, 5.0, 8.0, 12.0, 30.0])
    def test_nothing_is_cut_before_the_last_sixth_of_the_grace(
        self, grace_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against fixed reserves that leave answers too little of a short grace.
        clock = Clock()
        monkeypatch.setattr(planned_stop, "time", clock)
        stop = PlannedStop(grace_s=grace_s)
        stop.order()
        last_sixth_s = clock.now_s + grace_s * 5 / 6
        assert last_sixth_s <= stop.answer_until_s
        assert stop.send_until_s < stop.answer_until_s
        assert stop.answer_until_s <= clock.now_s + grace_s - WRITE_S

    # Guards against requests that are cut, as the kill comes after a newer grace.
    @pytest.mark.parametrize(
        ("before_s", "after_s", "expected_s"),
        [(5.0, 8.0, 5.0), (8.0, 5.0, 5.0)],
        ids=["longer", "shorter"],
    )
    def test_a_stop_under_way_takes_only_a_shorter_grace(
        self,
        before_s: float,
        after_s: float,
        expected_s: float,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        clock = Clock()
        monkeypatch.setattr(planned_stop, "time", clock)
        stop = PlannedStop(grace_s=before_s)
        stop.order()
        stop.change_grace(after_s)
        expected = PlannedStop(grace_s=expected_s)
        expected.order()
        assert stop.send_until_s == expected.send_until_s
        assert stop.answer_until_s == expected.answer_until_s
        assert stop.closes_in_s() == expected.closes_in_s()

    @pytest.mark.parametrize("grace_s", [3.0, 5.0, 8.0, 30.0])
    def test_connections_are_closed_in_time_to_exit(
        self, grace_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a process that is killed while it closes its connections.
        clock = Clock()
        monkeypatch.setattr(planned_stop, "time", clock)
        stop = PlannedStop(grace_s=grace_s)
        stop.order()
        clock.now_s += grace_s - CLOSE_AND_EXIT_S
        assert stop.closes_in_s() == pytest.approx(0.0)
        assert clock.now_s > stop.answer_until_s


class TestLateRequests:
    @pytest.mark.parametrize(
        ("policy", "is_resumable", "is_refused"),
        [
            (RepeatPolicy.NON_IDEMPOTENT, False, True),
            (RepeatPolicy.NON_IDEMPOTENT, True, False),
            (RepeatPolicy.IDEMPOTENT, False, False),
        ],
    )
    async def test_one_that_may_run_once_is_not_begun_if_it_would_be_interrupted(
        self, policy: RepeatPolicy, is_resumable: bool, is_refused: bool
    ) -> None:
        # Guards against a 502 at the end of a stop to a caller that cannot repeat its
        # request, where a 503 at once lets it go elsewhere.
        calls = FakeCalls([FakeAnswer()])
        rig = Rig(calls, route(repeat=policy, is_resumable=is_resumable))
        for _ in range(20):
            rig.path._answer_durations.learn(route().name, 4.0)
        rig.stop.order(time.monotonic() - GRACE_S / 2)
        outcome = await rig.serve()
        assert isinstance(outcome, Refused) is is_refused
        assert bool(calls.sent) is not is_refused

    async def test_one_that_is_usually_short_is_served(self) -> None:
        # Guards against a single long answer that has all others refused.
        rig = Rig(FakeCalls([FakeAnswer()] * 31), route())
        for _ in range(30):
            assert isinstance(await rig.serve(), Answered)
        rig.path._answer_durations.learn(route().name, 60.0)
        rig.stop.order(time.monotonic() - GRACE_S / 2)
        assert isinstance(await rig.serve(), Answered)
