"""Tests of the stand-in for pools and plain services: slots, record, faults."""

import asyncio
import itertools
from collections.abc import AsyncIterator

import aiohttp
import pytest
import pytest_asyncio

from tests.waiting import until
from trefoilpaddle.standins.calls import CallModel, CallService
from trefoilpaddle.standins.outputs import call_output
from trefoilpaddle.standins.web import serving


@pytest_asyncio.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


def id_headers(n: int) -> dict[str, str]:
    return {"X-Request-Id": f"r{n}", "X-Attempt-Id": f"{n:032x}"}


class TestCallService:
    async def test_answer_depends_on_the_input_alone(
        self, session: aiohttp.ClientSession
    ) -> None:
        service = CallService(model=CallModel(base_s=0.001))
        body = b'{"previous": null, "input": "a mark:x1 b"}'
        async with serving(service.application()) as url:
            async with session.post(
                f"{url}/encode", data=body, headers=id_headers(1)
            ) as response:
                answer = await response.json()
                cost_s = float(response.headers["X-Cost-S"])
            async with session.get(f"{url}/record") as response:
                record = await response.json()
        spaced = b'{"input":"a mark:x1 b","previous":null}'
        assert answer == call_output("/encode", spaced)
        assert answer["marks"] == ["mark:x1"]
        assert cost_s == pytest.approx(0.001 + 0.002 * len(body) / 1024, rel=0.01)
        assert [(run["request_id"], run["outcome"]) for run in record["runs"]] == [
            ("r1", "done")
        ]

    async def test_waiting_calls_start_in_order_of_arrival(
        self, session: aiohttp.ClientSession
    ) -> None:
        service = CallService(model=CallModel(n_slots=1, base_s=0.001))
        async with serving(service.application()) as url:

            async def call(n: int) -> None:
                async with session.post(
                    f"{url}/x", data=b"{}", headers=id_headers(n)
                ) as response:
                    await response.read()

            await asyncio.gather(*(call(n) for n in range(20)))
        runs = list(service.record.runs)
        assert len(runs) == 20
        for earlier, later in itertools.pairwise(runs):
            assert later.begin_s >= earlier.end_s

    async def test_call_is_refused_as_not_run_when_full(
        self, session: aiohttp.ClientSession
    ) -> None:
        model = CallModel(n_slots=1, base_s=30.0, max_waiting=0)
        service = CallService(model=model)
        async with serving(service.application()) as url:
            first = asyncio.ensure_future(session.post(f"{url}/x", data=b"{}"))
            await until(lambda: bool(service.record.runs))
            async with session.post(f"{url}/x", data=b"{}") as response:
                assert response.status == 503
                assert response.headers["X-Not-Run"] == "1"
            first.cancel()
        assert len(service.record.runs) == 1

    async def test_effect_is_counted_when_the_caller_disconnects(
        self, session: aiohttp.ClientSession
    ) -> None:
        model = CallModel(base_s=0.05, once_paths=("/hold",))
        service = CallService(model=model)
        async with serving(service.application()) as url:
            call = asyncio.ensure_future(
                session.post(f"{url}/hold", data=b"{}", headers=id_headers(7))
            )
            await until(lambda: bool(service.record.runs))
            call.cancel()
            await until(lambda: service.record.runs[0].outcome != "running")
        assert service.record.effects == {("r7", "/hold"): 1}

    async def test_call_is_cancelled_when_the_caller_disconnects(
        self, session: aiohttp.ClientSession
    ) -> None:
        service = CallService(model=CallModel(base_s=30.0))
        async with serving(service.application()) as url:
            call = asyncio.ensure_future(session.post(f"{url}/x", data=b"{}"))
            await until(lambda: bool(service.record.runs))
            call.cancel()
            await until(lambda: service.record.runs[0].outcome != "running")
        assert service.record.runs[0].outcome == "cancelled"

    @pytest.mark.parametrize("path", ["/x", "/hold"])
    async def test_faults_take_effect_and_are_healed(
        self, session: aiohttp.ClientSession, path: str
    ) -> None:
        model = CallModel(base_s=0.001, once_paths=("/hold",))
        service = CallService(model=model)
        async with serving(service.application()) as url:

            async def fault(**body: object) -> None:
                async with session.post(f"{url}/fault", json=body) as response:
                    assert response.status == 200

            async def call() -> int:
                async with session.post(f"{url}{path}", data=b"{}") as response:
                    await response.read()
                    return response.status

            await fault(kind="fail", share=1.0)
            assert await call() == 500
            await fault(kind="heal")
            await fault(kind="cut", share=1.0)
            with pytest.raises(aiohttp.ClientError):
                await call()
            await fault(kind="heal")
            await fault(kind="down")
            assert await call() == 503
            await fault(kind="heal")
            await fault(kind="pause")
            waiting = asyncio.ensure_future(call())
            await asyncio.sleep(0.02)
            assert not waiting.done()
            await fault(kind="heal")
            assert await waiting == 200
            async with session.post(f"{url}/fault", json={"kind": "no"}) as response:
                assert response.status == 400
        outcomes = [run.outcome for run in service.record.runs]
        assert outcomes == ["failed", "done", "done"]

    async def test_slow_multiplies_the_cost(
        self, session: aiohttp.ClientSession
    ) -> None:
        service = CallService(model=CallModel(base_s=0.001, s_per_kb=0.0))
        async with serving(service.application()) as url:
            body = {"kind": "slow", "factor": 7.0}
            async with session.post(f"{url}/fault", json=body) as response:
                assert response.status == 200
            async with session.post(f"{url}/x", data=b"{}") as response:
                assert float(response.headers["X-Cost-S"]) == pytest.approx(0.007)

    async def test_load_is_reported_late(self, session: aiohttp.ClientSession) -> None:
        service = CallService(model=CallModel(base_s=30.0, load_lag_s=20.0))
        async with serving(service.application()) as url:
            call = asyncio.ensure_future(session.post(f"{url}/x", data=b"{}"))
            await until(lambda: bool(service.record.runs))
            async with session.get(f"{url}/load") as response:
                load = await response.json()
            call.cancel()
        assert load["n_running"] == 0
        assert load["age_s"] >= 20.0
