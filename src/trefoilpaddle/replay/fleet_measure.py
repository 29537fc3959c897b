"""Measures the cost of the control plane by index of peers.

    python -m trefoilpaddle.replay.fleet_measure --sizes 10,20,40,80

For each size it starts a fleet on loopback, with several peers in each operating
system process, leaves it idle, then publishes changes one by one. Costs are per
peer. Change times run from the publication until the change is active at a peer.
"""

import asyncio
import statistics
import sys
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any, Final

import fire
import orjson
from result import Err, Ok, Result
from rich.console import Console
from rich.table import Table

from .fleet_run import ACCOUNT, Fleet, WorkerProcess, running_fleet

CHANGE_GAP_S: Final = 0.3
SETTLE_S: Final = 8.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RoleCost:
    """Cost of one peer of a role while there is only control traffic."""

    role: str
    n_peers: int
    cpu_ms_per_s: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    n_frames_per_s: float
    n_links: float
    memory_mb_per_worker: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SizeFigures:
    """Figures of a fleet with one index of peers.

    Parameters
    ----------
    n_woke_late, n_suspected : int
        Stalls that peers detected in themselves and in each other. Above 0, the
        machine was too busy, and the change times do not describe the fleet.
    """

    n_peers: int
    n_keys: int
    costs: list[RoleCost]
    n_reads_per_s: float
    n_host_reads_per_s: float
    change_median_s: float
    change_worst_s: float
    start_s: float
    n_woke_late: int
    n_suspected: int


async def measure_size(
    n_peers: int, *, per_worker: int, n_keys: int, idle_s: float, n_changes: int
) -> SizeFigures:
    """Return the figures of a fleet of `n_peers` peers."""
    async with running_fleet(n_peers, per_worker=per_worker, n_keys=n_keys) as fleet:
        await asyncio.sleep(SETTLE_S)
        before = await fleet.send_all({"do": "figures"})
        await asyncio.sleep(idle_s)
        after = await fleet.send_all({"do": "figures"})
        times_s: list[float] = []
        for index in range(n_changes):
            times_s += await _measure_change(fleet, index)
            await asyncio.sleep(CHANGE_GAP_S)
        last = await fleet.send_all({"do": "figures"})
    span_s = float(after[0]["monotonic_s"] - before[0]["monotonic_s"])

    def rate(name: str) -> float:
        totals = [
            sum(float(one[name]) for one in figures) for figures in (before, after)
        ]
        return (totals[1] - totals[0]) / span_s

    return SizeFigures(
        n_peers=n_peers,
        n_keys=n_keys,
        costs=[
            _cost(role, fleet.workers, before, after) for role in ("gateway", "sidecar")
        ],
        n_reads_per_s=rate("n_reads"),
        n_host_reads_per_s=rate("n_host_reads"),
        change_median_s=statistics.median(times_s),
        change_worst_s=max(times_s),
        start_s=fleet.start_s,
        n_woke_late=sum(one["n_woke_late"] for one in last),
        n_suspected=sum(one["n_suspected"] for one in last),
    )


async def _measure_change(fleet: Fleet, index: int) -> list[float]:
    """Publish one change and return the seconds until it is active at each peer."""
    value = ACCOUNT | {"token_sha256": f"{index + 1:064x}"}
    waiting = asyncio.gather(
        fleet.send_all(
            {"do": "wait", "revision": fleet.platform.config.revisions.latest + 1}
        )
    )
    await asyncio.sleep(CHANGE_GAP_S)
    published_s = time.monotonic()
    fleet.platform.config.publish("account/a0", value)
    (answers,) = await waiting
    return [at_s - published_s for answer in answers for at_s in answer["at_s"]]


