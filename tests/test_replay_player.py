"""The player of traces: classification of answers, and injection of faults."""

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
    """A system with one fake gateway that records the injected faults."""

    def __init__(self, gateway: str) -> None:
        self.gateways = (gateway,)
        self.injected: list[str] = []

    def targets_of(self, service: str) -> list[str]:
        return [f"{service}-1"]

    def processes_in(self, failure_domain: str) -> list[str]:
        return [f"{failure_domain}-sidecar"]

    def sidecar_of(self, target: str) -> str:
        return f"{target}-sidecar"

    async def set_fault(self, target: str, fault: dict[str, object]) -> None:
        self.injected.append(f"{fault['kind']} {target}")

    async def kill(self, name: str) -> None:
        self.injected.append(f"kill {name}")

    def freeze(self, name: str) -> None:
        self.injected.append(f"freeze {name}")

    def thaw(self, name: str) -> None:
        self.injected.append(f"thaw {name}")

    async def clear_records(self) -> None:
        self.injected.append("forget")

    async def records(self) -> tuple[list[TargetRun], int]:
        return [], 0


async def answer_by_input(request: web.Request) -> web.StreamResponse:
    """Answer in the way that the class of work of the request names."""
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

    def judge(index: int, content: bytes) -> Verdict:
        body, _ = body_of(trace.requests[index])
        is_own = content.split() == body.split()
        return Verdict.IN_TIME if is_own else Verdict.WRONG

    async with fake_gateway() as system:
        return await play(
            trace, system=system, judge=judge, label="x", on_answer=lambda _: None
        )


@pytest.fixture(autouse=True)
def no_warm_up_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """A fake gateway leases nothing, so the warm-up needs no wait."""
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
    async def test_answer_is_classified(
        self, class_of_work: str, verdict: Verdict
    ) -> None:
        replayed = await replay_classes(class_of_work)
        assert [answer.verdict for answer in replayed.answers] == [verdict]

    async def test_unreachable_gateway_gives_no_answer(self) -> None:
        trace = Trace(head=make_head(), requests=(make_request(),))
        system = FakeSystem("http://127.0.0.1:1")
        replayed = await play(
            trace,
            system=system,
            judge=lambda index, content: Verdict.IN_TIME,
            label="x",
            on_answer=lambda _: None,
        )
        assert replayed.answers[0].verdict is Verdict.NO_ANSWER

    async def test_each_fault_is_injected_and_repaired(self) -> None:
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
            judge=lambda index, content: Verdict.IN_TIME,
            label="x",
            on_answer=lambda _: None,
        )
        assert sorted(system.injected) == [
            "freeze f",
            "freeze f-sidecar",
            "heal s-1",
            "kill k",
            "slow s-1",
            "thaw f",
            "thaw f-sidecar",
        ]
