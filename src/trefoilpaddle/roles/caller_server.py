"""Listens for callers, within bounds on connections and headers."""

import asyncio
import contextlib
import ssl
import time
from collections.abc import AsyncIterator
from typing import Final

from aiohttp import web

from ..state.settings import CallerSettings
from ..transport.connection import Address
from ..transport.unsent import has_unsent

KEEPALIVE_S: Final = 75.0

SEND_TIMEOUT_S: Final = 1.0
"""Longest wait at the close until callers' systems have taken the last answers.

What may wait in this process of each is 64 KB: a second's worth of a slow line.
"""

SEND_POLL_S: Final = 0.005
"""Time between two looks; the way of a packet within a region."""

TOO_MANY_CONNECTIONS: Final = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class _Full(asyncio.Protocol):
    """Tells a caller over the bound to come back, and closes."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Answer before anything is read."""
        assert isinstance(transport, asyncio.Transport)
        transport.write(TOO_MANY_CONNECTIONS)
        transport.close()


class CallerServer:
    """Serves the callers' application on one port.

    Parameters
    ----------
    settings : CallerSettings
        Where to listen, and the bounds.
    application : web.Application
        Answers the requests.
    tls : ssl.SSLContext, optional
        Server side context; None speaks plain HTTP.
    """

    __slots__ = ("_application", "_settings", "_tls", "address")

    def __init__(
        self,
        *,
        settings: CallerSettings,
        application: web.Application,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._settings = settings
        self._application = application
        self._tls = tls
        self.address = Address.parse(settings.listen).unwrap_or(
            Address(ip=settings.listen.rpartition(":")[0], port=0)
        )

    @contextlib.asynccontextmanager
    async def listening(self) -> AsyncIterator["CallerServer"]:
        """Listen while the context is open; port 0 takes any free one.

        Raises
        ------
        OSError
            If the port is held by another process.
        """
        settings = self._settings
        # A lost connection cancels its handler: how a caller's leaving is seen.
        # Decompression stays off, or a small body could grow without bound.
        runner = web.AppRunner(
            self._application,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=settings.max_header_bytes,
            max_field_size=settings.max_header_bytes,
            max_headers=2 * settings.max_headers,
            auto_decompress=False,
            shutdown_timeout=1.0,
        )
        await runner.setup()
        http = runner.server
        assert http is not None
        most = settings.max_connections

        def protocol() -> asyncio.Protocol:
            return http() if len(http.connections) < most else _Full()

        server = await asyncio.get_running_loop().create_server(
            protocol, self.address.ip, self.address.port, ssl=self._tls
        )
        port = server.sockets[0].getsockname()[1]
        self.address = Address(ip=self.address.ip, port=port)
        try:
            yield self
        finally:
            server.close()
            await _send_last(http)
            await runner.cleanup()


async def _send_last(http: web.Server) -> None:
    """Return once no answer waits in this process to be sent, within bounds.

    An answer counts as given when it was written; the end of the process would
    drop what the caller's system has not taken, and leave it half of an answer.
    """
    ends_s = time.monotonic() + SEND_TIMEOUT_S
    while time.monotonic() < ends_s:
        if not any(map(has_unsent, http.connections)):
            return
        await asyncio.sleep(SEND_POLL_S)
