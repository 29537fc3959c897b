"""Detects which workers have exited while requests ran there.

A connection also breaks when it is reset or its data are corrupted, and a worker is
unresponsive when the network is partitioned. Only a process that has exited may have
been crashed by the requests that ran there.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from enum import Enum, unique
from typing import Final

from absl import logging

from ...protocol.reasons import Reason
from ...state.chain.worker_runs import EndedRun, RunOutcome
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Decision, Event, Figure, Journal
from .target_calls import TargetCalls

PENDING_RUN_S: Final = 8.0
"""Seconds for which a run without an answer is kept for evidence of an exit.

A worker's entry expires after three missed heartbeats.
"""

EXIT_VALIDITY_S: Final = 1.0
"""Seconds for which a known exit explains further runs; a restart takes longer."""

MIN_CHECK_INTERVAL_S: Final = 0.2
"""Minimum seconds between two checks of a worker whose responses break."""

MAX_NAMED: Final = 8
"""Maximum number of requests, and of parts of prompts, that one log line names."""

MAX_PENDING_RUNS: Final = 4096
"""Maximum number of runs kept for evidence; the oldest are dropped first."""


@unique
class Evidence(Enum):
    """Evidence that a worker's process has exited."""

    REFUSES = "its address refuses connections"
    RESTARTED = "a new start of it is listed"
    REPLACED = "another worker has its address"
    EXPIRED = "its entry has run out"
    REPORTED = "a peer says so"


# Entries also expire if a worker is disconnected, or leaves without announcing it.
EVIDENCE_BY_RUN_END: Final = {
    RunOutcome.BROKEN: frozenset(Evidence),
    RunOutcome.LEFT: frozenset(Evidence) - {Evidence.EXPIRED},
    RunOutcome.SILENT: frozenset(Evidence) - {Evidence.EXPIRED},
}
"""Evidence that attributes an exit to a run without an answer, by the run's end."""

Start = tuple[str, int]
"""Id and start time of a worker process; a restarted worker keeps its id."""

ExitListener = Callable[[Worker, Sequence[EndedRun]], None]


