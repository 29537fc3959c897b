"""Runs of requests that may crash their workers, kept apart from one another."""

import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

ISOLATION_S: Final = 3.0
"""How long such a run is kept apart; one that crashes its worker does so before."""

MAX_REMEMBERED_ENDS: Final = 1024
"""Ended runs that are remembered: news of their beginning may come later."""


@dataclass(frozen=True, slots=True, kw_only=True)
class IsolatedRun:
    """A run of a request that may crash its worker.

    Parameters
    ----------
    run_id : int
        Random; tells the runs of a request apart.
    fingerprint : str
        The request.
    worker_id : str
        Where it runs.
    isolation_s : float
        It is kept apart for so long; 0 once it has ended.
    """

    run_id: int
    fingerprint: str
    worker_id: str
    isolation_s: float = ISOLATION_S


class IsolatedRuns:
    """Where suspect requests run now, at any gateway."""

    __slots__ = ("_ended", "_open")

    def __init__(self) -> None:
        self._open: dict[int, tuple[IsolatedRun, float]] = {}
        self._ended: OrderedDict[int, None] = OrderedDict()

    def record(self, run: IsolatedRun) -> bool:
        """Take in that a run has begun or ended; return True if it was news."""
        if run.run_id in self._ended:
            return False
        if run.isolation_s:
            if run.run_id in self._open:
                return False
            until_s = time.monotonic() + min(run.isolation_s, ISOLATION_S)
            self._open[run.run_id] = (run, until_s)
            return True
        self._open.pop(run.run_id, None)
        self._ended[run.run_id] = None
        while len(self._ended) > MAX_REMEMBERED_ENDS:
            self._ended.popitem(last=False)
        return True

    def is_running(self, fingerprint: str) -> bool:
        """Return True while a request runs somewhere."""
        return any(run.fingerprint == fingerprint for run in self._runs())

    def workers(self) -> frozenset[str]:
        """Return all workers at which such requests run."""
        if not self._open:
            return frozenset()
        return frozenset(run.worker_id for run in self._runs())

    def _runs(self) -> list[IsolatedRun]:
        now_s = time.monotonic()
        for run_id in [r for r, (_, until_s) in self._open.items() if now_s >= until_s]:
            del self._open[run_id]
        return [run for run, _ in self._open.values()]
