"""Links to all peers that this process dials."""

import asyncio
import contextlib
import ssl
from collections.abc import AsyncIterator, Callable

from result import Result

from ..protocol.errors import PeerError
from ..protocol.frames import Message
from ..protocol.gen.stage.ttypes import Heartbeat, Hello
from .connection import CLOSE_TIMEOUT_S, Address
from .link import Link, OnMessage


class Peers:
    """The links to peers by address, opened on first use and closed together.

    Parameters
    ----------
    own_hello, own_heartbeat, on_message, on_change, tls, close_timeout_s
        As for `Link`; shared by all links.
    """

    __slots__ = (
        "_close_timeout_s",
        "_on_change",
        "_on_message",
        "_own_heartbeat",
        "_own_hello",
        "_tls",
        "links",
    )

    def __init__(
        self,
        *,
        own_hello: Callable[[], Hello],
        own_heartbeat: Callable[[], Heartbeat],
        on_message: OnMessage,
        on_change: Callable[[Link], None] | None = None,
        tls: ssl.SSLContext | None = None,
        close_timeout_s: Callable[[], float] = lambda: CLOSE_TIMEOUT_S,
    ) -> None:
        self._close_timeout_s = close_timeout_s
        self._own_hello = own_hello
        self._own_heartbeat = own_heartbeat
        self._on_message = on_message
        self._on_change = on_change
        self._tls = tls
        self.links: dict[Address, Link] = {}

    def link(self, address: Address) -> Link:
        """Return the link to `address`; create and start it on first use."""
        link = self.links.get(address)
        if link is None:
            link = Link(
                address=address,
                own_hello=self._own_hello,
                own_heartbeat=self._own_heartbeat,
                on_message=self._on_message,
                on_change=self._on_change,
                tls=self._tls,
                close_timeout_s=self._close_timeout_s,
            )
            self.links[address] = link
            link.start()
        return link

    async def ask(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> Result[Message, PeerError]:
        """Send `message` to the peer at `address` and return its reply."""
        return await self.link(address).ask(message, timeout_s=timeout_s)

    async def close_link(self, address: Address) -> None:
        """Close the link to `address`, if there is one."""
        link = self.links.pop(address, None)
        if link is not None:
            await link.stop()

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator["Peers"]:
        """Close all links on exit from the context."""
        try:
            yield self
        finally:
            addresses = list(self.links)
            await asyncio.gather(*(self.close_link(address) for address in addresses))
