"""Gateways that read a store and exchange updates with latency, in virtual time."""

import asyncio
import random
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from types import SimpleNamespace
from typing import Any, Final

import orjson
from result import Err, Ok, Result

from trefoilpaddle.coordination.published.published_store import (
    PublishedTable,
    StoreChanges,
    StoreFault,
)
from trefoilpaddle.coordination.published.store_feed import StoreFeed
from trefoilpaddle.coordination.published.store_position import StorePosition
from trefoilpaddle.coordination.published.store_readers import StoreReaders
from trefoilpaddle.coordination.published.store_relay import StoreRelay
from trefoilpaddle.protocol.frames import Message, encode
from trefoilpaddle.protocol.gen.chain.ttypes import (
    StorePull,
    StoreState,
    TablePart,
    TablePull,
)
from trefoilpaddle.protocol.gen.stage.ttypes import Hello
from trefoilpaddle.standins.platform.site import configuration, pieces, route
from trefoilpaddle.state.chain.routes import RouteTable
from trefoilpaddle.state.chain.workers import Worker, WorkerTable
from trefoilpaddle.transport.connection import Address

from ..chain.fakes import journal, process, worker
from ..chain.test_chain_router import member
from .test_store_feed import Answer

ONE_WAY_S: Final = 0.001
"""Latency of a message between two gateways."""

READ_S: Final = 0.005
"""Time from a request to the store's response."""

FIRST_TIMEOUT_S: Final = 0.7
MAX_TIMEOUT_S: Final = 3.0
"""The timeout of a read doubles after each timeout, from the first up to the second."""

STEP_S: Final = 0.01


def table_bytes(version: int, *, n_routes: int = 45, n_accounts: int = 16) -> bytes:
    """Return a configuration of a given size; versions differ in one timeout."""
    routes = [
        route(f"route{number}", "idempotent", "stock") for number in range(n_routes)
    ]
    routes[version % n_routes]["timeout_ms"] = 5000 + version
    accounts = [
        {
            "name": f"account{number}",
            "api_keys": [f"{random.Random(number).getrandbits(128):x}"],
        }
        for number in range(n_accounts)
    ]
    services = [{"name": "stock"}, *(pieces(f"stage{number}") for number in range(4))]
    return orjson.dumps(
        configuration(version, routes=routes, tenants=accounts, services=services)
    )


def decoded(data: bytes) -> PublishedTable | None:
    """Return a table that has only its version; None if the data is not JSON."""
    try:
        version = orjson.loads(data)["version"]
    except ValueError:
        return None
    return PublishedTable(table=RouteTable(version=version), data=data)


@dataclass(frozen=True, slots=True, kw_only=True)
class Backup:
    """The content of a store at one moment."""

    revision: int
    workers: dict[str, Worker]
    table: PublishedTable | None
    table_revision: int
    events: list[tuple[int, str, Worker | None]]
    evacuated: frozenset[str] = frozenset()


