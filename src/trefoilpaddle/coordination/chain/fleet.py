"""The other gateways: who is there, and what runs to know it."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Sequence
from typing import Final

from ...state.members import MemberRecord
from ...transport.connection import Address
from ..members.duty_rank import duty_rank
from ..members.membership import Membership
from ..members.peer_monitor import PeerMonitor
from ..own_process import OwnProcess

MEET_S: Final = 0.1
"""Time between tries to meet a seed while no other gateway is known.

All gateways may be back at the same moment, up to 0.4 s apart; each tenth that
two do not know one another, both schedule the same cell.
"""

MEET_TIMEOUT_S: Final = 0.3
"""Longest wait for a seed at a time; many times a message's way in a region."""

SETTLE_S: Final = 0.2
"""Time for which those that go first must be known, so that none goes before them.

News go over two steps of 0.05 s each.
"""

SETTLE_AT_MOST_S: Final = 0.8
"""Time after its start from which a gateway goes by what it knows."""

MIN_SHARING_GATEWAYS: Final = 4
"""Budgets are split among so many gateways at least.

A gateway that has just started, or that is cut off, sees itself alone; it must
not take the whole of what all share.
"""


class Fleet:
    """The gateways that this one knows.

    Parameters
    ----------
    process : OwnProcess
        The process that it runs in.
    seeds : tuple of str
        Addresses of gateways to ask first; may be stale.
    """

    __slots__ = ("_began_s", "_most", "_watch", "membership")

    def __init__(self, *, process: OwnProcess, seeds: tuple[str, ...]) -> None:
        self.membership = Membership(process=process, seeds=seeds)
        self._watch = PeerMonitor(
            process=process, membership=self.membership, is_wanted=_never
        )
        self._most = MIN_SHARING_GATEWAYS
        self._began_s = time.monotonic()

    def is_settled(self) -> bool:
        """Return True once this gateway knows who takes duties first.

        Before, it may be one of many that have started at the same moment, and
        take itself for the only one. Only news of those that go first count: weak
        hosts start later, one after the other, and all requests that the strong
        ones had taken waited until the last of them was known.
        """
        now_s = time.monotonic()
        if now_s - self._began_s > SETTLE_AT_MOST_S:
            return True
        live = self.live()
        first: dict[str, MemberRecord] = {}
        for member in sorted(live, key=duty_rank):
            first.setdefault(member.failure_domain, member)
        news_s = max(map(self._known_s, first.values()), default=now_s)
        return len(live) > 1 and now_s - news_s > SETTLE_S

    def _known_s(self, member: MemberRecord) -> float:
        """Return since when a gateway is known as it is; this one from its start."""
        return self.membership.last_change_s.get(member.process_id, self._began_s)

    def live(self) -> Sequence[MemberRecord]:
        """Return the live gateways, this one included."""
        return self.membership.live()

    def n_sharing(self) -> int:
        """Return among how many gateways shared budgets are split.

        The most that were ever seen: one that is believed dead may only be cut
        off, and goes on spending its part.
        """
        self._most = max(self._most, len(self.membership.table.records))
        return self._most

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Keep the view fresh while the context is open."""
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(work)
                for work in (
                    self._watch.run(),
                    self.membership.flood_updates(),
                    self.membership.compare_new_links(),
                    self.membership.compare_periodically(),
                    self.membership.announce_planned_stop(),
                    self._meet_first(),
                )
            ]
            try:
                yield
            finally:
                for task in tasks:
                    task.cancel()

    async def _meet_first(self) -> None:
        """Meet seeds until another gateway is known.

        All gateways may start at the same moment, and a seed may be one that
        listens a little later.
        """
        while len(self.membership.live()) < 2:
            # One that is dark must not hold up those that are there.
            addresses = self.membership.unknown_addresses()
            await asyncio.gather(*map(self._meet, addresses))
            await asyncio.sleep(MEET_S)

    async def _meet(self, address: str) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MEET_TIMEOUT_S):
                await self.membership.exchange_at(address)


def _never(address: Address) -> bool:
    return False
