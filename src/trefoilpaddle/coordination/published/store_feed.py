"""Reads the store for a gateway and applies what the store or a reader reports."""

import asyncio
import functools
import time
from collections.abc import Awaitable, Callable
from typing import Final

from absl import logging
from result import Err, Ok, Result

from ...protocol.const import MS_PER_S
from ...protocol.gen.chain.ttypes import StoreNews, StoreState
from ...state.chain.workers import WorkerTable
from ...state.journal import Event, Journal
from .answer_times import UNAVAILABLE_AFTER_S
from .call_while_waiting import call_while_waiting
from .overlapping_reads import OverlappingReads
from .published_store import PublishedStore, PublishedTable, StoreChanges, StoreFault
from .store_position import StorePosition
from .store_readers import StoreReaders, UpdateGap
from .store_relay import StoreRelay
from .store_view import ListReason, RecoverySource, StoreView
from .store_wire import digest_of, is_credible, position_of
from .update_delays import elapsed_s
from .view_age import ViewAge
from .worker_listing import Scope

POLL_S: Final = 0.6
"""Time from one read to the next, counted from the start of each read.

A change must be active, and a leaving worker out of use, within two seconds. This
interval tolerates one lost read. Reads do not wait for a change: workers' heartbeats
change the store many times a second, so such a read would return at once.
"""

RETRY_S: Final = 0.3
"""Time to the next read after a failed one; half of the usual interval."""

PEER_FALLBACK_S: Final = 0.3
"""How long a read may take before peers are queried, and the pause between queries.

Many times the usual few milliseconds, and half of the time between two reads.
"""

EXPIRY_CHECK_S: Final = 0.2
"""Time between checks for workers whose grace period is over."""


