"""HTTP server for callers, with bounds on connections and headers."""

import contextlib
import ssl
import time
from collections.abc import AsyncIterator
from typing import Final

from aiohttp import web

from ..state.settings import CallerSettings
from ..transport.connection import Address
from ..transport.http_listener import HttpListener

KEEPALIVE_S: Final = 75.0

CLOSE_S: Final = 1.0
"""Longest time in seconds to send the last answers and close all connections.

Up to 64 KB of each answer may be in the send buffer, which a slow line transfers in
a second.
"""


class CallerServer:
    """Serves the application for callers on one port.

    Parameters
    ----------
    settings : CallerSettings
        The address to listen on, and the bounds.
    application : web.Application
        The application.
    refusal : bytes
        Complete HTTP answer for callers whose requests cross the close.
    tls : ssl.SSLContext, optional
        Server-side context; None for plain HTTP.
    """

    __slots__ = ("_application", "_refusal", "_settings", "_tls", "address")

    def __init__(
        self,
        *,
        settings: CallerSettings,
        application: web.Application,
        refusal: bytes,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._settings = settings
        self._application = application
        self._refusal = refusal
        self._tls = tls
        self.address = Address.parse(settings.listen).unwrap_or(
            Address(ip=settings.listen.rpartition(":")[0], port=0)
        )

    @contextlib.asynccontextmanager
    async def listening(self) -> AsyncIterator["CallerServer"]:
        """Listen while the context is open; with port 0, on any free port.

        Raises
        ------
        OSError
            If the port is held by another process.
        """
        settings = self._settings
        # With handler_cancellation, a lost connection cancels its handler, which is
        # how the disconnect of a caller is detected. Decompression stays off, as a
        # small body could otherwise expand without bound.
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
        listener = HttpListener(
            http=http,
            refusal=self._refusal,
            max_connections=settings.max_connections,
            tls=self._tls,
        )
        port = await listener.open(self.address.ip, self.address.port)
        self.address = Address(ip=self.address.ip, port=port)
        try:
            yield self
        finally:
            # A handler is done when its answer is in the send buffer. If the process
            # exited then, the caller would get a truncated answer.
            await listener.close(until_s=time.monotonic() + CLOSE_S)
            await listener.interrupt()
            await runner.cleanup()
