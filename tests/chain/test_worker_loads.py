"""What is known of workers: requests, times, stated loads, and who is left out."""

import random
from dataclasses import replace

import pytest

from trefoilpaddle.state.chain.worker_loads import (
    FAILED_S,
    MAX_FAILED_S,
    MAX_READ_RATIO,
    MAX_SHED_S,
    MAX_WORKERS,
    N_FAILED,
    READ_TOKENS_PER_S,
    SHED_S,
    LeftOutReason,
    WorkerLoads,
)
from trefoilpaddle.state.chain.worker_statements import StatedLoad

from .fakes import worker

ALL = [worker(f"w{n}", n_slots=2) for n in range(3)]
FIRST, SECOND, _ = ALL


def loads() -> WorkerLoads:
    return WorkerLoads(rng=random.Random(1))


def fail(at: WorkerLoads, now_s: float, n_times: int = 1) -> float | None:
    """Let the first worker fail; return for how long it is left out."""
    left_out = None
    for _ in range(n_times):
        left_out = at.record_failure(FIRST, ALL[1:], now_s)
    return None if left_out is None else left_out.for_s


class TestRequests:
    def test_those_of_other_gateways_count_and_age(self) -> None:
        # Guards against a choice by counts that have long changed.
        at = loads()
        at.learn_work(FIRST, 0.2, 1, 0.0)
        at.learn_uses("plain", {("w0", 0): 5}, {("w0", 0): 2}, 0.0)
        assert at.n_requests(FIRST, 2, 0.0) == 5
        assert at.n_requests(FIRST, 2, 0.1) == pytest.approx(3.5)
        assert at.n_requests(SECOND, 2, 0.0) == 2

    def test_a_stated_load_counts_for_half_a_second(self) -> None:
        # Guards against a stated load that outlives its time.
        at = loads()
        at.learn_load(FIRST, StatedLoad(n_running=4, n_waiting=3, n_slots=8), 1, 0.0)
        assert at.n_requests(FIRST, 1, 0.4) == 7
        assert at.n_slots(FIRST, 2, 0.4) == 8
        assert at.n_requests(FIRST, 1, 0.6) == 1
        assert at.n_slots(FIRST, 2, 0.6) == 2

    def test_the_newer_of_report_and_stated_load_counts(self) -> None:
        # Guards against an old report that hides what the worker itself states.
        at = loads()
        at.learn_uses("plain", {("w0", 0): 9}, {}, 0.0)
        at.learn_load(FIRST, StatedLoad(n_running=1, n_waiting=0), 0, 0.1)
        assert at.n_requests(FIRST, 0, 0.1) == 1
        at.learn_uses("plain", {("w0", 0): 9}, {}, 0.2)
        assert at.n_requests(FIRST, 0, 0.2) == 9


class TestTimes:
    def test_a_slow_worker_is_tried_again(self) -> None:
        # Guards against a worker that was slow once and gets no request any more.
        at = loads()
        at.learn_work(SECOND, 0.1, 1, 0.0)
        at.learn_work(FIRST, 1.0, 1, 0.0)
        for step in range(1, 200):
            at.learn_work(SECOND, 0.1, 1, step * 0.1)
        assert at.work_s(FIRST, 20.0) < 0.12

    def test_waiting_does_not_make_a_worker_slow(self) -> None:
        # Guards against a worker that is avoided since all others sent to it.
        at = loads()
        at.learn_work(FIRST, 0.4, 8, 0.0)
        assert at.work_s(FIRST, 0.0) == pytest.approx(0.1)

    def test_a_stated_slowness_counts_once(self) -> None:
        # Guards against a time that was learnt on a slow machine and prolonged again.
        at = loads()
        at.learn_load(FIRST, StatedLoad(n_running=0, n_waiting=0, slowness=2.0), 0, 0.0)
        at.learn_work(FIRST, 0.2, 1, 0.1)
        assert at.work_s(FIRST, 0.1) == pytest.approx(0.2)
        assert at.work_s(FIRST, 0.6) == pytest.approx(0.1)

    @pytest.mark.parametrize("took_s", [0.0, 1e9])
    def test_a_reading_time_is_bounded(self, took_s: float) -> None:
        # Guards against an engine that waited once and seems to read nothing.
        at = loads()
        at.learn_reading(FIRST, took_s, 1000, 0.0)
        ratio = at.token_s(FIRST, 0.0) * READ_TOKENS_PER_S
        assert 1 / MAX_READ_RATIO <= ratio <= MAX_READ_RATIO

    def test_short_prompts_tell_nothing_of_reading(self) -> None:
        # Guards against the length of a step that is taken for reading.
        at = loads()
        at.learn_reading(FIRST, 0.04, 10, 0.0)
        assert at.token_s(FIRST, 0.0) == 1.0 / READ_TOKENS_PER_S


class TestDraw:
    def test_equal_workers_are_drawn_at_random(self) -> None:
        # Guards against gateways that all take the first of the list.
        at = loads()
        drawn = {at.draw([(w, 0.1) for w in ALL]).worker_id for _ in range(50)}
        assert drawn == {w.worker_id for w in ALL}


