"""Chains that cannot be on time any more and wait for spare capacity."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from absl import logging

from ...state.chain.chain_work import ChainWork

CAPACITY_CHECK_PERIOD_S: Final = 0.05
"""Seconds between checks for spare capacity; a quarter of a call."""

WAIT_SHARE: Final = 0.4
"""Share of the time to its deadline that a chain waits."""

MIN_WAIT_S: Final = 1.0
"""A chain that cannot wait for this many seconds does not wait at all.

That is the time of some calls, after which a short excess of arrivals is over. Shorter
waits mostly end before it, and the caller is refused after having waited.
"""

DEFAULT_WAIT_S: Final = 5.0
"""Seconds that a chain waits if its deadline allows, even if that share is less."""

UNLOADED_DURATION_RATIO: Final = 2.0
"""Multiple of the duration without a backlog that is left for the stages.

An overdue chain runs after all chains that can be on time.
"""

MAX_WAITING: Final = 200
"""Maximum number of waiting chains; two seconds of a large cell's throughput."""

BEYOND_SHARE_RATIO: Final = 0.5
"""Part of the queue that chains of accounts beyond their shares may fill.

A burst of one account would otherwise leave no place for chains of the others.
"""


@dataclass(slots=True, kw_only=True, eq=False)
class WaitingChain:
    """One chain in the queue.

    Parameters
    ----------
    work : ChainWork
        The chain.
    is_beyond_share : bool
        True if its account is beyond its share, so that it waits behind all others.
    until_s : float
        Monotonic time at which it is refused.
    admitted : asyncio.Future of bool
        Resolved with True if the chain is admitted, and with False if it is refused.
    """

    work: ChainWork
    is_beyond_share: bool
    until_s: float
    admitted: "asyncio.Future[bool]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class OverdueQueue:
    """Admits overdue chains when they take no capacity from chains on time.

    A caller that is refused retries once, within a third of its time. If the overload
    still lasts, it would be refused for good, although its deadline may be seconds
    after the end of the overload.

    Parameters
    ----------
    has_capacity : callable
        Returns True if a chain can begin now without delaying others.
    unloaded_s : callable
        Returns the seconds that a chain takes without a backlog.
    """

    __slots__ = ("_admission_task", "_has_capacity", "_unloaded_s", "_waiting")

    def __init__(
        self,
        *,
        has_capacity: Callable[[ChainWork], bool],
        unloaded_s: Callable[[ChainWork], float],
    ) -> None:
        self._has_capacity = has_capacity
        self._unloaded_s = unloaded_s
        self._waiting: list[WaitingChain] = []
        self._admission_task: asyncio.Task[None] | None = None

    def may_wait(
        self,
        work: ChainWork,
        *,
        at_least_s: float = 0.0,
        is_beyond_share: bool = False,
    ) -> bool:
        """Return True if a chain can wait long enough and the queue is not full.

        Parameters
        ----------
        work : ChainWork
            The chain.
        at_least_s : float
            Seconds that it must be able to wait, if these are more than usual.
        is_beyond_share : bool
            True if its account is beyond its share.
        """
        has_time = self._wait_s(work) >= max(MIN_WAIT_S, at_least_s)
        max_waiting = MAX_WAITING
        if is_beyond_share:
            max_waiting = int(BEYOND_SHARE_RATIO * MAX_WAITING)
        return has_time and len(self._waiting) < max_waiting

    async def wait(self, work: ChainWork, *, is_beyond_share: bool = False) -> bool:
        """Wait until there is capacity; return False if there was none in time.

        Parameters
        ----------
        work : ChainWork
            The chain.
        is_beyond_share : bool
            True if its account is beyond its share; it waits behind all others.
        """
        waiting = WaitingChain(
            work=work,
            is_beyond_share=is_beyond_share,
            until_s=time.monotonic() + self._wait_s(work),
        )
        self._waiting.append(waiting)
        self._waiting.sort(
            key=lambda each: (each.is_beyond_share, each.work.priority, each.until_s)
        )
        if self._admission_task is None or self._admission_task.done():
            self._admission_task = asyncio.create_task(self._admit_waiting())
        try:
            return await waiting.admitted
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    def release_all(self) -> None:
        """Resume all waiting chains, as another gateway schedules their cell now."""
        for waiting in list(self._waiting):
            self._resolve(waiting, is_admitted=True)

    async def _admit_waiting(self) -> None:
        """Admit chains, the most urgent first, until none waits."""
        while self._waiting:
            await asyncio.sleep(CAPACITY_CHECK_PERIOD_S)
            try:
                await self._admit_while_possible()
            except Exception:
                # An exception would leave all waiting chains without an outcome.
                logging.exception("checking the capacity for overdue chains failed")
            now_s = time.monotonic()
            for waiting in [each for each in self._waiting if each.until_s <= now_s]:
                self._resolve(waiting, is_admitted=False)

    async def _admit_while_possible(self) -> None:
        while self._waiting and self._has_capacity(self._waiting[0].work):
            self._resolve(self._waiting[0], is_admitted=True)
            # The admitted chain must have made its reservations before the next one
            # is considered.
            await asyncio.sleep(0)
            await asyncio.sleep(0)

    def _resolve(self, waiting: WaitingChain, *, is_admitted: bool) -> None:
        self._waiting.remove(waiting)
        if not waiting.admitted.done():
            waiting.admitted.set_result(is_admitted)

    def _wait_s(self, work: ChainWork) -> float:
        """Return the seconds that a chain may wait and still meet its deadline."""
        left_s = work.deadline_s - time.monotonic()
        max_wait_s = left_s - UNLOADED_DURATION_RATIO * self._unloaded_s(work)
        return min(max_wait_s, max(WAIT_SHARE * left_s, DEFAULT_WAIT_S))
