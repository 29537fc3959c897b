"""Servers of workers that a marked request crashes and that restart later."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from typing import Final

from aiohttp import web

from .worker import PlatformWorker

CRASH_DELAY_S: Final = 0.1
"""Usual time from the start of a marked request to the crash of the worker."""

RESTART_DELAY_S: Final = 1.5
"""Usual time from the crash of a worker to its restart at the same address."""

MAX_READ_BYTES: Final = 65536
"""Bytes that are read for an exited worker before its connection is closed."""


class CrashingServer:
    """Serves a worker that crashes when it runs a marked request.

    Parameters
    ----------
    worker : PlatformWorker
        Worker that crashes at requests that it marks.
    ip : str
        Address to listen on.
    on_start : callable
        Called after each restart, to list the worker again.
    accepts_when_down : bool
        True if what stands before the exited worker accepts connections and closes
        each once a request has been read; False if its address refuses them.
    crash_delay_s : float
        Time from the start of a marked request to the crash of the worker.
    restart_delay_s : float
        Time from the crash of the worker to its restart.

    Attributes
    ----------
    crashed_s : list of float
        Monotonic times of the crashes.
    """

    __slots__ = (
        "_accepts_when_down",
        "_crash_delay_s",
        "_ip",
        "_is_up",
        "_on_start",
        "_port",
        "_restart_delay_s",
        "_runner",
        "_site",
        "_tasks",
        "crashed_s",
        "worker",
    )

    def __init__(
        self,
        *,
        worker: PlatformWorker,
        ip: str,
        on_start: Callable[[], None],
        accepts_when_down: bool = False,
        crash_delay_s: float = CRASH_DELAY_S,
        restart_delay_s: float = RESTART_DELAY_S,
    ) -> None:
        self.worker = worker
        self._crash_delay_s = crash_delay_s
        self._restart_delay_s = restart_delay_s
        self._accepts_when_down = accepts_when_down
        self._ip = ip
        self._on_start = on_start
        self._port = 0
        self._is_up = False
        self._site: web.TCPSite | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.crashed_s: list[float] = []
        worker.on_marked = self._schedule_crash
        self._runner = web.AppRunner(
            worker.application(),
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=0.5,
        )

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[None]:
        """Serve the worker while the context is open and restart it after crashes."""
        await self._runner.setup()
        try:
            await self._listen()
            self.worker.address = f"{self._ip}:{self._port}"
            yield
        finally:
            for task in self._tasks:
                task.cancel()
            await self._runner.cleanup()

    def crash(self) -> None:
        """Crash the worker now, with all running requests; it restarts by itself."""
        if self._is_up:
            self._is_up = False
            task = asyncio.create_task(self._crash_and_restart())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _schedule_crash(self) -> None:
        asyncio.get_running_loop().call_later(self._crash_delay_s, self.crash)

    async def _crash_and_restart(self) -> None:
        self.crashed_s.append(time.monotonic())
        if self._site is not None:
            await self._site.stop()
        if self._runner.server is not None:
            for connection in list(self._runner.server.connections):
                if connection.transport is not None:
                    connection.transport.abort()
        if self._accepts_when_down:
            async with await asyncio.start_server(
                _read_and_close, self._ip, self._port, reuse_address=True
            ):
                await asyncio.sleep(self._restart_delay_s)
        else:
            await asyncio.sleep(self._restart_delay_s)
        self.worker.restart()
        await self._listen()
        self._on_start()

    async def _listen(self) -> None:
        self._site = web.TCPSite(self._runner, self._ip, self._port, reuse_address=True)
        await self._site.start()
        self._port = self._runner.addresses[0][1]
        self._is_up = True


async def _read_and_close(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Close a connection once a request has been read there."""
    try:
        await reader.read(MAX_READ_BYTES)
    finally:
        writer.close()
