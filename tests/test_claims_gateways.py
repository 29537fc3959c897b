"""Request keys end to end: retries over HTTP at two gateways, with runs counted."""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator, Sequence
from typing import Any

import aiohttp

from tests.fake_sidecar import Call, FakeSidecar
from tests.gateway_harness import catalogue, has_load_report, plain_stage, settings
from tests.waiting import until
from trefoilpaddle.coordination.claims.claim_home import ClaimHome
from trefoilpaddle.coordination.claims.claim_registry import ClaimRegistry
from trefoilpaddle.coordination.members.directory import PublishedDirectory
from trefoilpaddle.protocol.gen.stage.ttypes import Heartbeat
from trefoilpaddle.roles.gateway import Gateway, claimed_keys, new_process
from trefoilpaddle.state.claim_table import ClaimTable
from trefoilpaddle.state.hosts import Host, HostList
from trefoilpaddle.state.journal import Journal
from trefoilpaddle.state.published import Published
from trefoilpaddle.state.settings import LogFormat
from trefoilpaddle.transport.peers import Peers

AFTER_RETENTION_S = 1000.0
ONCE = catalogue(plain_stage(idempotent=False))


class Fleet:
    """Two gateways, and fake sidecars that are the replicas of keys."""

    def __init__(self, client: aiohttp.ClientSession) -> None:
        self.client = client
        self.gateways: list[Gateway] = []
        self.sidecars: Sequence[FakeSidecar] = ()
        self.age_s = 0.0

    def clock(self) -> float:
        return time.monotonic() + self.age_s

    def post(self, number: int, **headers: str) -> Any:
        url = f"http://{self.gateways[number].server.address}/v1/pipelines/p"
        sent = {"X-Client-Account": "club"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        return self.client.post(url, json={"hold": 12}, headers=sent)

    async def generate_id(self, number: int) -> str:
        url = f"http://{self.gateways[number].server.address}/v1/requests"
        headers = {"X-Client-Account": "club"}
        async with self.client.post(url, headers=headers) as answer:
            generated: str = (await answer.json())["request_id"]
            return generated

    @property
    def n_runs(self) -> int:
        return sum(len(sidecar.runs) for sidecar in self.sidecars)


@contextlib.asynccontextmanager
async def fleet(*sidecars: FakeSidecar) -> AsyncIterator[Fleet]:
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(aiohttp.ClientSession())
        built = Fleet(client)
        built.sidecars = sidecars
        for sidecar in sidecars:
            await stack.enter_async_context(sidecar.running())
        for name in ("g1", "g2"):
            built.gateways.append(await stack.enter_async_context(gateway(name)))
        hosts = [sidecar.host() for sidecar in sidecars]
        hosts += [gateway_host(each) for each in built.gateways]
        listed = HostList(revision=1, hosts=tuple(hosts))
        for sidecar in sidecars:
            await stack.enter_async_context(replica(built, sidecar, listed))
        for each in built.gateways:
            each.process.published.set_hosts(listed)
            each.process.published.set_catalogue(ONCE)
        built.age_s = AFTER_RETENTION_S
        for each in built.gateways:
            await until(
                lambda each=each: all(has_load_report(each, s) for s in sidecars)  # type: ignore[misc]
            )
        yield built


@contextlib.asynccontextmanager
async def gateway(name: str) -> AsyncIterator[Gateway]:
    base = settings()
    own = dataclasses.replace(base.process, host=name, listen="127.0.0.1:1")
    checked = dataclasses.replace(base, process=own)
    process = new_process(checked)
    process.server.address = dataclasses.replace(process.server.address, port=0)
    directory = PublishedDirectory(published=process.published)
    keys = claimed_keys(settings=checked, process=process, directory=directory)
    built = Gateway(settings=checked, process=process, directory=directory, keys=keys)
    async with process.server.listening(), process.peers.open(), built.serving():
        yield built


def gateway_host(built: Gateway) -> Host:
    return Host(
        name=built.process.identity.process_id.removesuffix("-gateway"),
        failure_domain="fd1",
        role="gateway",
        peer_address=str(built.process.server.address),
    )


@contextlib.asynccontextmanager
async def replica(
    built: Fleet, sidecar: FakeSidecar, listed: HostList
) -> AsyncIterator[None]:
    published = Published()
    published.set_hosts(listed)
    process_id = f"{sidecar.name}-sidecar"
    registry = ClaimRegistry(
        process_id=process_id,
        published=published,
        table=ClaimTable(window_s=30.0, clock=built.clock),
        clock=built.clock,
    )
    peers = Peers(
        own_hello=sidecar.hello,
        own_heartbeat=lambda: Heartbeat(load=sidecar.load()),
        on_message=lambda link, message: None,
    )
    journal = Journal(process_id=process_id, n_records=100, format=LogFormat.KEY_VALUE)
    async with peers.open():
        ClaimHome(registry=registry, asker=peers, journal=journal).mount(sidecar.server)
        yield


class TestRetriesOverHttp:
    async def test_first_try_still_runs(self) -> None:
        """A caller times out and retries at the other gateway.

        The request still runs at the first gateway. The retry waits and receives
        the same answer, and the target has run the request once.
        """
        started, release = asyncio.Event(), asyncio.Event()

        async def blocked(call: Call) -> None:
            started.set()
            await release.wait()
            call.answer(b'{"held": 12}')

        sidecars = [
            FakeSidecar(service="s", name=f"t{i}", script=blocked) for i in (1, 2)
        ]
        async with fleet(*sidecars) as f:
            first = asyncio.create_task(read(f.post(0, Idempotency_Key="k")))
            await started.wait()
            late = await read(f.post(1, Idempotency_Key="k", X_Deadline_S="0.6"))
            assert late[0] == 409
            assert late[1]["error"]["reason"] == "in_progress"
            retry = asyncio.create_task(read(f.post(1, Idempotency_Key="k")))
            release.set()
            assert await first == await retry == (200, {"held": 12})
            assert f.n_runs == 1

    async def test_first_try_has_finished(self) -> None:
        sidecars = [FakeSidecar(service="s", name=f"t{i}") for i in (1, 2)]
        async with fleet(*sidecars) as f:
            first = await read(f.post(0, Idempotency_Key="k"))
            assert first[0] == 200
            assert await read(f.post(1, Idempotency_Key="k")) == first
            assert f.n_runs == 1

    async def test_key_reused_with_another_body(self) -> None:
        sidecars = [FakeSidecar(service="s", name=f"t{i}") for i in (1, 2)]
        async with fleet(*sidecars) as f:
            assert (await read(f.post(0, Idempotency_Key="k")))[0] == 200
            url = f"http://{f.gateways[1].server.address}/v1/pipelines/p"
            headers = {"X-Client-Account": "club", "Idempotency-Key": "k"}
            other = f.client.post(url, json={"hold": 13}, headers=headers)
            status, body = await read(other)
            assert status == 409
            assert body["error"]["reason"] == "key_reused"
            assert f.n_runs == 1

    async def test_generated_id_at_every_gateway(self) -> None:
        sidecars = [FakeSidecar(service="s", name=f"t{i}") for i in (1, 2)]
        async with fleet(*sidecars) as f:
            generated = await f.generate_id(0)
            first = await read(f.post(1, X_Request_Id=generated))
            assert first[0] == 200
            assert await read(f.post(0, X_Request_Id=generated)) == first
            assert await read(f.post(1, X_Request_Id=generated)) == first
            assert f.n_runs == 1

    async def test_both_replicas_lost(self) -> None:
        """Both replicas of the key crash; whether an earlier try ran is unknown."""
        sidecars = [FakeSidecar(service="s", name=f"t{i}") for i in (1, 2)]
        async with fleet(*sidecars) as f:
            assert (await read(f.post(0, Idempotency_Key="k")))[0] == 200
            n_runs = f.n_runs
            for sidecar in sidecars:
                await sidecar.close_server()
            status, body = await read(f.post(1, Idempotency_Key="k"))
            assert status == 504
            assert body["error"]["reason"] == "home_gone"
            assert f.n_runs == n_runs

    async def test_first_try_not_run_frees_the_key(self) -> None:

        sidecars = [FakeSidecar(service="s", name=f"t{i}") for i in (1, 2)]
        async with fleet(*sidecars) as f:
            for sidecar in sidecars:
                sidecar.leaving = True
            await until(lambda: not any(v.may_get_work() for v in f.gateways[0]._views))
            refused = await read(f.post(0, Idempotency_Key="k"))
            assert refused[0] == 503
            for sidecar in sidecars:
                sidecar.leaving = False
            await until(
                lambda: all(has_load_report(f.gateways[1], s) for s in sidecars)
            )
            assert (await read(f.post(1, Idempotency_Key="k")))[0] == 200
            assert f.n_runs == 1


async def read(posting: Any) -> tuple[int, Any]:
    async with posting as answer:
        return answer.status, await answer.json()
