"""Listens for HTTP connections and closes them without losing a request."""

import asyncio
import contextlib
import math
import socket
import ssl
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Mapping
from http import HTTPStatus
from typing import Final

from absl import logging
from aiohttp import StreamReader, web

from .lingering import LingeringConnections
from .syn_filter import drop_new_connections

BACKLOG: Final = 1024
"""Connections that may wait to be accepted while the process is stalled."""

RECEIVE_BYTES: Final = 64 * 1024
"""Receive buffer of a connection; what it brings before its request is looked at."""

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

CROWDED_SHARE: Final = 0.9
"""Share of the most connections from which on idle ones are closed."""

CLOSED_SHARE: Final = 0.1
"""Share of the idle connections that are closed at a time."""

IDLE_CLOSE_S: Final = 1.0
"""Seconds for which a connection must have been idle to be closed for others."""

LOOK_IDLE_S: Final = 0.05
"""Shortest time in seconds between two looks for idle connections."""

FULL_LOG_PERIOD_S: Final = 1.0

CLOSE_POLL_S: Final = 0.005
"""Period in seconds of the check for connections that have become idle at the close."""

MAX_NAMED: Final = 8
"""Most different states of connections that one log line names."""

SHUTDOWN_S: Final = 0.1
"""Longest time in seconds for each step of interrupting the last handlers."""


MAX_AHEAD: Final = 1024
"""Most requests that are read on a connection before the first of them is answered.

The library stops reading long before; this holds whatever its version does.
"""

MAX_OVERHEAD_BYTES: Final = 256 * 1024
"""Bytes in a row that neither complete the head of a request nor are of its body."""


