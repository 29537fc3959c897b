"""The complete path: HTTP request, stages at sidecars, complete or streamed answer."""

import orjson

from tests.fake_sidecar import Call, FakeSidecar
from tests.gateway_harness import (
    TOKEN,
    catalogue,
    engine_stage,
    gateway_harness,
    plain_stage,
)


async def three_tokens(call: Call) -> None:
    call.answer(b"strips ", "și ".encode(), b"crests")


def sse(text: str) -> list[tuple[str, object]]:
    """Return the events of an SSE body."""
    events = []
    for block in text.strip().split("\n\n"):
        name, data = block.split("\n")
        events.append(
            (name.removeprefix("event: "), orjson.loads(data.removeprefix("data: ")))
        )
    return events


class TestCompleteAnswer:
    async def test_one_stage_is_answered_with_the_targets_output(self) -> None:
        sidecar = FakeSidecar(service="s", name="t1")
        async with (
            gateway_harness(sidecar, published=catalogue(plain_stage())) as b,
            b.post(json={"q": 1}) as answer,
        ):
            assert answer.status == 200
            assert await answer.json() == {"echo": {"input": {"q": 1}}}
            assert answer.headers["X-Entry"] == "e"
            assert answer.headers["X-Config-Revision"] == "7"
            assert answer.headers["X-Reason"] == "served"
            await sidecar.calls[0].is_acked.wait()

    async def test_each_stage_gets_the_output_of_the_preceding_one(self) -> None:
        encode = FakeSidecar(service="encode", name="t1")
        generate = FakeSidecar(service="gen", name="t2", script=three_tokens)
        published = catalogue(plain_stage("encode"), engine_stage())
        async with (
            gateway_harness(encode, generate, published=published) as b,
            b.post(data="squad sheet") as answer,
        ):
            body = await answer.json()
            assert body["text"] == "strips și crests"
            assert body["n_tokens"] == 3
            prompt = orjson.loads(generate.calls[0].body)["prompt"]
            assert prompt.splitlines()[0] == "Be brief."
            assert "squad sheet" in prompt
            assert "echo" in prompt

    async def test_a_large_body_is_sent_in_chunks_and_arrives_complete(self) -> None:
        sidecar = FakeSidecar(service="s", name="t1")
        async with (
            gateway_harness(sidecar, published=catalogue(plain_stage())) as b,
            b.post(data="x" * 300_000) as answer,
        ):
            assert (await answer.json())["echo"]["input"] == "x" * 300_000

    async def test_a_start_frame_carries_the_sidecars_own_stamp(self) -> None:
        sidecar = FakeSidecar(service="s", name="t1")
        async with gateway_harness(sidecar, published=catalogue(plain_stage())) as b:
            async with b.post(json={}):
                pass
            start = sidecar.calls[0].start
            assert start.stamp_ns > 0
            assert start.elapsed_ns >= 0
            assert start.incarnation == sidecar.incarnation
            assert start.budget_ns > 0


class TestStreamedAnswer:
    async def test_tokens_are_sent_one_by_one_before_the_end_event(self) -> None:
        sidecar = FakeSidecar(service="gen", name="t1", script=three_tokens)
        async with (
            gateway_harness(sidecar, published=catalogue(engine_stage())) as b,
            b.post(data="draft", Accept="text/event-stream") as answer,
        ):
            events = sse(await answer.text())
            assert [name for name, _ in events] == ["token"] * 3 + ["end"]
            end = events[-1][1]
            assert isinstance(end, dict)
            assert end["n_tokens"] == 3

    async def test_the_answer_of_a_stage_without_streaming_is_one_token(self) -> None:
        sidecar = FakeSidecar(service="s", name="t1")
        async with (
            gateway_harness(sidecar, published=catalogue(plain_stage())) as b,
            b.post(json={}, Accept="text/event-stream") as answer,
        ):
            names = [name for name, _ in sse(await answer.text())]
            assert names == ["token", "end"]

    async def test_a_refusal_before_the_first_token_has_its_status(self) -> None:
        async with (
            gateway_harness(published=catalogue(engine_stage())) as b,
            b.post(data="draft", Accept="text/event-stream") as answer,
        ):
            assert answer.status == 503
            error = (await answer.json())["error"]
            assert error["outcome"] == "not run"
            assert error["reason"] == "no_target"
            assert answer.headers["Retry-After"] == "1"


class TestAccess:
    async def test_a_token_names_its_client_account(self) -> None:
        sidecar = FakeSidecar(service="s", name="t1")
        published = catalogue(plain_stage())
        closed: dict[str, object] = {"require_tokens": True}
        async with gateway_harness(sidecar, published=published, callers=closed) as b:
            async with b.post(json={}, Authorization=f"Bearer {TOKEN}") as answer:
                assert answer.status == 200
            async with b.post(json={}, Authorization="Bearer wrong") as answer:
                assert answer.status == 401
            async with b.post(json={}) as answer:
                assert answer.status == 401

    async def test_a_missing_entry_and_a_missing_pipeline_have_different_statuses(
        self,
    ) -> None:
        async with gateway_harness(published=catalogue(plain_stage())) as b:
            async with b.post(json={}, X_Client_Account="other") as answer:
                assert answer.status == 403
            url = f"{b.url}/v1/pipelines/none"
            headers = {"X-Client-Account": "club"}
            async with b.client.post(url, json={}, headers=headers) as answer:
                assert answer.status == 404

    async def test_a_request_is_visible_only_to_its_own_account(self) -> None:
        sidecar = FakeSidecar(service="s", name="t1")
        async with gateway_harness(sidecar, published=catalogue(plain_stage())) as b:
            async with b.post(json={}) as answer:
                request_id = answer.headers["X-Request-Id"]
            url = f"{b.url}/v1/requests/{request_id}"
            mine = {"X-Client-Account": "club"}
            async with b.client.get(url, headers=mine) as known:
                assert (await known.json())["state"] == "answered"
            other = {"X-Client-Account": "other"}
            async with b.client.get(url, headers=other) as unknown:
                assert unknown.status == 404

    async def test_ready_only_with_a_catalogue(self) -> None:
        async with gateway_harness(published=catalogue(plain_stage())) as b:
            async with b.client.get(f"{b.url}/readyz") as ready:
                assert ready.status == 200
            b.gateway.process.stopping.set()
            async with b.client.get(f"{b.url}/readyz") as ready:
                assert ready.status == 503
            async with b.client.get(f"{b.url}/healthz") as alive:
                assert alive.status == 200
