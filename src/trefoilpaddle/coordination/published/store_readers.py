"""Decides which gateways read the store and how the others receive what is read.

Each read has a cost, and the store limits the total rate. A few gateways of each
group read the store and send an update to the rest after every read. A gateway that
receives no update in time reads the store itself, so that no gateway's view gets
older than if all of them read.
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
from .update_delays import UpdateDelays

N_READERS: Final = 2
"""Readers per group. With one, all gateways would read whenever it restarts."""

MAX_REGION_GROUP_SIZE: Final = 96
"""Largest number of gateways of a region that form one group.

In a larger region each failure domain is a group. Each group adds the cost of its own
readers. A reader notifies all others of its group 1.7 times a second; in a larger group
it would send more than a host may send for control traffic.
"""

UPDATE_TIMEOUT_S: Final = 0.8
"""How long after an update a gateway does not read the store itself.

A reader reads every 0.6 s. A published change is active at all gateways within this
time plus one read and its transmission: far less than the allowed two seconds.
"""

CHECK_INTERVAL_S: Final = 0.3
"""Time between checks of a gateway that is not a reader; half of `POLL_S`."""

LIST_STAGGER_S: Final = 0.6
"""Time over which the reads of the era's first list by other gateways are spread.

Gateways that are not readers list the store one after the other after a recovery.
Together with the readers' turns before, this leaves time for a read within 3 s.
"""


@unique
class UpdateGap(Enum):
    """What an update lacks, so that the store is read at once."""

    LIST = "it needs the whole list"
    CHANGES = "news lead on from later"
    TABLE = "news name a newer table"
    STALE = "news are older than what is known"


NO_RECENT_UPDATE: Final = "it was not told"
LATE_UPDATES: Final = "news were long under way"
"""Why a gateway that is not a reader reads, unless an update lacked something."""


class StoreReaders:
    """Decides whether this gateway must read the store now.

    Parameters
    ----------
    process : OwnProcess
        Listens for peers and holds connections to them.
    live : callable
        Returns the live gateways, this one included.

    Attributes
    ----------
    on_update : callable or None
        Applies an update from a reader; returns what is still missing, or None.
    """

    __slots__ = (
        "_delay_s",
        "_delays",
        "_is_behind",
        "_live",
        "_missing",
        "_process",
        "_updated_s",
        "_was_reader",
        "on_update",
    )

    def __init__(
        self, *, process: OwnProcess, live: Callable[[], Sequence[MemberRecord]]
    ) -> None:
        self._process = process
        self._live = live
        self._delays = UpdateDelays()
        self._delay_s = 0.0
        self._updated_s = -UPDATE_TIMEOUT_S
        self._is_behind = asyncio.Event()
        self._missing: UpdateGap | None = None
        self._was_reader = False
        self.on_update: Callable[[StoreNews], UpdateGap | None] | None = None
        process.message_listeners.append(self._on_message)

    @property
    def delay_s(self) -> float:
        """How much longer than its reader's quickest the latest update took."""
        return self._delay_s

    def must_read(self) -> bool:
        """Return True if this gateway has to read the store now."""
        is_reader = self.is_reader()
        if is_reader is not self._was_reader:
            self._was_reader = is_reader
            self._record_role(is_reader=is_reader)
        if is_reader:
            return True
        update_age_s = time.monotonic() - self._updated_s
        is_due = self._is_behind.is_set() or update_age_s >= UPDATE_TIMEOUT_S
        if is_due:
            self._record_extra_read(update_age_s)
        return is_due

    def list_delay_s(self) -> float:
        """Return how long to leave the first list of an era to other gateways.

        All gateways detect a recovery of the store at the same time. The first reader
        lists the store and sends the difference to the others. Each other gateway
        lists it only if none that ranks before it has.
        """
        own_id = self._process.identity.process_id
        ranked = [each.process_id for each in sorted(self._group(), key=duty_rank)]
        n_before = ranked.index(own_id) if own_id in ranked else len(ranked)
        if n_before < N_READERS:
            return n_before * CHECK_INTERVAL_S
        turn = (n_before - N_READERS) / len(ranked)
        return N_READERS * CHECK_INTERVAL_S + turn * LIST_STAGGER_S

    async def wait(self) -> None:
        """Wait until it is time to check again whether to read."""
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self._is_behind.wait()
        except TimeoutError:
            return

    def record_read(self, *, is_answered: bool) -> None:
        """Record that the store or peers were queried for what was missing.

        A response of the store is as recent as an update from a reader.
        """
        self._is_behind.clear()
        self._missing = None
        if is_answered:
            self._updated_s = time.monotonic()

    def notify(self, update: StoreNews) -> None:
        """Send an update to the other gateways of the group, if this is a reader.

        The first list of an era is sent by any gateway that has read it.
        """
        if not self.is_reader() and update.base is None:
            return
        own = self._process.identity
        self._delays.stamp(update, incarnation=own.incarnation)
        for member in self._group():
            if member.process_id == own.process_id:
                continue
            match Address.parse(member.address):
                case Ok(address):
                    self._process.peers.link(address).send(update)
                case Err(_):
                    continue

    def _on_message(self, connection: Connection, message: Message) -> None:
        if not isinstance(message, StoreNews) or self.on_update is None:
            return
        self._delay_s = self._delays.delay_s(message)
        match self.on_update(message):
            case None:
                told_s = time.monotonic() - self._delay_s
                self._updated_s = max(self._updated_s, told_s)
            case UpdateGap.STALE:
                # Late, or from a reader that does not know yet what is known here: it
                # counts neither as an update nor as a reason to read.
                return
            case missing:
                self._missing = missing
                self._is_behind.set()

    def is_reader(self) -> bool:
        """Return True if this gateway reads for the others of its group."""
        own_id = self._process.identity.process_id
        return own_id in {member.process_id for member in _readers(self._group())}

    def _group(self) -> list[MemberRecord]:
        """Return the gateways that share readers with this one, including itself."""
        own = self._process.identity
        in_region = [m for m in self._live() if m.region == own.region]
        if len(in_region) <= MAX_REGION_GROUP_SIZE:
            return in_region
        return [m for m in in_region if m.failure_domain == own.failure_domain]

    def _record_extra_read(self, update_age_s: float) -> None:
        if self._missing is not None:
            reason = self._missing.value
        elif self._delay_s >= UPDATE_TIMEOUT_S:
            reason = LATE_UPDATES
        else:
            reason = NO_RECENT_UPDATE
        self._process.journal.record(
            Decision(
                event=Event.STORE_READ_BESIDE,
                peer=self._process.identity.process_id,
                detail=reason,
                figures=(Figure(name="told_age_s", value=update_age_s),),
            )
        )

    def _record_role(self, *, is_reader: bool) -> None:
        self._process.journal.record(
            Decision(
                event=Event.READER_CHANGED,
                peer=self._process.identity.process_id,
                detail="reads for others" if is_reader else "hears from readers",
            )
        )


def _readers(group: list[MemberRecord]) -> list[MemberRecord]:
    return sorted(group, key=duty_rank)[:N_READERS]
