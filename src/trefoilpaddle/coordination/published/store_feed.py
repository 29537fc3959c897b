"""Reads the store for a gateway, and puts in force what it or a reader says."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Final

from absl import logging
from result import Err, Ok, Result

from ...protocol.const import MS_PER_S
from ...protocol.gen.chain.ttypes import StoreNews, StoreState
from ...state.chain.workers import WorkerTable
from ...state.journal import Event, Journal
from .late_answer import meanwhile
from .published_store import (
    PublishedStore,
    PublishedTable,
    StoreChanges,
    StoreFault,
)
from .store_notes import StoreNotes
from .store_readers import Missing, StoreReaders
from .store_relay import StoreRelay
from .store_wire import changes_of_news, changes_of_state, listed_to_wire
from .table_in_force import TableInForce
from .worker_listing import NOT_AWAY_MS, WorkerListing

POLL_S: Final = 0.6
"""Time from one read to the next, counted from when they are asked for.

A change must be in force, and a leaving worker out of use, within two seconds;
this leaves room for one read that is lost. Workers' heartbeats change the store
many times a second, so a read that waits for a change would return at once.
"""

RETRY_S: Final = 0.3
"""Time to the next read after one that failed; half of the usual."""

PATIENCE_S: Final = 0.3
"""How long a read may take before peers are asked, and again each so long.

Many times the usual few milliseconds, and half of the time between two reads.
"""

LAPSE_S: Final = 2.5
"""How long an entry that lapsed while the store was away may take to come back.

Workers write again within about two seconds of the store's return.
"""

MAX_DIFFERING: Final = 4
"""News in a row after which workers that differ are listed anew.

