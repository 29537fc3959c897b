"""Gateway processes and workers with few slots, while one account sends a burst.

``python -m tests.platform_adapter.shares_harness --kind plain --n_gateways 6`` plays it
once and prints how the accounts were served.
"""

import asyncio
import contextlib
import itertools
import logging
import random
import signal
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, Final

import aiohttp
import fire

from trefoilpaddle.standins.platform.gateway_process import (
    GatewayProcess,
    gateways,
    headers,
)
from trefoilpaddle.standins.platform.site import Site, configuration, pieces, route
from trefoilpaddle.standins.platform.store import TABLE_KEY
from trefoilpaddle.standins.web import serving

from ..waiting import until
from .crash_harness import knows_all

N_WORKERS: Final = 6
N_SLOTS: Final = 4
WORK_S: Final = 0.2
CAPACITY_PER_S: Final = N_WORKERS * N_SLOTS / WORK_S
STAGED_PER_S: Final = 17.0
"""Requests per second that the stage workers of the rig can do."""

SHARE: Final = 0.1
BURST: Final = 3.0
"""What each account sends, and what one sends during the burst, in parts of that."""

CALM_S: Final = 5.0
BURST_S: Final = 10.0
DEADLINE_S: Final = 3.0
STAGE_CALL_S: Final = 0.2
N_EVENTS: Final = 5
BALANCER_S: Final = 1.0
"""Time for which a killed gateway still gets connections of callers."""

MAX_RETRY_S: Final = DEADLINE_S / 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of request and the workers that run it.

    Parameters
    ----------
    path : str
        Path of its route.
    capacity_per_s : float
        Requests per second that its workers can do.
    target_s : float
        Time within which an answer is in time.
    worker : dict of str to Any
        Fields of the stand-in workers.
    more : dict of str to str
        Further headers of a request.
    """

    path: str
    capacity_per_s: float = CAPACITY_PER_S
    target_s: float = 1.0
    worker: dict[str, Any] = field(default_factory=dict)
    more: dict[str, str] = field(default_factory=dict)


PROMPT: Final = {
    "Trefoilpaddle-Model": "m",
    "Trefoilpaddle-Token-Counts": "100,20",
    "Trefoilpaddle-Prompt-Prefix": "a1:60,b2:30,{id}:10",
}

KINDS: Final = {
    "plain": Kind(path="plain", worker={"work_s": WORK_S, "n_queued": 24}),
    "engine": Kind(
        path="engine",
        worker={"n_events": N_EVENTS, "work_s": WORK_S / N_EVENTS, "n_queued": 8},
        more=PROMPT,
    ),
    "staged": Kind(
        path="staged",
        capacity_per_s=STAGED_PER_S,
        target_s=2.0,
        worker={"n_events": N_EVENTS, "work_s": WORK_S / N_EVENTS, "n_queued": 8},
        more=PROMPT
        | {"Trefoilpaddle-Pieces": "4,4", "Trefoilpaddle-Piece-Key": "{id}"},
    ),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Sent:
    """One request of a caller, with its tries."""

    account: int
    sent_s: float
    took_s: float
    is_served: bool


@dataclass(slots=True, kw_only=True)
class Observed:
    """What a play has shown.

    Attributes
    ----------
    burst_s : float
        Monotonic time at which the burst began.
    done_per_s : float
        Requests per second that the workers completed during the burst.
    """

    kind: Kind
    n_accounts: int
    burst_s: float = 0.0
    done_per_s: float = 0.0
    sent: list[Sent] = field(default_factory=list)

    def in_time(self, accounts: range, *, is_burst: bool) -> float:
        """Return the share in time of what accounts sent in the calm or the burst."""
        chosen = [
            each
            for each in self.sent
            if each.account in accounts and (each.sent_s >= self.burst_s) == is_burst
        ]
        in_time = [
            each
            for each in chosen
            if each.is_served and each.took_s <= self.kind.target_s
        ]
        return len(in_time) / max(1, len(chosen))

    @property
    def others(self) -> range:
        """The accounts that do not burst."""
        return range(self.n_accounts - 1)

    def others_kept(self) -> float:
        """Return how often the others are in time, in parts of the calm before."""
        calm = self.in_time(self.others, is_burst=False)
        return self.in_time(self.others, is_burst=True) / calm

    def done_share(self) -> float:
        """Return the work done during the burst in parts of what workers can do."""
        return self.done_per_s / self.kind.capacity_per_s

    def summary(self) -> str:
        """Return one line with the figures."""
        worst = min(self.in_time(range(n, n + 1), is_burst=True) for n in self.others)
        burst = range(self.n_accounts - 1, self.n_accounts)
        return (
            f"others {self.in_time(self.others, is_burst=False):.3f} before,"
            f" {self.in_time(self.others, is_burst=True):.3f} during"
            f" (worst {worst:.3f}); the burst {self.in_time(burst, is_burst=True):.3f};"
            f" done {self.done_per_s:.0f} a second of"
            f" {self.kind.capacity_per_s:.0f}"
        )


def account_keys(n_accounts: int) -> list[str]:
    """Return the key of each account."""
    return [f"key-{number}" for number in range(n_accounts)]


def shares_configuration(n_accounts: int) -> dict[str, Any]:
    """Return the operators' configuration of the rig."""
    common = {"timeout_ms": int(DEADLINE_S * 1000), "max_attempts": 1}
    stages = [
        {"service": "encode", "after": [], "bytes": 1000},
        {"service": "retrieve", "after": [0], "bytes": 100},
    ]
    engine = {"slots": N_SLOTS, "cache_tokens": 100_000}
    staged = {"call_ms": STAGE_CALL_S * 1000, "batch": 8, "item_ms": 5.0}
    return configuration(
        1,
        routes=[
            route("plain", "idempotent", "stock", target_latency_ms=1000, **common),
            route("engine", "streaming", "model", target_latency_ms=1000, **common),
            route(
                "staged",
                "streaming",
                "model",
                target_latency_ms=2000,
                stages=stages,
                **common,
            ),
        ],
        services=[
            {"name": "stock"},
            {"name": "model", "engine": engine},
            pieces("encode", **staged),
            pieces("retrieve", **staged),
        ],
        tenants=[
            {"name": f"account-{number}", "api_keys": [key]}
            for number, key in enumerate(account_keys(n_accounts))
        ],
    )


