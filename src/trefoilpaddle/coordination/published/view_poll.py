"""Asks other gateways for a newer list of workers while the store confirms none."""

import asyncio
import random
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
"""Seconds from one poll to the next; several fit into the lease of a list."""

N_POLLED: Final = 5
"""Gateways that are polled at a time, drawn at random from all that are known."""


class ViewPoll:
    """Polls gateways, also those that are believed lost, for a newer list.

    While the store is away for all, nobody confirms a list, and no list changes. That
    is told from a partition that hides newer lists by how many gateways respond: at
    least half of those polled, this one included, must have nothing newer.

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
    """

    __slots__ = ("_age", "_apply", "_members", "_own_id", "_query")

    def __init__(
        self,
        *,
        own_id: str,
        age: ViewAge,
        members: Callable[[], Sequence[MemberRecord]],
        query: Callable[[MemberRecord], Awaitable[StoreState | None]],
        apply: Callable[[StoreState, float], bool],
    ) -> None:
        self._own_id = own_id
        self._age = age
        self._members = members
        self._query = query
        self._apply = apply

    async def run(self) -> None:
        """Poll whenever the list has not been confirmed lately, until cancelled."""
        while True:
            if self._age.age_s > POLL_AFTER_S:
                try:
                    await self.poll()
                except Exception:
                    logging.exception("polling other gateways failed")
            await asyncio.sleep(POLL_PERIOD_S)

    async def poll(self) -> None:
        """Poll some gateways once, and record whether enough have nothing newer."""
        others = [
            member
            for member in self._members()
            if member.process_id != self._own_id
            and member.state is not MemberState.LEAVING
        ]
        polled = random.sample(others, min(N_POLLED, len(others)))
        sent_s = elapsed_s()
        states = await asyncio.gather(*map(self._query, polled))
        n_agreeing = 1 + sum(
            self._apply(state, sent_s) for state in states if state is not None
        )
        if 2 * n_agreeing >= len(polled) + 1:
            self._age.agree(ago_s=elapsed_s() - sent_s)
        else:
            self._age.miss()
