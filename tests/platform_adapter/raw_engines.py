"""Workers on raw sockets, which take requests slowly or answer without an end."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

from trefoilpaddle.standins.platform.site import IP

RECEIVE_BYTES: Final = 65536
"""Size of the kernel's buffer for what the worker has not taken yet."""

TAKE_PERIOD_S: Final = 0.1
"""Period in seconds in which a slow worker takes some bytes."""

Handle = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def raw_engine(handle: Handle) -> AsyncIterator[str]:
    """Serve connections with `handle` while the context is open; yield the address."""
    tasks: set[asyncio.Task[None]] = set()

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            await handle(reader, writer)

    def on_connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(run(reader, writer))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    listening = socket.create_server((IP, 0))
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    server = await asyncio.start_server(
        on_connected, sock=listening, limit=RECEIVE_BYTES // 2
    )
    try:
        yield f"{IP}:{listening.getsockname()[1]}"
    finally:
        server.close()
        for task in tasks:
            task.cancel()


async def take_slowly(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Take a request so slowly that the connection never breaks; do not answer."""
    while await reader.read(RECEIVE_BYTES // 2):  # noqa: ASYNC110
        await asyncio.sleep(TAKE_PERIOD_S)
