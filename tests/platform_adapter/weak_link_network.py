"""Gateways whose links have a rate, with the real client of the store, in virtual time.

Every byte that the store or a gateway sends to a host takes its share of that host's
link, also if nobody waits for it any more.
"""

import asyncio
import contextlib
import itertools
from collections import defaultdict
from collections.abc import AsyncIterator, Coroutine
from dataclasses import dataclass, replace
from types import SimpleNamespace
from typing import Any, Final, cast

import aiohttp
from adapter.store import StoreClient, decode_published
from aiohttp import web
from result import Err, Ok, Result

from trefoilpaddle.coordination.published.published_store import PublishedTable
from trefoilpaddle.coordination.published.store_feed import StoreFeed
from trefoilpaddle.coordination.published.store_readers import StoreReaders
from trefoilpaddle.coordination.published.store_relay import StoreRelay
from trefoilpaddle.protocol.frames import Message, encode
from trefoilpaddle.protocol.gen.stage.ttypes import Hello
from trefoilpaddle.standins.platform.site import configuration, entry, route
from trefoilpaddle.standins.platform.store import TABLE_KEY, PlatformStore
from trefoilpaddle.state.chain.workers import WorkerTable
from trefoilpaddle.transport.connection import Address

from ..chain.fakes import journal, process
from ..chain.test_chain_router import member

WEAK_LINK_BYTES_PER_S: Final = 625_000
STRONG_LINK_BYTES_PER_S: Final = 12_500_000
WEAK_MILLICORES: Final = 387
STRONG_MILLICORES: Final = 2150

PART_BYTES: Final = 16 * 1024
"""Bytes that pass a link at a time; transfers on one link take turns between parts."""

DELAY_S: Final = 0.001
STEP_S: Final = 0.01
N_WORKERS: Final = 60

HEARTBEAT_S: Final = 1.2
"""Seconds between two writes of a worker."""

MAX_ACTIVATION_S: Final = 20.0
"""Seconds after which a version that is not active everywhere is given up."""


class Pipe:
    """One direction of a host's link."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0
        self.n_bytes = 0

    def reserve(self, n_bytes: int) -> float:
        """Return when `n_bytes` that are sent now have passed."""
        now_s = asyncio.get_running_loop().time()
        self._free_s = max(now_s, self._free_s) + n_bytes / self._bytes_per_s
        self.n_bytes += n_bytes
        return self._free_s


async def transfer(n_bytes: int, *pipes: Pipe) -> AsyncIterator[tuple[int, int]]:
    """Yield the range of bytes of each part, once it has passed all pipes."""
    for begin in range(0, n_bytes, PART_BYTES):
        end = min(begin + PART_BYTES, n_bytes)
        passed_s = max(pipe.reserve(end - begin) for pipe in pipes)
        await asyncio.sleep(passed_s - asyncio.get_running_loop().time() + DELAY_S)
        yield begin, end


class Answer:
    """The store's answer to one request, as the HTTP library presents it."""

    def __init__(
        self,
        answered: Coroutine[Any, Any, web.Response],
        *,
        down: Pipe,
        delay_s: float,
        timeout: aiohttp.ClientTimeout,
    ) -> None:
        self._answered = answered
        self._body = b""
        self._down = down
        self._delay_s = delay_s
        self._timeout = timeout
        self._ends_s: float | None = None
        self.status = 0
        self.headers: dict[str, str] = {}

    @property
    def content(self) -> "Answer":
        return self

    async def __aenter__(self) -> "Answer":
        if self._timeout.total is not None:
            self._ends_s = asyncio.get_running_loop().time() + self._timeout.total
        try:
            async with self._limited():
                await asyncio.sleep(self._delay_s / 2)
                answer = await self._answered
                await asyncio.sleep(self._delay_s / 2)
        finally:
            self._answered.close()
        self._body = cast(bytes, answer.body or b"")
        self.status, self.headers = answer.status, dict(answer.headers)
        return self

    async def __aexit__(self, *_: object) -> None:
        return None

    async def iter_any(self) -> AsyncIterator[bytes]:
        parts = transfer(len(self._body), self._down)
        while True:
            try:
                async with self._limited():
                    begin, end = await anext(parts)
            except StopAsyncIteration:
                return
            yield self._body[begin:end]

    @contextlib.asynccontextmanager
    async def _limited(self) -> AsyncIterator[None]:
        """Limit a wait by the time of the request, and by the time between parts."""
        async with (
            asyncio.timeout_at(self._ends_s),
            asyncio.timeout(self._timeout.sock_read),
        ):
            yield


