"""Claim homes and claimers on a fake network, with an injected clock."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from result import Err, Ok, Result

from trefoilpaddle.coordination.claims.claim_home import ClaimHome
from trefoilpaddle.coordination.claims.claim_outcomes import (
    ClaimOutcome,
    Key,
    KeyGranted,
    account_key,
)
from trefoilpaddle.coordination.claims.claim_registry import ClaimRegistry
from trefoilpaddle.coordination.claims.claim_sync import ClaimSynchroniser
from trefoilpaddle.coordination.claims.claims import Claimer
from trefoilpaddle.coordination.claims.generated_ids import GeneratedIdClaims
from trefoilpaddle.coordination.members.directory import PublishedDirectory
from trefoilpaddle.protocol.errors import PeerError
from trefoilpaddle.protocol.frames import Message
from trefoilpaddle.protocol.gen.claims.ttypes import (
    Claim,
    ClaimAnswer,
    ClaimCopy,
    ClaimSync,
    CopyAnswer,
    Settle,
    SettleAnswer,
)
from trefoilpaddle.protocol.gen.stage.ttypes import Hello
from trefoilpaddle.state.claim_table import ClaimTable
from trefoilpaddle.state.hosts import Host, HostList
from trefoilpaddle.state.journal import Journal
from trefoilpaddle.state.published import Published
from trefoilpaddle.state.replicas import replica_list
from trefoilpaddle.state.settings import LogFormat
from trefoilpaddle.transport.connection import Address

WINDOW_S = 30.0
Handler = Callable[[Message, Hello], Coroutine[Any, Any, Message]]


class FakeClock:
    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s

    async def sleep(self, seconds: float) -> None:
        self.now_s += seconds
        await asyncio.sleep(0)


def host(name: str, *, domain: str, role: str = "sidecar") -> Host:
    number = int.from_bytes(name.encode()[:2])
    return Host(
        name=name,
        failure_domain=domain,
        role="gateway" if role == "gateway" else "sidecar",
        peer_address=f"127.0.0.1:{number}",
        service="" if role == "gateway" else "draft",
        target="" if role == "gateway" else f"{name}-target",
    )


class FakeNetwork:
    """Delivers messages; a paused process receives them when it resumes."""

    def __init__(self, seed: int = 0) -> None:
        self.handlers: dict[str, Handler] = {}
        self.paused: set[str] = set()
        self.partitioned: set[frozenset[str]] = set()
        self.delayed: list[tuple[str, Message, Hello]] = []
        self.reply_loss_share = 0.0
        self._random = random.Random(seed)

    async def deliver(
        self, sender: Hello, sender_address: str, address: str, message: Message
    ) -> Result[Message, PeerError]:
        for _ in range(self._random.randrange(4)):
            await asyncio.sleep(0)
        if frozenset({sender_address, address}) in self.partitioned:
            return _lost(address)
        if address in self.paused:
            self.delayed.append((address, message, sender))
            return _lost(address)
        if address not in self.handlers:
            return _lost(address)
        reply = await self.handlers[address](message, sender)
        for _ in range(self._random.randrange(4)):
            await asyncio.sleep(0)
        if self._random.random() < self.reply_loss_share:
            return _lost(address)
        return Ok(reply)

    async def resume(self, address: str) -> None:
        """Resume a process and deliver the messages that arrived while it paused."""
        self.paused.discard(address)
        arrived = [item for item in self.delayed if item[0] == address]
        self.delayed = [item for item in self.delayed if item[0] != address]
        for _, message, sender in arrived:
            if address in self.handlers:
                await self.handlers[address](message, sender)


def _lost(address: str) -> Err[PeerError]:
    return Err(PeerError(step="wait", peer=address, detail="no reply", is_sent=True))


class FakeAsker:
    """Sends the messages of one process over the fake network."""

    def __init__(
        self, net: FakeNetwork, address: str, hello: Callable[[], Hello]
    ) -> None:
        self._net = net
        self._address = address
        self._hello = hello

    async def ask(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> Result[Message, PeerError]:
        return await self._net.deliver(
            self._hello(), self._address, str(address), message
        )


class FleetProcess:
    """A gateway or a sidecar of the simulated fleet."""

    def __init__(self, fleet: "Fleet", listed: Host, incarnation: int) -> None:
        self.host = listed
        self.incarnation = incarnation
        self.published = Published()
        self.table = ClaimTable(window_s=WINDOW_S, clock=fleet.clock)
        fake_asker = FakeAsker(fleet.net, listed.peer_address, self.hello)
        self.registry = ClaimRegistry(
            process_id=listed.process_id,
            published=self.published,
            table=self.table,
            incarnation_of=fleet.incarnation_of,
            clock=fleet.clock,
        )
        journal = Journal(
            process_id=listed.process_id, n_records=100, format=LogFormat.KEY_VALUE
        )
        self.home = ClaimHome(registry=self.registry, asker=fake_asker, journal=journal)
        self.syncs = ClaimSynchroniser(registry=self.registry, asker=fake_asker)
        self.generated_ids = GeneratedIdClaims(
            registry=self.registry,
            process_id=listed.process_id,
            incarnation=incarnation,
            clock=fleet.clock,
        )
        self.claimer = Claimer(
            hello=self.hello,
            published=self.published,
            directory=PublishedDirectory(published=self.published),
            asker=fake_asker,
            generated_ids=self.generated_ids,
            clock=fleet.clock,
            sleep=fleet.clock.sleep,
        )
        self.n_tries = 0

    def hello(self) -> Hello:
        return Hello(process_id=self.host.process_id, incarnation=self.incarnation)

    async def answer(self, message: Message, sender: Hello) -> Message:
        is_gateway = self.host.role == "gateway"
        match message:
            case Claim():
                handler = self.generated_ids if is_gateway else self.home
                answer: ClaimAnswer = await handler.answer_claim(message, sender)
                return answer
            case ClaimCopy():
                copied: CopyAnswer = await self.home.answer_copy(message, sender)
                return copied
            case ClaimSync():
                return await self.syncs.answer(message, sender)
            case Settle():
                settler = self.generated_ids if is_gateway else self.home
                settled: SettleAnswer = await settler.answer_settle(message, sender)
                return settled
        raise AssertionError(message)

    async def claim(
        self,
        key: Key | str,
        *,
        is_idempotent: bool = False,
        fingerprint: int = 7,
        wait_s: float = 0.0,
        budget_s: float = 10.0,
    ) -> ClaimOutcome:
        self.n_tries += 1
        return await self.claimer.claim(
            key=account_key("bank-a", key) if isinstance(key, str) else key,
            request_id=f"{self.host.name}.{self.incarnation:x}.{self.n_tries}",
            fingerprint=fingerprint,
            is_idempotent=is_idempotent,
            budget_s=budget_s,
            wait_s=wait_s,
        )


class Fleet:
    """Gateways g1, g2 and sidecars in three failure domains."""

    def __init__(self, *, n_sidecars: int = 5, seed: int = 0) -> None:
        self.clock = FakeClock()
        self.net = FakeNetwork(seed)
        self.revision = 1
        self.hosts = [host(f"g{i}", domain=f"d{i}", role="gateway") for i in (1, 2)] + [
            host(f"s{i}", domain=f"d{i % 3}") for i in range(n_sidecars)
        ]
        self.processes: dict[str, FleetProcess] = {}
        for listed in self.hosts:
            self.start(listed)
        self.advance_time(10 * WINDOW_S)

    def start(self, listed: Host) -> FleetProcess:
        process = FleetProcess(
            self,
            listed,
            incarnation=len(self.net.handlers) + self.next_incarnation_base(),
        )
        self.processes[listed.name] = process
        self.net.handlers[listed.peer_address] = process.answer
        self.deliver_list(listed.name)
        return process

    def next_incarnation_base(self) -> int:
        self._n_started = getattr(self, "_n_started", 0) + 100
        return self._n_started

    def restart(self, name: str) -> FleetProcess:
        return self.start(self.processes[name].host)

    def kill(self, name: str) -> None:
        self.net.handlers.pop(self.processes[name].host.peer_address, None)

    def deliver_list(self, *names: str) -> None:
        """Deliver the current host list to the named processes."""
        for name in names:
            hosts = HostList(revision=self.revision, hosts=tuple(self.hosts))
            self.processes[name].published.set_hosts(hosts)

    def replace_hosts(self, hosts: list[Host]) -> None:
        self.hosts = hosts
        self.revision += 1

    def advance_time(self, seconds: float) -> None:
        self.clock.now_s += seconds

    def incarnation_of(self, process_id: str) -> int | None:
        for process in self.processes.values():
            if process.host.process_id == process_id:
                return process.incarnation
        return None

    def replica_names(self, key: str) -> tuple[str, ...]:
        """Names of the replicas of a key of bank-a under the current list."""
        hosts = HostList(revision=self.revision, hosts=tuple(self.hosts))
        pair = replica_list(hosts).pair(account_key("bank-a", key).text)
        return tuple(replica.process_id.removesuffix("-sidecar") for replica in pair)

    def hosts_without(self, *names: str) -> list[Host]:
        return [listed for listed in self.hosts if listed.name not in names]

    def address(self, name: str) -> str:
        return self.processes[name].host.peer_address


def is_granted(outcome: ClaimOutcome) -> bool:
    return isinstance(outcome, KeyGranted)
