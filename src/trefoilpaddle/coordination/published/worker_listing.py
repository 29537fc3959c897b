"""Keeps the table of workers as the store lists them, entry by entry."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace
from enum import Enum, unique
from typing import Final

from ...protocol.const import MS_PER_S
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Event
from .published_store import StoreChanges, UnreadableEntry
from .store_journal import StoreJournal
from .unconfirmed_entries import CONFIRM_TIMEOUT_S, UnconfirmedEntries

NO_RECENT_RECOVERY_MS: Final = -1
"""Told of a store that was not away lately."""

MAX_UNREADABLE: Final = 256
"""Unreadable entries that are remembered, so that each is logged once.

Whoever writes them may write them again with every heartbeat.
"""


@unique
class Scope(Enum):
    """What an answer of the store, or news of one, tells of."""

    CHANGES = "what has changed since what is known"
    LIST = "all that is listed"
    FIRST_LIST = "all that is listed, for the first time in an era"


class WorkerListing:
    """Takes in what is listed, and gives entries that ran out time to come back.

    Parameters
    ----------
    workers : WorkerTable
        Kept as the store lists them.
    journal : StoreJournal
        Takes what changes.
    recovery_grace_s : float
        How long an entry that ran out while the store was away may take.
    """

    __slots__ = (
        "_back_s",
        "_doubted",
        "_journal",
        "_lapsed",
        "_recovery_grace_s",
        "_unreadable",
        "_workers",
    )

    def __init__(
        self, *, workers: WorkerTable, journal: StoreJournal, recovery_grace_s: float
    ) -> None:
        self._workers = workers
        self._journal = journal
        self._recovery_grace_s = recovery_grace_s
        self._doubted = UnconfirmedEntries(workers=workers)
        self._lapsed: dict[str, float] = {}
        self._unreadable: OrderedDict[str, str] = OrderedDict()
        self._back_s = 0.0

    @property
    def digest(self) -> int:
        """Digest of the workers that the store lists.

        Without those whose entries ran out and may come back: each gateway keeps them
        until another time. With doubted entries as the store lists them.
        """
        digest = self._workers.digest
        for worker_id in self._lapsed:
            digest ^= self._fingerprint(worker_id)
        for worker in self._doubted.all():
            if worker.worker_id not in self._lapsed:
                digest ^= self._fingerprint(worker.worker_id)
            digest ^= worker.fingerprint()
        return digest

    def _fingerprint(self, worker_id: str) -> int:
        worker = self._workers.get(worker_id)
        return 0 if worker is None else worker.fingerprint()

    def listed(self) -> dict[str, Worker]:
        """Return the workers by id as the store lists them."""
        listed = {
            worker.worker_id: worker
            for worker in self._workers.all()
            if worker.worker_id not in self._lapsed
        }
        return listed | {worker.worker_id: worker for worker in self._doubted.all()}

    def expired_ids(self) -> list[str]:
        """Return the ids of workers whose entries ran out and may come back."""
        return list(self._lapsed)

    def unconfirmed(self) -> list[Worker]:
        """Return the entries that are ignored, as the store lists them."""
        return self._doubted.all()

    def add_unconfirmed(self, workers: Iterable[Worker], now_s: float) -> None:
        """Take no work to the workers whose entries a peer doubts."""
        for worker in workers:
            if self._doubted.add_from_peer(worker, now_s):
                self._lapsed.pop(worker.worker_id, None)
                self._drop(worker.worker_id)

    def record_recovery(self, back_s: float) -> None:
        """Note that the store came back at a moment of the monotonic clock."""
        self._back_s = max(self._back_s, back_s)

    def recovery_age_ms(self, now_s: float) -> int:
        """Return how long ago the store came back; -1 if it was not away."""
        back_for_s = now_s - self._back_s
        was_away = self._back_s > 0.0 and back_for_s < self._recovery_grace_s
        return int(back_for_s * MS_PER_S) if was_away else NO_RECENT_RECOVERY_MS

    def apply(
        self, changes: StoreChanges, *, scope: Scope, now_s: float
    ) -> StoreChanges:
        """Take changes in; return those that others may not know."""
        match scope:
            case Scope.FIRST_LIST:
                changes = self._of_copy(changes, now_s)
            case Scope.LIST:
                self._doubted.retain_unchanged(changes.workers)
        noticed = self._put(changes, scope=scope)
        removed = set(changes.removed)
        if scope is not Scope.CHANGES:
            listed = {worker.worker_id for worker in changes.workers}
            removed |= set(self._workers.ids()) - listed
        self._withdraw(changes.unreadable)
        for worker_id in changes.removed:
            self._doubted.confirm(worker_id)
        for worker_id in removed:
            is_known = self._workers.get(worker_id) is not None
            if is_known and worker_id not in self._doubted:
                self._lapsed.setdefault(worker_id, self._gone_s(now_s))
        self.remove_expired(now_s)
        return StoreChanges(
            position=changes.position,
            workers=noticed,
            removed=tuple(removed),
            unreadable=changes.unreadable,
        )

    def _of_copy(self, changes: StoreChanges, now_s: float) -> StoreChanges:
        """Return the first list of an era without what contradicts own knowledge.

        Entries that another writer had overwritten as the copy was made count as
        missing: their workers have the time to write again.
        """
        self._doubted.find_outdated(changes.workers, now_s)
        gone_s = self._gone_s(now_s)
        self._lapsed = dict.fromkeys(self._lapsed, gone_s)
        return replace(changes, unreadable=())

    def list_still_present(self, now_s: float) -> None:
        """List the workers whose entries stand in spite of doubt."""
        if now_s >= self._back_s + CONFIRM_TIMEOUT_S:
            for worker in self._doubted.pop_still_listed(now_s):
                self._lapsed.pop(worker.worker_id, None)
                self._list(worker)

    def remove_expired(self, now_s: float) -> None:
        """Drop the workers whose entries had the time to come back."""
        for worker_id, gone_s in list(self._lapsed.items()):
            if gone_s <= now_s:
                del self._lapsed[worker_id]
                self._drop(worker_id)

    def _drop(self, worker_id: str) -> None:
        self._workers.remove(worker_id)
        self._note(Event.TARGET_DOWN, worker_id, is_leaving=True)

    def _put(self, changes: StoreChanges, *, scope: Scope) -> tuple[Worker, ...]:
        """List workers; return those that others may not know as they are."""
        noticed: list[Worker] = []
        returned = set(changes.relisted)
        for worker in changes.workers:
            was_doubted = worker.worker_id in self._doubted
            if was_doubted and scope is not Scope.CHANGES:
                continue
            self._doubted.confirm(worker.worker_id)
            self._unreadable.pop(worker.worker_id, None)
            was_lapsed = self._lapsed.pop(worker.worker_id, None) is not None
            is_news = self._list(worker)
            # An entry that was gone and is back between two reads is no news here, but
            # others may have heard from another reader that it was gone. A whole list
            # does not tell what was gone, so it names all.
            is_back = scope is not Scope.CHANGES or worker.worker_id in returned
            if is_news or was_lapsed or was_doubted or is_back:
                noticed.append(worker)
        return tuple(noticed)

    def _list(self, worker: Worker) -> bool:
        """List a worker; return True if it was news."""
        is_news = self._workers.put(worker)
        if is_news:
            self._note(Event.TARGET_UP, worker.worker_id, is_leaving=worker.is_leaving)
        return is_news

    def _withdraw(self, entries: Iterable[UnreadableEntry]) -> None:
        """Take away the workers whose entries cannot be read any more.

        Another writer may have written them. What they said before cannot be
        relied on, and the worker that it named may be gone.
        """
        for entry in entries:
            self._doubted.confirm(entry.worker_id)
            if entry.worker_id and self._workers.get(entry.worker_id) is not None:
                self._lapsed.pop(entry.worker_id, None)
                self._workers.remove(entry.worker_id)
            if self._unreadable.get(entry.worker_id) == entry.problem:
                continue
            self._unreadable[entry.worker_id] = entry.problem
            while len(self._unreadable) > MAX_UNREADABLE:
                self._unreadable.popitem(last=False)
            self._journal.record_unreadable(entry)

    def _gone_s(self, now_s: float) -> float:
        """Return when a worker that is no longer listed is taken as gone.

        At once, but for the seconds after the store was away: entries run out
        meanwhile although their workers live, and come back when these write
        again. Dropping them all would leave no worker at all for as long.
        """
        return max(now_s, self._back_s + self._recovery_grace_s)

    def _note(self, event: Event, worker_id: str, *, is_leaving: bool) -> None:
        known = self._workers.get(worker_id)
        self._journal.record_worker_change(
            event, worker_id, known, is_leaving=is_leaving
        )
