"""The workers that the platform lists, and which of them may get new work."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from ...protocol.checksum import checksum

SUSPECT_S: Final = 1.5
"""A worker that did not connect or fell silent is passed over for this long.

Longer than the second after which a lost opening packet is sent again, and
short enough that a worker that came back is idle for little more than one call.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Worker:
    """One start of a worker.

    Parameters
    ----------
    worker_id : str
        New at each start.
    service : str
        Service that it runs.
    address : str
        ``ip:port``; given to another worker some time after this one's end.
    failure_domain : str
        Where it stands.
    is_leaving : bool
        It was told to stop; it finishes what it has.
    """

    worker_id: str
    service: str
    address: str
    failure_domain: str
    is_leaving: bool = False

    def fingerprint(self) -> int:
        """Return a number that differs when anything that is listed of it does."""
        fields = (self.worker_id, self.service, self.address, str(self.is_leaving))
        return checksum("\0".join(fields).encode())


class WorkerTable:
    """Workers by id and by service.

    Attributes
    ----------
    digest : int
        Over all listed workers; equal where two tables are.
    leave_listeners : list of callable
        Called with each worker that may get no more work.
    """

    __slots__ = (
        "_by_id",
        "_by_service",
        "_suspect_until_s",
        "digest",
        "leave_listeners",
    )

    def __init__(self) -> None:
        self._by_id: dict[str, Worker] = {}
        self._by_service: dict[str, dict[str, Worker]] = {}
        self._suspect_until_s: dict[str, float] = {}
        self.digest = 0
        self.leave_listeners: list[Callable[[Worker], None]] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def put(self, worker: Worker) -> bool:
        """Take in what is listed of a worker; return True if it was news."""
        known = self._by_id.get(worker.worker_id)
        if known == worker:
            return False
        if known is not None:
            self.digest ^= known.fingerprint()
        self.digest ^= worker.fingerprint()
        self._by_id[worker.worker_id] = worker
        self._by_service.setdefault(worker.service, {})[worker.worker_id] = worker
        if worker.is_leaving:
            self._tell_leaving(worker)
        return True

    def remove(self, worker_id: str) -> Worker | None:
        """Forget a worker; return it if it was known."""
        worker = self._by_id.pop(worker_id, None)
        if worker is None:
            return None
        self.digest ^= worker.fingerprint()
        del self._by_service[worker.service][worker_id]
        self._suspect_until_s.pop(worker_id, None)
        self._tell_leaving(worker)
        return worker

    def get(self, worker_id: str) -> Worker | None:
        """Return a worker that is listed, or None."""
        return self._by_id.get(worker_id)

    def ids(self) -> list[str]:
        """Return the ids of all listed workers."""
        return list(self._by_id)

    def all(self) -> list[Worker]:
        """Return all listed workers."""
        return list(self._by_id.values())

    def suspect(self, worker_id: str, for_s: float = SUSPECT_S) -> None:
        """Pass over a worker that did not answer, for a while."""
        self._suspect_until_s[worker_id] = time.monotonic() + for_s

    def trust(self, worker_id: str) -> None:
        """Use a worker again: it has answered."""
        self._suspect_until_s.pop(worker_id, None)

    def is_usable(self, worker_id: str) -> bool:
        """Return True if a worker is listed and not leaving."""
        worker = self._by_id.get(worker_id)
        return worker is not None and not worker.is_leaving

    def is_suspect(self, worker_id: str) -> bool:
        """Return True while a worker is passed over."""
        until_s = self._suspect_until_s.get(worker_id)
        return until_s is not None and time.monotonic() < until_s

    def listed(self, service: str) -> list[Worker]:
        """Return all listed workers of a service, silent and leaving ones too."""
        return list(self._by_service.get(service, {}).values())

    def usable(self, service: str, *, without: Iterable[str] = ()) -> list[Worker]:
        """Return the workers of a service that may get work.

        Suspects count only where all are: with every worker silent, trying one
        is worth more than refusing all.
        """
        excluded = set(without)
        listed = [
            worker
            for worker in self._by_service.get(service, {}).values()
            if not worker.is_leaving and worker.worker_id not in excluded
        ]
        trusted = [w for w in listed if not self.is_suspect(w.worker_id)]
        return trusted or listed

    def _tell_leaving(self, worker: Worker) -> None:
        for listener in self.leave_listeners:
            listener(worker)
