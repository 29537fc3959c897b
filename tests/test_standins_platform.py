"""Tests of the stand-ins for configuration service, host list and weight store."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest_asyncio

from tests.waiting import until
from trefoilpaddle.standins.config import Config
from trefoilpaddle.standins.faults import Fault, FaultKind
from trefoilpaddle.standins.hosts import Hosts
from trefoilpaddle.standins.web import serving
from trefoilpaddle.standins.weights import Weights


@pytest_asyncio.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


class TestConfig:
    async def test_revisions_rise_and_changes_are_read(
        self, session: aiohttp.ClientSession
    ) -> None:
        async with serving(Config(start_revision=40).application()) as url:
            for key in ("entry/a", "entry/b", "entry/a"):
                async with session.put(
                    f"{url}/admin/values/{key}", json={}
                ) as response:
                    assert response.status == 200
            async with session.delete(f"{url}/admin/values/entry/b") as response:
                assert await response.json() == {"revision": 44}
            async with session.get(f"{url}/v1/values?after=41") as response:
                page = await response.json()
            async with session.get(f"{url}/admin/reads") as response:
                reads = await response.json()
        assert page["revision"] == 44
        assert page["items"] == [
            {"key": "entry/a", "revision": 43, "value": {}},
            {"key": "entry/b", "revision": 44, "value": None},
        ]
        assert reads["n_reads"] == 1

    async def test_pages_are_limited_to_a_megabyte(
        self, session: aiohttp.ClientSession
    ) -> None:
        config = Config()
        for i in range(5):
            config.publish(f"entry/{i}", {"text": "x" * 400_000})
        seen: list[str] = []
        after = 0
        async with serving(config.application()) as url:
            while True:
                async with session.get(f"{url}/v1/values?after={after}") as response:
                    page = await response.json()
                seen += [item["key"] for item in page["items"]]
                after = page["revision"]
                if not page.get("more"):
                    break
                assert len(page["items"]) == 2
        assert seen == [f"entry/{i}" for i in range(5)]

    async def test_watch_returns_at_a_change(
        self, session: aiohttp.ClientSession
    ) -> None:
        config = Config()
        async with serving(config.application()) as url:
            watch = asyncio.ensure_future(
                session.get(f"{url}/v1/watch?after=0&timeout_s=30")
            )
            await until(lambda: config.reads.n_watches > 0)
            config.publish("entry/a", {"x": 1})
            body = await (await watch).json()
            assert body["items"][0]["value"] == {"x": 1}
            async with session.get(
                f"{url}/v1/watch?after=1&timeout_s=0.01"
            ) as response:
                assert (await response.json())["items"] == []

    async def test_reads_over_the_rate_are_refused(
        self, session: aiohttp.ClientSession
    ) -> None:
        async with serving(Config(reads_per_s=2.0).application()) as url:
            statuses = []
            for _ in range(4):
                async with session.get(f"{url}/v1/values") as response:
                    statuses.append(response.status)
        assert statuses[:2] == [200, 200]
        assert 429 in statuses

    async def test_stale_fault_hides_changes_until_healed(
        self, session: aiohttp.ClientSession
    ) -> None:
        config = Config()
        config.publish("entry/a", {"v": 1})
        async with serving(config.application()) as url:
            config.faults.set(Fault(kind=FaultKind.STALE))
            config.publish("entry/a", {"v": 2})
            async with session.get(f"{url}/v1/values") as response:
                assert (await response.json())["items"][0]["value"] == {"v": 1}
            config.faults.set(Fault(kind=FaultKind.HEAL))
            async with session.get(f"{url}/v1/values") as response:
                assert (await response.json())["items"][0]["value"] == {"v": 2}

    async def test_down_fault_refuses_waiting_watches(
        self, session: aiohttp.ClientSession
    ) -> None:
        config = Config()
        async with serving(config.application()) as url:
            watch = asyncio.ensure_future(session.get(f"{url}/v1/watch?after=0"))
            await until(lambda: config.reads.n_watches > 0)
            config.faults.set(Fault(kind=FaultKind.DOWN))
            assert (await watch).status == 503
            async with session.get(f"{url}/v1/values") as response:
                assert response.status == 503

    async def test_value_over_a_megabyte_is_refused(
        self, session: aiohttp.ClientSession
    ) -> None:
        async with serving(Config().application()) as url:
            body = {"text": "x" * 1_100_000}
            async with session.put(
                f"{url}/admin/values/entry/a", json=body
            ) as response:
                assert response.status == 413


class TestHosts:
    async def test_changes_are_published_late(
        self, session: aiohttp.ClientSession
    ) -> None:
        hosts = Hosts(lag_s=30.0)
        async with serving(hosts.application()) as url:
            body = {"hosts": [{"name": "h1"}]}
            async with session.put(f"{url}/admin/hosts", json=body) as response:
                assert await response.json() == {"revision": 1}
            async with session.get(f"{url}/v1/hosts") as response:
                assert await response.json() == {"revision": 0, "hosts": []}

    async def test_published_hosts_are_read(
        self, session: aiohttp.ClientSession
    ) -> None:
        hosts = Hosts()
        hosts.publish([{"name": "h1"}])
        async with (
            serving(hosts.application()) as url,
            session.get(f"{url}/v1/hosts") as response,
        ):
            assert await response.json() == {"revision": 1, "hosts": [{"name": "h1"}]}


class TestWeights:
    async def test_download_over_the_limit_gets_retry_after(
        self, session: aiohttp.ClientSession
    ) -> None:
        weights = Weights(size_bytes=10_000, bytes_per_s=1_000.0, max_readings=1)
        async with serving(weights.application()) as url:
            first = asyncio.ensure_future(session.get(f"{url}/v1/weights/base"))
            await until(lambda: bool(weights.record.runs))
            async with session.get(f"{url}/v1/weights/base") as response:
                assert response.status == 429
                assert response.headers["Retry-After"] == "10"
            first.cancel()

    async def test_all_bytes_are_sent(self, session: aiohttp.ClientSession) -> None:
        weights = Weights(size_bytes=100_000, bytes_per_s=1e9)
        async with (
            serving(weights.application()) as url,
            session.get(f"{url}/v1/weights/base") as response,
        ):
            assert len(await response.read()) == 100_000
