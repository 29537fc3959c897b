"""The listening side: accepts peers, answers questions, hands on messages."""

import asyncio
import contextlib
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

from absl import logging
from result import Err, Ok

from ..protocol.frames import Frame, Message
from ..protocol.gen.stage.ttypes import Heartbeat, Hello
from .connection import CLOSE_TIMEOUT_S, Address, Connection

MAX_CONNECTIONS: Final = 2000
SLOW_HEARTBEAT_CONNECTIONS: Final = 24
"""From so many connections on, heartbeats go out half as often."""
MAX_OPEN_QUERIES: Final = 256
ANSWER_TIMEOUT_S: Final = 10.0
"""Longest time that an answer may take, unless its question says otherwise."""

QueryHandler = Callable[[Any, Hello], Awaitable[Message]]
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
    close_timeout_s : callable, optional
        Returns how long each step of the close may take, when it is begun.
    """

    __slots__ = (
        "_answerers",
        "_asks",
        "_close_timeout_s",
        "_greeting",
        "_is_closing",
        "_is_over",
        "_on_close",
        "_on_message",
        "_on_open",
        "_own_heartbeat",
        "_own_hello",
        "_server",
        "_tasks",
        "_timeouts_s",
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
        close_timeout_s: Callable[[], float] = lambda: CLOSE_TIMEOUT_S,
    ) -> None:
        self.address = address
        self._close_timeout_s = close_timeout_s
        self._own_hello = own_hello
        self._own_heartbeat = own_heartbeat
        self._on_message = on_message
        self._on_open = on_open
        self._on_close = on_close
        self._tls = tls
        self._answerers: dict[type, QueryHandler] = {}
        self._timeouts_s: dict[type, float] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._asks: set[asyncio.Task[None]] = set()
        self._greeting: set[Connection] = set()
        self._is_closing = False
        self._is_over = False
        self.connections: set[Connection] = set()

    def add_handler(
        self, question: type, answerer: QueryHandler, *, timeout_s: float | None = None
    ) -> None:
        """Answer messages of type `question` with what `answerer` returns.

        Parameters
        ----------
        question : type
            Message that expects a reply.
        answerer : callable
            Returns the reply.
        timeout_s : float, optional
            Longest time that it may take; `ANSWER_TIMEOUT_S` if not given.
        """
        self._answerers[question] = answerer
        if timeout_s is not None:
            self._timeouts_s[question] = timeout_s

    @contextlib.asynccontextmanager
    async def listening(self) -> AsyncIterator["PeerServer"]:
        """Listen while the context is open, then close all connections.

        Open questions are answered before their connections close, and so is what
        peers sent before they heard of the close.

        Raises
        ------
        OSError
            If the port is held by another process.
        """
        self._is_closing = False
        self._is_over = False
        self._server = await asyncio.start_server(
            self._accept, self.address.ip, self.address.port, ssl=self._tls
        )
        if self.address.port == 0:
            port = self._server.sockets[0].getsockname()[1]
            self.address = Address(ip=self.address.ip, port=port)
        try:
            yield self
        finally:
            self._is_closing = True
            self._server.close()
            await self._close_connections()

    async def _close_connections(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._close_timeout_s()):
                await self._answer_last()
        self._is_over = True
        for connection in list(self._greeting):
            connection.abort()
        timeout_s = self._close_timeout_s()
        await asyncio.gather(
            *(each.close(timeout_s=timeout_s) for each in list(self.connections))
        )
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=self._close_timeout_s())

    async def _answer_last(self) -> None:
        """Return once all that peers have sent is answered.

        What is dropped here would turn a known answer ("that attempt did not run")
        into "unknown" at the peer, whose caller then waits for its deadline. A peer
        that has just had this side's hello may have sent something behind its own.
        """
        for connection in self.connections:
            connection.request_close()
        connections = (*self.connections, *self._greeting)
        await asyncio.gather(*(each.all_received.wait() for each in connections))
        if self._asks:
            await asyncio.wait(self._asks)

    def broadcast(self, message: Message) -> None:
        """Send `message` to every connected peer."""
        for connection in list(self.connections):
            connection.write(message)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader=reader, writer=writer, own=self._own_hello())
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            if self._has_room():
                await self._greet_and_serve(connection)
            else:
                logging.warning("%s refused: too many", connection.peer_name)
        finally:
            connection.abort()
            self._tasks.discard(task)

    def _has_room(self) -> bool:
        # Connections that have not said hello count too: they hold a socket
        # each, and anyone can open them.
        n_open = len(self.connections) + len(self._greeting)
        return n_open < MAX_CONNECTIONS and not self._is_closing

    async def _greet_and_serve(self, connection: Connection) -> None:
        self._greeting.add(connection)
        try:
            hello = await connection.exchange_hello()
        finally:
            self._greeting.discard(connection)
        match hello:
            case Ok(_):
                if not self._is_over:
                    await self._serve(connection)
            case Err(error):
                logging.warning("%s: %s", error.peer, error.detail)

    async def _serve(self, connection: Connection) -> None:
        asks: set[asyncio.Task[None]] = set()
        beats = asyncio.create_task(
            connection.keep_alive(self._own_heartbeat, self._n_ticks)
        )
        self.connections.add(connection)
        if self._is_closing:
            connection.request_close()
        self._tell(self._on_open, connection)
        try:
            async for frame in connection.frames():
                await self._take(connection, frame, asks)
        finally:
            beats.cancel()
            for task in asks:
                task.cancel()
            self.connections.discard(connection)
            self._tell(self._on_close, connection)

    def _n_ticks(self) -> int:
        """Return the ticks between heartbeats; two fit into a peer's silence."""
        return 1 if len(self.connections) < SLOW_HEARTBEAT_CONNECTIONS else 2

    def _tell(self, listener: OnChange | None, connection: Connection) -> None:
        # A listener's fault must not leak the connection.
        if listener is None:
            return
        try:
            listener(connection)
        except Exception:
            logging.exception("a listener failed on %s", connection.peer_name)

    async def _take(
        self, connection: Connection, frame: Frame, asks: set[asyncio.Task[None]]
    ) -> None:
        if frame.call == 0:
            self._deliver(connection, frame.message)
            return
        # A peer that asks without waiting for replies would otherwise pile up
        # tasks here; past the bound its own connection waits, no other does.
        while len(asks) >= MAX_OPEN_QUERIES:
            await asyncio.wait(asks, return_when=asyncio.FIRST_COMPLETED)
        task = asyncio.create_task(self._answer(connection, frame))
        for open_asks in (asks, self._asks):
            open_asks.add(task)
            task.add_done_callback(open_asks.discard)

    def _deliver(self, connection: Connection, message: Message) -> None:
        # A fault in handling one attempt's frame must not cut off the other
        # attempts that share the connection.
        if self._on_message is None:
            return
        try:
            self._on_message(connection, message)
        except Exception:
            logging.exception(
                "%s from %s was not handled",
                type(message).__name__,
                connection.peer_name,
            )

    async def _answer(self, connection: Connection, frame: Frame) -> None:
        question = type(frame.message)
        answerer = self._answerers.get(question)
        if answerer is None:
            logging.warning(
                "%s asked %s, which this role does not answer",
                connection.peer_name,
                question.__name__,
            )
            return
        # An answer that waits on a process that is gone must end: past
        # MAX_OPEN_QUERIES such answers the connection would never be read again.
        try:
            timeout_s = self._timeouts_s.get(question, ANSWER_TIMEOUT_S)
            async with asyncio.timeout(timeout_s):
                reply = await answerer(frame.message, connection.peer)
            connection.write(reply, call=frame.call)
        except Exception:
            logging.exception(
                "%s from %s was not answered", question.__name__, connection.peer_name
            )
