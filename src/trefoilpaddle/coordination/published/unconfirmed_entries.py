"""Entries of a restored store that contradict what this gateway knew before."""

from collections.abc import Collection, Iterable
from dataclasses import replace
from typing import Final

from ...state.chain.workers import Worker, WorkerTable

CONFIRM_TIMEOUT_S: Final = 5.0
"""How long an entry that stays listed is treated as unconfirmed.

The store removes an entry after three missed heartbeats. If it is still listed after
this time, its worker has written it since, even if this gateway was not notified.
"""


class UnconfirmedEntries:
    """Entries of the restored backup that contradict more recent knowledge.

    The backup is some seconds old. What was known when the store became unavailable is
    more recent, unless the worker has written its entry since. The worker's next
    heartbeat shows that.
    ----------
    workers : WorkerTable
        The workers known to this gateway.
    """

    __slots__ = ("_by_id", "_until_s", "_workers")

    def __init__(self, *, workers: WorkerTable) -> None:
        self._workers = workers
        self._by_id: dict[str, Worker] = {}
        self._until_s = 0.0

    def __contains__(self, worker_id: str) -> bool:
        return worker_id in self._by_id

    def all(self) -> list[Worker]:
        """Return the unconfirmed entries as the store lists them."""
        return list(self._by_id.values())

    def find_outdated(self, listed: Iterable[Worker], now_s: float) -> None:
        """Find the unconfirmed entries in the first list of an era.

        They replace those of the earlier era.
        """
        self._until_s = now_s + CONFIRM_TIMEOUT_S
        by_id = {worker.worker_id: worker for worker in listed}
        taken = {
            known.address
            for known in self._workers.all()
            if known.worker_id not in by_id
        }
        self._by_id = {
            worker_id: worker
            for worker_id, worker in by_id.items()
            if self._is_outdated(worker, taken)
        }

    def retain_unchanged(self, listed: Iterable[Worker]) -> None:
        """Keep the entries that another list of the same era contains unchanged."""
        by_id = {worker.worker_id: worker for worker in listed}
        self._by_id = {
            worker_id: worker
            for worker_id, worker in self._by_id.items()
            if by_id.get(worker_id) == worker
        }

    def add_from_peer(self, worker: Worker, now_s: float) -> bool:
        """Add an entry that is unconfirmed at a peer.

        Returns False if the entry differs from the one known here.
        """
        if self._workers.get(worker.worker_id) != worker:
            return False
        if not self._by_id:
            self._until_s = now_s + CONFIRM_TIMEOUT_S
        self._by_id[worker.worker_id] = worker
        return True

    def confirm(self, worker_id: str) -> bool:
        """Remove an entry that was written or removed; return True if it was held."""
        return self._by_id.pop(worker_id, None) is not None

    def pop_still_listed(self, now_s: float) -> list[Worker]:
        """Remove and return the entries that stayed listed for long enough."""
        if now_s < self._until_s:
            return []
        still_listed, self._by_id = self.all(), {}
        return still_listed

    def _is_outdated(self, worker: Worker, taken: Collection[str]) -> bool:
        known = self._workers.get(worker.worker_id)
        if known is None:
            # The store reuses an address only after its first worker has exited.
            return self._workers.is_removed(worker) or worker.address in taken
        if known == worker or worker.born_ms > known.born_ms:
            return False
        # A worker never withdraws its announcement that it leaves, so an entry that only
        # adds the announcement is not outdated, whichever was written later.
        return worker != replace(known, is_leaving=True)
