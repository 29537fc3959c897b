"""Watches runs of requests at workers, for those that end their workers."""

import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from ...state.chain.worker_runs import OpenEndedRun, RunEnd
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Journal
from .target_calls import TargetCalls
from .worker_ends import Evidence, WorkerEnds


class WatchedRun:
    """A run of one request at one worker.

    Attributes
    ----------
    end : RunEnd
        How it ended; `RunEnd.LEFT` until that is known.
    """

    __slots__ = ("end",)

    def __init__(self) -> None:
        self.end = RunEnd.LEFT


class CrashGuard:
    """Watches runs, and tells which workers have ended under them.

    Parameters
    ----------
    workers : WorkerTable
        Where they run.
    calls : TargetCalls
        Speaks to workers.
    journal : Journal
        Takes decisions.
    """

    __slots__ = ("_ends",)

    def __init__(
        self, *, workers: WorkerTable, calls: TargetCalls, journal: Journal
    ) -> None:
        self._ends = WorkerEnds(
            workers=workers, calls=calls, journal=journal, on_ended=_ignore
        )

    @contextmanager
    def running(self, worker: Worker, fingerprint: str) -> Iterator[WatchedRun]:
        """Watch a run while the context is open; its user says how it ended."""
        run = WatchedRun()
        began_s = time.monotonic()
        try:
            yield run
        finally:
            self._end(worker, fingerprint, began_s, run.end)

    def _end(
        self, worker: Worker, fingerprint: str, began_s: float, end: RunEnd
    ) -> None:
        match end:
            case RunEnd.ANSWERED | RunEnd.NOT_RUN:
                return
            case RunEnd.REFUSED:
                self._ends.confirm(worker, Evidence.REFUSES)
            case RunEnd.BROKEN | RunEnd.SILENT | RunEnd.LEFT:
                self._ends.note(
                    OpenEndedRun(
                        worker=worker,
                        fingerprint=fingerprint,
                        began_s=began_s,
                        ended_s=time.monotonic(),
                        end=end,
                    )
                )


def _ignore(worker: Worker, runs: Sequence[OpenEndedRun]) -> None:
    pass
