"""Keeps a gateway's view of routes and workers in step with the store."""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

from absl import logging
from result import Err, Ok

from ...protocol.gen.chain.ttypes import StoreNews, StoreState
from ...protocol.reasons import Reason
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Decision, Event, Figure, Journal
from .published_store import (
    PublishedStore,
    PublishedTable,
    StoreChanges,
    StoreFault,
    UnreadableEntry,
)
from .store_readers import Missing, StoreReaders
from .store_relay import (
    StoreRelay,
    changes_of,
    listed_from_wire,
    listed_to_wire,
)

POLL_S: Final = 0.6
"""Time from one read to the next, counted from when they are asked for.

A change must be in force, and a leaving worker out of use, within two seconds;
this leaves room for one read that is lost. Workers' heartbeats change the store
many times a second, so a read that waits for a change would return at once.
"""

RETRY_S: Final = 0.3
"""Time to the next read after one that failed; half of the usual."""

LAPSE_S: Final = 2.5
"""How long an entry that lapsed while the store was away may take to come back.

Workers write again within about two seconds of the store's return.
"""

MS_PER_S: Final = 1000.0

NOT_AWAY_MS: Final = -1
"""Told of a store that was not away lately."""

MAX_DIFFERING: Final = 4
"""News in a row after which workers that differ are listed anew.

A worker that is taken as gone is dropped here some tenths of a second later than
by the reader; two readers tell 3.3 times a second.
"""


FIRST_LIST: Final = "nothing is known yet"
LOST_LIST: Final = "the store lost its history"
DIFFERING_LIST: Final = "lists differ"
"""Why the whole store is asked for."""