class WorkerExits:
    """Matches runs without an answer with evidence that their workers exited.

    Parameters
    ----------
    workers : WorkerTable
        Notifies of restarted workers and of expired entries.
    calls : TargetCalls
        Checks whether a process listens at a worker's address.
    journal : Journal
        Receives one decision for each exit.
    on_ended : callable
        Called with a worker and the runs during which it exited.
    """

    __slots__ = (
        "_calls",
        "_checked_s",
        "_checks",
        "_exits",
        "_first_break_s",
        "_journal",
        "_on_ended",
        "_pending",
        "_workers",
    )

    def __init__(
        self,
        *,
        workers: WorkerTable,
        calls: TargetCalls,
        journal: Journal,
        on_ended: ExitListener,
    ) -> None:
        self._workers = workers
        self._calls = calls
        self._journal = journal
        self._on_ended = on_ended
        self._pending: deque[EndedRun] = deque(maxlen=MAX_PENDING_RUNS)
        self._exits: dict[Start, tuple[float, Evidence]] = {}
        self._checks: dict[Start, asyncio.Task[None]] = {}
        self._checked_s: dict[Start, float] = {}
        self._first_break_s: dict[Start, float] = {}
        workers.restart_listeners.append(self._on_restart)
        workers.leave_listeners.append(self._on_leave)
        workers.new_listeners.append(self._on_new)

    def record(self, run: EndedRun) -> None:
        """Record a run without an answer; check whether its worker has exited."""
        self._forget_old(run.ended_s)
        worker = run.worker
        listed = self._workers.get(worker.worker_id)
        if listed is None or self._workers.is_leaving(listed):
            # A worker that leaves exits by itself, in some cases without announcing it.
            return
        is_replaced = self._workers.is_replaced(worker)
        if not (is_replaced or worker.is_same_start(listed)):
            # An earlier start is listed here, as the entry of this one is under way.
            return
        if self._began_after_break(run):
            return
        self._pending.append(run)
        if is_replaced:
            self.confirm(worker, Evidence.RESTARTED)
            return
        known = self._exits.get(_start(worker))
        if known is not None:
            self.confirm(worker, known[1])
        elif run.outcome is RunOutcome.BROKEN and self._workers.may_receive(listed):
            self._check(worker)

    def record_response(self, worker: Worker) -> None:
        """Record that a worker has responded: it had not exited before."""
        self._first_break_s.pop(_start(worker), None)

    def _began_after_break(self, run: EndedRun) -> bool:
        """Return True if a run began after a break since which its worker is silent.

        The worker may have exited then, so that the run is not the cause. What stands
        before an exited worker may still accept connections.
        """
        first_s = self._first_break_s.get(_start(run.worker))
        if first_s is not None and run.began_s >= first_s:
            return True
        if run.outcome is RunOutcome.BROKEN:
            earliest_s = run.ended_s if first_s is None else min(first_s, run.ended_s)
            self._first_break_s[_start(run.worker)] = earliest_s
        return False

    def confirm(self, worker: Worker, evidence: Evidence) -> None:
        """Attribute runs to the exit of a worker for which there is evidence."""
        now_s = time.monotonic()
        self._forget_old(now_s)
        known = self._exits.get(_start(worker))
        if known is None or evidence is Evidence.REFUSES:
            self._exits[_start(worker)] = (now_s, evidence)
        found = [
            run
            for run in self._pending
            if _start(run.worker) == _start(worker)
            and evidence in EVIDENCE_BY_RUN_END[run.outcome]
        ]
        if not found:
            return
        taken = set(map(id, found))
        self._pending = deque(
            (run for run in self._pending if id(run) not in taken),
            maxlen=MAX_PENDING_RUNS,
        )
        self._record_exit(worker, evidence, found)
        self._on_ended(worker, found)

    async def wait_for_check(self, worker: Worker) -> None:
        """Wait until the check of a worker whose response broke is complete."""
        check = self._checks.get(_start(worker))
        if check is not None:
            await asyncio.wait({check})

    def call_after_check(self, worker: Worker, callback: Callable[[], None]) -> None:
        """Call back once the check of a worker is complete; at once without a check."""
        check = self._checks.get(_start(worker))
        if check is None:
            callback()
        else:
            check.add_done_callback(lambda _: callback())

    def _check(self, worker: Worker) -> None:
        now_s = time.monotonic()
        start = _start(worker)
        is_recent = now_s - self._checked_s.get(start, 0.0) < MIN_CHECK_INTERVAL_S
        if start in self._checks or is_recent:
            return
        self._checked_s[start] = now_s
        self._checks[start] = asyncio.create_task(self._run_check(worker))

    async def _run_check(self, worker: Worker) -> None:
        try:
            match await self._calls.is_listening(worker):
                case False:
                    self.confirm(worker, Evidence.REFUSES)
                case True:
                    self._record_alive(worker)
        except Exception:
            # No caller awaits this task, so its exception would be lost.
            logging.exception(
                "checking whether worker %s has exited failed", worker.worker_id
            )
        finally:
            del self._checks[_start(worker)]

    def _record_alive(self, worker: Worker) -> None:
        """Change the outcome of broken runs to SILENT, as the worker still listens."""
        self._pending = deque(
            (
                replace(run, outcome=RunOutcome.SILENT)
                if _start(run.worker) == _start(worker)
                and run.outcome is RunOutcome.BROKEN
                else run
                for run in self._pending
            ),
            maxlen=MAX_PENDING_RUNS,
        )

    def _on_restart(self, worker: Worker) -> None:
        self.confirm(worker, Evidence.RESTARTED)

    def _on_new(self, worker: Worker) -> None:
        """Treat a new worker at the address of another as evidence of its exit."""
        exited = {
            _start(run.worker): run.worker
            for run in self._pending
            if run.worker.address == worker.address
            and run.worker.worker_id != worker.worker_id
        }
        for previous in exited.values():
            self.confirm(previous, Evidence.REPLACED)

    def _on_leave(self, worker: Worker) -> None:
        if worker.is_leaving:
            kept = (
                run for run in self._pending if _start(run.worker) != _start(worker)
            )
            self._pending = deque(kept, maxlen=MAX_PENDING_RUNS)
        elif self._workers.get(worker.worker_id) is None:
            self.confirm(worker, Evidence.EXPIRED)

    def _forget_old(self, now_s: float) -> None:
        while self._pending and now_s - self._pending[0].ended_s > PENDING_RUN_S:
            self._pending.popleft()
        self._first_break_s = {
            start: first_s
            for start, first_s in self._first_break_s.items()
            if now_s - first_s < PENDING_RUN_S
        }
        self._checked_s = {
            start: checked_s
            for start, checked_s in self._checked_s.items()
            if now_s - checked_s < MIN_CHECK_INTERVAL_S
        }
        self._exits = {
            start: known
            for start, known in self._exits.items()
            if now_s - known[0] < EXIT_VALIDITY_S
        }

    def _record_exit(
        self, worker: Worker, evidence: Evidence, runs: Sequence[EndedRun]
    ) -> None:
        requests = sorted({run.fingerprint for run in runs})
        parts = sorted({part for run in runs for part in run.parts()})
        named = f"requests {' '.join(requests[:MAX_NAMED])}"
        if parts:
            named += f"; parts {' '.join(parts[:MAX_NAMED])}"
        self._journal.record(
            Decision(
                event=Event.TARGET_ENDED,
                stage=worker.service,
                peer=worker.worker_id,
                reason=Reason.CONNECTION_LOST,
                detail=f"{evidence.value}; {named}",
                figures=(Figure(name="n_running", value=len(requests)),),
            )
        )


def _start(worker: Worker) -> Start:
    """Return a key that identifies one worker process."""
    return worker.worker_id, worker.born_ms