class SharesHarness:
    """Gateways, workers and the callers of all accounts."""

    def __init__(
        self,
        *,
        kind: Kind,
        site: Site,
        all_gateways: list[GatewayProcess],
        n_accounts: int,
        client: aiohttp.ClientSession,
    ) -> None:
        self.all_gateways = all_gateways
        self.site = site
        self._kind = kind
        self._client = client
        self._keys = account_keys(n_accounts)
        self._rng = random.Random(11)
        self._numbers = itertools.count()

    async def run(
        self,
        *,
        is_at_one: bool = False,
        share: float = SHARE,
        in_burst: Callable[[], Awaitable[None]] | None = None,
    ) -> Observed:
        """Play the calm and the burst; `in_burst` runs in the middle of the burst."""
        observed = Observed(kind=self._kind, n_accounts=len(self._keys))
        per_s = share * self._kind.capacity_per_s
        async with asyncio.TaskGroup() as group:
            for account in range(len(self._keys)):
                group.create_task(
                    self._send(group, observed, account, per_s, CALM_S + BURST_S)
                )
            await asyncio.sleep(CALM_S)
            observed.burst_s = time.monotonic()
            n_before = self._n_done()
            group.create_task(
                self._send(
                    group,
                    observed,
                    len(self._keys) - 1,
                    BURST * self._kind.capacity_per_s,
                    BURST_S,
                    is_at_one=is_at_one,
                )
            )
            await asyncio.sleep(BURST_S / 3)
            if in_burst is not None:
                group.create_task(_ignoring_result(in_burst()))
            await asyncio.sleep(observed.burst_s + BURST_S - time.monotonic())
            observed.done_per_s = (self._n_done() - n_before) / BURST_S
        return observed

    def _n_done(self) -> int:
        return sum(worker.n_done for worker in self.site.workers.values())

    async def send_steadily(self, *, per_s: float, for_s: float) -> Observed:
        """Send requests of the first account at a steady rate."""
        observed = Observed(kind=self._kind, n_accounts=1)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send(group, observed, 0, per_s, for_s))
        return observed

    async def _send(
        self,
        group: asyncio.TaskGroup,
        observed: Observed,
        account: int,
        per_s: float,
        for_s: float,
        *,
        is_at_one: bool = False,
    ) -> None:
        due_s = time.monotonic()
        ends_s = due_s + for_s
        while True:
            due_s += self._rng.expovariate(per_s)
            if due_s >= ends_s:
                return
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            first = self.all_gateways[0] if is_at_one else None
            group.create_task(self._request(observed, account, first))

    async def _request(
        self, observed: Observed, account: int, gateway: GatewayProcess | None
    ) -> None:
        """Send a request; come back once after Retry-After."""
        sent_s = time.monotonic()
        retry_s = await self._try(account, sent_s, gateway)
        left_s = sent_s + DEADLINE_S - time.monotonic()
        if retry_s is not None and 0 <= retry_s < min(MAX_RETRY_S, left_s):
            await asyncio.sleep(retry_s)
            retry_s = await self._try(account, sent_s, gateway)
        observed.sent.append(
            Sent(
                account=account,
                sent_s=sent_s,
                took_s=time.monotonic() - sent_s,
                is_served=retry_s is None,
            )
        )

    async def _try(
        self, account: int, sent_s: float, gateway: GatewayProcess | None
    ) -> float | None:
        """Send one try; return None if it was served, else Retry-After in seconds."""
        left_s = sent_s + DEADLINE_S - time.monotonic()
        if left_s <= 0.0:
            return -1.0
        to = gateway or self._rng.choice(self.all_gateways)
        request_id = f"{next(self._numbers):x}"
        fields = headers(request_id) | {
            "Trefoilpaddle-Deadline-Milliseconds": str(int(left_s * 1000)),
            "Trefoilpaddle-Credential": self._keys[account],
        }
        for name, value in self._kind.more.items():
            fields[name] = value.format(id=request_id)
        try:
            async with self._client.post(
                f"{to.url}/{self._kind.path}/1",
                data=b"1",
                headers=fields,
                timeout=aiohttp.ClientTimeout(total=left_s),
            ) as answer:
                await answer.read()
                if answer.status == 200:
                    return None
                return float(answer.headers.get("Retry-After", -1.0))
        except (aiohttp.ClientError, TimeoutError):
            return -1.0


