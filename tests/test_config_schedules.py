"""Random schedules of changes, deliveries, losses and restarts."""

import asyncio
import copy
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result

from trefoilpaddle.coordination.configuration.config_peers import ConfigPeers
from trefoilpaddle.coordination.configuration.config_state import ConfigState
from trefoilpaddle.coordination.members.membership import Membership
from trefoilpaddle.coordination.own_process import OwnProcess
from trefoilpaddle.protocol.errors import PeerError
from trefoilpaddle.protocol.frames import Message
from trefoilpaddle.protocol.gen.config.ttypes import ConfigDelta
from trefoilpaddle.protocol.gen.stage.ttypes import BarAnswer, Hello
from trefoilpaddle.state.catalogue_build import CatalogueBuilder
from trefoilpaddle.state.config_items import PublishedItem, Version
from trefoilpaddle.state.journal import Journal
from trefoilpaddle.state.published import Published
from trefoilpaddle.state.settings import LogFormat
from trefoilpaddle.transport.link import Link

N_PROCESSES = 3
HELLO = Hello(process_id="peer")
VALUES: dict[str, list[object]] = {
    "service/a": [{"kind": "pool"}, {"kind": "plain"}, {"kind": "?"}, None],
    "service/b": [{"kind": "pool"}, None],
    "pipeline/p": [
        {"stages": [{"name": "s", "service": "a", "path": "/s"}]},
        {"stages": [{"name": "s", "service": "b", "path": "/s"}]},
        {"stages": []},
        None,
    ],
    "entry/e": [
        {
            "owner": "o",
            "class_of_work": "c",
            "pipelines": ["p"],
            "accounts": [],
            "weight": weight,
        }
        for weight in (1, 2, -1)
    ],
}


class Service:
    """The configuration service; can also return an older state."""

    def __init__(self) -> None:
        self.log: list[PublishedItem] = []

    def publish(self, key: str, value: object) -> None:
        data = None if value is None else orjson.dumps(value)
        version = Version(revision=len(self.log) + 1, value=data)
        self.log.append(PublishedItem(key=key, version=version))

    def read(self, state: ConfigState, *, n_stale: int) -> None:
        revision = max(0, len(self.log) - n_stale)
        known = state.items.revision
        last = {item.key: item for item in self.log[known:revision]}
        state.apply(last.values(), revision=revision, source="service")

    def newest_at(self, revision: int) -> dict[str, int]:
        """Return the revision of each key's newest version up to a revision."""
        return {item.key: item.version.revision for item in self.log[:revision]}


def newest_of(node: "Node") -> dict[str, int]:
    keys = node.state.items.keys
    return {key: at.newest.revision for key, at in keys.items()}


@dataclass
class Node:
    """A process that has only the real configuration state and exchange."""

    state: ConfigState
    peers: ConfigPeers
    published: Published
    outbox: list[ConfigDelta] = field(default_factory=list)


def new_node() -> Node:
    published = Published()
    journal = Journal(process_id="p", n_records=1, format=LogFormat.KEY_VALUE)
    state = ConfigState(published=published, journal=journal)
    outbox: list[ConfigDelta] = []
    child = SimpleNamespace(peer=Hello(process_id="child"), send=outbox.append)
    process = SimpleNamespace(
        published=published,
        journal=journal,
        server=SimpleNamespace(add_handler=lambda question, answerer: None),
        message_listeners=[],
        link_listeners=[],
        peers=SimpleNamespace(links={}),
    )
    membership = SimpleNamespace(child_links=lambda: [child])
    peers = ConfigPeers(
        process=cast(OwnProcess, process),
        state=state,
        membership=cast(Membership, membership),
    )
    return Node(state=state, peers=peers, published=published, outbox=outbox)


@dataclass
class FakeLink:
    """Fake link to `node` on which a response can be lost."""

    node: Node
    is_lossy: bool = False
    peer: Hello = field(default_factory=lambda: HELLO)

    async def ask(
        self, message: Any, *, timeout_s: float
    ) -> Result[Message, PeerError]:
        if self.is_lossy:
            return Err(PeerError(step="wait", peer="p", detail="lost", is_sent=True))
        return Ok(await self.node.peers.answer(message, HELLO))


