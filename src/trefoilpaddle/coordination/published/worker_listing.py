"""Maintains the table of workers from the entries that the store lists."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace
from enum import Enum, unique
from typing import Final

from ...protocol.const import MS_PER_S
from ...state.chain.list_digest import ListDigest
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Event
from .published_store import StoreChanges, UnreadableEntry
from .store_journal import StoreJournal
from .unconfirmed_entries import CONFIRM_TIMEOUT_S, UnconfirmedEntries

NO_RECENT_RECOVERY_MS: Final = -1
"""Sent to peers if the store was not unavailable recently."""

MAX_UNREADABLE: Final = 256
"""Largest number of unreadable entries remembered, so that each is logged once.

Their writer may write them again with every heartbeat.
"""


@unique
class Scope(Enum):
    """What a response of the store, or an update from a reader, covers."""

    CHANGES = "what has changed since what is known"
    LIST = "all that is listed"
    FIRST_LIST = "all that is listed, for the first time in an era"


class WorkerListing:
    """Applies listed entries; keeps expired entries for a grace period.

    Workers cannot renew their entries while the store is unavailable, so entries
    expire although their workers are alive.

    Parameters
    ----------
    workers : WorkerTable
        The table that is kept up to date with the store.
    store_journal : StoreJournal
        Receives records of what changes.
    recovery_grace_s : float
        Time in seconds after a recovery of the store within which an entry that has
        expired meanwhile may be written again.
    """

    __slots__ = (
        "_expired",
        "_recovered_s",
        "_recovery_grace_s",
        "_store_journal",
        "_unconfirmed",
        "_unreadable",
        "_workers",
    )

    def __init__(
        self,
        *,
        workers: WorkerTable,
        store_journal: StoreJournal,
        recovery_grace_s: float,
    ) -> None:
        self._workers = workers
        self._store_journal = store_journal
        self._recovery_grace_s = recovery_grace_s
        self._unconfirmed = UnconfirmedEntries(workers=workers)
        self._expired: dict[str, float] = {}
        self._unreadable: OrderedDict[str, str] = OrderedDict()
        self._recovered_s = 0.0

    @property
    def digest(self) -> ListDigest:
        """Digest of the workers that the store lists.

        Expired entries in their grace period are left out, because that period ends
        at a different time at each gateway. Unconfirmed entries are included as the
        store lists them.
        """
        digest = self._workers.digest
        for worker_id in self._expired:
            digest ^= self._digest_of(worker_id)
        for worker in self._unconfirmed.all():
            if worker.worker_id not in self._expired:
                digest ^= self._digest_of(worker.worker_id)
            digest ^= worker.digest()
        return digest

    def _digest_of(self, worker_id: str) -> ListDigest:
        worker = self._workers.get(worker_id)
        return ListDigest() if worker is None else worker.digest()

    def listed(self) -> dict[str, Worker]:
        """Return the workers by id as the store lists them."""
        listed = {
            worker.worker_id: worker
            for worker in self._workers.all()
            if worker.worker_id not in self._expired
        }
        return listed | {worker.worker_id: worker for worker in self._unconfirmed.all()}

    def expired_ids(self) -> list[str]:
        """Return the ids of workers with expired entries, in their grace period."""
        return list(self._expired)

    def unconfirmed(self) -> list[Worker]:
        """Return the entries that are ignored, as the store lists them."""
        return self._unconfirmed.all()

    def add_unconfirmed(self, workers: Iterable[Worker], now_s: float) -> None:
        """Stop using the workers whose entries are unconfirmed at a peer."""
        for worker in workers:
            if self._unconfirmed.add_from_peer(worker, now_s):
                self._expired.pop(worker.worker_id, None)
                self._drop(worker.worker_id)

    def record_recovery(self, recovered_s: float) -> None:
        """Record that the store recovered at a time of the monotonic clock."""
        self._recovered_s = max(self._recovered_s, recovered_s)

    def recovery_age_ms(self, now_s: float) -> int:
        """Return the milliseconds since the store recovered.

        Returns -1 if the store was not unavailable recently.
        """
        age_s = now_s - self._recovered_s
        is_recent = self._recovered_s > 0.0 and age_s < self._recovery_grace_s
        return int(age_s * MS_PER_S) if is_recent else NO_RECENT_RECOVERY_MS

    def apply(
        self, changes: StoreChanges, *, scope: Scope, now_s: float
    ) -> StoreChanges:
        """Apply changes; return those that other gateways may not know."""
        match scope:
            case Scope.FIRST_LIST:
                changes = self._reconcile_with_backup(changes, now_s)
            case Scope.LIST:
                self._unconfirmed.retain_unchanged(changes.workers)
        noticed = self._put(changes, scope=scope)
        removed = set(changes.removed)
        if scope is not Scope.CHANGES:
            listed = {worker.worker_id for worker in changes.workers}
            removed |= set(self._workers.ids()) - listed
        self._withdraw(changes.unreadable)
        for worker_id in changes.removed:
            self._unconfirmed.confirm(worker_id)
        for worker_id in removed:
            is_known = self._workers.get(worker_id) is not None
            if is_known and worker_id not in self._unconfirmed:
                self._expired.setdefault(worker_id, self._removal_time_s(now_s))
        self.remove_expired(now_s)
        return StoreChanges(
            position=changes.position,
            workers=noticed,
            removed=tuple(removed),
            unreadable=changes.unreadable,
        )

    def _reconcile_with_backup(
        self, changes: StoreChanges, now_s: float
    ) -> StoreChanges:
        """Find what contradicts earlier knowledge in the first list of an era.

        Entries that were overwritten by another writer when the backup was taken count
        as missing. Their workers have the grace period to write again.

        Returns
        -------
        StoreChanges
            The list without unreadable entries.
        """
        self._unconfirmed.find_outdated(changes.workers, now_s)
        removal_time_s = self._removal_time_s(now_s)
        self._expired = dict.fromkeys(self._expired, removal_time_s)
        return replace(changes, unreadable=())

    def list_still_present(self, now_s: float) -> None:
        """Use the workers whose unconfirmed entries have stayed listed."""
        if now_s >= self._recovered_s + CONFIRM_TIMEOUT_S:
            for worker in self._unconfirmed.pop_still_listed(now_s):
                self._expired.pop(worker.worker_id, None)
                self._list(worker)

    def remove_expired(self, now_s: float) -> None:
        """Remove the workers whose grace period is over."""
        for worker_id, removal_time_s in list(self._expired.items()):
            if removal_time_s <= now_s:
                del self._expired[worker_id]
                self._drop(worker_id)

    def _drop(self, worker_id: str) -> None:
        removed = self._workers.remove(worker_id)
        self._store_journal.record_worker_change(
            Event.TARGET_DOWN, worker_id, removed, is_leaving=True
        )

    def _put(self, changes: StoreChanges, *, scope: Scope) -> tuple[Worker, ...]:
        """Add or update workers; return those that other gateways may not know."""
        noticed: list[Worker] = []
        relisted = set(changes.relisted)
        for worker in changes.workers:
            was_unconfirmed = worker.worker_id in self._unconfirmed
            if was_unconfirmed and scope is not Scope.CHANGES:
                continue
            self._unconfirmed.confirm(worker.worker_id)
            self._unreadable.pop(worker.worker_id, None)
            was_expired = self._expired.pop(worker.worker_id, None) is not None
            is_changed = self._list(worker)
            # An entry that was removed and listed again between two reads is unchanged
            # here, but other gateways may know of its removal from another reader. A
            # complete list does not show which entries were removed, so all are sent.
            is_back = scope is not Scope.CHANGES or worker.worker_id in relisted
            if is_changed or was_expired or was_unconfirmed or is_back:
                noticed.append(worker)
        return tuple(noticed)

    def _list(self, worker: Worker) -> bool:
        """Add or update a worker; return True if that changed the table."""
        is_changed = self._workers.put(worker)
        if is_changed:
            self._record(
                Event.TARGET_UP, worker.worker_id, is_leaving=worker.is_leaving
            )
        return is_changed

    def _withdraw(self, entries: Iterable[UnreadableEntry]) -> None:
        """Remove the workers whose entries are no longer readable.

        Another writer may have overwritten the entries. Their previous content is not
        reliable, and the workers that it described may have exited.
        """
        for entry in entries:
            self._unconfirmed.confirm(entry.worker_id)
            if entry.worker_id and self._workers.get(entry.worker_id) is not None:
                self._expired.pop(entry.worker_id, None)
                self._workers.remove(entry.worker_id)
            if self._unreadable.get(entry.worker_id) == entry.problem:
                continue
            self._unreadable[entry.worker_id] = entry.problem
            while len(self._unreadable) > MAX_UNREADABLE:
                self._unreadable.popitem(last=False)
            self._store_journal.record_unreadable(entry)

    def _removal_time_s(self, now_s: float) -> float:
        """Return when a worker that is no longer listed is removed.

        That is at once, except in the grace period after the store was unavailable.
        Entries expire in that time although their workers are alive, and are listed
        again when these write. Removing them all would leave no worker until then.
        """
        return max(now_s, self._recovered_s + self._recovery_grace_s)

    def _record(self, event: Event, worker_id: str, *, is_leaving: bool) -> None:
        known = self._workers.get(worker_id)
        self._store_journal.record_worker_change(
            event, worker_id, known, is_leaving=is_leaving
        )
