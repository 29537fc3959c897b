"""Demo on the stand-in platform: one of two gateways is killed, the other stopped."""

import asyncio
import signal
import tempfile
from pathlib import Path
from typing import Final

import aiohttp
from rich.console import Console

from .gateway_process import DRAFT, GatewayProcess, event_numbers, gateways, headers
from .site import N_EVENTS, Site, small_site

N_REQUESTS: Final = 40
"""Requests in each round; enough for stages of several requests to share calls."""

POLL_S: Final = 0.05
OK_STATUS: Final = 200


async def demo_platform() -> int:
    """Run the demo; return 0 if every answer was complete and the stop succeeded."""
    console = Console(highlight=False)
    with tempfile.TemporaryDirectory() as folder:
        async with (
            small_site() as site,
            gateways(site, Path(folder), "a", "a") as (first, second),
            aiohttp.ClientSession() as client,
        ):
            await _wait_for_workers(site, (first, second))
            console.print(f"2 gateways and {len(site.workers)} workers are ready")
            n_faulty = await _run_round(console, site, client, first, "calm")
            second.signal(signal.SIGKILL)
            await second.wait_exit()
            n_faulty += await _run_round(console, site, client, first, "one killed")
            second.start()
            await second.wait_ready(client)
            await _wait_for_workers(site, (second,))
            first.signal(signal.SIGTERM)
            n_faulty += await _run_round(console, site, client, second, "one stops")
            code = await first.wait_exit()
            console.print(f"the stopped gateway exited with code {code}")
    return 1 if n_faulty or code else 0


async def _run_round(
    console: Console,
    site: Site,
    client: aiohttp.ClientSession,
    gateway: GatewayProcess,
    name: str,
) -> int:
    """Send a round of streams; return how many were incomplete."""
    stages = [site.workers[worker_id] for worker_id in ("encode1", "retrieve1")]
    n_before = sum(worker.n_calls for worker in stages)
    are_complete = await asyncio.gather(
        *(_stream(client, gateway, f"{name}-{index}") for index in range(N_REQUESTS))
    )
    n_calls = sum(worker.n_calls for worker in stages) - n_before
    console.print(
        f"{name}: {sum(are_complete)} of {N_REQUESTS} streams complete; their "
        f"{2 * N_REQUESTS} stages took {n_calls} calls"
    )
    return N_REQUESTS - sum(are_complete)


async def _stream(
    client: aiohttp.ClientSession, gateway: GatewayProcess, request_id: str
) -> bool:
    """Return True if the stream is complete; a refused one is sent once more."""
    for attempt in ("", "-again"):
        sent = headers(request_id + attempt) | DRAFT
        async with client.post(f"{gateway.url}/draft/1", headers=sent) as answer:
            body = await answer.read()
            if answer.status == OK_STATUS:
                return event_numbers(body) == list(range(1, N_EVENTS + 1))
            await asyncio.sleep(float(answer.headers.get("Retry-After", "0")))
    return False


async def _wait_for_workers(site: Site, started: tuple[GatewayProcess, ...]) -> None:
    """Wait until each gateway has listed all workers in its log."""
    for gateway in started:
        while not _has_seen(gateway, site):  # noqa: ASYNC110 - only its log shows it
            await asyncio.sleep(POLL_S)


def _has_seen(gateway: GatewayProcess, site: Site) -> bool:
    """Return True if the log of a gateway names all workers."""
    log = gateway.log()
    return all(worker_id in log for worker_id in site.workers)
