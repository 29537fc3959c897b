"""What a gateway knows of the store, and how answers, news and peers change it."""

import time
from collections.abc import Callable
from dataclasses import replace
from enum import Enum, unique
from typing import Final

from ...protocol.const import MS_PER_S
from ...protocol.gen.chain.ttypes import EarlierList, StoreNews, StoreState
from ...state.chain.workers import WorkerTable
from ...state.journal import Journal
from .active_table import ActiveTable
from .published_store import PublishedTable, StoreChanges
from .store_journal import StoreJournal
from .store_position import StorePosition
from .store_readers import UpdateGap
from .store_relay import StoreRelay
from .store_wire import (
    changes_from_state,
    changes_from_update,
    difference,
    list_from_update,
    listed_to_wire,
    position_of,
    unconfirmed_from,
)
from .worker_listing import NO_RECENT_RECOVERY_MS, Scope, WorkerListing

RECOVERY_GRACE_S: Final = 2.5
"""How long an entry that lapsed while the store was away may take to come back.

Workers write again within about two seconds of the store's return.
"""

MAX_DIGEST_MISMATCHES: Final = 4
"""News in a row after which workers that differ are listed anew.

A worker that is taken as gone is dropped here some tenths of a second later than
by the reader; two readers tell 3.3 times a second.
"""


@unique
class ListReason(Enum):
    """Why the whole store is asked for."""

    FIRST = "nothing is known yet"
    CHANGES_LOST = "the store lost its history"
    DIGEST_MISMATCH = "lists differ"
    RECOVERY = "the store came back from a copy"


