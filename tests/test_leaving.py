"""Leaving and planned stops of real processes under load."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from tests.waiting import until
from trefoilpaddle.standins.description import Description, PublishedValues
from trefoilpaddle.standins.description import ServiceDescription as Targets
from trefoilpaddle.standins.launcher import deployment
from trefoilpaddle.standins.running import Running
from trefoilpaddle.standins.written_settings import Overrides
from trefoilpaddle.state.catalogue import ServiceKind

N_CLIENTS = 6
TIMEOUT_S = 60.0
FAST_TARGET: dict[str, float | bool | str] = {"base_s": 0.01, "n_slots": 8}
DESCRIPTION = Description(
    name="leaving",
    failure_domains=("fd-1", "fd-2"),
    n_gateways=2,
    hosts_lag_s=0.1,
    services=(
        Targets(name="find", kind=ServiceKind.POOL, n_targets=2, stand_in=FAST_TARGET),
        Targets(
            name="stock", kind=ServiceKind.PLAIN, n_targets=2, stand_in=FAST_TARGET
        ),
    ),
)
CATALOGUE: PublishedValues = {
    "service/find": {"kind": "pool", "n_slots": 8},
    "service/stock": {"kind": "plain", "n_slots": 8},
    "pipeline/hold": {
        "stages": [
            {"name": "find", "service": "find", "path": "/find", "takes": "input"},
            {"name": "hold", "service": "stock", "path": "/hold", "idempotent": False},
        ]
    },
    "account/club": {"token_sha256": "0" * 64},
    "entry/holds": {
        "owner": "club",
        "class_of_work": "holds",
        "pipelines": ["hold"],
        "accounts": ["club"],
    },
}
SHORT_STOP = Overrides(
    platform={"poll_s": 0.2}, stop={"settle_s": 0.4, "drain_s": 15.0}
)


@dataclass(kw_only=True)
class Callers:
    """Callers behind a balancer that sends to gateways which report ready."""

    running: Running
    session: aiohttp.ClientSession
    ready: dict[str, bool] = field(default_factory=dict)
    n_answered: int = 0
    failures: list[str] = field(default_factory=list)
    is_stopped: bool = False
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    async def finish(self) -> None:
        """Send no further requests and wait for those that are open."""
        self.is_stopped = True
        await asyncio.gather(*self.tasks)

    async def poll_readiness(self) -> None:
        """Read each gateway's readiness until cancelled."""
        while True:
            for url in self.running.gateways:
                try:
                    async with self.session.get(f"{url}/readyz") as answer:
                        self.ready[url] = answer.status == 200
                except aiohttp.ClientError:
                    self.ready[url] = False
            await asyncio.sleep(0.05)

    async def call_repeatedly(self) -> None:
        """Send one request after the other until stopped."""
        while not self.is_stopped:
            await self.call(f"sheet-{next(self.numbers)}")
            await asyncio.sleep(0.01)

    async def call(self, sheet: str) -> None:
        """Send a request; retry it as long as it was certainly not run."""
        async with asyncio.timeout(TIMEOUT_S):
            for n_tries in itertools.count():
                urls = [url for url, is_ready in self.ready.items() if is_ready]
                if not urls:
                    await asyncio.sleep(0.02)
                    continue
                outcome = await self.send(urls[n_tries % len(urls)], sheet)
                if outcome == "not run":
                    await asyncio.sleep(0.05)
                    continue
                if outcome == "answered":
                    self.n_answered += 1
                else:
                    self.failures.append(f"{sheet}: {outcome}")
                return

    async def send(self, url: str, sheet: str) -> str:
        headers = {"X-Client-Account": "club"}
        try:
            async with self.session.post(
                f"{url}/v1/pipelines/hold", json={"sheet": sheet}, headers=headers
            ) as answer:
                body = await answer.json()
                if answer.status == 200:
                    return "answered"
                error = body["error"]
                if error["outcome"] == "not run":
                    return "not run"
                return f"{answer.status} {error}"
        except aiohttp.ClientConnectorError:
            return "not run"
        except aiohttp.ClientError as error:
            return f"interrupted: {error!r}"


