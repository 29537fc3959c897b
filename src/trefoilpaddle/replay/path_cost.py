"""Cost of the request path: calls through gateway and sidecar against direct calls.

Run it with ``python -m trefoilpaddle.replay.path_cost``.
"""

import asyncio
import os
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

import aiohttp
import fire
import psutil
from hdrh.histogram import HdrHistogram

from trefoilpaddle.standins.description import (
    Description,
    PublishedValues,
    ServiceDescription,
)
from trefoilpaddle.standins.launcher import deployment
from trefoilpaddle.standins.running import Running
from trefoilpaddle.standins.written_settings import Overrides
from trefoilpaddle.state.catalogue import ServiceKind

MAX_US: Final = 60_000_000
DIGITS: Final = 3
MICROSECONDS: Final = 1_000_000
MEGABYTE: Final = 1024 * 1024
N_WARM: Final = 500
N_SAMPLES: Final = 10
GOAL_ADDED_MS: Final = 2.0
GOAL_PER_CORE: Final = 1000.0
GOAL_GROWTH_MB: Final = 16.0
BODY: Final = {"text": "two words of input " * 8}
ACCOUNT: Final = "club"

DESCRIPTION: Final = Description(
    name="path-cost",
    failure_domains=("fd-1",),
    n_gateways=1,
    services=(
        ServiceDescription(
            name="echo",
            kind=ServiceKind.POOL,
            n_targets=1,
            stand_in={"n_slots": 256, "base_s": 0.0, "s_per_kb": 0.0},
        ),
    ),
)
CATALOGUE: Final[PublishedValues] = {
    f"account/{ACCOUNT}": {"token_sha256": "0" * 64},
    "service/echo": {"kind": "pool", "n_slots": 256},
    "pipeline/echo": {"stages": [{"name": "echo", "service": "echo", "path": "/run"}]},
    "entry/echo": {
        "owner": "club",
        "class_of_work": "calls",
        "pipelines": ["echo"],
        "accounts": [ACCOUNT],
        "deadline_s": 10.0,
    },
}
"""One stage without service time, so that only the path is measured."""


class CallError(Exception):
    """A measured call was not answered in full."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Latency:
    """Quantiles of the time of a call, in milliseconds."""

    p50_ms: float
    p99_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Resources that the two processes of the path have used at one time.

    Parameters
    ----------
    gateway_s, sidecar_s : float
        Processor seconds since their start.
    gateway_bytes, sidecar_bytes : int
        Resident memory in bytes.
    """

    gateway_s: float
    sidecar_s: float
    gateway_bytes: int
    sidecar_bytes: int


Call = Callable[[], Awaitable[None]]


class Path:
    """The measured deployment, with direct calls and calls through the path.

    Parameters
    ----------
    running : Running
        One gateway, one sidecar, one target.
    session : aiohttp.ClientSession
        Sends the calls.
    """

    __slots__ = ("_direct_url", "_gateway", "_session", "_sidecar", "_url")

    def __init__(self, *, running: Running, session: aiohttp.ClientSession) -> None:
        (target,) = running.targets_of("echo")
        (gateway,) = running.layout.gateways
        self._session = session
        self._direct_url = f"{running.target_url(target)}/run"
        self._url = f"{running.gateways[0]}/v1/pipelines/echo"
        self._gateway = psutil.Process(running.children[gateway.process_id].pid)
        sidecar = running.sidecar_of(target)
        self._sidecar = psutil.Process(running.children[sidecar].pid)

    async def call_directly(self) -> None:
        """Call the target directly, in the way of its sidecar."""
        headers = {"X-Request-Id": "direct", "X-Attempt-Id": "0" * 32}
        body = {"input": BODY, "previous": None}
        await self._post(self._direct_url, body, headers)

    async def call(self) -> None:
        """Call the pipeline through the gateway, in the way of a client account."""
        await self._post(self._url, BODY, {"X-Client-Account": ACCOUNT})

    async def _post(self, url: str, body: object, headers: dict[str, str]) -> None:
        async with self._session.post(url, json=body, headers=headers) as answer:
            content = await answer.read()
            if answer.status != 200:
                raise CallError(f"{url} answered {answer.status}: {content[:200]!r}")

    def usage(self) -> Usage:
        """Return the resources that gateway and sidecar have used so far."""
        return Usage(
            gateway_s=_processor_s(self._gateway),
            sidecar_s=_processor_s(self._sidecar),
            gateway_bytes=self._gateway.memory_info().rss,
            sidecar_bytes=self._sidecar.memory_info().rss,
        )


def _processor_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


async def _repeat(call: Call, *, n_calls: int, n_callers: int) -> Latency:
    histogram = HdrHistogram(1, MAX_US, DIGITS)
    remaining_calls = iter(range(n_calls))

    async def caller() -> None:
        for _ in remaining_calls:
            began_s = time.perf_counter()
            await call()
            took_s = time.perf_counter() - began_s
            histogram.record_value(int(MICROSECONDS * took_s))

    await asyncio.gather(*(caller() for _ in range(n_callers)))
    return Latency(
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
    )


async def _latency(path: Path, *, n_calls: int) -> tuple[Latency, Latency]:
    """Return direct and path latency, measured one after the other while idle."""
    await _repeat(path.call_directly, n_calls=N_WARM, n_callers=1)
    await _repeat(path.call, n_calls=N_WARM, n_callers=1)
    direct = await _repeat(path.call_directly, n_calls=n_calls, n_callers=1)
    through_path = await _repeat(path.call, n_calls=n_calls, n_callers=1)
    return direct, through_path


