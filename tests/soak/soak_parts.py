"""Requests of a soak test with a part in their prompts that crashes workers."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Final

from trefoilpaddle.standins.platform.worker import PlatformWorker

from .soak_actions import RestartWorker
from .soak_callers import HARMFUL, Callers, one_connection
from .soak_record import ActionInterval, Record

BAD_PART: Final = "bad"
GAP_S: Final = 0.8
"""Mean time between two of these requests."""

SERVICE: Final = "model"
N_CRASHES: Final = 5
KNOWN_S: Final = 3.0
"""Time without faults after which all gateways must know the part."""

MAX_LATE: Final = 3


class PartCrashes:
    """Lets workers crash under requests with the bad part.

    Parameters
    ----------
    record : Record
        Receives each crash as the restart of a worker.
    restart : callable
        Crashes the worker of an id and lists its new start.
    """

    def __init__(
        self, *, record: Record, restart: Callable[[str], Awaitable[None]]
    ) -> None:
        self._record = record
        self._restart = restart
        self._crashing: dict[str, asyncio.Task[None]] = {}

    def watch(self, worker: PlatformWorker) -> None:
        """Let a worker crash under marked requests."""
        worker.marked_parts = frozenset({BAD_PART})
        worker.on_marked = lambda: self._schedule(worker.worker_id)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Cancel restarts that are under way when the context exits."""
        try:
            yield
        finally:
            for task in self._crashing.values():
                task.cancel()

    def _schedule(self, worker_id: str) -> None:
        running = self._crashing.get(worker_id)
        if running is None or running.done():
            self._crashing[worker_id] = asyncio.create_task(self._crash(worker_id))

    async def _crash(self, worker_id: str) -> None:
        began_s = time.monotonic()
        self._record.part_crashed_s.append(began_s)
        await self._restart(worker_id)
        self._record.intervals.append(
            ActionInterval(
                action=RestartWorker(service=SERVICE),
                host=None,
                began_s=began_s,
                ended_s=time.monotonic(),
                worker_id=worker_id,
            )
        )


async def send_bad(callers: Callers, rng: random.Random) -> None:
    """Send requests with the bad part until cancelled; the rest of each is new."""
    while True:
        await asyncio.sleep(GAP_S * rng.uniform(0.5, 1.5))
        gateway_index = rng.choice(sorted(callers.ready) or [0])
        async with one_connection() as client:
            await callers.call(
                client,
                gateway_index,
                kind=HARMFUL,
                prompt_part=BAD_PART,
                deadline_s=1.0,
            )


def late_bad(record: Record, callers: Callers) -> Iterator[str]:
    """Check that few requests with the part reach workers once all must know it."""
    if len(record.part_crashed_s) < N_CRASHES:
        return
    fifth_s = sorted(record.part_crashed_s)[N_CRASHES - 1]
    from_s = max(record.healed_s, fifth_s) + KNOWN_S
    n_late = sum(
        begun_s > from_s for worker in record.workers for begun_s in worker.marked_s
    )
    if n_late > MAX_LATE:
        yield (
            f"{n_late} requests with a part under which {len(record.part_crashed_s)}"
            " workers had crashed reached workers after the faults"
        )
