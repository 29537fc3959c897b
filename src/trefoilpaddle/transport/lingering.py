"""Connections that have their last answer, until their callers have closed them."""

import asyncio
import contextlib
import os
from typing import Final

from absl import logging

LINGER_S: Final = 1.0
"""Time in seconds without data after which a caller's connection is closed.

What a caller sent before it could read the last answer arrives within a round trip.
"""

MAX_LINGER_S: Final = 10.0
"""Longest time in seconds to discard what a caller continues to send."""

MAX_LINGERING: Final = 1024
"""Most connections that are kept at a time; further ones are closed at once."""

MIN_LINGERING: Final = 16

MAX_LINGER_BYTES: Final = 16 * 1024 * 1024
"""Most bytes to discard of what a caller continues to send."""

READ_BYTES: Final = 65536


class LingeringConnections:
    """Reads and discards what arrives on connections after their last answer.

    The kernel resets a connection that is closed with unread bytes, and a reset can
    discard an answer that the caller has not read yet. So the sending side is closed
    first, and the socket once the caller has closed its side or `LINGER_S` has passed.

    Parameters
    ----------
    most : int, optional
        Most connections that are kept at a time, within `MIN_LINGERING` and
        `MAX_LINGERING`.

    Attributes
    ----------
    n_discarded : int
        Number of connections on which something was discarded.
    """

    __slots__ = ("_all_closed", "_most", "_open", "n_discarded")

    def __init__(self, *, most: int | None = None) -> None:
        if most is None:
            most = MAX_LINGERING
        self._most = min(max(most, MIN_LINGERING), MAX_LINGERING)
        self._open: set[_Lingering] = set()
        self._all_closed = asyncio.Event()
        self._all_closed.set()
        self.n_discarded = 0

    def __len__(self) -> int:
        return len(self._open)

    def add(self, transport: asyncio.Transport, *, answer: bytes = b"") -> None:
        """Send `answer` as the last bytes of the connection and wait for its caller."""
        if transport.is_closing():
            return
        try:
            transport.write(answer)
            if len(self._open) >= self._most or not transport.can_write_eof():
                transport.close()
                return
            transport.write_eof()
        except (OSError, RuntimeError) as error:
            # The caller has just reset the connection.
            logging.debug("a connection ended before its last answer: %s", error)
            transport.abort()
            return
        connection = _Lingering(transport=transport, connections=self)
        self._open.add(connection)
        self._all_closed.clear()
        transport.set_protocol(connection)
        if not transport.is_reading():
            transport.resume_reading()

    def discard(self, connection: "_Lingering") -> None:
        """Forget a connection that has ended."""
        self._open.discard(connection)
        self.n_discarded += connection.has_discarded
        if not self._open:
            self._all_closed.set()

    def unsent_bytes(self) -> list[int]:
        """Return the number of bytes that are not sent yet, for each connection."""
        return [connection.unsent_bytes for connection in self._open]

    async def wait_closed(self, timeout_s: float) -> None:
        """Wait until all connections have ended, for at most `timeout_s` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._all_closed.wait()

    def close_all(self) -> None:
        """Close the connections that have not ended."""
        for connection in list(self._open):
            connection.close()


class _Lingering(asyncio.Protocol):
    """Discards what arrives on one connection until it has ended."""

    __slots__ = (
        "_close_by_s",
        "_connections",
        "_is_silent",
        "_n_discarded",
        "_timer",
        "_transport",
        "has_discarded",
    )

    def __init__(
        self, *, transport: asyncio.Transport, connections: LingeringConnections
    ) -> None:
        self._transport = transport
        self._connections = connections
        self.has_discarded = False
        self._is_silent = True
        self._n_discarded = 0
        loop = asyncio.get_running_loop()
        self._close_by_s = loop.time() + MAX_LINGER_S
        self._timer = loop.call_later(LINGER_S, self._check)

    @property
    def unsent_bytes(self) -> int:
        return self._transport.get_write_buffer_size()

    def data_received(self, data: bytes) -> None:
        self.has_discarded = True
        self._is_silent = False
        self._n_discarded += len(data)
        if self._n_discarded > MAX_LINGER_BYTES and self._transport.is_reading():
            # The caller can still read its answer until the close.
            self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self._timer.cancel()
        self._connections.discard(self)

    def _check(self) -> None:
        """Close the connection unless data is still on its way in either direction."""
        loop = asyncio.get_running_loop()
        is_done = self._is_silent and not self.unsent_bytes
        if is_done or loop.time() >= self._close_by_s:
            self.close()
            return
        self._is_silent = True
        self._timer = loop.call_later(LINGER_S, self._check)

    def close(self) -> None:
        """Close the connection, with nothing left unread in the kernel."""
        if self._transport.is_closing():
            return
        _discard_unread(self._transport)
        self._transport.abort()


def _discard_unread(transport: asyncio.Transport) -> None:
    connected = transport.get_extra_info("socket")
    if connected is None or transport.get_extra_info("sslcontext") is not None:
        return
    n_left = MAX_LINGER_BYTES
    try:
        while n_left > 0 and (data := os.read(connected.fileno(), READ_BYTES)):
            n_left -= len(data)
    except OSError as error:
        # Nothing more to read, or the caller has reset the connection.
        logging.debug("read all of a connection before its close: %s", error)
