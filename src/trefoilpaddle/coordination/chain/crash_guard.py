"""Keeps requests that crash their workers from being sent to more of them."""

import random
import time
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from functools import partial
from typing import Final

from ...protocol.reasons import Reason
from ...state.chain.crash_registry import Crash, CrashRegistry, CrashStatus
from ...state.chain.exit_rate import ExitRate
from ...state.chain.isolated_runs import IsolatedRun, IsolatedRuns
from ...state.chain.piece_work import PieceWork
from ...state.chain.requests import Refused
from ...state.chain.worker_runs import RunOutcome, UnansweredRun
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Decision, Event, Figure, Journal
from .crash_relay import CrashRelay
from .target_calls import TargetCalls
from .watched_runs import WatchedCall, WatchedRun
from .worker_exits import PENDING_S, Evidence, WorkerExits

APART_RETRY_S: Final = 1.0
"""When to come back with a request that runs apart; most runs are over by then."""

RUN_ID_BITS: Final = 62

NOTED: Final = {
    CrashStatus.SUSPECT: Event.REQUEST_SUSPECTED,
    CrashStatus.BLOCKED: Event.REQUEST_BLOCKED,
}
"""Events of requests whose standing has become worse."""


class CrashGuard:
    """Knows which requests workers have ended under, here and at other gateways.

    Parameters
    ----------
    workers : WorkerTable
        Where they run.
    calls : TargetCalls
        Speaks to workers.
    journal : Journal
        Takes decisions.
    book : CrashRegistry
        What is remembered.
    relay : CrashRelay
        Tells other gateways, and hears them.
    """

    __slots__ = (
        "_apart",
        "_book",
        "_ends",
        "_journal",
        "_n_open",
        "_rate",
        "_relay",
        "_workers",
    )

    def __init__(
        self,
        *,
        workers: WorkerTable,
        calls: TargetCalls,
        journal: Journal,
        book: CrashRegistry,
        relay: CrashRelay,
    ) -> None:
        self._workers = workers
        self._journal = journal
        self._book = book
        self._relay = relay
        self._apart = IsolatedRuns()
        self._n_open: Counter[str] = Counter()
        self._rate = ExitRate()
        self._ends = WorkerExits(
            workers=workers, calls=calls, journal=journal, on_ended=self._on_ended
        )
        relay.on_crash = self.receive_crash
        relay.on_clear = self.clear
        relay.on_run = self.receive_run

    def refusal(self, fingerprint: str) -> Refused | None:
        """Return why a request may not be sent to a worker now, or None."""
        match self._book.status(fingerprint):
            case CrashStatus.BLOCKED:
                return Refused(reason=Reason.CRASHES_WORKERS)
            case CrashStatus.SUSPECT if self._apart.is_running(fingerprint):
                return Refused(reason=Reason.RUNS_APART, retry_after_s=APART_RETRY_S)
            case _:
                return None

    def refusal_of_any(self, fingerprints: Iterable[str]) -> Refused | None:
        """Return why the first of several may not be sent now, or None."""
        if self.has_no_crashes:
            return None
        refusals = map(self.refusal, fingerprints)
        return next((each for each in refusals if each is not None), None)

    @property
    def has_no_crashes(self) -> bool:
        """True while no request is known to have crashed a worker."""
        return not len(self._book)

    def status(self, fingerprint: str) -> CrashStatus:
        """Return what may be done with a request now."""
        return self._book.status(fingerprint)

    def is_running(self, fingerprint: str) -> bool:
        """Return True while a request runs from here, or as a suspect from anywhere."""
        return fingerprint in self._n_open or self._apart.is_running(fingerprint)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return True if a request is to run apart from others."""
        return self._book.status(fingerprint) is CrashStatus.SUSPECT

    def isolating_workers(self) -> frozenset[str]:
        """Return the workers at which suspects run; others go elsewhere."""
        return self._apart.workers()

    @contextmanager
    def running(self, worker: Worker, fingerprint: str) -> Iterator[WatchedRun]:
        """Watch a run while the context is open; its user says how it ended.

        A run without a fingerprint is not watched.
        """
        run = WatchedRun()
        if not fingerprint:
            yield run
            return
        level = self._book.level(fingerprint)
        self._n_open[fingerprint] += 1
        apart: IsolatedRun | None = None
        if self.is_suspect(fingerprint):
            apart = IsolatedRun(
                run_id=random.getrandbits(RUN_ID_BITS),
                fingerprint=fingerprint,
                worker_id=worker.worker_id,
            )
            self._tell_apart(apart)
        try:
            yield run
        finally:
            self._end(worker, fingerprint, level, run.end)
            # Only once it is known whether the worker is gone is the next run judged
            # by this one.
            close = partial(self._close, fingerprint, apart)
            self._ends.call_after_check(worker, close)

    @contextmanager
    def running_call(
        self, worker: Worker, works: Sequence[PieceWork]
    ) -> Iterator[WatchedCall]:
        """Watch a call of pieces: a run of each request that it carries any of."""
        with ExitStack() as stack:
            yield WatchedCall(
                works=works,
                runs={
                    fingerprint: stack.enter_context(self.running(worker, fingerprint))
                    for fingerprint in {work.fingerprint for work in works}
                },
            )

    async def wait_for_exit_check(self, worker: Worker) -> None:
        """Wait until it is known whether a worker whose answer broke is gone."""
        await self._ends.wait_for_check(worker)

    def crashes_by_request(self) -> Iterator[tuple[str, tuple[Crash, ...]]]:
        """Yield each request that workers have ended under, with their ends."""
        for fingerprint in self._book.fingerprints():
            yield fingerprint, self._book.crashes(fingerprint)

    def unblock(self, fingerprint: str) -> bool:
        """Let a request run again at all gateways; False if nothing is known of it."""
        is_known = bool(self._book.crashes(fingerprint))
        if is_known:
            self.clear(fingerprint)
        return is_known

    def clear(self, fingerprint: str) -> None:
        """Count a request as one that crashes no workers."""
        is_known = bool(self._book.crashes(fingerprint))
        if self._book.clear(fingerprint):
            self._relay.announce_clear(fingerprint)
        if is_known:
            self._note(Event.REQUEST_CLEARED, fingerprint)

    def _close(self, fingerprint: str, apart: IsolatedRun | None) -> None:
        self._n_open[fingerprint] -= 1
        if not self._n_open[fingerprint]:
            del self._n_open[fingerprint]
        if apart is not None:
            self._tell_apart(replace(apart, isolation_s=0.0))

    def _end(
        self, worker: Worker, fingerprint: str, level: int, end: RunOutcome
    ) -> None:
        match end:
            case RunOutcome.NOT_RUN:
                return
            case RunOutcome.ANSWERED:
                if self._book.status(fingerprint) is not CrashStatus.CLEAR:
                    self.clear(fingerprint)
            case RunOutcome.REFUSED:
                self._ends.confirm(worker, Evidence.REFUSES)
            case RunOutcome.BROKEN | RunOutcome.SILENT | RunOutcome.LEFT:
                self._ends.record(
                    UnansweredRun(
                        worker=worker,
                        fingerprint=fingerprint,
                        level=level,
                        ended_s=time.monotonic(),
                        outcome=end,
                    )
                )

    def _on_ended(self, worker: Worker, runs: Sequence[UnansweredRun]) -> None:
        for run in runs:
            crash = Crash(
                worker_id=worker.worker_id,
                born_ms=worker.born_ms,
                level=run.level + 1,
                ended_s=run.ended_s,
            )
            self._take(run.fingerprint, crash)

    def receive_crash(self, fingerprint: str, crash: Crash) -> None:
        """Take in what a peer has seen, and what ran at that worker from here."""
        if self._book.is_cleared(fingerprint, crash):
            # Its peer was out of touch when the request was cleared.
            self._relay.announce_clear(fingerprint)
            return
        self._take(fingerprint, crash)
        worker = self._workers.get(crash.worker_id)
        is_recent = time.monotonic() - crash.ended_s < PENDING_S
        if worker is not None and worker.born_ms == crash.born_ms and is_recent:
            self._ends.confirm(worker, Evidence.REPORTED)

    def _take(self, fingerprint: str, crash: Crash) -> None:
        if not self._rate.record_exit(crash.worker_id, crash.ended_s):
            return
        before = self._book.status(fingerprint)
        if not self._book.record(fingerprint, crash):
            return
        self._relay.announce_crash(fingerprint)
        standing = self._book.status(fingerprint)
        if standing is not before and standing in NOTED:
            self._note(NOTED[standing], fingerprint)

    def receive_run(self, run: IsolatedRun) -> bool:
        """Take in where a peer runs a suspect; return True if it was news."""
        return self._apart.record(run)

    def _tell_apart(self, run: IsolatedRun) -> None:
        self._apart.record(run)
        self._relay.announce_run(run)

    def _note(self, event: Event, fingerprint: str) -> None:
        now_s = time.monotonic()
        crashes = self._book.crashes(fingerprint)
        ended = " ".join(
            f"{crash.worker_id} {now_s - crash.ended_s:.1f} s ago" for crash in crashes
        )
        self._journal.record(
            Decision(
                event=event,
                reason=Reason.CRASHES_WORKERS,
                detail=f"{fingerprint}: {ended}".removesuffix(": "),
                figures=(Figure(name="n_crashes", value=len(crashes)),),
            )
        )
