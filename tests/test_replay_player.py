"""The player of traces: judges whole answers, and replays faults and changes."""

import contextlib
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from tests.replay_parts import make_head, make_request
from trefoilpaddle.replay import player
from trefoilpaddle.replay.inputs import body_of
from trefoilpaddle.replay.player import play
from trefoilpaddle.replay.results import Replayed, TargetRun, Verdict
from trefoilpaddle.replay.trace import FreezeTarget, KillTarget, SlowService, Trace


class FakeSystem:
    """A system of one fake gateway; remembers which faults were done."""

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

    async def clear_records(self) -> None:
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
async def fake_gateway() -> AsyncIterator[FakeSystem]:
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
        yield FakeSystem(f"http://{host}:{port}")
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

    async with fake_gateway() as system:
        return await play(
            trace, system=system, judge=judge, label="x", on_answer=lambda _: None
        )


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
            ("torn", Verdict.TRUNCATED),
            ("crossed", Verdict.WRONG),
        ],
    )
    async def test_judges_an_answer(self, class_of_work: str, verdict: Verdict) -> None:
        replayed = await replay_classes(class_of_work)
        assert [answer.verdict for answer in replayed.answers] == [verdict]

    async def test_a_gateway_that_is_gone_is_no_answer(self) -> None:
        trace = Trace(head=make_head(), requests=(make_request(),))
        system = FakeSystem("http://127.0.0.1:1")
        replayed = await play(
            trace,
            system=system,
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
        system = FakeSystem("http://127.0.0.1:1")
        await play(
            trace,
            system=system,
            judge=lambda index, whole: Verdict.IN_TIME,
            label="x",
            on_answer=lambda _: None,
        )
        assert sorted(system.done) == [
            "freeze f",
            "freeze f-sidecar",
            "heal s-1",
            "kill k",
            "slow s-1",
            "thaw f",
            "thaw f-sidecar",
        ]
