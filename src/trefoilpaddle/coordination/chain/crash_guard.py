"""Prevents requests that crash workers from being sent to further workers."""

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
from ...state.chain.worker_runs import EndedRun, RunOutcome
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Decision, Event, Figure, Journal
from .crash_relay import CrashRelay
from .target_calls import TargetCalls
from .watched_runs import WatchedCall, WatchedRun
from .worker_exits import PENDING_RUN_S, Evidence, WorkerExits

ISOLATED_RETRY_S: Final = 1.0
"""Retry-After in seconds while a suspect request runs; most runs are over by then."""

RUN_ID_BITS: Final = 62

EVENT_OF_STATUS: Final = {
    CrashStatus.SUSPECT: Event.REQUEST_SUSPECTED,
    CrashStatus.BLOCKED: Event.REQUEST_BLOCKED,
}
"""Events of requests whose crash status has become worse."""


class CrashGuard:
    """Tracks requests under which workers have crashed, here and at other gateways.

    Parameters
    ----------
    workers : WorkerTable
        The listed workers.
    calls : TargetCalls
        Client that calls workers.
    journal : Journal
        Receives decisions.
    book : CrashRegistry
        The crashes on record.
    relay : CrashRelay
        Exchanges crashes with other gateways.
    """

    __slots__ = (
        "_calls",
        "_exits",
        "_isolated_runs",
        "_journal",
        "_n_open",
        "_rate",
        "_registry",
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
        self._calls = calls
        self._journal = journal
        self._registry = book
        self._relay = relay
        self._isolated_runs = IsolatedRuns()
        self._n_open: Counter[str] = Counter()
        self._rate = ExitRate()
        self._exits = WorkerExits(
            workers=workers, calls=calls, journal=journal, on_ended=self._on_ended
        )
        relay.on_crash = self.receive_crash
        relay.on_clear = self.clear
        relay.on_run = self.receive_run

    def refusal(self, fingerprint: str) -> Refused | None:
        """Return why a request must not be sent to a worker now, or None."""
        match self._registry.status(fingerprint):
            case CrashStatus.BLOCKED if self._registry.is_verdict_due(fingerprint):
                return Refused(reason=Reason.CRASHES_WORKERS)
            case CrashStatus.BLOCKED:
                return Refused(reason=Reason.RUNS_APART, retry_after_s=ISOLATED_RETRY_S)
            case CrashStatus.SUSPECT if self._isolated_runs.is_running(fingerprint):
                return Refused(reason=Reason.RUNS_APART, retry_after_s=ISOLATED_RETRY_S)
            case _:
                return None

    def refusal_of_any(self, fingerprints: Iterable[str]) -> Refused | None:
        """Return the first refusal of several fingerprints, or None."""
        if self.has_no_crashes:
            return None
        refusals = map(self.refusal, fingerprints)
        return next((each for each in refusals if each is not None), None)

    @property
    def has_no_crashes(self) -> bool:
        """True if no request is on record as having crashed a worker."""
        return not len(self._registry)

    def status(self, fingerprint: str) -> CrashStatus:
        """Return the crash status of a request."""
        return self._registry.status(fingerprint)

    def is_running(self, fingerprint: str) -> bool:
        """Return True if a request runs from here, or as a suspect from any gateway."""
        return fingerprint in self._n_open or self._isolated_runs.is_running(
            fingerprint
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Return True if a request must run isolated from other requests."""
        return self._registry.status(fingerprint) is CrashStatus.SUSPECT

    async def may_run_at(self, worker: Worker, fingerprints: Iterable[str]) -> bool:
        """Return False if a worker may have exited before these requests reach it.

        Their runs would be taken for the cause of that exit. Only requests during which
        a worker has crashed already are worth the check.
        """
        if not any(map(self._registry.level, fingerprints)):
            return True
        return await self._calls.is_listening(worker) is True

    def isolating_workers(self) -> frozenset[str]:
        """Return the workers at which suspects run, which others should not use."""
        return self._isolated_runs.workers()

    @contextmanager
    def running(
        self, worker: Worker, fingerprint: str, parts: tuple[str, ...] = ()
    ) -> Iterator[WatchedRun]:
        """Watch a run while the context is open; the caller sets how it ended.

        A run without a fingerprint is not watched. `parts` are the fingerprints of the
        shared parts of its prompt.
        """
        run = WatchedRun()
        if not fingerprint:
            yield run
            return
        level = self._registry.level(fingerprint)
        began_s = time.monotonic()
        self._n_open[fingerprint] += 1
        isolated: IsolatedRun | None = None
        if self.is_suspect(fingerprint):
            isolated = IsolatedRun(
                run_id=random.getrandbits(RUN_ID_BITS),
                fingerprint=fingerprint,
                worker_id=worker.worker_id,
            )
            self._announce_run(isolated)
        try:
            yield run
        finally:
            ended = EndedRun(
                worker=worker,
                fingerprint=fingerprint,
                level=level,
                began_s=began_s,
                ended_s=time.monotonic(),
                outcome=run.end,
                parts=parts,
            )
            self._record_end(ended)
            # The run counts as open until it is known whether the worker has exited,
            # so that the next run is judged by the outcome of this one.
            close = partial(self._close, fingerprint, isolated)
            self._exits.call_after_check(worker, close)

    @contextmanager
    def running_call(
        self, worker: Worker, works: Sequence[PieceWork]
    ) -> Iterator[WatchedCall]:
        """Watch a call of pieces as one run of each request that it has pieces of."""
        with ExitStack() as stack:
            yield WatchedCall(
                works=works,
                runs={
                    fingerprint: stack.enter_context(self.running(worker, fingerprint))
                    for fingerprint in {work.fingerprint for work in works}
                },
            )

    async def wait_for_exit_check(self, worker: Worker) -> None:
        """Wait for the exit check of a worker whose response was interrupted."""
        await self._exits.wait_for_check(worker)

    def crashes_by_request(self) -> Iterator[tuple[str, tuple[Crash, ...]]]:
        """Yield the fingerprint of each recorded request with its crashes."""
        for fingerprint in self._registry.fingerprints():
            yield fingerprint, self._registry.crashes(fingerprint)

    def unblock(self, fingerprint: str) -> bool:
        """Clear a request at all gateways; return False if it is not on record."""
        is_known = bool(self._registry.crashes(fingerprint))
        if is_known:
            self.clear(fingerprint)
        return is_known

    def clear(self, fingerprint: str) -> None:
        """Record that a request does not crash workers, and announce it."""
        is_known = bool(self._registry.crashes(fingerprint))
        unsure = self._registry.unsure() if is_known else []
        if self._registry.clear(fingerprint):
            self._relay.announce_clear(fingerprint)
        if is_known:
            self._record(Event.REQUEST_CLEARED, fingerprint)
        for other in unsure:
            if self._registry.status(other) is CrashStatus.BLOCKED:
                self._record(Event.REQUEST_BLOCKED, other)

    def _close(self, fingerprint: str, isolated: IsolatedRun | None) -> None:
        self._n_open[fingerprint] -= 1
        if not self._n_open[fingerprint]:
            del self._n_open[fingerprint]
        if isolated is not None:
            self._announce_run(replace(isolated, isolation_s=0.0))

    def _record_end(self, run: EndedRun) -> None:
        match run.outcome:
            case RunOutcome.NOT_RUN:
                return
            case RunOutcome.ANSWERED:
                self._exits.record_response(run.worker)
                if self._registry.status(run.fingerprint) is not CrashStatus.CLEAR:
                    self.clear(run.fingerprint)
            case RunOutcome.REFUSED:
                self._exits.confirm(run.worker, Evidence.REFUSES)
            case RunOutcome.BROKEN | RunOutcome.SILENT | RunOutcome.LEFT:
                self._exits.record(run)

    def _on_ended(self, worker: Worker, runs: Sequence[EndedRun]) -> None:
        for run in runs:
            crash = Crash(
                worker_id=worker.worker_id,
                born_ms=worker.born_ms,
                level=run.level + 1,
                ended_s=run.ended_s,
            )
            self._record_crash(run.fingerprint, crash)

    def receive_crash(self, fingerprint: str, crash: Crash) -> None:
        """Record a crash that a peer reports, also for runs of this gateway there."""
        if self._registry.is_cleared(fingerprint, crash):
            # The peer was disconnected when the request was cleared.
            self._relay.announce_clear(fingerprint)
            return
        self._record_crash(fingerprint, crash)
        worker = self._workers.get(crash.worker_id)
        is_recent = time.monotonic() - crash.ended_s < PENDING_RUN_S
        if worker is not None and worker.born_ms == crash.born_ms and is_recent:
            self._exits.confirm(worker, Evidence.REPORTED)

    def _record_crash(self, fingerprint: str, crash: Crash) -> None:
        if not self._rate.record_exit(crash.worker_id, crash.ended_s):
            return
        previous = self._registry.status(fingerprint)
        if not self._registry.record(fingerprint, crash):
            return
        self._relay.announce_crash(fingerprint)
        status = self._registry.status(fingerprint)
        if status is not previous and status in EVENT_OF_STATUS:
            self._record(EVENT_OF_STATUS[status], fingerprint)

    def receive_run(self, run: IsolatedRun) -> bool:
        """Record where a peer runs a suspect; return True if that was not known."""
        return self._isolated_runs.record(run)

    def _announce_run(self, run: IsolatedRun) -> None:
        self._isolated_runs.record(run)
        self._relay.announce_run(run)

    def _record(self, event: Event, fingerprint: str) -> None:
        now_s = time.monotonic()
        crashes = self._registry.crashes(fingerprint)
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
