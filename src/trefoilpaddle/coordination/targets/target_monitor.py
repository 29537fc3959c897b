"""Watches whether the target answers, and how old its own load report is."""

import asyncio
import contextlib
from typing import Final

import orjson
from aiohttp import ClientError

from ...transport.target_http import TargetHttp
from .dispatcher import Dispatcher

HEALTH_PATH: Final = "/health"
LOAD_PATH: Final = "/load"

HEALTH_TIMEOUT_S: Final = 1.0
"""Longest wait for the answer to one check."""

N_MISSES: Final = 2
"""Checks missed in a row before a target counts as down."""


class TargetMonitor:
    """Asks the target for its health again and again.

    Parameters
    ----------
    http : TargetHttp
        Session to the target.
    period_s : float
        Time between checks.
    dispatcher : Dispatcher
        Is told whether the target is up.
    """

    __slots__ = ("_dispatcher", "_http", "_n_misses", "_period_s")

    def __init__(
        self,
        *,
        http: TargetHttp,
        period_s: float,
        dispatcher: Dispatcher,
    ) -> None:
        self._http = http
        self._period_s = period_s
        self._dispatcher = dispatcher
        self._n_misses = 0

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            self._note(is_up=await self._is_up())
            if self._dispatcher.intake.reports_load:
                await self._read_load()
            await asyncio.sleep(self._period_s)

    async def _is_up(self) -> bool:
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                async with self._http.get(HEALTH_PATH) as response:
                    await response.read()
                    return response.status == 200
        except (ClientError, OSError, TimeoutError):
            return False

    def _note(self, *, is_up: bool) -> None:
        self._n_misses = 0 if is_up else self._n_misses + 1
        if is_up or self._n_misses >= N_MISSES:
            self._dispatcher.set_target_up(is_up=is_up)

    async def _read_load(self) -> None:
        """Note the age of the target's own report; without one keep the last."""
        with contextlib.suppress(
            ClientError, OSError, TimeoutError, ValueError, TypeError, KeyError
        ):
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                async with self._http.get(LOAD_PATH) as response:
                    report = orjson.loads(await response.read())
                    age_s = float(report["age_s"])
                    self._dispatcher.intake.reported_age_ms = int(1000 * age_s)