class Session:
    """Sends the requests of one gateway to the store."""

    def __init__(self, store: PlatformStore, down: Pipe, network: "Network") -> None:
        self._store = store
        self._down = down
        self._network = network

    def get(
        self, url: str, *, params: dict[str, str], timeout: aiohttp.ClientTimeout
    ) -> Answer:
        handlers = {
            "kv-range": self._store._range,
            "kv-watch": self._store._watch,
        }
        handler = handlers[url.rpartition("/")[2]]
        return Answer(
            handler(cast(web.Request, SimpleNamespace(query=params))),
            down=self._down,
            delay_s=self._network.store_delay_s,
            timeout=timeout,
        )


class PeerLink:
    """The connection from one gateway to another; each direction keeps its order."""

    def __init__(self, one: "Gateway", other: "Gateway") -> None:
        self._one = one
        self._other = other
        self._sending: dict[Gateway, asyncio.Lock] = defaultdict(asyncio.Lock)

    def send(self, message: Message) -> bool:
        async def deliver() -> None:
            await self._carry(message, self._one, self._other)
            self._other.receive(message)

        self._one.network.start_task(deliver())
        return True

    async def ask(self, message: Message, *, timeout_s: float) -> Result[Message, str]:
        replied: asyncio.Future[Message] = asyncio.get_running_loop().create_future()

        async def answer() -> None:
            await self._carry(message, self._one, self._other)
            reply = await self._other.respond(message)
            await self._carry(reply, self._other, self._one)
            if not replied.done():
                replied.set_result(reply)

        # What is on its way takes the link, also after the question has timed out.
        self._one.network.start_task(answer())
        try:
            async with asyncio.timeout(timeout_s):
                return Ok(await replied)
        except TimeoutError:
            return Err("no reply")

    async def _carry(
        self, message: Message, sender: "Gateway", receiver: "Gateway"
    ) -> None:
        async with self._sending[sender]:
            n_bytes = len(encode(message))
            async for _ in transfer(n_bytes, sender.up, receiver.down):
                pass


class Gateway:
    """One gateway's feed, on a host with a link of its own."""

    def __init__(self, number: int, network: "Network", *, is_weak: bool) -> None:
        rate = WEAK_LINK_BYTES_PER_S if is_weak else STRONG_LINK_BYTES_PER_S
        self.name = f"g{number:02}"
        self.network = network
        self.up, self.down = Pipe(rate), Pipe(rate)
        self.version = 0
        self.links: dict[int, PeerLink] = {}
        own: Any = process(self.name)
        own.peers = SimpleNamespace(link=self._link)
        self.process = own
        self.workers = WorkerTable()
        self.relay = StoreRelay(process=own, workers=self.workers)
        self.client = StoreClient(
            address="store:1",
            failure_domains=frozenset("a"),
            session=cast(
                aiohttp.ClientSession, Session(network.store, self.down, network)
            ),
        )
        self.feed = StoreFeed(
            store=self.client,
            workers=self.workers,
            on_table=self._activate,
            journal=journal(),
            relay=self.relay,
            readers=StoreReaders(process=own, live=lambda: network.members),
            query_peers=lambda: self.relay.query_peers(network.members, self.name),
            decode=decode_published,
        )

    def _activate(self, published: PublishedTable) -> None:
        self.version = published.table.version

    def _link(self, address: Address) -> PeerLink:
        other = self.network.gateways[address.port - 1]
        return self.links.setdefault(address.port, PeerLink(self, other))

    def receive(self, message: Message) -> None:
        for listener in self.process.message_listeners:
            listener(None, message)

    async def respond(self, message: Message) -> Message:
        handler = self.process.server._answerers[type(message)]
        return cast(Message, await handler(message, Hello()))

    def is_complete(self) -> bool:
        """Return True if it has a table and knows all workers."""
        return self.feed.is_known and len(self.workers.ids()) == N_WORKERS


