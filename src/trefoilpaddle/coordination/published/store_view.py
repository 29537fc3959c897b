"""A gateway's view of the store, and how responses, updates and peers change it."""

import time
from collections.abc import Callable
from dataclasses import replace
from enum import Enum, unique
from typing import Final

from absl import logging

from ...protocol.const import MS_PER_S
from ...protocol.gen.chain.ttypes import EarlierList, StoreNews, StoreState
from ...state.chain.list_digest import ListDigest
from ...state.chain.workers import WorkerTable
from ...state.journal import Journal
from .active_table import ActiveTable, NamedBy, NewestVersion
from .answer_times import AnswerTimes
from .evacuations import Evacuations
from .published_store import PublishedTable, StoreChanges
from .store_journal import StoreJournal
from .store_position import StorePosition
from .store_readers import UpdateGap
from .store_relay import StoreRelay
from .store_wire import (
    changes_from_state,
    changes_from_update,
    difference,
    digest_of,
    is_credible,
    list_from_update,
    listed_to_wire,
    position_of,
    table_position_of,
    unconfirmed_from,
)
from .worker_listing import NO_RECENT_RECOVERY_MS, Scope, WorkerListing

RECOVERY_GRACE_S: Final = 2.5
"""Grace period after a recovery of the store for entries that expired meanwhile.

Workers write their entries again within about two seconds of the recovery.
"""

MAX_DIGEST_MISMATCHES: Final = 4
"""Consecutive updates with another digest after which the list is read again.

A worker that is no longer listed is removed here some tenths of a second later than
at the reader; two readers send 3.3 updates a second.
"""

LOG_PERIOD_S: Final = 1
"""Least seconds between log lines on messages of peers that are ignored."""


@unique
class ListReason(Enum):
    """Why the complete list is requested from the store."""

    FIRST = "nothing is known yet"
    CHANGES_LOST = "the store lost its history"
    DIGEST_MISMATCH = "lists differ"
    RECOVERY = "the store came back from a copy"
    TABLE_MISSING = "it is not known which table is the newest"
    EVACUATIONS_UNKNOWN = "a peer does not know which failure domains get no work"


@unique
class RecoverySource(Enum):
    """How a gateway knows that the store answers again after an outage."""

    OWN_READ = "read here"
    PEER = "another gateway says so"
    ERA = "restored from a copy"


