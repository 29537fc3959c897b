"""Which gateways read the store, and how the others hear what they have read.

Each read is paid for, and all reads together are bounded by the store. A few
gateways of each group read it and tell the rest after every read. Who is not
told in time reads by itself, so that nobody's view gets older than if all read.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from enum import Enum, unique
from typing import Final

from result import Err, Ok

from ...protocol.frames import Message
from ...protocol.gen.chain.ttypes import StoreNews
from ...state.journal import Decision, Event, Figure
from ...state.members import MemberRecord
from ...transport.connection import Address, Connection
from ..members.duty_rank import duty_rank
from ..own_process import OwnProcess

N_READERS: Final = 2
"""Gateways of a group that read. With one, all would read whenever it restarts."""

MAX_REGION_GROUP_SIZE: Final = 96
"""Gateways of a region up to which they are one group, else each failure domain.

Each group pays for readers of its own. A reader tells all others of its group 1.7
times a second, with more of them more than a host may send for control.
"""

UPDATE_TIMEOUT_S: Final = 0.8
"""How long a gateway goes by what a reader has told it last.

A reader reads every 0.6 s. What is published is in force at all within this,
one read and its way: far less than the two seconds in which it must be.
"""

CHECK_INTERVAL_S: Final = 0.3
"""Time between looks of a gateway that is told; half of the time between reads."""


LIST_STAGGER_S: Final = 0.6
"""Time over which those that do not read take turns to list the store after a return.

With what the readers have before them it leaves room for a read within 3 s.
"""


@unique
class UpdateGap(Enum):
    """What news do not give, so that the store is read at once."""

    LIST = "it needs the whole list"
    CHANGES = "news lead on from later"
    TABLE = "news name a newer table"
    STALE = "news are of an earlier era"


NO_RECENT_UPDATE: Final = "it was not told"
"""Why a gateway reads beside the readers without news that lack something."""


class StoreReaders:
    """Says whether this gateway must read the store now.

    Parameters
    ----------
    process : OwnProcess
        Listens for peers and keeps links to them.
    live : callable
        Returns the live gateways, this one included.

    Attributes
    ----------
    on_update : callable or None
        Takes what a reader has read; returns what is missing since, or None.
    """

    __slots__ = (
        "_is_behind",
        "_live",
        "_missing",
        "_process",
        "_told_s",
        "_was_reader",
        "on_update",
    )

    def __init__(
        self, *, process: OwnProcess, live: Callable[[], Sequence[MemberRecord]]
    ) -> None:
        self._process = process
        self._live = live
        self._told_s = -UPDATE_TIMEOUT_S
        self._is_behind = asyncio.Event()
        self._missing: UpdateGap | None = None
        self._was_reader = False
        self.on_update: Callable[[StoreNews], UpdateGap | None] | None = None
        process.message_listeners.append(self._on_message)

    def must_read(self) -> bool:
        """Return True if this gateway is to read the store itself now."""
        is_reader = self.is_reader()
        if is_reader is not self._was_reader:
            self._was_reader = is_reader
            self._note(is_reader=is_reader)
        if is_reader:
            return True
        told_age_s = time.monotonic() - self._told_s
        is_due = self._is_behind.is_set() or told_age_s >= UPDATE_TIMEOUT_S
        if is_due:
            self._note_beside(told_age_s)
        return is_due

    def list_delay_s(self) -> float:
        """Return how long to leave the first list of an era to other gateways.

        A store that comes back is found by all at once. The first in the order of
        readers lists it and tells the others what differs; each other one lists it
        only if none before it has.
        """
        own_id = self._process.identity.process_id
        ranked = [each.process_id for each in sorted(self._group(), key=duty_rank)]
        n_before = ranked.index(own_id) if own_id in ranked else len(ranked)
        if n_before < N_READERS:
            return n_before * CHECK_INTERVAL_S
        turn = (n_before - N_READERS) / len(ranked)
        return N_READERS * CHECK_INTERVAL_S + turn * LIST_STAGGER_S

    async def wait(self) -> None:
        """Wait until it is time to look again whether to read."""
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self._is_behind.wait()
        except TimeoutError:
            return

    def record_read(self, *, is_answered: bool) -> None:
        """Count what was missing as asked for, of the store or of peers.

        What the store has answered is as new as what a reader tells.
        """
        self._is_behind.clear()
        self._missing = None
        if is_answered:
            self._told_s = time.monotonic()

    def notify(self, news: StoreNews) -> None:
        """Tell the others of the group what was read, if this is a reader.

        The first list of an era is told by whoever has it.
        """
        if not self.is_reader() and news.base is None:
            return
        own_id = self._process.identity.process_id
        for member in self._group():
            if member.process_id == own_id:
                continue
            match Address.parse(member.address):
                case Ok(address):
                    self._process.peers.link(address).send(news)
                case Err(_):
                    continue

    def _on_message(self, connection: Connection, message: Message) -> None:
        if not isinstance(message, StoreNews) or self.on_update is None:
            return
        match self.on_update(message):
            case None:
                self._told_s = time.monotonic()
            case UpdateGap.STALE:
                # Late, or of a reader that will soon know better: neither told nor
                # asked for.
                return
            case missing:
                self._missing = missing
                self._is_behind.set()

    def is_reader(self) -> bool:
        """Return True if this gateway reads for the others of its group."""
        own_id = self._process.identity.process_id
        return own_id in {member.process_id for member in _readers(self._group())}

    def _group(self) -> list[MemberRecord]:
        """Return the gateways that share readers with this one, itself included."""
        own = self._process.identity
        in_region = [m for m in self._live() if m.region == own.region]
        if len(in_region) <= MAX_REGION_GROUP_SIZE:
            return in_region
        return [m for m in in_region if m.failure_domain == own.failure_domain]

    def _note_beside(self, told_age_s: float) -> None:
        self._process.journal.record(
            Decision(
                event=Event.STORE_READ_BESIDE,
                peer=self._process.identity.process_id,
                detail=NO_RECENT_UPDATE
                if self._missing is None
                else self._missing.value,
                figures=(Figure(name="told_age_s", value=told_age_s),),
            )
        )

    def _note(self, *, is_reader: bool) -> None:
        self._process.journal.record(
            Decision(
                event=Event.READER_CHANGED,
                peer=self._process.identity.process_id,
                detail="reads for others" if is_reader else "hears from readers",
            )
        )


def _readers(group: list[MemberRecord]) -> list[MemberRecord]:
    return sorted(group, key=duty_rank)[:N_READERS]
