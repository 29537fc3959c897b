"""Runs in which a part of a prompt crashes each worker that begins an answer."""

import asyncio
import contextlib
import itertools
import random
import time
from collections import Counter
from collections.abc import AsyncIterator, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Final

import aiohttp

from trefoilpaddle.standins.platform.crashing import RESTART_DELAY_S, CrashingServer
from trefoilpaddle.standins.platform.gateway_process import (
    GatewayProcess,
    event_numbers,
    gateways,
    headers,
)
from trefoilpaddle.standins.platform.site import N_EVENTS, Site, configuration, route
from trefoilpaddle.standins.platform.store import TABLE_KEY
from trefoilpaddle.standins.web import serving

from ..waiting import until
from .crash_harness import knows_all

BAD_PARTS: Final = ("bad0", "bad1")
FIRST_PARTS: Final = ("f0", "f1", "f2")
MIDDLE_PARTS: Final = tuple(f"e{number}" for number in range(8))
N_WORKERS: Final = 8

N_EVENTS_OF: Final[Mapping[str, int]] = {"writer": 0, "model": N_EVENTS}
"""Events in each stream of a service's workers; 0 for complete answers."""

SOUND_S: Final = 0.3
"""Usual time that a sound request takes."""

KNOWN_S: Final = 3.0
"""Time after the fifth crash within which all gateways must know the part."""

SETTLED_S: Final = 6.0
"""Time after the fifth crash, or the last, from which sound requests are compared."""

STREAMS: Final = frozenset({"draft"})
OK_STATUS: Final = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class SoundRequest:
    """A request without a bad part, as its caller saw it.

    Parameters
    ----------
    sent_s : float
        Monotonic time at which it was sent.
    status : int
        Status of the complete answer; 0 if the answer was interrupted.
    """

    sent_s: float
    status: int


@dataclass(slots=True, kw_only=True)
class Observed:
    """What a run has shown.

    Attributes
    ----------
    sound : list of SoundRequest
        The requests without a bad part.
    bad : Counter of int
        Statuses of the requests with one; 0 for an interrupted answer.
    crashed_s : list of float
        Monotonic times at which workers crashed, in order.
    begun_s : list of float
        Monotonic times at which requests with a bad part reached workers.
    """

    sound: list[SoundRequest] = field(default_factory=list)
    bad: Counter[int] = field(default_factory=Counter)
    crashed_s: list[float] = field(default_factory=list)
    begun_s: list[float] = field(default_factory=list)

    def n_late(self) -> int:
        """Return how many requests reached workers once all had to know the part."""
        if len(self.crashed_s) < 5:
            return 0
        return sum(each > self.crashed_s[4] + KNOWN_S for each in self.begun_s)

    def served_share(self) -> float:
        """Return the share of sound requests that were answered once it was known."""
        from_s = (self.crashed_s[:5] or [0.0])[-1] + SETTLED_S
        late = [each.status for each in self.sound if each.sent_s > from_s]
        return late.count(OK_STATUS) / len(late)

    def summary(self) -> str:
        """Return one line with the figures."""
        statuses = Counter(each.status for each in self.sound)
        return (
            f"{len(self.crashed_s)} crashes, {self.n_late()} late,"
            f" sound served {self.served_share():.3f} {dict(statuses)},"
            f" bad {dict(self.bad)}"
        )


