"""Calls one stage worker, one call at a time, and requests its status reports."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any, Final

from absl import logging
from result import Err, Ok, Result

from ...protocol.reasons import Reason
from ...state.chain.known_worker import KnownWorker
from ...state.chain.piece_work import PieceFault, PieceOutcome, PieceResult, PieceWork
from ...state.chain.routes import PieceService
from ...state.chain.target_answers import CallFault, WorkerReport
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Journal
from .call_log import CallLog, CallSummary
from .crash_guard import CrashGuard
from .result_freeing import ResultFreeing
from .send_limits import SendLimits
from .target_calls import TargetCalls
from .watched_runs import WatchedCall

CALL_TIMEOUT_RATIO: Final = 3.0
"""Multiple of its expected duration after which a call is abandoned as lost."""

CALL_TIMEOUT_SLACK_S: Final = 0.6
"""Seconds added to that for a lost packet, retransmitted after 0.2 to 0.4 s."""

REPORT_TIMEOUT_S: Final = 0.3
"""Timeout in seconds of a worker's report; about a call, which may run meanwhile."""

INPUT_FETCH_S: Final = 0.04
"""Seconds after a call was sent by which its worker has fetched all inputs.

The worker fetches them when the call's turn comes, which is at once, as no other call
runs. This is ten times the time to transfer a megabyte, including latencies, and a
tenth of a call. If it is too short, the worker finds an input missing, and the chain
is run once more.
"""