class Store:
    """The published content, with its history of changes."""

    def __init__(self, n_workers: int, **size: int) -> None:
        self._size = size
        self.era = 0
        self.revision = 1
        self.workers = {name: worker(name) for name in _names("w", n_workers)}
        self.table = decoded(table_bytes(1, **size))
        self.table_revision = 1
        self.events: list[tuple[int, str, Worker | None]] = []
        self.evacuated: frozenset[str] = frozenset()
        self.orders: list[tuple[int, str, bool]] = []
        self.forgotten_revision = 0

    @property
    def position(self) -> StorePosition:
        """Return the current position."""
        return StorePosition(era=self.era, revision=self.revision)

    def back_up(self) -> Backup:
        """Return a backup of the current content."""
        return Backup(
            revision=self.revision,
            workers=dict(self.workers),
            table=self.table,
            table_revision=self.table_revision,
            events=list(self.events),
            evacuated=self.evacuated,
        )

    def restore_from(self, backup: Backup) -> None:
        """Restore the content of a backup; everything written since is lost."""
        self.era += 1
        self.revision = backup.revision
        self.workers = dict(backup.workers)
        self.table = backup.table
        self.table_revision = backup.table_revision
        self.events = list(backup.events)
        self.evacuated = backup.evacuated
        self.orders.clear()

    def forget_history(self) -> None:
        """Forget all changes, so that they cannot be read any more."""
        self.forgotten_revision = self.revision

    def evacuate(self, domain: str) -> None:
        """Write an order to evacuate a failure domain."""
        self.evacuated |= {domain}
        self._record_order(domain, is_ordered=True)

    def end_evacuation(self, domain: str) -> None:
        """Remove the order to evacuate a failure domain."""
        self.evacuated -= {domain}
        self._record_order(domain, is_ordered=False)

    def _record_order(self, domain: str, *, is_ordered: bool) -> None:
        self.revision += 1
        self.orders.append((self.revision, domain, is_ordered))

    def publish(self, version: int) -> None:
        """Publish the next configuration."""
        self.revision += 1
        self.table_revision = self.revision
        self.table = decoded(table_bytes(version, **self._size))

    def heartbeat(self) -> None:
        """Write an entry again without a change."""
        self.revision += 1

    def write(self, listed: Worker) -> None:
        """Write a worker's entry."""
        self.workers[listed.worker_id] = listed
        self._record(listed.worker_id)

    def remove(self, worker_id: str) -> None:
        """Remove a worker's entry."""
        del self.workers[worker_id]
        self._record(worker_id)

    def _record(self, worker_id: str) -> None:
        self.revision += 1
        self.events.append((self.revision, worker_id, self.workers.get(worker_id)))

    def listed(self) -> StoreChanges:
        """Return everything that is published."""
        return StoreChanges(
            position=self.position,
            table=self.table,
            workers=tuple(self.workers.values()),
            evacuated=self.evacuated,
        )

    def since(self, after: StorePosition) -> Answer:
        """Return the changes after a revision."""
        if after.revision > self.revision:
            if after.era != self.era:
                return Ok(StoreChanges(position=StorePosition(era=self.era)))
            return Err(StoreFault.HISTORY_LOST)
        if after.revision < self.forgotten_revision:
            return Err(StoreFault.HISTORY_LOST)
        last_order = {
            domain: is_ordered
            for revision, domain, is_ordered in self.orders
            if revision > after.revision
        }
        events = [event for event in self.events if event[0] > after.revision]
        last = {i: entry for _, i, entry in events}
        removed_ids = {i for _, i, entry in events if entry is None}
        is_newer = self.table_revision > after.revision
        return Ok(
            StoreChanges(
                position=self.position,
                table=self.table if is_newer else None,
                workers=tuple(entry for entry in last.values() if entry is not None),
                removed=tuple(i for i, entry in last.items() if entry is None),
                relisted=tuple(i for i in removed_ids if last[i] is not None),
                evacuated=frozenset(d for d, ordered in last_order.items() if ordered),
                returned=frozenset(
                    d for d, ordered in last_order.items() if not ordered
                ),
            )
        )


class Link:
    """The connection from one gateway to another."""

    def __init__(self, one: "Gateway", other: "Gateway") -> None:
        self._one = one
        self._other = other

    def send(self, message: Message) -> bool:
        """Deliver a message after the latency."""
        self._count(self._one, message)
        loop = asyncio.get_running_loop()
        if self._is_cut():
            return True
        under_way_s = ONE_WAY_S + self._other.update_delay_s
        loop.call_later(under_way_s, self._other.receive, message)
        return True

    async def ask(
        self, message: StorePull | TablePull, *, timeout_s: float
    ) -> Result[StoreState | TablePart, str]:
        """Return the other gateway's response."""
        self._count(self._one, message)
        is_lost = isinstance(message, TablePull) and self._one.loses_parts
        if self._other.is_stopped or self._is_cut() or is_lost:
            await asyncio.sleep(timeout_s)
            return Err("silent")
        await asyncio.sleep(ONE_WAY_S)
        relay = self._other.relay
        reply: StoreState | TablePart
        match message:
            case TablePull():
                reply = await relay.transfer.respond(message, Hello())
            case _:
                reply = await relay.respond(message, Hello())
        self._count(self._other, reply)
        await asyncio.sleep(ONE_WAY_S)
        return Ok(reply)

    def _is_cut(self) -> bool:
        return self._one.is_cut or self._other.is_cut

    def _count(self, sender: "Gateway", message: Message) -> None:
        sender.sent_bytes += len(encode(message))