async def _load(path: Path, *, n_calls: int, n_callers: int) -> list[Usage]:
    """Return usage before the load and after each of its `N_SAMPLES` parts."""
    usages = [path.usage()]
    for part in range(N_SAMPLES):
        await _repeat(path.call, n_calls=n_calls // N_SAMPLES, n_callers=n_callers)
        usages.append(path.usage())
        _print_progress(part + 1, usages[-1])
    return usages


def _print_progress(part: int, usage: Usage) -> None:
    gateway_mb = usage.gateway_bytes / MEGABYTE
    sidecar_mb = usage.sidecar_bytes / MEGABYTE
    print(
        f"{part}/{N_SAMPLES} of the load: "
        f"gateway {gateway_mb:.1f} MB, sidecar {sidecar_mb:.1f} MB",
        file=sys.stderr,
    )


def _growth_mb(usages: list[Usage]) -> tuple[float, float]:
    """Return the memory growth of both processes in the second half of the load.

    The first half fills what is retained by design: records for ``explain``,
    outcomes and estimates.
    """
    half, end = usages[len(usages) // 2], usages[-1]
    gateway = (end.gateway_bytes - half.gateway_bytes) / MEGABYTE
    sidecar = (end.sidecar_bytes - half.sidecar_bytes) / MEGABYTE
    return gateway, sidecar


def _print_latency(direct: Latency, through_path: Latency) -> None:
    added_ms = through_path.p50_ms - direct.p50_ms
    print(f"direct   p50 {direct.p50_ms:7.3f} ms  p99 {direct.p99_ms:7.3f} ms")
    print(
        f"path     p50 {through_path.p50_ms:7.3f} ms  p99 {through_path.p99_ms:7.3f} ms"
    )
    print(f"added    p50 {added_ms:7.3f} ms  goal {GOAL_ADDED_MS:g} ms")


def _print_load(usages: list[Usage], *, n_calls: int, took_s: float) -> None:
    first, last = usages[0], usages[-1]
    gateway_s = last.gateway_s - first.gateway_s
    sidecar_s = last.sidecar_s - first.sidecar_s
    print(f"load     {n_calls / took_s:7.0f} calls/s by one client")
    print(f"gateway  {MICROSECONDS * gateway_s / n_calls:7.0f} us of a core a call")
    print(f"sidecar  {MICROSECONDS * sidecar_s / n_calls:7.0f} us of a core a call")
    per_core = n_calls / (gateway_s + sidecar_s)
    print(f"path     {per_core:7.0f} calls/s per core  goal {GOAL_PER_CORE:g}")
    print(f"gateway  {n_calls / gateway_s:7.0f} calls/s per core of its own")
    print(f"sidecar  {n_calls / sidecar_s:7.0f} calls/s per core of its own")
    for name, first_bytes, last_bytes in (
        ("gateway", first.gateway_bytes, last.gateway_bytes),
        ("sidecar", first.sidecar_bytes, last.sidecar_bytes),
    ):
        before_mb, after_mb = first_bytes / MEGABYTE, last_bytes / MEGABYTE
        print(f"{name}  {before_mb:7.1f} MB before  {after_mb:7.1f} MB after the load")
    gateway_mb, sidecar_mb = _growth_mb(usages)
    print(f"growth over the load's second half: gateway {gateway_mb:.1f} MB,", end=" ")
    print(f"sidecar {sidecar_mb:.1f} MB  goal under {GOAL_GROWTH_MB:g} MB")


def _print_machine() -> None:
    """Print the load of the machine; other load increases all measured times."""
    load, _, _ = os.getloadavg()
    print(f"machine  {load:7.1f} processes wanted one of {os.cpu_count()} cores")


async def measure(
    *, n_latency_calls: int, n_calls: int, n_callers: int, verbosity: str
) -> None:
    """Measure the path and print the figures.

    Raises
    ------
    CallError
        If a call is not answered in full.
    """
    overrides = Overrides(log={"verbosity": verbosity})
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        deployment(DESCRIPTION, CATALOGUE, overrides=overrides) as running,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        path = Path(running=running, session=session)
        direct, through_path = await _latency(path, n_calls=n_latency_calls)
        _print_latency(direct, through_path)
        began_s = time.perf_counter()
        usages = await _load(path, n_calls=n_calls, n_callers=n_callers)
        _print_load(usages, n_calls=n_calls, took_s=time.perf_counter() - began_s)


def main(
    n_latency_calls: int = 3000,
    n_calls: int = 20_000,
    n_callers: int = 32,
    verbosity: str = "info",
) -> None:
    """Measure the cost of the request path on this machine.

    Parameters
    ----------
    n_latency_calls : int
        Sequential calls, direct and through the path, for the latency.
    n_calls, n_callers : int
        Calls of the load, and the number of concurrent callers.
    verbosity : str
        Log verbosity of the processes; ``info``, the default, logs each decision.
    """
    asyncio.run(
        measure(
            n_latency_calls=n_latency_calls,
            n_calls=n_calls,
            n_callers=n_callers,
            verbosity=verbosity,
        )
    )
    _print_machine()


if __name__ == "__main__":
    fire.Fire(main, name="path_cost")
