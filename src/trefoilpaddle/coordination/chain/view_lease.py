"""How far this gateway's list of workers can be relied on."""

import asyncio
import time
from collections.abc import Callable, Collection
from typing import Final

from ...protocol.reasons import Reason
from ...state.chain.requests import Refused
from ...state.chain.served_versions import VIEW_LAG_S
from ...state.members import MemberRecord, MemberState
from ..published.view_age import ViewAge
from ..published.view_poll import ViewPoll

CURRENT_S: Final = 5.0
"""Age up to which a list shows all versions while all known gateways are in touch.

A store may take seconds for an answer; until then no gateway has a newer list.
"""


CONFIRM_WAIT_S: Final = 0.5
"""Longest wait in seconds for a list to be confirmed; a read takes some 10 ms."""

CONFIRM_POLL_S: Final = 0.01

LIST_OUTDATED_RETRY_S: Final = 0.1
"""Retry-After in seconds if the list is too old: another gateway probably serves."""


class ViewLease:
    """Decides whether streams may begin, and be inferred, by this gateway's list.

    Whoever infers the version of a stream relies on no gateway beginning streams by a
    split that ended more than ``VIEW_LAG_S`` ago. So none begins one by a list that
    nobody has confirmed for so long. While the store is away for all, gateways begin
    streams by the list that at least half of them have. Only more than half infer:
    without the others, some may be on the far side of a partition, with another list.

    Parameters
    ----------
    age : ViewAge
        How old the list may be.
    members : callable
        Returns the records of all known gateways, this one included.
    poll : ViewPoll or None
        Asks gateways for a newer list; None if nobody does.
    """

    __slots__ = ("_age", "_members", "_poll")

    def __init__(
        self,
        *,
        age: ViewAge,
        members: Callable[[], Collection[MemberRecord]],
        poll: ViewPoll | None = None,
    ) -> None:
        self._age = age
        self._members = members
        self._poll = poll

    @property
    def age_s(self) -> float:
        """Seconds since the list was known to be the store's; infinite before that."""
        return self._age.age_s

    def may_begin(self) -> bool:
        """Return True if streams that may be resumed may begin by the list."""
        if self._age.age_s <= VIEW_LAG_S:
            return True
        return (
            self._poll is not None
            and 2 * self._poll.n_agreeing() >= self._poll.n_known()
        )

    def is_lost(self) -> bool:
        """Return True if streams must not begin, and too few gateways responded."""
        if self._poll is None or not self._poll.is_complete():
            return False
        return not self.may_begin()

    async def wait_confirmed(self) -> None:
        """Wait for an old list to be confirmed, for a bounded time.

        A process that has stood still finds its list old, and reads the store at once.
        One that has found no confirmation lately need not wait.
        """
        ends_s = time.monotonic() + CONFIRM_WAIT_S
        while (  # noqa: ASYNC110 - no event signals it
            not (self.may_begin() or self.is_lost()) and time.monotonic() < ends_s
        ):
            await asyncio.sleep(CONFIRM_POLL_S)

    def refusal(self) -> Refused | None:
        """Return the refusal of a stream that must not begin here, or None."""
        if self.may_begin():
            return None
        return Refused(
            reason=Reason.LIST_OUTDATED,
            retry_after_s=LIST_OUTDATED_RETRY_S,
            detail=self.describe(),
        )

    def may_infer(self) -> bool:
        """Return True if the list shows all versions that may have begun a stream."""
        n_live, n_known = self._count()
        current_s = CURRENT_S if n_live == n_known else VIEW_LAG_S
        return self._age.age_s <= current_s and not self.is_minority()

    def is_minority(self) -> bool:
        """Return True if as many gateways may be out of reach as are in touch."""
        n_live, n_known = self._count()
        if self._poll is not None and self._poll.is_complete():
            # The members that nobody on this side watches count as live for long.
            n_live = min(n_live, self._poll.n_agreeing())
        return n_known > 0 and 2 * n_live <= n_known

    def is_any_out_of_reach(self) -> bool:
        """Return True if a gateway may run without hearing of this one."""
        n_live, n_known = self._count()
        return n_live < n_known or self.is_minority()

    def describe(self) -> str:
        """Return the age of the list and the gateways in touch, for the log."""
        n_live, n_known = self._count()
        age = f"{self._age.age_s:.1f} s ago" if self._age.is_known else "never"
        return f"list confirmed {age}, {n_live} of {n_known} gateways live"

    def _count(self) -> tuple[int, int]:
        """Return how many gateways are live, and how many may run."""
        states = [record.state for record in self._members()]
        n_known = sum(state is not MemberState.LEAVING for state in states)
        return states.count(MemberState.LIVE), n_known
