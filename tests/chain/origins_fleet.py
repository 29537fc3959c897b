"""Gateways that replicate which versions began streams, in virtual time.

``python -m tests.chain origins`` prints how many streams can go on after gateways are
lost, with and without replicas.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace
from types import SimpleNamespace
from typing import Any, Final, cast

import pytest
from result import Err, Ok, Result

from trefoilpaddle.coordination.chain.stream_origins import (
    KnownOrigin,
    Origin,
    StreamOrigins,
)
from trefoilpaddle.protocol.frames import Message, encode
from trefoilpaddle.protocol.gen.chain.ttypes import FindOrigin, StreamsBegun
from trefoilpaddle.protocol.gen.stage.ttypes import Hello
from trefoilpaddle.state.chain.workers import Worker, WorkerTable
from trefoilpaddle.state.members import MemberRecord
from trefoilpaddle.transport.connection import Address

from .fakes import process, worker
from .test_chain_router import member
from .virtual_time import run_virtual

ONE_WAY_S: Final = 0.001
SERVICE: Final = "model"
LIFE_S: Final = 30.0
VERSIONS: Final = ("v1", "v2")
RESTART_S: Final = 0.8
"""Time until a killed gateway serves again; the others still list it meanwhile."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Begun:
    """A stream that has begun."""

    attempt_id: str
    software_version: str
    at_s: float


class Gateway:
    """One gateway's origins; a link to it answers unless it is away."""

    def __init__(self, number: int, fleet: "Fleet") -> None:
        self.fleet = fleet
        self.number = number
        self.half = 0
        self.is_away = False
        self.sent_bytes = 0
        self.n_received = 0
        own: Any = process(f"g{number:03}", fleet.domain_of(number))
        own.peers = SimpleNamespace(link=self._link)
        self.process = own
        self.workers = WorkerTable()
        self.origins = StreamOrigins(
            process=own,
            live=lambda: fleet.members,
            workers=self.workers,
            n_replicas=fleet.n_replicas,
        )
        for listed in fleet.workers:
            self.workers.put(listed)

    def _link(self, address: Address) -> "Link":
        return Link(self, address.port - 1)


class Link:
    """The link from one gateway to another, which may be away or cut off."""

    connection = object()

    def __init__(self, one: Gateway, other: int) -> None:
        self._one = one
        self._other = other

    def _reachable(self) -> Gateway | None:
        other = self._one.fleet.gateways[self._other]
        is_cut = self._one.half != other.half
        return None if is_cut or other.is_away or self._one.is_away else other

    def send(self, message: StreamsBegun) -> bool:
        self._one.sent_bytes += len(encode(message))
        asyncio.get_running_loop().call_later(ONE_WAY_S, self._deliver, message)
        return True

    def _deliver(self, message: StreamsBegun) -> None:
        other = self._reachable()
        if other is not None:
            other.n_received += 1
            other.origins._on_message(cast(Any, None), message)

    async def ask(
        self, message: FindOrigin, *, timeout_s: float
    ) -> Result[Message, str]:
        await asyncio.sleep(ONE_WAY_S)
        other = self._reachable()
        if other is None:
            await asyncio.sleep(timeout_s - ONE_WAY_S)
            return Err("silent")
        found = await other.origins.respond(message, Hello())
        await asyncio.sleep(ONE_WAY_S)
        return Ok(found)


