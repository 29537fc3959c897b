"""What the end of a worker costs gateways, and how soon all of them know."""

import asyncio
import time

from trefoilpaddle.state.chain.worker_runs import RunOutcome

from .crash_fleet import crash_fleet


async def _cost(n_gateways: int, n_requests: int) -> tuple[float, float, float]:
    """Return bytes and messages that a gateway sends, and when the last one knows."""
    async with crash_fleet(n_gateways) as fleet:
        began_s = time.monotonic()
        await asyncio.gather(
            *(
                fleet.run_at(n % n_gateways, "w0", f"{n:032x}", RunOutcome.BROKEN)
                for n in range(n_requests)
            )
        )
        while any(len(gateway.book) < n_requests for gateway in fleet.every):  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        known_s = time.monotonic() - began_s
        await asyncio.sleep(1.0)
        return fleet.n_bytes / n_gateways, fleet.n_messages / n_gateways, known_s


def print_crash_costs(
    gateways: tuple[int, ...] = (6, 23, 68, 400), requests: int = 64
) -> None:
    """Print what the end of one worker with so many requests costs by gateways."""
    print("gateways  requests  B a gateway  messages a gateway  all know, s")
    for n_gateways in gateways:
        n_bytes, n_messages, known_s = asyncio.run(_cost(n_gateways, requests))
        print(
            f"{n_gateways:8} {requests:9} {n_bytes:12.0f} {n_messages:19.1f}"
            f" {known_s:12.2f}",
            flush=True,
        )