REPORT_PERIOD_S: Final = 0.5
"""Minimum seconds between reports while pieces wait for memory at a worker.

It applies while the worker holds results of other schedulers.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class StartedCall:
    """A call in flight.

    Parameters
    ----------
    batch : list of PieceWork
        The pieces of the call.
    began_s : float
        Monotonic time at which it was started.
    n_waiting : int
        Pieces that were left in the queue.
    watched : WatchedCall
        Receives the outcome of the call.
    running : ExitStack
        Closed when the call ends; until then its requests count as running.
    """

    batch: list[PieceWork]
    began_s: float
    n_waiting: int
    watched: WatchedCall
    running: ExitStack


class WorkerCaller:
    """Sends calls to one worker process, from its start to its exit.

    Parameters
    ----------
    worker : Worker
        The worker.
    service : PieceService
        The service that it runs.
    calls : TargetCalls
        Client that calls the worker.
    workers : WorkerTable
        Notified of failed and of answered calls.
    journal : Journal
        Receives one decision for each call.
    on_free : callable
        Called when the worker may be free for a call.
    on_freed : callable
        Called with the worker and the handles of results that it has freed.
    on_return : callable
        Called with pieces that the worker has not begun, to be queued again.
    guard : CrashGuard
        Watches the runs of pieces.
    send_limits : SendLimits
        Limits the calls to a worker that has named how many it takes.

    Attributes
    ----------
    known : KnownWorker
        The estimated state of the worker.
    worker : Worker
        The worker.
    """

    __slots__ = (
        "_calls",
        "_created_s",
        "_freeing",
        "_guard",
        "_has_exited",
        "_in_flight",
        "_is_report_pending",
        "_log",
        "_on_free",
        "_on_freed",
        "_on_return",
        "_report_requested_s",
        "_send_limits",
        "_tasks",
        "_workers",
        "known",
        "worker",
    )

    def __init__(
        self,
        *,
        worker: Worker,
        service: PieceService,
        calls: TargetCalls,
        workers: WorkerTable,
        journal: Journal,
        on_free: Callable[[], None],
        on_freed: Callable[[Worker, list[str]], None],
        on_return: Callable[[list[PieceWork]], None],
        guard: CrashGuard,
        send_limits: SendLimits,
    ) -> None:
        self._guard = guard
        self._send_limits = send_limits
        self.worker = worker
        self.known = KnownWorker(worker=worker, service=service)
        self._calls = calls
        self._workers = workers
        self._log = CallLog(worker=worker, journal=journal)
        self._on_free = on_free
        self._on_freed = on_freed
        self._on_return = on_return
        self._tasks: set[asyncio.Task[None]] = set()
        self._in_flight: list[PieceWork] = []
        self._report_requested_s = 0.0
        self._created_s = time.monotonic()
        self._freeing = ResultFreeing(
            worker=worker,
            calls=calls,
            workers=workers,
            on_freed=self._record_freed,
            is_short=self._is_memory_short,
        )
        self._is_report_pending = False
        self._has_exited = False

    def is_free(self, now_s: float) -> bool:
        """Return True if the worker may be called now.

        Requests a status report first if the state of the worker is not known.
        """
        if not self.known.may_be_called(now_s):
            return False
        if self.held_s() > 0.0:
            return False
        if not self.known.is_current:
            self._request_report()
            return False
        return self.known.busy_s(now_s) <= 0.0

    def held_s(self) -> float:
        """Return the seconds for which the worker takes no call, as it limits them."""
        return self._send_limits.call_wait_s(self.worker)

    def pace_per_s(self) -> float:
        """Return the pieces per second that the worker completes under load."""
        n_calls_per_s = self._send_limits.calls_per_s(self.worker)
        return min(self.known.times.busy_per_s, n_calls_per_s * self.known.batch)

    def full_pace_per_s(self) -> float:
        """Return the pieces per second that the worker completes in full calls."""
        n_calls_per_s = self._send_limits.calls_per_s(self.worker)
        return min(self.known.times.full_per_s, n_calls_per_s * self.known.batch)

    def start(self, batch: list[PieceWork], *, n_waiting: int) -> None:
        """Send a call.

        Parameters
        ----------
        batch : list of PieceWork
            The pieces of the call.
        n_waiting : int
            Pieces that are left in the queue. If there are any, the call is used to
            estimate the worker's throughput.
        """
        now_s = time.monotonic()
        self._send_limits.record_call(self.worker)
        self._in_flight += batch
        for work in batch:
            work.worker_id = self.worker.worker_id
        self.known.begin_call(len(batch), now_s)
        self._freeing.flush()
        # The runs count as open from here on and not from the first step of the task,
        # as the same dispatch continues with the next free worker.
        running = ExitStack()
        watched = running.enter_context(self._guard.running_call(self.worker, batch))
        call = StartedCall(
            batch=batch,
            began_s=now_s,
            n_waiting=n_waiting,
            watched=watched,
            running=running,
        )
        self._spawn(self._call(call))

    def block(self, now_s: float) -> None:
        """Count the time from now on as busy, as no queued piece fits the worker.

        Requests a report if the worker holds results of other schedulers.
        """
        self.known.mark_blocked(now_s)
        self._freeing.flush()
        if (
            self.known.memory.has_external_results(now_s)
            and now_s - self._report_requested_s > REPORT_PERIOD_S
        ):
            self._request_report()

    def free(self, handle: str) -> None:
        """Free a result at the worker, together with others freed at the same time."""
        if not self._has_exited:
            self._freeing.free(handle)

    def _is_memory_short(self) -> bool:
        """Return True if results should be freed as soon as they are read.

        Also True while the worker may hold unreported results of a scheduler that has
        exited: after a loss of all gateways such results fill the workers' memory.
        """
        now_s = time.monotonic()
        memory = self.known.memory
        is_new = now_s - self._created_s < memory.service.retention_s
        return is_new or memory.is_low(now_s)

    def _record_freed(self, handles: list[str]) -> None:
        """Count the memory of results as free once the worker has confirmed it.

        A call that relied on their memory earlier would find it still occupied.
        """
        for handle in handles:
            self.known.memory.free(handle)
        self._on_freed(self.worker, handles)
        self._on_free()

    def mark_exited(self) -> None:
        """Abandon all calls in flight, as the worker process has exited and restarted.

        These calls get no response any more, or one that was sent before the exit and
        names results that are lost.
        """
        self._has_exited = True
        for work in self._in_flight:
            work.resolve(PieceFault.LOST)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, call: StartedCall) -> None:
        batch, began_s = call.batch, call.began_s
        n_bytes = sum(work.result_bytes for work in batch)
        expected_s = self.known.times.call_s(len(batch))
        timeout_s = CALL_TIMEOUT_RATIO * expected_s + CALL_TIMEOUT_SLACK_S
        # The time for fetching inputs starts when the call has been sent, not now: a
        # busy host may send it much later, and results would be freed that the worker
        # has still to fetch. The timer is cancelled when the call ends: a call that the
        # worker rejects ends at once, without any input fetched.
        fetching: list[asyncio.TimerHandle] = []

        def schedule_free() -> None:
            loop = asyncio.get_running_loop()
            fetching.append(loop.call_later(INPUT_FETCH_S, _notify_fetched, batch))

        kept_bytes = self.known.memory.own_bytes(began_s)
        self.known.memory.begin_call(n_bytes)
        answer: Result[list[PieceOutcome], CallFault] | None = None
        try:
            try:
                with call.running:
                    fingerprints = call.watched.fingerprints()
                    may_run = await self._guard.may_run_at(self.worker, fingerprints)
                    if not any(work.is_pending for work in batch):
                        # Their requests have ended during the check.
                        call.watched.take_unsent()
                    elif may_run and self._workers.may_receive(self.worker):
                        answer = await self._calls.run_pieces(
                            self.worker,
                            batch,
                            timeout_s=timeout_s,
                            on_sent=schedule_free,
                        )
                        call.watched.take(answer)
                    else:
                        answer = Err(CallFault.UNREACHABLE)
                        call.watched.take_unsent()
                await self._guard.wait_for_exit_check(self.worker)
            finally:
                self.known.memory.end_call(n_bytes)
                for timer in fetching:
                    timer.cancel()
            match answer:
                case None:
                    pass
                case Ok(ends):
                    self._complete(
                        batch,
                        ends,
                        began_s,
                        n_waiting=call.n_waiting,
                        kept_bytes=kept_bytes,
                    )
                case Err(CallFault.FULL):
                    self._requeue(batch, expected_s)
                case Err(fault):
                    self._fail(batch, fault, began_s)
        except Exception:
            # An exception would leave the worker marked as busy forever.
            logging.exception(
                "call of pieces at worker %s failed", self.worker.worker_id
            )
            self._fail(batch, CallFault.BROKEN, began_s)
        ended_ids = set(map(id, batch))
        self._in_flight = [w for w in self._in_flight if id(w) not in ended_ids]
        self.known.end_call(time.monotonic())
        self._on_free()

    def _complete(
        self,
        batch: list[PieceWork],
        ends: list[PieceOutcome],
        began_s: float,
        *,
        n_waiting: int,
        kept_bytes: float,
    ) -> None:
        now_s = time.monotonic()
        self._workers.clear_suspicion(self.worker)
        n_made = sum(1 for end in ends if isinstance(end, PieceResult))
        self.known.learn_call(n_made, n_waiting=n_waiting, began_s=began_s, now_s=now_s)
        without_memory = []
        made_bytes = 0.0
        for work, end in zip(batch, ends, strict=True):
            if isinstance(end, PieceResult):
                made_bytes += work.result_bytes
                self.known.memory.keep(end.handle, work.result_bytes, now_s)
                if not work.is_pending:
                    self.free(end.handle)
            if end is PieceFault.NO_MEMORY:
                without_memory.append(work)
            else:
                work.resolve(end)
        if without_memory:
            # These pieces were not begun. Sent again at once, they would be rejected
            # again, call after call.
            least_bytes = min(work.result_bytes for work in without_memory)
            self.known.learn_full(least_bytes, now_s, own_bytes=kept_bytes + made_bytes)
            self._on_return(without_memory)
        faults = Counter(end.value for end in ends if isinstance(end, PieceFault))
        self._log.record_call(
            CallSummary(
                n_pieces=len(batch),
                n_made=n_made,
                n_waiting=n_waiting,
                took_s=now_s - began_s,
                faults=faults,
            ),
            kept_bytes=self.known.memory.used_bytes(now_s),
            ratio=self.known.times.ratio,
        )

    def _requeue(self, batch: list[PieceWork], expected_s: float) -> None:
        """Queue the pieces of a call again that the worker rejected without running.

        Another gateway calls this worker as well: one that regards itself as the
        worker's scheduler, or one that has exited meanwhile.
        """
        self.known.pause(time.monotonic() + expected_s / 2)
        self._on_return(batch)
        self._record_failure(batch, CallFault.FULL, Reason.QUEUE_FULL, 0.0)

    def _record_failure(
        self, batch: list[PieceWork], fault: CallFault, reason: Reason, took_s: float
    ) -> None:
        self._log.record_call(
            CallSummary(
                n_pieces=len(batch),
                took_s=took_s,
                faults=Counter({fault.value: len(batch)}),
                reason=reason,
            ),
            kept_bytes=self.known.memory.used_bytes(time.monotonic()),
            ratio=self.known.times.ratio,
        )

    def _fail(self, batch: list[PieceWork], fault: CallFault, began_s: float) -> None:
        took_s = time.monotonic() - began_s
        self._workers.mark_suspect(self.worker)
        end = PieceFault.FULL if fault.has_not_run else PieceFault.LOST
        for work in batch:
            work.resolve(end)
        # The worker may have computed the results; only a report shows what it holds.
        self.known.is_current = False
        reason = Reason.TARGET_DOWN if fault.has_not_run else Reason.CONNECTION_LOST
        self._record_failure(batch, fault, reason, took_s)

    def _request_report(self) -> None:
        if not self._is_report_pending:
            self._is_report_pending = True
            self._report_requested_s = time.monotonic()
            self._spawn(self._fetch_report())

    async def _fetch_report(self) -> None:
        """Request the worker's status report before it is called.

        A previous scheduler may have left results there, and calls that still run.
        Without knowing them, this one would send calls that find no memory.
        """
        report: WorkerReport | None = None
        try:
            report = await self._calls.report(self.worker, timeout_s=REPORT_TIMEOUT_S)
        except Exception:
            logging.exception(
                "status report of worker %s failed", self.worker.worker_id
            )
        if report is not None:
            self.known.learn_report(report, time.monotonic())
        self.known.is_current = True
        self._is_report_pending = False
        self._log.record_report(report)
        self._on_free()


def _notify_fetched(batch: list[PieceWork]) -> None:
    """Notify the chains of a call's pieces that their inputs have been fetched."""
    for work in batch:
        if work.on_fetched is not None and not work.outcome.cancelled():
            work.on_fetched()
