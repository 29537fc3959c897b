"""Measure limits: the cost of admission on the path, and the control messages.

Usage: python tools/measure_limits.py [--n_gateways 2] [--n_entries 10] [--seconds 10]
Gateways and homes run in this process. Each request and reply is encoded to count
its bytes, and passed on directly.
"""

import asyncio
import contextlib
import random
import time

import fire
from absl import logging
from result import Ok, Result

from trefoilpaddle.coordination.limits.lease_home import LeaseHome
from trefoilpaddle.coordination.limits.limits import Limiter
from trefoilpaddle.protocol.errors import PeerError
from trefoilpaddle.protocol.frames import Message, encode
from trefoilpaddle.protocol.gen.stage.ttypes import Hello
from trefoilpaddle.state.catalogue import Catalogue, Entry, Limits
from trefoilpaddle.state.hosts import Host, HostList
from trefoilpaddle.state.journal import Journal
from trefoilpaddle.state.published import Published
from trefoilpaddle.state.settings import LogFormat
from trefoilpaddle.transport.connection import Address

BASE_PORT = 20_000
LIMITS = Limits(rate_per_s=200.0, n_concurrent=50, tokens_per_s=50_000.0)
N_TOKENS = 100
SEED = 7


class InProcessClient:
    """Sends requests to homes in this process and counts messages and bytes."""

    def __init__(self) -> None:
        self.homes: dict[str, LeaseHome] = {}
        self.n_messages = 0
        self.n_bytes = 0

    async def ask(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> Result[Message, PeerError]:
        reply = await self.homes[str(address)].answer(message, Hello())
        self.n_messages += 2
        self.n_bytes += len(encode(message, call=1)) + len(encode(reply, call=1))
        return Ok(reply)


def hosts(n_gateways: int, n_sidecars: int) -> HostList:
    gateways = [
        Host(
            name=f"g{i}",
            failure_domain=f"d{i % 4}",
            role="gateway",
            peer_address=f"127.0.0.1:{BASE_PORT - 1 - i}",
        )
        for i in range(n_gateways)
    ]
    sidecars = [
        Host(
            name=f"s{i}",
            failure_domain=f"d{i % 4}",
            role="sidecar",
            peer_address=f"127.0.0.1:{BASE_PORT + i}",
        )
        for i in range(n_sidecars)
    ]
    return HostList(revision=1, hosts=(*gateways, *sidecars))


def catalogue(n_entries: int) -> Catalogue:
    entry = Entry(
        owner="o",
        class_of_work="w",
        pipelines=("p",),
        accounts=("a",),
        limits=LIMITS,
    )
    return Catalogue(revision=1, entries={f"e{i}": entry for i in range(n_entries)})


class LimitsBenchmark:
    def __init__(self, n_gateways: int, n_sidecars: int, n_entries: int) -> None:
        self.client = InProcessClient()
        self.host_list = hosts(n_gateways, n_sidecars)
        self.catalogue = catalogue(n_entries)
        self.limiters: list[Limiter] = []
        self.n_refused = 0
        self._random = random.Random(SEED)
        self.admissions_s: list[float] = []
        for host in self.host_list.hosts:
            self.start(host)

    def start(self, host: Host) -> None:
        published = Published()
        published.set_hosts(self.host_list)
        published.set_catalogue(self.catalogue)
        journal = Journal(
            process_id=host.process_id, n_records=1000, format=LogFormat.KEY_VALUE
        )
        if host.role == "sidecar":
            self.client.homes[host.peer_address] = LeaseHome(
                process_id=host.process_id,
                incarnation=1,
                published=published,
                journal=journal,
            )
            return
        self.limiters.append(
            Limiter(
                gateway=host.process_id,
                incarnation=1,
                published=published,
                asker=self.client,
                journal=journal,
            )
        )

    async def load(self, limiter: Limiter, name: str, rate_per_s: float) -> None:
        entry = self.catalogue.entries[name]
        await asyncio.sleep(self._random.uniform(0.0, 1.0 / rate_per_s))
        while True:
            begin_s = time.perf_counter()
            outcome = await limiter.admit(name, entry, N_TOKENS)
            self.admissions_s.append(time.perf_counter() - begin_s)
            match outcome:
                case Ok(permit):
                    permit.release(n_tokens=N_TOKENS)
                case _:
                    self.n_refused += 1
            await asyncio.sleep(1.0 / rate_per_s)


def quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


async def measure(
    n_gateways: int, n_sidecars: int, n_entries: int, rate_per_s: float, seconds: float
) -> None:
    benchmark = LimitsBenchmark(n_gateways, n_sidecars, n_entries)
    async with contextlib.AsyncExitStack() as stack:
        for limiter in benchmark.limiters:
            await stack.enter_async_context(limiter.running())
        await asyncio.sleep(2.0)
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(
                    benchmark.load(limiter, name, rate_per_s / n_gateways)
                )
                for limiter in benchmark.limiters
                for name in benchmark.catalogue.entries
            ]
            await asyncio.sleep(1.0)
            await report_load(benchmark, seconds)
            for task in tasks:
                task.cancel()
        report_cost(benchmark)


