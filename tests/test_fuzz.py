"""Hostile bytes on the peer port: no crash, no memory growth, no effect on others."""

import asyncio
import contextlib
import struct
from collections.abc import Iterator
from typing import Any

import psutil
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from thrift.Thrift import TType

from tests.peer_helpers import hello_of, link_to, raw_peer, server_of
from trefoilpaddle.protocol.const import MAX_ITEMS
from trefoilpaddle.protocol.frames import HEADER, KIND_OF, KINDS, Message, encode
from trefoilpaddle.protocol.gen.membership.ttypes import Gossip
from trefoilpaddle.protocol.gen.stage.ttypes import Bar, BarAnswer, Hello, Start
from trefoilpaddle.protocol.reader import FrameReader
from trefoilpaddle.transport.connection import Connection
from trefoilpaddle.transport.link import Link
from trefoilpaddle.transport.server import PeerServer

MEGABYTE = 1024 * 1024
MAX_GROWTH_BYTES = 64 * MEGABYTE

INTEGERS = {
    TType.I32: st.sampled_from([0, 1, -1, 2**31 - 1, -(2**31)]),
    TType.I64: st.sampled_from([0, 1, -1, 2**63 - 1, -(2**63)]),
}
NUMBERS = st.sampled_from([0.0, -1.0, 1e308, -1e308, float("inf"), float("nan")])
TEXTS = st.sampled_from(["", "x", "\0", "ä" * 40, "../..", "x" * 5000])
OCTETS = st.sampled_from([b"", b"\0", b"a" * 16, b"\xff" * 17, bytes(5000)])


def values(ttype: int, args: Any) -> st.SearchStrategy[Any]:
    """Return extreme values of one thrift type."""
    match ttype:
        case TType.BOOL:
            return st.booleans()
        case TType.DOUBLE:
            return NUMBERS
        case TType.STRING:
            return OCTETS if args == "BINARY" else TEXTS
        case TType.STRUCT:
            return st.none() | messages(args[0])
        case TType.LIST:
            items = values(args[0], args[1]).filter(lambda item: item is not None)
            return st.lists(items, max_size=3)
        case _:
            return INTEGERS[ttype]


def messages(cls: type) -> st.SearchStrategy[Message]:
    """Return messages of one kind; each field has an independent extreme value."""
    spec: Any = cls.thrift_spec  # type: ignore[attr-defined]
    fields = {field[2]: values(field[1], field[3]) for field in spec if field}
    return st.builds(cls, **fields)


ABSURD = st.one_of([messages(cls) for cls in KINDS.values()])


class Attack:
    """A live server with one well-behaved peer; hostile peers can connect."""

    def __init__(self, runner: asyncio.Runner, server: PeerServer, link: Link) -> None:
        self._runner = runner
        self._server = server
        self._link = link

    def send(self, data: bytes, *, is_greeted: bool) -> None:
        """Send `data` on a new connection; the other peer must not be affected."""
        self._runner.run(self._send(data, is_greeted))

    async def _send(self, data: bytes, is_greeted: bool) -> None:
        connection = self._link.connection
        async with raw_peer(self._server.address) as peer:
            if is_greeted:
                peer.send(hello_of("hostile")())
            peer.writer.write(data)
            with contextlib.suppress(OSError):
                await peer.writer.drain()
                peer.writer.write_eof()
            answer = await self._link.ask(Bar(attempt_id=b"good"), timeout_s=20)
            assert answer.unwrap() == BarAnswer(attempt_id=b"good")
            await peer.wait_closed()
        assert self._link.connection is connection


async def answer_bar(request: Bar, peer: Hello) -> BarAnswer:
    return BarAnswer(attempt_id=request.attempt_id)


def unvalidated(connection: Connection, message: Message) -> None:
    """Use a message without validation, so that extreme fields raise."""
    if isinstance(message, Start):
        _ = 1 / len(message.request_id) + message.predicted_s


@pytest.fixture
def attack() -> Iterator[Attack]:
    with asyncio.Runner() as runner:
        stack = contextlib.AsyncExitStack()

        async def enter() -> Attack:
            server = server_of(on_message=unvalidated)
            server.add_handler(Bar, answer_bar)
            await stack.enter_async_context(server.listening())
            link = await stack.enter_async_context(link_to(server.address))
            await link.opened.wait()
            return Attack(runner, server, link)

        before_bytes = psutil.Process().memory_info().rss
        yield runner.run(enter())
        runner.run(stack.aclose())
        grown_bytes = psutil.Process().memory_info().rss - before_bytes
        assert grown_bytes < MAX_GROWTH_BYTES


class TestServerPort:
    def test_random_bytes(self, attack: Attack) -> None:
        @settings(max_examples=60)
        @given(data=st.binary(max_size=300), is_greeted=st.booleans())
        def check(data: bytes, is_greeted: bool) -> None:
            attack.send(data, is_greeted=is_greeted)

        check()

    def test_valid_frames_with_absurd_fields(self, attack: Attack) -> None:
        @settings(max_examples=150)
        @given(message=ABSURD, call=st.sampled_from([0, 1, 2**32 - 1]))
        def check(message: Message, call: int) -> None:
            attack.send(encode(message, call=call), is_greeted=True)

        check()

    def test_truncated_frames(self, attack: Attack) -> None:
        @settings(max_examples=40)
        @given(message=ABSURD, cut=st.integers(min_value=1, max_value=40))
        def check(message: Message, cut: int) -> None:
            attack.send(encode(message)[:-cut], is_greeted=True)

        check()

    def test_lengths_out_of_bounds(self, attack: Attack) -> None:
        @settings(max_examples=20)
        @given(n_bytes=st.sampled_from([0, 1, 4, 2**21 + 1, 2**31, 2**32 - 1]))
        def check(n_bytes: int) -> None:
            head = HEADER.pack(n_bytes, KIND_OF[Bar], 1)
            attack.send(head + bytes(200_000), is_greeted=True)

        check()

    def test_many_requests_without_a_handler(self, attack: Attack) -> None:
        request = encode(Start(), call=7)
        attack.send(request * 5000, is_greeted=True)


class TestFrameReader:
    def test_a_small_frame_cannot_exhaust_the_memory(self) -> None:
        # Two megabytes of empty list items became 1.2 GB of objects and blocked the
        # process for 10 s. Each item takes one byte on the wire.
        n_items = 2_000_000
        count = bytearray()
        rest = n_items
        while rest > 127:
            count.append(rest & 127 | 128)
            rest >>= 7
        count.append(rest)
        body = b"\x29\xfc" + bytes(count) + bytes(n_items + 1)
        frame = struct.pack(">IBI", 5 + len(body), KIND_OF[Gossip], 0) + body
        assert n_items > MAX_ITEMS
        assert FrameReader().feed(frame).is_err()

    def test_deep_nesting_is_refused(self) -> None:
        # Each byte opens another struct. A decoder that recursed into it would
        # overflow the stack and crash the process.
        body = b"\xfc" * 1_000_000
        frame = struct.pack(">IBI", 5 + len(body), KIND_OF[Gossip], 0) + body
        assert FrameReader().feed(frame).is_err()

    @given(message=ABSURD)
    def test_absurd_messages_are_read_back(self, message: Message) -> None:
        frames = FrameReader().feed(encode(message)).unwrap()
        assert type(frames[0].message) is type(message)
