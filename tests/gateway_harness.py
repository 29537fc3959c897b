"""A gateway in the test process, with fake sidecars and an HTTP client."""

import contextlib
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass

import aiohttp

from tests.fake_sidecar import FakeSidecar
from tests.waiting import until
from trefoilpaddle.coordination.members.directory import PublishedDirectory
from trefoilpaddle.coordination.requests.request_guards import Limiter
from trefoilpaddle.protocol.gen.stage.ttypes import Load
from trefoilpaddle.roles.gateway import Gateway, claimed_keys, new_process
from trefoilpaddle.state.catalogue import (
    Account,
    Catalogue,
    Entry,
    Pipeline,
    Service,
    ServiceKind,
    Stage,
    Takes,
)
from trefoilpaddle.state.hosts import HostList
from trefoilpaddle.state.journal import Event, Record
from trefoilpaddle.state.settings import (
    CallerSettings,
    GatewaySettings,
    PlatformSettings,
    PolicySettings,
    ProcessSettings,
    StopSettings,
)

TOKEN = "open sesame"
TOKEN_SHA256 = "41ef4bb0b23661e66301aac36066912dac037827b4ae63a7b1165a5aa93ed4eb"


def catalogue(*stages: Stage, **entry: object) -> Catalogue:
    """Return a catalogue with one pipeline, ``p``, of `stages`."""
    services = {
        stage.service: Service(
            kind=ServiceKind.ENGINE if stage.model else ServiceKind.POOL
        )
        for stage in stages
    }
    values: dict[str, object] = {
        "owner": "bank",
        "class_of_work": "draft",
        "pipelines": ("p",),
        "accounts": ("club",),
        "deadline_s": 10.0,
        **entry,
    }
    return Catalogue(
        revision=7,
        entries={"e": Entry(**values)},  # type: ignore[arg-type]
        pipelines={"p": Pipeline(stages=stages)},
        services=services,
        accounts={"club": Account(token_sha256=TOKEN_SHA256)},
    )


def plain_stage(name: str = "s", *, idempotent: bool = True) -> Stage:
    return Stage(
        name=name,
        service=name,
        path="/run",
        idempotent=idempotent,
        takes=Takes.INPUT,
    )


def engine_stage(name: str = "gen") -> Stage:
    return Stage(
        name=name,
        service=name,
        path="/v1/completions",
        streams=True,
        max_tokens=8,
        model="m",
        prompt_prefix="Be brief.",
    )


@dataclass
class GatewayHarness:
    gateway: Gateway
    sidecars: Sequence[FakeSidecar]
    client: aiohttp.ClientSession

    @property
    def url(self) -> str:
        return f"http://{self.gateway.server.address}"

    def post(self, *, json: object = None, data: object = None, **headers: str):  # type: ignore[no-untyped-def]
        """Post to pipeline ``p`` as client account ``club``."""
        sent = {"X-Client-Account": "club"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        return self.client.post(
            f"{self.url}/v1/pipelines/p", json=json, data=data, headers=sent
        )

    def timeline(self, request_id: str) -> list[Record]:
        return list(self.gateway.process.journal.timeline(request_id))

    def events(self) -> list[Event]:
        return [r.decision.event for r in self.gateway.process.journal.recent()]


def settings(
    *,
    policy: PolicySettings | None = None,
    callers: dict[str, object] | None = None,
    drain_s: float = 10.0,
) -> GatewaySettings:
    return GatewaySettings(
        process=ProcessSettings(
            host="g1",
            failure_domain="fd1",
            listen="127.0.0.1:1",
            operators_listen="127.0.0.1:0",
        ),
        platform=PlatformSettings(
            config_url="http://127.0.0.1:1", hosts_url="http://127.0.0.1:1"
        ),
        callers=CallerSettings(listen="127.0.0.1:0", **(callers or {})),  # type: ignore[arg-type]
        policy=policy or PolicySettings(),
        stop=StopSettings(drain_s=drain_s, settle_s=0.01),
    )


@contextlib.asynccontextmanager
async def gateway_harness(
    *sidecars: FakeSidecar,
    published: Catalogue,
    policy: PolicySettings | None = None,
    callers: dict[str, object] | None = None,
    limiter: Limiter | None = None,
    has_keys: bool = False,
    client_kwargs: dict[str, object] | None = None,
    drain_s: float = 10.0,
) -> AsyncIterator[GatewayHarness]:
    """Run a gateway in front of `sidecars` until the context ends."""
    async with contextlib.AsyncExitStack() as stack:
        for sidecar in sidecars:
            await stack.enter_async_context(sidecar.running())
        checked = settings(policy=policy, callers=callers, drain_s=drain_s)
        process = new_process(checked)
        await stack.enter_async_context(process.peers.open())
        directory = PublishedDirectory(published=process.published)
        keys = claimed_keys(settings=checked, process=process, directory=directory)
        gateway = Gateway(
            settings=checked,
            process=process,
            limiter=limiter,
            keys=keys if has_keys else None,
        )
        await stack.enter_async_context(gateway.serving())
        process.published.set_hosts(
            HostList(revision=1, hosts=tuple(s.host() for s in sidecars))
        )
        process.published.set_catalogue(published)
        client = await stack.enter_async_context(
            aiohttp.ClientSession(**(client_kwargs or {}))  # type: ignore[arg-type]
        )
        await until(lambda: all(has_load_report(gateway, s) for s in sidecars))
        yield GatewayHarness(gateway=gateway, sidecars=sidecars, client=client)


def has_load_report(gateway: Gateway, sidecar: FakeSidecar) -> bool:
    """Return True if the gateway has a load report of `sidecar` and may use it."""
    for view in gateway._views:
        if view.process_id == f"{sidecar.name}-sidecar":
            return isinstance(view.load, Load) and view.may_get_work()
    return False


async def error_of(b: GatewayHarness, **headers: str) -> dict[str, object]:
    async with b.post(json={}, **headers) as answer:
        body = await answer.json()
        error: dict[str, object] = body["error"]
        return error
