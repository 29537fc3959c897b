"""Workers that the platform lists, and which of them may receive new work."""

import time
from collections import OrderedDict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field, replace
from typing import Final

from ...protocol.checksum import checksum
from .list_digest import ListDigest

SUSPECT_S: Final = 1.5
"""Time for which a worker that refused a connection or did not respond is not used.

Longer than the second after which a lost connection request is sent again, and short
enough that a worker that has recovered is idle for little more than one call.
"""


EVACUATED_RETRY_S: Final = 1.0
"""Retry-After in seconds while orders to evacuate exclude all workers of a service.

The end of such an order is in force at all gateways within this time.
"""

COLD_TOLERANCE_S: Final = 1.0
"""Seconds by which estimates of the end of one cold start differ.

An entry is read up to a read of the store and its delay after it was written.
"""

MAX_REMOVED: Final = 4096
"""Removed workers whose start is remembered; enough for weeks of replacements.

The same holds for starts that have stated that they leave.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Worker:
    """One start of a worker, as listed by the platform.

    Parameters
    ----------
    worker_id : str
        Id of the worker; a later start may have the same id.
    service : str
        Service that the worker runs.
    address : str
        ``ip:port``; another worker may get it some time after this one has exited.
    failure_domain : str
        Failure domain of the worker's host.
    is_leaving : bool
        True if the worker was told to stop; it completes the work that it has.
    born_ms : int
        Unix time of the start in milliseconds; 0 if the worker reports none. A later
        start under the same id has no state of the earlier one.
    cold_until_s : float
        Monotonic time until which the worker reports to be cold; 0 if it does not. Each
        entry states it anew, so it does not distinguish workers.
    software_version : str
        Version of its software. What two versions write does not fit together.
    n_slots : int
        Requests that it runs at the same time, as published; 0 if unknown.
    """

    worker_id: str
    service: str
    address: str
    failure_domain: str
    is_leaving: bool = False
    born_ms: int = 0
    cold_until_s: float = field(default=0.0, compare=False)
    software_version: str = ""
    n_slots: int = 0

    def is_same_start(self, other: "Worker | None") -> bool:
        """Return True if `other` is the same start of the same worker."""
        return (
            other is not None
            and self.worker_id == other.worker_id
            and self.born_ms == other.born_ms
        )

    def digest(self) -> ListDigest:
        """Return the digest of a list that contains only this worker.

        Its entry consists of id, service, address, leaving state and start time.
        """
        fields = (
            self.worker_id,
            self.service,
            self.address,
            str(self.is_leaving),
            str(self.born_ms),
        )
        entry = "\0".join(fields)
        return ListDigest(
            entries=checksum(entry.encode()),
            domains=checksum(f"{entry}\0{self.failure_domain}".encode()),
            versions=checksum(f"{entry}\0{self.software_version}".encode()),
            slots=checksum(f"{entry}\0{self.n_slots}".encode()),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class UsableWorkers:
    """Cached list of the workers of a service that may receive work.

    Parameters
    ----------
    workers : sequence of Worker
        Workers that may receive work.
    until_s : float
        Monotonic time at which the list must be computed again.
    """

    workers: Sequence[Worker]
    until_s: float


class WorkerTable:
    """Workers by id and by service.

    Attributes
    ----------
    digest : ListDigest
        Digest of all listed workers; equal for equal tables.
    evacuated : frozenset of str
        Failure domains whose workers must receive nothing, by order of operators. What
        runs there already completes.
    version : int
        Rises with each change of the listed workers, and of those that are excluded.
    change_listeners : list of callable
        Called after each of these changes.
    leave_listeners : list of callable
        Called with each worker that may receive no more work.
    restart_listeners : list of callable
        Called with the former start of a worker that is listed with another one: its
        results and calls are lost. The leave listeners are called after these.
    new_listeners : list of callable
        Called with each worker that was not listed before.
    """

    __slots__ = (
        "_by_id",
        "_by_service",
        "_removed_born_ms",
        "_rests_until_s",
        "_returned_s",
        "_stated_leaving",
        "_suspect_until_s",
        "_usable",
        "change_listeners",
        "digest",
        "evacuated",
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
        self._removed_born_ms: OrderedDict[str, int] = OrderedDict()
        self._rests_until_s: dict[tuple[str, int], float] = {}
        self._stated_leaving: OrderedDict[str, int] = OrderedDict()
        self.digest = ListDigest()
        self.evacuated: frozenset[str] = frozenset()
        self._returned_s: dict[str, float] = {}
        self.version = 0
        self.change_listeners: list[Callable[[], None]] = []
        self.leave_listeners: list[Callable[[Worker], None]] = []
        self.restart_listeners: list[Callable[[Worker], None]] = []
        self.new_listeners: list[Callable[[Worker], None]] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def put(self, worker: Worker) -> bool:
        """Add or update a listed worker; return True if this changed the table.

        The caller passes entries in the order of the store. The time of a start does
        not order them, as the clock of a worker's host may have been set back. An entry
        of a known start that states no time is ignored.
        """
        known = self._by_id.get(worker.worker_id)
        if known is not None and worker.is_same_start(known):
            # A gateway of an earlier build has passed the entry on without these.
            worker = replace(
                worker,
                software_version=worker.software_version or known.software_version,
                n_slots=worker.n_slots or known.n_slots,
            )
        if known == worker:
            return self._learn_cold(known, worker)
        if known is not None and known.born_ms and not worker.born_ms:
            return False
        if known is not None and not worker.is_same_start(known):
            for listener in self.restart_listeners:
                listener(known)
            self.remove(worker.worker_id)
            known = None
        if known is not None:
            self.digest ^= known.digest()
            if known.service != worker.service:
                del self._by_service[known.service][worker.worker_id]
        self.digest ^= worker.digest()
        self._by_id[worker.worker_id] = worker
        self._by_service.setdefault(worker.service, {})[worker.worker_id] = worker
        self._record_change()
        if known is None:
            for listener in self.new_listeners:
                listener(worker)
        if worker.is_leaving:
            self._notify_leaving(worker)
        return True

    def _learn_cold(self, known: Worker, worker: Worker) -> bool:
        """Learn until when a worker is cold; return True if it is cold again."""
        if worker.cold_until_s <= known.cold_until_s + COLD_TOLERANCE_S:
            return False
        self._by_id[worker.worker_id] = worker
        self._by_service[worker.service][worker.worker_id] = worker
        self._usable.pop(worker.service, None)
        return True

    def remove(self, worker_id: str) -> Worker | None:
        """Remove a worker; return it if it was listed."""
        worker = self._by_id.pop(worker_id, None)
        if worker is None:
            return None
        self.digest ^= worker.digest()
        del self._by_service[worker.service][worker_id]
        self._suspect_until_s.pop(worker_id, None)
        self._removed_born_ms[worker_id] = worker.born_ms
        self._removed_born_ms.move_to_end(worker_id)
        while len(self._removed_born_ms) > MAX_REMOVED:
            self._removed_born_ms.popitem(last=False)
        self._record_change()
        self._notify_leaving(worker)
        return worker

    def get(self, worker_id: str) -> Worker | None:
        """Return a worker by its id; None if it is not listed."""
        return self._by_id.get(worker_id)

    def is_removed(self, worker: Worker) -> bool:
        """Return True if this start of a worker was listed and has been removed."""
        removed_born_ms = self._removed_born_ms.get(worker.worker_id)
        if removed_born_ms is None or worker.worker_id in self._by_id:
            return False
        return worker.born_ms <= removed_born_ms

    def is_replaced(self, worker: Worker) -> bool:
        """Return True if another start is listed under the id, after this one.

        Of a start that was never listed here, only its time shows whether the listed
        one came after it.
        """
        listed = self._by_id.get(worker.worker_id)
        if listed is None or worker.is_same_start(listed):
            return False
        was_listed = self._removed_born_ms.get(worker.worker_id) == worker.born_ms
        return was_listed or listed.born_ms > worker.born_ms

    def ids(self) -> list[str]:
        """Return the ids of all listed workers."""
        return list(self._by_id)

    def all(self) -> list[Worker]:
        """Return all listed workers."""
        return list(self._by_id.values())

    def evacuate(self, failure_domains: frozenset[str]) -> None:
        """Exclude the workers of these failure domains and use those of all others."""
        ordered = failure_domains - self.evacuated
        now_s = time.monotonic()
        for domain in self.evacuated - failure_domains:
            self._returned_s[domain] = now_s
        self.evacuated = failure_domains
        self._record_change()
        for worker in self.all():
            if worker.failure_domain in ordered:
                self._notify_leaving(worker)

    def mark_leaving(self, worker: Worker) -> bool:
        """Exclude a worker that has stated that it leaves; return True if that is new.

        The store may list it as ready for long, or remove its entry and list it again.
        Only a later start under the same id may receive work.
        """
        listed = self._by_id.get(worker.worker_id)
        is_earlier_start = listed is not None and not worker.is_same_start(listed)
        if is_earlier_start or self.is_leaving(worker):
            return False
        self._stated_leaving[worker.worker_id] = worker.born_ms
        self._stated_leaving.move_to_end(worker.worker_id)
        while len(self._stated_leaving) > MAX_REMOVED:
            self._stated_leaving.popitem(last=False)
        if listed is not None:
            self._record_change()
            self._notify_leaving(replace(listed, is_leaving=True))
        return True

    def is_leaving(self, worker: Worker) -> bool:
        """Return True if a worker leaves, by its entry or by its own answers."""
        return (
            worker.is_leaving
            or self._stated_leaving.get(worker.worker_id) == worker.born_ms
        )

    def rest(self, worker: Worker, rest_s: float) -> bool:
        """Send a worker nothing for some seconds; return True if it did not rest yet.

        Answers to requests that were sent together arrive in any order, so a later one
        may prolong the rest but not shorten it.
        """
        now_s = time.monotonic()
        start = (worker.worker_id, worker.born_ms)
        rested_s = self._rests_until_s.get(start, 0.0)
        resting = {k: s for k, s in self._rests_until_s.items() if s > now_s}
        self._rests_until_s = resting | {start: max(rested_s, now_s + rest_s)}
        self._usable.pop(worker.service, None)
        return rested_s <= now_s

    def is_resting(self, worker: Worker) -> bool:
        """Return True while a worker wants nothing, as it has turned a request away."""
        return self.rest_left_s(worker) > 0.0

    def rest_left_s(self, worker: Worker) -> float:
        """Return the seconds until a worker has rested; 0 if it does not rest."""
        return max(0.0, self._rested_s(worker) - time.monotonic())

    def rested_in_s(self, service: str) -> float | None:
        """Return the seconds until a worker of a service has rested.

        None if one may receive requests, or if none may even then.
        """
        staying = [w for w in self.listed(service) if self._is_wanted(w)]
        if not all(map(self.is_resting, staying)):
            return None
        return min(map(self.rest_left_s, staying), default=None)

    def _rested_s(self, worker: Worker) -> float:
        """Return the monotonic time until which a worker rests; 0 if it does not."""
        return self._rests_until_s.get((worker.worker_id, worker.born_ms), 0.0)

    def may_receive(self, worker: Worker) -> bool:
        """Return True if a worker is listed, does not leave and is not excluded.

        Whoever has chosen a worker and waited since asks this before sending.
        """
        listed = self._by_id.get(worker.worker_id)
        return listed is not None and self._is_admitted(listed)

    def cold(self, service: str, duration_s: float, now_s: float) -> list[Worker]:
        """Return the listed workers of a service that are or may be cold.

        Parameters
        ----------
        service : str
            Name of the service.
        duration_s : float
            Seconds for which its workers are cold after their start.
        now_s : float
            Monotonic time.
        """
        return [
            worker
            for worker in self._by_service.get(service, {}).values()
            if self._is_cold(worker, duration_s, now_s)
        ]

    def is_cold(self, worker: Worker, duration_s: float, now_s: float) -> bool:
        """Return True if a worker is or may be cold; see `cold`."""
        listed = self._by_id.get(worker.worker_id)
        return listed is not None and self._is_cold(listed, duration_s, now_s)

    def _is_cold(self, listed: Worker, duration_s: float, now_s: float) -> bool:
        """Return True if a worker reports to be cold, or may have started unnoticed.

        The workers of a failure domain may have become cold during its evacuation, and
        a worker that has not answered may have been restarted.
        """
        doubted_s = max(
            self._returned_s.get(listed.failure_domain, -duration_s),
            self._suspect_until_s.get(listed.worker_id, -duration_s),
        )
        return now_s < max(listed.cold_until_s, doubted_s + duration_s)

    def is_evacuated(self, service: str) -> bool:
        """Return True if orders to evacuate alone exclude all workers of a service."""
        staying = [w for w in self.listed(service) if not self.is_leaving(w)]
        return bool(staying) and not any(map(self._is_wanted, staying))

    def _is_admitted(self, listed: Worker) -> bool:
        return self._is_wanted(listed) and not self.is_resting(listed)

    def _is_wanted(self, listed: Worker) -> bool:
        """Return True unless a worker leaves or its failure domain is evacuated."""
        is_evacuated = listed.failure_domain in self.evacuated
        return not is_evacuated and not self.is_leaving(listed)

    def mark_suspect(self, worker: Worker, for_s: float = SUSPECT_S) -> None:
        """Do not use a worker that did not answer, for a limited time.

        A failed call to an earlier start does not affect the listed one.
        """
        if worker.is_same_start(self._by_id.get(worker.worker_id)):
            self._suspect_until_s[worker.worker_id] = time.monotonic() + for_s
            self._usable.pop(worker.service, None)

    def clear_suspicion(self, worker: Worker) -> None:
        """Use a worker again, as it has answered."""
        if worker.worker_id in self._suspect_until_s and worker.is_same_start(
            self._by_id.get(worker.worker_id)
        ):
            del self._suspect_until_s[worker.worker_id]
            self._usable.pop(worker.service, None)

    def is_suspect(self, worker_id: str) -> bool:
        """Return True while a worker is suspect and therefore not used."""
        until_s = self._suspect_until_s.get(worker_id)
        return until_s is not None and time.monotonic() < until_s

    def listed(self, service: str) -> list[Worker]:
        """Return all listed workers of a service, also suspect and leaving ones."""
        return list(self._by_service.get(service, {}).values())

    def other_versions(self, service: str, software_version: str) -> frozenset[str]:
        """Return the ids of listed workers that run another software version."""
        return frozenset(
            worker.worker_id
            for worker in self._by_service.get(service, {}).values()
            if worker.software_version != software_version
        )

    def has_version(self, service: str, software_version: str) -> bool:
        """Return True if a listed worker that stays runs a software version."""
        return any(
            worker.software_version == software_version and not self.is_leaving(worker)
            for worker in self._by_service.get(service, {}).values()
        )

    def usable(
        self, service: str, *, excluded: Collection[str] = ()
    ) -> Sequence[Worker]:
        """Return the workers of a service that may receive work.

        Suspect workers are included only if all are suspect: if no worker responds,
        trying one is better than refusing all requests. Without `excluded`, the same
        object is returned until the result may have changed.

        Parameters
        ----------
        service : str
            Name of the service.
        excluded : collection of str
            Ids of workers to leave out.
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
            if self._is_admitted(worker) and worker.worker_id not in excluded
        ]
        trusted = [w for w in listed if not self.is_suspect(w.worker_id)]
        return trusted or listed

    def _next_trusted_s(self, service: str) -> float:
        """Return when the next suspect or resting worker of a service is used again."""
        now_s = time.monotonic()
        until_s = [
            until_s
            for worker in self.listed(service)
            for until_s in (
                self._suspect_until_s.get(worker.worker_id, 0.0),
                self._rested_s(worker),
            )
        ]
        return min((each for each in until_s if each > now_s), default=float("inf"))

    def _record_change(self) -> None:
        self.version += 1
        self._usable.clear()
        for listener in self.change_listeners:
            listener()

    def _notify_leaving(self, worker: Worker) -> None:
        for listener in self.leave_listeners:
            listener(worker)
