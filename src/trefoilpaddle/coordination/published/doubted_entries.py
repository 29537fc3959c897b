"""Entries of a store that came back from a copy, against what was known before."""

from collections.abc import Collection, Iterable
from dataclasses import replace
from typing import Final

from ...state.chain.workers import Worker, WorkerTable

DOUBT_S: Final = 5.0
"""How long an entry is doubted that stays listed.

The store removes it after three heartbeats of silence: whoever stands there longer has
written since, though this gateway may have been told of nothing.
"""


class DoubtedEntries:
    """Entries that a copy holds although later knowledge says otherwise.

    The copy is some seconds old. What was known as the store went away is later,
    unless the worker has written since: its next heartbeat shows that.

    Parameters
    ----------
    workers : WorkerTable
        What is known.
    """

    __slots__ = ("_by_id", "_until_s", "_workers")

    def __init__(self, *, workers: WorkerTable) -> None:
        self._workers = workers
        self._by_id: dict[str, Worker] = {}
        self._until_s = 0.0

    def __contains__(self, worker_id: str) -> bool:
        return worker_id in self._by_id

    def all(self) -> list[Worker]:
        """Return these entries, as the store lists them."""
        return list(self._by_id.values())

    def judge(self, listed: Iterable[Worker], now_s: float) -> None:
        """Find them in the first list of an era; those of an earlier one go."""
        self._until_s = now_s + DOUBT_S
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

    def keep_listed(self, listed: Iterable[Worker]) -> None:
        """Keep those that another list of the same era holds unchanged."""
        by_id = {worker.worker_id: worker for worker in listed}
        self._by_id = {
            worker_id: worker
            for worker_id, worker in self._by_id.items()
            if by_id.get(worker_id) == worker
        }

    def adopt(self, worker: Worker, now_s: float) -> bool:
        """Doubt an entry as a peer does; False if it is known otherwise here."""
        if self._workers.get(worker.worker_id) != worker:
            return False
        if not self._by_id:
            self._until_s = now_s + DOUBT_S
        self._by_id[worker.worker_id] = worker
        return True

    def believe(self, worker_id: str) -> bool:
        """End a doubt: the entry was written or removed; True if there was one."""
        return self._by_id.pop(worker_id, None) is not None

    def outlasting(self, now_s: float) -> list[Worker]:
        """Return and forget those that were doubted long enough."""
        if now_s < self._until_s:
            return []
        outlasting, self._by_id = self.all(), {}
        return outlasting

    def _is_outdated(self, worker: Worker, taken: Collection[str]) -> bool:
        known = self._workers.get(worker.worker_id)
        if known is None:
            # An address is given to another worker only when its first one is gone.
            return self._workers.is_removed(worker) or worker.address in taken
        if known == worker or worker.born_ms > known.born_ms:
            return False
        # A worker that leaves never takes that back, whichever is the later word.
        return worker != replace(known, is_leaving=True)
