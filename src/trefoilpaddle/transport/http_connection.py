"""One HTTP connection, from its opening until its last answer is read."""

import asyncio
import math
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
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
"""Bytes in a row of a request that are neither of its head nor of its body."""


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

HEAD_TOO_LONG: Final = raw_answer(
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, {}, b"headers_too_large"
)
"""Answer to a head that is given up before its end."""

TOO_MANY_CONNECTIONS: Final = raw_answer(
    HTTPStatus.SERVICE_UNAVAILABLE, {"Retry-After": "1"}, b""
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """Limits on what is sent on a connection, as they are in force now.

    Parameters
    ----------
    max_head_bytes : int, optional
        Most bytes of an incomplete head, as sent; a longer one is answered with 431.
    head_timeout_s : float, optional
        Longest time in seconds from the first byte of a request to the end of its
        head; a slower one is answered with 408. By default, any time.
    idle_timeout_s : float, optional
        Time in seconds after which a connection without a request is closed; the limit
        of the moment at which it became idle holds if it was longer, and in any case
        the server's own time-out. By default, only the latter.
    """

    max_head_bytes: int = MAX_OVERHEAD_BYTES
    head_timeout_s: float = math.inf
    idle_timeout_s: float = 0.0


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
        "_head_timer",
        "_idle_timeout_s",
        "_is_blank",
        "_is_given_up",
        "_limits",
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
        limits: Callable[[], ConnectionLimits],
    ) -> None:
        super().__init__(http, loop=asyncio.get_running_loop(), **http._kwargs)
        self._limits = limits
        self._idle_timeout_s = limits().idle_timeout_s
        self._is_given_up = False
        self._head_timer: asyncio.TimerHandle | None = None
        self._lingering = lingering
        self.used_s = time.monotonic()
        self._n_overhead = 0
        self._is_blank = True
        self._body: StreamReader | None = None
        self._progress = (0, 0)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived; break a connection whose request does not get on.

        The parser takes heads, blank lines and the framing of chunks without end.
        """
        if self._is_given_up:
            return
        super().data_received(data)
        self.used_s = time.monotonic()
        self._watch_head(data)
        if self._messages:
            self._body = self._messages[-1][1]
        n_body = 0 if self._body is None else self._body.total_bytes
        progress = (self._request_count, n_body)
        is_same = progress == self._progress
        self._n_overhead = self._n_overhead + len(data) if is_same else 0
        self._is_blank = not is_same or (self._is_blank and not data.strip())
        self._progress = progress
        if self.transport is None:
            return
        is_in_body = self._body is not None and not self._body.is_eof()
        if len(self._messages) > MAX_AHEAD:
            logging.info(
                "a connection is broken on which %d requests were sent ahead",
                len(self._messages),
            )
            self.transport.abort()
        elif not is_in_body and not self._is_blank:
            self._bound_head()
        elif self._n_overhead > MAX_OVERHEAD_BYTES:
            logging.info(
                "a connection is broken after %d bytes that are of no request",
                self._n_overhead,
            )
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release the body, which refers to the connection."""
        self._body = None
        self._stop_head_timer()
        super().connection_lost(exc)

    def _bound_head(self) -> None:
        """Give up a head that is too long, once the requests before it are answered."""
        max_bytes = self._limits().max_head_bytes
        if self._n_overhead <= max_bytes:
            return
        logging.info(
            "a head is given up after %d bytes, of %d at most",
            self._n_overhead,
            max_bytes,
        )
        self._is_given_up = True
        if self.is_idle:
            self.finish(HEAD_TOO_LONG)

    def _watch_head(self, data: bytes) -> None:
        if not self.is_idle:
            self._stop_head_timer()
        elif self._head_timer is None and data.strip():
            timeout_s = self._limits().head_timeout_s
            if timeout_s < math.inf:
                loop = asyncio.get_running_loop()
                self._head_timer = loop.call_later(
                    timeout_s, self._end_head, time.monotonic()
                )

    def _end_head(self, began_s: float) -> None:
        """Give up the head; after a stall, its rest is read first.

        It goes on if a longer limit has come into force since its first byte.
        """
        loop = asyncio.get_running_loop()
        left_s = began_s + self._limits().head_timeout_s - time.monotonic()
        self._head_timer = (
            loop.call_later(left_s, self._end_head, began_s)
            if left_s > 0.0
            else loop.call_later(CLOSE_POLL_S, self.finish, IDLE_ANSWER)
        )

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
        self._idle_timeout_s = self._limits().idle_timeout_s
        if not is_lost and not resp.keep_alive:
            self.finish()
        elif not is_lost and self._is_given_up and not self._messages:
            self.finish(HEAD_TOO_LONG)
        return resp, is_lost

    def _process_keepalive(self) -> None:
        """Close the connection if it was idle for too long.

        A caller may still rely on a limit that was longer when it got its last answer.
        """
        idle_timeout_s = max(self._idle_timeout_s, self._limits().idle_timeout_s)
        self._next_keepalive_close_time = max(
            self._next_keepalive_close_time, self.used_s + idle_timeout_s
        )
        is_due = time.monotonic() >= self._next_keepalive_close_time
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
