"""Callers with long deadlines that use a gateway until its process has exited."""

import asyncio
import random
from dataclasses import dataclass
from typing import Any, Final

from trefoilpaddle.standins.platform.site import (
    ACCOUNT,
    STAGES,
    configuration,
    route,
)

from .soak_callers import Callers, one_connection
from .soak_shares import with_counter

LONG_DEADLINE_S: Final = 20.0
"""Deadline and timeout of the route; three times the grace period of a stop."""

N_STREAMS: Final = 24
"""Callers that send streams back to back; with eight pieces each, stages queue."""

N_IDLE_CONNECTIONS: Final = 16
"""Mostly idle connections to each gateway."""

OPENING_S: Final = 2.0
"""Time within which all idle connections are opened, before the first order."""

IDLE_S: Final = (4.0, 8.0)
"""Range of the pauses on idle connections, around the grace period of a stop.

Some connections that are idle since before the order therefore send their next request
at each moment of the stop, including its end.
"""

MAX_PAUSE_S: Final = 0.3
"""Maximum pause between streams; refused callers do not return at once."""

IDLE_KIND: Final = "hold"
"""Kind of the requests on idle connections.

Client libraries do not retry it by themselves when the connection breaks.
"""


def table(version: int, key: str) -> dict[str, Any]:
    """Return the configuration of a soak test in which `key` is valid."""
    fields = configuration(version, tenants=[{"name": ACCOUNT, "api_keys": [key]}])
    long_deadline_ms = int(LONG_DEADLINE_S * 1000)
    long_route = route(
        "patient",
        "streaming",
        "model",
        stages=STAGES,
        stream_resumption=True,
        timeout_ms=long_deadline_ms,
        target_latency_ms=long_deadline_ms - 1000,
    )
    return with_counter(fields | {"routes": [*fields["routes"], long_route]})


@dataclass(slots=True, kw_only=True)
class LongDeadlineCallers:
    """Callers whose requests may wait longer than a stop takes.

    Parameters
    ----------
    callers : Callers
        Records the requests.
    rng : random.Random
        Draws the pauses and the gateways.
    """

    callers: Callers
    rng: random.Random

    def start(self) -> list[asyncio.Task[None]]:
        """Start one task per caller; they run until they are cancelled."""
        n_gateways = len(self.callers.gateways)
        coroutines = [self._stream_repeatedly() for _ in range(N_STREAMS)]
        coroutines += [
            self._call_after_idle(n)
            for n in range(n_gateways)
            for _ in range(N_IDLE_CONNECTIONS)
        ]
        return [asyncio.create_task(coroutine) for coroutine in coroutines]

    async def _stream_repeatedly(self) -> None:
        """Send streams to one gateway until it accepts none, then to another."""
        n_gateways = len(self.callers.gateways)
        while True:
            ready = sorted(self.callers.ready) or range(n_gateways)
            gateway_index = self.rng.choice(ready)
            async with one_connection() as client:
                is_connected = True
                while is_connected:
                    request = await self.callers.call(
                        client,
                        gateway_index,
                        kind="patient",
                        deadline_s=LONG_DEADLINE_S,
                    )
                    is_connected = request.fully_sent_s > 0
                    await asyncio.sleep(MAX_PAUSE_S * self.rng.random())

    async def _call_after_idle(self, gateway_index: int) -> None:
        """Send occasional requests on one connection to a gateway, ready or not."""
        async with one_connection() as client:
            await asyncio.sleep(OPENING_S * self.rng.random())
            while True:
                await self.callers.call(
                    client, gateway_index, kind=IDLE_KIND, deadline_s=LONG_DEADLINE_S
                )
                await asyncio.sleep(self.rng.uniform(*IDLE_S))
