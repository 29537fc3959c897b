"""Cost of a worker crash for gateways, and the time until all of them know of it."""

import asyncio
import time

from trefoilpaddle.state.chain.fingerprint import part_fingerprint
from trefoilpaddle.state.chain.worker_runs import RunOutcome

from .crash_fleet import crash_fleet


async def _cost(
    n_gateways: int, n_requests: int, n_parts: int
) -> tuple[float, float, float]:
    """Return mean bytes and messages sent per gateway, and seconds until all know."""
    n_subjects = n_requests * (1 + n_parts)
    async with crash_fleet(n_gateways) as fleet:
        began_s = time.monotonic()
        await asyncio.gather(
            *(
                fleet.run_at(
                    n % n_gateways,
                    "w0",
                    f"{n:032x}",
                    RunOutcome.BROKEN,
                    tuple(part_fingerprint(f"{n} {part}") for part in range(n_parts)),
                )
                for n in range(n_requests)
            )
        )
        while any(len(gateway.book) < n_subjects for gateway in fleet.every):  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        known_s = time.monotonic() - began_s
        await asyncio.sleep(1.0)
        return fleet.n_bytes / n_gateways, fleet.n_messages / n_gateways, known_s


def print_crash_costs(
    gateways: tuple[int, ...] = (6, 23, 68, 400), requests: int = 64, parts: int = 2
) -> None:
    """Print the cost of the crash of one worker, by the number of gateways.

    The prompts of its requests have `parts` shared parts each, none of them in two.
    """
    print("gateways  requests  parts  B a gateway  messages a gateway  all know, s")
    for n_gateways in gateways:
        n_bytes, n_messages, known_s = asyncio.run(_cost(n_gateways, requests, parts))
        print(
            f"{n_gateways:8} {requests:9} {parts:6} {n_bytes:12.0f} {n_messages:19.1f}"
            f" {known_s:12.2f}",
            flush=True,
        )
