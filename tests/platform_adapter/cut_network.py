"""The ways of gateway processes to one another and to the store, which can be cut.

Each gateway process dials peers through a relay of its own, which learns from the first
line of a connection where it leads. So a gateway can be cut off from the others in one
direction or in both, which the addresses of one host alone do not allow.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

LAUNCHER: Final = Path(__file__).with_name("cut_gateway.py")
RELAY_VARIABLE: Final = "CUT_NETWORK_RELAY"
STORE: Final = "store"
CHUNK_BYTES: Final = 1 << 16


@dataclass(frozen=True, slots=True, kw_only=True)
class Cut:
    """What does not arrive any more.

    Parameters
    ----------
    sources, destinations : frozenset of str
        Whose bytes are held back, and on the way to whom.
    """

    sources: frozenset[str]
    destinations: frozenset[str]

    def holds(self, source: str, destination: str) -> bool:
        """Return True if bytes from one to the other are held back."""
        return source in self.sources and destination in self.destinations


class CutNetwork:
    """Relays of all gateways of a play.

    Attributes
    ----------
    cuts : list of Cut
        The cuts in force.
    names : dict of str to str
        Name of the gateway that listens at each address.
    """

    def __init__(self) -> None:
        self.cuts: list[Cut] = []
        self.names: dict[str, str] = {}
        self._changed = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()

    async def set_cuts(self, *cuts: Cut) -> None:
        """Replace all cuts."""
        async with self._changed:
            self.cuts[:] = cuts
            self._changed.notify_all()

    def _is_held(self, source: str, destination: str) -> bool:
        return any(cut.holds(source, destination) for cut in self.cuts)

    @contextlib.asynccontextmanager
    async def relay(self, source: str) -> AsyncIterator[str]:
        """Yield the address of the relay through which a gateway dials."""

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            target = (await reader.readline()).decode().strip()
            destination = self.names.get(target, target)
            await self._connect(source, destination, target, (reader, writer))

        async with self._serving(accept) as address:
            yield address

    @contextlib.asynccontextmanager
    async def store_relay(self, source: str, store: str) -> AsyncIterator[str]:
        """Yield the address at which a gateway reaches the store."""

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._connect(source, STORE, store, (reader, writer))

        async with self._serving(accept) as address:
            yield address

    @contextlib.asynccontextmanager
    async def _serving(self, accept: object) -> AsyncIterator[str]:
        server = await asyncio.start_server(accept, "127.0.0.1", 0)  # type: ignore[arg-type]
        try:
            host, port = server.sockets[0].getsockname()[:2]
            yield f"{host}:{port}"
        finally:
            server.close()
            for task in list(self._tasks):
                task.cancel()

    async def _connect(
        self,
        source: str,
        destination: str,
        target: str,
        near: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        """Forward one connection; the dial itself is held back by a cut as well."""
        writers = [near[1]]
        try:
            await self._wait_open(source, destination)
            ip, port = target.rsplit(":", 1)
            far = await asyncio.open_connection(ip, int(port))
            writers.append(far[1])
            directions = [
                asyncio.create_task(
                    self._forward(near[0], far[1], source, destination)
                ),
                asyncio.create_task(
                    self._forward(far[0], near[1], destination, source)
                ),
            ]
            self._tasks.update(directions)
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            for direction in directions:
                direction.cancel()
            self._tasks.difference_update(directions)
        except OSError:
            pass
        finally:
            for writer in writers:
                writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        destination: str,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._wait_open(source, destination)
                writer.write(data)
                await writer.drain()
            await self._wait_open(source, destination)

    async def _wait_open(self, source: str, destination: str) -> None:
        if not self._is_held(source, destination):
            return
        async with self._changed:
            await self._changed.wait_for(lambda: not self._is_held(source, destination))