@contextlib.asynccontextmanager
async def calling(running: Running) -> AsyncIterator[Callers]:
    """Yield callers that send requests meanwhile; let them finish on exit."""
    async with aiohttp.ClientSession() as session:
        callers = Callers(running=running, session=session)
        poll = asyncio.create_task(callers.poll_readiness())
        callers.tasks = [
            asyncio.create_task(callers.call_repeatedly()) for _ in range(N_CLIENTS)
        ]
        try:
            yield callers
        finally:
            await callers.finish()
            poll.cancel()


async def until_answered(callers: Callers, n_more: int) -> None:
    """Wait until `n_more` further requests have been answered."""
    goal = callers.n_answered + n_more
    await until(lambda: callers.n_answered >= goal)


async def runs_of(running: Running, target: str, path: str) -> list[dict[str, Any]]:
    record = await running.record(target)
    return [run for run in record["runs"] if run["path"] == path]


async def until_no_new_runs(callers: Callers, target: str, path: str) -> None:
    """Wait until 30 requests are answered without any new run at `target`."""
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            n_runs = len(await runs_of(callers.running, target, path))
            await until_answered(callers, 30)
            if len(await runs_of(callers.running, target, path)) == n_runs:
                return


class TestRollingReplacement:
    async def test_replacing_every_process_under_load_loses_no_request(self) -> None:
        # Every gateway and sidecar is stopped and restarted, one after the other,
        # while callers send requests. A faulty stop would interrupt some of them,
        # or run one twice because its first answer was lost.
        async with (
            deployment(DESCRIPTION, CATALOGUE, overrides=SHORT_STOP) as running,
            calling(running) as callers,
        ):
            await until_answered(callers, 20)
            for name in running.system_processes():
                assert await running.stop(name) == 0
                assert running.n_cut_off(name) == 0
                await until_answered(callers, 5)
                await running.start(name)
            await until_answered(callers, 20)
            await callers.finish()
            holds = [
                run["request_id"]
                for target in ("stock-1", "stock-2")
                for run in await runs_of(running, target, "/hold")
            ]
            assert callers.failures == []
        assert len(holds) == len(set(holds))
        assert len(holds) == callers.n_answered


class TestRetiring:
    async def test_retiring_an_entry_under_load_interrupts_no_request(self) -> None:
        # An operator retires an entry while its requests run. Accepted requests
        # are answered; later ones are refused as not run.
        async with (
            deployment(DESCRIPTION, CATALOGUE, overrides=SHORT_STOP) as running,
            aiohttp.ClientSession() as session,
        ):
            callers = Callers(running=running, session=session)

            async def call_until_refused(index: int) -> str:
                url = running.gateways[index % 2]
                while (outcome := await callers.send(url, "sheet")) == "answered":
                    callers.n_answered += 1
                return outcome

            calls = asyncio.gather(*(call_until_refused(i) for i in range(N_CLIENTS)))
            await until_answered(callers, 20)
            await running.publish("entry/holds", None)
            async with asyncio.timeout(TIMEOUT_S):
                assert set(await calls) == {"not run"}
            runs = [await runs_of(running, f"stock-{i}", "/hold") for i in (1, 2)]
            assert sum(map(len, runs)) == callers.n_answered


class TestLeaving:
    async def test_target_listed_as_leaving_gets_no_new_work(self) -> None:
        # The platform removes a host and reports it only in its list of hosts. The
        # sidecar is not notified and would continue to accept work, which is lost
        # when the host is switched off.
        async with (
            deployment(DESCRIPTION, CATALOGUE, overrides=SHORT_STOP) as running,
            calling(running) as callers,
        ):
            await until_answered(callers, 20)
            await running.publish_hosts(leaving=frozenset({"stock-1-sidecar"}))
            await until_no_new_runs(callers, "stock-1", "/hold")
            assert callers.failures == []

    async def test_frozen_sidecar_gets_no_new_work(self) -> None:
        # A host freezes: its connections stay open but carry no messages. After
        # two seconds without a message no new work is sent to it, and callers
        # still get answers; the outcome of the work that it had is reported
        # correctly.
        async with (
            deployment(DESCRIPTION, CATALOGUE, overrides=SHORT_STOP) as running,
            calling(running) as callers,
        ):
            await until_answered(callers, 20)
            running.freeze("find-1-sidecar")
            await until_no_new_runs(callers, "find-1", "/find")
            running.thaw("find-1-sidecar")
            await until_answered(callers, 10)
