"""Which software versions of a service have served lately, as far as is known here.

From that follows which version began a stream that nobody has stored: the one that its
key is assigned to by every split of the workers over versions that was in force since
the stream may have begun. If two splits disagree, the version is not inferred.
"""

import asyncio
import math
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Final

from .stream_versions import stream_key
from .version_splits import UNKNOWN_VERSION, VersionSplit, split_of
from .workers import Worker, WorkerTable

MAX_KNOWN_S: Final = 600.0
"""Longest time in seconds for which splits are kept; streams live for minutes."""

VIEW_LAG_S: Final = 2.0
"""Time in seconds for which another gateway may use a split that has ended here."""

MAX_GAP_S: Final = 1.0
"""Longest time in seconds between a peer's history and the first list of workers.

In a longer one a version may have served that neither has seen.
"""

MAX_SPLITS: Final = 256
"""Splits of a service that are remembered; older ones count as not known."""

UNNAMED_KEY: Final = stream_key("")
"""Key of a stream whose caller names no attempt; it says nothing about the version."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PastSplit:
    """A split that was in force, and until when.

    Parameters
    ----------
    split : VersionSplit
        How many workers ran each version.
    ended_s : float
        Monotonic time until which it was in force at the latest.
    """

    split: VersionSplit
    ended_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServedHistory:
    """The splits that a gateway knows, for those that start after it.

    Parameters
    ----------
    known_s : float
        Seconds for which all splits are known.
    ended_s : mapping of str to sequence of (VersionSplit, float)
        Splits of each service, each with the seconds since its end; 0 if it is still in
        force.
    """

    known_s: float
    ended_s: Mapping[str, tuple[tuple[VersionSplit, float], ...]] = field(
        default_factory=dict
    )


class ServedVersions:
    """Splits of each service's workers over software versions, now and until lately.

    Parameters
    ----------
    workers : WorkerTable
        The listed workers.
    """

    __slots__ = (
        "_changed_s",
        "_current",
        "_inherited_s",
        "_known_since_s",
        "_oldest_s",
        "_past",
        "_peer_since_s",
        "_seen_version",
        "_workers",
    )

    def __init__(self, *, workers: WorkerTable) -> None:
        self._workers = workers
        self._known_since_s: float | None = None
        self._peer_since_s: float | None = None
        self._inherited_s = 0.0
        self._current: dict[str, VersionSplit] = {}
        self._past: dict[str, list[PastSplit]] = {}
        self._oldest_s: dict[str, float] = {}
        self._seen_version = -1
        workers.change_listeners.append(self._on_change)

    @property
    def known_s(self) -> float:
        """Seconds for which all splits are known; 0 before the first list."""
        self._refresh()
        if self._known_since_s is None:
            return 0.0
        return min(time.monotonic() - self._known_since_s, MAX_KNOWN_S)

    def is_known_for(self, service: str, life_s: float) -> bool:
        """Return True if all splits of the last `life_s` seconds are known."""
        life_s += VIEW_LAG_S
        since_s = time.monotonic() - life_s
        oldest_s = self._oldest_s.get(service, -math.inf)
        return self.known_s >= life_s and since_s >= oldest_s

    def assigned_version(self, service: str, key: bytes) -> str | None:
        """Return the version at which a new stream must begin; None if there is one."""
        self._refresh()
        split = self._current.get(service)
        if split is None or len(split.counts) < 2:
            return None
        return split.version_of(key)

    def versions(self, service: str, life_s: float) -> frozenset[str]:
        """Return the versions that are known to have served within `life_s` seconds."""
        return frozenset().union(
            *(split.versions() for split in self._splits(service, life_s))
        )

    def inferred_version(self, service: str, key: bytes, life_s: float) -> str | None:
        """Return the version that began an unknown stream.

        None if the stream may have begun at more than one, or if the splits of the last
        `life_s` seconds are not all known.
        """
        if not self.is_known_for(service, life_s):
            return None
        candidates = self._candidates(service, key, life_s)
        if len(candidates) != 1 or UNKNOWN_VERSION in candidates:
            return None
        return next(iter(candidates))

    def is_ambiguous(self, service: str, key: bytes, life_s: float) -> bool:
        """Return True if more than one version may have begun an unknown stream."""
        candidates = self._candidates(service, key, life_s)
        return len(candidates) > 1 or UNKNOWN_VERSION in candidates

    def sole_version(self, service: str, life_s: float) -> str | None:
        """Return the only version that has served for `life_s` seconds, or None."""
        return self.inferred_version(service, UNNAMED_KEY, life_s)

    def _candidates(self, service: str, key: bytes, life_s: float) -> frozenset[str]:
        """Return the versions that may have begun an unknown stream."""
        if key == UNNAMED_KEY:
            return self.versions(service, life_s)
        return frozenset().union(
            *(split.versions_of(key) for split in self._splits(service, life_s))
        )

    def _splits(self, service: str, life_s: float) -> list[VersionSplit]:
        """Return the splits that were in force within the last `life_s` seconds."""
        self._refresh()
        since_s = time.monotonic() - life_s - VIEW_LAG_S
        splits = [
            past.split for past in self._past.get(service, ()) if past.ended_s > since_s
        ]
        current = self._current.get(service)
        return splits if current is None else [*splits, current]

    def history(self) -> ServedHistory | None:
        """Return what is known here; None before the workers are known."""
        if self._known_since_s is None:
            return None
        self._refresh()
        now_s = time.monotonic()
        self._forget_old(now_s)
        ended_s = {
            service: tuple((past.split, now_s - past.ended_s) for past in past_splits)
            for service, past_splits in self._past.items()
        }
        for service, split in self._current.items():
            ended_s[service] = (*ended_s.get(service, ()), (split, 0.0))
        return ServedHistory(known_s=self.known_s, ended_s=ended_s)

    def inherit(self, history: ServedHistory) -> None:
        """Take over what a gateway knows that has known the workers for longer."""
        now_s = time.monotonic()
        for service, ended_s in history.ended_s.items():
            for split, ago_s in ended_s:
                self._remember(service, split, ended_s=now_s - ago_s)
        since_s = now_s - history.known_s
        self._inherited_s = now_s
        if self._peer_since_s is None or since_s < self._peer_since_s:
            self._peer_since_s = since_s
        if self._known_since_s is not None:
            self._known_since_s = min(self._known_since_s, self._peer_since_s)

    def keep(self, *, since_s: float) -> None:
        """Count splits that ended after a monotonic time as in force until now."""
        self._refresh()
        now_s = time.monotonic()
        for service, past in self._past.items():
            self._past[service] = [
                replace(each, ended_s=now_s) if each.ended_s >= since_s else each
                for each in past
            ]

    def extend(
        self, splits: Mapping[str, Iterable[VersionSplit]], *, since_s: float
    ) -> bool:
        """Add all splits from a time on until the first one that is known here.

        When each of them ended is not known. Returns False before the first list of
        workers, which they must reach.

        Parameters
        ----------
        splits : mapping of str to iterable of VersionSplit
            The splits of each service.
        since_s : float
            Monotonic time from which on there was no other split.
        """
        self._refresh()
        if self._known_since_s is None:
            return False
        for service, in_service in splits.items():
            for split in in_service:
                self._remember(service, split, ended_s=self._known_since_s)
        self._known_since_s = min(self._known_since_s, since_s)
        return True

    def _remember(self, service: str, split: VersionSplit, *, ended_s: float) -> None:
        """Remember a split that is not in force any more."""
        if not split:
            return
        past = [each for each in self._past.get(service, ()) if each.split != split]
        known = [each for each in self._past.get(service, ()) if each.split == split]
        ended_s = max(ended_s, *(each.ended_s for each in known), -math.inf)
        past.append(PastSplit(split=split, ended_s=ended_s))
        past.sort(key=lambda each: each.ended_s)
        for dropped in past[:-MAX_SPLITS]:
            oldest_s = self._oldest_s.get(service, -math.inf)
            self._oldest_s[service] = max(oldest_s, dropped.ended_s)
        self._past[service] = past[-MAX_SPLITS:]

    def _on_change(self) -> None:
        """Remember the workers of now, once all changes of one update are made.

        While an update is applied the table holds splits that were never in force.
        """
        try:
            asyncio.get_running_loop().call_soon(self._refresh)
        except RuntimeError:
            self._refresh()

    def _refresh(self) -> None:
        if self._seen_version == self._workers.version:
            return
        self._seen_version = self._workers.version
        now_s = time.monotonic()
        self._note_first_list(now_s)
        versions: dict[str, list[str]] = {}
        for worker in self._workers.all():
            if _is_counted(worker, self._workers):
                versions.setdefault(worker.service, []).append(worker.software_version)
        self._forget_old(now_s)
        current = {service: split_of(found) for service, found in versions.items()}
        for service, split in self._current.items():
            if split != current.get(service):
                self._remember(service, split, ended_s=now_s)
        self._current = current

    def _forget_old(self, now_s: float) -> None:
        """Forget splits that are older than any stream."""
        oldest_s = now_s - MAX_KNOWN_S
        for service, past in list(self._past.items()):
            kept = [each for each in past if each.ended_s > oldest_s]
            if kept:
                self._past[service] = kept
            else:
                del self._past[service]
        for service, dropped_s in list(self._oldest_s.items()):
            if dropped_s < oldest_s:
                del self._oldest_s[service]

    def _note_first_list(self, now_s: float) -> None:
        if self._known_since_s is not None or not len(self._workers):
            return
        self._known_since_s = now_s
        if self._peer_since_s is not None and now_s - self._inherited_s < MAX_GAP_S:
            self._known_since_s = self._peer_since_s
            self._extend_to_first_list(now_s)

    def _extend_to_first_list(self, now_s: float) -> None:
        """Count splits as in force until now that were when peers told of them."""
        since_s = now_s - MAX_GAP_S
        for service, past in list(self._past.items()):
            for each in past:
                if each.ended_s > since_s:
                    self._remember(service, each.split, ended_s=now_s)


def _is_counted(worker: Worker, workers: WorkerTable) -> bool:
    """Return True if every gateway with the same entries sends new streams there."""
    return not worker.is_leaving and worker.failure_domain not in workers.evacuated
