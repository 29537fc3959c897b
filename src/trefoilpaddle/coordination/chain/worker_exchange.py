"""Sends a request to one worker and passes its answer on to the caller."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Final, Protocol

from result import Err, Ok

from ...state.chain.delivery import Delivery
from ...state.chain.requests import Answered
from ...state.chain.target_answers import AnswerHead, CallFault, StreamEvent
from ...state.chain.worker_runs import RunOutcome, outcome_of_fault
from ...state.chain.workers import Worker, WorkerTable
from .attempt_timeouts import event_timeout_s, response_timeout_s
from .caller_sink import CallerSink
from .crash_guard import CrashGuard
from .job import Job
from .service_lease import HeldSlot
from .silence_watch import Prepare, SilenceWatch, watching_silence
from .target_calls import (
    OpenAnswer,
    StreamBrokenError,
    StreamCutError,
    TargetCall,
    TargetCalls,
)
from .worker_choice import Need, OpenRequest, WorkerChoice

MAX_URGENCY: Final = 9
"""Least urgent rank that a model worker accepts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerFailed:
    """A complete answer of a worker whose status is not a success.

    Parameters
    ----------
    head : AnswerHead
        Status and headers.
    body : bytes
        The complete body.
    """

    head: AnswerHead
    body: bytes


