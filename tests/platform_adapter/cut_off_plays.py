"""Gateway processes are cut off while engines of a new software version join.

``python -m tests.platform_adapter.cut_off_plays`` prints how many streams begin and how
many tries to resume go on, at the gateways that are cut off and at the others, and how
many streams hold events of two versions.
"""

import asyncio
import contextlib
import logging
import random
import signal
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from enum import Enum, unique
from pathlib import Path
from typing import Final

import fire

from trefoilpaddle.standins.platform.gateway_process import GatewayProcess

from .cut_network import LAUNCHER, RELAY_VARIABLE, STORE, Cut, CutNetwork
from .test_stream_versions import Stream, VersionHarness, version_harness

EVENT_S: Final = 0.1
N_TRIES: Final = 4
JOINS_AFTER_S: Final = 0.4
"""Time from the cut until the new version joins."""

FLAP_CUT_S: Final = 0.5
FLAP_PERIOD_S: Final = 2.0
NEW_VERSION: Final = "v2"
PAUSE_S: Final = (0.0, 0.5)
"""Shortest and longest pause of a caller before it resumes its stream."""


@unique
class Kind(Enum):
    """Which bytes of the gateways that are cut off are held back."""

    BOTH = "both"
    """Those from and to the other gateways and the store."""
    GATEWAYS = "gateways"
    STORE = "store"
    NOTHING_IN = "nothing-in"
    NOTHING_OUT = "nothing-out"
    FLAPPING = "flapping"
    """Both, for half a second of every two."""
    PAUSED = "paused"
    """None; the processes stand still."""


class CutOffPlay:
    """Streams that are left and resumed at random gateways, some of them cut off.

    Parameters
    ----------
    harness : VersionHarness
        Gateways and engines.
    network : CutNetwork
        The ways between the gateways.
    cut_off : list of GatewayProcess
        Those that are cut off from all others.
    seed : int
        Seed of the callers' choices.

    Attributes
    ----------
    counts : Counter of str
        Streams and tries by what became of them.
    """

    def __init__(
        self,
        *,
        harness: VersionHarness,
        network: CutNetwork,
        cut_off: list[GatewayProcess],
        seed: int,
    ) -> None:
        self._harness = harness
        self._network = network
        self._cut_off = cut_off
        self._rng = random.Random(seed)
        self._began_s = time.monotonic()
        self._is_cut = False
        self.counts: Counter[str] = Counter()

    async def run(
        self,
        *,
        kind: Kind,
        before_s: float,
        cut_s: float,
        after_s: float,
        rate_per_s: float,
        is_killed: bool,
        are_replaced: bool,
    ) -> None:
        """Begin streams until some time after the cut."""
        async with asyncio.TaskGroup() as group:
            change = group.create_task(
                self._change(kind, before_s, cut_s, is_killed, are_replaced)
            )
            while not change.done():
                group.create_task(self._read())
                await asyncio.sleep(self._rng.expovariate(rate_per_s))
            ends_s = time.monotonic() + after_s
            while time.monotonic() < ends_s:
                group.create_task(self._read())
                await asyncio.sleep(self._rng.expovariate(rate_per_s))

    async def _change(
        self,
        kind: Kind,
        before_s: float,
        cut_s: float,
        is_killed: bool,
        are_replaced: bool,
    ) -> None:
        """Cut the gateways off, and let the new version join."""
        await asyncio.sleep(before_s)
        async with self._cutting(kind):
            self._is_cut = True
            self._began_s = time.monotonic()
            await asyncio.sleep(JOINS_AFTER_S)
            site = self._harness.site
            former = list(self._harness.engines)
            for number, _ in enumerate(former):
                await site.add_worker(
                    f"model-new{number}",
                    "model",
                    n_events=site.workers[former[0]].n_events,
                    work_s=EVENT_S,
                    software_version=NEW_VERSION,
                )
            for worker_id in former[1:] if are_replaced else ():
                site.store.remove(f"servers/{worker_id}")
            await asyncio.sleep(cut_s - JOINS_AFTER_S)
            if is_killed:
                for gateway in self._cut_off:
                    gateway.kill()
        self._is_cut = False
        if is_killed:
            for gateway in self._cut_off:
                gateway.start()

    @contextlib.asynccontextmanager
    async def _cutting(self, kind: Kind) -> AsyncIterator[None]:
        inside = frozenset(gateway.host for gateway in self._cut_off)
        outside = frozenset(
            gateway.host
            for gateway in self._harness.all_gateways
            if gateway not in self._cut_off
        )
        far = {
            Kind.GATEWAYS: outside,
            Kind.STORE: frozenset({STORE}),
        }.get(kind, outside | {STORE})
        into = Cut(sources=far, destinations=inside)
        out = Cut(sources=inside, destinations=far)
        match kind:
            case Kind.PAUSED:
                for gateway in self._cut_off:
                    gateway.signal(signal.SIGSTOP)
                yield
                for gateway in self._cut_off:
                    gateway.signal(signal.SIGCONT)
                return
            case Kind.FLAPPING:
                flapping = asyncio.create_task(self._flap(into, out))
                yield
                flapping.cancel()
            case Kind.NOTHING_IN:
                await self._network.set_cuts(into)
                yield
            case Kind.NOTHING_OUT:
                await self._network.set_cuts(out)
                yield
            case _:
                await self._network.set_cuts(into, out)
                yield
        await self._network.set_cuts()

    async def _flap(self, *cuts: Cut) -> None:
        while True:
            await self._network.set_cuts(*cuts)
            await asyncio.sleep(FLAP_CUT_S)
            await self._network.set_cuts()
            await asyncio.sleep(FLAP_PERIOD_S - FLAP_CUT_S)

    async def _read(self) -> None:
        """Begin a stream, leave it, and resume it at random gateways to its end."""
        gateways = self._harness.all_gateways
        n_events = self._harness.site.workers[self._harness.engines[0]].n_events
        at = self._rng.choice(gateways)
        limit = self._rng.randint(1, max(1, n_events - 1))
        begun = await self._harness.read(at, limit=limit)
        self._count("new", at, begun.n_events > 0)
        if not begun.is_broken:
            return
        broken, ids = begun, [begun.request_id]
        for _ in range(N_TRIES):
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            at = self._rng.choice(gateways)
            rest = await self._resume(begun, broken, at)
            ids.append(rest.request_id)
            broken = rest if rest.n_events > broken.n_events else broken
            if broken.is_complete:
                break
        self.counts["broken streams"] += 1
        self.counts["complete"] += broken.is_complete
        if len(self._harness.versions_of(*ids)) > 1:
            self.counts["of two versions"] += 1
            since_s = time.monotonic() - self._began_s
            self.counts[f"of two versions, {since_s:.0f} s after the cut"] += 1

    async def _resume(
        self, begun: Stream, broken: Stream, at: GatewayProcess
    ) -> Stream:
        rest = await self._harness.read(at, goes_on=broken, resumes=begun.request_id)
        self._count("tries", at, rest.n_events > broken.n_events)
        return rest

    def _count(self, what: str, at: GatewayProcess, goes_on: bool) -> None:
        if not self._is_cut:
            where = "before or after"
        elif at in self._cut_off:
            where = "at those cut off"
        else:
            where = "at the others"
        self.counts[f"{what} {where}"] += 1
        self.counts[f"{what} {where} that go on"] += goes_on


