"""Listens for HTTP connections and closes them without losing a request."""

import asyncio
import contextlib
import socket
import ssl
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from typing import Final

from absl import logging
from aiohttp import web

from .http_connection import (
    CLOSE_POLL_S,
    TOO_MANY_CONNECTIONS,
    ConnectionLimits,
    HttpConnection,
    RejectedConnection,
)
from .lingering import LingeringConnections
from .syn_filter import drop_new_connections

BACKLOG: Final = 1024
"""Connections that may wait to be accepted while the process is stalled."""

RECEIVE_BYTES: Final = 32 * 1024
"""Receive buffer of a connection; what it brings before its request is looked at.

The kernel takes twice as much.
"""

MAX_ACCEPTED: Final = 128
"""Connections that are accepted in one turn of the event loop."""

ACCEPT_RETRY_S: Final = 0.5
"""Seconds until connections are accepted again after that failed."""

HANDSHAKE_S: Final = 0.05
"""Time in seconds for handshakes that have begun when the listener closes.

A handshake takes a round trip.
"""

TLS_HANDSHAKE_S: Final = 1.0
"""Longest time in seconds for TLS handshakes that are open when the listener closes.

A handshake takes two round trips, and a lost packet is sent again within 0.4 s.
"""

MIN_CLOSE_POLLS: Final = 3
"""Polls in which what connections have brought is read before they are interrupted."""

CROWDED_SHARE: Final = 0.9
"""Share of the most connections from which on idle ones are closed."""

CLOSED_SHARE: Final = 0.1
"""Share of the idle connections that are closed at a time."""

IDLE_CLOSE_S: Final = 1.0
"""Seconds for which a connection must have been idle to be closed for others."""

LOOK_IDLE_S: Final = 0.05
"""Shortest time in seconds between two looks for idle connections."""

FULL_LOG_PERIOD_S: Final = 1.0

MAX_NAMED: Final = 8
"""Most different states of connections that one log line names."""

SHUTDOWN_S: Final = 0.1
"""Longest time in seconds for each step of interrupting the last handlers."""


def _always() -> bool:
    return True


def _handled(request: web.BaseRequest) -> str:
    return "handled"


