"""The one place from which a worker gets its calls of pieces.

A worker makes one call at a time, and a call costs nearly the same whatever it
carries. If several gateways called the worker each on its own, calls would be
small and stand in its queue in the order in which they came. So all pieces for
a worker pass through one home, which sends the next call when the last is back
and fills it with what is most urgent then.
"""

import asyncio
import time
from collections.abc import Coroutine, Sequence
from typing import Any, Final

from result import Err, Ok

from ...protocol.reasons import Reason
from ...state.chain.piece_queue import PieceQueue
from ...state.chain.piece_work import PieceEnd, PieceFault, PieceMade, PieceWork
from ...state.chain.routes import PieceService
from ...state.chain.target_answers import CallFault
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Decision, Event, Figure, Journal
from .target_calls import TargetCalls

HANG_RATIO: Final = 3.0
"""A call that takes this many times what it should is given up as lost."""

HANG_SLACK_S: Final = 0.6
"""Added to that, so that a lost packet, sent again after 0.2 to 0.4 s, is borne."""

FULL_PAUSE_S: Final = 0.02
"""Wait before a worker that was full is called again; a tenth of a call."""

FREE_DELAY_S: Final = 0.05
"""Results that are read are freed together after this; a quarter of a call."""


class PieceHome:
    """Queues the pieces for one worker and sends its calls.

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
    """

    __slots__ = (
        "_busy_until_s",
        "_calls",
        "_free_handles",
        "_journal",
        "_n_calls",
        "_tasks",
        "_workers",
        "queue",
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
    ) -> None:
        self.worker = worker
        self.queue = PieceQueue(service=service)
        self._calls = calls
        self._workers = workers
        self._journal = journal
        self._tasks: set[asyncio.Task[None]] = set()
        self._n_calls = 0
        self._busy_until_s = 0.0
        self._free_handles: list[str] = []

    def submit(self, works: Sequence[PieceWork]) -> None:
        """Queue pieces; a call goes out at once if the worker is free."""
        self.queue.add(works)
        self._pump()

    def wait_s(self, n_pieces: int) -> float:
        """Return the expected seconds until that many more pieces are made."""
        busy_s = max(0.0, self._busy_until_s - time.monotonic())
        return self.queue.wait_s(len(self.queue), n_pieces, busy_s)

    def close(self) -> None:
        """Give up what waits; the worker gets no more calls."""
        for work in self.queue.drain():
            work.settle(PieceFault.NO_WORKER)

    def free(self, handle: str) -> None:
        """Free a result at the worker, together with others, in a moment."""
        self.queue.free(handle)
        self._free_handles.append(handle)
        if len(self._free_handles) == 1:
            self._spawn(self._send_free())

    def _pump(self) -> None:
        while self._n_calls < self.queue.service.n_slots:
            if not self._workers.is_usable(self.worker.worker_id):
                self.close()
                return
            now_s = time.monotonic()
            batch = self.queue.take_batch(now_s)
            if not batch:
                return
            self._n_calls += 1
            self._busy_until_s = now_s + self.queue.times.call_s(len(batch))
            self._spawn(self._call(batch, now_s))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, batch: list[PieceWork], began_s: float) -> None:
        expected_s = self.queue.times.call_s(len(batch))
        timeout_s = HANG_RATIO * expected_s + HANG_SLACK_S
        match await self._calls.make_pieces(self.worker, batch, timeout_s=timeout_s):
            case Ok(ends):
                self._take(batch, ends, began_s)
            case Err(CallFault.FULL):
                # Somebody else calls this worker as well: another gateway that
                # takes itself for the home. Nothing was run.
                self.queue.add(batch)
                await asyncio.sleep(FULL_PAUSE_S)
            case Err(fault):
                self._fail(batch, fault, began_s)
        self._n_calls -= 1
        self._pump()

    def _take(
        self, batch: list[PieceWork], ends: list[PieceEnd], began_s: float
    ) -> None:
        now_s = time.monotonic()
        self._workers.trust(self.worker.worker_id)
        self.queue.times.learn(len(batch), now_s - began_s)
        n_made = 0
        for work, end in zip(batch, ends, strict=True):
            if isinstance(end, PieceMade):
                n_made += 1
                self.queue.keep(end.handle, work.result_bytes, now_s)
                if not work.is_open:
                    self.free(end.handle)
            work.settle(end)
        self._note(Event.FINISHED, Reason.NONE, len(batch), n_made, now_s - began_s)

    def _fail(self, batch: list[PieceWork], fault: CallFault, began_s: float) -> None:
        took_s = time.monotonic() - began_s
        self._workers.suspect(self.worker.worker_id)
        end = PieceFault.FULL if fault.has_not_run else PieceFault.LOST
        for work in batch:
            work.settle(end)
        # What waits behind must not wait for a worker that may be gone; its
        # requests choose another.
        for work in self.queue.drain():
            work.settle(PieceFault.FULL)
        reason = Reason.TARGET_DOWN if fault.has_not_run else Reason.CONNECTION_LOST
        self._note(Event.FINISHED, reason, len(batch), 0, took_s)

    def _note(
        self, event: Event, reason: Reason, n_pieces: int, n_made: int, took_s: float
    ) -> None:
        self._journal.record(
            Decision(
                event=event,
                stage=self.worker.service,
                peer=self.worker.worker_id,
                reason=reason,
                figures=(
                    Figure(name="n_pieces", value=n_pieces),
                    Figure(name="n_made", value=n_made),
                    Figure(name="n_ahead", value=len(self.queue)),
                    Figure(name="service_s", value=took_s),
                    Figure(name="ratio", value=self.queue.times.ratio),
                ),
            )
        )

    async def _send_free(self) -> None:
        await asyncio.sleep(FREE_DELAY_S)
        handles, self._free_handles = self._free_handles, []
        if self._workers.get(self.worker.worker_id) is not None:
            await self._calls.free_results(self.worker, handles)

