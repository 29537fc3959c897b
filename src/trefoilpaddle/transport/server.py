"""The listening side: accepts peers, replies to requests, delivers messages."""

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
"""With this many connections or more, heartbeats are sent half as often."""
MAX_OPEN_QUERIES: Final = 256
"""Most requests of one connection that are handled at a time."""
ANSWER_TIMEOUT_S: Final = 10.0
"""Longest time in seconds for a reply, unless its handler has its own timeout."""

QueryHandler = Callable[[Any, Hello], Awaitable[Message]]
OnMessage = Callable[[Connection, Message], None]
OnChange = Callable[[Connection], None]


class PeerServer:
    """Listens for peers on one port.

    Parameters
    ----------
    address : Address
        Where to listen; with port 0 the kernel assigns a port and `address` has it.
    own_hello : callable
        Returns the current hello message of this process.
    own_heartbeat : callable
        Returns the heartbeat to send now.
    on_message : callable, optional
        Called with each message that expects no reply; must not block.
    on_open, on_close : callable, optional
        Called with each connection after the hellos, and after it has ended.
    tls : ssl.SSLContext, optional
        Server-side context; None for plain TCP.
    close_timeout_s : callable, optional
        Returns the longest time in seconds for a step of the close; called when
        the step begins.
    """

    __slots__ = (
        "_answerers",
        "_awaiting_hello",
        "_close_timeout_s",
        "_is_closed",
        "_is_closing",
        "_on_close",
        "_on_message",
        "_on_open",
        "_open_queries",
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
        self._open_queries: set[asyncio.Task[None]] = set()
        self._awaiting_hello: set[Connection] = set()
        self._is_closing = False
        self._is_closed = False
        self.connections: set[Connection] = set()

    def add_handler(
        self,
        request_type: type,
        handler: QueryHandler,
        *,
        timeout_s: float | None = None,
    ) -> None:
        """Register the handler of the requests of type `request_type`.

        Parameters
        ----------
        request_type : type
            Type of the request.
        handler : callable
            Called with the request and the peer's hello; returns the reply.
        timeout_s : float, optional
            Longest time in seconds for a reply; `ANSWER_TIMEOUT_S` by default.
        """
        self._answerers[request_type] = handler
        if timeout_s is not None:
            self._timeouts_s[request_type] = timeout_s

    @contextlib.asynccontextmanager
    async def listening(self) -> AsyncIterator["PeerServer"]:
        """Listen while the context is open, then close all connections.

        Open requests are answered before their connections close, including those
        that peers sent before they were notified of the close.

        Raises
        ------
        OSError
            If the port is held by another process.
        """
        self._is_closing = False
        self._is_closed = False
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
                await self._answer_remaining()
        self._is_closed = True
        for connection in list(self._awaiting_hello):
            connection.abort()
        timeout_s = self._close_timeout_s()
        await asyncio.gather(
            *(each.close(timeout_s=timeout_s) for each in list(self.connections))
        )
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=self._close_timeout_s())

    async def _answer_remaining(self) -> None:
        """Wait until all requests that peers have sent are answered.

        A request that is dropped here would turn a known outcome ("that attempt did
        not run") into "unknown" at the peer, whose caller would then wait until its
        deadline. A peer that has just received the hello of this process may have
        sent a request directly after its own hello.
        """
        for connection in self.connections:
            connection.request_close()
        connections = (*self.connections, *self._awaiting_hello)
        await asyncio.gather(*(each.all_received.wait() for each in connections))
        if self._open_queries:
            await asyncio.wait(self._open_queries)

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
            if self._has_capacity():
                await self._exchange_hello_and_serve(connection)
            else:
                logging.warning(
                    "%s refused: too many connections, or this process is closing",
                    connection.peer_name,
                )
        finally:
            connection.abort()
            self._tasks.discard(task)

    def _has_capacity(self) -> bool:
        # Connections without a hello count too: each occupies a socket, and any
        # client can open them.
        n_open = len(self.connections) + len(self._awaiting_hello)
        return n_open < MAX_CONNECTIONS and not self._is_closing

    async def _exchange_hello_and_serve(self, connection: Connection) -> None:
        self._awaiting_hello.add(connection)
        try:
            hello = await connection.exchange_hello()
        finally:
            self._awaiting_hello.discard(connection)
        match hello:
            case Ok(_):
                if not self._is_closed:
                    await self._serve(connection)
            case Err(error):
                logging.warning("%s: %s", error.peer, error.detail)

    async def _serve(self, connection: Connection) -> None:
        queries: set[asyncio.Task[None]] = set()
        heartbeats = asyncio.create_task(
            connection.keep_alive(self._own_heartbeat, self._heartbeat_ticks)
        )
        self.connections.add(connection)
        if self._is_closing:
            connection.request_close()
        self._notify(self._on_open, connection)
        try:
            async for frame in connection.frames():
                await self._dispatch(connection, frame, queries)
        finally:
            heartbeats.cancel()
            for task in queries:
                task.cancel()
            self.connections.discard(connection)
            self._notify(self._on_close, connection)

    def _heartbeat_ticks(self) -> int:
        """Return the heartbeat period as a multiple of ``HEARTBEAT_S``.

        Even the longer one fits twice into ``UNRESPONSIVE_AFTER_S``.
        """
        return 1 if len(self.connections) < SLOW_HEARTBEAT_CONNECTIONS else 2

    def _notify(self, listener: OnChange | None, connection: Connection) -> None:
        # An error in a listener must not leak the connection.
        if listener is None:
            return
        try:
            listener(connection)
        except Exception:
            logging.exception(
                "the listener failed on a change of the connection to %s",
                connection.peer_name,
            )

    async def _dispatch(
        self, connection: Connection, frame: Frame, queries: set[asyncio.Task[None]]
    ) -> None:
        if frame.call == 0:
            self._deliver(connection, frame.message)
            return
        # A peer that sends requests without waiting for replies would otherwise
        # accumulate tasks here. At the bound, only its own connection waits.
        while len(queries) >= MAX_OPEN_QUERIES:
            await asyncio.wait(queries, return_when=asyncio.FIRST_COMPLETED)
        task = asyncio.create_task(self._answer(connection, frame))
        for tasks in (queries, self._open_queries):
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    def _deliver(self, connection: Connection, message: Message) -> None:
        # An error while handling the frame of one attempt must not disconnect the
        # other attempts that share the connection.
        if self._on_message is None:
            return
        try:
            self._on_message(connection, message)
        except Exception:
            logging.exception(
                "handling %s from %s failed",
                type(message).__name__,
                connection.peer_name,
            )

    async def _answer(self, connection: Connection, frame: Frame) -> None:
        request_type = type(frame.message)
        handler = self._answerers.get(request_type)
        if handler is None:
            logging.warning(
                "%s sent %s, which this role does not handle",
                connection.peer_name,
                request_type.__name__,
            )
            return
        # A handler that waits for a process that has exited must time out: with
        # MAX_OPEN_QUERIES of them, the connection would never be read again.
        try:
            timeout_s = self._timeouts_s.get(request_type, ANSWER_TIMEOUT_S)
            async with asyncio.timeout(timeout_s):
                reply = await handler(frame.message, connection.peer)
            connection.write(reply, call=frame.call)
        except Exception:
            logging.exception(
                "answering %s from %s failed",
                request_type.__name__,
                connection.peer_name,
            )
