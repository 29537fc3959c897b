"""Replay against a fake gateway: what is sent, judged, counted and audited."""

import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from trefoilpaddle.replay import player
from trefoilpaddle.replay.audit import violations
from trefoilpaddle.replay.capacity import StageWork, TargetPlace, capacity_bound
from trefoilpaddle.replay.figures import figures_of
from trefoilpaddle.replay.inputs import body_of
from trefoilpaddle.replay.outcomes import Played, Round, measure, reached
from trefoilpaddle.replay.player import play
from trefoilpaddle.replay.results import Answer, Replayed, TargetRun, Verdict
from trefoilpaddle.replay.trace import (
    FreezeTarget,
    Head,
    InputKind,
    KillTarget,
    Measure,
    Request,
    SlowService,
    Stated,
    Trace,
    Window,
    read_trace,
    write_trace,
)


def make_head(**changes: object) -> Head:
    fields: dict[str, object] = {
        "name": "tiny",
        "origin": "a test",
        "seed": 1,
        "deployment": "test",
        "time_scale": 1.0,
        "duration_s": 0.2,
        "offered_share": 0.5,
    }
    return Head(**{**fields, **changes})  # type: ignore[arg-type]


def make_request(**changes: object) -> Request:
    fields: dict[str, object] = {
        "at_s": 0.0,
        "account": "acme",
        "class_of_work": "draft",
        "pipeline": "draft",
        "deadline_s": 5.0,
        "kind": InputKind.SHORT_QUERY,
        "n_words": 3,
        "input_seed": 1,
    }
    return Request(**{**fields, **changes})  # type: ignore[arg-type]


def make_run(**changes: object) -> TargetRun:
    fields: dict[str, object] = {
        "service": "s",
        "target": "s-1",
        "request_id": "r0",
        "attempt_id": "a0",
        "path": "/p",
        "outcome": "done",
        "cost_s": 1.0,
    }
    return TargetRun(**{**fields, **changes})  # type: ignore[arg-type]


def make_answer(index: int, verdict: Verdict, request_id: str = "") -> Answer:
    return Answer(index=index, verdict=verdict, latency_s=0.1, request_id=request_id)


class FakePlant:
    """A plant of one fake gateway; remembers which faults were done."""

    def __init__(self, gateway: str) -> None:
        self.gateways = (gateway,)
        self.done: list[str] = []

    def targets_of(self, service: str) -> list[str]:
        return [f"{service}-1"]

    def processes_in(self, failure_domain: str) -> list[str]:
        return [f"{failure_domain}-sidecar"]

    def sidecar_of(self, target: str) -> str:
        return f"{target}-sidecar"

    async def set_fault(self, target: str, fault: dict[str, object]) -> None:
        self.done.append(f"{fault['kind']} {target}")

    async def kill(self, name: str) -> None:
        self.done.append(f"kill {name}")

    def freeze(self, name: str) -> None:
        self.done.append(f"freeze {name}")

    def thaw(self, name: str) -> None:
        self.done.append(f"thaw {name}")

    async def forget(self) -> None:
        self.done.append("forget")

    async def records(self) -> tuple[list[TargetRun], int]:
        return [], 0


async def answer_by_input(request: web.Request) -> web.StreamResponse:
    """Answer as the first word of the input after its marker asks."""
    text = (await request.read()).decode()
    headers = {"X-Request-Id": request.headers.get("Idempotency-Key", "r")}
    match request.headers["X-Class-Of-Work"]:
        case "refused":
            error = {"outcome": "not run", "reason": "predicted_late", "stage": "s"}
            return web.json_response({"error": error}, status=503, headers=headers)
        case "torn":
            body = b'event: token\ndata: {"text": "a"}\n\n'
        case "streamed":
            body = "".join(
                f'event: token\ndata: {{"text": "{word} "}}\n\n'
                for word in text.split()
            ).encode()
            body += b"event: end\ndata: {}\n\n"
        case "crossed":
            return web.Response(text="someone else's", headers=headers)
        case _:
            return web.Response(text=text, headers=headers)
    return web.Response(body=body, content_type="text/event-stream", headers=headers)


