"""The gateways known to this one, and the tasks that keep that view current."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Collection, Sequence
from typing import Final

from ...state.members import MemberRecord, MemberState
from ...transport.connection import Address
from ..members.duty_rank import duty_rank
from ..members.membership import Membership
from ..members.peer_monitor import PeerMonitor
from ..own_process import OwnProcess
from .planned_stop import accept_streams_s

DISCOVERY_PERIOD_S: Final = 0.1
"""Seconds between tries to contact the seeds while no other gateway is known.

All gateways may start at the same time, up to 0.4 s apart. In each tenth of a second
in which two of them do not know one another, both schedule the same cell.
"""

MAX_DISCOVERY_PERIOD_S: Final = 2.0
"""Longest mean time in seconds between tries once another gateway is known.

It grows with the gateways that are known, as all of them contact the same seeds.
"""

DISCOVERY_TIMEOUT_S: Final = 0.3
"""Timeout in seconds of one try; many times a message's latency in a region."""

SETTLE_S: Final = 0.2
"""Seconds for which the highest-ranked gateways must be known without a change.

Updates take two hops of 0.05 s each.
"""

SETTLE_AT_MOST_S: Final = 0.8
"""Seconds after its start from which a gateway relies on its view in any case."""

KNOWN_AT_MOST_S: Final = 1.5
"""Seconds after its start within which a gateway hears of others that run.

The longest back-off of a link: others dial a gateway that is back even if none of its
seeds runs.
"""

KNOWN_POLL_S: Final = 0.02
"""Period in seconds of the check whether another gateway is known after the start."""

RETURN_POLL_S: Final = 0.1
"""Seconds between tries of a stopping gateway to reach those that stopped before it."""

RESTART_S: Final = 1.0
"""Seconds from the exit of a gateway until its next start serves."""

MIN_RETURN_S: Final = 0.25
"""Shortest time in seconds stated until a gateway serves while none is live."""

MIN_SHARING_GATEWAYS: Final = 4
"""Minimum number of gateways among which shared budgets are split.

A gateway that has just started, or that is disconnected, knows only itself; it must
not use the whole of a budget that all share.
"""


