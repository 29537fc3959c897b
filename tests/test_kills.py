"""Processes are killed, frozen and replaced; the targets' records show what ran."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import aiohttp
import pytest

from trefoilpaddle.protocol.const import UNRESPONSIVE_AFTER_S
from trefoilpaddle.standins.child import Child
from trefoilpaddle.standins.description import (
    Description,
    PublishedValues,
    ServiceDescription,
)
from trefoilpaddle.standins.launcher import deployment
from trefoilpaddle.standins.running import Running
from trefoilpaddle.state.catalogue import ServiceKind
from trefoilpaddle.state.settings import Fencing

TIMEOUT_S = 60.0
SERVICE_S = 0.5
POLL_S = 0.02


def description(
    *,
    n_gateways: int = 1,
    n_targets: int = 1,
    kind: ServiceKind = ServiceKind.PLAIN,
    fencing: Fencing = Fencing.CHECKED,
) -> Description:
    stand_in: dict[str, int | float | bool | str] = {}
    if kind is ServiceKind.PLAIN:
        stand_in = {"n_slots": 8, "base_s": SERVICE_S, "reports_load": False}
    return Description(
        name="kills",
        failure_domains=("fd-1",),
        n_gateways=n_gateways,
        hosts_lag_s=0.1,
        services=(
            ServiceDescription(
                name="stock",
                kind=kind,
                n_targets=n_targets,
                fencing=fencing,
                stand_in=stand_in,
            ),
        ),
    )


def stage(name: str, *, idempotent: bool) -> dict[str, object]:
    return {
        "name": name,
        "service": "stock",
        "path": f"/{name}",
        "idempotent": idempotent,
    }


def catalogue(kind: ServiceKind = ServiceKind.PLAIN) -> PublishedValues:
    return {
        "account/club": {"token_sha256": "0" * 64},
        "service/stock": {"kind": kind.value, "n_slots": 8},
        "pipeline/hold": {"stages": [stage("hold", idempotent=False)]},
        "pipeline/price": {"stages": [stage("price", idempotent=True)]},
        "entry/calls": {
            "owner": "club",
            "class_of_work": "calls",
            "pipelines": ["hold", "price"],
            "accounts": ["club"],
            "deadline_s": 10.0,
        },
    }


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerAnswer:
    """The answer that a caller received; status 0 if its connection broke."""

    status: int
    body: Any

    @property
    def outcome(self) -> str:
        return str(self.body["error"]["outcome"])


class DeploymentClient:
    """A running deployment and a caller's view of it."""

    def __init__(self, running: Running, session: aiohttp.ClientSession) -> None:
        self.running = running
        self._session = session

    async def call(
        self, pipeline: str, *, gateway: int = 0, **headers: str
    ) -> CallerAnswer:
        sent = {"X-Client-Account": "club"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"{self.running.gateways[gateway]}/v1/pipelines/{pipeline}"
        try:
            async with self._session.post(
                url, json={"text": "strips"}, headers=sent
            ) as answer:
                return CallerAnswer(status=answer.status, body=await answer.json())
        except aiohttp.ClientError:
            return CallerAnswer(status=0, body=None)

    async def generate_id(self) -> str:
        url = f"{self.running.gateways[0]}/v1/requests"
        headers = {"X-Client-Account": "club"}
        async with self._session.post(url, headers=headers) as answer:
            return str((await answer.json())["request_id"])

    async def runs(self, target: str = "stock-1") -> list[dict[str, Any]]:
        record = await self.running.record(target)
        return list(record["runs"])

    async def n_effects(self) -> int:
        records = [await self.running.record(t) for t in self.targets]
        return sum(each["n_effects"] for r in records for each in r["effects"])

    @property
    def targets(self) -> list[str]:
        return self.running.targets_of("stock")

    async def until_running(self, n_runs: int) -> None:
        """Return once the targets have started `n_runs` calls."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                runs = [run for t in self.targets for run in await self.runs(t)]
                if len(runs) >= n_runs:
                    return
                await asyncio.sleep(POLL_S)

    async def until_served(self, pipeline: str = "price") -> None:
        """Return once a call is answered successfully again."""
        async with asyncio.timeout(TIMEOUT_S):
            while (await self.call(pipeline)).status != 200:  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)


@contextlib.asynccontextmanager
async def deployment_client(**options: Any) -> AsyncIterator[DeploymentClient]:
    described = description(**options)
    values = catalogue(described.services[0].kind)
    connector = aiohttp.TCPConnector(force_close=True)
    async with (
        deployment(described, values) as running,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        client = DeploymentClient(running, session)
        if described.services[0].kind is ServiceKind.PLAIN:
            await client.until_served()
        yield client


class TestKilledSidecar:
    async def test_running_call_is_unknown_and_not_run_twice(self) -> None:
        # The sidecar is killed while the target runs a call that is not
        # idempotent. The caller must not get "not run", and neither the sidecar's
        # successor nor the gateway may run the call again.
        async with deployment_client() as s:
            call = asyncio.create_task(s.call("hold"))
            await s.until_running(2)
            s.running.kill("stock-1-sidecar")
            await s.running.start("stock-1-sidecar")
            assert (await call).outcome == "unknown"
            await s.until_served()
            assert await s.n_effects() <= 1
            runs = [run for run in await s.runs() if run["path"] == "/hold"]
            assert len(runs) == 1


class TestFrozenSidecar:
    async def test_resumed_sidecar_starts_no_late_call(self) -> None:
        # A call is sent to a frozen sidecar, as its peers cannot detect that yet.
        # The sidecar resumes after the deadline and reads the start frame. It must
        # not run the call, which the caller has abandoned.
        async with deployment_client() as s:
            s.running.freeze("stock-1-sidecar")
            answer = await s.call("hold", X_Deadline_S="1.0")
            assert answer.outcome == "unknown"
            s.running.thaw("stock-1-sidecar")
            await s.until_served()
            assert await s.n_effects() == 0

    async def test_unresponsive_sidecar_gets_no_new_work(self) -> None:
        async with deployment_client(n_targets=2) as s:
            s.running.freeze("stock-1-sidecar")
            n_before = len(await s.runs("stock-1"))
            # This is the time limit itself; a slower machine only waits longer.
            await asyncio.sleep(UNRESPONSIVE_AFTER_S)
            answers = await asyncio.gather(*(s.call("price") for _ in range(6)))
            assert {each.status for each in answers} == {200}
            assert len(await s.runs("stock-1")) == n_before


class TestTwoSidecarsOfOneTarget:
    @pytest.mark.parametrize("fencing", list(Fencing))
    async def test_successor_waits_for_a_frozen_sidecar(self, fencing: Fencing) -> None:
        # A sidecar is frozen and its successor is started for the same target.
        # Whether the engine checks fencing numbers or not, the lock port lets only
        # one of the two act, so the successor waits.
        async with deployment_client(kind=ServiceKind.ENGINE, fencing=fencing) as s:
            first = s.running.children["stock-1-sidecar"]
            second = Child(
                name="successor",
                arguments=first._arguments,
                log=s.running.folder / "successor.log",
            )
            first.send(signal.SIGSTOP)
            second.start()
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    while "waiting for lock port" not in second.tail():  # noqa: ASYNC110
                        await asyncio.sleep(POLL_S)
                assert "process_started" not in second.tail()
                first.send(signal.SIGKILL)
                async with asyncio.timeout(TIMEOUT_S):
                    while "process_started" not in second.tail():  # noqa: ASYNC110
                        await asyncio.sleep(POLL_S)
            finally:
                second.send(signal.SIGKILL)
                await second.wait(timeout_s=TIMEOUT_S)


class TestKilledGateway:
    async def test_retry_at_another_gateway_does_not_run_twice(self) -> None:
        # The gateway that decides about a request's id is killed while the call
        # runs. A retry at another gateway must not run the call again, and must
        # not get "not run".
        async with deployment_client(n_gateways=2) as s:
            request_id = await s.generate_id()
            first = asyncio.create_task(s.call("hold", X_Request_Id=request_id))
            await s.until_running(2)
            s.running.kill("entry-1-gateway")
            assert (await first).status == 0
            retry = await s.call(
                "hold", gateway=1, X_Request_Id=request_id, X_Deadline_S="3.0"
            )
            assert retry.outcome == "unknown"
            runs = [run for run in await s.runs() if run["path"] == "/hold"]
            assert len(runs) == 1


class TestRollingReplacement:
    async def test_replacing_every_process_under_load_interrupts_no_call(
        self,
    ) -> None:
        # Processes are replaced one after the other while callers send requests.
        # The balancer sends only to a gateway that is ready; no call may fail, and
        # no stop may interrupt one.
        async with deployment_client(n_gateways=2, n_targets=2) as s:
            answers: list[CallerAnswer] = []
            is_over = False
            is_stopping = {0: False, 1: False}

            async def caller(index: int) -> None:
                while not is_over:
                    gateway = index % 2
                    if is_stopping[gateway]:
                        gateway = 1 - gateway
                    answers.append(await s.call("hold", gateway=gateway))

            callers = [asyncio.create_task(caller(index)) for index in range(4)]
            for name in ("stock-1-sidecar", "stock-2-sidecar"):
                await replace_process(s.running, name)
            for index in (0, 1):
                is_stopping[index] = True
                await replace_process(s.running, f"entry-{index + 1}-gateway")
                is_stopping[index] = False
            is_over = True
            await asyncio.gather(*callers)
            failed = [each for each in answers if each.status != 200]
            assert not failed
            assert len(answers) > 8
            assert await s.n_effects() == len(answers)


async def replace_process(running: Running, name: str) -> None:
    """Stop a process, check that it interrupted no call, and start its successor."""
    assert await running.stop(name) == 0
    assert running.n_cut_off(name) == 0
    await running.start(name)
