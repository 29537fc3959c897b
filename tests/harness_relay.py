"""A relay between two processes of the harness that injects network faults."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from trefoilpaddle.transport.connection import Address


class Relay:
    """Forwards connections to `upstream`, with faults on request.

    Attributes
    ----------
    delay_s, delay_back_s : float
        Delay of each chunk of data; `delay_back_s` is added for data from upstream.
    is_stalled : bool
        No data passes and no connection is closed, as with a paused process or a
        partitioned network.
    is_refusing : bool
        New connections are closed at once.
    damage_index : int
        Flip a bit of the byte at this index in the next chunk that is longer; 0 for
        none.
    """

    def __init__(self) -> None:
        self.upstream: Address | None = None
        self.delay_s = 0.0
        self.delay_back_s = 0.0
        self.is_refusing = False
        self.damage_index = 0
        self._is_flowing = asyncio.Event()
        self._is_flowing.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._gateway_side: set[asyncio.StreamWriter] = set()
        self._forwards_after_close = False
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = Address(ip="127.0.0.1", port=0)

    @property
    def is_stalled(self) -> bool:
        return not self._is_flowing.is_set()

    @is_stalled.setter
    def is_stalled(self, is_stalled: bool) -> None:
        if is_stalled:
            self._is_flowing.clear()
        else:
            self._is_flowing.set()

    def disconnect(self) -> None:
        """Abort all connections; data in flight is lost."""
        for writer in list(self._writers):
            writer.transport.abort()

    def disconnect_gateway_side(self) -> None:
        """Abort the gateways' connections; data to upstream still arrives, late."""
        self._forwards_after_close = True
        for writer in list(self._gateway_side):
            writer.transport.abort()

    def heal(self) -> None:
        self._forwards_after_close = False
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
                await self._forward_both(reader, up_writer, up_reader, writer)
            finally:
                self._writers.discard(up_writer)
                up_writer.transport.abort()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            self._gateway_side.discard(writer)
            writer.transport.abort()

    async def _forward_both(
        self,
        reader: asyncio.StreamReader,
        up_writer: asyncio.StreamWriter,
        up_reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        directions = [
            asyncio.create_task(self._forward(reader, up_writer, is_back=False)),
            asyncio.create_task(self._forward(up_reader, writer, is_back=True)),
        ]
        self._tasks.update(directions)
        await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        if self._forwards_after_close:
            await asyncio.wait(directions[:1])
        for direction in directions:
            direction.cancel()
        self._tasks.difference_update(directions)

    async def _forward(
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
                await self._is_flowing.wait()
                writer.write(self._damage(data))
                await writer.drain()

    def _damage(self, data: bytes) -> bytes:
        index = self.damage_index
        if not 0 < index < len(data):
            return data
        self.damage_index = 0
        return data[:index] + bytes([data[index] ^ 1]) + data[index + 1 :]