class HttpListener:
    """Accepts connections for an HTTP server until it is closed.

    A connection is complete for its caller before this process accepts it, and an
    idle one may close while a request is on its way. In both cases the caller could
    not know whether its request has run. So the close accepts all connections, and
    sends `refusal` on those that have no request: a request under way reads it as its
    answer, which is true, and a caller that has sent nothing drops the connection.

    Parameters
    ----------
    http : web.Server
        Handles the requests.
    refusal : bytes
        Complete HTTP answer for callers whose requests cross the close.
    max_connections : int, optional
        Most open connections; more are answered with 503. Shortly before, those that
        have been idle longest are closed. By default, any number.
    tls : ssl.SSLContext, optional
        Server-side context; None for plain HTTP.
    admits : callable, optional
        Returns False if a new connection should be closed before anything is read from
        it, so that its caller can try another process at once.
    describe : callable, optional
        Returns what a request that is open at the end of the close was doing, as a
        short text for the log; one of a few.
    limits : callable, optional
        Returns the limits on what is sent on a connection; they may change meanwhile.

    Attributes
    ----------
    refusal : bytes
        As given; may change until the close.
    """

    __slots__ = (
        "_admits",
        "_describe",
        "_http",
        "_limits",
        "_lingering",
        "_look_idle_s",
        "_max_connections",
        "_opening",
        "_port",
        "_socket",
        "_tls",
        "refusal",
    )

    def __init__(
        self,
        *,
        http: web.Server,
        refusal: bytes,
        max_connections: int | None = None,
        tls: ssl.SSLContext | None = None,
        admits: Callable[[], bool] = _always,
        describe: Callable[[web.BaseRequest], str] = _handled,
        limits: Callable[[], ConnectionLimits] = ConnectionLimits,
    ) -> None:
        self._limits = limits
        self._admits = admits
        self._describe = describe
        self._http = http
        self.refusal = refusal
        self._max_connections = max_connections
        self._tls = tls
        self._lingering = LingeringConnections(most=max_connections)
        self._look_idle_s = 0.0
        self._port = 0
        self._socket: socket.socket | None = None
        self._opening: set[asyncio.Task[None]] = set()

    async def open(self, ip: str, port: int) -> int:
        """Listen at `ip` and `port`; return the port, which the kernel chooses for 0.

        Raises
        ------
        OSError
            If the port is held by another process.
        """
        family = socket.AF_INET6 if ":" in ip else socket.AF_INET
        self._socket = socket.create_server((ip, port), family=family, backlog=BACKLOG)
        self._socket.setblocking(False)
        self._resume_accepting()
        self._port = self._socket.getsockname()[1]
        return self._port

    async def close(self, *, until_s: float) -> None:
        """Accept what waits, close the listener, answer and end all connections.

        Returns early if all callers have closed their connections. Requests that are
        still open at the end stay open; `interrupt` ends them.

        Parameters
        ----------
        until_s : float
            Monotonic time in seconds until which to wait for open requests. What was
            sent just before is read and refused even if it has passed.
        """
        await self._stop_accepting(until_s)
        n_refused = self._refuse_idle()
        n_polls = 0
        while self._http.connections and (
            n_polls < MIN_CLOSE_POLLS or time.monotonic() < until_s
        ):
            await asyncio.sleep(CLOSE_POLL_S)
            n_polls += 1
            n_refused += self._refuse_idle()
        await self._lingering.wait_closed(until_s - time.monotonic())
        self._log_open()
        self._lingering.close_all()
        if n_refused:
            logging.info(
                "port %d is closed; %d connections without a request were refused, and"
                " something arrived on %d connections after their last answer",
                self._port,
                n_refused,
                self._lingering.n_discarded,
            )

    def _log_open(self) -> None:
        """Log what the connections that are about to be closed were doing."""
        doing = Counter(
            each.doing(self._describe)
            for each in self._http.connections
            if isinstance(each, HttpConnection)
        )
        for n_bytes in self._lingering.unsent_bytes():
            doing["last answer unsent" if n_bytes else "left open by its caller"] += 1
        if doing:
            logging.warning(
                "port %d closes %d open connections: %s; %d bytes unsent after last"
                " answers",
                self._port,
                doing.total(),
                ", ".join(f"{n} {text}" for text, n in doing.most_common(MAX_NAMED)),
                sum(self._lingering.unsent_bytes()),
            )

    async def interrupt(self) -> None:
        """Interrupt the requests that are still open."""
        await self._http.shutdown(SHUTDOWN_S)

    def _resume_accepting(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(self._socket, self._accept_new)

    def _accept_new(self) -> None:
        """Accept the connections that wait, and close those that are not admitted.

        The event loop's own server accepts one connection in each turn. In a process
        that lags the others would wait unseen until their callers have left.
        """
        listening = self._socket
        if listening is None:
            return
        try:
            for _ in range(MAX_ACCEPTED):
                connected, _ = listening.accept()
                if self._admits():
                    self._open_connection(connected)
                else:
                    connected.close()
        except BlockingIOError:
            pass
        except OSError as error:
            logging.warning("connections could not be accepted: %s", error)
            loop = asyncio.get_running_loop()
            loop.remove_reader(listening)
            loop.call_later(ACCEPT_RETRY_S, self._resume_accepting)

    def _open_connection(self, connected: socket.socket) -> None:
        connected.setblocking(False)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        opening = asyncio.create_task(self._connect(connected))
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)

    async def _connect(self, connected: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                self._new_protocol, connected, ssl=self._tls
            )
        except OSError as error:
            logging.warning("a connection could not be opened: %s", error)

    def _new_protocol(self) -> asyncio.Protocol:
        most = self._max_connections
        if most is not None:
            n_open = len(self._http._connections)
            if n_open >= CROWDED_SHARE * most:
                n_open -= self._close_longest_idle()
            if n_open >= most:
                return RejectedConnection(lingering=self._lingering)
        return HttpConnection(
            http=self._http,
            lingering=self._lingering,
            limits=self._limits,
        )

    def _close_longest_idle(self) -> int:
        """Close some of the connections that have long been without a request.

        A request that crosses the close was not read, and reads the refusal. It does
        nothing if it was called just before. The server counts the connections until
        their handlers have ended.

        Returns
        -------
        int
            Number of connections that were closed.
        """
        now_s = time.monotonic()
        if now_s < self._look_idle_s:
            return 0
        self._look_idle_s = now_s + LOOK_IDLE_S
        idle = [
            each
            for each in self._http.connections
            if isinstance(each, HttpConnection)
            and each.is_idle
            and now_s - each.used_s >= IDLE_CLOSE_S
        ]
        idle.sort(key=lambda each: each.used_s)
        closed = idle[: max(1, round(CLOSED_SHARE * len(idle)))]
        for connection in closed:
            connection.finish(TOO_MANY_CONNECTIONS)
        if idle:
            logging.log_every_n_seconds(
                logging.INFO,
                "port %d has %d connections, of %d at most; those that have been idle"
                " longest are closed",
                FULL_LOG_PERIOD_S,
                self._port,
                len(self._http._connections),
                self._max_connections,
            )
        return len(closed)

    async def _stop_accepting(self, until_s: float) -> None:
        """Close the listener once all connections that callers made are accepted."""
        listening = self._socket
        if listening is None:
            return
        if drop_new_connections(listening):
            left_s = until_s - time.monotonic()
            await asyncio.sleep(max(0.0, min(HANDSHAKE_S, left_s)))
        self._socket = None
        asyncio.get_running_loop().remove_reader(listening)
        # No iteration of the event loop may come between the last attempt to accept
        # and the close: what is accepted after it would be reset.
        self._accept_waiting(listening)
        listening.close()
        if self._opening and self._tls is None:
            # Without a handshake they open in the next iterations, however late it is.
            await asyncio.wait(self._opening)
        elif self._opening:
            left_s = until_s - time.monotonic()
            await asyncio.wait(
                self._opening, timeout=max(0.0, min(TLS_HANDSHAKE_S, left_s))
            )
            self._end_handshakes()

    def _end_handshakes(self) -> None:
        """Close the connections whose callers do not complete the TLS handshake."""
        for opening in self._opening:
            opening.cancel()
        if self._opening:
            logging.info(
                "port %d: %d TLS handshakes were not completed",
                self._port,
                len(self._opening),
            )

    def _accept_waiting(self, listening: socket.socket) -> None:
        try:
            while True:
                connected, _ = listening.accept()
                self._open_connection(connected)
        except BlockingIOError:
            pass
        except OSError as error:
            logging.warning("not all connections could be accepted: %s", error)

    def _refuse_idle(self) -> int:
        """Refuse what may be under way on idle connections; return their number."""
        idle = [
            each
            for each in self._http.connections
            if isinstance(each, HttpConnection) and each.is_idle
        ]
        for connection in idle:
            connection.finish(self.refusal)
        return len(idle)


@contextlib.asynccontextmanager
async def serving_http(
    *,
    http: web.Server,
    refusal: bytes,
    ip: str,
    port: int,
    close_timeout_s: Callable[[], float],
) -> AsyncIterator[int]:
    """Serve at `ip` and `port` while the context is open; yield the port.

    Parameters
    ----------
    http : web.Server
        Handles the requests.
    refusal : bytes
        Complete HTTP answer for callers whose requests cross the close.
    ip : str
        Address to listen on.
    port : int
        Port to listen on; 0 selects a free one.
    close_timeout_s : callable
        Returns the longest time in seconds for the close; called when it begins.
    """
    listener = HttpListener(http=http, refusal=refusal)
    bound_port = await listener.open(ip, port)
    try:
        yield bound_port
    finally:
        await listener.close(until_s=time.monotonic() + close_timeout_s())
        await listener.interrupt()
