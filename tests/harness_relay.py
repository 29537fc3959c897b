"""A relay between two processes of the harness that fails on command."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from trefoilpaddle.transport.connection import Address


class Relay:
    """Carries connections to `upstream`, and breaks them as it is told.

    Attributes
    ----------
    delay_s, delay_back_s : float
        Each piece arrives this much later; the second counts on the way back.
    is_stalled : bool
        Nothing passes, nothing is closed: how a pause or a partition looks.
    is_refusing : bool
        New connections are closed at once.
    damage_index : int
        Damage the byte at this place of the next larger piece; 0 for none.
    """

    def __init__(self) -> None:
        self.upstream: Address | None = None
        self.delay_s = 0.0
        self.delay_back_s = 0.0
        self.is_refusing = False
        self.damage_index = 0
        self._flows = asyncio.Event()
        self._flows.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._gateway_side: set[asyncio.StreamWriter] = set()
        self._lingers = False
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = Address(ip="127.0.0.1", port=0)

    @property
    def is_stalled(self) -> bool:
        return not self._flows.is_set()

    @is_stalled.setter
    def is_stalled(self, is_stalled: bool) -> None:
        if is_stalled:
            self._flows.clear()
        else:
            self._flows.set()

    def disconnect(self) -> None:
        """Break all connections; what is on its way is lost."""
        for writer in list(self._writers):
            writer.transport.abort()

    def disconnect_gateway_side(self) -> None:
        """Break the gateways' side; what is on its way still arrives, late."""
        self._lingers = True
        for writer in list(self._gateway_side):
            writer.transport.abort()

    def heal(self) -> None:
        self._lingers = False
        self.delay_s = 0.0
        self.delay_back_s = 0.0
        self.is_refusing = False
        self.is_stalled = False

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["Relay"]:
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = Address(ip="127.0.0.1", port=port)
        try:
            yield self
        finally:
            server.close()
            self.disconnect()
            for task in list(self._tasks):
                task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        upstream = self.upstream
        self._writers.add(writer)
        self._gateway_side.add(writer)
        try:
            if self.is_refusing or upstream is None:
                return
            up_reader, up_writer = await asyncio.open_connection(
                upstream.ip, upstream.port
            )
            self._writers.add(up_writer)
            try:
                await self._both(reader, up_writer, up_reader, writer)
            finally:
                self._writers.discard(up_writer)
                up_writer.transport.abort()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            self._gateway_side.discard(writer)
            writer.transport.abort()

    async def _both(
        self,
        reader: asyncio.StreamReader,
        up_writer: asyncio.StreamWriter,
        up_reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        ways = [
            asyncio.create_task(self._carry(reader, up_writer, is_back=False)),
            asyncio.create_task(self._carry(up_reader, writer, is_back=True)),
        ]
        self._tasks.update(ways)
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        if self._lingers:
            await asyncio.wait(ways[:1])
        for way in ways:
            way.cancel()
        self._tasks.difference_update(ways)

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_back: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                delay_s = self.delay_s + (self.delay_back_s if is_back else 0.0)
                if delay_s:
                    await asyncio.sleep(delay_s)
                await self._flows.wait()
                writer.write(self._damaged(data))
                await writer.drain()

    def _damaged(self, data: bytes) -> bytes:
        at = self.damage_index
        if not 0 < at < len(data):
            return data
        self.damage_index = 0
        return data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]
