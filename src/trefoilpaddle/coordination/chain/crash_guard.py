"""Prevents requests that crash workers from being sent to further workers.

What may be to blame is called a subject: a request, its pieces at a service, or a part
of its prompt.
"""

import random
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from functools import partial
from typing import Final

from ...protocol.reasons import Reason
from ...state.chain.crash_registry import (
    BLOCK_AFTER,
    Crash,
    CrashRegistry,
    CrashStatus,
)
from ...state.chain.exit_rate import ExitRate
from ...state.chain.fingerprint import is_part
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

MAX_NAMED: Final = 8
"""Maximum number of crashes, and of other causes, that one log line names."""

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

    Attributes
    ----------
    on_blocked : callable
        Called when a request or a part of a prompt is blocked.
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
        "on_blocked",
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
        self.on_blocked: Callable[[], None] = _do_nothing
        relay.on_crash = self.receive_crash
        relay.on_clear = self.clear
        relay.on_run = self.receive_run

    def refusal(self, fingerprint: str, parts: tuple[str, ...] = ()) -> Refused | None:
        """Return why a request must not be sent to a worker now, or None.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        parts : tuple of str
            Fingerprints of the shared parts of its prompt.
        """
        if self.has_no_crashes:
            return None
        within = frozenset((fingerprint, *parts))
        refusals = (
            self._refusal_of(subject, within) for subject in (*parts, fingerprint)
        )
        return next((each for each in refusals if each is not None), None)

    def is_blocked(self, fingerprint: str, parts: tuple[str, ...] = ()) -> bool:
        """Return True if a request is refused for crashes, whenever it is sent."""
        refusal = self.refusal(fingerprint, parts)
        return refusal is not None and refusal.reason is Reason.CRASHES_WORKERS

    def _refusal_of(self, subject: str, within: frozenset[str]) -> Refused | None:
        match self._registry.status(subject, within=within):
            case CrashStatus.BLOCKED:
                if self._registry.is_verdict_due(subject, within=within):
                    return Refused(reason=Reason.CRASHES_WORKERS, detail=subject)
                return _runs_apart(subject)
            case CrashStatus.SUSPECT if self._isolated_runs.is_running(subject):
                return _runs_apart(subject)
            case _:
                return None

    def refusal_of_any(
        self, fingerprints: Iterable[str], parts: tuple[str, ...] = ()
    ) -> Refused | None:
        """Return the first refusal of a request's fingerprints, or None."""
        if self.has_no_crashes:
            return None
        refusals = (self.refusal(each, parts) for each in fingerprints)
        return next((each for each in refusals if each is not None), None)

    @property
    def has_no_crashes(self) -> bool:
        """True if nothing is on record as having crashed a worker."""
        return not len(self._registry)

    def status(self, fingerprint: str) -> CrashStatus:
        """Return the crash status of a request."""
        return self._registry.status(fingerprint)

    def is_running(self, fingerprint: str) -> bool:
        """Return True if a request runs from here, or as a suspect from any gateway."""
        return fingerprint in self._n_open or self._isolated_runs.is_running(
            fingerprint
        )

    def is_suspect(self, fingerprint: str, parts: tuple[str, ...] = ()) -> bool:
        """Return True if a request must run isolated from other requests."""
        return bool(self._suspects(fingerprint, parts))

    def _suspects(self, fingerprint: str, parts: tuple[str, ...]) -> list[str]:
        """Return which of a request and its parts must run isolated."""
        if self.has_no_crashes:
            return []
        within = frozenset((fingerprint, *parts))
        return [
            subject
            for subject in within
            if self._registry.status(subject, within=within) is CrashStatus.SUSPECT
        ]

    async def may_run_at(
        self, worker: Worker, fingerprints: Iterable[str], parts: tuple[str, ...] = ()
    ) -> bool:
        """Return False if a worker may have exited before these requests reach it.

        Their runs would be taken for the cause of that exit. Only requests during which
        a worker has crashed already are worth the check, and only parts of prompts that
        one more crash would block.
        """
        needs_check = any(map(self._registry.level, fingerprints)) or any(
            self._registry.n_successive(part) == BLOCK_AFTER - 1 for part in parts
        )
        if not needs_check:
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
        levels = {
            subject: self._registry.level(subject) for subject in (fingerprint, *parts)
        }
        began_s = time.monotonic()
        self._n_open[fingerprint] += 1
        isolated = [
            IsolatedRun(
                run_id=random.getrandbits(RUN_ID_BITS),
                fingerprint=subject,
                worker_id=worker.worker_id,
            )
            for subject in self._suspects(fingerprint, parts)
        ]
        for each in isolated:
            self._announce_run(each)
        try:
            yield run
        finally:
            ended = EndedRun(
                worker=worker,
                fingerprint=fingerprint,
                levels=levels,
                began_s=began_s,
                ended_s=time.monotonic(),
                outcome=run.end,
            )
            self._record_end(ended)
            # The run counts as open until it is known whether the worker has exited,
            # so that the next run is judged by the outcome of this one.
            if run.end is RunOutcome.SILENT:
                # Whether the worker has exited is known from its next start; until then
                # the next run is held back, for `ISOLATION_S` at most.
                isolated = []
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

    def crashes_by_subject(self) -> Iterator[tuple[str, tuple[Crash, ...]]]:
        """Yield the fingerprint of each recorded subject with its crashes."""
        for fingerprint in self._registry.fingerprints():
            yield fingerprint, self._registry.crashes(fingerprint)

    def other_causes(self, fingerprint: str) -> list[str]:
        """Return other subjects that ran at all workers that crashed under one."""
        return self._registry.other_causes(fingerprint)

    def unblock(self, fingerprint: str) -> bool:
        """Clear a subject at all gateways; return False if it is not on record.

        What it has excused is cleared as well, as that would be blocked in its place.
        """
        is_known = bool(self._registry.crashes(fingerprint))
        if is_known:
            for each in (*self._registry.excused_by(fingerprint), fingerprint):
                self.clear(each)
        return is_known

    def clear(self, fingerprint: str) -> None:
        """Record that a subject does not crash workers, and announce it."""
        n_successive = self._registry.n_successive(fingerprint)
        unsure = self._registry.unsure() if n_successive else []
        if self._registry.clear(fingerprint):
            self._relay.announce_clear(fingerprint)
        if is_part(fingerprint):
            # Popular parts have crashes on record, and are cleared, all the time.
            if n_successive >= BLOCK_AFTER:
                self._record(Event.PART_CLEARED, fingerprint)
        elif n_successive:
            self._record(Event.REQUEST_CLEARED, fingerprint)
        for other in unsure:
            if self._registry.status(other) is CrashStatus.BLOCKED:
                self._record(Event.REQUEST_BLOCKED, other)

    def _close(self, fingerprint: str, isolated: Sequence[IsolatedRun]) -> None:
        self._n_open[fingerprint] -= 1
        if not self._n_open[fingerprint]:
            del self._n_open[fingerprint]
        for each in isolated:
            self._announce_run(replace(each, isolation_s=0.0))

    def _record_end(self, run: EndedRun) -> None:
        match run.outcome:
            case RunOutcome.NOT_RUN:
                return
            case RunOutcome.ANSWERED:
                self._exits.record_response(run.worker)
                for subject in run.levels:
                    if self._registry.status(subject) is not CrashStatus.CLEAR:
                        self.clear(subject)
                    elif is_part(subject):
                        self._registry.record_answer(subject)
            case RunOutcome.FAILED:
                self._exits.record_response(run.worker)
            case RunOutcome.REFUSED:
                self._exits.confirm(run.worker, Evidence.REFUSES)
            case RunOutcome.BROKEN | RunOutcome.SILENT | RunOutcome.LEFT:
                self._exits.record(run)

    def _on_ended(self, worker: Worker, runs: Sequence[EndedRun]) -> None:
        for run in runs:
            for subject, level in run.levels.items():
                crash = Crash(
                    worker_id=worker.worker_id,
                    born_ms=worker.born_ms,
                    level=level + 1,
                    ended_s=run.ended_s,
                )
                self._record_crash(subject, crash)

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
        n_before = self._registry.n_successive(fingerprint)
        if not self._registry.record(fingerprint, crash):
            return
        self._relay.announce_crash(fingerprint)
        if is_part(fingerprint):
            n_successive = self._registry.n_successive(fingerprint)
            if n_successive > n_before and n_successive >= BLOCK_AFTER:
                self._record(Event.PART_BLOCKED, fingerprint)
                self.on_blocked()
            return
        status = self._registry.status(fingerprint)
        if status is not previous and status in EVENT_OF_STATUS:
            self._record(EVENT_OF_STATUS[status], fingerprint)
            if status is CrashStatus.BLOCKED:
                self.on_blocked()

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
            f"{crash.worker_id} {now_s - crash.ended_s:.1f} s ago"
            for crash in crashes[:MAX_NAMED]
        )
        if event is Event.PART_BLOCKED:
            # Reports on other subjects at the last worker may still be on their way.
            others = self._registry.other_causes(fingerprint, with_last=False)
            if others:
                ended += f"; also each time before: {' '.join(others[:MAX_NAMED])}"
        self._journal.record(
            Decision(
                event=event,
                reason=Reason.CRASHES_WORKERS,
                detail=f"{fingerprint}: {ended}".removesuffix(": "),
                figures=(Figure(name="n_crashes", value=len(crashes)),),
            )
        )


def _do_nothing() -> None:
    pass


def _runs_apart(subject: str) -> Refused:
    return Refused(
        reason=Reason.RUNS_APART, retry_after_s=ISOLATED_RETRY_S, detail=subject
    )
