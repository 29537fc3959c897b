"""Which software versions of a service have served lately, as far as is known here."""

import time

from .workers import Worker, WorkerTable


class ServedVersions:
    """Software versions that the workers of each service run, or ran until lately.

    Parameters
    ----------
    workers : WorkerTable
        The listed workers.
    is_first_start : bool
        True if no stream can have begun before this process.
    """

    __slots__ = ("_is_first_start", "_known_since_s", "_left_s", "_workers")

    def __init__(self, *, workers: WorkerTable, is_first_start: bool = False) -> None:
        self._workers = workers
        self._is_first_start = is_first_start
        self._known_since_s: float | None = None
        self._left_s: dict[str, dict[str, float]] = {}
        workers.new_listeners.append(self._on_new)
        workers.leave_listeners.append(self._on_leave)

    def sole_version(self, service: str, life_s: float) -> str | None:
        """Return the only version that has served for `life_s` seconds, or None.

        None also if this gateway has not known the workers for so long.
        """
        now_s = time.monotonic()
        if self._known_since_s is None:
            return None
        if not self._is_first_start and now_s - self._known_since_s < life_s:
            return None
        versions = {w.software_version for w in self._workers.listed(service)}
        versions |= {
            version
            for version, left_s in self._left_s.get(service, {}).items()
            if now_s - left_s < life_s
        }
        return versions.pop() if len(versions) == 1 else None

    def _on_new(self, worker: Worker) -> None:
        if self._known_since_s is None:
            self._known_since_s = time.monotonic()

    def _on_leave(self, worker: Worker) -> None:
        # A worker that leaves completes what it has, so the time is set again when it
        # is no longer listed.
        left_s = self._left_s.setdefault(worker.service, {})
        left_s[worker.software_version] = time.monotonic()