async def pull(node: Node, other: Node, *, is_lossy: bool = False) -> bool:
    return await node.peers.pull(cast(Link, FakeLink(other, is_lossy)))


numbers = st.integers(0, N_PROCESSES - 1)
publications = st.sampled_from(sorted(VALUES)).flatmap(
    lambda key: st.tuples(st.just(key), st.sampled_from(VALUES[key]))
)
steps = st.one_of(
    st.tuples(st.just("publish"), publications),
    st.tuples(st.just("read"), st.tuples(numbers, st.integers(0, 3))),
    st.tuples(st.just("pull"), st.tuples(numbers, numbers, st.booleans())),
    st.tuples(st.just("deliver"), st.tuples(numbers, st.integers(0, 9))),
    st.tuples(st.just("restart"), st.tuples(numbers, numbers)),
)


async def apply_step(kind: str, args: Any, nodes: list[Node], service: Service) -> None:
    match kind:
        case "publish":
            service.publish(*args)
        case "read":
            service.read(nodes[args[0]].state, n_stale=args[1])
        case "pull" if args[0] != args[1]:
            await pull(nodes[args[0]], nodes[args[1]], is_lossy=args[2])
        case "deliver" if any(node.outbox for node in nodes):
            sent = [delta for node in nodes for delta in node.outbox]
            delta = sent[args[1] % len(sent)]
            nodes[args[0]].peers._apply_push(delta, "peer")
        case "restart" if args[0] != args[1]:
            nodes[args[0]] = new_node()
            await pull(nodes[args[0]], nodes[args[1]])
            service.read(nodes[args[0]].state, n_stale=2)


async def run(schedule: list[tuple[str, Any]]) -> None:
    service = Service()
    nodes = [new_node() for _ in range(N_PROCESSES)]
    for kind, args in schedule:
        before = [(node, node.published.catalogue.revision) for node in nodes]
        await apply_step(kind, args, nodes, service)
        for node, revision in before:
            assert node.published.catalogue.revision >= revision
        for node in nodes:
            assert newest_of(node) == service.newest_at(node.state.items.revision)
            rebuilt = CatalogueBuilder().activate(copy.deepcopy(node.state.items))
            assert rebuilt.catalogue == node.published.catalogue
            assert rebuilt.held_back == node.state.held_back
        if kind == "restart":
            known = nodes[args[1]].published.catalogue.revision
            assert nodes[args[0]].published.catalogue.revision >= known
    service.read(nodes[0].state, n_stale=0)
    for _ in range(2):
        for node in nodes:
            for other in nodes:
                if other is not node:
                    assert await pull(node, other)
    catalogues = [node.published.catalogue for node in nodes]
    assert all(catalogue == catalogues[0] for catalogue in catalogues)
    assert catalogues[0].revision == len(service.log)
    assert len({node.state.items.digest for node in nodes}) == 1
    assert len({node.state.held_back for node in nodes}) == 1


class TestSchedules:
    @given(schedule=st.lists(steps, min_size=30, max_size=60))
    @settings(max_examples=150)
    def test_revisions_never_decrease_and_all_processes_converge(
        self, schedule: list[tuple[str, Any]]
    ) -> None:
        # Operators change and delete values that depend on each other while messages
        # are lost, delayed or duplicated, the service returns an older state, and
        # processes restart. After a failure two gateways would use different entries
        # permanently, or a change would be reverted.
        asyncio.run(run(schedule))


class TestFaultyPeer:
    async def test_response_of_unexpected_type_fails_the_pull(self) -> None:
        # A peer responds to a request for configuration with a message of another
        # type, as to one for members in tests/test_membership.py. The exception
        # ended the requesting process.
        async def ask(message: Any, *, timeout_s: float) -> Result[Message, PeerError]:
            return Ok(BarAnswer())

        link = SimpleNamespace(peer=HELLO, address="p", ask=ask)
        assert not await new_node().peers.pull(cast(Link, link))