async def _ignoring_result(work: Awaitable[None]) -> None:
    await work


async def pause(gateway: GatewayProcess, for_s: float) -> None:
    """Pause a gateway for some time."""
    gateway.signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    gateway.signal(signal.SIGCONT)


async def kill_and_start(harness: SharesHarness) -> None:
    """Kill a gateway, and start one in its place that knows nothing.

    Callers' connections go to it until the balancer has noticed, and again once it is
    ready.
    """
    gateway = harness.all_gateways[-1]
    gateway.kill()
    await asyncio.sleep(BALANCER_S)
    harness.all_gateways.remove(gateway)
    gateway.start()
    async with aiohttp.ClientSession() as client:
        await gateway.wait_ready(client)
    harness.all_gateways.append(gateway)


@contextlib.asynccontextmanager
async def shares_harness(
    folder: Path,
    *,
    kind: str = "plain",
    n_gateways: int = 6,
    n_accounts: int = 8,
    n_slots: int = N_SLOTS,
) -> AsyncIterator[SharesHarness]:
    """Start the workers and the gateways, in two failure domains."""
    chosen = KINDS[kind]
    async with contextlib.AsyncExitStack() as stack:
        site = Site(stack=stack)
        url = await stack.enter_async_context(serving(site.store.application()))
        site.store_address = url.removeprefix("http://")
        site.store.put(TABLE_KEY, shares_configuration(n_accounts))
        service = "stock" if kind == "plain" else "model"
        domains = ["a", "b"]
        for number in range(N_WORKERS):
            await site.add_worker(
                f"{service}{number}",
                service,
                domain=domains[number % 2],
                n_slots=n_slots,
                **chosen.worker,
            )
        if kind == "staged":
            for stage, domain in itertools.product(("encode", "retrieve"), domains):
                await site.add_worker(
                    f"{stage}-{domain}", stage, domain=domain, work_s=STAGE_CALL_S
                )
        all_domains = [domains[number % 2] for number in range(n_gateways)]
        async with gateways(site, folder, *all_domains) as all_gateways:
            for gateway in all_gateways:
                await until(partial(knows_all, gateway, n_gateways))
            connector = aiohttp.TCPConnector(limit=0)
            async with aiohttp.ClientSession(connector=connector) as client:
                yield SharesHarness(
                    kind=chosen,
                    site=site,
                    all_gateways=list(all_gateways),
                    n_accounts=n_accounts,
                    client=client,
                )


def play(
    *,
    kind: str = "plain",
    n_gateways: int = 6,
    n_accounts: int = 8,
    is_at_one: bool = False,
    paused_s: float = 0.0,
    is_killed: bool = False,
) -> None:
    """Play once and print how the accounts were served."""
    logging.getLogger("asyncio").setLevel(logging.ERROR)

    async def run() -> None:
        with tempfile.TemporaryDirectory() as folder:
            async with shares_harness(
                Path(folder), kind=kind, n_gateways=n_gateways, n_accounts=n_accounts
            ) as harness:
                in_burst: Callable[[], Awaitable[None]] | None = None
                if paused_s:
                    in_burst = partial(pause, harness.all_gateways[-1], paused_s)
                elif is_killed:
                    in_burst = partial(kill_and_start, harness)
                observed = await harness.run(
                    is_at_one=is_at_one,
                    share=SHARE * 8 / n_accounts,
                    in_burst=in_burst,
                )
                print(observed.summary())

    asyncio.run(run())


if __name__ == "__main__":
    fire.Fire(play)
