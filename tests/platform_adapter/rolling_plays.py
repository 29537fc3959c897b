"""Rolling restarts of gateway processes under streams that callers resume.

``python -m tests.platform_adapter.rolling_plays`` prints how many tries to resume go on
beside how many new streams begin. Every gateway is ordered to stop once, and starts
again after its exit.
"""

import asyncio
import logging
import random
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Final

import fire

from trefoilpaddle.standins.platform.gateway_process import GatewayProcess

from .test_stream_versions import VersionHarness, version_harness

FIRST_ORDER_S: Final = 5.0
"""Time from the first stream to the first order to stop."""

RESTART_S: Final = 0.8
"""Time from the exit of a gateway to its next start."""

RESUME_FOR_S: Final = 18.0
RETRY_GAP_S: Final = (0.25, 1.0)
"""How long, and with which pauses, a caller tries to resume its stream."""

GRACE_S: Final = 8.0
DEADLINE_S: Final = 20.0
EVENT_S: Final = 0.5


class RollingPlay:
    """One rolling restart and the streams of its callers.

    Parameters
    ----------
    harness : VersionHarness
        Gateways and engines.
    seed : int
        Seed of the callers' choices.

    Attributes
    ----------
    counts : Counter of str
        Streams and tries by what became of them.
    """

    def __init__(self, *, harness: VersionHarness, seed: int) -> None:
        self._harness = harness
        self._rng = random.Random(seed)
        self.counts: Counter[str] = Counter()

    async def run(self, *, rate_per_s: float, orders_gap_s: float) -> None:
        """Begin streams until all gateways have been ordered to stop and are back."""
        gateways = self._harness.all_gateways
        ends_s = FIRST_ORDER_S + len(gateways) * orders_gap_s + GRACE_S + 4.0
        began_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._stop_in_turn(orders_gap_s))
            while time.monotonic() - began_s < ends_s:
                group.create_task(self._read())
                await asyncio.sleep(self._rng.expovariate(rate_per_s))

    async def _stop_in_turn(self, orders_gap_s: float) -> None:
        await asyncio.sleep(FIRST_ORDER_S)
        async with asyncio.TaskGroup() as group:
            for gateway in self._harness.all_gateways:
                group.create_task(self._restart(gateway))
                await asyncio.sleep(orders_gap_s)

    async def _restart(self, gateway: GatewayProcess) -> None:
        ordered_s = time.monotonic()
        gateway.signal(signal.SIGTERM)
        code = await gateway.wait_exit()
        self.counts["exits late"] += time.monotonic() - ordered_s > GRACE_S
        self.counts["exits with an error"] += code != 0
        await asyncio.sleep(RESTART_S)
        gateway.start()

    async def _read(self) -> None:
        """Read a stream to its end, resuming it as often as it breaks."""
        begun = await self._harness.read(await self._any_gateway())
        self.counts["new"] += 1
        self.counts["new that begin"] += begun.n_events > 0
        if not begun.is_broken:
            return
        self.counts["interrupted"] += 1
        broken, ids, until_s = begun, [begun.request_id], time.monotonic()
        until_s += RESUME_FOR_S
        while not broken.is_complete and time.monotonic() < until_s:
            rest = await self._harness.read(
                await self._any_gateway(), goes_on=broken, resumes=begun.request_id
            )
            self.counts["tries"] += 1
            self.counts["tries that go on"] += rest.n_events > broken.n_events
            self.counts[f"status {rest.status}"] += 1
            ids.append(rest.request_id)
            broken = rest
            if not rest.is_complete:
                await asyncio.sleep(self._rng.uniform(*RETRY_GAP_S))
        self.counts["completed"] += broken.is_complete
        self.counts["mixed"] += len(self._harness.versions_of(*ids)) > 1

    async def _any_gateway(self) -> GatewayProcess:
        """Return a gateway that counts as ready; one that runs if none does."""
        gateways = self._harness.all_gateways
        for gateway in self._rng.sample(gateways, len(gateways)):
            if await self._harness.is_ready(gateway):
                return gateway
        running = [g for g in gateways if g.run is not None and g.run.poll() is None]
        return self._rng.choice(running or gateways)


async def _play(
    *, n_gateways: int, rate_per_s: float, stream_s: float, orders_gap_s: float
) -> Counter[str]:
    with tempfile.TemporaryDirectory() as folder:
        async with version_harness(
            Path(folder),
            n_gateways=n_gateways,
            n_engines=8,
            n_events=int(stream_s / EVENT_S),
            event_s=EVENT_S,
            domains="abcd",
            timeout_s=DEADLINE_S,
            grace_s=GRACE_S,
        ) as harness:
            play = RollingPlay(harness=harness, seed=1)
            await play.run(rate_per_s=rate_per_s, orders_gap_s=orders_gap_s)
            return play.counts


def print_play(
    *,
    n_gateways: int = 12,
    rate_per_s: float = 8.0,
    stream_s: float = 10.0,
    orders_gap_s: float = 0.25,
) -> None:
    """Play one rolling restart and print what became of the streams.

    Parameters
    ----------
    n_gateways : int
        Number of gateway processes.
    rate_per_s : float
        New streams per second.
    stream_s : float
        Length of a stream in seconds.
    orders_gap_s : float
        Seconds between two orders to stop.
    """
    logging.disable(logging.ERROR)
    counts = asyncio.run(
        _play(
            n_gateways=n_gateways,
            rate_per_s=rate_per_s,
            stream_s=stream_s,
            orders_gap_s=orders_gap_s,
        )
    )
    for name in sorted(counts):
        print(f"{name}: {counts[name]}")


if __name__ == "__main__":
    fire.Fire(print_play)