class PartsHarness:
    """Gateways and workers that a part of a prompt crashes.

    Attributes
    ----------
    all_gateways : list of GatewayProcess
        The gateways.
    servers : list of CrashingServer
        The workers.
    """

    def __init__(
        self,
        *,
        all_gateways: list[GatewayProcess],
        servers: list[CrashingServer],
        client: aiohttp.ClientSession,
    ) -> None:
        self.all_gateways = all_gateways
        self.servers = servers
        self._client = client
        self._rng = random.Random(7)
        self._numbers = itertools.count()
        self._observed = Observed()

    async def send(
        self, name: str, parts: Sequence[str], *, gateway: GatewayProcess | None = None
    ) -> int:
        """Send a request with a last part of its own; return its status, or 0."""
        at = gateway or self._rng.choice(self.all_gateways)
        number = next(self._numbers)
        listed = ",".join(f"{part}:30" for part in (*parts, f"{number:x}"))
        sent = headers(f"a{number}") | {
            "Trefoilpaddle-Model": "m",
            "Trefoilpaddle-Token-Counts": "90,20",
            "Trefoilpaddle-Prompt-Prefix": listed,
        }
        try:
            async with self._client.post(
                f"{at.url}/{name}/1", data=f"{number}".encode(), headers=sent
            ) as answer:
                body = await answer.read()
        except aiohttp.ClientError:
            return 0
        is_stream = answer.status == OK_STATUS and name in STREAMS
        if is_stream and event_numbers(body) != list(range(1, N_EVENTS + 1)):
            return 0
        return answer.status

    async def run(
        self,
        name: str,
        *,
        for_s: float,
        bad_parts: Sequence[str] = BAD_PARTS[:1],
        is_first: bool = False,
        bad_gap_s: float = 0.35,
        sound_per_s: float = 30.0,
        bad_gateway: GatewayProcess | None = None,
    ) -> Observed:
        """Send sound requests and, among them, requests with a bad part.

        Parameters
        ----------
        name : str
            Name of the route.
        for_s : float
            Length of the run in seconds.
        bad_parts : sequence of str
            The bad parts, sent in turn; none sends sound requests alone.
        is_first : bool
            True if bad parts come first in their prompts, False for the middle.
        bad_gap_s : float
            Seconds between two requests with a bad part.
        sound_per_s : float
            Sound requests per second.
        bad_gateway : GatewayProcess or None
            Gateway that gets all requests with a bad part; None for any.
        """
        ends_s = time.monotonic() + for_s
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_sound(group, name, 1 / sound_per_s, ends_s))
            for part in itertools.cycle(bad_parts):
                if time.monotonic() > ends_s:
                    break
                parts = [self._rng.choice(FIRST_PARTS), self._rng.choice(MIDDLE_PARTS)]
                parts[0 if is_first else 1] = part
                group.create_task(self._send_bad(name, parts, bad_gateway))
                await asyncio.sleep(bad_gap_s)
        observed = self._observed
        for server in self.servers:
            observed.crashed_s += server.crashed_s
            observed.begun_s += server.worker.marked_s
        observed.crashed_s.sort()
        return observed

    async def _send_bad(
        self, name: str, parts: Sequence[str], gateway: GatewayProcess | None
    ) -> None:
        self._observed.bad[await self.send(name, parts, gateway=gateway)] += 1

    async def _send_sound(
        self, group: asyncio.TaskGroup, name: str, gap_s: float, ends_s: float
    ) -> None:
        while time.monotonic() < ends_s:
            group.create_task(self._send_one_sound(name))
            await asyncio.sleep(gap_s)

    async def _send_one_sound(self, name: str) -> None:
        sent_s = time.monotonic()
        parts = (self._rng.choice(FIRST_PARTS), self._rng.choice(MIDDLE_PARTS))
        status = await self.send(name, parts)
        self._observed.sound.append(SoundRequest(sent_s=sent_s, status=status))


@contextlib.asynccontextmanager
async def parts_harness(
    folder: Path,
    *,
    n_gateways: int = 4,
    n_workers: int = N_WORKERS,
    crash_delay_s: float = 0.05,
    restart_delay_s: float = RESTART_DELAY_S,
    sound_s: float = SOUND_S,
) -> AsyncIterator[PartsHarness]:
    """Start the gateways and the workers.

    Parameters
    ----------
    folder : Path
        Folder for the settings and logs of the gateways.
    n_gateways : int
        Number of gateways, half of them in each failure domain.
    n_workers : int
        Number of workers of each service.
    crash_delay_s : float
        Time from the first byte of an answer to a request with a bad part to the crash
        of its worker.
    restart_delay_s : float
        Time from the crash of a worker to its restart.
    sound_s : float
        Time that a sound request takes.
    """
    async with contextlib.AsyncExitStack() as stack:
        site = Site(stack=stack)
        url = await stack.enter_async_context(serving(site.store.application()))
        site.store_address = url.removeprefix("http://")
        engine = {"slots": 8, "cache_tokens": 100000}
        routes = [
            route("answer", "idempotent", "writer"),
            route("once", "non_idempotent", "writer"),
            route(
                "draft",
                "streaming",
                "model",
                stream_resumption=True,
                gap_target_ms=250,
            ),
        ]
        services = [
            {"name": "writer", "engine": engine},
            {"name": "model", "engine": engine},
        ]
        site.store.put(TABLE_KEY, configuration(1, routes=routes, services=services))
        servers = [
            await site.add_crashing_worker(
                f"{service}{number}",
                service,
                marked_parts=frozenset(BAD_PARTS),
                crash_delay_s=crash_delay_s,
                restart_delay_s=restart_delay_s,
                n_events=n_events,
                work_s=sound_s / max(1, n_events),
            )
            for number in range(n_workers)
            for service, n_events in N_EVENTS_OF.items()
        ]
        domains = "a" * (n_gateways - n_gateways // 2) + "b" * (n_gateways // 2)
        async with (
            gateways(site, folder, *domains) as all_gateways,
            aiohttp.ClientSession() as client,
        ):
            for gateway in all_gateways:
                await until(partial(knows_all, gateway, n_gateways))
            yield PartsHarness(
                all_gateways=all_gateways, servers=servers, client=client
            )