@contextlib.asynccontextmanager
async def cut_harness(
    *, n_gateways: int = 6, timeout_s: float = 10.0, folder: str = ""
) -> AsyncIterator[tuple[VersionHarness, CutNetwork]]:
    """Serve gateways whose ways can be cut, beside four engines of one version."""
    network = CutNetwork()
    async with contextlib.AsyncExitStack() as stack:

        async def prepare(all_gateways: list[GatewayProcess]) -> None:
            network.names = {each.peers_address: each.host for each in all_gateways}
            for gateway in all_gateways:
                relay = await stack.enter_async_context(network.relay(gateway.host))
                gateway.program = str(LAUNCHER)
                gateway.variables[RELAY_VARIABLE] = relay
                gateway.store = await stack.enter_async_context(
                    network.store_relay(gateway.host, gateway.store)
                )

        path = folder or stack.enter_context(tempfile.TemporaryDirectory())
        harness = await stack.enter_async_context(
            version_harness(
                Path(path),
                n_gateways=n_gateways,
                n_engines=4,
                n_events=20,
                event_s=EVENT_S,
                domains="abc",
                timeout_s=timeout_s,
                n_versions=1,
                prepare=prepare,
            )
        )
        yield harness, network


async def play(
    *,
    kind: Kind = Kind.BOTH,
    n_gateways: int = 6,
    n_cut_off: int = 1,
    before_s: float = 21.0,
    cut_s: float = 26.0,
    after_s: float = 3.0,
    timeout_s: float = 10.0,
    rate_per_s: float = 15.0,
    is_killed: bool = False,
    are_replaced: bool = False,
    seed: int = 1,
    folder: str = "",
) -> Counter[str]:
    """Play one cut and return what became of the streams."""
    async with cut_harness(
        n_gateways=n_gateways, timeout_s=timeout_s, folder=folder
    ) as (harness, network):
        cut_off_play = CutOffPlay(
            harness=harness,
            network=network,
            cut_off=harness.all_gateways[n_gateways - n_cut_off :],
            seed=seed,
        )
        await cut_off_play.run(
            kind=kind,
            before_s=before_s,
            cut_s=cut_s,
            after_s=after_s,
            rate_per_s=rate_per_s,
            is_killed=is_killed,
            are_replaced=are_replaced,
        )
        return cut_off_play.counts


def print_play(
    *,
    kind: str = "both",
    n_gateways: int = 6,
    n_cut_off: int = 1,
    before_s: float = 21.0,
    cut_s: float = 26.0,
    timeout_s: float = 10.0,
    rate_per_s: float = 15.0,
    is_killed: bool = False,
    are_replaced: bool = False,
    seed: int = 1,
    folder: str = "",
) -> None:
    """Play one cut and print what became of the streams.

    Parameters
    ----------
    kind : str
        What is cut; a value of `Kind`.
    n_gateways, n_cut_off : int
        Number of gateways, and of those that are cut off together.
    before_s, cut_s : float
        Seconds before the cut, and of it.
    timeout_s : float
        Timeout of the route in seconds.
    rate_per_s : float
        New streams per second.
    is_killed : bool
        Whether those cut off are killed as the cut ends, and started again.
    are_replaced : bool
        Whether three of four former engines leave as the new version joins.
    seed : int
        Seed of the callers' choices.
    folder : str
        Existing folder for the gateways' logs, which are kept; empty to drop them.
    """
    logging.disable(logging.ERROR)
    counts = asyncio.run(
        play(
            kind=Kind(kind),
            n_gateways=n_gateways,
            n_cut_off=n_cut_off,
            before_s=before_s,
            cut_s=cut_s,
            timeout_s=timeout_s,
            rate_per_s=rate_per_s,
            is_killed=is_killed,
            are_replaced=are_replaced,
            seed=seed,
            folder=folder,
        )
    )
    for name in sorted(counts):
        print(f"{name}: {counts[name]}")


if __name__ == "__main__":
    fire.Fire(print_play)