async def report_load(benchmark: LimitsBenchmark, seconds: float) -> None:
    """Print the figures of the next `seconds` seconds."""
    benchmark.admissions_s.clear()
    benchmark.n_refused = 0
    n_messages, n_bytes = benchmark.client.n_messages, benchmark.client.n_bytes
    cpu_s = time.process_time()
    await asyncio.sleep(seconds)
    cpu_s = time.process_time() - cpu_s
    per_s = (benchmark.client.n_messages - n_messages) / seconds
    bytes_per_s = (benchmark.client.n_bytes - n_bytes) / seconds
    admissions = benchmark.admissions_s
    n_waited = sum(took_s > 1e-3 for took_s in admissions)
    n_gateways, n_entries = len(benchmark.limiters), len(benchmark.catalogue.entries)
    n_homes = len(benchmark.client.homes)
    print(f"{n_gateways} gateways, {n_homes} homes, {n_entries} entries")
    print(f"  admissions a second       {len(admissions) / seconds:10.1f}")
    print(f"  refused                   {benchmark.n_refused:10d}")
    print(f"  p50 of admit, us          {1e6 * quantile(admissions, 0.5):10.1f}")
    print(f"  p99 of admit, us          {1e6 * quantile(admissions, 0.99):10.1f}")
    print(f"  waited over 1 ms          {n_waited:10d}")
    print(f"  messages a second         {per_s:10.1f}")
    print(f"  per entry and gateway     {per_s / n_entries / n_gateways:10.2f}")
    print(f"  bytes/s for each gateway  {bytes_per_s / n_gateways:10.0f}")
    print(f"  CPU of all, load included {cpu_s / seconds:10.3f}")


def report_cost(benchmark: LimitsBenchmark) -> None:
    """Print the processor time of admit and release with leased budget available."""
    limiter = benchmark.limiters[0]
    entry = benchmark.catalogue.entries["e0"]
    n_done, n = 0, 20_000
    allowances = limiter._allowances_of("e0", entry)
    allowances._rate.return_unused(2.0 * n)
    allowances._tokens.return_unused(2.0 * n)
    begin_s = time.process_time()
    for _ in range(n):
        admission = limiter.admit("e0", entry, 0)
        try:
            admission.send(None)
        except StopIteration as stop:
            if isinstance(stop.value, Ok):
                stop.value.ok_value.release()
                n_done += 1
        admission.close()
    took_s = time.process_time() - begin_s
    print(f"  admit + release, us       {1e6 * took_s / n:10.2f}")
    print(f"  of these in hand          {n_done / n:10.0%}")


def main(
    n_gateways: int = 2,
    n_sidecars: int = 9,
    n_entries: int = 10,
    rate_per_s: float = 100.0,
    seconds: float = 10.0,
) -> None:
    logging.set_verbosity(logging.ERROR)
    asyncio.run(measure(n_gateways, n_sidecars, n_entries, rate_per_s, seconds))


if __name__ == "__main__":
    fire.Fire(main)
