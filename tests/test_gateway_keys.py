"""Retries of one request at a gateway: it runs at most once, with one outcome."""

import asyncio

from tests.fake_sidecar import Call, FakeSidecar, echo
from tests.gateway_harness import (
    GatewayHarness,
    catalogue,
    engine_stage,
    gateway_harness,
    plain_stage,
)
from tests.sidecar_scripts import refuse
from tests.test_gateway_path import sse, three_tokens
from tests.waiting import until
from trefoilpaddle.protocol.gen.stage.ttypes import Outcome
from trefoilpaddle.protocol.reasons import Reason

ONCE = plain_stage(idempotent=False)


async def generated_id(b: GatewayHarness) -> str:
    headers = {"X-Client-Account": "club"}
    async with b.client.post(f"{b.url}/v1/requests", headers=headers) as answer:
        request_id: str = (await answer.json())["request_id"]
        return request_id


class TestRetriesOfAGeneratedId:
    async def test_retry_after_completion_gets_the_first_answer(self) -> None:
        """A caller does not receive its answer and sends the request again under
        the same id. The target must not run it twice, and the answer is the same.
        """
        s = FakeSidecar(service="s", name="t1")
        async with gateway_harness(s, published=catalogue(ONCE), has_keys=True) as b:
            request_id = await generated_id(b)
            answers = []
            for _ in range(3):
                async with b.post(json={"n": 1}, X_Request_Id=request_id) as answer:
                    assert answer.status == 200
                    answers.append(await answer.read())
            assert len(set(answers)) == 1
            assert len(s.runs) == 1

    async def test_retry_during_the_run_waits_for_its_outcome(self) -> None:
        """The first try still runs when the retries arrive."""
        release = asyncio.Event()

        async def script(call: Call) -> None:
            await release.wait()
            await echo(call)

        s = FakeSidecar(service="s", name="t1", script=script)
        async with gateway_harness(s, published=catalogue(ONCE), has_keys=True) as b:
            request_id = await generated_id(b)

            async def send() -> object:
                async with b.post(json={}, X_Request_Id=request_id) as answer:
                    return await answer.json()

            tries = [asyncio.create_task(send()) for _ in range(3)]
            await until(lambda: bool(s.calls))
            release.set()
            answers = await asyncio.gather(*tries)
            assert answers[0] == answers[1] == answers[2]
            assert len(s.runs) == 1

    async def test_retry_with_expired_deadline_gets_in_progress(self) -> None:
        async def never(call: Call) -> None:
            call.started()

        s = FakeSidecar(service="s", name="t1", script=never)
        async with gateway_harness(s, published=catalogue(ONCE), has_keys=True) as b:
            request_id = await generated_id(b)
            first = asyncio.create_task(
                b.post(json={}, X_Request_Id=request_id, X_Deadline_S="2").__aenter__()
            )
            await until(lambda: bool(s.runs))
            async with b.post(
                json={}, X_Request_Id=request_id, X_Deadline_S="0.2"
            ) as late:
                assert late.status == 409
                error = (await late.json())["error"]
                assert error["outcome"] == "unknown"
                assert error["reason"] == "in_progress"
            assert (await first).status == 504
            assert len(s.runs) == 1

    async def test_retry_gets_the_answer_that_came_after_the_deadline(self) -> None:
        """A call that must run once still runs at its target when the deadline
        passes. The caller receives "unknown" at once. The call completes later,
        and a retry receives its answer; nothing runs twice.
        """
        release = asyncio.Event()

        async def script(call: Call) -> None:
            call.started()
            await release.wait()
            call.chunk(0, b'"issued"')
            call.end(b'"issued"')

        s = FakeSidecar(service="s", name="t1", script=script)
        async with gateway_harness(s, published=catalogue(ONCE), has_keys=True) as b:
            request_id = await generated_id(b)
            async with b.post(
                json={}, X_Request_Id=request_id, X_Deadline_S="0.3"
            ) as answer:
                assert answer.status == 504
                assert (await answer.json())["error"]["outcome"] == "unknown"
            release.set()
            async with b.post(json={}, X_Request_Id=request_id) as answer:
                assert await answer.json() == "issued"
            assert len(s.runs) == 1

    async def test_retry_of_a_failed_request_gets_the_failure(self) -> None:
        s = FakeSidecar(
            service="s",
            name="t1",
            script=refuse(Reason.TARGET_FAILED, Outcome.FAILED),
        )
        async with gateway_harness(s, published=catalogue(ONCE), has_keys=True) as b:
            request_id = await generated_id(b)
            for _ in range(2):
                async with b.post(json={}, X_Request_Id=request_id) as answer:
                    assert answer.status == 502
                    assert (await answer.json())["error"]["reason"] == "target_failed"
            assert len(s.runs) == 1

    async def test_retry_of_a_request_not_run_runs_it(self) -> None:
        """The first try was refused as not run, so a retry may use its id."""
        s = FakeSidecar(service="s", name="t1", script=refuse(Reason.QUEUE_FULL))
        async with gateway_harness(s, published=catalogue(ONCE), has_keys=True) as b:
            request_id = await generated_id(b)
            async with b.post(json={}, X_Request_Id=request_id) as answer:
                assert (await answer.json())["error"]["outcome"] == "not run"
            s.script = echo
            async with b.post(json={}, X_Request_Id=request_id) as answer:
                assert answer.status == 200
            assert len(s.runs) == 1

    async def test_another_body_under_the_same_id_is_refused(self) -> None:
        s = FakeSidecar(service="s", name="t1")
        async with gateway_harness(s, published=catalogue(ONCE), has_keys=True) as b:
            request_id = await generated_id(b)
            async with b.post(json={"n": 1}, X_Request_Id=request_id) as answer:
                assert answer.status == 200
            async with b.post(json={"n": 2}, X_Request_Id=request_id) as answer:
                assert answer.status == 409
                assert (await answer.json())["error"]["reason"] == "key_reused"

    async def test_id_of_an_unavailable_gateway_is_never_run(self) -> None:
        """The id names a gateway that is unavailable. Whether an earlier try ran
        is unknown, so this one is not run.
        """
        s = FakeSidecar(service="s", name="t1")
        async with gateway_harness(s, published=catalogue(ONCE), has_keys=True) as b:
            async with b.post(json={}, X_Request_Id="g9-gateway.1f.ab") as answer:
                assert answer.status == 504
                error = (await answer.json())["error"]
                assert error["outcome"] == "unknown"
                assert error["reason"] == "home_gone"
            assert not s.calls

    async def test_a_joined_answer_can_be_streamed(self) -> None:
        s = FakeSidecar(service="gen", name="t1", script=three_tokens)
        async with gateway_harness(
            s, published=catalogue(engine_stage()), has_keys=True
        ) as b:
            request_id = await generated_id(b)
            async with b.post(data="x", X_Request_Id=request_id) as answer:
                text = (await answer.json())["text"]
            async with b.post(
                data="x", X_Request_Id=request_id, Accept="text/event-stream"
            ) as answer:
                events = sse(await answer.text())
            assert events[0] == ("token", {"text": text})
            assert events[-1][0] == "end"
            assert len(s.runs) == 1
