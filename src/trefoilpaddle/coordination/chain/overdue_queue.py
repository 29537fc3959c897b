"""Chains that cannot be on time any more and wait for the load to pass."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from absl import logging

from ...state.chain.chain_work import ChainWork

LOOK_S: Final = 0.05
"""Time between looks whether there is capacity; a quarter of a call."""

WAIT_SHARE: Final = 0.4
"""Part of the time to its deadline that a chain waits."""

MIN_WAIT_S: Final = 4.0
"""Who cannot wait for so long does not wait at all.

A load that comes suddenly often lasts for some seconds. Shorter waits mostly end
before it does, and then the caller has waited for nothing.
"""

DEFAULT_WAIT_S: Final = 5.0
"""Who can wait for so long does, also where it is more than that part."""

WORK_RATIO: Final = 2.0
"""Times that its stages take where nothing waits, left for them after the wait.

What was let in late is made behind all that can be on time.
"""

MAX_WAITING: Final = 200
"""Chains that wait at most; two seconds of what a large cell serves."""


@dataclass(slots=True, kw_only=True, eq=False)
class WaitingChain:
    """One chain that waits.

    Parameters
    ----------
    work : ChainWork
        The chain.
    until_s : float
        Monotonic time at which it is given up.
    let_in : asyncio.Future of bool
        Set when there is capacity, or when it is given up.
    """

    work: ChainWork
    until_s: float
    let_in: "asyncio.Future[bool]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class OverdueQueue:
    """Lets late chains in when they take no place from one that can be on time.

    A caller that was refused comes back once, within a third of its time; if the
    load still lasts it would be refused for good, though its deadline may be
    seconds later than the load's end.

    Parameters
    ----------
    has_capacity : callable
        Returns True if a chain can be begun now at nobody's cost.
    least_s : callable
        Returns the seconds that a chain takes where nothing else waits.
    """

    __slots__ = ("_has_capacity", "_least_s", "_looking", "_waiting")

    def __init__(
        self,
        *,
        has_capacity: Callable[[ChainWork], bool],
        least_s: Callable[[ChainWork], float],
    ) -> None:
        self._has_capacity = has_capacity
        self._least_s = least_s
        self._waiting: list[WaitingChain] = []
        self._looking: asyncio.Task[None] | None = None

    def may_wait(self, work: ChainWork) -> bool:
        """Return True if a chain may wait: it has long, and not too many do."""
        has_long = self._wait_s(work) >= MIN_WAIT_S
        return has_long and len(self._waiting) < MAX_WAITING

    async def wait(self, work: ChainWork) -> bool:
        """Wait until there is capacity; return False if there was none in time."""
        waiting = WaitingChain(work=work, until_s=time.monotonic() + self._wait_s(work))
        self._waiting.append(waiting)
        self._waiting.sort(key=lambda each: (each.work.priority, each.until_s))
        if self._looking is None or self._looking.done():
            self._looking = asyncio.create_task(self._look())
        try:
            return await waiting.let_in
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    def release_all(self) -> None:
        """Let all go on: another gateway schedules their cell now."""
        for waiting in list(self._waiting):
            self._settle(waiting, is_let_in=True)

    async def _look(self) -> None:
        """Let chains in, the most urgent first, until none waits."""
        while self._waiting:
            await asyncio.sleep(LOOK_S)
            try:
                await self._let_in()
            except Exception:
                # A fault here would leave all who wait without an answer.
                logging.exception("a look whether late chains can begin")
            now_s = time.monotonic()
            for waiting in [each for each in self._waiting if each.until_s <= now_s]:
                self._settle(waiting, is_let_in=False)

    async def _let_in(self) -> None:
        while self._waiting and self._has_capacity(self._waiting[0].work):
            self._settle(self._waiting[0], is_let_in=True)
            # It must count among what is reserved before the next is judged.
            await asyncio.sleep(0)
            await asyncio.sleep(0)

    def _settle(self, waiting: WaitingChain, *, is_let_in: bool) -> None:
        self._waiting.remove(waiting)
        if not waiting.let_in.done():
            waiting.let_in.set_result(is_let_in)

    def _wait_s(self, work: ChainWork) -> float:
        """Return how long a chain may wait from now, and still be made in time."""
        left_s = work.deadline_s - time.monotonic()
        most_s = left_s - WORK_RATIO * self._least_s(work)
        return min(most_s, max(WAIT_SHARE * left_s, DEFAULT_WAIT_S))
