"""Accounts that compete for a service with few slots, beside the faults of a soak."""

import asyncio
import itertools
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final

import aiohttp

from trefoilpaddle.standins.platform.gateway_process import headers
from trefoilpaddle.standins.platform.site import route
from trefoilpaddle.standins.platform.worker import PlatformWorker

from .soak_actions import KillGateway, PauseGateway, StopGateway
from .soak_callers import Callers, ObservedRequest
from .soak_record import Record

SERVICE: Final = "counter"
N_WORKERS: Final = 2
N_SLOTS: Final = 2
N_QUEUED: Final = 8
WORK_S: Final = 0.1
CAPACITY_PER_S: Final = N_WORKERS * N_SLOTS / WORK_S

MODEST: Final = "modest"
BURSTING: Final = "bursting"
SHARE: Final = 0.15
"""What the account within its share sends, in parts of what the workers can do."""

BURST: Final = 2.5
"""What the other one sends during a burst, likewise."""

BURST_S: Final = 4.0
GAP_S: Final = 2.0
DEADLINE_S: Final = 3.0
ANSWER_MARGIN_S: Final = 1.0

SETTLED_S: Final = 2.0
"""Time after a fault of a gateway within which its requests are not counted.

A gateway that was lost keeps its share for half a second, and one that was paused has
requests to answer that came meanwhile.
"""

MIN_SERVED: Final = 0.95
MIN_COUNTED: Final = 20
"""Requests within the share below which one of them would decide the check."""

OK: Final = 200
NOT_RUN: Final = frozenset({408, 421, 429, 503})


def key_of(account: str) -> str:
    """Return the key of an account, which stays valid in all tables."""
    return f"key-of-{account}"


def with_counter(fields: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration with the service and its accounts added."""
    target_ms = 1000
    counter = route(
        SERVICE,
        "idempotent",
        SERVICE,
        max_attempts=1,
        timeout_ms=int(DEADLINE_S * 1000),
        target_latency_ms=target_ms,
    )
    accounts = [
        {"name": name, "api_keys": [key_of(name)]} for name in (MODEST, BURSTING)
    ]
    return fields | {
        "routes": [*fields["routes"], counter],
        "services": [*fields["services"], {"name": SERVICE}],
        "tenants": [*fields["tenants"], *accounts],
    }


def counter_workers() -> list[PlatformWorker]:
    """Return the workers of the service."""
    return [
        PlatformWorker(
            worker_id=f"{SERVICE}{number}",
            work_s=WORK_S,
            n_slots=N_SLOTS,
            n_queued=N_QUEUED,
        )
        for number in range(N_WORKERS)
    ]


@dataclass(slots=True, kw_only=True)
class CompetingCallers:
    """Callers of both accounts.

    Parameters
    ----------
    callers : Callers
        Knows the gateways, and which of them are ready.
    rng : random.Random
        Draws times and gateways.
    """

    callers: Callers
    rng: random.Random
    requests: list[ObservedRequest] = field(default_factory=list)
    _numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    async def run(self) -> None:
        """Send requests of both accounts until cancelled."""
        connector = aiohttp.TCPConnector(limit=0)
        async with (
            aiohttp.ClientSession(connector=connector) as client,
            asyncio.TaskGroup() as group,
        ):
            group.create_task(self._modest(group, client))
            while True:
                await asyncio.sleep(GAP_S)
                burst = BURST * CAPACITY_PER_S
                await self._send(group, client, BURSTING, burst, for_s=BURST_S)

    async def _modest(
        self, group: asyncio.TaskGroup, client: aiohttp.ClientSession
    ) -> None:
        per_s = SHARE * CAPACITY_PER_S
        await self._send(group, client, MODEST, per_s, for_s=float("inf"))

    async def _send(
        self,
        group: asyncio.TaskGroup,
        client: aiohttp.ClientSession,
        account: str,
        per_s: float,
        *,
        for_s: float,
    ) -> None:
        due_s = time.monotonic()
        ends_s = due_s + for_s
        while due_s < ends_s:
            due_s += self.rng.expovariate(per_s)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            group.create_task(self._request(client, account))

    async def _request(self, client: aiohttp.ClientSession, account: str) -> None:
        ready = sorted(self.callers.ready) or range(len(self.callers.gateways))
        gateway = self.rng.choice(ready)
        request = ObservedRequest(
            request_id=f"c{next(self._numbers)}",
            kind=account,
            key=key_of(account),
            gateway=gateway,
            sent_s=time.monotonic(),
            deadline_s=DEADLINE_S,
        )
        self.requests.append(request)
        sent = headers(request.request_id, Trefoilpaddle_Credential=request.key)
        sent["Trefoilpaddle-Deadline-Milliseconds"] = str(int(DEADLINE_S * 1000))
        url = f"{self.callers.gateways[gateway].url}/{SERVICE}/1"
        timeout = aiohttp.ClientTimeout(total=DEADLINE_S + ANSWER_MARGIN_S)
        try:
            async with client.post(url, headers=sent, timeout=timeout) as answer:
                await answer.read()
                request.status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            request.error = type(error).__name__
        request.ended_s = time.monotonic()


def broken_shares(
    record: Record, workers: list[PlatformWorker], requests: list[ObservedRequest]
) -> Iterator[str]:
    """Check that an account within its share is served, and that no refusal is false.

    Requests at gateways that were killed, paused or stopped meanwhile do not count.
    """
    ran = {request_id for worker in workers for request_id in worker.ran}
    for request in requests:
        if request.status in NOT_RUN and request.request_id in ran:
            yield (
                f"{request.request_id} ({request.kind}) was answered"
                f" {request.status} and ran"
            )
    counted = [
        request
        for request in requests
        if request.kind == MODEST
        and request.ended_s
        and not _is_disturbed(record, request)
    ]
    n_served = sum(request.status == OK for request in counted)
    if len(counted) >= MIN_COUNTED and n_served < MIN_SERVED * len(counted):
        yield f"{n_served} of {len(counted)} requests within a share were served"


def _is_disturbed(record: Record, request: ObservedRequest) -> bool:
    return any(
        isinstance(interval.action, KillGateway | PauseGateway | StopGateway)
        and interval.host == request.gateway
        and interval.began_s <= request.ended_s
        and interval.ended_s + SETTLED_S >= request.sent_s
        for interval in record.intervals
    )
