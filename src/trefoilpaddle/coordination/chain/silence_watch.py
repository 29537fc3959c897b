"""Ends an exchange with a silent worker once its request can go on elsewhere."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

from absl import logging

Prepare = Callable[[], Awaitable[bool]]
"""Prepares another attempt; returns True once the request can be sent again."""

NEVER_S: Final = math.inf


class SilenceWatch:
    """Watches how long a worker sends nothing, during one exchange.

    A silent worker may go on, and what it has done is lost if it is given up. So
    another attempt is prepared first, while the worker is still listened to.

    Parameters
    ----------
    limit : asyncio.Timeout
        Bound of the exchange; expires at once when another attempt is ready.
    prepare : callable
        Prepares another attempt; cancelled as soon as the worker sends something.
    """

    __slots__ = ("_ended", "_limit", "_prepare", "_preparing", "_silent_s", "_timer")

    def __init__(self, *, limit: asyncio.Timeout, prepare: Prepare) -> None:
        self._limit = limit
        self._prepare = prepare
        self._preparing: asyncio.Task[None] | None = None
        self._ended: list[asyncio.Task[None]] = []
        self._silent_s = NEVER_S
        self._timer: asyncio.TimerHandle | None = None

    def restart(self, silent_s: float) -> None:
        """Watch for `silent_s` seconds, as the worker is expected to send something."""
        self.stop()
        self._silent_s = silent_s
        self._look_later()

    def stop(self) -> bool:
        """Stop watching, as the worker has sent something.

        Returns
        -------
        bool
            True if another attempt was being prepared.
        """
        was_silent = self._preparing is not None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._preparing is not None:
            self._preparing.cancel()
            under_way = [each for each in self._ended if not each.done()]
            self._ended = [*under_way, self._preparing]
            self._preparing = None
        return was_silent

    def complete(self) -> None:
        """Stop watching for good, as the worker's answer is complete.

        Neither the deadline nor an attempt that was ready in the same moment ends the
        exchange any more.
        """
        self.stop()
        if not self._limit.expired():
            self._limit.reschedule(None)

    async def close(self) -> None:
        """Wait until no preparation is under way any more."""
        self.stop()
        if any(not each.done() for each in self._ended):
            await asyncio.gather(*self._ended, return_exceptions=True)

    def _look_later(self) -> None:
        if self._silent_s < NEVER_S:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._silent_s, self._look)

    def _look(self) -> None:
        self._preparing = asyncio.create_task(self._look_elsewhere())

    async def _look_elsewhere(self) -> None:
        try:
            is_ready = await self._prepare()
        except Exception:
            # The worker may still answer.
            logging.exception("preparing another attempt failed")
            is_ready = False
        if is_ready and not self._limit.expired():
            self._limit.reschedule(asyncio.get_running_loop().time())
        else:
            self._look_later()


@contextlib.asynccontextmanager
async def watching_silence(
    limit: asyncio.Timeout, *, silent_s: float, prepare: Prepare
) -> AsyncIterator[SilenceWatch]:
    """Watch a worker's silence while the context is open.

    Parameters
    ----------
    limit : asyncio.Timeout
        Bound of the exchange, which is open.
    silent_s : float
        Seconds without anything from the worker until another attempt is prepared.
    prepare : callable
        Prepares another attempt.
    """
    watch = SilenceWatch(limit=limit, prepare=prepare)
    watch.restart(silent_s)
    try:
        yield watch
    finally:
        await watch.close()
