"""A link to one peer: dials, says hello, reconnects, asks and is answered."""

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

N_DIALLER_TICKS: Final = 4
"""The dialling side beats this much less often; nobody judges it by that."""

OnMessage = Callable[["Link", Message], None]


class Link:
    """The dialling side of a connection to `address`, kept open.

    Parameters
    ----------
    address : Address
        Where the peer listens.
    own_hello : callable
        Returns what this process says of itself now.
    own_heartbeat : callable
        Returns the heartbeat to send now.
    on_message : callable
        Takes each message that answers no question; must not block.
    on_change : callable, optional
        Called with the link after each connect and each loss.
    tls : ssl.SSLContext, optional
        Client side context; None speaks plain TCP.
    close_timeout_s : callable, optional
        Returns how long the close may take, when it is begun.
    """

    __slots__ = (
        "_calls",
        "_close_timeout_s",
        "_hurried",
        "_is_stopping",
        "_numbers",
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
        self._numbers = itertools.count()
        self._is_stopping = False
        self._calls: dict[int, asyncio.Future[Message]] = {}
        self._task: asyncio.Task[None] | None = None
        self.connection: Connection | None = None
        self.opened = asyncio.Event()
        self._hurried = asyncio.Event()
        self.last_used_s = time.monotonic()

    @property
    def peer(self) -> Hello | None:
        """The peer's last hello on the present connection, if there is one."""
        return self.connection.peer if self.connection else None

    def is_responsive(self) -> bool:
        """Return True if the peer spoke within ``UNRESPONSIVE_AFTER_S``.

        Guards against sending work to a peer that is paused or cut off while
        its connection still looks open: TCP reports neither.
        """
        if self.connection is None:
            return False
        return time.monotonic() - self.connection.last_received_s < UNRESPONSIVE_AFTER_S

    def can_send(self) -> bool:
        """Return True if what is sent now goes out, to a peer that is heard.

        A peer that closes is heard until it has answered all; nothing new is sent.
        """
        connection = self.connection
        return self.is_responsive() and not (connection and connection.is_closing())

    def is_idle(self, idle_s: float) -> bool:
        """Return True if only heartbeats passed for `idle_s` seconds."""
        return not self._calls and time.monotonic() - self.last_used_s > idle_s

    def dial_now(self) -> None:
        """Dial now instead of waiting; others say that the peer is there."""
        self._hurried.set()

    def reset(self) -> None:
        """Break the present connection; the link dials again at once.

        What the peer sent on it and is not read yet is lost, and the link is
        not heard until the peer has said hello anew: after a pause, frames in
        the socket's buffer are old and would pass for fresh ones.
        """
        if self.connection is not None:
            self.connection.abort()
            self._set(None)

    def send(self, message: Message) -> bool:
        """Send a message that expects no reply; return False if not connected."""
        self.last_used_s = time.monotonic()
        return self.connection is not None and self.connection.write(message)

    async def ask(
        self, message: Message, *, timeout_s: float
    ) -> Result[Message, PeerError]:
        """Send `message` and return its reply, or the step that failed.

        Waiting for a connection counts towards `timeout_s`.
        """
        self.last_used_s = time.monotonic()
        ends_s = asyncio.get_running_loop().time() + timeout_s
        connection = await self._connected(ends_s)
        if connection is None or connection.is_closing():
            return self._error("connect", "no connection", is_sent=False)
        number = next(self._numbers) % MAX_CALL + 1
        answer: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._calls[number] = answer
        try:
            if not connection.write(message, call=number):
                return self._error("send", "connection closed", is_sent=True)
            async with asyncio.timeout_at(ends_s):
                return Ok(await answer)
        except TimeoutError:
            return self._error("wait", f"no reply in {timeout_s:g} s", is_sent=True)
        except ConnectionError as error:
            return self._error("wait", str(error), is_sent=True)
        finally:
            self._calls.pop(number, None)

    async def _connected(self, ends_s: float) -> Connection | None:
        if self.connection is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(ends_s):
                    await self.opened.wait()
        return self.connection

    def start(self) -> None:
        """Begin dialling; the link then keeps itself open until `stop`."""
        if self._task is None:
            self._task = asyncio.create_task(self._run(), name=f"link {self.address}")

    async def stop(self) -> None:
        """Send what is queued, close the connection and end the link's task."""
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
        self._hurried.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._hurried.wait()

    @contextlib.asynccontextmanager
    async def _open(self) -> AsyncIterator[Connection | None]:
        """Yield a connection with hellos exchanged, or None; close it after."""
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
                    self._set(connection)
                    yield connection
                case Err(error):
                    logging.warning("%s: %s", error.peer, error.detail)
                    yield None
        finally:
            self._set(None)
            if self._is_stopping:
                await connection.close(timeout_s=self._close_timeout_s())
            connection.abort()

    def _set(self, connection: Connection | None) -> None:
        was = self.connection
        self.connection = connection
        if connection is not None:
            self.opened.set()
        else:
            self.opened.clear()
            self._fail_calls()
        if self._on_change is not None and was is not connection:
            self._tell_change(self._on_change)

    def _tell_change(self, on_change: "Callable[[Link], None]") -> None:
        # A listener's fault must neither leak the connection nor stop the link.
        try:
            on_change(self)
        except Exception:
            logging.exception("a listener failed on a change of %s", self.address)

    def _fail_calls(self) -> None:
        for answer in self._calls.values():
            if not answer.done():
                answer.set_exception(ConnectionError("connection lost"))

    async def _serve(self, connection: Connection) -> None:
        beats = asyncio.create_task(
            connection.keep_alive(self._own_heartbeat, lambda: N_DIALLER_TICKS)
        )
        try:
            async for frame in connection.frames():
                if self.connection is not connection:
                    return
                self._take(frame)
        finally:
            beats.cancel()

    def _take(self, frame: Frame) -> None:
        if not isinstance(frame.message, Heartbeat):
            self.last_used_s = time.monotonic()
        if frame.call == 0:
            self._deliver(frame.message)
            return
        answer = self._calls.get(frame.call)
        if answer is not None and not answer.done():
            answer.set_result(frame.message)

    def _deliver(self, message: Message) -> None:
        # A fault in handling one attempt's frame must not cut off the other
        # attempts that share the connection.
        try:
            self._on_message(self, message)
        except Exception:
            logging.exception(
                "%s from %s was not handled", type(message).__name__, self.address
            )

    def _error(self, step: str, detail: str, *, is_sent: bool) -> Err[PeerError]:
        return Err(
            PeerError(step=step, peer=str(self.address), detail=detail, is_sent=is_sent)
        )


def _backoff_after(connection: Connection, opened_s: float, backoff_s: float) -> float:
    """Return the wait after a connection that was open since `opened_s`.

    Only one that lasted starts the wait anew: a peer that says hello and
    closes, again and again, would otherwise be dialled without any pause.
    """
    lasted_s = connection.last_received_s - opened_s
    return BACKOFF_MIN_S if lasted_s > BACKOFF_MAX_S else backoff_s
