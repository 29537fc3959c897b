"""Reads the store for a gateway, and puts in force what it or a reader says."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from typing import Final

from absl import logging
from result import Err, Ok, Result

from ...protocol.const import MS_PER_S
from ...protocol.gen.chain.ttypes import StoreNews, StoreState
from ...state.chain.workers import WorkerTable
from ...state.journal import Event, Journal
from .call_while_waiting import call_while_waiting
from .published_store import PublishedStore, PublishedTable, StoreChanges, StoreFault
from .store_position import StorePosition
from .store_readers import StoreReaders, UpdateGap
from .store_relay import StoreRelay
from .store_view import ListReason, StoreView
from .worker_listing import Scope

POLL_S: Final = 0.6
"""Time from one read to the next, counted from when they are asked for.

A change must be in force, and a leaving worker out of use, within two seconds;
this leaves room for one read that is lost. Workers' heartbeats change the store
many times a second, so a read that waits for a change would return at once.
"""

RETRY_S: Final = 0.3
"""Time to the next read after one that failed; half of the usual."""

PEER_FALLBACK_S: Final = 0.3
"""How long a read may take before peers are asked, and again each so long.

Many times the usual few milliseconds, and half of the time between two reads.
"""

UNAVAILABLE_AFTER_S: Final = 1.2
"""How long a question hangs, with an answer to a later one, if the store was away.

