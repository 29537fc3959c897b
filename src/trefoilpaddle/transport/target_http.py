"""HTTP to the one target, with a last check right before bytes leave."""

import contextlib
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Final

from aiohttp import (
    BytesPayload,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
    TCPConnector,
)
from aiohttp.abc import AbstractStreamWriter

CONNECT_TIMEOUT_S: Final = 1.0
READ_BUFFER_BYTES: Final = 64 * 1024


class SendRefusedError(Exception):
    """The guard forbade the call before any byte of it left."""


class SendGuard:
    """Checks a call once more when its bytes are about to leave.

    Guards against a process that is paused between deciding to call and
    calling: work would start after its deadline, when it may already run
    elsewhere. The check runs behind every wait of the HTTP client, also the
    one for a connection.

    Parameters
    ----------
    may_send : callable
        Returns True while the call may still be made.
    """

    __slots__ = ("_may_send", "is_refused", "is_sent")

    def __init__(self, *, may_send: Callable[[], bool]) -> None:
        self._may_send = may_send
        self.is_refused = False
        self.is_sent = False

    def pass_or_raise(self) -> None:
        """Note that the call is sent.

        Raises
        ------
        SendRefusedError
            If the call may not be made any more; nothing was sent.
        """
        if not self._may_send():
            self.is_refused = True
            raise SendRefusedError
        self.is_sent = True


class GuardedBody(BytesPayload):
    """Body of a call that asks its guard before the first byte is written."""

    def __init__(self, data: bytes, *, guard: SendGuard) -> None:
        super().__init__(data, content_type="application/json")
        self._guard = guard

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body, and the headers that wait for it, if the guard lets it."""
        self._guard.pass_or_raise()
        await super().write_with_length(writer, content_length)


class TargetHttp:
    """One keep-alive HTTP session to the target.

    Parameters
    ----------
    url : str
        Scheme, host and port of the target.
    """

    __slots__ = ("_session", "_url")

    def __init__(self, *, url: str) -> None:
        self._url = url
        self._session: ClientSession | None = None

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator["TargetHttp"]:
        """Keep the session open while the context is."""
        self._session = ClientSession(
            connector=TCPConnector(limit=0, keepalive_timeout=30.0),
            cookie_jar=DummyCookieJar(),
            timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=False,
        )
        try:
            async with self._session:
                yield self
        finally:
            self._session = None

    def guarded_post(
        self, path: str, *, body: bytes, headers: Mapping[str, str], guard: SendGuard
    ) -> contextlib.AbstractAsyncContextManager[ClientResponse]:
        """Post `body` if `guard` still allows it; the context is the response.

        The client library repeats no POST, and redirects are not followed, so
        the call reaches the target at most once.

        Raises
        ------
        aiohttp.ClientError, OSError
            If the call broke; ``guard.is_sent`` tells whether any of it left.
        """
        payload = GuardedBody(body, guard=guard)
        return self._open_session().post(
            self._url + path, data=payload, headers=headers, allow_redirects=False
        )

    def get(
        self, path: str, *, headers: Mapping[str, str] | None = None
    ) -> contextlib.AbstractAsyncContextManager[ClientResponse]:
        """Get `path`; the context is the response.

        Raises
        ------
        aiohttp.ClientError, OSError
            If the call broke.
        """
        return self._open_session().get(
            self._url + path, headers=headers, allow_redirects=False
        )

    async def post(self, path: str) -> int:
        """Post nothing to `path` and return the status.

        Raises
        ------
        aiohttp.ClientError, OSError
            If the call broke.
        """
        async with self._open_session().post(
            self._url + path, allow_redirects=False
        ) as response:
            await response.read()
            return response.status

    def _open_session(self) -> ClientSession:
        if self._session is None:
            raise RuntimeError("the session is not open")
        return self._session
