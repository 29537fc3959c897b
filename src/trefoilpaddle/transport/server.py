"""The listening side: accepts peers, answers questions, hands on messages."""

import asyncio
import contextlib
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

from absl import logging
from result import Err, Ok

from ..protocol.const import HEARTBEAT_S
from ..protocol.frames import Frame, Message
from ..protocol.gen.stage.ttypes import Heartbeat, Hello
from .connection import Address, Connection

MAX_CONNECTIONS: Final = 2000
MAX_OPEN_ASKS: Final = 256

Answerer = Callable[[Any, Hello], Awaitable[Message]]
OnMessage = Callable[[Connection, Message], None]
OnChange = Callable[[Connection], None]


class PeerServer:
    """Listens for peers on one port.

    Parameters
    ----------
    address : Address
        Where to listen; with port 0 the kernel chooses one and `address` tells it.
    own_hello : callable
        Returns what this process says of itself now.
    own_heartbeat : callable
        Returns the heartbeat to send now.
    on_message : callable, optional
        Takes each message that expects no reply; must not block.
    on_open, on_close : callable, optional
        Called with each connection as it comes and goes.
    tls : ssl.SSLContext, optional
        Server side context; None speaks plain TCP.
    """

    __slots__ = (
        "_answerers",
        "_on_close",
        "_on_message",
        "_on_open",
        "_own_heartbeat",
        "_own_hello",
        "_server",
        "_tls",
        "address",
        "connections",
    )

    def __init__(
        self,
        *,
        address: Address,
        own_hello: Callable[[], Hello],
        own_heartbeat: Callable[[], Heartbeat],
        on_message: OnMessage | None = None,
        on_open: OnChange | None = None,
        on_close: OnChange | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.address = address
        self._own_hello = own_hello
        self._own_heartbeat = own_heartbeat
        self._on_message = on_message
        self._on_open = on_open
        self._on_close = on_close
        self._tls = tls
        self._answerers: dict[type, Answerer] = {}
        self._server: asyncio.Server | None = None
        self.connections: set[Connection] = set()

    def answer(self, question: type, answerer: Answerer) -> None:
        """Answer messages of type `question` with what `answerer` returns."""
        self._answerers[question] = answerer

    @contextlib.asynccontextmanager
    async def listening(self) -> AsyncIterator["PeerServer"]:
        """Listen while the context is open, then close all connections.

        Raises
        ------
        OSError
            If the port is held by another process.
        """
        self._server = await asyncio.start_server(
            self._accept, self.address.ip, self.address.port, ssl=self._tls
        )
        if self.address.port == 0:
            port = self._server.sockets[0].getsockname()[1]
            self.address = Address(ip=self.address.ip, port=port)
        try:
            yield self
        finally:
            self._server.close()
            for connection in list(self.connections):
                await connection.close()

    def broadcast(self, message: Message) -> None:
        """Send `message` to every connected peer."""
        for connection in list(self.connections):
            connection.write(message)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader=reader, writer=writer, own=self._own_hello())
        if len(self.connections) >= MAX_CONNECTIONS:
            connection.abort()
            return
        match await connection.exchange_hello():
            case Ok(_):
                await self._serve(connection)
            case Err(error):
                logging.warning("%s: %s", error.peer, error.detail)
        connection.abort()

    async def _serve(self, connection: Connection) -> None:
        self.connections.add(connection)
        if self._on_open is not None:
            self._on_open(connection)
        asks: set[asyncio.Task[None]] = set()
        beats = asyncio.create_task(self._beat(connection))
        try:
            async for frame in connection.frames():
                await self._take(connection, frame, asks)
        finally:
            beats.cancel()
            for task in asks:
                task.cancel()
            self.connections.discard(connection)
            if self._on_close is not None:
                self._on_close(connection)

    async def _beat(self, connection: Connection) -> None:
        is_open = True
        while is_open:
            is_open = connection.write(self._own_heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    async def _take(
        self, connection: Connection, frame: Frame, asks: set[asyncio.Task[None]]
    ) -> None:
        if frame.call == 0:
            if self._on_message is not None:
                self._on_message(connection, frame.message)
            return
        # A peer that asks without waiting for replies would otherwise pile up
        # tasks here; past the bound its own connection waits, no other does.
        while len(asks) >= MAX_OPEN_ASKS:
            await asyncio.wait(asks, return_when=asyncio.FIRST_COMPLETED)
        task = asyncio.create_task(self._answer(connection, frame))
        asks.add(task)
        task.add_done_callback(asks.discard)

    async def _answer(self, connection: Connection, frame: Frame) -> None:
        answerer = self._answerers.get(type(frame.message))
        if answerer is None:
            logging.warning(
                "%s asked %s, which this role does not answer",
                connection.peer_name,
                type(frame.message).__name__,
            )
            return
        try:
            reply = await answerer(frame.message, connection.peer)
        except Exception:
            logging.exception("answering %s failed", connection.peer_name)
            return
        connection.write(reply, call=frame.call)