In less no entry runs out whose worker lives; the store was slow, or one answer lost.
"""

EXPIRY_CHECK_S: Final = 0.2
"""Time between looks for workers whose time to come back is over."""


class StoreFeed:
    """Reads the store and puts in force what it says.

    Parameters
    ----------
    store : PublishedStore
        Reads the store.
    workers : WorkerTable
        Kept as the store lists them.
    on_table : callable
        Called with each route table that is newer than the last.
    journal : Journal
        Takes what changes this gateway's view.
    relay : StoreRelay
        Asked while the store does not answer.
    readers : StoreReaders
        Says whether this gateway reads; told what it has read.
    query_peers : callable
        Returns what live peers know of the store.
    decode : callable
        Returns the table that a peer's bytes hold, or None.

    Attributes
    ----------
    is_unavailable : bool
        True while the store does not answer.
    view : StoreView
        What is known of it.
    """

    __slots__ = (
        "_asked_s",
        "_began_s",
        "_query_peers",
        "_read_s",
        "_readers",
        "_relay",
        "_store",
        "_told_s",
        "is_unavailable",
        "view",
    )

    def __init__(
        self,
        *,
        store: PublishedStore,
        workers: WorkerTable,
        on_table: Callable[[PublishedTable], None],
        journal: Journal,
        relay: StoreRelay,
        readers: StoreReaders,
        query_peers: Callable[[], Awaitable[list[StoreState]]],
        decode: Callable[[bytes], PublishedTable | None],
    ) -> None:
        self._relay = relay
        self._readers = readers
        readers.on_update = self.apply_update
        self._query_peers = query_peers
        self._store = store
        self.view = StoreView(
            workers=workers,
            on_table=on_table,
            decode=decode,
            journal=journal,
            relay=relay,
        )
        self._asked_s = 0.0
        self._began_s = 0.0
        self._told_s = 0.0
        self._read_s = time.monotonic()
        self.is_unavailable = False

    @property
    def position(self) -> StorePosition:
        """Up to which the store's changes are known; revision 0 if a list is needed."""
        return self.view.position

    @property
    def is_known(self) -> bool:
        """True once a route table is in force."""
        return self.view.store_journal.version > 0

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if not self.position.is_known or self._readers.must_read():
                began_s = self._began_s = time.monotonic()
                is_read = await call_while_waiting(
                    self._read_any(), self._ask_meanwhile, every_s=PEER_FALLBACK_S
                )
                self._readers.record_read(is_answered=is_read)
                # Counted from the question, so that readers tell the others in time
                # also while the store is slow.
                rest_s = max(0.0, began_s + POLL_S - time.monotonic())
                retry_s = min(RETRY_S, self._own_turn_s() or RETRY_S)
                await self._pause(rest_s if is_read else retry_s)
            else:
                self.view.listing.remove_expired(time.monotonic())
                await self._readers.wait()

    async def _pause(self, for_s: float) -> None:
        """Sleep, and drop meanwhile the workers whose time to come back is over."""
        ends_s = time.monotonic() + for_s
        while (left_s := ends_s - time.monotonic()) > 0.0:
            await asyncio.sleep(min(left_s, EXPIRY_CHECK_S))
            self.view.listing.remove_expired(time.monotonic())

    async def _read_any(self) -> bool:
        """Read the store, or peers if it does not answer; True if one of them did.

        One answer that cannot be taken must not end all reading: the gateway
        would go on with what it knew then, and nothing would show it.
        """
        try:
            if self._leaves_list_to_others():
                await self.read_peers()
                return self.position.is_known
            is_first = not self.is_known
            is_read = await self.read_once()
            if not is_read or is_first or self.view.table.is_behind:
                # A store that came back from a copy may have an older table than they.
                await self.read_peers()
            return is_read
        except Exception:
            logging.exception("what was published could not be taken in")
        return False

    async def _ask_meanwhile(self) -> None:
        """Ask peers while the store does not answer.

        It is given seconds, as it may only be slow.
        """
        try:
            await self.read_peers()
            is_late = time.monotonic() - self._began_s >= POLL_S
            if is_late and self.position.is_known and self._readers.is_reader():
                await self._read_again()
        except Exception:
            logging.exception("what peers know could not be taken in")

    async def _read_again(self) -> None:
        """Ask the store anew, at the usual pace, beside a question that hangs.

        One that was lost while the store was away hangs on after its return, and all
        other gateways wait for what the readers hear.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PEER_FALLBACK_S):
                await self.read_once(is_again=True)

    async def read_once(self, *, is_again: bool = False) -> bool:
        """Read once; return True if the store answered with what can be used.

        Parameters
        ----------
        is_again : bool
            True beside a question that hangs.
        """
        asked = self.position
        reason = self.view.list_reason
        if not (self.is_unavailable or is_again):
            self._asked_s = time.monotonic()
        match await self._answer(asked):
            case Ok(changes):
                hung_s = time.monotonic() - self._began_s if is_again else 0.0
                self._note_answered(
                    was_away=self.is_unavailable or hung_s >= UNAVAILABLE_AFTER_S
                )
                return await self._take_answer(changes, asked, reason)
            case Err(StoreFault.HISTORY_LOST):
                if self.position == asked:
                    self.view.request_list(ListReason.CHANGES_LOST)
                if self.position.is_known or self._leaves_list_to_others():
                    # Others have told what came since, or of a later era.
                    return self.position.is_known
                return await self.read_once()
            case Err(fault):
                self._note_away(fault)
                return False

    async def _answer(self, after: StorePosition) -> Result[StoreChanges, StoreFault]:
        """Return what the store says of all that came after a position."""
        if after.is_known:
            return await self._store.changes(after)
        self.view.store_journal.record_list_request(self.view.list_reason.value)
        return await self._store.snapshot()

    async def _take_answer(
        self, changes: StoreChanges, asked: StorePosition, reason: ListReason
    ) -> bool:
        """Take in what the store has answered; True if it is of use now."""
        era = changes.position.era
        self.view.enter_era(era)
        if era < self.position.era:
            # It was late; others told of a later era meanwhile.
            self.view.table.apply_if_newer(changes.table)
            return False
        is_changes = asked.is_known
        if is_changes and (asked.era != era or not self.position.is_known):
            # Changes since a revision of another era lead on from nothing, and they
            # are not the list that is needed by now: taken for it, all other workers
            # would be gone. A table stands for itself.
            self.view.table.apply_if_newer(changes.table)
            if self.position.is_known or self._leaves_list_to_others():
                return self.position.is_known
            return await self.read_once()
        if not is_changes and reason is ListReason.RECOVERY and self.position.is_known:
            # Others have told what differs; a list would be told to all whole.
            self.view.table.apply_if_newer(changes.table)
            return True
        scope = Scope.CHANGES if is_changes else self.view.list_scope
        news = self.view.apply_read(changes, scope)
        self._read_s = time.monotonic()
        self._readers.notify(news)
        return True

    async def read_peers(self) -> None:
        """Take from peers what they know and this gateway does not."""
        for state in await self._query_peers():
            self.view.apply_state(state)
            if state.answered_ms >= 0:
                answered_s = time.monotonic() - state.answered_ms / MS_PER_S
                self._told_s = max(self._told_s, answered_s)

    def apply_update(self, news: StoreNews) -> UpdateGap | None:
        """Take what a reader has read; return what is missing since, or None."""
        missing = self.view.apply_update(news)
        if missing is None:
            self._note_back()
            self._read_s = self._told_s = time.monotonic()
        return missing

    def _leaves_list_to_others(self) -> bool:
        """Return True while the first list of an era is left to other gateways."""
        return self._own_turn_s() > 0.0

    def _own_turn_s(self) -> float:
        """Return how long the first list of an era is still left to others."""
        if not self.view.needs_era_list:
            return 0.0
        turn_s = self.view.era_entered_s + self._readers.list_delay_s()
        return max(0.0, turn_s - time.monotonic())

    def _note_answered(self, *, was_away: bool) -> None:
        """Note that the store answers again, and that it was away until now.

        Unless it answered others since this gateway asked in vain: this one was cut
        off alone, and no entry has run out for it.
        """
        self._relay.answered_s = time.monotonic()
        if was_away and self._told_s <= self._asked_s:
            self.view.listing.record_recovery(time.monotonic())
        self._note_back()

    def _note_back(self) -> None:
        if not self.is_unavailable:
            return
        self._set_away(False)
        self._note_source(Event.CONFIG_SOURCE_BACK, "")

    def _note_away(self, fault: StoreFault) -> None:
        if self.is_unavailable:
            return
        self._set_away(True)
        self._note_source(Event.CONFIG_SOURCE_LOST, fault.value)

    def _set_away(self, is_unavailable: bool) -> None:
        self.is_unavailable = is_unavailable
        self._relay.is_unavailable = is_unavailable

    def _note_source(self, event: Event, detail: str) -> None:
        age_s = time.monotonic() - self._read_s
        self.view.store_journal.record_source_change(event, detail, age_s=age_s)
