"""HTTP client for the target, with a last check right before a call is sent."""

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

from .checked_response import CheckedResponse

CONNECT_TIMEOUT_S: Final = 1.0
READ_BUFFER_BYTES: Final = 64 * 1024


class SendRefusedError(Exception):
    """The guard refused the call before any byte of it was sent."""


class SendGuard:
    """Checks a call once more right before its bytes are sent.

    Guards against a pause of this process between the decision to call and the call:
    work would start after its deadline, when it may already run elsewhere. The check
    follows every wait of the HTTP client, including the one for a connection.

    Parameters
    ----------
    may_send : callable
        Returns True while the call may still be made.

    Attributes
    ----------
    is_refused : bool
        True if the check has failed; nothing was sent.
    is_sent : bool
        True if the check has passed; bytes of the call may have been sent.
    """

    __slots__ = ("_may_send", "is_refused", "is_sent")

    def __init__(self, *, may_send: Callable[[], bool]) -> None:
        self._may_send = may_send
        self.is_refused = False
        self.is_sent = False

    def check_and_mark_sent(self) -> None:
        """Check the call and record that it is sent.

        Raises
        ------
        SendRefusedError
            If the call may no longer be made; nothing was sent.
        """
        if not self._may_send():
            self.is_refused = True
            raise SendRefusedError
        self.is_sent = True


class GuardedBody(BytesPayload):
    """Request body that checks its guard before the first byte is written."""

    def __init__(self, data: bytes, *, guard: SendGuard) -> None:
        super().__init__(data, content_type="application/json")
        self._guard = guard

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Check the guard, then write the body and the headers buffered before it."""
        self._guard.check_and_mark_sent()
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
        """Keep the session open while the context is open."""
        self._session = ClientSession(
            connector=TCPConnector(limit=0, keepalive_timeout=30.0),
            response_class=CheckedResponse,
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
        """Post `body` if `guard` allows it; the context yields the response.

        The client library does not repeat POST requests, and redirects are not
        followed, so the call reaches the target at most once.

        Raises
        ------
        aiohttp.ClientError, OSError
            If the call failed; ``guard.is_sent`` is True if bytes may have been sent.
        """
        payload = GuardedBody(body, guard=guard)
        return self._open_session().post(
            self._url + path, data=payload, headers=headers, allow_redirects=False
        )

    def get(
        self, path: str, *, headers: Mapping[str, str] | None = None
    ) -> contextlib.AbstractAsyncContextManager[ClientResponse]:
        """Get `path`; the context yields the response.

        Raises
        ------
        aiohttp.ClientError, OSError
            If the call failed.
        """
        return self._open_session().get(
            self._url + path, headers=headers, allow_redirects=False
        )

    async def post(self, path: str) -> int:
        """Post an empty body to `path` and return the status.

        Raises
        ------
        aiohttp.ClientError, OSError
            If the call failed.
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
