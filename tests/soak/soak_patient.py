"""Callers with much time, who send to a gateway until its process is gone."""

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

PATIENT_S: Final = 20.0
"""Deadline and time-out of the route; three times the grace of a stop."""

N_STREAMS: Final = 24
"""Send one stream after the other; with eight pieces each, their stages queue."""

N_KEPT: Final = 16
"""Connections to each gateway that are idle most of the time."""

OPEN_S: Final = 2.0
"""All of those are open after so long, before the first order."""

IDLE_S: Final = (4.0, 8.0)
"""Pauses on those, around the grace: each moment of a stop, also the last, is the
first for some that lay idle since before the order.
"""

PAUSE_S: Final = 0.3
"""Longest pause of the others; who is refused does not come back at once."""

KEPT_KIND: Final = "hold"
"""Sent on those; no caller's library sends it again by itself when it is cut."""


def table(version: int, key: str) -> dict[str, Any]:
    """Return the configuration of a soak in which `key` is valid."""
    known = configuration(version, tenants=[{"name": ACCOUNT, "api_keys": [key]}])
    patient_ms = int(PATIENT_S * 1000)
    patient = route(
        "patient",
        "streaming",
        "model",
        stages=STAGES,
        stream_resumption=True,
        timeout_ms=patient_ms,
        target_latency_ms=patient_ms - 1000,
    )
    return known | {"routes": [*known["routes"], patient]}


@dataclass(slots=True, kw_only=True)
class PatientCallers:
    """Callers whose requests may wait longer than any stop.

    Parameters
    ----------
    callers : Callers
        Notes what they see.
    rng : random.Random
        Draws when they send and where.
    """

    callers: Callers
    rng: random.Random

    def begin(self) -> list[asyncio.Task[None]]:
        """Let all of them call, until they are cancelled."""
        n_gateways = len(self.callers.gateways)
        works = [self._stream_on() for _ in range(N_STREAMS)]
        works += [self._keep(n) for n in range(n_gateways) for _ in range(N_KEPT)]
        return [asyncio.create_task(work) for work in works]

    async def _stream_on(self) -> None:
        """Send streams to one gateway until it is gone, then to another."""
        n_gateways = len(self.callers.gateways)
        while True:
            ready = sorted(self.callers.ready) or range(n_gateways)
            number = self.rng.choice(ready)
            async with one_connection() as client:
                is_there = True
                while is_there:
                    seen = await self.callers.call(
                        client, number, kind="patient", deadline_s=PATIENT_S
                    )
                    is_there = seen.whole_s > 0
                    await asyncio.sleep(PAUSE_S * self.rng.random())

    async def _keep(self, number: int) -> None:
        """Send now and then on one connection to a gateway, ready or not."""
        async with one_connection() as client:
            await asyncio.sleep(OPEN_S * self.rng.random())
            while True:
                await self.callers.call(
                    client, number, kind=KEPT_KIND, deadline_s=PATIENT_S
                )
                await asyncio.sleep(self.rng.uniform(*IDLE_S))