class Fleet:
    """The gateways that this one knows.

    Parameters
    ----------
    process : OwnProcess
        This process.
    seeds : tuple of str
        Addresses of gateways to contact first; may be stale.

    Attributes
    ----------
    membership : Membership
        The membership that the view is taken from.
    """

    __slots__ = ("_began_s", "_max_members", "_process", "_watch", "membership")

    def __init__(self, *, process: OwnProcess, seeds: tuple[str, ...]) -> None:
        self._process = process
        self.membership = Membership(process=process, seeds=seeds)
        self._watch = PeerMonitor(
            process=process, membership=self.membership, is_wanted=_never
        )
        self._max_members = MIN_SHARING_GATEWAYS
        self._began_s = time.monotonic()

    def is_settled(self) -> bool:
        """Return True once this gateway knows the highest-ranked gateways.

        Before, it may be one of many that have started at the same time, and regard
        itself as the only one. Only changes of the highest-ranked gateway of each
        failure domain count: weak hosts start later, one after the other, and all
        requests that strong hosts had accepted waited until the last was known.
        """
        now_s = time.monotonic()
        if now_s - self._began_s > SETTLE_AT_MOST_S:
            return True
        live = self.live()
        highest_ranked: dict[str, MemberRecord] = {}
        for member in sorted(live, key=duty_rank):
            highest_ranked.setdefault(member.failure_domain, member)
        changed_s = max(map(self._known_s, highest_ranked.values()), default=now_s)
        return len(live) > 1 and now_s - changed_s > SETTLE_S

    async def wait_known(self) -> None:
        """Wait until another gateway is on record, for a bounded time after the start.

        Those that have been ordered to stop count, as they know what others have done.
        """
        while not self._is_another_known():  # noqa: ASYNC110 - no event signals it
            await asyncio.sleep(KNOWN_POLL_S)

    def _is_another_known(self) -> bool:
        is_late = time.monotonic() - self._began_s > KNOWN_AT_MOST_S
        return is_late or len(self.membership.table.records) > 1

    def _known_s(self, member: MemberRecord) -> float:
        """Return since when a gateway is known unchanged; for this one, its start."""
        return self.membership.last_change_s.get(member.process_id, self._began_s)

    def live(self) -> Sequence[MemberRecord]:
        """Return the live gateways, this one included."""
        return self.membership.live()

    def stopping(self, *, within_s: float) -> Sequence[MemberRecord]:
        """Return the gateways that announced a planned stop lately.

        The one that announced it last comes last.

        Parameters
        ----------
        within_s : float
            Seconds since the announcement in which they count; as long as they may
            run, for example.
        """
        now_s = time.monotonic()
        stopping = [
            record
            for record in self.membership.table.records.values()
            if record.state is MemberState.LEAVING
            and now_s - self._stopping_since_s(record) < within_s
        ]
        return sorted(stopping, key=self._stopping_since_s)

    def _stopping_since_s(self, member: MemberRecord) -> float:
        """Return when a gateway announced its stop, which others may have heard of."""
        if member.leaving_since_s is None:
            return self._known_s(member)
        return member.leaving_since_s

    def serves_elsewhere_in_s(self, *, grace_s: float) -> float:
        """Return the seconds until another gateway probably serves; 0 if one does.

        One that has been ordered to stop serves for some seconds more. After that it
        is the time until the one that was ordered first has started again.

        Parameters
        ----------
        grace_s : float
            Seconds from the order to stop to the kill.
        """
        own = self.membership.own
        # A stop that was only heard of may have begun long before.
        known = {own.process_id, *self.membership.seen_live}
        stopping = [
            member
            for member in self.stopping(within_s=grace_s)
            if member.process_id in known
        ]
        now_s = time.monotonic()
        accepting = [
            member
            for member in stopping
            if now_s - self._known_s(member) < accept_streams_s(grace_s)
        ]
        if any(member is not own for member in (*self.live(), *accepting)):
            return 0.0
        first_ordered_s = min(map(self._known_s, stopping), default=now_s)
        return max(MIN_RETURN_S, first_ordered_s + grace_s + RESTART_S - now_s)

    def known_ids(self) -> Collection[str]:
        """Return the ids of all gateways on record, also of those believed dead."""
        return self.membership.table.records.keys()

    def n_sharing(self) -> int:
        """Return the number of gateways among which shared budgets are split.

        It is the highest number ever seen: a gateway that is believed dead may only
        be disconnected and continue to use its share.
        """
        self._max_members = max(self._max_members, len(self.membership.table.records))
        return self._max_members

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Keep the view of the gateways current while the context is open."""
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(work)
                for work in (
                    self._watch.run(),
                    self.membership.flood_updates(),
                    self.membership.compare_new_links(),
                    self.membership.compare_periodically(),
                    self.membership.announce_planned_stop(),
                    self._discover(),
                    self._dial_returning(),
                )
            ]
            try:
                yield
            finally:
                for task in tasks:
                    task.cancel()

    async def _discover(self) -> None:
        """Contact the seeds until another gateway is known, then those not on record.

        All gateways may start at the same time, and a seed may be one that listens a
        little later. It may have no seeds that run: until one of the others contacts
        it, both sides take all duties, and neither knows the streams of the other.
        """
        while len(self.membership.live()) < 2:
            # Concurrently, so that an unresponsive seed does not delay the others.
            unknown_seeds = self.membership.unknown_addresses()
            await asyncio.gather(*map(self._contact, unknown_seeds))
            await asyncio.sleep(DISCOVERY_PERIOD_S)
        while not self._process.stopping.is_set():
            period_s = DISCOVERY_PERIOD_S * max(2, len(self.membership.live()))
            period_s = min(period_s, MAX_DISCOVERY_PERIOD_S)
            await asyncio.sleep(period_s * random.uniform(0.75, 1.25))
            unrecorded = self.membership.unrecorded_addresses()
            if unrecorded:
                await self._contact(random.choice(unrecorded))

    async def _dial_returning(self) -> None:
        """Dial gateways without a back-off while this one stops.

        Those that stopped before it start again meanwhile, and may know nobody: the
        processes at the addresses that they contact may all have exited. This one tells
        them what it knows before it exits.
        """
        await self._process.stopping.wait()
        while True:
            for link in self.membership.child_links():
                if link.connection is None:
                    link.dial_now()
            await asyncio.sleep(RETURN_POLL_S)

    async def _contact(self, address: str) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DISCOVERY_TIMEOUT_S):
                await self.membership.exchange_at(address)


def _never(address: Address) -> bool:
    return False