class Inputs(Protocol):
    """The results of a request's stages, which are recomputed if they are lost."""

    async def get(self) -> tuple[str, ...] | None:
        """Return the handles of all inputs, or None if they cannot be recomputed."""

    def mark_read(self) -> None:
        """Free the inputs, as a worker has read all of them."""

    def mark_lost(self) -> None:
        """Regard the inputs as lost, as a worker did not find one of them."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NotSent:
    """The request was closed before it could be sent."""


SendOutcome = Answered | WorkerFailed | CallFault | NotSent


class WorkerExchange:
    """The exchanges of one request with workers, one after another.

    Parameters
    ----------
    job : Job
        The request.
    inputs : Inputs
        The stage results that the request takes as inputs.
    need : Need
        What the request requires of a worker.
    workers, choice, calls
        As for the request path.
    delivery : Delivery
        Records how far the request has come.
    guard : CrashGuard
        Watches the runs of the request at workers.
    on_begin : callable
        Called with the worker that sends the first event, before it is passed on.

    Attributes
    ----------
    held : HeldSlot
        The slot of its service that the request holds.
    begun_at : Worker or None
        The worker that sent the first event of the stream; None before.
    n_sent : int
        Number of workers that may have read a part of the request.
    is_cut : bool
        True if the worker's side closed the connection of the last exchange after an
        event of the stream was passed on.
    """

    __slots__ = (
        "_calls",
        "_choice",
        "_delivery",
        "_guard",
        "_inputs",
        "_job",
        "_last_event",
        "_need",
        "_on_begin",
        "_workers",
        "begun_at",
        "held",
        "is_cut",
        "n_sent",
    )

    def __init__(
        self,
        *,
        job: Job,
        inputs: Inputs,
        need: Need,
        workers: WorkerTable,
        choice: WorkerChoice,
        calls: TargetCalls,
        delivery: Delivery,
        guard: CrashGuard,
        on_begin: Callable[[Worker], None],
    ) -> None:
        self._on_begin = on_begin
        self._job = job
        self._guard = guard
        self._inputs = inputs
        self._need = need
        self._workers = workers
        self._choice = choice
        self._calls = calls
        self._delivery = delivery
        self._last_event = job.request.after_event
        self.held = HeldSlot()
        self.begun_at: Worker | None = None
        self.is_cut = False
        self.n_sent = 0

    @property
    def last_event(self) -> int | None:
        """Number of the last event that was passed on; None before any."""
        return self._last_event

    async def send(
        self,
        worker: Worker,
        handles: tuple[str, ...],
        sink: CallerSink,
        *,
        backup: Worker | None = None,
        goes_on: bool = False,
        prepare_next: Prepare,
    ) -> SendOutcome:
        """Send the request to one worker; return the outcome.

        It is `CallFault.SILENT` only at the deadline, or once another attempt is
        ready.

        Parameters
        ----------
        worker : Worker
            The worker.
        handles : tuple of str
            Handles of the results that the request takes as inputs.
        sink : CallerSink
            Receives the answer.
        backup : Worker or None
            Worker that gets a copy of the run; None for no copy.
        goes_on : bool
            True if the worker has a copy of the run and goes on with it.
        prepare_next : callable
            Prepares another attempt while the worker is silent.
        """
        with self._delivery.at_worker() as may_send:
            if not may_send:
                return NotSent()
            return await self._send(
                worker,
                handles,
                sink,
                backup=backup,
                goes_on=goes_on,
                prepare_next=prepare_next,
            )

    async def _send(
        self,
        worker: Worker,
        handles: tuple[str, ...],
        sink: CallerSink,
        *,
        backup: Worker | None,
        goes_on: bool,
        prepare_next: Prepare,
    ) -> SendOutcome:
        job = self._job
        self.is_cut = False
        call = TargetCall(
            request=job.request,
            account=job.account.name,
            ends_s=job.deadline_s,
            inputs=handles,
            after_event=self._last_event,
            urgency=min(MAX_URGENCY, job.priority) if job.route.is_stream else None,
            backup=backup,
            copy_of=job.request.request_id if goes_on else "",
        )
        with self._guard.running(worker, job.fingerprint, job.parts) as run:
            sent = await self._exchange(worker, call, sink, prepare_next)
            match sent:
                case CallFault():
                    run.end = outcome_of_fault(sent)
                case WorkerFailed() if sent.head.is_worker_failure:
                    run.end = RunOutcome.FAILED
                case _:
                    run.end = RunOutcome.ANSWERED
            return sent

    async def _exchange(
        self,
        worker: Worker,
        call: TargetCall,
        sink: CallerSink,
        prepare_next: Prepare,
    ) -> SendOutcome:
        job = self._job
        left_s = max(0.0, job.deadline_s - time.monotonic())
        n_before = self.n_sent
        # No other worker is left for a run that goes on from its copy.
        n_tried = job.route.max_attempts if call.copy_of else n_before
        with self._choice.open(worker, self._need) as at_worker:
            try:
                async with (
                    asyncio.timeout(left_s) as limit,
                    watching_silence(
                        limit,
                        silent_s=response_timeout_s(job, n_sent=n_tried),
                        prepare=prepare_next,
                    ) as watch,
                    self._calls.exchange(worker, call) as opened,
                ):
                    match opened:
                        case Err(fault):
                            if fault.was_sent:
                                self.n_sent += 1
                            return fault
                        case Ok(answer):
                            self.n_sent += 1
                            return await self._pass_on(
                                worker, at_worker, answer, sink, watch
                            )
            except TimeoutError:
                # A worker that stopped within its answer was counted already.
                self.n_sent = n_before + 1
                return CallFault.SILENT

    async def _pass_on(
        self,
        worker: Worker,
        at_worker: OpenRequest,
        answer: OpenAnswer,
        sink: CallerSink,
        watch: SilenceWatch,
    ) -> SendOutcome:
        if answer.head.is_success and self._job.route.is_stream:
            return await self._pass_stream_on(worker, at_worker, answer, sink, watch)
        # The wait for room is this process's own, and no silence of the worker.
        watch.stop()
        await answer.wait_for_room()
        watch.restart(response_timeout_s(self._job, n_sent=self.n_sent - 1))
        match await answer.read():
            case Err(fault):
                return fault
            case Ok(body):
                watch.complete()
                self._workers.clear_suspicion(worker)
                if not answer.head.is_success:
                    return WorkerFailed(head=answer.head, body=body)
                at_worker.mark_done()
                self._delivery.begin_answer()
                await sink.whole(answer.head, body)
                return Answered(worker_id=worker.worker_id, status=answer.head.status)

    async def _pass_stream_on(
        self,
        worker: Worker,
        at_worker: OpenRequest,
        answer: OpenAnswer,
        sink: CallerSink,
        watch: SilenceWatch,
    ) -> SendOutcome:
        """Pass events on as they arrive; each one restarts the event timeout."""
        try:
            is_first = True
            async for event in in_order(answer.events(), self._last_event):
                if is_first:
                    is_first = False
                    self._workers.clear_suspicion(worker)
                    at_worker.mark_read()
                    self._inputs.mark_read()
                if not self._delivery.is_begun:
                    self._delivery.begin_answer()
                    self.begun_at = worker
                    self.held.mark_begun()
                    self._on_begin(worker)
                    await sink.begin(answer.head)
                if watch.stop():
                    self._workers.clear_suspicion(worker)
                self._last_event = event.number
                self._delivery.record_part()
                await sink.event(event)
                watch.restart(event_timeout_s(self._job, n_sent=self.n_sent))
        except StreamCutError:
            self.is_cut = self._delivery.is_begun
            return CallFault.BROKEN
        except StreamBrokenError:
            return CallFault.BROKEN
        if not self._delivery.is_begun:
            return CallFault.BROKEN
        at_worker.mark_done()
        watch.complete()
        await sink.end()
        return Answered(worker_id=worker.worker_id, status=answer.head.status)


async def in_order(
    events: AsyncIterator[StreamEvent], last: int | None
) -> AsyncIterator[StreamEvent]:
    """Yield events whose numbers follow `last` without a gap.

    Parameters
    ----------
    events : async iterator of StreamEvent
        The events of a worker.
    last : int or None
        Number of the last event before; None if any event may be the first.

    Raises
    ------
    StreamBrokenError
        If a number is missing or repeated. A caller must not get a stream with a gap,
        or with parts of two runs that do not fit together.
    """
    async for event in events:
        if last is not None and event.number != last + 1:
            raise StreamBrokenError(f"event {event.number} after {last}")
        last = event.number
        yield event
