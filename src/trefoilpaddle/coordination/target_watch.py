"""Watches whether the target answers, and how old its own load report is."""

import asyncio
from typing import Final

from aiohttp import ClientError

from ..state.journal import Decision, Event, Journal
from ..transport.target_http import TargetHttp
from .dispatcher import Dispatcher

HEALTH_PATH: Final = "/health"
HEALTH_TIMEOUT_S: Final = 1.0
N_MISSES: Final = 2
"""Checks missed in a row before a target counts as down."""


class TargetWatch:
    """Asks the target for its health again and again.

    Parameters
    ----------
    http : TargetHttp
        Session to the target.
    name : str
        The target's name.
    period_s : float
        Time between checks.
    dispatcher : Dispatcher
        Is told whether the target is up.
    journal : Journal
        Takes each change.
    """

    __slots__ = ("_dispatcher", "_http", "_journal", "_n_misses", "_name", "_period_s")

    def __init__(
        self,
        *,
        http: TargetHttp,
        name: str,
        period_s: float,
        dispatcher: Dispatcher,
        journal: Journal,
    ) -> None:
        self._http = http
        self._name = name
        self._period_s = period_s
        self._dispatcher = dispatcher
        self._journal = journal
        self._n_misses = 0

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            self._note(is_up=await self._is_up())
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
        was_up = self._dispatcher.is_target_up
        if is_up == was_up or (was_up and self._n_misses < N_MISSES):
            return
        self._dispatcher.is_target_up = is_up
        event = Event.TARGET_UP if is_up else Event.TARGET_DOWN
        self._journal.record(Decision(event=event, peer=self._name))
