"""Selects the gateway that schedules a cell, and keeps links to it."""

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
"""Seconds without a message after which a scheduler is skipped.

Its chains are run again elsewhere. Heartbeats are sent every 0.5 s, every second by
a gateway with many connections; a lost packet is retransmitted within 0.4 s. A chain
takes about as long as this timeout.
"""

NEW_LINK_S: Final = 1.0
"""Seconds after its creation in which a link may not be connected yet."""

LINKS_PER_CELL: Final = 2
"""Number of gateways per cell to which links are kept: the scheduler and the next."""

CONNECT_TIMEOUT_S: Final = 0.3
"""Seconds to wait for a new link; many times the time to connect in a region."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SchedulerEndpoint:
    """A cell with the link to its scheduler.

    Parameters
    ----------
    cell : Cell
        The cell whose stage workers run a chain.
    link : Link or None
        Link to the cell's scheduler; None if this gateway is the scheduler.
    """

    cell: Cell
    link: Link | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Rankings:
    """Cached order in which gateways may schedule cells, for one set of live members.

    When some hundred members were sorted for each chain, that was most of the cost of
    a chain at a gateway.

    Parameters
    ----------
    live : sequence of MemberRecord
        The live gateways.
    by_domains : dict of frozenset to list of MemberRecord
        Gateways that may schedule a cell, by the cell's failure domains.
    """

    live: Sequence[MemberRecord]
    by_domains: dict[frozenset[str], list[MemberRecord]] = field(default_factory=dict)


class SchedulerLinks:
    """Ranks the gateways that may schedule a cell, and keeps links to them.

    Parameters
    ----------
    own_id : str
        Process id of this gateway.
    live : callable
        Returns the live gateways, including this one.
    peers : Peers
        Links to the other gateways.
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
        """Return the endpoint of a cell's scheduler.

        All gateways agree on the oldest of the strongest gateways in the cell. Every
        chain of the cell passes its scheduler, so a weak host would delay all of them.
        A scheduler knows its backlog and reservations; a new one knows neither and
        admits too much. A restarted gateway therefore does not take its cell back from
        an equally strong one. An unresponsive gateway is skipped at once: waiting until
        the members agree on its exit would delay every chain.
        """
        for member in self._ranked(cell):
            if member.process_id == self._own_id:
                break
            link = self._link(member)
            if link is not None and is_live(link):
                return SchedulerEndpoint(cell=cell, link=link)
        return SchedulerEndpoint(cell=cell, link=None)

    def _ranked(self, cell: Cell) -> list[MemberRecord]:
        """Return the gateways that may schedule a cell, highest rank first."""
        rankings = self._current_rankings()
        ranked = rankings.by_domains.get(cell.failure_domains)
        if ranked is None:
            live = rankings.live
            in_cell = [m for m in live if m.failure_domain in cell.failure_domains]
            ranked = sorted(in_cell or live, key=duty_rank)
            rankings.by_domains[cell.failure_domains] = ranked
        return ranked

    def _current_rankings(self) -> "Rankings":
        """Return the rankings of the present live gateways."""
        live = self._live()
        if live is not self._rankings.live:
            self._rankings = Rankings(live=live)
            self._n_changes += 1
        return self._rankings

    def version_of_live(self) -> int:
        """Return a number that increases whenever the live gateways change."""
        self._current_rankings()
        return self._n_changes

    def max_millicores(self, region: str) -> int:
        """Return the millicores of a region's strongest gateway; 0 if unknown."""
        live = self._current_rankings().live
        return max((m.millicores for m in live if m.region == region), default=0)

    def _link(self, member: MemberRecord) -> Link | None:
        match Address.parse(member.address):
            case Ok(address):
                self._dialled_s.setdefault(_start_of(member), time.monotonic())
                return self._peers.link(address)
            case Err(error):
                logging.warning("address of %s: %s", member.process_id, error)
                return None

    async def connect(self, cell: Cell) -> None:
        """Wait for the link to a cell's scheduler to connect, if the link is new.

        A gateway whose link is not connected yet is not unresponsive. When it was
        skipped for that, the first chains after a start or a change of members were
        scheduled by different gateways.
        """
        for member in self._ranked(cell):
            if member.process_id == self._own_id:
                return
            link = self._link(member)
            if link is None or link.connection is not None:
                return
            if time.monotonic() - self._dialled_s[_start_of(member)] < NEW_LINK_S:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(CONNECT_TIMEOUT_S):
                        await link.opened.wait()
                return

    def endpoint_at(self, cell: Cell, process_id: str) -> SchedulerEndpoint | None:
        """Return the endpoint of a cell at a gateway, or None if it is not live."""
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
        """Keep links to the gateways that schedule cells or would do so next."""
        live = {_start_of(member) for member in self._live()}
        self._dialled_s = {
            start: at_s for start, at_s in self._dialled_s.items() if start in live
        }
        for cell in cells:
            for member in self._ranked(cell)[:LINKS_PER_CELL]:
                if member.process_id != self._own_id:
                    self._link(member)


def _start_of(member: MemberRecord) -> tuple[str, int]:
    """Return a key that identifies one start of a gateway."""
    return member.process_id, member.incarnation


def is_live(link: Link) -> bool:
    """Return True if a message has arrived on a link within the timeout."""
    connection = link.connection
    if connection is None:
        return False
    return time.monotonic() - connection.last_received_s < SCHEDULER_TIMEOUT_S