class Gateway:
    """One gateway's feed, with its own connection to the store."""

    def __init__(self, name: str, network: "Network") -> None:
        own: Any = process(name)
        own.peers = SimpleNamespace(link=self._link)
        self.name = name
        self.network = network
        self.is_disconnected = False
        self.is_cut = False
        self.loses_parts = False
        self.n_disconnects = 0
        self.is_stopped = False
        self.read_s = READ_S
        self.update_delay_s = 0.0
        self.sent_bytes = 0
        self.version = 0
        self.timeout_s = FIRST_TIMEOUT_S
        self.workers = WorkerTable()
        self.records = journal()
        self.relay = StoreRelay(process=own, workers=self.workers)
        self.readers = StoreReaders(process=own, live=lambda: network.members)
        self.feed = StoreFeed(
            store=self,
            workers=self.workers,
            on_table=self._activate,
            journal=self.records,
            relay=self.relay,
            readers=self.readers,
            query_peers=lambda: self.relay.query_peers(network.members, name),
            decode=decoded,
        )

    def receive(self, message: Message) -> None:
        """Process a message from another gateway."""
        if self.is_stopped:
            return
        self.readers._on_message(None, message)  # type: ignore[arg-type]

    @property
    def is_receiving(self) -> bool:
        return False

    async def snapshot(self) -> Answer:
        """Return everything that the store holds."""
        self.network.n_lists[self.name] += 1
        return await self._read(Ok(self.network.store.listed()))

    async def changes(self, after: StorePosition) -> Answer:
        """Return what has changed in the store."""
        return await self._read(self.network.store.since(after))

    async def _read(self, answer: Answer) -> Answer:
        self.network.n_reads[self.name] += 1
        if self.is_disconnected or self.is_cut or self.n_disconnects:
            await asyncio.sleep(self.timeout_s)
            self.timeout_s = min(MAX_TIMEOUT_S, 2 * self.timeout_s)
            return Err(StoreFault.SILENT)
        await asyncio.sleep(self.read_s)
        self.timeout_s = FIRST_TIMEOUT_S
        return answer

    def _link(self, address: Address) -> Link:
        return Link(self, self.network.by_port[address.port])

    def _activate(self, published: PublishedTable) -> None:
        self.version = published.table.version


class Network:
    """A store and gateways, in the order in which these become readers.

    Parameters
    ----------
    n_gateways : int
        Number of gateways, all in one group.
    n_workers : int
        Number of workers listed from the start.
    size : int
        Size of the configuration, as parameters of `table_bytes`.
    """

    def __init__(self, n_gateways: int, *, n_workers: int = 4, **size: int) -> None:
        random.seed(1)
        self.store = Store(n_workers, **size)
        self.n_reads: Counter[str] = Counter()
        self.n_lists: Counter[str] = Counter()
        self.n_starts = 0
        names = _names("g", n_gateways)
        self.members = [
            replace(member(name, port), address=f"127.0.0.1:{port}")
            for port, name in enumerate(names, 1)
        ]
        self.gateways = [Gateway(name, self) for name in names]
        self.by_port = dict(enumerate(self.gateways, 1))
        self.read_s = READ_S
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start the gateways one by one; wait until only the readers read."""
        for gateway in self.gateways:
            self._run(gateway)
            await asyncio.sleep(STEP_S)
        await asyncio.sleep(2.0)

    def _run(self, gateway: Gateway) -> None:
        self._tasks[gateway.name] = asyncio.create_task(gateway.feed.run())

    def stop(self, number: int) -> None:
        """Stop a gateway without notice to the others."""
        gateway = self.gateways[number]
        gateway.is_stopped = True
        self._tasks.pop(gateway.name).cancel()

    def remove_member(self, number: int) -> None:
        """Let the others remove a gateway from the membership."""
        name = self.gateways[number].name
        self.members = [m for m in self.members if m.process_id != name]

    def restart(self, number: int) -> None:
        """Start a gateway with an empty view; it ranks last among the others."""
        self.n_starts += 1
        self.remove_member(number)
        name = self.gateways[number].name
        gateway = Gateway(name, self)
        gateway.n_disconnects = self.gateways[number].n_disconnects
        self.gateways[number] = gateway
        self.by_port[number + 1] = gateway
        record = member(name, len(self.gateways) + self.n_starts)
        address = f"127.0.0.1:{number + 1}"
        self.members = [*self.members, replace(record, address=address)]
        self._run(gateway)

    async def activation_times_s(self, *, version: int) -> dict[str, float]:
        """Return the time in seconds until a table is active, for each gateway."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        times_s: dict[str, float] = {}
        while len(times_s) < len(self.gateways):
            assert loop.time() - began_s < 20.0
            await asyncio.sleep(STEP_S)
            for gateway in self.gateways:
                if gateway.version >= version:
                    times_s.setdefault(gateway.name, loop.time() - began_s)
        return times_s

    @contextmanager
    def reads(self) -> Iterator[Counter[str]]:
        """Yield a count of each gateway's reads, filled when the context exits."""
        before = self.n_reads.copy()
        counts: Counter[str] = Counter()
        yield counts
        counts.update(self.n_reads - before)


def _names(letter: str, n: int) -> list[str]:
    return [f"{letter}{number:03}" for number in range(n)]