class Fleet:
    """Gateways of several failure domains beside engines of two versions."""

    def __init__(
        self,
        n_gateways: int,
        *,
        n_domains: int = 3,
        n_replicas: int = 2,
        versions: Sequence[str] = VERSIONS,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.n_domains = n_domains
        self.n_replicas = n_replicas
        self.versions = versions
        self.workers: list[Worker] = [
            worker(f"w{number}", SERVICE, software_version=version)
            for number, version in enumerate(versions)
        ]
        self._n_starts = n_gateways
        self.members: list[MemberRecord] = [
            replace(
                member(f"g{number:03}", number, self.domain_of(number)),
                address=f"127.0.0.1:{number + 1}",
            )
            for number in range(n_gateways)
        ]
        self.gateways = [Gateway(number, self) for number in range(n_gateways)]

    def domain_of(self, number: int) -> str:
        return f"d{number % self.n_domains}"

    def begin(self, at: Gateway, number: int) -> Begun:
        """Begin a stream at a gateway."""
        version = self.rng.choice(self.versions)
        begun = Begun(
            attempt_id=f"a{number}",
            software_version=version,
            at_s=asyncio.get_running_loop().time(),
        )
        at.origins.record(begun.attempt_id, version)
        return begun

    async def take_up(self, begun: Begun, *, at: Gateway | None = None) -> Origin:
        """Find the origin of a stream at a gateway that is not away."""
        here = at or self.rng.choice([g for g in self.gateways if not g.is_away])
        return await here.origins.find(begun.attempt_id, SERVICE, life_s=LIFE_S)

    async def restart(self, number: int) -> None:
        """Kill a gateway; it is back with nothing in its memory."""
        self.gateways[number].is_away = True
        await asyncio.sleep(RESTART_S)
        self._n_starts += 1
        self.members = [
            replace(each, incarnation=self._n_starts) if n == number else each
            for n, each in enumerate(self.members)
        ]
        self.gateways[number] = Gateway(number, self)


@dataclass(slots=True, kw_only=True)
class Played:
    """What became of the streams that were taken up."""

    n_known: int = 0
    n_unknown: int = 0
    n_wrong: int = 0
    sent_bytes_per_s: float = 0.0
    received_per_s: float = 0.0


async def play_kills(fleet: Fleet, *, rate_per_s: float, for_s: float) -> Played:
    """Kill two gateways every four seconds; take up the streams that they served.

    Each stream lasts two seconds and breaks if its gateway is killed.
    """
    played = Played()
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    open_at: dict[int, list[Begun]] = {n: [] for n in range(len(fleet.gateways))}
    counts: Counter[str] = Counter()

    async def take_up(begun: Begun) -> None:
        await asyncio.sleep(fleet.rng.uniform(0.01, 0.5))
        match await fleet.take_up(begun):
            case KnownOrigin(software_version=version):
                counts["known"] += 1
                counts["wrong"] += version != begun.software_version
            case _:
                counts["unknown"] += 1

    async with asyncio.TaskGroup() as group:
        number = 0
        next_kill_s = began_s + 4.0
        while loop.time() < began_s + for_s:
            await asyncio.sleep(fleet.rng.expovariate(rate_per_s))
            alive = [g.number for g in fleet.gateways if not g.is_away]
            at = fleet.rng.choice(alive)
            open_at[at].append(fleet.begin(fleet.gateways[at], number))
            number += 1
            if loop.time() < next_kill_s:
                continue
            next_kill_s += 4.0
            for killed in fleet.rng.sample(alive, 2):
                for begun in open_at[killed]:
                    if loop.time() - begun.at_s < 2.0:
                        group.create_task(take_up(begun))
                open_at[killed].clear()
                group.create_task(fleet.restart(killed))
    played.n_known, played.n_unknown = counts["known"], counts["unknown"]
    played.n_wrong = counts["wrong"]
    n_gateways = len(fleet.gateways)
    played.sent_bytes_per_s = sum(g.sent_bytes for g in fleet.gateways) / (
        n_gateways * for_s
    )
    played.received_per_s = max(g.n_received for g in fleet.gateways) / for_s
    return played


def print_plays(*, seeds: int = 5) -> None:
    """Print what became of broken streams, by the number of replicas."""
    print("gateways streams/s replicas known unknown wrong sent B/s received/s")
    for n_gateways, rate_per_s, n_domains in ((6, 30, 3), (24, 60, 4)):
        for n_replicas in range(3):
            total: Counter[str] = Counter()
            for seed in range(seeds):
                fleet = Fleet(
                    n_gateways, n_domains=n_domains, n_replicas=n_replicas, seed=seed
                )
                with pytest.MonkeyPatch.context() as patch:
                    played = run_virtual(
                        patch, play_kills(fleet, rate_per_s=rate_per_s, for_s=60)
                    )
                total["known"] += played.n_known
                total["unknown"] += played.n_unknown
                total["wrong"] += played.n_wrong
            print(
                f"{n_gateways:8} {rate_per_s:9} {n_replicas:8} {total['known']:5}"
                f" {total['unknown']:7} {total['wrong']:5}"
                f" {played.sent_bytes_per_s:8.0f} {played.received_per_s:10.1f}"
            )