class TestSheds:
    def test_the_time_doubles_up_to_its_bound(self) -> None:
        # Guards against a worker that is tried each 0.1 s while it sheds everything.
        at = loads()
        now_s, times_s = 0.0, []
        for _ in range(6):
            left_out = at.record_shed(FIRST, now_s)
            assert left_out is not None
            times_s.append(left_out.for_s)
            now_s += left_out.for_s
        assert times_s == [SHED_S, 0.2, 0.4, 0.8, MAX_SHED_S, MAX_SHED_S]

    def test_requests_that_are_shed_together_count_once(self) -> None:
        # Guards against a full worker that one burst excludes for long.
        at = loads()
        assert at.record_shed(FIRST, 0.0) is not None
        assert at.record_shed(FIRST, 0.01) is None
        assert list(at.usable(ALL, 0.05)) == ALL[1:]
        assert list(at.usable(ALL, SHED_S)) == ALL

    def test_an_answer_ends_the_doubling_only(self) -> None:
        # Guards against a full worker that gets requests as an earlier one is done.
        at = loads()
        at.record_shed(FIRST, 0.0)
        at.record_answer(FIRST, 0.05)
        assert FIRST not in at.usable(ALL, 0.05)
        at.record_answer(FIRST, 0.15)
        left_out = at.record_shed(FIRST, 0.2)
        assert left_out is not None and left_out.for_s == SHED_S


class TestFailures:
    def test_a_worker_that_fails_alone_is_left_out(self) -> None:
        # Guards against a worker that fails at once and therefore is always idle.
        at = loads()
        at.record_answer(SECOND, 0.0)
        assert fail(at, 0.0, N_FAILED - 1) is None
        assert fail(at, 0.0) == FAILED_S
        assert at.left_out_reason(FIRST, 0.5) is LeftOutReason.FAILS

    def test_a_service_that_fails_as_a_whole_keeps_its_workers(self) -> None:
        # Guards against load on fewer workers where requests are the cause.
        at = loads()
        for _ in range(2):
            at.record_failure(SECOND, (), 0.0)
            at.record_answer(SECOND, 0.0)
        assert fail(at, 0.0, 5) is None

    def test_nothing_is_concluded_without_other_answers(self) -> None:
        # Guards against exclusion of the first worker that a bad request reaches.
        assert fail(loads(), 0.0, 5) is None

    def test_it_gets_one_request_then(self) -> None:
        # Guards against a failing worker that gets many requests each time.
        at = loads()
        at.record_answer(SECOND, 0.0)
        fail(at, 0.0, N_FAILED)
        assert FIRST in at.usable(ALL, FAILED_S)
        assert at.begin(FIRST)
        assert FIRST not in at.usable(ALL, FAILED_S)
        assert fail(at, FAILED_S) == 2 * FAILED_S
        at.end_trial(FIRST)
        assert FIRST not in at.usable(ALL, FAILED_S + 1.9)
        assert at.begin(FIRST)
        at.record_answer(FIRST, FAILED_S + 2.0)
        assert FIRST in at.usable(ALL, FAILED_S + 2.0)

    def test_a_trial_that_is_cancelled_excludes_nobody(self) -> None:
        # Guards against a worker that is lost for good as a caller left.
        at = loads()
        at.record_answer(SECOND, 0.0)
        fail(at, 0.0, N_FAILED)
        assert at.begin(FIRST)
        at.end_trial(FIRST)
        assert FIRST in at.usable(ALL, FAILED_S)

    def test_the_time_is_bounded(self) -> None:
        # Guards against a worker that is hardly ever tried again.
        at = loads()
        at.record_answer(SECOND, 0.0)
        fail(at, 0.0, N_FAILED)
        times_s = [fail(at, 100.0 * n) for n in range(1, 5)]
        assert times_s == [2.0, 4.0, MAX_FAILED_S, MAX_FAILED_S]


class TestAllLeftOut:
    def test_the_least_bad_are_used(self) -> None:
        # Guards against a service without workers, as each has shed once.
        at = loads()
        for each in ALL:
            at.record_shed(each, 0.0)
        assert list(at.usable(ALL, 0.0)) == ALL
        at.record_shed(FIRST, 0.1)
        for each in ALL[1:]:
            at.record_answer(each, 0.1)
            at.record_shed(each, 0.1)
        assert list(at.usable(ALL, 0.1)) == ALL[1:]


class TestHeard:
    def test_what_a_peer_states_is_bounded(self) -> None:
        # Guards against a peer that excludes a worker for ever.
        at = loads()
        left_out = at.hear_left_out(FIRST, 1e9, 0.0)
        assert left_out is not None and left_out.for_s == MAX_FAILED_S
        assert FIRST in at.usable(ALL, 1.5 * MAX_FAILED_S)

    def test_it_is_news_once(self) -> None:
        # Guards against gateways that announce a worker to each other for ever.
        at = loads()
        assert at.hear_left_out(FIRST, 1.0, 0.0) is not None
        assert at.hear_left_out(FIRST, 1.0, 0.1) is None
        assert at.hear_left_out(FIRST, 4.0, 0.1) is not None

    def test_a_failure_after_it_doubles_the_time(self) -> None:
        # Guards against each gateway that detects the same worker anew.
        at = loads()
        at.hear_left_out(FIRST, 1.0, 0.0)
        assert fail(at, 2.0) == 2.0


class TestBounds:
    def test_removed_and_restarted_workers_are_forgotten(self) -> None:
        # Guards against memory that grows with each replaced worker.
        at = loads()
        at.record_shed(FIRST, 0.0)
        assert replace(FIRST, born_ms=1) in at.usable([replace(FIRST, born_ms=1)], 0.0)
        at.forget(FIRST)
        assert not len(at)

    def test_the_number_of_workers_is_bounded(self) -> None:
        # Guards against memory that grows without a removal.
        at = loads()
        for number in range(MAX_WORKERS + 10):
            at.record_shed(worker(f"x{number}"), 0.0)
        assert len(at) == MAX_WORKERS
