"""A link to one peer: dials, exchanges hellos, reconnects, sends requests."""

import asyncio
import contextlib
import itertools
import random
import ssl
import time
from collections.abc import AsyncIterator, Callable
from typing import Final

from absl import logging
from result import Err, Ok, Result

from ..protocol.const import UNRESPONSIVE_AFTER_S
from ..protocol.errors import PeerError
from ..protocol.frames import Frame, Message
from ..protocol.gen.stage.ttypes import Heartbeat, Hello
from .connection import CLOSE_TIMEOUT_S, Address, Connection

CONNECT_TIMEOUT_S: Final = 1.0
BACKOFF_MIN_S: Final = 0.05
BACKOFF_MAX_S: Final = 1.0
MAX_CALL: Final = (1 << 32) - 1

DIALLER_HEARTBEAT_TICKS: Final = 4
"""Heartbeat period of the dialling side, as a multiple of ``HEARTBEAT_S``.

It is longer than that of the listening side, because no process decides whether to
send work by the heartbeats of a dialling side.
"""

OnMessage = Callable[["Link", Message], None]


class Link:
    """The dialling side of a connection to `address`, kept open.

    Parameters
    ----------
    address : Address
        Where the peer listens.
    own_hello : callable
        Returns the current hello message of this process.
    own_heartbeat : callable
        Returns the heartbeat to send now.
    on_message : callable
        Called with each message that is not a reply; must not block.
    on_change : callable, optional
        Called with the link after each connect and each disconnect.
    tls : ssl.SSLContext, optional
        Client-side context; None for plain TCP.
    close_timeout_s : callable, optional
        Returns the longest time in seconds for the close; called when it begins.

    Attributes
    ----------
    connection : Connection or None
        The open connection, after the exchange of hellos.
    opened : asyncio.Event
        Set while there is an open connection.
    last_used_s : float
        Monotonic time in seconds of the last message other than a heartbeat.
    """

    __slots__ = (
        "_call_numbers",
        "_calls",
        "_close_timeout_s",
        "_dial_requested",
        "_is_stopping",
        "_on_change",
        "_on_message",
        "_own_heartbeat",
        "_own_hello",
        "_task",
        "_tls",
        "address",
        "connection",
        "last_used_s",
        "opened",
    )

    def __init__(
        self,
        *,
        address: Address,
        own_hello: Callable[[], Hello],
        own_heartbeat: Callable[[], Heartbeat],
        on_message: OnMessage,
        on_change: "Callable[[Link], None] | None" = None,
        tls: ssl.SSLContext | None = None,
        close_timeout_s: Callable[[], float] = lambda: CLOSE_TIMEOUT_S,
    ) -> None:
        self._close_timeout_s = close_timeout_s
        self.address = address
        self._own_hello = own_hello
        self._own_heartbeat = own_heartbeat
        self._on_message = on_message
        self._on_change = on_change
        self._tls = tls
        self._call_numbers = itertools.count()
        self._is_stopping = False
        self._calls: dict[int, asyncio.Future[Message]] = {}
        self._task: asyncio.Task[None] | None = None
        self.connection: Connection | None = None
        self.opened = asyncio.Event()
        self._dial_requested = asyncio.Event()
        self.last_used_s = time.monotonic()

    @property
    def peer(self) -> Hello | None:
        """The peer's hello on the open connection; None without a connection."""
        return self.connection.peer if self.connection else None

    def is_responsive(self) -> bool:
        """Return True if data arrived within the last ``UNRESPONSIVE_AFTER_S``.

        Guards against sending work to a peer that is paused or partitioned while
        its connection still looks open: TCP reports neither.
        """
        if self.connection is None:
            return False
        return time.monotonic() - self.connection.last_received_s < UNRESPONSIVE_AFTER_S

    def can_send(self) -> bool:
        """Return True if the peer is responsive and the connection accepts messages.

        A closing peer stays responsive until it has sent all replies, but nothing
        new is sent to it.
        """
        connection = self.connection
        return self.is_responsive() and not (connection and connection.is_closing())

    def is_idle(self, idle_s: float) -> bool:
        """Return True if only heartbeats were exchanged for `idle_s` seconds."""
        return not self._calls and time.monotonic() - self.last_used_s > idle_s

    def dial_now(self) -> None:
        """Skip the back-off, because other processes report that the peer is live."""
        self._dial_requested.set()

    def reset(self) -> None:
        """Abort the open connection; the link then dials again.

        Unread data of the peer is discarded, and the link is unresponsive until
        hellos are exchanged on a new connection: after a pause of this process,
        frames in the socket's buffer are old and would be taken for current ones.
        """
        if self.connection is not None:
            self.connection.abort()
            self._set_connection(None)

    def send(self, message: Message) -> bool:
        """Send a message that expects no reply; return False if it cannot be sent."""
        self.last_used_s = time.monotonic()
        return self.connection is not None and self.connection.write(message)

    async def ask(
        self, message: Message, *, timeout_s: float
    ) -> Result[Message, PeerError]:
        """Send `message` and return its reply, or the step that failed.

        Parameters
        ----------
        message : Message
            The request.
        timeout_s : float
            Longest time in seconds; includes the wait for a connection.
        """
        self.last_used_s = time.monotonic()
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        connection = await self._connected(deadline_s)
        if connection is None or connection.is_closing():
            return self._error("connect", "no connection", is_sent=False)
        call_number = next(self._call_numbers) % MAX_CALL + 1
        reply: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._calls[call_number] = reply
        try:
            if not connection.write(message, call=call_number):
                return self._error("send", "connection closed", is_sent=True)
            async with asyncio.timeout_at(deadline_s):
                return Ok(await reply)
        except TimeoutError:
            return self._error("wait", f"no reply in {timeout_s:g} s", is_sent=True)
        except ConnectionError as error:
            return self._error("wait", str(error), is_sent=True)
        finally:
            self._calls.pop(call_number, None)

    async def _connected(self, deadline_s: float) -> Connection | None:
        if self.connection is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline_s):
                    await self.opened.wait()
        return self.connection

    def start(self) -> None:
        """Start dialling; the link reconnects until `stop` is called."""
        if self._task is None:
            self._task = asyncio.create_task(self._run(), name=f"link {self.address}")

    async def stop(self) -> None:
        """Send what is queued, close the connection and stop reconnecting."""
        if self._task is None:
            return
        self._is_stopping = True
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None
        self._is_stopping = False

    async def _run(self) -> None:
        backoff_s = BACKOFF_MIN_S
        while True:
            try:
                async with self._open() as connection:
                    if connection is not None:
                        opened_s = time.monotonic()
                        await self._serve(connection)
                        backoff_s = _backoff_after(connection, opened_s, backoff_s)
            except Exception:
                logging.exception("link to %s failed", self.address)
            await self._wait(backoff_s * random.uniform(0.5, 1.5))
            backoff_s = min(BACKOFF_MAX_S, 2 * backoff_s)

    async def _wait(self, wait_s: float) -> None:
        self._dial_requested.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._dial_requested.wait()

    @contextlib.asynccontextmanager
    async def _open(self) -> AsyncIterator[Connection | None]:
        """Yield a connection after the hellos, or None; close it on exit."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self.address.ip, self.address.port, ssl=self._tls
                )
        except ssl.SSLError as refusal:
            logging.warning("%s: %s", self.address, refusal)
            yield None
            return
        except OSError:
            yield None
            return
        connection = Connection(reader=reader, writer=writer, own=self._own_hello())
        try:
            match await connection.exchange_hello():
                case Ok(_):
                    self._set_connection(connection)
                    yield connection
                case Err(error):
                    logging.warning("%s: %s", error.peer, error.detail)
                    yield None
        finally:
            self._set_connection(None)
            if self._is_stopping:
                await connection.close(timeout_s=self._close_timeout_s())
            connection.abort()

    def _set_connection(self, connection: Connection | None) -> None:
        previous = self.connection
        self.connection = connection
        if connection is not None:
            self.opened.set()
        else:
            self.opened.clear()
            self._fail_calls()
        if self._on_change is not None and previous is not connection:
            self._notify_change(self._on_change)

    def _notify_change(self, on_change: "Callable[[Link], None]") -> None:
        # An error in a listener must not leak the connection or stop the link.
        try:
            on_change(self)
        except Exception:
            logging.exception(
                "the listener failed on a state change of the link to %s", self.address
            )

    def _fail_calls(self) -> None:
        for reply in self._calls.values():
            if not reply.done():
                reply.set_exception(ConnectionError("connection lost"))

    async def _serve(self, connection: Connection) -> None:
        heartbeats = asyncio.create_task(
            connection.keep_alive(self._own_heartbeat, lambda: DIALLER_HEARTBEAT_TICKS)
        )
        try:
            async for frame in connection.frames():
                if self.connection is not connection:
                    return
                self._dispatch(frame)
        finally:
            heartbeats.cancel()

    def _dispatch(self, frame: Frame) -> None:
        if not isinstance(frame.message, Heartbeat):
            self.last_used_s = time.monotonic()
        if frame.call == 0:
            self._deliver(frame.message)
            return
        reply = self._calls.get(frame.call)
        if reply is not None and not reply.done():
            reply.set_result(frame.message)

    def _deliver(self, message: Message) -> None:
        # An error while handling the frame of one attempt must not disconnect the
        # other attempts that share the connection.
        try:
            self._on_message(self, message)
        except Exception:
            logging.exception(
                "handling %s from %s failed", type(message).__name__, self.address
            )

    def _error(self, step: str, detail: str, *, is_sent: bool) -> Err[PeerError]:
        return Err(
            PeerError(step=step, peer=str(self.address), detail=detail, is_sent=is_sent)
        )


def _backoff_after(connection: Connection, opened_s: float, backoff_s: float) -> float:
    """Return the back-off in seconds after a connection that opened at `opened_s`.

    The back-off is reset only after a connection that lasted longer than
    ``BACKOFF_MAX_S``: a peer that repeatedly exchanges hellos and closes would
    otherwise be dialled at the shortest interval.
    """
    lasted_s = connection.last_received_s - opened_s
    return BACKOFF_MIN_S if lasted_s > BACKOFF_MAX_S else backoff_s
