"""Derives from the store's history how workers were split over software versions.

The store lists the current entries and keeps the changes since some earlier revision.
Both outlive all gateways.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from statistics import median_low
from typing import Final

from .version_splits import VersionSplit
from .workers import Worker

FIRST_REVISION: Final = 2
"""Earliest revision that may remove an entry."""

Splits = Mapping[str, frozenset[VersionSplit]]
"""Splits of each service."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryWrite:
    """An entry as it was written, or its removal.

    Parameters
    ----------
    key : str
        Key of the entry.
    revision : int
        Revision of this write.
    created : int
        Revision of the first write of the entry; 0 of a removal.
    worker_id : str
        Id of the worker whose entry it is; empty if it is no worker's.
    worker : Worker or None
        The worker that it describes; None of a removal or an unreadable entry.
    is_evacuation : bool
        True if it orders or ends the evacuation of a failure domain.
    """

    key: str
    revision: int
    created: int = 0
    worker_id: str = ""
    worker: Worker | None = None
    is_evacuation: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreHistory:
    """The current entries, and all changes since a revision.

    Parameters
    ----------
    listed : sequence of EntryWrite
        All current entries, as they were last written.
    changes : sequence of EntryWrite
        All changes later than `after`, oldest first.
    after : int
        Revision after which all changes are known; 0 if there is none before them.
    """

    listed: Sequence[EntryWrite]
    changes: Sequence[EntryWrite]
    after: int


def kept_splits(history: StoreHistory, evacuated: frozenset[str]) -> Splits | None:
    """Return all splits since the revision from which on changes are known.

    A worker that was removed may not be described by any change; it counts as one of
    an unknown version in all services. None if failure domains were evacuated.

    Parameters
    ----------
    history : StoreHistory
        What the store knows.
    evacuated : frozenset of str
        Failure domains that are evacuated now.
    """
    if any(change.is_evacuation for change in history.changes):
        return None
    splits = SplitCollector(history=history, evacuated=evacuated)
    before = _entries_before(history, is_periodic=_is_periodic(history))
    for worker_id, worker in before.items():
        splits.put(worker_id, worker)
    splits.collect()
    for change in history.changes:
        if change.worker_id:
            splits.put(change.worker_id, change.worker, is_listed=False)
            splits.collect()
    return splits.found()


def earlier_splits(history: StoreHistory, evacuated: frozenset[str]) -> Splits | None:
    """Return all splits before the revision from which on changes are known.

    They are known only if each earlier revision is the first or the last write of an
    entry that still existed: then nothing was removed. None otherwise.
    """
    if not _are_all_known(history) or _has_replaced(history):
        return None
    created = _created(history)
    writes: list[tuple[int, Worker]] = []
    for worker_id, worker in _entries_before(history, is_periodic=False).items():
        if worker is None:
            return None
        writes.append((created[worker_id], replace(worker, is_leaving=False)))
    writes += [
        (write.revision, write.worker)
        for write in history.listed
        if write.worker is not None and write.created < write.revision <= history.after
    ]
    splits = SplitCollector(history=history, evacuated=evacuated)
    for _, worker in sorted(writes, key=lambda each: each[0]):
        splits.put(worker.worker_id, worker)
        splits.collect()
    return splits.found()


def written_s(history: StoreHistory, period_s: float) -> float | None:
    """Return how far back the changes reach, by what workers write periodically.

    None if workers write their entries only when something changes.

    Parameters
    ----------
    history : StoreHistory
        What the store knows.
    period_s : float
        Time in seconds between two writes of a worker.
    """
    serving = _serving(history)
    n_rewritten = sum(write.revision > write.created for write in serving)
    if 2 * n_rewritten <= len(serving):
        return None
    return period_s * _usual_n_writes(history)


def _is_periodic(history: StoreHistory) -> bool:
    """Return True if workers write their entries again and again.

    A single write of each may be a restart of all under their ids.
    """
    return _usual_n_writes(history) > 1


def _usual_n_writes(history: StoreHistory) -> int:
    """Return how often most workers that serve are written among the changes."""
    n_writes = Counter(change.worker_id for change in history.changes)
    counts = [n_writes[write.worker_id] for write in _serving(history)]
    return median_low(counts) if counts else 0


