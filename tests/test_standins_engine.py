"""Tests of the stand-in for an engine: batching, prefix cache, streams, orders."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import orjson
import pytest
import pytest_asyncio

from tests.waiting import until
from trefoilpaddle.standins.batching import BatchModel
from trefoilpaddle.standins.engine import Engine, EngineModel
from trefoilpaddle.standins.faults import Fault, FaultKind
from trefoilpaddle.standins.outputs import engine_output, prefix_hashes
from trefoilpaddle.standins.record import Outcome
from trefoilpaddle.standins.web import serving
from trefoilpaddle.state import prefix

FAST = BatchModel(
    max_batch=4, step_base_s=0.0005, step_per_prompt_s=0.0, prefill_per_token_s=0.0
)
STALLED = BatchModel(max_batch=1, step_base_s=60.0)
LONG_PROMPT = " ".join(f"word{i}" for i in range(200))


@dataclass(slots=True, kw_only=True)
class Stream:
    """Content of a stream that an engine sent."""

    text: str = ""
    finish_reason: str = ""
    usage: dict[str, Any] = field(default_factory=dict)
    is_done: bool = False


class Client:
    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url

    async def complete(self, attempt: str, **body: object) -> Stream:
        headers = {"X-Attempt-Id": attempt, "X-Request-Id": f"r-{attempt}"}
        url = f"{self.url}/v1/completions"
        async with self.session.post(url, json=body, headers=headers) as response:
            response.raise_for_status()
            return await read(response)

    async def resume(self, attempt: str, n_seen: int) -> Stream:
        url = f"{self.url}/v1/resume/{attempt}?from_token={n_seen}"
        async with self.session.get(url) as response:
            response.raise_for_status()
            return await read(response)

    async def post(self, path: str, **body: object) -> tuple[int, Any]:
        async with self.session.post(f"{self.url}{path}", json=body) as response:
            return response.status, await response.json()

    async def get(self, path: str) -> Any:
        async with self.session.get(f"{self.url}{path}") as response:
            response.raise_for_status()
            return await response.json()


async def read(response: aiohttp.ClientResponse) -> Stream:
    stream = Stream()
    try:
        async for line in response.content:
            if line.startswith(b"data: [DONE]"):
                stream.is_done = True
            elif line.startswith(b"data: "):
                event = orjson.loads(line[6:])
                stream.text += event["choices"][0]["text"]
                stream.finish_reason = event["choices"][0]["finish_reason"] or ""
                stream.usage = event.get("usage", {})
    except aiohttp.ClientError:
        assert not stream.is_done
    return stream


@pytest_asyncio.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


class TestAnswers:
    async def test_each_prompt_gets_its_own_answer(
        self, session: aiohttp.ClientSession
    ) -> None:
        prompts = [f"prompt {i} mark:m{i}" for i in range(12)]
        engine = Engine(model=EngineModel(batch=FAST))
        async with serving(engine.application()) as url:
            client = Client(session, url)
            streams = await asyncio.gather(
                *(
                    client.complete(f"{i}", prompt=prompt, max_tokens=20, model="base")
                    for i, prompt in enumerate(prompts)
                )
            )
        for i, (prompt, stream) in enumerate(zip(prompts, streams, strict=True)):
            tokens = engine_output(prompt, 20)
            assert stream.text == " ".join(tokens)
            assert stream.text.split()[0].endswith(f"/mark:m{i}")
            assert stream.usage["completion_tokens"] == len(tokens)
            assert stream.is_done

    async def test_call_for_a_model_that_is_not_loaded_is_not_run(
        self, session: aiohttp.ClientSession
    ) -> None:
        engine = Engine(model=EngineModel(batch=FAST))
        async with serving(engine.application()) as url:
            body = {"prompt": "x", "model": "other"}
            async with session.post(f"{url}/v1/completions", json=body) as response:
                assert response.status == 404
                assert response.headers["X-Not-Run"] == "1"
        assert not engine.record.runs


class TestBatching:
    async def test_costs_of_a_batch_add_up_to_the_time_of_its_steps(
        self, session: aiohttp.ClientSession
    ) -> None:
        model = BatchModel(
            max_batch=2,
            step_base_s=0.001,
            step_per_prompt_s=0.001,
            prefill_per_token_s=0.001,
        )
        engine = Engine(model=EngineModel(batch=model))
        async with serving(engine.application()) as url:
            one = await Client(session, url).complete("a", prompt="a b", max_tokens=1)
        # One step prefills the prompt, one decodes the only token.
        assert one.usage["cost_s"] == pytest.approx(0.003 + 0.002)

    async def test_waiting_prompts_start_by_priority_then_arrival(
        self, session: aiohttp.ClientSession
    ) -> None:
        engine = Engine(model=EngineModel(batch=STALLED))
        async with serving(engine.application()) as url:
            client = Client(session, url)
            calls = []
            for attempt, priority in (("run", 5), ("b", 5), ("a", 1), ("c", 5)):
                call = client.complete(attempt, prompt=attempt, priority=priority)
                calls.append(asyncio.ensure_future(call))
                await until(lambda: len(engine.record.runs) == len(calls))
            order = [each[2].attempt_id for each in sorted(engine.batch._waiting)]
            for call_task in calls:
                call_task.cancel()
        assert order == ["a", "b", "c"]

    async def test_prompts_beyond_the_batch_size_wait(
        self, session: aiohttp.ClientSession
    ) -> None:
        engine = Engine(model=EngineModel(batch=STALLED, load_lag_s=0.0))
        async with serving(engine.application()) as url:
            client = Client(session, url)
            calls = [
                asyncio.ensure_future(client.complete(f"{i}", prompt=f"{i}"))
                for i in range(3)
            ]
            await until(lambda: engine.batch.load.latest.n_waiting == 2)
            load = await client.get("/load")
            for call in calls:
                call.cancel()
        assert (load["n_running"], load["n_waiting"]) == (1, 2)


class TestPrefixCache:
    def test_hashes_equal_those_of_gateways(self) -> None:
        assert tuple(prefix_hashes(LONG_PROMPT)) == prefix.prefix_hashes(LONG_PROMPT)

    async def test_shared_prefix_is_not_prefilled_again(
        self, session: aiohttp.ClientSession
    ) -> None:
        engine = Engine(model=EngineModel(batch=FAST, cache_event_gap_share=0.0))
        async with serving(engine.application()) as url:
            client = Client(session, url)
            first = await client.complete("a", prompt=LONG_PROMPT, max_tokens=2)
            second = await client.complete(
                "b", prompt=f"{LONG_PROMPT} more", max_tokens=2
            )
        assert first.usage["prompt_tokens_details"]["cached_tokens"] == 0
        assert second.usage["prompt_tokens_details"]["cached_tokens"] == 192

    async def test_least_recently_used_blocks_are_evicted_and_reported(
        self, session: aiohttp.ClientSession
    ) -> None:
        model = EngineModel(
            batch=FAST,
            n_cache_blocks=6,
            cache_event_gap_share=0.0,
            cache_event_lag_s=0.0,
        )
        engine = Engine(model=model)
        other = " ".join(f"other{i}" for i in range(64))
        async with serving(engine.application()) as url:
            client = Client(session, url)
            await client.complete("a", prompt=LONG_PROMPT, max_tokens=1)
            await client.complete("b", prompt=other, max_tokens=1)
            again = await client.complete("c", prompt=LONG_PROMPT, max_tokens=1)
            events = (await client.get("/cache-events?after=0"))["events"]
        assert again.usage["prompt_tokens_details"]["cached_tokens"] == 128
        evicted = [each["prefix_hash"] for each in events if each["kind"] == "evicted"]
        assert evicted[:2] == list(reversed(prefix_hashes(LONG_PROMPT)))[:2]

    async def test_exported_cache_can_be_imported(
        self, session: aiohttp.ClientSession
    ) -> None:
        old = Engine(model=EngineModel(batch=FAST))
        new = Engine(model=EngineModel(batch=FAST))
        async with (
            serving(old.application()) as old_url,
            serving(new.application()) as new_url,
        ):
            await Client(session, old_url).complete(
                "a", prompt=LONG_PROMPT, max_tokens=1
            )
            async with session.get(f"{old_url}/v1/kv/a") as response:
                exported = await response.read()
            async with session.put(f"{new_url}/v1/kv/a", data=exported) as response:
                assert response.status == 200
            stream = await Client(session, new_url).complete("a", prompt=LONG_PROMPT)
        assert stream.usage["prompt_tokens_details"]["cached_tokens"] == 192

    async def test_events_are_published_late(
        self, session: aiohttp.ClientSession
    ) -> None:
        engine = Engine(model=EngineModel(batch=FAST, cache_event_lag_s=50.0))
        async with serving(engine.application()) as url:
            client = Client(session, url)
            await client.complete("a", prompt=LONG_PROMPT, max_tokens=1)
            assert await client.get("/cache-events?after=0") == {"seq": 0, "events": []}


class TestInterruptedStream:
    async def test_resumes_where_it_was_interrupted(
        self, session: aiohttp.ClientSession
    ) -> None:
        engine = Engine(model=EngineModel(batch=FAST))
        async with serving(engine.application()) as url:
            client = Client(session, url)
            engine.faults.set(Fault(kind=FaultKind.CUT))
            head = await client.complete("a", prompt="x y", max_tokens=30)
            rest = await client.resume("a", len(head.text.split()))
        assert not head.is_done
        assert rest.is_done
        assert head.text + rest.text == " ".join(engine_output("x y", 30))
        assert len(engine.record.runs) == 1

    async def test_is_cancelled_without_a_reader(
        self, session: aiohttp.ClientSession
    ) -> None:
        engine = Engine(model=EngineModel(batch=STALLED, resume_s=0.02))
        async with serving(engine.application()) as url:
            client = Client(session, url)
            call = asyncio.ensure_future(client.complete("a", prompt="x"))
            await until(lambda: bool(engine.record.runs))
            call.cancel()
            await until(lambda: engine.record.runs[0].outcome is Outcome.CANCELLED)
            async with session.get(f"{url}/v1/resume/a") as response:
                assert response.status == 404

    async def test_cancel_ends_the_generation(
        self, session: aiohttp.ClientSession
    ) -> None:
        engine = Engine(model=EngineModel(batch=STALLED))
        async with serving(engine.application()) as url:
            client = Client(session, url)
            call = asyncio.ensure_future(client.complete("a", prompt="x"))
            await until(lambda: bool(engine.record.runs))
            assert await client.post("/v1/cancel/a") == (200, {"cancelled": True})
            assert (await call).finish_reason == "cancelled"
            assert (await client.post("/v1/cancel/b"))[0] == 404


class TestFaults:
    async def test_pause_stops_tokens_until_healed(
        self, session: aiohttp.ClientSession
    ) -> None:
        engine = Engine(model=EngineModel(batch=FAST))
        async with serving(engine.application()) as url:
            client = Client(session, url)
            call = asyncio.ensure_future(
                client.complete("a", prompt="x", max_tokens=2000)
            )
            await until(lambda: bool(engine.record.runs))
            engine.faults.set(Fault(kind=FaultKind.PAUSE))
            generation = engine._generations["a"]
            n_decoded = generation.n_decoded
            await asyncio.sleep(0.05)
            assert generation.n_decoded <= n_decoded + 1
            assert not call.done()
            engine.faults.set(Fault(kind=FaultKind.HEAL))
            assert (await call).is_done

    async def test_slow_multiplies_the_cost(
        self, session: aiohttp.ClientSession
    ) -> None:
        engine = Engine(model=EngineModel(batch=FAST))
        async with serving(engine.application()) as url:
            client = Client(session, url)
            fresh = await client.complete("a", prompt="x", max_tokens=1)
            engine.faults.set(Fault(kind=FaultKind.SLOW, factor=7.0))
            slow = await client.complete("b", prompt="x", max_tokens=1)
        assert slow.usage["cost_s"] == pytest.approx(7 * fresh.usage["cost_s"])

    async def test_fail_fault_records_a_failed_run(
        self, session: aiohttp.ClientSession
    ) -> None:
        engine = Engine(model=EngineModel(batch=FAST))
        engine.faults.set(Fault(kind=FaultKind.FAIL))
        async with serving(engine.application()) as url:
            status, _ = await Client(session, url).post("/v1/completions", prompt="x")
        assert status == 500
        assert [run.outcome for run in engine.record.runs] == [Outcome.FAILED]

    async def test_fault_ends_after_its_duration(self) -> None:
        engine = Engine(model=EngineModel(batch=FAST))
        engine.faults.set(Fault(kind=FaultKind.DOWN, duration_s=0.01))
        await until(lambda: not engine.faults.is_down)


class TestOrders:
    @pytest.mark.parametrize(("is_fenced", "status"), [(True, 409), (False, 200)])
    async def test_order_with_an_old_fencing_number(
        self, session: aiohttp.ClientSession, is_fenced: bool, status: int
    ) -> None:
        model = EngineModel(batch=FAST, is_fenced=is_fenced, load_s=0.0)
        engine = Engine(model=model)
        async with serving(engine.application()) as url:
            client = Client(session, url)
            new = await client.post(
                "/v1/orders", fence=7, order="load_model", name="m2", version="1"
            )
            old = await client.post(
                "/v1/orders", fence=6, order="unload_model", name="m2"
            )
            loaded = await client.get("/v1/models")
            record = await client.get("/record")
        assert new == (200, {})
        assert old == (status, {"fence": 7} if is_fenced else {})
        assert ("m2" in loaded["models"]) is is_fenced
        assert [each["is_accepted"] for each in record["orders"]] == [
            True,
            not is_fenced,
        ]

    async def test_slow_load_does_not_undo_a_newer_order(
        self, session: aiohttp.ClientSession
    ) -> None:
        """An older order must not take effect after a newer one.

        Otherwise an unloaded model is loaded again: a sidecar orders a load and
        is paused during the load, its successor sends other orders with a newer
        fencing number, and then the load completes.
        """
        engine = Engine(model=EngineModel(batch=FAST, load_s=0.05))
        async with serving(engine.application()) as url:
            client = Client(session, url)
            load = asyncio.ensure_future(
                client.post("/v1/orders", fence=1, order="load_model", name="m2")
            )
            await until(lambda: bool(engine.record.orders))
            await client.post("/v1/orders", fence=2, order="unload_model", name="m2")
            assert await load == (409, {"fence": 2})
        assert "m2" not in engine.orders.models
