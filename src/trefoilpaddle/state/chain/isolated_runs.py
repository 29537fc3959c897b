"""Runs of requests that may crash their workers, isolated from one another."""

import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

ISOLATION_S: Final = 3.0
"""Longest isolation of such a run; a run that crashes its worker does so earlier."""

MAX_REMEMBERED_ENDS: Final = 1024
"""Ended runs that are remembered, as the update that one began may arrive later."""


@dataclass(frozen=True, slots=True, kw_only=True)
class IsolatedRun:
    """A run of a request that may crash its worker.

    Parameters
    ----------
    run_id : int
        Random number that distinguishes the runs of a request.
    fingerprint : str
        Fingerprint of the request.
    worker_id : str
        Worker that runs the request.
    isolation_s : float
        Seconds for which the run stays isolated; 0 once it has ended.
    """

    run_id: int
    fingerprint: str
    worker_id: str
    isolation_s: float = ISOLATION_S


class IsolatedRuns:
    """Runs of suspect requests that are in progress, sent by any gateway."""

    __slots__ = ("_ended", "_running")

    def __init__(self) -> None:
        self._running: dict[int, tuple[IsolatedRun, float]] = {}
        self._ended: OrderedDict[int, None] = OrderedDict()

    def record(self, run: IsolatedRun) -> bool:
        """Record that a run has begun or ended; return True if it was not known yet."""
        if run.run_id in self._ended:
            return False
        if run.isolation_s:
            if run.run_id in self._running:
                return False
            until_s = time.monotonic() + min(run.isolation_s, ISOLATION_S)
            self._running[run.run_id] = (run, until_s)
            return True
        self._running.pop(run.run_id, None)
        self._ended[run.run_id] = None
        while len(self._ended) > MAX_REMEMBERED_ENDS:
            self._ended.popitem(last=False)
        return True

    def is_running(self, fingerprint: str) -> bool:
        """Return True while a run of a request is in progress."""
        return any(run.fingerprint == fingerprint for run in self._current_runs())

    def workers(self) -> frozenset[str]:
        """Return the ids of all workers that run such requests."""
        if not self._running:
            return frozenset()
        return frozenset(run.worker_id for run in self._current_runs())

    def _current_runs(self) -> list[IsolatedRun]:
        now_s = time.monotonic()
        for run_id in [
            r for r, (_, until_s) in self._running.items() if now_s >= until_s
        ]:
            del self._running[run_id]
        return [run for run, _ in self._running.values()]
