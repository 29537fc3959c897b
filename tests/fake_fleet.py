"""Real peers in one event loop over loopback, with a network to partition."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from tests.fake_platform import FakePlatform
from trefoilpaddle.coordination.configuration.config_feed import ConfigFeed, config_feed
from trefoilpaddle.protocol.frames import Message
from trefoilpaddle.roles.process import Identity, Process
from trefoilpaddle.state.journal import Decision, Event, Journal
from trefoilpaddle.state.settings import LogFormat, PeerSettings
from trefoilpaddle.transport.connection import Address, Connection
from trefoilpaddle.transport.link import Link

Pair = frozenset[str]


@dataclass(kw_only=True)
class FakePeer:
    """A running process with its configuration feed and recorded decisions."""

    process: Process
    feed: ConfigFeed
    decisions: list[Decision]

    @property
    def name(self) -> str:
        return self.process.identity.process_id

    @property
    def revision(self) -> int:
        return self.process.published.catalogue.revision

    def events(self) -> set[Event]:
        return {decision.event for decision in self.decisions}


@dataclass(kw_only=True)
class Network:
    """Silently drops every frame between two sides of a partition."""

    side_of: Callable[[str], object] = field(default=lambda name: 0)
    names: dict[Address, str] = field(default_factory=dict)

    def is_partitioned(self, one: str, other: str) -> bool:
        return self.side_of(one) != self.side_of(other)

    def heal(self) -> None:
        self.side_of = lambda name: 0

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        write, open_link = Connection.write, Link._open

        def partitioned_write(
            own: Connection, message: Message, *, call: int = 0
        ) -> bool:
            if self.is_partitioned(
                own.own.process_id, own.peer.process_id or own.own.process_id
            ):
                return True
            return write(own, message, call=call)

        @contextlib.asynccontextmanager
        async def partitioned_open(link: Link) -> AsyncIterator[Connection | None]:
            own = link._own_hello().process_id
            if self.is_partitioned(own, self.names.get(link.address, own)):
                yield None
                return
            async with open_link(link) as connection:
                yield connection

        monkeypatch.setattr(Connection, "write", partitioned_write)
        monkeypatch.setattr(Link, "_open", partitioned_open)


class FakeFleet:
    """Starts and stops peers that use one platform."""

    def __init__(self, *, platform: FakePlatform, network: Network) -> None:
        self.platform = platform
        self.network = network
        self.peers: dict[str, FakePeer] = {}
        self._stops: dict[str, contextlib.AsyncExitStack] = {}

    def seeds(self) -> tuple[str, ...]:
        return tuple(
            str(peer.process.server.address) for peer in list(self.peers.values())[:3]
        )

    async def start(
        self,
        host: str,
        *,
        failure_domain: str = "d1",
        seeds: tuple[str, ...] | None = None,
        **settings: Any,
    ) -> FakePeer:
        """Start a gateway with `seeds`, by default the first three running peers."""
        stack = contextlib.AsyncExitStack()
        journal = Journal(process_id=host, n_records=9, format=LogFormat.KEY_VALUE)
        decisions: list[Decision] = []
        journal.subscribe(decisions.append)
        identity = Identity(
            process_id=f"{host}-gateway",
            incarnation=len(self._stops) + 1,
            role="gateway",
            failure_domain=failure_domain,
            region="r1",
        )
        process = Process(
            identity=identity, listen=Address(ip="127.0.0.1", port=0), journal=journal
        )
        await stack.enter_async_context(process.server.listening())
        self.network.names[process.server.address] = identity.process_id
        await stack.enter_async_context(process.peers.open())
        feed = await stack.enter_async_context(
            config_feed(
                process=process,
                platform=self.platform.settings(**settings),
                peers=PeerSettings(seeds=self.seeds() if seeds is None else seeds),
                start_wait_s=3.0,
            )
        )
        peer = FakePeer(process=process, feed=feed, decisions=decisions)
        self.peers[peer.name] = peer
        self._stops[peer.name] = stack
        return peer

    async def stop(self, name: str) -> None:
        """Stop a peer at once, without announcing to the others that it leaves."""
        del self.peers[name]
        await self._stops[name].aclose()

    async def stop_all(self) -> None:
        await asyncio.gather(*(self.stop(name) for name in list(self.peers)))

    def is_settled(self) -> bool:
        """Return True if all peers hold the same versions and catalogue."""
        states = {
            (peer.revision, peer.feed.state.items.digest)
            for peer in self.peers.values()
        }
        return len(states) == 1


@contextlib.asynccontextmanager
async def fake_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[FakeFleet]:
    """Yield an empty fleet with a running platform; stop all peers at the end."""
    network = Network()
    network.install(monkeypatch)
    async with FakePlatform().serving() as platform:
        fleet = FakeFleet(platform=platform, network=network)
        try:
            yield fleet
        finally:
            await fleet.stop_all()
