"""The workers that the platform lists, and which of them may get new work."""

import time
from collections import OrderedDict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Final

from ...protocol.checksum import checksum

SUSPECT_S: Final = 1.5
"""A worker that did not connect or fell silent is passed over for this long.

Longer than the second after which a lost opening packet is sent again, and
short enough that a worker that came back is idle for little more than one call.
"""


MAX_REMOVED: Final = 4096
"""Workers that are gone whose start is remembered; weeks of replacements."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Worker:
    """One start of a worker.

    Parameters
    ----------
    worker_id : str
        May be that of an earlier start.
    service : str
        Service that it runs.
    address : str
        ``ip:port``; given to another worker some time after this one's end.
    failure_domain : str
        Where it stands.
    is_leaving : bool
        It was told to stop; it finishes what it has.
    born_ms : int
        Unix time of its start in milliseconds; 0 where it tells none. A later
        one under the same id holds and knows nothing of the earlier.
    """

    worker_id: str
    service: str
    address: str
    failure_domain: str
    is_leaving: bool = False
    born_ms: int = 0

    def is_same_start(self, other: "Worker | None") -> bool:
        """Return True if `other` is the same start of the same worker."""
        return (
            other is not None
            and self.worker_id == other.worker_id
            and self.born_ms == other.born_ms
        )

    def fingerprint(self) -> int:
        """Return a number that differs when anything that is listed of it does."""
        fields = (
            self.worker_id,
            self.service,
            self.address,
            str(self.is_leaving),
            str(self.born_ms),
        )
        return checksum("\0".join(fields).encode())


@dataclass(frozen=True, slots=True, kw_only=True)
class UsableWorkers:
    """The workers of a service that may get work, found once.

    Parameters
    ----------
    workers : sequence of Worker
        These.
    until_s : float
        Monotonic time at which they must be found again.
    """

    workers: Sequence[Worker]
    until_s: float


class WorkerTable:
    """Workers by id and by service.

    Attributes
    ----------
    digest : int
        Over all listed workers; equal where two tables are.
    version : int
        Rises whenever what is listed changes.
    leave_listeners : list of callable
        Called with each worker that may get no more work.
    restart_listeners : list of callable
        Called with each worker that has started again since: what it held and
        what it was doing are gone. Its leave listeners are called after.
    new_listeners : list of callable
        Called with each worker that was not listed before.
    """

    __slots__ = (
        "_by_id",
        "_by_service",
        "_gone_born_ms",
        "_suspect_until_s",
        "_usable",
        "digest",
        "leave_listeners",
        "new_listeners",
        "restart_listeners",
        "version",
    )

    def __init__(self) -> None:
        self._by_id: dict[str, Worker] = {}
        self._by_service: dict[str, dict[str, Worker]] = {}
        self._suspect_until_s: dict[str, float] = {}
        self._usable: dict[str, UsableWorkers] = {}
        self._gone_born_ms: OrderedDict[str, int] = OrderedDict()
        self.digest = 0
        self.version = 0
        self.leave_listeners: list[Callable[[Worker], None]] = []
        self.restart_listeners: list[Callable[[Worker], None]] = []
        self.new_listeners: list[Callable[[Worker], None]] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def put(self, worker: Worker) -> bool:
        """Take in what is listed of a worker; return True if it was news.

        What is said of an earlier start, by a peer that lags or a read that was
        answered late, changes nothing.
        """
        known = self._by_id.get(worker.worker_id)
        if known == worker or worker.born_ms < self._newest_born_ms(worker.worker_id):
            return False
        if known is not None and worker.born_ms > known.born_ms:
            for listener in self.restart_listeners:
                listener(known)
            self.remove(worker.worker_id)
            known = None
        if known is not None:
            self.digest ^= known.fingerprint()
            if known.service != worker.service:
                del self._by_service[known.service][worker.worker_id]
        self.digest ^= worker.fingerprint()
        self._by_id[worker.worker_id] = worker
        self._by_service.setdefault(worker.service, {})[worker.worker_id] = worker
        self._note_change()
        if known is None:
            for listener in self.new_listeners:
                listener(worker)
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
        self._gone_born_ms[worker_id] = worker.born_ms
        self._gone_born_ms.move_to_end(worker_id)
        while len(self._gone_born_ms) > MAX_REMOVED:
            self._gone_born_ms.popitem(last=False)
        self._note_change()
        self._tell_leaving(worker)
        return worker

    def get(self, worker_id: str) -> Worker | None:
        """Return a worker that is listed, or None."""
        return self._by_id.get(worker_id)

    def is_removed(self, worker: Worker) -> bool:
        """Return True if this start of a worker was listed and is no more."""
        gone_born_ms = self._gone_born_ms.get(worker.worker_id)
        if gone_born_ms is None or worker.worker_id in self._by_id:
            return False
        return worker.born_ms <= gone_born_ms

    def ids(self) -> list[str]:
        """Return the ids of all listed workers."""
        return list(self._by_id)

    def all(self) -> list[Worker]:
        """Return all listed workers."""
        return list(self._by_id.values())

    def mark_suspect(self, worker: Worker, for_s: float = SUSPECT_S) -> None:
        """Pass over a worker that did not answer, for a while.

        A call to an earlier start that breaks says nothing of this one.
        """
        if worker.is_same_start(self._by_id.get(worker.worker_id)):
            self._suspect_until_s[worker.worker_id] = time.monotonic() + for_s
            self._usable.pop(worker.service, None)

    def clear_suspicion(self, worker: Worker) -> None:
        """Use a worker again: it has answered."""
        if worker.worker_id in self._suspect_until_s and worker.is_same_start(
            self._by_id.get(worker.worker_id)
        ):
            del self._suspect_until_s[worker.worker_id]
            self._usable.pop(worker.service, None)

    def is_suspect(self, worker_id: str) -> bool:
        """Return True while a worker is passed over."""
        until_s = self._suspect_until_s.get(worker_id)
        return until_s is not None and time.monotonic() < until_s

    def listed(self, service: str) -> list[Worker]:
        """Return all listed workers of a service, silent and leaving ones too."""
        return list(self._by_service.get(service, {}).values())

    def usable(
        self, service: str, *, excluded: Collection[str] = ()
    ) -> Sequence[Worker]:
        """Return the workers of a service that may get work.

        Suspects count only where all are: with every worker silent, trying one
        is worth more than refusing all. The same object is returned until another
        worker may get work.
        """
        if excluded:
            return self._find_usable(service, excluded)
        known = self._usable.get(service)
        if known is None or time.monotonic() >= known.until_s:
            known = UsableWorkers(
                workers=self._find_usable(service, excluded),
                until_s=self._next_trusted_s(service),
            )
            self._usable[service] = known
        return known.workers

    def _find_usable(self, service: str, excluded: Collection[str]) -> list[Worker]:
        listed = [
            worker
            for worker in self._by_service.get(service, {}).values()
            if not worker.is_leaving and worker.worker_id not in excluded
        ]
        trusted = [w for w in listed if not self.is_suspect(w.worker_id)]
        return trusted or listed

    def _next_trusted_s(self, service: str) -> float:
        """Return when a suspect of a service is used again by itself."""
        now_s = time.monotonic()
        until_s = (
            self._suspect_until_s.get(worker_id, 0.0)
            for worker_id in self._by_service.get(service, {})
        )
        return min((each for each in until_s if each > now_s), default=float("inf"))

    def _note_change(self) -> None:
        self.version += 1
        self._usable.clear()

    def _newest_born_ms(self, worker_id: str) -> int:
        """Return the latest start that was listed under an id."""
        known = self._by_id.get(worker_id)
        if known is not None:
            return known.born_ms
        return self._gone_born_ms.get(worker_id, 0)

    def _tell_leaving(self, worker: Worker) -> None:
        for listener in self.leave_listeners:
            listener(worker)
