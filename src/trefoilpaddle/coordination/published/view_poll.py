"""Asks other gateways for a newer list of workers while the store confirms none."""

import asyncio
import math
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from absl import logging

from ...protocol.gen.chain.ttypes import StoreState
from ...state.members import MemberRecord, MemberState
from .update_delays import elapsed_s
from .view_age import ViewAge

POLL_AFTER_S: Final = 1.0
"""Age of the list after which others are polled; readers confirm it every 0.6 s."""

POLL_PERIOD_S: Final = 0.3
"""Seconds from one poll to the next."""

N_ROUNDS: Final = 5
"""Polls in which all gateways are polled once; they fit into `RECENT_S`."""

MIN_POLLED: Final = 5
"""Gateways that are polled at a time, or all if there are fewer."""

RECENT_S: Final = 2.0
"""Time in seconds for which a response, or its absence, counts."""


def _unbounded() -> float:
    return math.inf


class ViewPoll:
    """Polls all known gateways in turn, also those believed lost, for a newer list.

    While the store is away for all, nobody confirms a list, and no list changes. That
    is told from a partition that hides newer lists by how many gateways respond and
    have nothing newer. A sample would not do: five gateways of twelve on one side of a
    partition often draw one another.

    Parameters
    ----------
    own_id : str
        Id of this gateway.
    age : ViewAge
        How old this gateway's list may be.
    members : callable
        Returns the records of all known gateways.
    query : callable
        Returns what a gateway knows of the store, or None if it does not respond.
    apply : callable
        Applies what a gateway knows, polled at a time on the clock of `elapsed_s`;
        returns True if it has nothing newer than what is known here afterwards.
    grace_s : callable
        Returns the time in seconds after which a gateway that was ordered to stop may
        be back.
    """

    __slots__ = (
        "_age",
        "_agreed_s",
        "_apply",
        "_began_s",
        "_grace_s",
        "_members",
        "_next",
        "_outvoted_s",
        "_own_id",
        "_polled_s",
        "_query",
        "_tasks",
    )

    def __init__(
        self,
        *,
        own_id: str,
        age: ViewAge,
        members: Callable[[], Sequence[MemberRecord]],
        query: Callable[[MemberRecord], Awaitable[StoreState | None]],
        apply: Callable[[StoreState, float], bool],
        grace_s: Callable[[], float] = _unbounded,
    ) -> None:
        self._own_id = own_id
        self._grace_s = grace_s
        self._outvoted_s = -math.inf
        self._age = age
        self._members = members
        self._query = query
        self._apply = apply
        self._agreed_s: dict[str, float] = {}
        self._next = 0
        self._polled_s = -math.inf
        self._began_s = -math.inf
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Poll while the list is old or a gateway is suspected, until cancelled."""
        while True:
            if self._is_needed():
                await self.poll()
            await asyncio.sleep(POLL_PERIOD_S)

    async def poll(self) -> None:
        """Begin to poll the next gateways; what they answer counts once it is there."""
        now_s = elapsed_s()
        if now_s - self._polled_s > RECENT_S:
            self._began_s = now_s
        self._polled_s = now_s
        others = self._others()
        size = max(MIN_POLLED, math.ceil(len(others) / N_ROUNDS))
        for place in range(self._next, self._next + min(size, len(others))):
            task = asyncio.create_task(self._ask(others[place % len(others)], now_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._next = (self._next + size) % max(1, len(others))
        await asyncio.sleep(0)

    def n_agreeing(self) -> int:
        """Return how many gateways, this one included, have nothing newer lately.

        0 if one has: whatever the others have, the list is not the newest.
        """
        since_s = elapsed_s() - RECENT_S
        if self._outvoted_s >= since_s:
            return 0
        ids = {member.process_id for member in self._others()}
        return 1 + sum(
            at_s >= since_s for each, at_s in self._agreed_s.items() if each in ids
        )

    def n_known(self) -> int:
        """Return how many gateways may run, this one included."""
        return 1 + len(self._others())

    def is_complete(self) -> bool:
        """Return True if all have been polled lately, and could have responded."""
        now_s = elapsed_s()
        is_recent = now_s - self._polled_s <= RECENT_S
        return is_recent and now_s - self._began_s >= RECENT_S

    def _is_needed(self) -> bool:
        return self._age.age_s > POLL_AFTER_S or any(
            member.state is MemberState.SUSPECT for member in self._members()
        )

    def _others(self) -> list[MemberRecord]:
        """Return all other gateways that may run, in the order of their ids."""
        return sorted(
            (
                member
                for member in self._members()
                if member.process_id != self._own_id and not self._is_leaving(member)
            ),
            key=lambda member: member.process_id,
        )

    def _is_leaving(self, member: MemberRecord) -> bool:
        """Return True while a gateway that was ordered to stop is not back."""
        if member.state is not MemberState.LEAVING:
            return False
        since_s = member.leaving_since_s
        return since_s is None or time.monotonic() - since_s <= self._grace_s()

    async def _ask(self, member: MemberRecord, sent_s: float) -> None:
        try:
            state = await self._query(member)
            if state is None:
                return
            if self._apply(state, sent_s):
                self._agreed_s[member.process_id] = sent_s
            else:
                self._outvoted_s = sent_s
        except Exception:
            logging.exception("polling %s failed", member.process_id)