A worker that is taken as gone is dropped here some tenths of a second later than
by the reader; two readers tell 3.3 times a second.
"""

FIRST_LIST: Final = "nothing is known yet"
LOST_LIST: Final = "the store lost its history"
DIFFERING_LIST: Final = "lists differ"
"""Why the whole store is asked for."""


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
    ask_peers : callable
        Returns what live peers know of the store.
    decode : callable
        Returns the table that a peer's bytes hold, or None.

    Attributes
    ----------
    is_away : bool
        True while the store does not answer.
    """

    __slots__ = (
        "_ask_peers",
        "_list_reason",
        "_listing",
        "_n_differing",
        "_notes",
        "_read_s",
        "_readers",
        "_relay",
        "_store",
        "_table",
        "is_away",
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
        ask_peers: Callable[[], Awaitable[list[StoreState]]],
        decode: Callable[[bytes], PublishedTable | None],
    ) -> None:
        self._relay = relay
        self._readers = readers
        readers.on_news = self.take_news
        self._n_differing = 0
        self._ask_peers = ask_peers
        self._store = store
        self._notes = StoreNotes(journal=journal)
        self._table = TableInForce(
            on_table=on_table, decode=decode, relay=relay, notes=self._notes
        )
        self._listing = WorkerListing(
            workers=workers, notes=self._notes, lapse_s=LAPSE_S
        )
        relay.listing = self._listing
        self._list_reason = FIRST_LIST
        self._read_s = time.monotonic()
        self.is_away = False

    @property
    def revision(self) -> int:
        """Revision of the store up to which its changes are known."""
        return self._notes.revision

    @property
    def is_known(self) -> bool:
        """True once a route table is in force."""
        return self._notes.version > 0

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if not self.revision or self._readers.must_read():
                began_s = time.monotonic()
                is_read = await meanwhile(
                    self._read_any(), self._ask_meanwhile, every_s=PATIENCE_S
                )
                self._readers.note_read(is_answered=is_read)
                # Counted from the answer, a store that takes 0.2 s made readers
                # tell the others later than those wait, and all read it.
                rest_s = max(0.0, began_s + POLL_S - time.monotonic())
                await asyncio.sleep(rest_s if is_read else RETRY_S)
            else:
                self._drop_lapsed(time.monotonic())
                await self._readers.wait()

    async def _read_any(self) -> bool:
        """Read the store, or peers if it does not answer; True if it did.

        One answer that cannot be taken must not end all reading: the gateway
        would go on with what it knew then, and nothing would show it.
        """
        try:
            if await self.read_once():
                return True
            await self.read_peers()
        except Exception:
            logging.exception("what was published could not be taken in")
        return False

    async def _ask_meanwhile(self) -> None:
        """Ask peers while the store does not answer.

        It is given seconds, as it may only be slow. A gateway that is cut off went
        on with what it knew for as long, and took no news if it needed a list.
        """
        try:
            await self.read_peers()
        except Exception:
            logging.exception("what peers know could not be taken in")

    async def read_once(self) -> bool:
        """Read once; return True if the store answered."""
        asked_revision = self.revision
        match await self._answer(asked_revision):
            case Ok(_) if asked_revision and not self.revision:
                # News that came meanwhile ask for the whole list. These changes
                # are not that: taken for it, all other workers would be gone.
                return await self.read_once()
            case Ok(changes):
                self._note_back()
                self._take_answer(changes, is_whole=not asked_revision)
                return True
            case Err(StoreFault.HISTORY_LOST):
                self._need_list(LOST_LIST)
                return await self.read_once()
            case Err(fault):
                self._note_away(fault)
                return False

    async def _answer(self, after: int) -> Result[StoreChanges, StoreFault]:
        """Return what the store says of all that came after a revision."""
        if after:
            return await self._store.changes(after)
        self._notes.listed(self._list_reason)
        return await self._store.snapshot()

    def _take_answer(self, changes: StoreChanges, *, is_whole: bool) -> None:
        """Take in what the store has answered, and tell the others."""
        if changes.revision < self.revision:
            # News or peers led further meanwhile. What is older than they are would
            # drop workers that are back, and list some that are gone; all of it is
            # in what led here. A table may not be: news of it may be lost. An older
            # one is never put in force.
            changes = StoreChanges(revision=changes.revision, table=changes.table)
            is_whole = False
        base_revision = self._relay.revision
        base_table = self._relay.published
        noticed = self._take(changes, is_whole=is_whole)
        self._read_s = time.monotonic()
        news = self._news(base_revision, noticed)
        news.table = self._table.change_since(base_table)
        self._readers.tell(news)

    async def read_peers(self) -> None:
        """Take from peers what they know and this gateway does not."""
        for state in await self._ask_peers():
            self._take_state(state)

    def _take_state(self, state: StoreState) -> None:
        if state.data:
            self._table.take_data(state.data)
        if state.revision <= self.revision:
            return
        if state.workers:
            self._note_return(state.back_ms)
            self._take(changes_of_state(state), is_whole=True)
        elif self.revision and state.digest == self._listing.digest != 0:
            # The peer lists the same workers, and knows what came until then.
            self._take(StoreChanges(revision=state.revision), is_whole=False)

    def take_news(self, news: StoreNews) -> Missing | None:
        """Take what a reader has read; return what is missing since, or None.

        What came between two news, or was lost with a connection, is not in the
        next ones: the revision from which they lead on tells it, and the digest
        of all workers tells what even that hides.
        """
        # Also of news that cannot be used. The gateway then reads by itself, and
        # finds entries that ran out meanwhile: not knowing that the store was
        # away, it dropped their workers at once, though they live.
        self._note_return(news.back_ms)
        # A table does not rest on what is known of workers. Left aside with news
        # that cannot be used, it came to a gateway that is cut off seconds later.
        has_table = self._table.take_news(news)
        if not self.revision:
            return Missing.LIST
        if news.base_revision > self.revision:
            return Missing.CHANGES
        # Taken for known up to the revision of these news, this gateway would ask
        # the store for what came after it, and never get the table.
        if not has_table:
            return Missing.TABLE
        self._note_back()
        if news.revision > self.revision:
            self._take(changes_of_news(news), is_whole=False)
        self._read_s = time.monotonic()
        return self._missing_of(news)

    def _missing_of(self, news: StoreNews) -> Missing | None:
        if news.revision < self.revision or news.digest == self._listing.digest:
            self._n_differing = 0
            return None
        self._n_differing += 1
        if self._n_differing < MAX_DIFFERING:
            return None
        self._n_differing = 0
        self._need_list(DIFFERING_LIST)
        return Missing.LIST

    def _need_list(self, reason: str) -> None:
        self._notes.revision = 0
        self._relay.needs_list = True
        self._list_reason = reason

    def _news(self, base_revision: int, noticed: StoreChanges) -> StoreNews:
        """Return what to tell the others after a read."""
        return StoreNews(
            base_revision=base_revision,
            revision=noticed.revision,
            version=self._notes.version,
            workers=[listed_to_wire(worker) for worker in noticed.workers],
            removed=list(noticed.removed),
            withdrawn=[entry.worker_id for entry in noticed.unreadable],
            digest=self._listing.digest,
            back_ms=self._listing.back_ms(time.monotonic()),
        )

    def _take(self, changes: StoreChanges, *, is_whole: bool) -> StoreChanges:
        """Take changes in; return those of workers that others may not know."""
        self._table.take(changes.table)
        now_s = time.monotonic()
        noticed = self._listing.take(changes, is_whole=is_whole, now_s=now_s)
        self._notes.revision = max(self.revision, changes.revision)
        self._relay.revision = self.revision
        self._relay.needs_list = False
        return replace(noticed, revision=self.revision)

    def _drop_lapsed(self, now_s: float) -> None:
        self._listing.drop_lapsed(now_s)

    def _note_return(self, back_ms: int) -> None:
        """Note when the store came back, as another gateway says."""
        if back_ms > NOT_AWAY_MS:
            self._listing.note_back(time.monotonic() - back_ms / MS_PER_S)

    def _note_back(self) -> None:
        if not self.is_away:
            return
        self._set_away(False)
        self._listing.note_back(time.monotonic())
        self._note_source(Event.CONFIG_SOURCE_BACK, "")

    def _note_away(self, fault: StoreFault) -> None:
        if self.is_away:
            return
        self._set_away(True)
        self._note_source(Event.CONFIG_SOURCE_LOST, fault.value)

    def _set_away(self, is_away: bool) -> None:
        self.is_away = is_away
        self._relay.is_away = is_away

    def _note_source(self, event: Event, detail: str) -> None:
        age_s = time.monotonic() - self._read_s
        self._notes.source(event, detail, age_s=age_s)
