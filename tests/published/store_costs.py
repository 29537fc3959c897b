"""Measures the cost of a configuration change and the time until it is active."""

import asyncio
import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import pytest

from ..chain.virtual_time import run_virtual
from .store_network import Network, table_bytes

N_CHANGES: Final = 20
CHANGE_INTERVAL_S: Final = 7.07
"""Time between changes; not a multiple of the read interval, so that phases differ."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """A group of gateways and the size of its configuration."""

    n_gateways: int
    n_workers: int
    n_routes: int
    n_accounts: int


SIZES: Final = (
    Size(n_gateways=22, n_workers=100, n_routes=45, n_accounts=16),
    Size(n_gateways=80, n_workers=910, n_routes=45, n_accounts=3400),
)
"""A larger deployment, and one of five failure domains with 400 gateways."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """Cost of one change; the mean unless the name of a field says otherwise."""

    n_reads: float
    median_s: float
    worst_s: float
    reader_bytes: float
    others_bytes: float


async def _cost(size: Size, *, n_disconnected: int) -> Cost:
    network = Network(
        size.n_gateways,
        n_workers=size.n_workers,
        n_routes=size.n_routes,
        n_accounts=size.n_accounts,
    )
    await network.start()
    for gateway in network.gateways[size.n_gateways - n_disconnected :]:
        gateway.is_disconnected = True
    times_s: list[float] = []
    with network.reads() as reads:
        sent_bytes = await _sent(network, times_s, n_changes=N_CHANGES)
    with network.reads() as usual_reads:
        usual_bytes = await _sent(network, times_s, n_changes=0)
    n_more = reads.total() - usual_reads.total()
    more_bytes = [
        (sent - usual) / N_CHANGES
        for sent, usual in zip(sent_bytes, usual_bytes, strict=True)
    ]
    return Cost(
        n_reads=n_more / N_CHANGES,
        median_s=statistics.median(times_s),
        worst_s=max(times_s),
        reader_bytes=max(more_bytes),
        others_bytes=statistics.median(more_bytes),
    )


async def _sent(
    network: Network, times_s: list[float], *, n_changes: int
) -> Sequence[int]:
    """Return the bytes that each gateway sends, with or without changes."""
    before = [gateway.sent_bytes for gateway in network.gateways]
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    for number in range(n_changes):
        version = 2 + number
        network.store.publish(version)
        times_s += (await network.activation_times_s(version=version)).values()
        await asyncio.sleep(began_s + (number + 1) * CHANGE_INTERVAL_S - loop.time())
    await asyncio.sleep(began_s + N_CHANGES * CHANGE_INTERVAL_S - loop.time())
    after = [gateway.sent_bytes for gateway in network.gateways]
    return [now - then for now, then in zip(after, before, strict=True)]


def print_costs() -> None:
    """Print the cost of a change by size, with and without disconnected gateways."""
    print("gateways  cut off  table B  reads  median s  worst s  reader B  others B")
    for size in SIZES:
        n_bytes = len(
            table_bytes(2, n_routes=size.n_routes, n_accounts=size.n_accounts)
        )
        for n_cut in (0, size.n_gateways // 3):
            with pytest.MonkeyPatch.context() as patch:
                cost = run_virtual(patch, _cost(size, n_disconnected=n_cut))
            print(
                f"{size.n_gateways:8} {n_cut:8} {n_bytes:8} {cost.n_reads:6.1f}"
                f" {cost.median_s:9.2f} {cost.worst_s:8.2f}"
                f" {cost.reader_bytes:9.0f} {cost.others_bytes:9.0f}",
                flush=True,
            )
