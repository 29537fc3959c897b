"""Runs in which most new connections go to one gateway of a weak host."""

import asyncio
import contextlib
import itertools
import random
import signal
import statistics
import time
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Final

from trefoilpaddle.standins.platform.gateway_process import (
    GatewayProcess,
    gateways,
    headers,
)
from trefoilpaddle.standins.platform.site import IP, Site, configuration
from trefoilpaddle.standins.platform.store import TABLE_KEY
from trefoilpaddle.standins.web import serving

from ..waiting import until
from .crash_harness import knows_all

DEADLINE_S: Final = 2.0
MAX_TRIES: Final = 4
CROWDED_SHARE: Final = 0.9
"""Share of new connections that one gateway gets while it is crowded."""

CALM_S: Final = 5.0
CROWDED_S: Final = 8.0
KNOWN_S: Final = 3.0
"""Time after the crowding began from which requests are counted."""

RUN_S: Final = 0.02
PAUSE_S: Final = 0.06
"""A gateway runs and is paused for these times in turn, so a quarter of the time."""

UNREAD: Final = 0
"""Status of a connection that was refused, or closed without any byte."""

NO_ANSWER: Final = -1
"""Status of a request without an answer until its deadline."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Tried:
    """A request as its caller saw it.

    Parameters
    ----------
    sent_s : float
        Monotonic time of its first try.
    statuses : tuple of int
        Statuses of its tries.
    took_s : float
        Seconds until the last one ended.
    """

    sent_s: float
    statuses: tuple[int, ...]
    took_s: float

    @property
    def is_served(self) -> bool:
        """True if the first try that a gateway read was served."""
        read = [each for each in self.statuses if each != UNREAD]
        return bool(read) and read[0] == 200


@dataclass(slots=True, kw_only=True)
class Observed:
    """What a run has shown; `crowded_s` is when the crowding began."""

    crowded_s: float = 0.0
    tried: list[Tried] = field(default_factory=list)

    def calm(self) -> list[Tried]:
        """Return the requests sent before the crowding."""
        return [each for each in self.tried if each.sent_s < self.crowded_s]

    def crowded(self) -> list[Tried]:
        """Return the requests sent once the gateways had time to adapt."""
        return [each for each in self.tried if each.sent_s > self.crowded_s + KNOWN_S]

    def summary(self) -> str:
        """Return one line with the figures."""
        statuses = Counter(s for each in self.crowded() for s in each.statuses)
        took_s = sorted(each.took_s for each in self.crowded())
        unread = sum(UNREAD in each.statuses for each in self.calm())
        return (
            f"served {served_share(self.calm()):.3f} of {len(self.calm())} before"
            f" ({unread} closed unread), {served_share(self.crowded()):.3f} of"
            f" {len(self.crowded())}; half within {statistics.median(took_s):.2f} s,"
            f" 99 % within {took_s[len(took_s) * 99 // 100]:.2f} s;"
            f" tries {dict(statuses)}"
        )


def served_share(tried: Sequence[Tried]) -> float:
    """Return the share of requests whose first read try was served."""
    return sum(each.is_served for each in tried) / len(tried)


async def _try_once(gateway: GatewayProcess, request_id: str, left_s: float) -> int:
    """Send a request on a new connection; return its status."""
    fields = headers(request_id) | {
        "Trefoilpaddle-Deadline-Milliseconds": str(int(left_s * 1000)),
        "Content-Length": "1",
        "Connection": "close",
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    sent = f"POST /price/1 HTTP/1.1\r\n{lines}\r\n1".encode()
    writer = None
    try:
        async with asyncio.timeout(left_s):
            reader, writer = await asyncio.open_connection(IP, gateway.ports[0])
            writer.write(sent)
            line = await reader.readline()
            return int(line.split()[1]) if line else UNREAD
    except TimeoutError:
        return NO_ANSWER
    except OSError:
        return UNREAD
    finally:
        if writer is not None:
            writer.close()


class CrowdingHarness:
    """Gateways of weak hosts, and callers of which most reach one of them."""

    def __init__(self, *, all_gateways: list[GatewayProcess]) -> None:
        self.all_gateways = all_gateways
        self._rng = random.Random(7)
        self._numbers = itertools.count()
        self._crowded: GatewayProcess | None = None

    async def run(self, *, calm_per_s: float, crowded_per_s: float) -> Observed:
        """Send requests at two rates; at the second, most of them to one gateway."""
        observed = Observed()
        async with asyncio.TaskGroup() as group:
            await self._send(group, observed, calm_per_s, CALM_S)
            observed.crowded_s = time.monotonic()
            self._crowded = self.all_gateways[0]
            await self._send(group, observed, crowded_per_s, CROWDED_S)
        return observed

    async def _send(
        self, group: asyncio.TaskGroup, observed: Observed, per_s: float, for_s: float
    ) -> None:
        ends_s = time.monotonic() + for_s
        due_s = time.monotonic()
        while due_s < ends_s:
            group.create_task(self._request(observed))
            due_s += self._rng.expovariate(per_s)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))

    async def _request(self, observed: Observed) -> None:
        sent_s = time.monotonic()
        statuses: list[int] = []
        gateway = self._rng.choice(self.all_gateways)
        if self._crowded is not None and self._rng.random() < CROWDED_SHARE:
            gateway = self._crowded
        while len(statuses) < MAX_TRIES:
            left_s = DEADLINE_S - (time.monotonic() - sent_s)
            if left_s <= 0:
                break
            request_id = f"c{next(self._numbers)}"
            statuses.append(await _try_once(gateway, request_id, left_s))
            if statuses[-1] != UNREAD:
                break
            others = [each for each in self.all_gateways if each is not gateway]
            gateway = self._rng.choice(others)
        observed.tried.append(
            Tried(
                sent_s=sent_s,
                statuses=tuple(statuses),
                took_s=time.monotonic() - sent_s,
            )
        )


async def _slow_down(gateway: GatewayProcess, offset_s: float) -> None:
    """Let a gateway run a quarter of the time until cancelled."""
    await asyncio.sleep(offset_s)
    try:
        while True:
            gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSE_S)
            gateway.signal(signal.SIGCONT)
            await asyncio.sleep(RUN_S)
    finally:
        gateway.signal(signal.SIGCONT)


@contextlib.asynccontextmanager
async def crowding_harness(
    folder: Path, *, n_gateways: int = 6, is_weak: bool = True
) -> AsyncIterator[CrowdingHarness]:
    """Start the gateways and the workers; weak hosts run a quarter of the time."""
    async with contextlib.AsyncExitStack() as stack:
        site = Site(stack=stack)
        url = await stack.enter_async_context(serving(site.store.application()))
        site.store_address = url.removeprefix("http://")
        site.store.put(TABLE_KEY, configuration(1))
        for number in range(8):
            await site.add_worker(f"stock{number}", "stock", work_s=0.05)
        domains = ["a", "b"] * (n_gateways // 2)
        async with gateways(site, folder, *domains) as all_gateways:
            for gateway in all_gateways:
                await until(partial(knows_all, gateway, n_gateways))
            slowed = [
                asyncio.create_task(_slow_down(gateway, 0.013 * number))
                for number, gateway in enumerate(all_gateways)
                if is_weak
            ]
            try:
                yield CrowdingHarness(all_gateways=all_gateways)
            finally:
                for task in slowed:
                    task.cancel()
                await asyncio.gather(*slowed, return_exceptions=True)
