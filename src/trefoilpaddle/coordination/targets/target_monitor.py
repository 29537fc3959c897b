"""Monitors whether the target answers, and the age of its own load report."""

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

N_FAILED_CHECKS: Final = 2
"""Consecutive failed checks after which a target counts as down."""


class TargetMonitor:
    """Checks the health of the target periodically.

    Parameters
    ----------
    http : TargetHttp
        Session to the target.
    period_s : float
        Time between checks, in seconds.
    dispatcher : Dispatcher
        Is notified whether the target is up.
    """

    __slots__ = ("_dispatcher", "_http", "_n_failed_checks", "_period_s")

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
        self._n_failed_checks = 0

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            self._record_check(is_up=await self._is_up())
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

    def _record_check(self, *, is_up: bool) -> None:
        self._n_failed_checks = 0 if is_up else self._n_failed_checks + 1
        if is_up or self._n_failed_checks >= N_FAILED_CHECKS:
            self._dispatcher.set_target_up(is_up=is_up)

    async def _read_load(self) -> None:
        """Record the age of the target's load report; keep the last one on errors."""
        with contextlib.suppress(
            ClientError, OSError, TimeoutError, ValueError, TypeError, KeyError
        ):
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                async with self._http.get(LOAD_PATH) as response:
                    report = orjson.loads(await response.read())
                    age_s = float(report["age_s"])
                    self._dispatcher.intake.reported_age_ms = int(1000 * age_s)