def _cost(
    role: str,
    workers: Sequence[WorkerProcess],
    before: Sequence[dict[str, Any]],
    after: Sequence[dict[str, Any]],
) -> RoleCost:
    chosen = [at for at, worker in enumerate(workers) if worker.role == role]
    n_peers = sum(workers[at].n_peers for at in chosen)

    def rate(name: str) -> float:
        total = sum(
            (after[at][name] - before[at][name])
            / (after[at]["monotonic_s"] - before[at]["monotonic_s"])
            for at in chosen
        )
        return float(total) / n_peers

    return RoleCost(
        role=role,
        n_peers=n_peers,
        cpu_ms_per_s=rate("cpu_s") * 1000,
        sent_bytes_per_s=rate("sent_bytes"),
        received_bytes_per_s=rate("received_bytes"),
        n_frames_per_s=rate("n_frames_sent") + rate("n_frames_received"),
        n_links=sum(after[at]["n_links"] for at in chosen) / n_peers,
        memory_mb_per_worker=max(after[at]["memory_bytes"] for at in chosen) / 2**20,
    )


def table_of(figures: Sequence[SizeFigures]) -> Table:
    """Return the figures as a table to print."""
    table = Table(title="Control, per peer, while idle; changes over the whole fleet")
    for name in (
        "peers",
        "role",
        "CPU ms/s",
        "sent B/s",
        "received B/s",
        "frames/s",
        "links dialled",
        "config reads/s (all)",
        "host list reads/s (all)",
        "change median s",
        "change worst s",
        "all started s",
        "stalls",
    ):
        table.add_column(name, justify="right")
    for size in figures:
        for cost in size.costs:
            table.add_row(
                str(size.n_peers),
                cost.role,
                f"{cost.cpu_ms_per_s:.2f}",
                f"{cost.sent_bytes_per_s:.0f}",
                f"{cost.received_bytes_per_s:.0f}",
                f"{cost.n_frames_per_s:.1f}",
                f"{cost.n_links:.1f}",
                f"{size.n_reads_per_s:.1f}",
                f"{size.n_host_reads_per_s:.1f}",
                f"{size.change_median_s:.3f}",
                f"{size.change_worst_s:.3f}",
                f"{size.start_s:.1f}",
                str(size.n_woke_late),
            )
    return table


def numbers_of(sizes: str | int | Sequence[int]) -> list[int]:
    """Return the numbers in an argument, which fire passes as one of three types."""
    match sizes:
        case int():
            return [sizes]
        case str():
            return [int(size) for size in sizes.split(",")]
        case _:
            return [int(size) for size in sizes]


def check(sizes: Sequence[int], per_worker: int) -> Result[None, str]:
    """Return an error message if the arguments are invalid."""
    if not sizes or min(sizes) < 2:
        return Err("--sizes takes numbers of peers of 2 or more, such as 10,20,40")
    if per_worker < 1:
        return Err("--per-worker must be 1 or more")
    return Ok(None)


def measure(
    sizes: str | int | Sequence[int] = (10, 20, 40, 80),
    *,
    per_worker: int = 10,
    n_keys: int = 400,
    idle_s: float = 15.0,
    n_changes: int = 10,
    json: bool = False,
) -> None:
    """Print the cost of the control plane at each of `sizes` peers.

    Parameters
    ----------
    sizes : comma-separated int
        Numbers of peers, gateways and sidecars together.
    per_worker : int
        Peers in one operating system process.
    n_keys : int
        Keys of the catalogue.
    idle_s : float
        Time for which the idle fleet is measured, in seconds.
    n_changes : int
        Changes published one by one.
    json : bool
        Print JSON lines in place of a table.
    """
    wanted = numbers_of(sizes)
    match check(wanted, per_worker):
        case Err(problem):
            sys.exit(problem)
    found: list[SizeFigures] = []
    for size in wanted:
        found.append(
            asyncio.run(
                measure_size(
                    size,
                    per_worker=per_worker,
                    n_keys=n_keys,
                    idle_s=idle_s,
                    n_changes=n_changes,
                )
            )
        )
        print(f"{size} peers measured", file=sys.stderr)
    if json:
        for one in found:
            print(orjson.dumps(asdict(one)).decode())
        return
    Console(width=200).print(table_of(found))


def main() -> None:
    """Measure with the arguments of the command line."""
    fire.Fire(measure)


if __name__ == "__main__":
    main()
