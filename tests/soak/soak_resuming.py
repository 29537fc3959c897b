"""Callers that leave streams after the first event and resume them later."""

import asyncio
import random
from dataclasses import dataclass
from typing import Final

from .soak_callers import Callers, events_of, one_connection
from .soak_record import GRACE_S

N_CALLERS: Final = 12

DEADLINE_S: Final = 5.0
"""Deadline in seconds; the timeout of the route, twice of which a stream lives."""

MAX_AWAY_S: Final = GRACE_S
"""Longest time in seconds from the first event until the stream is resumed.

The gateways that knew the stream may have been ordered to stop meanwhile.
"""

MAX_PAUSE_S: Final = 0.3
"""Longest pause in seconds between streams; refused callers do not return at once."""


@dataclass(slots=True, kw_only=True)
class ResumingCallers:
    """Callers that resume each stream once.

    Parameters
    ----------
    callers : Callers
        Records the requests.
    rng : random.Random
        Draws the pauses and the gateways.
    """

    callers: Callers
    rng: random.Random

    def start(self) -> list[asyncio.Task[None]]:
        """Start one task per caller; they run until they are cancelled."""
        return [
            asyncio.create_task(self._resume_repeatedly()) for _ in range(N_CALLERS)
        ]

    async def _resume_repeatedly(self) -> None:
        while True:
            async with one_connection() as client:
                begun = await self.callers.call(
                    client,
                    self._gateway_index(),
                    kind="draft",
                    deadline_s=DEADLINE_S,
                    leaves_after=1,
                )
            numbers = events_of(begun)
            if numbers:
                await asyncio.sleep(MAX_AWAY_S * self.rng.random())
                async with one_connection() as client:
                    await self.callers.call(
                        client,
                        self._gateway_index(),
                        kind="draft",
                        deadline_s=DEADLINE_S,
                        resumes=begun.request_id,
                        after_event=numbers[-1],
                    )
            await asyncio.sleep(MAX_PAUSE_S * self.rng.random())

    def _gateway_index(self) -> int:
        """Return a gateway that is ready, if one is."""
        indexes = sorted(self.callers.ready) or range(len(self.callers.gateways))
        return self.rng.choice(indexes)
