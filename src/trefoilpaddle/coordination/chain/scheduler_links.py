"""Which gateway schedules a cell, and the links that lead there."""

import asyncio
import contextlib
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from absl import logging
from result import Err, Ok

from ...state.chain.cells import Cell
from ...state.members import MemberRecord
from ...transport.connection import Address
from ...transport.link import Link
from ...transport.peers import Peers
from ..members.duty_rank import duty_rank

SCHEDULER_TIMEOUT_S: Final = 1.6
"""A scheduler that was not heard for this long is passed over, its chains run again.

Heartbeats come every 0.5 s, every second from one with many connections; a lost
packet is sent again within 0.4 s. A chain takes about as long as this.
"""

NEW_LINK_S: Final = 1.0
"""A link that was begun less than this ago may only not be connected yet."""

N_WARM: Final = 2
"""Gateways to which links are kept for each cell: its scheduler and the next."""

CONNECT_WAIT_S: Final = 0.3
"""Wait for such a link; many times what connecting takes within a region."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SchedulerEndpoint:
    """Where a chain can go.

    Parameters
    ----------
    cell : Cell
        Whose stage workers make it.
    link : Link or None
        To its scheduler; None if this gateway keeps it.
    """

    cell: Cell
    link: Link | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Rankings:
    """In which order gateways may schedule cells, found once for each change.

    Sorted for each chain, some hundred members were most of what it cost a gateway.

    Parameters
    ----------
    live : sequence of MemberRecord
        The live gateways.
    by_domains : dict of frozenset to list of MemberRecord
        Those that may schedule a cell, by its failure domains.
    """

    live: Sequence[MemberRecord]
    by_domains: dict[frozenset[str], list[MemberRecord]] = field(default_factory=dict)


class SchedulerLinks:
    """Ranks the gateways that may schedule a cell, and keeps links to them.

    Parameters
    ----------
    own_id : str
        This gateway.
    live : callable
        Returns the live gateways, this one included.
    peers : Peers
        Links to the others.
    """

    __slots__ = ("_dialled_s", "_live", "_n_changes", "_own_id", "_peers", "_rankings")

    def __init__(
        self, *, own_id: str, live: Callable[[], Sequence[MemberRecord]], peers: Peers
    ) -> None:
        self._own_id = own_id
        self._live = live
        self._peers = peers
        self._dialled_s: dict[tuple[str, int], float] = {}
        self._rankings = Rankings(live=())
        self._n_changes = 0

    def endpoint(self, cell: Cell) -> SchedulerEndpoint:
        """Return the place of a cell's scheduler.

        All gateways agree on the oldest of the strongest of the cell. Every
        chain of the cell passes its scheduler, so a weak host would be late
        with all of them. A scheduler knows what waits and what it has reserved, a
        new one knows nothing and admits too much; so one that is restarted does
        not take its cell back from its equals. One that is silent is passed over
        at once: waiting until the members agree on its end would hold up every
        chain.
        """
        for member in self._ranked(cell):
            if member.process_id == self._own_id:
                break
            link = self._link(member)
            if link is not None and is_live(link):
                return SchedulerEndpoint(cell=cell, link=link)
        return SchedulerEndpoint(cell=cell, link=None)

    def _ranked(self, cell: Cell) -> list[MemberRecord]:
        """Return the gateways that may schedule a cell, the first first."""
        rankings = self._known()
        ranked = rankings.by_domains.get(cell.failure_domains)
        if ranked is None:
            live = rankings.live
            near = [m for m in live if m.failure_domain in cell.failure_domains]
            ranked = sorted(near or live, key=duty_rank)
            rankings.by_domains[cell.failure_domains] = ranked
        return ranked

    def _known(self) -> "Rankings":
        """Return what was ranked since the live gateways have changed last."""
        live = self._live()
        if live is not self._rankings.live:
            self._rankings = Rankings(live=live)
            self._n_changes += 1
        return self._rankings

    def version_of_live(self) -> int:
        """Return a number that rises whenever other gateways are live."""
        self._known()
        return self._n_changes

    def most_millicores(self, region: str) -> int:
        """Return the processor of a region's strongest gateway; 0 if untold."""
        live = self._known().live
        return max((m.millicores for m in live if m.region == region), default=0)

    def _link(self, member: MemberRecord) -> Link | None:
        match Address.parse(member.address):
            case Ok(address):
                self._dialled_s.setdefault(_start_of(member), time.monotonic())
                return self._peers.link(address)
            case Err(problem):
                logging.warning("address of %s: %s", member.process_id, problem)
                return None

    async def connect(self, cell: Cell) -> None:
        """Wait a moment for the link to a cell's scheduler if it is new.

        Not connected yet is not silent. Passed over for it, the first chains after
        a start, or after a change, each went to a scheduler of their own.
        """
        for member in self._ranked(cell):
            if member.process_id == self._own_id:
                return
            link = self._link(member)
            if link is None or link.connection is not None:
                return
            if time.monotonic() - self._dialled_s[_start_of(member)] < NEW_LINK_S:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(CONNECT_WAIT_S):
                        await link.opened.wait()
                return

    def endpoint_at(self, cell: Cell, process_id: str) -> SchedulerEndpoint | None:
        """Return a cell's place at a gateway, or None if that is not live."""
        for member in self._live():
            if member.process_id != process_id:
                continue
            if process_id == self._own_id:
                return SchedulerEndpoint(cell=cell, link=None)
            link = self._link(member)
            if link is not None and is_live(link):
                return SchedulerEndpoint(cell=cell, link=link)
        return None

    def keep_links(self, cells: Iterable[Cell]) -> None:
        """Keep links to those that schedule cells, or will next."""
        live = {_start_of(member) for member in self._live()}
        self._dialled_s = {
            start: at_s for start, at_s in self._dialled_s.items() if start in live
        }
        for cell in cells:
            for member in self._ranked(cell)[:N_WARM]:
                if member.process_id != self._own_id:
                    self._link(member)


def _start_of(member: MemberRecord) -> tuple[str, int]:
    """Return what tells one start of a gateway from the next."""
    return member.process_id, member.incarnation


def is_live(link: Link) -> bool:
    """Return True if a gateway has said something lately."""
    connection = link.connection
    if connection is None:
        return False
    return time.monotonic() - connection.heard_s < SCHEDULER_TIMEOUT_S