class StoreView:
    """The known position of the store, with its route table and workers.

    Parameters
    ----------
    workers : WorkerTable
        The table that is kept up to date with the store.
    on_table : callable
        Called with each route table that is newer than the previous one.
    decode : callable
        Returns the table that bytes from a peer contain, or None if undecodable.
    journal : Journal
        Receives records of what changes.
    relay : StoreRelay
        Sends this view to peers.

    Attributes
    ----------
    answers : AnswerTimes
        When the store is known to have answered a gateway.
    evacuations : Evacuations
        The failure domains that get no work.
    listing : WorkerListing
        The workers and the state of their entries.
    list_reason : ListReason
        Why a list was needed last.
    store_journal : StoreJournal
        Records what changes.
    table : ActiveTable
        The newest route table.
    era_entered_s : float
        Monotonic time at which a later era invalidated the position.
    """

    __slots__ = (
        "_earlier",
        "_n_differing",
        "_recovery_logged_s",
        "_relay",
        "answers",
        "era_entered_s",
        "evacuations",
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
        self._recovery_logged_s = -RECOVERY_GRACE_S
        self.answers = AnswerTimes()
        self.store_journal = StoreJournal(journal=journal)
        self.table = ActiveTable(
            on_table=on_table,
            decode=decode,
            relay=relay,
            store_journal=self.store_journal,
        )
        self.listing = WorkerListing(
            workers=workers,
            store_journal=self.store_journal,
            recovery_grace_s=RECOVERY_GRACE_S,
        )
        self.evacuations = Evacuations(
            workers=workers, store_journal=self.store_journal
        )
        self.list_reason = ListReason.FIRST
        self.era_entered_s = 0.0
        relay.listing = self.listing
        relay.evacuations = self.evacuations

    @property
    def position(self) -> StorePosition:
        """Position up to which changes are known; revision 0 if a list is needed."""
        return self.store_journal.position

    @property
    def lacks_table(self) -> bool:
        """True if a newer table may have been published before the position."""
        return self.table.position < self.position

    @property
    def read_position(self) -> StorePosition:
        """Position after which changes are read; revision 0 to read the list."""
        return min(self.position, self.table.position)

    @property
    def needs_era_list(self) -> bool:
        """True if an earlier era is known, but no list of the current one."""
        return not self.position.is_known and self.list_reason is ListReason.RECOVERY

    @property
    def list_scope(self) -> Scope:
        """The scope of a complete list that is applied now."""
        return Scope.FIRST_LIST if self.needs_era_list else Scope.LIST

    def request_list(self, reason: ListReason) -> None:
        """Request the complete list with the next read."""
        self.store_journal.position = replace(self.position, revision=0)
        # If the store has only lost its later changes, the list was correct at its
        # own position.
        self._relay.needs_list = reason is ListReason.DIGEST_MISMATCH
        self.list_reason = reason

    def enter_era(self, era: int) -> None:
        """Switch to a later era of the store; positions of the earlier one are void."""
        if era <= self.position.era:
            return
        if self._relay.position.is_known:
            self._earlier = self._relay.position
            self.list_reason = ListReason.RECOVERY
        if self.list_reason is ListReason.RECOVERY:
            self.era_entered_s = time.monotonic()
            self.record_recovery(self.era_entered_s, RecoverySource.ERA)
        self.store_journal.position = StorePosition(era=era)
        self._relay.position = self.store_journal.position
        self.table.enter_era(era)

    def apply_read(self, changes: StoreChanges, scope: Scope) -> StoreNews:
        """Apply the result of a read; return the update to send to other gateways."""
        if scope is Scope.CHANGES:
            self.evacuations.apply_changes(changes)
        else:
            self.evacuations.apply_list(changes)
        if changes.position < self.position:
            # Updates or peers have advanced the view since the read began. Applying
            # an older result would remove workers that are listed again and list
            # workers that were removed. All its worker changes are part of the current
            # view. Its table may not be, as the update with it may have been lost.
            changes = StoreChanges(position=changes.position, table=changes.table)
            scope = Scope.CHANGES
        update = StoreNews(base_revision=self._relay.position.revision)
        base_table = self._relay.published
        self.table.apply_read(changes)
        if scope is Scope.FIRST_LIST:
            digest = ListDigest() if self._relay.needs_list else self.listing.digest
            update.base = EarlierList(
                era=self._earlier.era,
                digest=digest.entries,
                domain_digest=digest.domains,
                version_digest=digest.versions,
                slot_digest=digest.slots,
            )
            listed = self.listing.listed()
            self._apply(changes, scope)
            changed = difference(listed, self.listing.listed())
        else:
            changed = self._apply(changes, scope)
            self.listing.list_still_present(time.monotonic())
        self._fill_update(update, changed)
        update.table = self.table.change_since(base_table)
        return update

    def _fill_update(self, update: StoreNews, changed: StoreChanges) -> None:
        update.era, update.revision = self.position.era, self.position.revision
        update.version = self.store_journal.version
        update.table_revision = self.table.position.revision
        update.workers = [listed_to_wire(worker) for worker in changed.workers]
        update.removed = list(changed.removed)
        withdrawn = [entry.worker_id for entry in changed.unreadable]
        update.withdrawn = withdrawn or None
        unconfirmed = [listed_to_wire(worker) for worker in self.listing.unconfirmed()]
        update.doubted = unconfirmed or None
        digest = self.listing.digest
        update.digest, update.domain_digest = digest.entries, digest.domains
        update.version_digest = digest.versions
        update.slot_digest = digest.slots
        update.evacuated = sorted(self.evacuations.domains)
        update.back_ms = self.listing.recovery_age_ms(time.monotonic())

    def apply_state(self, state: StoreState) -> None:
        """Apply what a peer knows and this gateway does not."""
        if not is_credible(state):
            _log_ignored(state)
            return
        if state.data:
            self.table.apply_data(state.data)
        self._apply_list(state)
        self._learn_newest(state, NamedBy.STATE)

    def _learn_newest(self, message: StoreNews | StoreState, named_by: NamedBy) -> None:
        newest = NewestVersion(
            version=message.version, position=table_position_of(message)
        )
        self.table.learn_newest(newest, named_by)

    def _apply_list(self, state: StoreState) -> None:
        """Apply the workers and evacuations that a peer knows, if they are newer."""
        position = position_of(state)
        self.enter_era(position.era)
        if state.evacuated is not None and position.is_known:
            self.evacuations.apply_all(state.evacuated, position)
        # An answer may have been under way while this view advanced.
        if position <= self.position or position < self._relay.position:
            return
        if state.workers:
            self._hear_recovery(state.back_ms)
            self._apply(changes_from_state(state), self.list_scope)
            self.listing.add_unconfirmed(unconfirmed_from(state), time.monotonic())
        elif self._lists_the_same(state):
            # The list is the same, so the changes up to the peer's position are known.
            self._apply(StoreChanges(position=position), Scope.CHANGES)
        if state.evacuated is None and self.position == position:
            # The peer's build does not know of orders that the store may hold.
            self.request_list(ListReason.EVACUATIONS_UNKNOWN)

    def apply_update(self, update: StoreNews) -> UpdateGap | None:
        """Apply a reader's update; return what is still missing, or None.

        Changes between two updates, or lost with a connection, are not part of the
        next update. The revision from which an update continues shows such a gap, and
        the digest of all workers shows a gap that the revision does not.
        """
        if not is_credible(update):
            _log_ignored(update)
            return UpdateGap.STALE
        # Also for updates that cannot be used: the gateway then reads the store itself
        # and finds entries that expired because the store was unavailable.
        self._hear_recovery(update.back_ms)
        # A table does not depend on what is known of workers.
        has_table = self.table.apply_update(update)
        position = position_of(update)
        self.enter_era(position.era)
        self._learn_newest(update, NamedBy.UPDATE)
        if position.era < self.position.era:
            return UpdateGap.STALE
        if update.evacuated is not None:
            self.evacuations.apply_all(update.evacuated, position)
        elif position > self.position:
            # The reader's build does not know of orders that the store may hold.
            return UpdateGap.CHANGES
        missing = self._gap_before(update)
        if missing is not None:
            return missing
        if position > self.position:
            self._apply_continuing(update)
        if position >= self.position:
            self.listing.add_unconfirmed(unconfirmed_from(update), time.monotonic())
        self.listing.list_still_present(time.monotonic())
        # Workers do not depend on the table either: one that leaves gets nothing more
        # while a large table is still under way.
        if not has_table:
            return UpdateGap.TABLE
        if position < self.position:
            # It may have been under way for long, or its reader was paused.
            self._n_differing = 0
            return UpdateGap.STALE
        return self._gap_after(update)

    def _gap_before(self, update: StoreNews) -> UpdateGap | None:
        """Return what is missing between this gateway's view and an update's base."""
        if not self.position.is_known:
            return None if self._can_complete_list(update) else UpdateGap.LIST
        is_later = update.base_revision > self.position.revision
        return UpdateGap.CHANGES if is_later and update.base is None else None

    def _can_complete_list(self, update: StoreNews) -> bool:
        """Return True if an update turns the list known here into the needed one."""
        digest = self.listing.digest
        if not digest.is_known or not self._has_usable_list():
            return False
        return digest.matches(digest_of(update)) or (
            update.base is not None and digest.matches(digest_of(update.base))
        )

    def _apply_continuing(self, update: StoreNews) -> None:
        """Apply an update that continues from what is known here."""
        if update.base is None or self.listing.digest.matches(digest_of(update)):
            self._apply(changes_from_update(update), Scope.CHANGES)
        elif not self.position.is_known:
            self._apply(
                list_from_update(update, self.listing.listed()), self.list_scope
            )
        # Otherwise the update is for gateways that have no list of the era yet.

    def _gap_after(self, update: StoreNews) -> UpdateGap | None:
        """Return LIST if the lists have differed for several updates in a row."""
        if self.listing.digest.matches(digest_of(update)):
            self._n_differing = 0
            return None
        self._n_differing += 1
        if self._n_differing < MAX_DIGEST_MISMATCHES:
            return None
        self._n_differing = 0
        self.request_list(ListReason.DIGEST_MISMATCH)
        return UpdateGap.LIST

    def _has_usable_list(self) -> bool:
        """Return True if the list known here was correct at some position."""
        is_first = self.list_reason is ListReason.FIRST and not self.position.is_known
        return not (is_first or self._relay.needs_list)

    def _lists_the_same(self, state: StoreState) -> bool:
        """Return True if a peer lists the same workers."""
        digest = self.listing.digest
        is_same = digest.is_known and digest.matches(digest_of(state))
        return self._has_usable_list() and is_same

    def _apply(self, changes: StoreChanges, scope: Scope) -> StoreChanges:
        """Apply changes; return the worker changes that other gateways may not know."""
        is_recovery = self.needs_era_list
        changed = self.listing.apply(changes, scope=scope, now_s=time.monotonic())
        self.store_journal.position = max(self.position, changes.position)
        self._relay.position = self.position
        self._relay.needs_list = False
        if is_recovery:
            self.store_journal.record_recovery(
                self._earlier,
                n_kept=len(self.listing.expired_ids()),
                doubted=[worker.worker_id for worker in self.listing.unconfirmed()],
                for_s=RECOVERY_GRACE_S,
            )
        return changed

    def record_recovery(self, recovered_s: float, source: RecoverySource) -> None:
        """Record that the store answers again, unless it answered others all along.

        Removed workers stay in use for some time after a recovery. An outage of one
        gateway is not one of the store, although that gateway cannot tell.

        Parameters
        ----------
        recovered_s : float
            Monotonic time of the first answer.
        source : RecoverySource
            How that is known.
        """
        is_outage = source is not RecoverySource.PEER or self.answers.is_end_of_outage(
            recovered_s
        )
        if is_outage:
            self.listing.record_recovery(recovered_s)
        if recovered_s - self._recovery_logged_s >= RECOVERY_GRACE_S:
            self._recovery_logged_s = recovered_s
            self.store_journal.record_outage_end(
                source=source.value, kept_s=RECOVERY_GRACE_S if is_outage else 0.0
            )

    def _hear_recovery(self, back_ms: int) -> None:
        """Record the time since the store's recovery that another gateway reports."""
        if back_ms > NO_RECENT_RECOVERY_MS:
            recovered_s = time.monotonic() - back_ms / MS_PER_S
            self.record_recovery(recovered_s, RecoverySource.PEER)


def _log_ignored(message: StoreNews | StoreState) -> None:
    logging.log_every_n_seconds(
        logging.WARNING,
        "ignored a peer's message on the store at %s with table %d",
        LOG_PERIOD_S,
        position_of(message),
        message.version,
    )
