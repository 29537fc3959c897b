"""Finds out which workers have ended while requests ran there.

A connection also breaks when it is reset or garbled, and a worker is silent when the
way to it is cut. Only a process that is gone may have been ended by what ran there.
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
from ...state.chain.worker_runs import RunOutcome, UnansweredRun
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Decision, Event, Figure, Journal
from .target_calls import TargetCalls

PENDING_S: Final = 8.0
"""How long a run without an answer waits for word of its worker's end.

An entry lapses after three heartbeats of silence.
"""

ENDED_S: Final = 1.0
"""How long a known end explains further broken runs; a new start takes longer."""

LOOK_GAP_S: Final = 0.2
"""Least time between two looks at one worker whose answers break."""

N_NAMED: Final = 8
"""Requests that one log line names."""

MAX_PENDING: Final = 4096
"""Runs that wait for word of their workers, the oldest forgotten first."""


@unique
class Evidence(Enum):
    """What says that a worker's process has ended."""

    REFUSES = "its address refuses connections"
    RESTARTED = "a new start of it is listed"
    REPLACED = "another worker has its address"
    EXPIRED = "its entry has run out"
    REPORTED = "a peer says so"


# Entries also run out of workers that are cut off, or leave without a word before.
EXPLAINS: Final = {
    RunOutcome.BROKEN: frozenset(Evidence),
    RunOutcome.LEFT: frozenset(Evidence) - {Evidence.EXPIRED},
    RunOutcome.SILENT: frozenset(Evidence) - {Evidence.EXPIRED},
}
"""Which evidence turns a run without an answer into one that its worker ended under."""

Start = tuple[str, int]
"""Id of a worker, and when it began; the same id may begin again."""

EndListener = Callable[[Worker, Sequence[UnansweredRun]], None]