class StoreView:
    """The position up to which the store is known, with its table and workers.

    Parameters
    ----------
    workers : WorkerTable
        Kept as the store lists them.
    on_table : callable
        Called with each route table that is newer than the last.
    decode : callable
        Returns the table that a peer's bytes hold, or None.
    journal : Journal
        Takes what changes.
    relay : StoreRelay
        Tells peers of it.

    Attributes
    ----------
    listing : WorkerListing
        The workers, entry by entry.
    list_reason : ListReason
        Why a list was needed last.
    store_journal : StoreJournal
        Writes what changes.
    table : ActiveTable
        The newest route table.
    era_entered_s : float
        Monotonic time at which a later era made the position void.
    """

    __slots__ = (
        "_earlier",
        "_n_differing",
        "_relay",
        "era_entered_s",
        "list_reason",
        "listing",
        "store_journal",
        "table",
    )

    def __init__(
        self,
        *,
        workers: WorkerTable,
        on_table: Callable[[PublishedTable], None],
        decode: Callable[[bytes], PublishedTable | None],
        journal: Journal,
        relay: StoreRelay,
    ) -> None:
        self._relay = relay
        self._earlier = StorePosition()
        self._n_differing = 0
        self.store_journal = StoreJournal(journal=journal)
        self.table = ActiveTable(
            on_table=on_table, decode=decode, relay=relay, journal=self.store_journal
        )
        self.listing = WorkerListing(
            workers=workers,
            journal=self.store_journal,
            recovery_grace_s=RECOVERY_GRACE_S,
        )
        self.list_reason = ListReason.FIRST
        self.era_entered_s = 0.0
        relay.listing = self.listing

    @property
    def position(self) -> StorePosition:
        """Up to which the store's changes are known; revision 0 if a list is needed."""
        return self.store_journal.position

    @property
    def needs_era_list(self) -> bool:
        """True while the first list of an era is needed by one that knew an earlier."""
        return not self.position.is_known and self.list_reason is ListReason.RECOVERY

    @property
    def list_scope(self) -> Scope:
        """What a whole list is that is taken now."""
        return Scope.FIRST_LIST if self.needs_era_list else Scope.LIST

    def request_list(self, reason: ListReason) -> None:
        """Ask for the whole list next."""
        self.store_journal.position = replace(self.position, revision=0)
        # A list whose later changes the store has lost was right where it stands.
        self._relay.needs_list = reason is ListReason.DIGEST_MISMATCH
        self.list_reason = reason

    def enter_era(self, era: int) -> None:
        """Go on in a later era of the store: positions in the one before are void."""
        if era <= self.position.era:
            return
        if self._relay.position.is_known:
            self._earlier = self._relay.position
            self.list_reason = ListReason.RECOVERY
        if self.list_reason is ListReason.RECOVERY:
            self.era_entered_s = time.monotonic()
            self.listing.record_recovery(self.era_entered_s)
        self.store_journal.position = StorePosition(era=era)
        self._relay.position = self.store_journal.position

    def apply_read(self, changes: StoreChanges, scope: Scope) -> StoreNews:
        """Take in what was read; return what to tell the others."""
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
            digest = 0 if self._relay.needs_list else self.listing.digest
            news.base = EarlierList(era=self._earlier.era, digest=digest)
            listed = self.listing.listed()
            self._take(changes, scope)
            noticed = difference(listed, self.listing.listed())
        else:
            noticed = self._take(changes, scope)
            self.listing.list_still_present(time.monotonic())
        self._fill_news(news, noticed)
        news.table = self.table.change_since(base_table)
        return news

    def _fill_news(self, news: StoreNews, noticed: StoreChanges) -> None:
        news.era, news.revision = self.position.era, self.position.revision
        news.version = self.store_journal.version
        news.workers = [listed_to_wire(worker) for worker in noticed.workers]
        news.removed = list(noticed.removed)
        withdrawn = [entry.worker_id for entry in noticed.unreadable]
        news.withdrawn = withdrawn or None
        doubted = [listed_to_wire(worker) for worker in self.listing.unconfirmed()]
        news.doubted = doubted or None
        news.digest = self.listing.digest
        news.back_ms = self.listing.recovery_age_ms(time.monotonic())

    def apply_state(self, state: StoreState) -> None:
        """Take what a peer knows and this gateway does not."""
        if state.data:
            self.table.apply_data(state.data)
        position = position_of(state)
        self.enter_era(position.era)
        if position <= self.position:
            return
        if state.workers:
            self._note_return(state.back_ms)
            self._take(changes_from_state(state), self.list_scope)
            self.listing.add_unconfirmed(unconfirmed_from(state), time.monotonic())
        elif self._lists_the_same(state) and position >= self._relay.position:
            # The peer knows what came until then.
            self._take(StoreChanges(position=position), Scope.CHANGES)

    def apply_update(self, news: StoreNews) -> UpdateGap | None:
        """Take what a reader has read; return what is missing since, or None.

        What came between two news, or was lost with a connection, is not in the
        next ones: the position from which they lead on tells it, and the digest
        of all workers tells what even that hides.
        """
        # Also of news that cannot be used: the gateway then reads by itself, and finds
        # entries that ran out because the store was away.
        self._note_return(news.back_ms)
        # A table does not rest on what is known of workers.
        has_table = self.table.apply_update(news)
        position = position_of(news)
        self.enter_era(position.era)
        if position.era < self.position.era:
            return UpdateGap.STALE
        missing = self._missing_before(news)
        if missing is not None:
            return missing
        # Taken for known up to the position of these news, this gateway would ask
        # the store for what came after it, and never get the table.
        if not has_table:
            return UpdateGap.TABLE
        if position > self.position:
            self._take_told(news)
        if position >= self.position:
            self.listing.add_unconfirmed(unconfirmed_from(news), time.monotonic())
        self.listing.list_still_present(time.monotonic())
        return self._missing_of(news)

    def _missing_before(self, news: StoreNews) -> UpdateGap | None:
        """Return what is missing between what is known here and what news tell."""
        if not self.position.is_known:
            return None if self._leads_on(news) else UpdateGap.LIST
        is_later = news.base_revision > self.position.revision
        return UpdateGap.CHANGES if is_later and news.base is None else None

    def _leads_on(self, news: StoreNews) -> bool:
        """Return True if news make the list that is needed of the one that is here."""
        digest = self.listing.digest
        if not digest or not self._has_usable_list():
            return False
        return digest == news.digest or (
            news.base is not None and digest == news.base.digest
        )

    def _take_told(self, news: StoreNews) -> None:
        """Take news that lead on from what is known here."""
        if news.base is None or news.digest == self.listing.digest:
            self._take(changes_from_update(news), Scope.CHANGES)
        elif not self.position.is_known:
            self._take(list_from_update(news, self.listing.listed()), self.list_scope)
        # Else it is told for those who know nothing of the era yet.

    def _missing_of(self, news: StoreNews) -> UpdateGap | None:
        is_older = position_of(news) < self.position
        if is_older or news.digest == self.listing.digest:
            self._n_differing = 0
            return None
        self._n_differing += 1
        if self._n_differing < MAX_DIGEST_MISMATCHES:
            return None
        self._n_differing = 0
        self.request_list(ListReason.DIGEST_MISMATCH)
        return UpdateGap.LIST

    def _has_usable_list(self) -> bool:
        """Return True if what is listed here was so at some position."""
        is_first = self.list_reason is ListReason.FIRST and not self.position.is_known
        return not (is_first or self._relay.needs_list)

    def _lists_the_same(self, state: StoreState) -> bool:
        """Return True if a peer lists the same workers."""
        return self._has_usable_list() and state.digest == self.listing.digest != 0

    def _take(self, changes: StoreChanges, scope: Scope) -> StoreChanges:
        """Take changes in; return those of workers that others may not know."""
        self.table.apply_if_newer(changes.table)
        is_return = self.needs_era_list
        noticed = self.listing.apply(changes, scope=scope, now_s=time.monotonic())
        self.store_journal.position = max(self.position, changes.position)
        self._relay.position = self.position
        self._relay.needs_list = False
        if is_return:
            self.store_journal.record_recovery(
                self._earlier,
                n_kept=len(self.listing.expired_ids()),
                doubted=[worker.worker_id for worker in self.listing.unconfirmed()],
                for_s=RECOVERY_GRACE_S,
            )
        return noticed

    def _note_return(self, back_ms: int) -> None:
        """Note when the store came back, as another gateway says."""
        if back_ms > NO_RECENT_RECOVERY_MS:
            self.listing.record_recovery(time.monotonic() - back_ms / MS_PER_S)
