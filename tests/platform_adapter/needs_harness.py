"""Gateway processes beside workers that state their needs in their answers."""

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import aiohttp

from trefoilpaddle.coordination.chain.fleet import SETTLE_AT_MOST_S
from trefoilpaddle.standins.platform.gateway_process import (
    DRAFT,
    GatewayProcess,
    gateways,
    headers,
)
from trefoilpaddle.standins.platform.site import CALL_S, N_EVENTS, Site, configuration
from trefoilpaddle.standins.platform.store import TABLE_KEY
from trefoilpaddle.standins.platform.worker import PlatformWorker
from trefoilpaddle.standins.web import serving

from ..waiting import until

SERVICE_OF = {"price": "stock", "hold": "stock", "draft": "model"}
"""Service of each route."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An answer as a caller got it.

    Parameters
    ----------
    request_id : str
        Id of the request.
    gateway : str
        Gateway that the request was sent to.
    sent_s, ended_s : float
        Monotonic times of the request and of the end of its answer.
    status : int
        Status of the answer; 0 if there was none.
    fields : mapping
        Headers of the answer.
    """

    request_id: str
    gateway: str
    sent_s: float
    ended_s: float
    status: int
    fields: dict[str, str] = field(default_factory=dict)


class NeedsHarness:
    """Callers that send requests at a rate to random gateways.

    Attributes
    ----------
    all_gateways : list of GatewayProcess
        The gateways.
    answers : list of Answer
        What the callers got.
    """

    def __init__(
        self,
        *,
        site: Site,
        all_gateways: list[GatewayProcess],
        client: aiohttp.ClientSession,
        seed: int,
    ) -> None:
        self.site = site
        self.all_gateways = all_gateways
        self.answers: list[Answer] = []
        self._client = client
        self._rng = random.Random(seed)
        self._numbers = itertools.count()

    def workers(self, service: str) -> list[PlatformWorker]:
        """Return the workers of a service."""
        return [
            worker
            for worker_id, worker in self.site.workers.items()
            if worker_id.startswith(service)
        ]

    async def send(self, route: str, gateway: GatewayProcess | None = None) -> Answer:
        """Send a request to a gateway, a random one by default."""
        at = gateway or self._rng.choice(self.all_gateways)
        request_id = f"a{next(self._numbers)}"
        sent_s = time.monotonic()
        status, fields = 0, {}
        with contextlib.suppress(aiohttp.ClientError):
            async with self._client.post(
                f"{at.url}/{route}/1",
                data=request_id.encode(),
                headers=headers(request_id) | DRAFT,
            ) as got:
                await got.read()
                status, fields = got.status, dict(got.headers)
        answer = Answer(
            request_id=request_id,
            gateway=at.host,
            sent_s=sent_s,
            ended_s=time.monotonic(),
            status=status,
            fields=fields,
        )
        self.answers.append(answer)
        return answer

    async def needs_at(self, gateway: GatewayProcess) -> dict[str, dict[str, Any]]:
        """Return what a gateway tells operators of the needs of workers, by id."""
        url = f"{gateway.operators_url}/worker-needs"
        async with self._client.get(url) as answer:
            needs: dict[str, dict[str, Any]] = await answer.json()
            return needs

    async def play(self, route: str, *, rate_per_s: float, for_s: float) -> None:
        """Send requests of a route at a rate, and wait for their answers."""
        ends_s = time.monotonic() + for_s
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ends_s:
                group.create_task(self.send(route))
                await asyncio.sleep(self._rng.expovariate(rate_per_s))

    async def most_used(self, route: str, *, rate_per_s: float) -> list[PlatformWorker]:
        """Send requests for a second; return the two workers that get the most."""
        await self.play(route, rate_per_s=rate_per_s, for_s=1.0)
        workers = self.workers(SERVICE_OF[route])
        return sorted(workers, key=lambda worker: -len(worker.ran))[:2]

    def told_s(self, worker: PlatformWorker, header: str) -> dict[str, float]:
        """Return when each gateway passed on an answer of a worker with a header."""
        told: dict[str, float] = {}
        for answer in self.answers:
            seal = answer.fields.get("Trefoilpaddle-Server-Seal", "")
            if header in answer.fields and seal.startswith(f"{worker.worker_id}."):
                since_s = told.get(answer.gateway, answer.ended_s)
                told[answer.gateway] = min(since_s, answer.ended_s)
        return told

    def gateway_of(self, request_id: str) -> str:
        """Return the gateway that a request was sent to; empty if unanswered."""
        for answer in self.answers:
            if answer.request_id == request_id:
                return answer.gateway
        return ""


def most_within(times_s: Sequence[float], window_s: float) -> int:
    """Return the largest number of times that lie within a window."""
    ordered = sorted(times_s)
    first = most = 0
    for last, at_s in enumerate(ordered):
        while at_s - ordered[first] > window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def knows_all(gateway: GatewayProcess, n_gateways: int) -> bool:
    """Return True if a gateway has joined with all others."""
    return gateway.log().count("member_joined") >= n_gateways - 1


@contextlib.asynccontextmanager
async def needs_harness(
    folder: Path, *, n_gateways: int, n_workers: int, work_s: float = 0.05
) -> AsyncIterator[NeedsHarness]:
    """Start the gateways and a site with this many workers of each service."""
    async with contextlib.AsyncExitStack() as stack:
        site = Site(stack=stack)
        url = await stack.enter_async_context(serving(site.store.application()))
        site.store_address = url.removeprefix("http://")
        site.store.put(TABLE_KEY, configuration(1))
        for number in range(n_workers):
            await site.add_worker(f"stock{number}", "stock", work_s=work_s)
            await site.add_worker(
                f"model{number}", "model", n_events=N_EVENTS, work_s=work_s / N_EVENTS
            )
            await site.add_worker(f"encode{number}", "encode", work_s=CALL_S)
            await site.add_worker(f"retrieve{number}", "retrieve", work_s=CALL_S)
        domains = ("a", "b") * n_gateways
        async with (
            gateways(site, folder, *domains[:n_gateways]) as all_gateways,
            aiohttp.ClientSession() as client,
        ):
            for gateway in all_gateways:
                await until(partial(knows_all, gateway, n_gateways))
            # Until then gateways send nothing to workers that have named a limit.
            await asyncio.sleep(SETTLE_AT_MOST_S)
            yield NeedsHarness(
                site=site, all_gateways=all_gateways, client=client, seed=7
            )
