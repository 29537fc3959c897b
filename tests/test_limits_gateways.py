"""Limits end to end: two gateways over HTTP that lease budget over real connections."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from tests.fake_sidecar import Call, FakeSidecar
from tests.gateway_harness import catalogue, has_load_report, plain_stage, settings
from tests.waiting import until
from trefoilpaddle.coordination.limits.lease_home import LeaseHome
from trefoilpaddle.coordination.limits.limits import Limiter
from trefoilpaddle.roles.gateway import Gateway, new_process
from trefoilpaddle.state.catalogue import Catalogue, Limits
from trefoilpaddle.state.hosts import Host, HostList
from trefoilpaddle.state.journal import Journal
from trefoilpaddle.state.published import Published
from trefoilpaddle.state.settings import LogFormat


@dataclasses.dataclass
class Site:
    client: aiohttp.ClientSession
    gateways: list[Gateway]

    async def post(self, number: int) -> tuple[int, Any, str]:
        url = f"http://{self.gateways[number].server.address}/v1/pipelines/p"
        headers = {"X-Client-Account": "club"}
        async with self.client.post(url, json={}, headers=headers) as answer:
            wait = answer.headers.get("Retry-After", "")
            return answer.status, await answer.json(), wait


@contextlib.asynccontextmanager
async def site(limits: Limits, *sidecars: FakeSidecar) -> AsyncIterator[Site]:
    published = catalogue(plain_stage(), limits=limits)
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(aiohttp.ClientSession())
        for sidecar in sidecars:
            await stack.enter_async_context(sidecar.running())
        hosts = [sidecar.host() for sidecar in sidecars]
        hosts += [gateway_host(name) for name in ("g1", "g2")]
        listed = HostList(revision=1, hosts=tuple(hosts))
        for sidecar in sidecars:
            mount_home(sidecar, listed, published)
        gateways = [
            await stack.enter_async_context(gateway(name, listed, published))
            for name in ("g1", "g2")
        ]
        for each in gateways:
            await until(
                lambda each=each: all(has_load_report(each, s) for s in sidecars)  # type: ignore[misc]
            )
        yield Site(client=client, gateways=gateways)


def gateway_host(name: str) -> Host:
    return Host(
        name=name, failure_domain="fd1", role="gateway", peer_address="127.0.0.1:1"
    )


def mount_home(
    sidecar: FakeSidecar, listed: HostList, active_catalogue: Catalogue
) -> None:
    published = Published()
    published.set_hosts(listed)
    published.set_catalogue(active_catalogue)
    process_id = f"{sidecar.name}-sidecar"
    LeaseHome(
        process_id=process_id,
        incarnation=sidecar.incarnation,
        published=published,
        journal=Journal(
            process_id=process_id, n_records=100, format=LogFormat.KEY_VALUE
        ),
    ).mount(sidecar.server)


@contextlib.asynccontextmanager
async def gateway(
    name: str, listed: HostList, active_catalogue: Catalogue
) -> AsyncIterator[Gateway]:
    base = settings()
    own = dataclasses.replace(base.process, host=name)
    checked = dataclasses.replace(base, process=own)
    process = new_process(checked)
    limiter = Limiter(
        gateway=process.identity.process_id,
        incarnation=process.identity.incarnation,
        published=process.published,
        asker=process.peers,
        journal=process.journal,
    )
    built = Gateway(settings=checked, process=process, limiter=limiter)
    async with process.peers.open(), limiter.running(), built.serving():
        process.published.set_hosts(listed)
        process.published.set_catalogue(active_catalogue)
        await until(lambda: any(c.is_responsive for c in limiter.contacts.values()))
        yield built


class TestLimitsOverHttp:
    async def test_one_slot_for_two_gateways(self) -> None:
        """An entry allows one request at a time; both gateways receive one.

        The second caller is refused at once as not run, with a retry-after time.
        After the first request has finished, the slot moves to the other gateway.
        """
        started, release = asyncio.Event(), asyncio.Event()

        async def blocked(call: Call) -> None:
            started.set()
            await release.wait()
            call.answer(b"{}")

        sidecars = [
            FakeSidecar(service="s", name=f"t{i}", script=blocked) for i in (1, 2)
        ]
        async with site(Limits(n_concurrent=1), *sidecars) as s:
            first = asyncio.create_task(s.post(0))
            await started.wait()
            status, body, wait = await s.post(1)
            assert status == 429
            assert body["error"]["reason"] == "limit_concurrency"
            assert body["error"]["outcome"] == "not run"
            assert int(wait) >= 1
            release.set()
            assert (await first)[0] == 200
            async with asyncio.timeout(20.0):
                while (await s.post(1))[0] != 200:  # noqa: ASYNC110
                    await asyncio.sleep(0.05)

    async def test_rate_limit_over_two_gateways(self) -> None:
        sidecars = [FakeSidecar(service="s", name=f"t{i}") for i in (1, 2)]
        async with site(Limits(rate_per_s=0.1, burst_s=10.0), *sidecars) as s:
            statuses = [(await s.post(n % 2))[0] for n in range(12)]
            assert statuses.count(200) <= 1
            assert set(statuses) <= {200, 429}
            assert sum(len(sidecar.runs) for sidecar in sidecars) <= 1