def _serving(history: StoreHistory) -> list[EntryWrite]:
    return [
        write
        for write in history.listed
        if write.worker is not None and not write.worker.is_leaving
    ]


class SplitCollector:
    """Collects the splits of each service while workers come and go.

    Parameters
    ----------
    history : StoreHistory
        Names the services.
    evacuated : frozenset of str
        Failure domains whose workers do not count.
    """

    __slots__ = (
        "_changed",
        "_counts",
        "_evacuated",
        "_found",
        "_n_unknown",
        "_serving",
    )

    def __init__(self, *, history: StoreHistory, evacuated: frozenset[str]) -> None:
        self._evacuated = evacuated
        self._serving: dict[str, Worker | None] = {}
        self._n_unknown = 0
        self._counts: dict[str, Counter[str]] = {
            write.worker.service: Counter()
            for write in (*history.listed, *history.changes)
            if write.worker is not None
        }
        self._changed: set[str] = set(self._counts)
        self._found: dict[str, set[VersionSplit]] = {}

    def put(
        self, worker_id: str, worker: Worker | None, *, is_listed: bool = True
    ) -> None:
        """Replace what is known of an entry.

        Without a worker, it is one that is not known if it `is_listed`, and else none.
        """
        self._count(worker_id, -1)
        self._serving.pop(worker_id, None)
        if worker is not None or is_listed:
            self._serving[worker_id] = worker
            self._count(worker_id, 1)

    def _count(self, worker_id: str, change: int) -> None:
        if worker_id not in self._serving:
            return
        worker = self._serving[worker_id]
        if worker is None:
            self._n_unknown += change
            self._changed |= set(self._counts)
        elif not worker.is_leaving and worker.failure_domain not in self._evacuated:
            self._counts[worker.service][worker.software_version] += change
            self._changed.add(worker.service)

    def collect(self) -> None:
        """Add the present split of each service that has changed."""
        for service in self._changed:
            counts = +self._counts[service]
            split = VersionSplit(
                counts=tuple(sorted(counts.items())), n_unknown=self._n_unknown
            )
            self._found.setdefault(service, set()).add(split)
        self._changed.clear()

    def found(self) -> Splits:
        """Return what was collected."""
        return {service: frozenset(splits) for service, splits in self._found.items()}


def _entries_before(
    history: StoreHistory, *, is_periodic: bool
) -> dict[str, Worker | None]:
    """Return the workers that were listed before the changes, by their ids.

    None stands for one whose entry is not known. `is_periodic` is True if workers write
    their entries again and again.
    """
    first: dict[str, EntryWrite] = {}
    for change in history.changes:
        if change.worker_id:
            first.setdefault(change.worker_id, change)
    before: dict[str, Worker | None] = {
        write.worker_id: write.worker
        for write in history.listed
        if write.worker is not None and write.worker_id not in first
    }
    for worker_id, change in first.items():
        if _is_first_write(change, history):
            continue
        before[worker_id] = _before(change, is_periodic=is_periodic)
    return before


def _before(change: EntryWrite, *, is_periodic: bool) -> Worker | None:
    """Return the worker that an entry described before a write; None if not known.

    A worker that leaves was ready before, with the same version. Another one may have
    started under its id, unless workers write their entries again and again.
    """
    if change.worker is None or not (change.worker.is_leaving or is_periodic):
        return None
    return replace(change.worker, is_leaving=False)


def _is_first_write(change: EntryWrite, history: StoreHistory) -> bool:
    """Return True if an entry did not exist before the first change to it."""
    return not history.after or change.created > history.after


def _has_replaced(history: StoreHistory) -> bool:
    """Return True if entries may have described something else that counted before."""
    return any(
        write.is_evacuation or (write.worker_id and write.worker is None)
        for write in history.listed
    )


def _are_all_known(history: StoreHistory) -> bool:
    """Return True if each revision before the changes is a write that is known."""
    known: set[int] = set()
    for write in (*history.listed, *history.changes):
        known |= {write.created, write.revision}
    return all(
        revision in known for revision in range(FIRST_REVISION, history.after + 1)
    )


def _created(history: StoreHistory) -> dict[str, int]:
    return {
        write.worker_id: write.created
        for write in (*history.listed, *history.changes)
        if write.worker_id and write.created
    }
