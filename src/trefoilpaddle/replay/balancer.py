"""A load balancer: round robin over the gateways that report readiness."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final

import aiohttp

CHECK_PERIOD_S: Final = 0.25
CHECK_TIMEOUT_S: Final = 0.5


class Balancer:
    """Chooses the gateway of each request by round robin.

    Parameters
    ----------
    gateways : tuple of str
        Base URLs of the ports on which the gateways serve callers.
    """

    __slots__ = ("_gateways", "_next", "_ready")

    def __init__(self, *, gateways: tuple[str, ...]) -> None:
        self._gateways = gateways
        self._ready = set(gateways)
        self._next = 0

    def pick(self) -> str:
        """Return the next ready gateway, or the next of all if none is ready."""
        for _ in self._gateways:
            gateway = self._gateways[self._next % len(self._gateways)]
            self._next += 1
            if gateway in self._ready:
                return gateway
        return self._gateways[self._next % len(self._gateways)]

    @contextlib.asynccontextmanager
    async def checking(self, session: aiohttp.ClientSession) -> AsyncIterator[None]:
        """Poll the readiness of each gateway while the context is open."""
        tasks = [
            asyncio.create_task(self._check(session, gateway))
            for gateway in self._gateways
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _check(self, session: aiohttp.ClientSession, gateway: str) -> None:
        while True:
            if await _is_ready(session, gateway):
                self._ready.add(gateway)
            else:
                self._ready.discard(gateway)
            await asyncio.sleep(CHECK_PERIOD_S)


async def _is_ready(session: aiohttp.ClientSession, gateway: str) -> bool:
    timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT_S)
    try:
        async with session.get(f"{gateway}/readyz", timeout=timeout) as response:
            return response.status == 200
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False