@contextlib.asynccontextmanager
async def fake_gateway() -> AsyncIterator[FakePlant]:
    app = web.Application()
    app.router.add_post("/v1/pipelines/{pipeline}", answer_by_input)

    async def ready(_: web.Request) -> web.Response:
        return web.Response()

    app.router.add_get("/readyz", ready)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        host, port = runner.addresses[0][:2]
        yield FakePlant(f"http://{host}:{port}")
    finally:
        await runner.cleanup()


async def replay_classes(*classes: str) -> Replayed:
    trace = Trace(
        head=make_head(),
        requests=tuple(
            make_request(
                class_of_work=name,
                is_streamed=name in {"torn", "streamed"},
                is_keyed=True,
            )
            for name in classes
        ),
    )

    def judge(index: int, whole: bytes) -> Verdict:
        body, _ = body_of(trace.requests[index])
        is_own = whole.split() == body.split()
        return Verdict.IN_TIME if is_own else Verdict.WRONG

    async with fake_gateway() as plant:
        return await play(
            trace, plant=plant, judge=judge, label="x", on_answer=lambda _: None
        )


class TestTrace:
    def test_reads_what_it_wrote(self, tmp_path: Path) -> None:
        head = make_head(
            faults=(
                SlowService(at_s=1.0, duration_s=2.0, service="s", factor=5.0),
                KillTarget(at_s=1.0, target="t"),
            ),
            disturbed=Window(begin_s=1.0, end_s=3.0),
            stated=(Stated(measure=Measure.WASTED_SHARE, at_most=0.05),),
        )
        trace = Trace(head=head, requests=(make_request(prefix="a"), make_request()))
        write_trace(trace, tmp_path / "t.jsonl")
        assert read_trace(tmp_path / "t.jsonl") == Ok(trace)

    def test_names_line_and_key_of_each_fault(self, tmp_path: Path) -> None:
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


@pytest.fixture(autouse=True)
def no_leases_to_wait_for(monkeypatch: pytest.MonkeyPatch) -> None:
    """A fake gateway leases nothing, so nothing has to settle."""
    monkeypatch.setattr(player, "PRELUDE_S", 0.0)


class TestPlayer:
    @pytest.mark.parametrize(
        ("class_of_work", "verdict"),
        [
            ("whole", Verdict.IN_TIME),
            ("streamed", Verdict.IN_TIME),
            ("refused", Verdict.NOT_RUN),
            ("torn", Verdict.TORN),
            ("crossed", Verdict.WRONG),
        ],
    )
    async def test_judges_an_answer(self, class_of_work: str, verdict: Verdict) -> None:
        replayed = await replay_classes(class_of_work)
        assert [answer.verdict for answer in replayed.answers] == [verdict]

    async def test_a_gateway_that_is_gone_is_no_answer(self) -> None:
        trace = Trace(head=make_head(), requests=(make_request(),))
        plant = FakePlant("http://127.0.0.1:1")
        replayed = await play(
            trace,
            plant=plant,
            judge=lambda index, whole: Verdict.IN_TIME,
            label="x",
            on_answer=lambda _: None,
        )
        assert replayed.answers[0].verdict is Verdict.NO_ANSWER

    async def test_does_each_fault_and_its_repair(self) -> None:
        faults = (
            SlowService(at_s=0.0, duration_s=0.02, service="s", factor=5.0),
            KillTarget(at_s=0.0, target="k"),
            FreezeTarget(at_s=0.0, duration_s=0.02, target="f"),
        )
        trace = Trace(head=make_head(faults=faults), requests=())
        plant = FakePlant("http://127.0.0.1:1")
        await play(
            trace,
            plant=plant,
            judge=lambda index, whole: Verdict.IN_TIME,
            label="x",
            on_answer=lambda _: None,
        )
        assert sorted(plant.done) == [
            "freeze f",
            "freeze f-sidecar",
            "heal s-1",
            "kill k",
            "slow s-1",
            "thaw f",
            "thaw f-sidecar",
        ]


