"""Runs of requests that may crash their workers, kept apart from one another."""

import time
from typing import Final

APART_S: Final = 3.0
"""How long such a run is kept apart; one that crashes its worker does so before."""


class ApartRuns:
    """Where suspect requests run now, at any gateway."""

    __slots__ = ("_runs",)

    def __init__(self) -> None:
        self._runs: dict[str, tuple[str, float]] = {}

    def begin(
        self, fingerprint: str, worker_id: str, *, for_s: float = APART_S
    ) -> bool:
        """Count a run as open; return True if that was news."""
        is_news = self.worker_of(fingerprint) != worker_id
        self._runs[fingerprint] = (worker_id, time.monotonic() + min(for_s, APART_S))
        return is_news

    def end(self, fingerprint: str, worker_id: str) -> bool:
        """Count a run as over; return True if that was news."""
        if self._runs.get(fingerprint, ("",))[0] != worker_id:
            return False
        del self._runs[fingerprint]
        return True

    def worker_of(self, fingerprint: str) -> str:
        """Return the worker at which a request runs; empty if it runs nowhere."""
        worker_id, until_s = self._runs.get(fingerprint, ("", 0.0))
        if worker_id and time.monotonic() >= until_s:
            del self._runs[fingerprint]
            return ""
        return worker_id

    def workers(self) -> frozenset[str]:
        """Return all workers at which such requests run."""
        if not self._runs:
            return frozenset()
        return frozenset(filter(None, map(self.worker_of, list(self._runs))))
