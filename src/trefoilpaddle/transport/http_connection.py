"""One HTTP connection, from its opening until its last answer is read."""

import asyncio
import math
import time
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Final

from absl import logging
from aiohttp import StreamReader, web

from .lingering import LingeringConnections

CLOSE_POLL_S: Final = 0.005
"""Period in seconds of the check for connections that have become idle at the close."""

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


class HttpConnection(web.RequestHandler):
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


class RejectedConnection(asyncio.Protocol):
    """Answers a connection over the bound with 503 and Retry-After."""

    __slots__ = ("_lingering",)

    def __init__(self, *, lingering: LingeringConnections) -> None:
        self._lingering = lingering

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the answer without reading the request."""
        assert isinstance(transport, asyncio.Transport)
        self._lingering.add(transport, answer=TOO_MANY_CONNECTIONS)