@dataclass(frozen=True, slots=True, kw_only=True)
class Hosts:
    """How many gateways have strong and weak links."""

    n_strong: int
    n_weak: int


class Network:
    """A store and gateways that start at the same moment.

    Parameters
    ----------
    hosts : Hosts
        The hosts of the gateways.
    n_routes : int
        Routes of the first configuration.
    store_delay_s : float
        Time that the store takes for each answer.
    """

    def __init__(
        self, hosts: Hosts, *, n_routes: int, store_delay_s: float = 0.004
    ) -> None:
        self.store = PlatformStore()
        self.store_delay_s = store_delay_s
        self.version = 0
        self.publish(n_routes)
        for number in range(N_WORKERS):
            address = f"10.0.0.{number}:80"
            self.store.put(f"servers/w{number:02}", entry("stock", address))
        self.members = []
        self.gateways: list[Gateway] = []
        self._tasks: set[asyncio.Task[None]] = set()
        for number in range(hosts.n_strong + hosts.n_weak):
            is_weak = number >= hosts.n_strong
            self.gateways.append(Gateway(number, self, is_weak=is_weak))
            millicores = WEAK_MILLICORES if is_weak else STRONG_MILLICORES
            record = member(f"g{number:02}", number, millicores=millicores)
            self.members.append(replace(record, address=f"127.0.0.1:{number + 1}"))

    def publish(self, n_routes: int) -> int:
        """Publish a configuration of so many routes; return its version."""
        self.version += 1
        routes = [
            route(f"route{n * 7919 % 99991}", "idempotent", "stock")
            for n in range(n_routes)
        ]
        routes[0]["timeout_ms"] = 5000 + self.version
        self.store.put(TABLE_KEY, configuration(self.version, routes=routes))
        return self.version

    def n_table_bytes(self) -> int:
        """Return how many bytes of an answer of the store the configuration takes."""
        return len(self.store._items[TABLE_KEY]["value"])

    def start(self) -> None:
        """Start all gateways at once; they know nothing."""
        for gateway in self.gateways:
            self.start_task(gateway.feed.run())

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` until it ends, or the test does."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def late_gateways(self, version: int, *, within_s: float) -> list[str]:
        """Return the gateways where a version is not active within a time."""
        ends_s = asyncio.get_running_loop().time() + within_s
        while asyncio.get_running_loop().time() < ends_s:
            await asyncio.sleep(STEP_S)
            late = [g.name for g in self.gateways if g.version < version]
            if not late:
                break
        return late

    async def incomplete_gateways(self, *, within_s: float) -> list[str]:
        """Return the gateways that lack the table or workers after a time."""
        ends_s = asyncio.get_running_loop().time() + within_s
        while asyncio.get_running_loop().time() < ends_s:
            await asyncio.sleep(STEP_S)
            late = [g.name for g in self.gateways if not g.is_complete()]
            if not late:
                break
        return late

    async def activation_s(self, version: int) -> float:
        """Return the time in seconds until a version is active everywhere."""
        began_s = asyncio.get_running_loop().time()
        await self.late_gateways(version, within_s=MAX_ACTIVATION_S)
        return asyncio.get_running_loop().time() - began_s

    async def write_heartbeats(self) -> None:
        """Let the workers write their entries again and again, until cancelled."""
        for number in itertools.count():
            await asyncio.sleep(HEARTBEAT_S / N_WORKERS)
            place = number % N_WORKERS
            written = entry("stock", f"10.0.0.{place}:80") | {"sequence": number}
            self.store.put(f"servers/w{place:02}", written)
