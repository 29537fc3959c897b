"""Gateway processes with workers that a marked request can crash."""

import asyncio
import contextlib
import itertools
import random
import time
from collections import Counter
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, Final

import aiohttp

from trefoilpaddle.standins.platform.crashing import CrashingServer
from trefoilpaddle.standins.platform.gateway_process import (
    DRAFT,
    GatewayProcess,
    gateways,
    headers,
)
from trefoilpaddle.standins.platform.site import CALL_S, N_EVENTS, Site, configuration
from trefoilpaddle.standins.platform.store import TABLE_KEY
from trefoilpaddle.standins.web import serving

from ..waiting import until

MARKER: Final = b"crashes"
N_WORKERS: Final = 6
N_CALLERS: Final = 12
N_SAME: Final = 4
"""Number of these callers that all send the same body."""

FIELDS_OF: Final[Mapping[str, Mapping[str, Any]]] = {
    "stock": {"work_s": 0.05},
    "model": {"n_events": N_EVENTS, "work_s": 0.02},
    "encode": {"work_s": CALL_S},
    "retrieve": {"work_s": CALL_S},
}
"""Fields of the workers of each service."""

CRASH_GAP_S: Final = 0.25
"""Time between two attempts of the request that crashes workers."""

KNOWN_S: Final = 3.0
"""Time after the third crash within which all gateways must know of it."""


@dataclass(slots=True, kw_only=True)
class Observed:
    """What a run has shown.

    Attributes
    ----------
    statuses : Counter of int
        Answers to the other callers, by status; 0 for an interrupted request.
    crashing : list of int
        The same for the attempts of the request that crashes workers.
    crashed_s : list of float
        Monotonic times at which workers crashed.
    begun_s : list of float
        Monotonic times at which workers began to run that request.
    """

    statuses: Counter[int] = field(default_factory=Counter)
    crashing: list[int] = field(default_factory=list)
    crashed_s: list[float] = field(default_factory=list)
    begun_s: list[float] = field(default_factory=list)

    def n_late_starts(self) -> int:
        """Return how often it was started after all gateways had to know of it."""
        if len(self.crashed_s) < 3:
            return 0
        known_s = sorted(self.crashed_s)[2] + KNOWN_S
        return sum(1 for begun_s in self.begun_s if begun_s > known_s)


class CrashHarness:
    """A site whose workers a request can crash, and its gateways.

    Attributes
    ----------
    all_gateways : list of GatewayProcess
        The gateways.
    servers : list of CrashingServer
        Workers of all services.
    """

    def __init__(
        self,
        *,
        site: Site,
        all_gateways: list[GatewayProcess],
        servers: list[CrashingServer],
        client: aiohttp.ClientSession,
        crashes_stages: bool = False,
    ) -> None:
        self._crashes_stages = crashes_stages
        self.site = site
        self.all_gateways = all_gateways
        self.servers = servers
        self.observed = Observed()
        self._client = client
        self._rng = random.Random(7)
        self._numbers = itertools.count()

    async def send(
        self,
        path: str,
        body: bytes,
        *,
        gateway: GatewayProcess | None = None,
        piece_key: str = "k1",
    ) -> int:
        """Send a request to a gateway; return its status, or 0 if interrupted."""
        at = gateway or self._rng.choice(self.all_gateways)
        sent = headers(f"a{next(self._numbers)}") | DRAFT
        sent["Trefoilpaddle-Piece-Key"] = piece_key
        try:
            async with self._client.post(
                f"{at.url}{path}", data=body, headers=sent
            ) as answer:
                await answer.read()
                return answer.status
        except aiohttp.ClientError:
            return 0

    async def min_known_crashes(self) -> int:
        """Return the least number of crashes of one request known to a gateway."""
        counts = []
        for gateway in self.all_gateways:
            url = f"{gateway.operators_url}/blocked-requests"
            async with self._client.get(url) as answer:
                known = (await answer.json()).values()
                counts.append(max((len(k["crashes"]) for k in known), default=0))
        return min(counts)

    async def run(
        self, route: str, *, for_s: float, crash_gap_s: float = CRASH_GAP_S
    ) -> Observed:
        """Send a request that crashes workers repeatedly, and others in parallel."""
        ends_s = time.monotonic() + for_s
        async with asyncio.TaskGroup() as group:
            for number in range(N_CALLERS):
                group.create_task(self._call_others(route, number, ends_s))
            while time.monotonic() < ends_s:
                group.create_task(self._send_crashing(route))
                await asyncio.sleep(crash_gap_s)
        for server in self.servers:
            self.observed.crashed_s += server.crashed_s
            self.observed.begun_s += server.worker.marked_s
        return self.observed

    async def _send_crashing(self, route: str) -> None:
        if self._crashes_stages:
            status = await self.send(
                f"/{route}/1", b"staged", piece_key=MARKER.decode()
            )
        else:
            status = await self.send(f"/{route}/1", MARKER)
        self.observed.crashing.append(status)

    async def _call_others(self, route: str, number: int, ends_s: float) -> None:
        for attempt in itertools.count():
            if time.monotonic() > ends_s:
                return
            is_same = number < N_SAME
            body = b"popular" if is_same else f"{number}.{attempt}".encode()
            self.observed.statuses[await self.send(f"/{route}/1", body)] += 1
            await asyncio.sleep(0.1)


def knows_all(gateway: GatewayProcess, n_gateways: int) -> bool:
    """Return True if a gateway has logged that all others are members."""
    return gateway.log().count("member_joined") >= n_gateways - 1


@contextlib.asynccontextmanager
async def crash_harness(
    folder: Path,
    *,
    n_gateways: int = 4,
    crashes_stages: bool = False,
    accepts_when_down: bool = False,
) -> AsyncIterator[CrashHarness]:
    """Start the gateways and the site.

    With `crashes_stages` pieces of the request crash the workers of its first stage.
    With `accepts_when_down` the addresses of crashed workers still accept connections.
    """
    async with contextlib.AsyncExitStack() as stack:
        site = Site(stack=stack)
        url = await stack.enter_async_context(serving(site.store.application()))
        site.store_address = url.removeprefix("http://")
        site.store.put(TABLE_KEY, configuration(1))
        servers = []
        for number in range(N_WORKERS):
            for service, fields in FIELDS_OF.items():
                is_marked = (service in ("stock", "model")) is not crashes_stages
                servers.append(
                    await site.add_crashing_worker(
                        f"{service}{number}",
                        service,
                        marker=MARKER if is_marked else b"",
                        accepts_when_down=accepts_when_down,
                        **fields,
                    )
                )
        domains = ("a", "a", "b", "b")[:n_gateways]
        async with (
            gateways(site, folder, *domains) as all_gateways,
            aiohttp.ClientSession() as client,
        ):
            for gateway in all_gateways:
                await until(partial(knows_all, gateway, n_gateways))
            yield CrashHarness(
                site=site,
                all_gateways=all_gateways,
                servers=servers,
                client=client,
                crashes_stages=crashes_stages,
            )
