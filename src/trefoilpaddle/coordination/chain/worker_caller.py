"""Calls one stage worker, one call at a time, and asks what it holds."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any, Final

from absl import logging
from result import Err, Ok

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
from .target_calls import TargetCalls
from .watched_runs import WatchedCall

HANG_RATIO: Final = 3.0
"""A call that takes this many times what it should is given up as lost."""

HANG_SLACK_S: Final = 0.6
"""Added to that, so that a lost packet, sent again after 0.2 to 0.4 s, is borne."""

REPORT_TIMEOUT_S: Final = 0.3
"""Longest wait for a worker's report; about a call, which it might do meanwhile."""

INPUT_FETCH_S: Final = 0.04
"""Time after a call was sent by which its worker has fetched all inputs.

It begins with them when the call's turn comes, which is at once as it makes no
other. Ten times what a megabyte and the ways take; a tenth of a call. Where it is
not enough, the worker finds an input gone, and the chain is made once more.
"""

ASK_AGAIN_S: Final = 0.5
"""Time between reports while others keep results there and pieces wait for memory."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StartedCall:
    """A call that is on its way.

    Parameters
    ----------
    batch : list of PieceWork
        What it carries.
    began_s : float
        Monotonic time at which it was started.
    n_waiting : int
        Pieces that waited behind it.
    watched : WatchedCall
        Takes how it ends.
    running : ExitStack
        Closed at its end; until then its requests count as running.
    """

    batch: list[PieceWork]
    began_s: float
    n_waiting: int
    watched: WatchedCall
    running: ExitStack


class WorkerCaller:
    """Sends the calls of one start of a worker.

    Parameters
    ----------
    worker : Worker
        The worker.
    service : PieceService
        What it runs.
    calls : TargetCalls
        Speaks to it.
    workers : WorkerTable
        Told when it falls silent.
    journal : Journal
        Takes one decision for each call.
    on_free : callable
        Called when the worker may be free for a call.
    on_freed : callable
        Called with results that the worker has freed.
    on_return : callable
        Takes pieces that it has not begun, to be made elsewhere or later.
    guard : CrashGuard
        Watches the runs of pieces.

    Attributes
    ----------
    known : KnownWorker
        What is learnt of it.
    """

    __slots__ = (
        "_asked_s",
        "_calls",
        "_freeing",
        "_guard",
        "_in_flight",
        "_is_asking",
        "_is_ended",
        "_met_s",
        "_notes",
        "_on_free",
        "_on_freed",
        "_on_return",
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
    ) -> None:
        self._guard = guard
        self.worker = worker
        self.known = KnownWorker(worker=worker, service=service)
        self._calls = calls
        self._workers = workers
        self._notes = CallLog(worker=worker, journal=journal)
        self._on_free = on_free
        self._on_freed = on_freed
        self._on_return = on_return
        self._tasks: set[asyncio.Task[None]] = set()
        self._in_flight: list[PieceWork] = []
        self._asked_s = 0.0
        self._met_s = time.monotonic()
        self._freeing = ResultFreeing(
            worker=worker,
            calls=calls,
            workers=workers,
            on_freed=self._take_freed,
            is_short=self._is_memory_short,
        )
        self._is_asking = False
        self._is_ended = False

    def is_free(self, now_s: float) -> bool:
        """Return True if it may be called now; begins to ask it where it must."""
        if not self.known.may_be_called(now_s):
            return False
        if not self.known.is_current:
            self._ask()
            return False
        return self.known.busy_s(now_s) <= 0.0

    def start(self, batch: list[PieceWork], *, n_waiting: int) -> None:
        """Send a call.

        Parameters
        ----------
        batch : list of PieceWork
            What it carries.
        n_waiting : int
            Pieces that wait behind it; if any do, it tells the worker's pace.
        """
        now_s = time.monotonic()
        self._in_flight += batch
        for work in batch:
            work.worker_id = self.worker.worker_id
        self.known.begin_call(len(batch), now_s)
        self._freeing.flush()
        # From here on and not from the task's first step: the same look at the queue
        # goes on to the next free worker.
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
        """Count the time from now on as busy; ask it where others keep results."""
        self.known.mark_blocked(now_s)
        self._freeing.flush()
        if (
            self.known.memory.has_external_results(now_s)
            and now_s - self._asked_s > ASK_AGAIN_S
        ):
            self._ask()

    def free(self, handle: str) -> None:
        """Free a result at the worker, together with others that come meanwhile."""
        if not self._is_ended:
            self._freeing.free(handle)

    def _is_memory_short(self) -> bool:
        """Return True if what is read should be freed at once.

        Also while results may be there of a scheduler that is gone, which nobody
        told of: after a loss of all gateways they fill their makers.
        """
        now_s = time.monotonic()
        memory = self.known.memory
        is_new = now_s - self._met_s < memory.service.retention_s
        return is_new or memory.is_low(now_s)

    def _take_freed(self, handles: list[str]) -> None:
        """Count results as gone once the worker has answered.

        A call that takes their memory before would find it still taken.
        """
        for handle in handles:
            self.known.memory.free(handle)
        self._on_freed(self.worker, handles)
        self._on_free()

    def mark_exited(self) -> None:
        """Give up all that its process had: it has ended, and started again.

        Calls to it have no answer any more, or one that was made before the end
        and names results that are gone.
        """
        self._is_ended = True
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
        timeout_s = HANG_RATIO * expected_s + HANG_SLACK_S
        # Not from now on: on a busy host the call itself may leave later than that,
        # and results would be freed that its worker has still to fetch. Cancelled with
        # the end of the call: one that is turned away ends at once, with none fetched.
        fetching: list[asyncio.TimerHandle] = []

        def note_sent() -> None:
            loop = asyncio.get_running_loop()
            fetching.append(loop.call_later(INPUT_FETCH_S, _tell_fetched, batch))

        kept_bytes = self.known.memory.own_bytes(began_s)
        self.known.memory.begin_call(n_bytes)
        try:
            try:
                with call.running:
                    answer = await self._calls.run_pieces(
                        self.worker, batch, timeout_s=timeout_s, on_sent=note_sent
                    )
                    call.watched.take(answer)
                await self._guard.wait_for_exit_check(self.worker)
            finally:
                self.known.memory.end_call(n_bytes)
                for timer in fetching:
                    timer.cancel()
            match answer:
                case Ok(ends):
                    self._take(
                        batch,
                        ends,
                        began_s,
                        n_waiting=call.n_waiting,
                        kept_bytes=kept_bytes,
                    )
                case Err(CallFault.FULL):
                    self._put_back(batch, expected_s)
                case Err(fault):
                    self._fail(batch, fault, began_s)
        except Exception:
            # A fault here would leave the worker marked as busy for good.
            logging.exception("a call of pieces at %s", self.worker.worker_id)
            self._fail(batch, CallFault.BROKEN, began_s)
        ended = set(map(id, batch))
        self._in_flight = [w for w in self._in_flight if id(w) not in ended]
        self.known.end_call(time.monotonic())
        self._on_free()

    def _take(
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
            # Nothing was worked on. Sent again at once, these pieces are turned
            # away again, call after call.
            least_bytes = min(work.result_bytes for work in without_memory)
            self.known.learn_full(least_bytes, now_s, own_bytes=kept_bytes + made_bytes)
            self._on_return(without_memory)
        faults = Counter(end.value for end in ends if isinstance(end, PieceFault))
        self._notes.call(
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

    def _put_back(self, batch: list[PieceWork], expected_s: float) -> None:
        """Take back a call that the worker had no place for; nothing was run.

        Somebody else calls this worker as well: another gateway that takes
        itself for its scheduler, or one that has ended meanwhile.
        """
        self.known.pause(time.monotonic() + expected_s / 2)
        self._on_return(batch)
        self._note_unmade(batch, CallFault.FULL, Reason.QUEUE_FULL, 0.0)

    def _note_unmade(
        self, batch: list[PieceWork], fault: CallFault, reason: Reason, took_s: float
    ) -> None:
        self._notes.call(
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
        # It may have made them: what it keeps now only it can say.
        self.known.is_current = False
        reason = Reason.TARGET_DOWN if fault.has_not_run else Reason.CONNECTION_LOST
        self._note_unmade(batch, fault, reason, took_s)

    def _ask(self) -> None:
        if not self._is_asking:
            self._is_asking = True
            self._asked_s = time.monotonic()
            self._spawn(self._send_ask())

    async def _send_ask(self) -> None:
        """Ask the worker what it does and keeps, before it is called.

        A scheduler that is gone has left results there, and calls that still
        run. Not knowing them, the next one sends calls that find no memory.
        """
        report: WorkerReport | None = None
        try:
            report = await self._calls.report(self.worker, timeout_s=REPORT_TIMEOUT_S)
        except Exception:
            logging.exception("asking %s what it does", self.worker.worker_id)
        if report is not None:
            self.known.learn_report(report, time.monotonic())
        self.known.is_current = True
        self._is_asking = False
        self._notes.report(report)
        self._on_free()


def _tell_fetched(batch: list[PieceWork]) -> None:
    """Tell those whose worker has their inputs that these can be freed."""
    for work in batch:
        if work.on_fetched is not None and not work.outcome.cancelled():
            work.on_fetched()