class WorkerExits:
    """Matches runs without an answer with evidence that their workers ended.

    Parameters
    ----------
    workers : WorkerTable
        Tells of new starts and of entries that run out.
    calls : TargetCalls
        Looks whether anything listens at a worker's address.
    journal : Journal
        Takes one decision for each end.
    on_ended : callable
        Called with a worker and the runs that it ended under.
    """

    __slots__ = (
        "_calls",
        "_ended_s",
        "_journal",
        "_looked_s",
        "_looks",
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
        on_ended: EndListener,
    ) -> None:
        self._workers = workers
        self._calls = calls
        self._journal = journal
        self._on_ended = on_ended
        self._pending: deque[UnansweredRun] = deque(maxlen=MAX_PENDING)
        self._ended_s: dict[Start, tuple[float, Evidence]] = {}
        self._looks: dict[Start, asyncio.Task[None]] = {}
        self._looked_s: dict[Start, float] = {}
        workers.restart_listeners.append(self._on_restart)
        workers.leave_listeners.append(self._on_leave)
        workers.new_listeners.append(self._on_new)

    def record(self, run: UnansweredRun) -> None:
        """Take a run without an answer; begin to look whether its worker is gone."""
        self._forget_old(run.ended_s)
        worker = run.worker
        listed = self._workers.get(worker.worker_id)
        if listed is None or listed.is_leaving or listed.born_ms < worker.born_ms:
            # A worker that leaves ends by itself, some without a word before.
            return
        self._pending.append(run)
        if listed.born_ms > worker.born_ms:
            self.confirm(worker, Evidence.RESTARTED)
            return
        known = self._ended_s.get(_start(worker))
        if known is not None:
            self.confirm(worker, known[1])
        elif run.outcome is RunOutcome.BROKEN:
            self._look(worker)

    def confirm(self, worker: Worker, evidence: Evidence) -> None:
        """Take evidence that a worker's process has ended."""
        now_s = time.monotonic()
        self._forget_old(now_s)
        known = self._ended_s.get(_start(worker))
        if known is None or evidence is Evidence.REFUSES:
            self._ended_s[_start(worker)] = (now_s, evidence)
        found = [
            run
            for run in self._pending
            if _start(run.worker) == _start(worker)
            and evidence in EXPLAINS[run.outcome]
        ]
        if not found:
            return
        taken = set(map(id, found))
        self._pending = deque(
            (run for run in self._pending if id(run) not in taken), maxlen=MAX_PENDING
        )
        self._note(worker, evidence, found)
        self._on_ended(worker, found)

    async def wait_for_check(self, worker: Worker) -> None:
        """Wait until the look at a worker whose answer broke is over."""
        look = self._looks.get(_start(worker))
        if look is not None:
            await asyncio.wait({look})

    def call_after_check(self, worker: Worker, callback: Callable[[], None]) -> None:
        """Call back once the look at a worker is over; at once if there is none."""
        look = self._looks.get(_start(worker))
        if look is None:
            callback()
        else:
            look.add_done_callback(lambda _: callback())

    def _look(self, worker: Worker) -> None:
        now_s = time.monotonic()
        start = _start(worker)
        is_recent = now_s - self._looked_s.get(start, 0.0) < LOOK_GAP_S
        if start in self._looks or is_recent:
            return
        self._looked_s[start] = now_s
        self._looks[start] = asyncio.create_task(self._send_look(worker))

    async def _send_look(self, worker: Worker) -> None:
        try:
            match await self._calls.is_listening(worker):
                case False:
                    self.confirm(worker, Evidence.REFUSES)
                case True:
                    self._note_alive(worker)
        except Exception:
            # Nobody waits for this task's exception.
            logging.exception("a look whether %s is gone", worker.worker_id)
        finally:
            del self._looks[_start(worker)]

    def _note_alive(self, worker: Worker) -> None:
        """Take a worker that listens for one that has outlived its broken answers."""
        self._pending = deque(
            (
                replace(run, outcome=RunOutcome.SILENT)
                if _start(run.worker) == _start(worker)
                and run.outcome is RunOutcome.BROKEN
                else run
                for run in self._pending
            ),
            maxlen=MAX_PENDING,
        )

    def _on_restart(self, worker: Worker) -> None:
        self.confirm(worker, Evidence.RESTARTED)

    def _on_new(self, worker: Worker) -> None:
        """Take a worker at the address of another for the end of that one."""
        ended = {
            _start(run.worker): run.worker
            for run in self._pending
            if run.worker.address == worker.address
            and run.worker.worker_id != worker.worker_id
        }
        for before in ended.values():
            self.confirm(before, Evidence.REPLACED)

    def _on_leave(self, worker: Worker) -> None:
        if worker.is_leaving:
            kept = (
                run for run in self._pending if _start(run.worker) != _start(worker)
            )
            self._pending = deque(kept, maxlen=MAX_PENDING)
        elif self._workers.get(worker.worker_id) is None:
            self.confirm(worker, Evidence.EXPIRED)

    def _forget_old(self, now_s: float) -> None:
        while self._pending and now_s - self._pending[0].ended_s > PENDING_S:
            self._pending.popleft()
        self._looked_s = {
            start: looked_s
            for start, looked_s in self._looked_s.items()
            if now_s - looked_s < LOOK_GAP_S
        }
        self._ended_s = {
            start: known
            for start, known in self._ended_s.items()
            if now_s - known[0] < ENDED_S
        }

    def _note(
        self, worker: Worker, evidence: Evidence, runs: Sequence[UnansweredRun]
    ) -> None:
        requests = sorted({run.fingerprint for run in runs})
        self._journal.record(
            Decision(
                event=Event.TARGET_ENDED,
                stage=worker.service,
                peer=worker.worker_id,
                reason=Reason.CONNECTION_LOST,
                detail=f"{evidence.value}; requests {' '.join(requests[:N_NAMED])}",
                figures=(Figure(name="n_running", value=len(requests)),),
            )
        )


def _start(worker: Worker) -> Start:
    """Return what tells the starts of workers apart."""
    return worker.worker_id, worker.born_ms
