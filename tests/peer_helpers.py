"""Helpers of the transport tests: hello messages, servers, links and raw peers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from result import Ok

from trefoilpaddle.protocol.const import PROTOCOL_VERSION
from trefoilpaddle.protocol.frames import Frame, Message, encode
from trefoilpaddle.protocol.gen.stage.ttypes import (
    Bar,
    BarAnswer,
    Heartbeat,
    Hello,
    Load,
)
from trefoilpaddle.protocol.reader import FrameReader
from trefoilpaddle.transport.connection import Address
from trefoilpaddle.transport.link import Link
from trefoilpaddle.transport.server import PeerServer

WAIT_CAP_S = 20.0


def hello_of(process_id: str, *, incarnation: int = 1) -> Callable[[], Hello]:
    """Return a function that creates the hello message of a test process."""
    return lambda: Hello(
        version=PROTOCOL_VERSION,
        process_id=process_id,
        incarnation=incarnation,
        role="sidecar",
    )


def heartbeat() -> Heartbeat:
    """Return a heartbeat with minimal load data."""
    return Heartbeat(load=Load(n_slots=1))


def server_of(**options: Any) -> PeerServer:
    """Return a server on a port that the kernel selects."""
    options.setdefault("address", Address(ip="127.0.0.1", port=0))
    options.setdefault("own_hello", hello_of("server", incarnation=10))
    options.setdefault("own_heartbeat", heartbeat)
    return PeerServer(**options)


@contextlib.asynccontextmanager
async def link_to(address: Address, **options: Any) -> AsyncIterator[Link]:
    """Yield a started link; stop it at the end."""
    options.setdefault("own_hello", hello_of("client", incarnation=20))
    options.setdefault("own_heartbeat", heartbeat)
    options.setdefault("on_message", lambda link, message: None)
    link = Link(address=address, **options)
    link.start()
    try:
        yield link
    finally:
        await link.stop()


class RawPeer:
    """A peer that sends only the messages that a test passes to it."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self._frames = FrameReader()

    def send(self, message: Message, *, call: int = 0) -> None:
        self.writer.write(encode(message, call=call))

    async def receive(self) -> list[Frame]:
        """Return the next frames; an empty list if the other side has closed."""
        try:
            data = await self.reader.read(1 << 16)
        except OSError:
            return []
        match self._frames.feed(data):
            case Ok(frames):
                return frames
            case error:
                raise AssertionError(error)

    async def wait_closed(self) -> None:
        """Return once the other side has closed the connection."""
        async with asyncio.timeout(WAIT_CAP_S):
            with contextlib.suppress(OSError):
                while await self.reader.read(1 << 16):
                    pass


async def answer_to(peer: RawPeer, *, call: int) -> Message | None:
    """Return the response to a call; None if the other side closes before it."""
    async with asyncio.timeout(WAIT_CAP_S):
        while frames := await peer.receive():
            for frame in frames:
                if frame.call == call:
                    return frame.message
    return None


@contextlib.asynccontextmanager
async def raw_peer(address: Address) -> AsyncIterator[RawPeer]:
    """Yield a raw peer that is connected to `address`."""
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    try:
        yield RawPeer(reader, writer)
    finally:
        writer.transport.abort()


@contextlib.asynccontextmanager
async def raw_listener(
    serve: Callable[[RawPeer], Awaitable[None]],
) -> AsyncIterator[Address]:
    """Yield the address at which `serve` handles each connection."""
    tasks: set[asyncio.Task[None]] = set()

    async def accept(r: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            await serve(RawPeer(r, w))
        finally:
            w.transport.abort()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield Address(ip="127.0.0.1", port=port)
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def echo(request: Bar, peer: Hello) -> BarAnswer:
    """Respond to a request with the attempt id that it contains."""
    return BarAnswer(attempt_id=request.attempt_id)
