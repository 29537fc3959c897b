"""Reads the store for a gateway, and puts in force what it or a reader says."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Final

from absl import logging
from result import Err, Ok, Result

from ...protocol.const import MS_PER_S
from ...protocol.gen.chain.ttypes import EarlierList, StoreNews, StoreState
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
from .store_position import StorePosition
from .store_readers import Missing, StoreReaders
from .store_relay import StoreRelay
from .store_wire import (
    changes_of_news,
    changes_of_state,
    differing,
    doubted_of,
    list_of_news,
    listed_to_wire,
    position_of,
)
from .table_in_force import TableInForce
from .worker_listing import NOT_AWAY_MS, Scope, WorkerListing

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

DROP_LOOK_S: Final = 0.2
"""Time between looks whether that time is over; a part of what is left of 3 s."""

MAX_DIFFERING: Final = 4
"""News in a row after which workers that differ are listed anew.

A worker that is taken as gone is dropped here some tenths of a second later than
by the reader; two readers tell 3.3 times a second.
"""

FIRST_LIST: Final = "nothing is known yet"
LOST_LIST: Final = "the store lost its history"
DIFFERING_LIST: Final = "lists differ"
RETURN_LIST: Final = "the store came back from a copy"
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
        "_asked_s",
        "_began_s",
        "_is_overdue",
        "_left",
        "_left_s",
        "_list_reason",
        "_listing",
        "_n_differing",
        "_notes",
        "_read_s",
        "_readers",
        "_relay",
        "_store",
        "_table",
        "_told_s",
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
        self._left = StorePosition()
        self._left_s = 0.0
        self._asked_s = 0.0
        self._began_s = 0.0
        self._is_overdue = False
        self._told_s = 0.0
        self._read_s = time.monotonic()
        self.is_away = False

    @property
    def position(self) -> StorePosition:
        """Up to which the store's changes are known; revision 0 if a list is needed."""
        return self._notes.position

    @property
    def is_known(self) -> bool:
        """True once a route table is in force."""
        return self._notes.version > 0

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if not self.position.is_known or self._readers.must_read():
                began_s = self._began_s = time.monotonic()
                self._is_overdue = False
                is_read = await meanwhile(
                    self._read_any(), self._ask_meanwhile, every_s=PATIENCE_S
                )
                self._readers.note_read(is_answered=is_read)
                # Counted from the answer, a store that takes 0.2 s made readers
                # tell the others later than those wait, and all read it.
                rest_s = max(0.0, began_s + POLL_S - time.monotonic())
                retry_s = min(RETRY_S, self._own_turn_s() or RETRY_S)
                await self._pause(rest_s if is_read else retry_s)
            else:
                self._drop_lapsed(time.monotonic())
                await self._readers.wait()

    async def _pause(self, for_s: float) -> None:
        """Sleep, and drop meanwhile the workers whose time to come back is over."""
        ends_s = time.monotonic() + for_s
        while (left_s := ends_s - time.monotonic()) > 0.0:
            await asyncio.sleep(min(left_s, DROP_LOOK_S))
            self._drop_lapsed(time.monotonic())

    async def _read_any(self) -> bool:
        """Read the store, or peers if it does not answer; True if one of them did.

        One answer that cannot be taken must not end all reading: the gateway
        would go on with what it knew then, and nothing would show it.
        """
        try:
            if self._leaves_list_to_others():
                await self.read_peers()
                return self.position.is_known
            if await self.read_once():
                if self._table.is_behind:
                    await self.read_peers()
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
            if time.monotonic() - self._began_s >= POLL_S and self._readers.is_reader():
                await self._read_again()
        except Exception:
            logging.exception("what peers know could not be taken in")

    async def _read_again(self) -> None:
        """Ask the store anew, at the usual pace, beside a question that hangs.

        One that was lost while the store was away hangs for seconds after its return,
        and with the readers' questions all others wait for what is written then.
        """
        self._is_overdue = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PATIENCE_S):
                await self.read_once()

    async def read_once(self) -> bool:
        """Read once; return True if the store answered with what can be used."""
        asked = self.position
        reason = self._list_reason
        if not (self.is_away or self._is_overdue):
            self._asked_s = time.monotonic()
        match await self._answer(asked):
            case Ok(changes):
                self._note_answered()
                return await self._take_answer(changes, asked, reason)
            case Err(StoreFault.HISTORY_LOST):
                if self.position == asked:
                    self._need_list(LOST_LIST)
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
        self._notes.listed(self._list_reason)
        listed = await self._store.snapshot()
        if self._list_reason is FIRST_LIST and listed.is_ok():
            # The store may have come back from a copy that has an older table, and
            # entries of workers that are gone.
            await self.read_peers()
        return listed

    async def _take_answer(
        self, changes: StoreChanges, asked: StorePosition, reason: str
    ) -> bool:
        """Take in what the store has answered; True if it is of use now."""
        era = changes.position.era
        self._enter_era(era)
        if era < self.position.era:
            # It was late; others told of a later era meanwhile.
            self._table.take(changes.table)
            return False
        is_changes = asked.is_known
        if is_changes and (asked.era != era or not self.position.is_known):
            # Changes since a revision of another era lead on from nothing, and they
            # are not the list that is needed by now: taken for it, all other workers
            # would be gone. A table stands for itself.
            self._table.take(changes.table)
            if self.position.is_known or self._leaves_list_to_others():
                return self.position.is_known
            return await self.read_once()
        if not is_changes and reason is RETURN_LIST and self.position.is_known:
            # Others have told what differs; a list would be told to all whole.
            self._table.take(changes.table)
            return True
        scope = Scope.CHANGES if is_changes else self._list_scope()
        self._take_read(changes, scope)
        return True

    def _take_read(self, changes: StoreChanges, scope: Scope) -> None:
        """Take in what was read, and tell the others."""
        if changes.position < self.position:
            # News or peers led further meanwhile. What is older than they are would
            # drop workers that are back, and list some that are gone; all of it is
            # in what led here. A table may not be: news of it may be lost. An older
            # one is never put in force.
            changes = StoreChanges(position=changes.position, table=changes.table)
            scope = Scope.CHANGES
        news = StoreNews(base_revision=self._relay.position.revision)
        base_table = self._relay.published
        if scope is Scope.FIRST_LIST:
            digest = 0 if self._relay.needs_list else self._listing.digest
            news.base = EarlierList(era=self._left.era, digest=digest)
            listed = self._listing.listed()
            self._take(changes, scope)
            noticed = differing(listed, self._listing.listed())
        else:
            noticed = self._take(changes, scope)
        self._read_s = time.monotonic()
        self._fill_news(news, noticed)
        news.table = self._table.change_since(base_table)
        self._readers.tell(news)

    async def read_peers(self) -> None:
        """Take from peers what they know and this gateway does not."""
        for state in await self._ask_peers():
            self._take_state(state)

    def _take_state(self, state: StoreState) -> None:
        if state.data:
            self._table.take_data(state.data)
        position = position_of(state)
        self._enter_era(position.era)
        if position <= self.position:
            return
        if state.workers:
            self._note_return(state.back_ms)
            self._take(changes_of_state(state), self._list_scope())
            self._listing.adopt_doubts(doubted_of(state))
        elif self._lists_the_same(state) and position >= self._relay.position:
            # The peer knows what came until then.
            self._take(StoreChanges(position=position), Scope.CHANGES)

    def take_news(self, news: StoreNews) -> Missing | None:
        """Take what a reader has read; return what is missing since, or None.

        What came between two news, or was lost with a connection, is not in the
        next ones: the position from which they lead on tells it, and the digest
        of all workers tells what even that hides.
        """
        # Also of news that cannot be used. The gateway then reads by itself, and
        # finds entries that ran out meanwhile: not knowing that the store was
        # away, it dropped their workers at once, though they live.
        self._note_return(news.back_ms)
        # A table does not rest on what is known of workers. Left aside with news
        # that cannot be used, it came to a gateway that is cut off seconds later.
        has_table = self._table.take_news(news)
        position = position_of(news)
        self._enter_era(position.era)
        if position.era < self.position.era:
            return Missing.NOTHING
        missing = self._missing_before(news)
        if missing is not None:
            return missing
        # Taken for known up to the position of these news, this gateway would ask
        # the store for what came after it, and never get the table.
        if not has_table:
            return Missing.TABLE
        self._note_back()
        if position > self.position:
            self._take_told(news)
        self._read_s = self._told_s = time.monotonic()
        return self._missing_of(news)

    def _missing_before(self, news: StoreNews) -> Missing | None:
        """Return what is missing between what is known here and what news tell."""
        if not self.position.is_known:
            return None if self._leads_on(news) else Missing.LIST
        is_later = news.base_revision > self.position.revision
        return Missing.CHANGES if is_later and news.base is None else None

    def _leads_on(self, news: StoreNews) -> bool:
        """Return True if news make the list that is needed of the one that is here."""
        digest = self._listing.digest
        if not digest or not self._has_usable_list():
            return False
        return digest == news.digest or (
            news.base is not None and digest == news.base.digest
        )

    def _take_told(self, news: StoreNews) -> None:
        """Take news that lead on from what is known here."""
        if news.base is None or news.digest == self._listing.digest:
            self._take(changes_of_news(news), Scope.CHANGES)
        elif not self.position.is_known:
            self._take(list_of_news(news, self._listing.listed()), self._list_scope())
        else:
            # Told for those who know nothing of the era yet.
            return
        self._listing.adopt_doubts(doubted_of(news))

    def _missing_of(self, news: StoreNews) -> Missing | None:
        is_older = position_of(news) < self.position
        if is_older or news.digest == self._listing.digest:
            self._n_differing = 0
            return None
        self._n_differing += 1
        if self._n_differing < MAX_DIFFERING:
            return None
        self._n_differing = 0
        self._need_list(DIFFERING_LIST)
        return Missing.LIST

    def _need_list(self, reason: str) -> None:
        self._notes.position = replace(self.position, revision=0)
        # A list whose later changes the store has lost was right where it stands.
        self._relay.needs_list = reason is DIFFERING_LIST
        self._list_reason = reason

    def _enter_era(self, era: int) -> None:
        """Go on in a later era of the store: positions in the one before are void."""
        if era <= self.position.era:
            return
        if self._relay.position.is_known:
            self._left = self._relay.position
            self._left_s = time.monotonic()
            self._list_reason = RETURN_LIST
            self._listing.note_back(self._left_s)
        self._notes.position = StorePosition(era=era)
        self._relay.position = self._notes.position

    def _has_usable_list(self) -> bool:
        """Return True if what is listed here was so at some position."""
        is_first = self._list_reason is FIRST_LIST and not self.position.is_known
        return not (is_first or self._relay.needs_list)

    def _lists_the_same(self, state: StoreState) -> bool:
        """Return True if a peer lists the same workers."""
        return self._has_usable_list() and state.digest == self._listing.digest != 0

    def _leaves_list_to_others(self) -> bool:
        """Return True while the first list of an era is left to other gateways."""
        return self._own_turn_s() > 0.0

    def _own_turn_s(self) -> float:
        """Return how long the first list of an era is still left to others."""
        if self.position.is_known or self._list_reason is not RETURN_LIST:
            return 0.0
        left_s = self._left_s + self._readers.list_delay_s() - time.monotonic()
        return max(0.0, left_s)

    def _list_scope(self) -> Scope:
        """Return what a whole list is that is taken now."""
        is_void = not self.position.is_known and self._list_reason is RETURN_LIST
        return Scope.FIRST_LIST if is_void else Scope.LIST

    def _fill_news(self, news: StoreNews, noticed: StoreChanges) -> None:
        """Write into news what the others are to know after a read."""
        news.era, news.revision = self.position.era, self.position.revision
        news.version = self._notes.version
        news.workers = [listed_to_wire(worker) for worker in noticed.workers]
        news.removed = list(noticed.removed)
        withdrawn = [entry.worker_id for entry in noticed.unreadable]
        news.withdrawn = withdrawn or None
        doubted = [listed_to_wire(worker) for worker in self._listing.doubted()]
        news.doubted = doubted or None
        news.digest = self._listing.digest
        news.back_ms = self._listing.back_ms(time.monotonic())

    def _take(self, changes: StoreChanges, scope: Scope) -> StoreChanges:
        """Take changes in; return those of workers that others may not know."""
        self._table.take(changes.table)
        is_return = self._list_scope() is Scope.FIRST_LIST
        noticed = self._listing.take(changes, scope=scope, now_s=time.monotonic())
        self._notes.position = max(self.position, changes.position)
        self._relay.position = self.position
        self._relay.needs_list = False
        if is_return:
            self._notes.returned(
                self._left,
                n_kept=len(self._listing.lapsed_ids()),
                doubted=[worker.worker_id for worker in self._listing.doubted()],
                for_s=LAPSE_S,
            )
        return noticed

    def _drop_lapsed(self, now_s: float) -> None:
        self._listing.drop_lapsed(now_s)

    def _note_return(self, back_ms: int) -> None:
        """Note when the store came back, as another gateway says."""
        if back_ms > NOT_AWAY_MS:
            self._listing.note_back(time.monotonic() - back_ms / MS_PER_S)

    def _note_answered(self) -> None:
        """Note that the store answers again, and that it was away until now.

        Unless readers told of it since this gateway asked in vain: it was cut off
        alone. Taken for away, the store made all others keep workers that had gone
        for 2.5 s, as a reader tells them when it came back.
        """
        was_away = self.is_away or self._is_overdue
        if was_away and self._told_s <= self._asked_s:
            self._listing.note_back(time.monotonic())
        self._note_back()

    def _note_back(self) -> None:
        if not self.is_away:
            return
        self._set_away(False)
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