def raw_answer(status: HTTPStatus, headers: Mapping[str, str], body: bytes) -> bytes:
    """Return the bytes of an answer after which the connection closes."""
    fields = {
        **headers,
        "Content-Length": str(len(body)),
        "Connection": "close",
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    head = f"HTTP/1.1 {status.value} {status.phrase}\r\n{lines}\r\n"
    return head.encode("latin-1") + body


IDLE_ANSWER: Final = raw_answer(HTTPStatus.REQUEST_TIMEOUT, {"Retry-After": "0"}, b"")
"""Answer to a request that crosses the close of a connection that was idle too long."""

TOO_MANY_CONNECTIONS: Final = raw_answer(
    HTTPStatus.SERVICE_UNAVAILABLE, {"Retry-After": "1"}, b""
)


def _always() -> bool:
    return True


def _unbounded() -> float:
    return math.inf


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
    head_timeout_s : callable, optional
        Returns the longest time in seconds from the first byte of a request to the end
        of its head; a slower one is answered with 408. By default, any time.

    Attributes
    ----------
    refusal : bytes
        As given; may change until the close.
    """

    __slots__ = (
        "_admits",
        "_describe",
        "_head_timeout_s",
        "_http",
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
        head_timeout_s: Callable[[], float] = _unbounded,
    ) -> None:
        self._head_timeout_s = head_timeout_s
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
            Monotonic time in seconds until which to wait for open requests.
        """
        await self._stop_accepting(until_s)
        n_refused = self._refuse_idle()
        while self._http.connections and time.monotonic() < until_s:
            await asyncio.sleep(CLOSE_POLL_S)
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
            if isinstance(each, _HttpConnection)
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
                return _RejectedConnection(lingering=self._lingering)
        return _HttpConnection(
            http=self._http,
            lingering=self._lingering,
            head_timeout_s=self._head_timeout_s,
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
            if isinstance(each, _HttpConnection)
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
        if self._opening:
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
            if isinstance(each, _HttpConnection) and each.is_idle
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


class _HttpConnection(web.RequestHandler):
    """One connection, which ends in an order that loses neither request nor answer.

    Attributes
    ----------
    used_s : float
        Monotonic time at which something arrived last, or an answer was complete; at
        first that of the opening.
    """

    __slots__ = (
        "_body",
        "_head_timeout_s",
        "_head_timer",
        "_lingering",
        "_n_overhead",
        "_progress",
        "used_s",
    )

    def __init__(
        self,
        *,
        http: web.Server,
        lingering: LingeringConnections,
        head_timeout_s: Callable[[], float],
    ) -> None:
        super().__init__(http, loop=asyncio.get_running_loop(), **http._kwargs)
        self._head_timeout_s = head_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None
        self._lingering = lingering
        self.used_s = time.monotonic()
        self._n_overhead = 0
        self._body: StreamReader | None = None
        self._progress = (0, 0)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived; break a connection whose request does not get on.

        The parser takes blank lines, and the framing of chunks, without end.
        """
        super().data_received(data)
        self.used_s = time.monotonic()
        self._watch_head(data)
        if self._messages:
            self._body = self._messages[-1][1]
        n_body = 0 if self._body is None else self._body.total_bytes
        progress = (self._request_count, n_body)
        is_same = progress == self._progress
        self._n_overhead = self._n_overhead + len(data) if is_same else 0
        self._progress = progress
        if self.transport is None:
            return
        if self._n_overhead > MAX_OVERHEAD_BYTES:
            logging.info(
                "a connection is broken after %d bytes that are of no request",
                self._n_overhead,
            )
            self.transport.abort()
        elif len(self._messages) > MAX_AHEAD:
            logging.info(
                "a connection is broken on which %d requests were sent ahead",
                len(self._messages),
            )
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release the body, which refers to the connection."""
        self._body = None
        self._stop_head_timer()
        super().connection_lost(exc)

    def _watch_head(self, data: bytes) -> None:
        if not self.is_idle:
            self._stop_head_timer()
        elif self._head_timer is None and data.strip():
            timeout_s = self._head_timeout_s()
            if timeout_s < math.inf:
                loop = asyncio.get_running_loop()
                self._head_timer = loop.call_later(timeout_s, self._end_head)

    def _end_head(self) -> None:
        """Give up the head; after a stall, its rest is read first."""
        loop = asyncio.get_running_loop()
        self._head_timer = loop.call_later(CLOSE_POLL_S, self.finish, IDLE_ANSWER)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    @property
    def is_idle(self) -> bool:
        """True while every request that was read on the connection is answered."""
        return self._waiter is not None and not self._waiter.done()

    def doing(self, describe: Callable[[web.BaseRequest], str]) -> str:
        """Return what the connection is doing, as a short text for the log."""
        request = self._current_request
        if request is None:
            is_unsent = self.transport and self.transport.get_write_buffer_size()
            return "answer unsent" if is_unsent else "between two requests"
        text = describe(request)
        if not self._messages:
            return text
        return f"{text} with more requests behind it"

    def finish(self, answer: bytes = b"") -> None:
        """End the connection with `answer`; nothing more that it carries is served."""
        transport = self.transport
        if transport is None:
            return
        # The handler would close the transport, which lingers from now on.
        self.transport = None
        self.connection_lost(None)
        self._lingering.add(transport, answer=answer)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Complete the answer; linger if it is the last one of the connection."""
        resp, is_lost = await super().finish_response(request, resp, start_time)
        self.used_s = time.monotonic()
        if not is_lost and not resp.keep_alive:
            self.finish()
        return resp, is_lost

    def _process_keepalive(self) -> None:
        """Close the connection if it was idle for too long."""
        is_due = asyncio.get_running_loop().time() >= self._next_keepalive_close_time
        if is_due and self.is_idle and not self._force_close:
            self._keepalive_handle = None
            self.finish(IDLE_ANSWER)
            return
        super()._process_keepalive()


class _RejectedConnection(asyncio.Protocol):
    """Answers a connection over the bound with 503 and Retry-After."""

    __slots__ = ("_lingering",)

    def __init__(self, *, lingering: LingeringConnections) -> None:
        self._lingering = lingering

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the answer without reading the request."""
        assert isinstance(transport, asyncio.Transport)
        self._lingering.add(transport, answer=TOO_MANY_CONNECTIONS)
