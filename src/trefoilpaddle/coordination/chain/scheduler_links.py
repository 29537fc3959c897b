"""Which gateway schedules a cell, and the links that lead there."""

import asyncio
import contextlib
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from absl import logging
from result import Err, Ok

from ...state.chain.cells import Cell
from ...state.members import MemberRecord
from ...transport.connection import Address
from ...transport.link import Link
from ...transport.peers import Peers
from .duty_rank import duty_rank

SCHEDULER_SILENT_S: Final = 1.6
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
class Place:
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

    __slots__ = ("_dialled_s", "_live", "_own_id", "_peers")

    def __init__(
        self, *, own_id: str, live: Callable[[], list[MemberRecord]], peers: Peers
    ) -> None:
        self._own_id = own_id
        self._live = live
        self._peers = peers
        self._dialled_s: dict[tuple[str, int], float] = {}

    def place(self, cell: Cell) -> Place:
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
                return Place(cell=cell, link=link)
        return Place(cell=cell, link=None)

    def _ranked(self, cell: Cell) -> list[MemberRecord]:
        """Return the gateways that may schedule a cell, the first first."""
        live = self._live()
        near = [m for m in live if m.failure_domain in cell.failure_domains]
        return sorted(near or live, key=duty_rank)

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

    def place_of(self, cell: Cell, process_id: str) -> Place | None:
        """Return a cell's place at a gateway, or None if that is not live."""
        for member in self._live():
            if member.process_id != process_id:
                continue
            if process_id == self._own_id:
                return Place(cell=cell, link=None)
            link = self._link(member)
            if link is not None and is_live(link):
                return Place(cell=cell, link=link)
        return None

    def keep(self, cells: Iterable[Cell]) -> None:
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
    return time.monotonic() - connection.heard_s < SCHEDULER_SILENT_S
