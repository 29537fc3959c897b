"""Failure detection for a few peers: quick to suspect, slow to remove."""

import time
from collections.abc import Callable
from typing import Final

from result import Ok

from ...protocol.const import UNRESPONSIVE_AFTER_S
from ...state.members import MemberRecord, MemberState
from ...transport.aligned import aligned_sleep
from ...transport.connection import Address
from ...transport.link import Link
from ..own_process import OwnProcess
from .membership import Membership

CHECK_PERIOD_S: Final = 0.25
"""Time between two checks of the monitored links."""

CONNECT_GRACE_S: Final = 1.0
"""Time that a new link has to connect before its peer can be suspected."""

DEAD_AFTER_S: Final = 30.0
"""Time after which a member that is still suspected is reported as dead."""

LEFT_AFTER_S: Final = 120.0
"""Time after which a member that announced its leaving is reported as dead."""

FORGET_AFTER_S: Final = 600.0
"""Time after which the record of a dead member is removed."""

IDLE_LINK_S: Final = 120.0
"""Time without use after which a link is closed."""

SWEEP_PERIOD_S: Final = 5.0
"""Time between two sweeps for expired members and idle links."""


class PeerMonitor:
    """Keeps the links to the children open and reports unresponsive ones.

    Parameters
    ----------
    process : OwnProcess
        The process that it runs in.
    membership : Membership
        Provides the children; receives the states reported.
    is_wanted : callable
        Returns True for an address to which the role needs a link.
    """

    __slots__ = ("_check_from_s", "_is_wanted", "_membership", "_process", "_watched_s")

    def __init__(
        self,
        *,
        process: OwnProcess,
        membership: Membership,
        is_wanted: Callable[[Address], bool],
    ) -> None:
        self._process = process
        self._membership = membership
        self._is_wanted = is_wanted
        self._watched_s: dict[str, float] = {}
        self._check_from_s = 0.0

    def postpone_checks(self) -> None:
        """Suspect no peer until all links have had time to reconnect.

        To a process that was paused itself, all others look unresponsive.
        """
        self._check_from_s = time.monotonic() + UNRESPONSIVE_AFTER_S + CONNECT_GRACE_S

    async def run(self) -> None:
        """Monitor until cancelled."""
        next_sweep_s = time.monotonic() + SWEEP_PERIOD_S
        while True:
            now_s = time.monotonic()
            self._membership.update_children()
            self._watch_children(now_s)
            if now_s >= next_sweep_s:
                next_sweep_s = now_s + SWEEP_PERIOD_S
                self.expire_members(now_s)
                await self._close_idle_links(now_s)
            await aligned_sleep(CHECK_PERIOD_S)

    def _watch_children(self, now_s: float) -> None:
        children = {child.process_id: child for child in self._membership.children}
        self._watched_s = {
            process_id: self._watched_s.get(process_id, now_s)
            for process_id in children
        }
        if now_s < self._check_from_s:
            return
        for process_id, child in children.items():
            watched_s = now_s - self._watched_s[process_id]
            if watched_s > UNRESPONSIVE_AFTER_S + CONNECT_GRACE_S:
                self._suspect_if_unresponsive(child)
            else:
                self._link(child)

    def _suspect_if_unresponsive(self, child: MemberRecord) -> None:
        link = self._link(child)
        if link is None or link.is_responsive():
            return
        if child.state is MemberState.LIVE:
            self._membership.report_state(child.process_id, MemberState.SUSPECT)

    def _link(self, child: MemberRecord) -> Link | None:
        match Address.parse(child.address):
            case Ok(address):
                return self._process.peers.link(address)
            case _:
                return None

    def expire_members(self, now_s: float) -> None:
        """Report long-suspected and leaving members as dead; remove long-dead ones."""
        for record in list(self._membership.table.records.values()):
            if record.process_id == self._membership.own.process_id:
                continue
            age_s = now_s - self._membership.last_change_s.get(record.process_id, now_s)
            match record.state:
                case MemberState.SUSPECT if age_s > DEAD_AFTER_S:
                    self._membership.report_state(record.process_id, MemberState.DEAD)
                case MemberState.LEAVING if age_s > LEFT_AFTER_S:
                    self._membership.report_state(record.process_id, MemberState.DEAD)
                case MemberState.DEAD if age_s > FORGET_AFTER_S:
                    self._membership.forget(record.process_id)
                case _:
                    continue

    async def _close_idle_links(self, now_s: float) -> None:
        """Close links that have not been used for ``IDLE_LINK_S``.

        An open link costs heartbeats in both directions, and a link to a dead
        host redials without end; both would accumulate as hosts come and go.
        """
        kept = {child.address for child in self._membership.children}
        for address, link in list(self._process.peers.links.items()):
            if str(address) in kept or self._is_wanted(address):
                continue
            if link.is_idle(IDLE_LINK_S):
                await self._process.peers.close_link(address)