class TestAudit:
    def check(self, answers: list[Answer], runs: list[TargetRun]) -> list[str]:
        replayed = Replayed(label="x", answers=answers, runs=runs)
        found = violations(replayed, n_requests=len(answers), once_paths={"/once"})
        return [violation.rule for violation in found]

    def test_passes_a_clean_replay(self) -> None:
        answers = [make_answer(0, Verdict.IN_TIME, "r0")]
        assert self.check(answers, [make_run(path="/once")]) == []

    def test_finds_a_request_called_not_run_that_ran(self) -> None:
        answers = [make_answer(0, Verdict.NOT_RUN, "r0")]
        assert self.check(answers, [make_run()]) == [
            "what is called not run did not run"
        ]

    def test_finds_a_second_run_of_a_stage_that_may_run_once(self) -> None:
        runs = [make_run(path="/once"), make_run(path="/once", attempt_id="a1")]
        assert self.check([make_answer(0, Verdict.LATE, "r0")], runs) == [
            "a stage that is not idempotent runs at most once"
        ]

    def test_lets_an_idempotent_stage_run_again(self) -> None:
        runs = [make_run(), make_run(attempt_id="a1")]
        assert self.check([make_answer(0, Verdict.IN_TIME, "r0")], runs) == []

    def test_finds_an_attempt_that_ran_twice(self) -> None:
        assert self.check([], [make_run(), make_run()]) == ["an attempt starts once"]

    def test_finds_crossed_and_lost_answers(self) -> None:
        replayed = Replayed(label="x", answers=[make_answer(0, Verdict.WRONG)])
        found = violations(replayed, n_requests=2, once_paths=())
        assert [violation.rule for violation in found] == [
            "each request ends for its caller",
            "an answer is the request's own, and whole",
        ]


class TestFigures:
    def test_tells_useful_cost_from_each_kind_of_waste(self) -> None:
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
    PLACES = (
        TargetPlace(name="a", service="s", failure_domain="d1", speed=1.0),
        TargetPlace(name="b", service="s", failure_domain="d2", speed=1.0),
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
            return [StageWork(service="s", work_s=work_s, alone_s=0.1)]

        return capacity_bound(trace, places=self.PLACES, work_of=work_of)

    def test_takes_the_easiest_first(self) -> None:
        assert self.allowed([1.5, 0.5, 1.0]) == [False, True, True]

    def test_counts_out_what_a_fault_takes_away(self) -> None:
        dead = (KillTarget(at_s=0.0, target="a"),)
        assert self.allowed([1.0, 0.5, 0.5], faults=dead) == [False, True, True]

    def test_leaves_out_what_is_too_slow_even_alone(self) -> None:
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
        played = Played(
            replayed=replayed, figures=figures_of(trace, replayed), violations=()
        )
        return Round(
            trace=trace,
            baseline=played,
            product=played,
            fresh=None,
            allowed=[True] * len(verdicts),
        )

    def test_burst_is_not_held_against_those_within_their_share(self) -> None:
        head = make_head(
            disturbed=Window(begin_s=4.0, end_s=8.0), bursting_account="big"
        )
        met, not_run = Verdict.IN_TIME, Verdict.NOT_RUN
        verdicts = [met, met, met, met, met, not_run, met, not_run]
        round_ = self.make_round(verdicts, head)
        assert measure(Measure.WITHIN_SHARE_OF_CALM, round_) == 1.0
        assert measure(Measure.ATTAINMENT_OF_BOUND, round_) == 0.5

    def test_says_which_outcome_is_not_reached(self) -> None:
        stated = (
            Stated(measure=Measure.ATTAINMENT_OF_BOUND, at_least=0.9),
            Stated(measure=Measure.WASTED_SHARE, at_most=0.05),
        )
        met, late = Verdict.IN_TIME, Verdict.LATE
        round_ = self.make_round([met, late], make_head(stated=stated))
        assert [outcome.holds for outcome in reached(round_)] == [False, False]
