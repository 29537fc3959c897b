"""Trace files, and the audit, figures, capacity bound and outcomes of a replay."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from tests.replay_parts import make_answer, make_head, make_request, make_run
from trefoilpaddle.replay.audit import find_violations
from trefoilpaddle.replay.capacity import StageWork, TargetCapacity, capacity_bound
from trefoilpaddle.replay.figures import figures_of
from trefoilpaddle.replay.inputs import body_of
from trefoilpaddle.replay.outcomes import AuditedReplay, Round, measure, outcome_results
from trefoilpaddle.replay.results import Answer, Replayed, TargetRun, Verdict
from trefoilpaddle.replay.trace import (
    Head,
    KillTarget,
    Measure,
    Request,
    SlowService,
    StatedOutcome,
    Trace,
    Window,
    read_trace,
    write_trace,
)


class TestTrace:
    def test_written_trace_is_read_back_unchanged(self, tmp_path: Path) -> None:
        head = make_head(
            faults=(
                SlowService(at_s=1.0, duration_s=2.0, service="s", factor=5.0),
                KillTarget(at_s=1.0, target="t"),
            ),
            disturbed=Window(begin_s=1.0, end_s=3.0),
            stated=(StatedOutcome(measure=Measure.WASTED_SHARE, at_most=0.05),),
        )
        trace = Trace(head=head, requests=(make_request(prefix="a"), make_request()))
        write_trace(trace, tmp_path / "t.jsonl")
        assert read_trace(tmp_path / "t.jsonl") == Ok(trace)

    def test_problems_name_line_and_key(self, tmp_path: Path) -> None:
        path = tmp_path / "t.jsonl"
        write_trace(Trace(head=make_head(), requests=()), path)
        path.write_bytes(path.read_bytes() + b'{"at_s": -1, "acount": "a"}\n')
        problems = [str(problem) for problem in read_trace(path).unwrap_err()]
        assert any(":2: at_s = -1" in problem for problem in problems)
        assert any("acount" in p and "account" in p for p in problems)

    @given(st.integers(0, 50), st.integers(0, 50))
    def test_no_two_inputs_are_equal(self, first: int, second: int) -> None:
        bodies = [
            body_of(make_request(prefix="a", n_prefix_words=20, input_seed=seed))[0]
            for seed in (first, second)
        ]
        assert (bodies[0] == bodies[1]) == (first == second)
        assert bodies[0].split()[:20] == bodies[1].split()[:20]


class TestAudit:
    def check(self, answers: list[Answer], runs: list[TargetRun]) -> list[str]:
        replayed = Replayed(label="x", answers=answers, runs=runs)
        found = find_violations(replayed, n_requests=len(answers), once_paths={"/once"})
        return [violation.rule for violation in found]

    def test_valid_replay_has_no_violations(self) -> None:
        answers = [make_answer(0, Verdict.IN_TIME, "r0")]
        assert self.check(answers, [make_run(path="/once")]) == []

    def test_request_reported_as_not_run_that_ran_is_found(self) -> None:
        answers = [make_answer(0, Verdict.NOT_RUN, "r0")]
        assert self.check(answers, [make_run()]) == [
            "what is called not run did not run"
        ]

    def test_repeated_run_of_non_idempotent_stage_is_found(self) -> None:
        runs = [make_run(path="/once"), make_run(path="/once", attempt_id="a1")]
        assert self.check([make_answer(0, Verdict.LATE, "r0")], runs) == [
            "a stage that is not idempotent runs at most once"
        ]

    def test_idempotent_stage_may_run_again(self) -> None:
        runs = [make_run(), make_run(attempt_id="a1")]
        assert self.check([make_answer(0, Verdict.IN_TIME, "r0")], runs) == []

    def test_attempt_that_ran_twice_is_found(self) -> None:
        assert self.check([], [make_run(), make_run()]) == ["an attempt starts once"]

    def test_wrong_and_missing_answers_are_found(self) -> None:
        replayed = Replayed(label="x", answers=[make_answer(0, Verdict.WRONG)])
        found = find_violations(replayed, n_requests=2, once_paths=())
        assert [violation.rule for violation in found] == [
            "each request ends for its caller",
            "an answer is the request's own, and whole",
        ]


class TestFigures:
    def test_wasted_cost_is_divided_by_cause(self) -> None:
        replayed = Replayed(
            label="x",
            answers=[
                make_answer(0, Verdict.IN_TIME, "r0"),
                make_answer(1, Verdict.LATE, "r1"),
            ],
            runs=[
                make_run(),
                make_run(attempt_id="a1", cost_s=2.0),
                make_run(attempt_id="a2", outcome="cancelled", cost_s=3.0),
                make_run(attempt_id="a3", outcome="failed", cost_s=4.0),
                make_run(request_id="r1", attempt_id="a4", cost_s=10.0),
            ],
        )
        trace = Trace(head=make_head(), requests=(make_request(), make_request()))
        figures = figures_of(trace, replayed)
        (stage,) = figures.stages
        wasted = (stage.late_s, stage.cancelled_s, stage.failed_s, stage.repeated_s)
        assert wasted == (10.0, 3.0, 4.0, 2.0)
        assert figures.wasted_share == pytest.approx(19.0 / 20.0)
        assert figures.attainment == 0.5
        assert figures.cost_per_met_s == 20.0


class TestCapacity:
    TARGETS = (
        TargetCapacity(name="a", service="s", failure_domain="d1", speed=1.0),
        TargetCapacity(name="b", service="s", failure_domain="d2", speed=1.0),
    )

    def allowed(self, works: list[float], **changes: object) -> list[bool]:
        trace = Trace(
            head=make_head(duration_s=1.0, **changes),
            requests=tuple(
                make_request(deadline_s=1.0, n_words=number + 1)
                for number in range(len(works))
            ),
        )

        def work_of(request: Request) -> list[StageWork]:
            work_s = works[request.n_words - 1]
            return [StageWork(service="s", work_s=work_s, unloaded_s=0.1)]

        return capacity_bound(trace, targets=self.TARGETS, work_of=work_of)

    def test_smallest_requests_are_allocated_first(self) -> None:
        assert self.allowed([1.5, 0.5, 1.0]) == [False, True, True]

    def test_fault_reduces_capacity(self) -> None:
        dead = (KillTarget(at_s=0.0, target="a"),)
        assert self.allowed([1.0, 0.5, 0.5], faults=dead) == [False, True, True]

    def test_request_too_slow_without_load_is_not_allowed(self) -> None:
        slow = (SlowService(at_s=0.0, duration_s=9.0, service="s", factor=20.0),)
        assert self.allowed([0.01], faults=slow) == [False]


class TestOutcomes:
    def make_round(self, verdicts: list[Verdict], head: Head) -> Round:
        requests = tuple(
            make_request(at_s=float(second), account="big" if second % 2 else "small")
            for second in range(len(verdicts))
        )
        trace = Trace(head=head, requests=requests)
        answers = [make_answer(i, verdict) for i, verdict in enumerate(verdicts)]
        replayed = Replayed(label="product", answers=answers)
        audited = AuditedReplay(
            replayed=replayed, figures=figures_of(trace, replayed), violations=()
        )
        return Round(
            trace=trace,
            baseline=audited,
            product=audited,
            fresh=None,
            allowed=[True] * len(verdicts),
        )

    def test_burst_does_not_affect_measure_of_other_accounts(self) -> None:
        head = make_head(
            disturbed=Window(begin_s=4.0, end_s=8.0), bursting_account="big"
        )
        met, not_run = Verdict.IN_TIME, Verdict.NOT_RUN
        verdicts = [met, met, met, met, met, not_run, met, not_run]
        round_ = self.make_round(verdicts, head)
        assert measure(Measure.WITHIN_SHARE_OF_CALM, round_) == 1.0
        assert measure(Measure.ATTAINMENT_OF_BOUND, round_) == 0.5

    def test_missed_outcomes_do_not_hold(self) -> None:
        stated = (
            StatedOutcome(measure=Measure.ATTAINMENT_OF_BOUND, at_least=0.9),
            StatedOutcome(measure=Measure.WASTED_SHARE, at_most=0.05),
        )
        met, late = Verdict.IN_TIME, Verdict.LATE
        round_ = self.make_round([met, late], make_head(stated=stated))
        assert [outcome.holds for outcome in outcome_results(round_)] == [False, False]