MAX_UNREADABLE: Final = 256
"""Unreadable entries that are remembered, so that each is logged once.

Whoever writes them may write them again with every heartbeat.
"""


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
    revision : int
        Revision of the store up to which its changes are known.
    is_away : bool
        True while the store does not answer.
    """

    __slots__ = (
        "_ask_peers",
        "_away_until_s",
        "_decode",
        "_journal",
        "_lapsed",
        "_list_reason",
        "_n_differing",
        "_on_table",
        "_read_s",
        "_readers",
        "_relay",
        "_store",
        "_unreadable",
        "_version",
        "_workers",
        "is_away",
        "revision",
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
        self._decode = decode
        self._store = store
        self._workers = workers
        self._on_table = on_table
        self._journal = journal
        self._version = 0
        self._lapsed: dict[str, float] = {}
        self._list_reason = FIRST_LIST
        self._unreadable: OrderedDict[str, str] = OrderedDict()
        self._away_until_s = 0.0
        self._read_s = time.monotonic()
        self.revision = 0
        self.is_away = False

    @property
    def is_known(self) -> bool:
        """True once a route table is in force."""
        return self._version > 0

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if not self.revision or self._readers.must_read():
                began_s = time.monotonic()
                is_read = await self._read_any()
                self._readers.note_read()
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

    async def read_once(self) -> bool:
        """Read once; return True if the store answered."""
        asked_revision = self.revision
        if not asked_revision:
            self._note_list()
            answer = await self._store.snapshot()
        else:
            answer = await self._store.changes(asked_revision)
        match answer:
            case Ok(_) if asked_revision and not self.revision:
                # News that came meanwhile ask for the whole list. These changes
                # are not that: taken for it, all other workers would be gone.
                return await self.read_once()
            case Ok(changes):
                self._note_back()
                if changes.revision < self.revision:
                    # News that came meanwhile led further. What is older than they
                    # are would drop workers that are back, and list some that are
                    # gone; all of it is in what led here. A table is not: news do
                    # not hold one, and an older one is never put in force.
                    changes = StoreChanges(
                        revision=changes.revision, table=changes.table
                    )
                base_revision = self._relay.revision
                noticed = self._take(changes, is_whole=not asked_revision)
                self._read_s = time.monotonic()
                self._readers.tell(self._news(base_revision, noticed))
                return True
            case Err(StoreFault.HISTORY_LOST):
                self.revision = 0
                self._list_reason = LOST_LIST
                return await self.read_once()
            case Err(fault):
                self._note_away(fault)
                return False

    async def read_peers(self) -> None:
        """Take from peers what they know and this gateway does not."""
        for state in await self._ask_peers():
            if state.data:
                published = self._decode(state.data)
                if published is not None:
                    self.take_table(published)
            if state.workers and state.revision > self.revision:
                self._take(changes_of(state), is_whole=True)

    def take_news(self, news: StoreNews) -> Missing | None:
        """Take what a reader has read; return what is missing since, or None.

        What came between two news, or was lost with a connection, is not in the
        next ones: the revision from which they lead on tells it, and the digest
        of all workers tells what even that hides.
        """
        # Also of news that cannot be used. The gateway then reads by itself, and
        # finds entries that ran out meanwhile: not knowing that the store was
        # away, it dropped their workers at once, though they live.
        if news.back_ms > NOT_AWAY_MS:
            back_s = time.monotonic() - news.back_ms / MS_PER_S
            self._away_until_s = max(self._away_until_s, back_s)
        if not self.revision:
            return Missing.LIST
        if news.base_revision > self.revision:
            return Missing.CHANGES
        # News name a newer table and do not hold it. Taken for known up to their
        # revision, this gateway would ask for what came after it, and miss it.
        if news.version > self._version:
            return Missing.TABLE
        self._note_back()
        if news.revision > self.revision:
            workers = tuple(listed_from_wire(worker) for worker in news.workers)
            changes = StoreChanges(
                revision=news.revision,
                workers=workers,
                removed=tuple(news.removed),
                unreadable=tuple(
                    UnreadableEntry(worker_id=worker_id, problem="a reader says so")
                    for worker_id in news.withdrawn
                ),
            )
            self._take(changes, is_whole=False)
        self._read_s = time.monotonic()
        return self._missing_of(news)

    def _missing_of(self, news: StoreNews) -> Missing | None:
        if news.revision < self.revision or news.digest == self._listed_digest():
            self._n_differing = 0
            return None
        self._n_differing += 1
        if self._n_differing < MAX_DIFFERING:
            return None
        self._n_differing = 0
        self.revision = 0
        self._list_reason = DIFFERING_LIST
        return Missing.LIST

    def _listed_digest(self) -> int:
        """Return the digest of the workers that the store lists.

        Without those whose entries ran out and may come back. Each gateway knows
        of another time of the store's return and keeps them until another, so
        with them lists differed that were the same: 1.2 s after the return nearly
        all gateways listed the store anew, and took no news until they had it.
        """
        digest = self._workers.digest
        for worker_id in self._lapsed:
            worker = self._workers.get(worker_id)
            if worker is not None:
                digest ^= worker.fingerprint()
        return digest

    def _news(self, base_revision: int, noticed: StoreChanges) -> StoreNews:
        """Return what to tell the others after a read."""
        away_s = time.monotonic() - self._away_until_s
        was_away = self._away_until_s > 0.0 and away_s < LAPSE_S
        return StoreNews(
            base_revision=base_revision,
            revision=noticed.revision,
            version=self._version,
            workers=[listed_to_wire(worker) for worker in noticed.workers],
            removed=list(noticed.removed),
            withdrawn=[entry.worker_id for entry in noticed.unreadable],
            digest=self._listed_digest(),
            back_ms=int(away_s * MS_PER_S) if was_away else NOT_AWAY_MS,
        )

    def take_table(self, published: PublishedTable) -> bool:
        """Put a route table in force unless it is older; True if it was newer."""
        table = published.table
        # A read that was answered late, or a peer that lags, may bring an older
        # version; taking it would bring back routes and keys that are gone.
        if table.version <= self._version:
            return False
        self._version = table.version
        self._relay.published = published
        self._journal.record(
            Decision(event=Event.CONFIG_IN_FORCE, config_revision=table.version)
        )
        self._on_table(published)
        return True

    def _take(self, changes: StoreChanges, *, is_whole: bool) -> StoreChanges:
        """Take changes in; return those of workers that others may not know."""
        if changes.table is not None:
            self.take_table(changes.table)
        noticed: list[Worker] = []
        returned = set(changes.returned)
        for worker in changes.workers:
            self._unreadable.pop(worker.worker_id, None)
            was_lapsed = self._lapsed.pop(worker.worker_id, None) is not None
            is_news = self._workers.put(worker)
            if is_news:
                self._note_worker(
                    Event.TARGET_UP, worker.worker_id, is_leaving=worker.is_leaving
                )
            # An entry that was gone and is back between two reads is no news here.
            # Others heard from another reader that it was gone, and what is told
            # leads them past its return: named by nobody, the worker was dropped
            # there. A whole list does not tell what was gone, so it names all.
            is_back = is_whole or worker.worker_id in returned
            if is_news or was_lapsed or is_back:
                noticed.append(worker)
        removed = set(changes.removed)
        if is_whole:
            listed = {worker.worker_id for worker in changes.workers}
            removed |= set(self._workers.ids()) - listed
        now_s = time.monotonic()
        self._withdraw(changes.unreadable)
        for worker_id in removed:
            if self._workers.get(worker_id) is not None:
                self._lapsed.setdefault(worker_id, self._gone_s(now_s))
        self._drop_lapsed(now_s)
        self.revision = max(self.revision, changes.revision)
        self._relay.revision = self.revision
        return StoreChanges(
            revision=self.revision,
            workers=tuple(noticed),
            removed=tuple(removed),
            unreadable=changes.unreadable,
        )

    def _withdraw(self, entries: Iterable[UnreadableEntry]) -> None:
        """Take away the workers whose entries cannot be read any more.

        Another writer may have written them. What they said before cannot be
        relied on, and the worker that it named may be gone.
        """
        for entry in entries:
            if entry.worker_id and self._workers.get(entry.worker_id) is not None:
                self._lapsed.pop(entry.worker_id, None)
                self._workers.remove(entry.worker_id)
            if self._unreadable.get(entry.worker_id) == entry.problem:
                continue
            self._unreadable[entry.worker_id] = entry.problem
            while len(self._unreadable) > MAX_UNREADABLE:
                self._unreadable.popitem(last=False)
            self._journal.record(
                Decision(
                    event=Event.ENTRY_UNREADABLE,
                    config_revision=self._version,
                    peer=entry.worker_id,
                    detail=entry.problem,
                    figures=(Figure(name="store_revision", value=self.revision),),
                )
            )

    def _gone_s(self, now_s: float) -> float:
        """Return when a worker that is no longer listed is taken as gone.

        At once, but for the seconds after the store was away: entries run out
        meanwhile although their workers live, and come back when these write
        again. Dropping them all would leave no worker at all for as long.
        """
        return max(now_s, self._away_until_s + LAPSE_S)

    def _drop_lapsed(self, now_s: float) -> None:
        for worker_id, gone_s in list(self._lapsed.items()):
            if gone_s <= now_s:
                del self._lapsed[worker_id]
                self._workers.remove(worker_id)
                self._note_worker(Event.TARGET_DOWN, worker_id, is_leaving=True)

    def _note_back(self) -> None:
        if not self.is_away:
            return
        self._set_away(False)
        self._away_until_s = time.monotonic()
        self._note_source(Event.CONFIG_SOURCE_BACK, "")

    def _note_away(self, fault: StoreFault) -> None:
        if self.is_away:
            return
        self._set_away(True)
        self._note_source(Event.CONFIG_SOURCE_LOST, fault.value)

    def _set_away(self, is_away: bool) -> None:
        self.is_away = is_away
        self._relay.is_away = is_away

    def _note_list(self) -> None:
        self._journal.record(
            Decision(
                event=Event.STORE_LISTED,
                config_revision=self._version,
                detail=self._list_reason,
            )
        )

    def _note_source(self, event: Event, detail: str) -> None:
        age_s = time.monotonic() - self._read_s
        self._journal.record(
            Decision(
                event=event,
                config_revision=self._version,
                detail=detail,
                figures=(
                    Figure(name="store_revision", value=self.revision),
                    Figure(name="age_s", value=age_s),
                ),
            )
        )

    def _note_worker(self, event: Event, worker_id: str, *, is_leaving: bool) -> None:
        worker = self._workers.get(worker_id)
        self._journal.record(
            Decision(
                event=event,
                config_revision=self._version,
                peer=worker_id,
                stage="" if worker is None else worker.service,
                reason=Reason.LEAVING if is_leaving else Reason.NONE,
                figures=(Figure(name="store_revision", value=self.revision),),
            )
        )