class StoreFeed:
    """Reads the store and applies its content.

    Parameters
    ----------
    store : PublishedStore
        Reads the store.
    workers : WorkerTable
        The table that is kept up to date with the store.
    on_table : callable
        Called with each route table that is newer than the previous one.
    journal : Journal
        Receives records of what changes this gateway's view.
    relay : StoreRelay
        Forwards this gateway's view to peers.
    readers : StoreReaders
        Decides whether this gateway reads, and sends what it has read to others.
    query_peers : callable
        Returns what live peers know of the store.
    decode : callable
        Returns the table that bytes from a peer contain, or None if undecodable.

    Attributes
    ----------
    is_unavailable : bool
        True while the store does not respond.
    view : StoreView
        What this gateway knows of the store.
    """

    __slots__ = (
        "_began_s",
        "_fetching",
        "_overlapping",
        "_query_peers",
        "_read_s",
        "_readers",
        "_relay",
        "_requested_s",
        "_store",
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
        self._requested_s = 0.0
        self._began_s = 0.0
        self._overlapping = OverlappingReads(
            read=functools.partial(self.read_once, is_again=True),
            is_needed=self._may_read_again,
            period_s=POLL_S,
        )
        self._fetching: asyncio.Task[None] | None = None
        self._read_s = time.monotonic()
        self.is_unavailable = False

    @property
    def position(self) -> StorePosition:
        """Position up to which changes are known; revision 0 if a list is needed."""
        return self.view.position

    @property
    def age(self) -> ViewAge:
        """How old this gateway's list of workers may be."""
        return self._relay.age

    @property
    def is_known(self) -> bool:
        """True once a route table is active."""
        return self.view.store_journal.version > 0

    async def run(self) -> None:
        """Read the store until cancelled."""
        try:
            await self._run()
        finally:
            self._overlapping.cancel()
            if self._fetching is not None:
                self._fetching.cancel()

    async def _run(self) -> None:
        while True:
            if self._lacks_anything() or self._readers.must_read():
                began_s = self._began_s = time.monotonic()
                is_read = await self._read_or_catch_up()
                self._readers.record_read(is_answered=is_read)
                # Counted from the start of the latest read, so that readers notify the
                # others in time even while the store is slow.
                began_s = max(began_s, self._overlapping.sent_s)
                rest_s = max(0.0, began_s + POLL_S - time.monotonic())
                retry_s = min(RETRY_S, self._list_delay_s() or RETRY_S)
                await self._pause(rest_s if is_read else retry_s)
            else:
                self.view.listing.remove_expired(time.monotonic())
                await self._readers.wait()

    def _lacks_anything(self) -> bool:
        """Return True if the store has to be read, whoever else reads it."""
        return not self.position.is_known or self.view.lacks_table

    async def _read_or_catch_up(self) -> bool:
        """Read the store, unless peers send what is missing before it answers.

        The rest of a large answer would only take the link from other traffic.
        """
        was_incomplete = not self._is_served_by_others()
        async with self._overlapping.sending():
            is_read = await call_while_waiting(
                self._read_any(),
                self._query_peers_while_waiting,
                every_s=PEER_FALLBACK_S,
                is_obsolete=lambda: was_incomplete and self._is_served_by_others(),
            )
        return is_read is None or is_read

    def _is_served_by_others(self) -> bool:
        """Return True if nothing is missing here and other gateways read the store."""
        is_complete = self.is_known and not self._lacks_anything()
        is_behind = self.view.table.is_behind
        return is_complete and not is_behind and not self._readers.is_reader()

    async def _pause(self, for_s: float) -> None:
        """Sleep; meanwhile remove the workers whose grace period ends."""
        ends_s = time.monotonic() + for_s
        while (left_s := ends_s - time.monotonic()) > 0.0:
            await asyncio.sleep(min(left_s, EXPIRY_CHECK_S))
            self.view.listing.remove_expired(time.monotonic())

    async def _read_any(self) -> bool:
        """Read the store, or query peers if that fails; return True on success.

        A single response that cannot be processed must not end all reading. The
        gateway would continue with outdated knowledge, and nothing would show it.
        """
        try:
            if self._leaves_list_to_others():
                await self.read_peers()
                return self.position.is_known
            if self.position.is_known and self._store.is_receiving:
                await self.read_peers()
                return True
            is_first = not self.is_known
            is_read = await self.read_once()
            if not is_read or is_first or self.view.table.is_behind:
                # A restored store may have an older table than the peers.
                await self.read_peers()
            return is_read
        except Exception:
            logging.exception("the published configuration could not be applied")
        return False

    async def _query_peers_while_waiting(self) -> None:
        """Query peers while a read of the store is outstanding.

        The read itself is given seconds to finish, as the store may only be slow.
        """
        try:
            await self.read_peers()
        except Exception:
            logging.exception("the state received from peers could not be applied")

    async def read_once(self, *, is_again: bool = False) -> bool:
        """Read the store once; return True if the response is usable.

        Parameters
        ----------
        is_again : bool
            True if an earlier read is still outstanding.
        """
        requested = self.view.read_position
        sent_s = elapsed_s()
        is_for_table = self.position.is_known and not requested.is_known
        reason = ListReason.TABLE_MISSING if is_for_table else self.view.list_reason
        if not (self.is_unavailable or is_again):
            self._requested_s = time.monotonic()
        match await self._read_after(requested, reason):
            case Ok(changes):
                hung_s = time.monotonic() - self._began_s if is_again else 0.0
                self._record_response(
                    was_unavailable=self.is_unavailable or hung_s >= UNAVAILABLE_AFTER_S
                )
                return await self._apply_response(changes, requested, reason, sent_s)
            case Err(StoreFault.HISTORY_LOST):
                if self.view.read_position == requested:
                    self.view.request_list(ListReason.CHANGES_LOST)
                if self.position.is_known or self._leaves_list_to_others():
                    # Other gateways have sent the changes since, or a later era.
                    return self.position.is_known
                return await self.read_once()
            case Err(StoreFault.GAVE_WAY):
                return True
            case Err(fault):
                # For how long the store has been silent is told by the read that was
                # sent first.
                if not (is_again and fault is StoreFault.SILENT):
                    self._record_unavailable(fault)
                return False

    def _may_read_again(self) -> bool:
        """Return True if a read may be sent while an earlier one is outstanding.

        Once a large response is arriving, the next one would bring the same again and
        take half of the link.
        """
        is_reader = self.position.is_known and self._readers.is_reader()
        return is_reader and not self._store.is_receiving

    async def _read_after(
        self, after: StorePosition, reason: ListReason
    ) -> Result[StoreChanges, StoreFault]:
        """Read what has changed since a position, or the list if none is known."""
        if after.is_known:
            return await self._store.changes(after)
        self.view.store_journal.record_list_request(reason.value)
        return await self._store.snapshot()

    async def _apply_response(
        self,
        changes: StoreChanges,
        requested: StorePosition,
        reason: ListReason,
        sent_s: float,
    ) -> bool:
        """Apply a response of the store; return True if it is usable.

        `sent_s` is when the read was sent, on the clock of `elapsed_s`.
        """
        era = changes.position.era
        self.view.enter_era(era)
        if era < self.position.era:
            # The response is late: other gateways have reported a later era since.
            self.view.table.apply_if_newer(changes.table)
            return False
        is_changes = requested.is_known
        if is_changes and (requested.era != era or not self.position.is_known):
            # Changes since a revision of another era cannot be applied to what is
            # known, and they are not the list that is needed now. If they were
            # taken for the list, all other workers would be removed. A table does
            # not depend on what was known before.
            self.view.table.apply_if_newer(changes.table)
            if self.position.is_known or self._leaves_list_to_others():
                return self.position.is_known
            return await self.read_once()
        is_told = reason in (ListReason.RECOVERY, ListReason.TABLE_MISSING)
        if not is_changes and is_told and self.position.is_known:
            # Other gateways have sent the difference; sending a list would send all
            # of it to every gateway.
            self.view.table.apply_read(changes)
            return True
        scope = Scope.CHANGES if is_changes else self.view.list_scope
        update = self.view.apply_read(changes, scope)
        self._read_s = time.monotonic()
        self.age.confirm(ago_s=elapsed_s() - sent_s)
        update.view_age_ms = round(self.age.age_s * MS_PER_S)
        self._readers.notify(update)
        return True

    async def read_peers(self) -> None:
        """Query peers and apply what they know and this gateway does not."""
        sent_s = elapsed_s()
        for state in await self._query_peers():
            self.apply_peer(state, sent_s)
            if state.answered_ms >= 0:
                answered_s = time.monotonic() - state.answered_ms / MS_PER_S
                self.view.answers.record(answered_s)
        # A transfer that hangs must not keep this gateway from reading the store, and
        # one that makes progress must not end with the read that it runs beside.
        self._fetch_table()
        if self._fetching is not None:
            await asyncio.wait({self._fetching}, timeout=PEER_FALLBACK_S)

    def _fetch_table(self) -> None:
        """Begin the transfer of a newer table, if a peer has one."""
        is_under_way = self._fetching is not None and not self._fetching.done()
        version = self.view.store_journal.version
        if not is_under_way and self._relay.transfer.has_newer(version):
            self._fetching = asyncio.create_task(self._receive_table())

    async def _receive_table(self) -> None:
        version = self.view.store_journal.version
        try:
            data = await self._relay.transfer.fetch_newer(version)
            if data is not None:
                self.view.table.apply_data(data)
        except Exception:
            logging.exception("the table of a peer could not be applied")

    def apply_peer(self, state: StoreState, sent_s: float) -> bool:
        """Apply what a peer knows; return True if it has nothing newer afterwards.

        Parameters
        ----------
        state : StoreState
            What the peer knows.
        sent_s : float
            When it was queried, on the clock of `elapsed_s`.
        """
        self.view.apply_state(state)
        self._fetch_table()
        position, own = position_of(state), self.position
        if not is_credible(state) or not own.is_known:
            return False
        if not position.is_known:
            return position.era <= own.era
        if position > own:
            return False
        if state.view_age_ms is not None and state.view_age_ms >= 0:
            age_s = state.view_age_ms / MS_PER_S
            self.age.confirm(ago_s=elapsed_s() - sent_s + age_s)
        return True

    def apply_update(self, update: StoreNews) -> UpdateGap | None:
        """Apply a reader's update; return what is still missing, or None."""
        missing = self.view.apply_update(update)
        if missing in (None, UpdateGap.TABLE):
            self._confirm_by_update(update)
        if missing is None:
            self._record_available()
            self._read_s = time.monotonic()
            self.view.answers.record(self._read_s)
        return missing

    def _confirm_by_update(self, update: StoreNews) -> None:
        """Take over how old a reader's list is, if this gateway lists the same."""
        age_ms = update.view_age_ms
        is_same = self.view.listing.digest.matches(digest_of(update))
        if is_same and age_ms is not None and age_ms >= 0:
            self.age.confirm(ago_s=self._readers.delay_s + age_ms / MS_PER_S)

    def _leaves_list_to_others(self) -> bool:
        """Return True while the first list of an era is left to other gateways."""
        return self._list_delay_s() > 0.0

    def _list_delay_s(self) -> float:
        """Return the time left in which other gateways read the era's first list."""
        if not self.view.needs_era_list:
            return 0.0
        due_s = self.view.era_entered_s + self._readers.list_delay_s()
        return max(0.0, due_s - time.monotonic())

    def _record_response(self, *, was_unavailable: bool) -> None:
        """Record a response of the store, and its recovery if it was unavailable.

        A recovery is not recorded if the store has responded to other gateways since
        this gateway's first failed read. Then only this gateway was disconnected, and
        no entry has expired because of it.
        """
        now_s = self._relay.answered_s = time.monotonic()
        if was_unavailable and self.view.answers.last_s <= self._requested_s:
            self.view.record_recovery(now_s, RecoverySource.OWN_READ)
        self.view.answers.record(now_s)
        self._record_available()

    def _record_available(self) -> None:
        if not self.is_unavailable:
            return
        self._set_unavailable(False)
        self._record_source(Event.CONFIG_SOURCE_BACK, "")

    def _record_unavailable(self, fault: StoreFault) -> None:
        if self.is_unavailable:
            return
        self._set_unavailable(True)
        self._record_source(Event.CONFIG_SOURCE_LOST, fault.value)

    def _set_unavailable(self, is_unavailable: bool) -> None:
        self.is_unavailable = is_unavailable
        self._relay.is_unavailable = is_unavailable

    def _record_source(self, event: Event, detail: str) -> None:
        age_s = time.monotonic() - self._read_s
        self.view.store_journal.record_source_change(event, detail, age_s=age_s)
