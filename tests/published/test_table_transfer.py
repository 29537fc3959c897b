"""Tables that gateways send one another in compressed parts."""

import random
import zlib
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
from result import Err, Ok, Result

from trefoilpaddle.coordination.published.published_store import PublishedTable
from trefoilpaddle.coordination.published.table_transfer import (
    MAX_TABLE_BYTES,
    PART_BYTES,
    PackedTable,
    TableTransfer,
)
from trefoilpaddle.protocol.checksum import checksum
from trefoilpaddle.protocol.gen.chain.ttypes import TablePart, TablePull
from trefoilpaddle.protocol.gen.stage.ttypes import Hello
from trefoilpaddle.state.chain.routes import RouteTable
from trefoilpaddle.transport.connection import Address

from ..chain.fakes import process

Change = Callable[[TablePart], TablePart | None]


def incompressible(version: int) -> PublishedTable:
    """Return a table that takes several parts even if it is compressed."""
    data = random.Random(version).randbytes(3 * PART_BYTES)
    return PublishedTable(table=RouteTable(version=version), data=data)


def intact(part: TablePart) -> TablePart | None:
    return part


class Peer:
    """A gateway that has a table; `change` alters, or loses, what it sends."""

    def __init__(self, published: PublishedTable | None, change: Change) -> None:
        self.published = published
        self.change = change
        self.n_parts = 0
        self.transfer = TableTransfer(
            process=process("peer"), published=lambda: self.published
        )

    async def ask(
        self, message: TablePull, *, timeout_s: float
    ) -> Result[TablePart, str]:
        self.n_parts += 1
        part = self.change(await self.transfer.respond(message, Hello()))
        return Err("lost") if part is None else Ok(part)


def receiver(*peers: Peer) -> TableTransfer:
    """Return the transfer of a gateway without a table that knows these peers."""
    own: Any = process("own")
    own.peers = SimpleNamespace(link=lambda address: peers[address.port])
    transfer = TableTransfer(process=own, published=lambda: None)
    for port, peer in enumerate(peers):
        version = 0 if peer.published is None else peer.published.table.version
        transfer.add_holder(Address(ip="127.0.0.1", port=port), version)
    return transfer


def after(n_parts: int, change: Change) -> Change:
    """Return a change that applies from a number of parts on."""
    sent: list[TablePart] = []

    def changed(part: TablePart) -> TablePart | None:
        sent.append(part)
        return part if len(sent) <= n_parts else change(part)

    return changed


class TestParts:
    async def test_a_table_arrives_whole(self) -> None:
        peer = Peer(incompressible(7), intact)
        data = await receiver(peer).fetch_newer(3)
        assert data == incompressible(7).data

    async def test_parts_that_have_arrived_are_not_sent_again(self) -> None:
        # Guards against a transfer that begins anew at each fault of a peer.
        first = Peer(incompressible(7), after(2, lambda part: None))
        second = Peer(incompressible(7), intact)
        assert await receiver(first, second).fetch_newer(3) == first.published.data  # type: ignore[union-attr]
        assert second.n_parts == 2

    async def test_a_newer_table_replaces_one_that_is_under_way(self) -> None:
        peer = Peer(incompressible(7), intact)

        def publish(part: TablePart) -> TablePart:
            peer.published = incompressible(8)
            return part

        peer.change = after(1, publish)
        assert await receiver(peer).fetch_newer(3) == incompressible(8).data

    async def test_a_peer_that_compresses_differently_sends_all_parts(self) -> None:
        first = Peer(incompressible(7), after(1, lambda part: None))
        second = Peer(incompressible(7), intact)
        other = zlib.compress(incompressible(7).data, 0)
        second.transfer._packed = PackedTable(
            version=7, data=other, checksum=checksum(other)
        )
        assert await receiver(first, second).fetch_newer(3) == incompressible(7).data

    async def test_an_older_table_is_not_requested(self) -> None:
        peer = Peer(incompressible(7), intact)
        assert await receiver(peer).fetch_newer(7) is None
        assert peer.n_parts == 0

    async def test_a_peer_is_not_asked_again_for_a_table_that_it_has_sent(self) -> None:
        # Guards against a table that cannot be decoded and is sent again and again.
        peer = Peer(incompressible(7), intact)
        transfer = receiver(peer)
        assert await transfer.fetch_newer(3) is not None
        n_parts = peer.n_parts
        assert await transfer.fetch_newer(3) is None
        assert peer.n_parts == n_parts


class TestFaultyPeers:
    @pytest.mark.parametrize(
        "fault",
        [
            {"data": b""},
            {"data": b"x" * PART_BYTES},
            {"version": 0},
            {"from_byte": 5},
            {"n_bytes": 10},
            {"n_bytes": MAX_TABLE_BYTES + 1},
            {"checksum": 1},
        ],
    )
    @pytest.mark.parametrize("n_parts", [0, 1])
    async def test_another_peer_is_asked(
        self, fault: dict[str, Any], n_parts: int
    ) -> None:
        def damaged(part: TablePart) -> TablePart:
            for name, value in fault.items():
                setattr(part, name, value)
            return part

        faulty = Peer(incompressible(7), after(n_parts, damaged))
        sound = Peer(incompressible(7), intact)
        assert await receiver(faulty, sound).fetch_newer(3) == incompressible(7).data

    async def test_a_table_that_unpacks_to_too_much_is_refused(self) -> None:
        large = PublishedTable(
            table=RouteTable(version=7), data=bytes(MAX_TABLE_BYTES + 1)
        )
        assert await receiver(Peer(large, intact)).fetch_newer(3) is None

    async def test_peers_without_a_table_are_not_asked_for_ever(self) -> None:
        assert await receiver(Peer(None, intact)).fetch_newer(3) is None


class TestRequests:
    @pytest.mark.parametrize("from_byte", [-1, 2**31 - 1])
    async def test_a_range_outside_the_table_gets_its_beginning(
        self, from_byte: int
    ) -> None:
        peer = Peer(incompressible(7), intact)
        request = TablePull(version=7, from_byte=from_byte)
        part = await peer.transfer.respond(request, Hello())
        assert part.from_byte == 0
        assert len(part.data) == PART_BYTES
