"""Sends a request to one worker and passes on what it answers."""

import asyncio
from collections.abc import AsyncIterator
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
from .target_calls import OpenAnswer, StreamBrokenError, TargetCall, TargetCalls
from .worker_choice import Need, OpenRequest, WorkerChoice

MAX_URGENCY: Final = 9
"""Least urgent rank that a model worker knows."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerFailed:
    """A worker answered whole, with a status that is no success."""

    head: AnswerHead
    body: bytes


class Inputs(Protocol):
    """The results of a request's stages, made again where they are gone."""

    async def get(self) -> tuple[str, ...] | None:
        """Return the handles of all, or None if they cannot be made again."""

    def mark_read(self) -> None:
        """Free them: a worker has read all of them."""

    def mark_lost(self) -> None:
        """Take them for gone: a worker did not find one of them."""


SendOutcome = Answered | WorkerFailed | CallFault


class WorkerExchange:
    """The exchanges of one request with workers, one after another.

    Parameters
    ----------
    job : Job
        The request.
    inputs : Inputs
        The results that it takes.
    need : Need
        What it asks of a worker.
    workers, choice, calls
        As for the request path.
    delivery : Delivery
        Told how far the request has come.
    guard : CrashGuard
        Watches its runs.

    Attributes
    ----------
    n_sent : int
        Workers that may have read any of the request.
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
        "_workers",
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
    ) -> None:
        self._job = job
        self._guard = guard
        self._inputs = inputs
        self._need = need
        self._workers = workers
        self._choice = choice
        self._calls = calls
        self._delivery = delivery
        self._last_event = job.request.after_event
        self.n_sent = 0

    async def send(
        self, worker: Worker, handles: tuple[str, ...], sink: CallerSink
    ) -> SendOutcome:
        """Send the request to one worker; return what came of it."""
        job = self._job
        call = TargetCall(
            request=job.request,
            account=job.account.name,
            ends_s=job.deadline_s,
            inputs=handles,
            after_event=self._last_event,
            urgency=min(MAX_URGENCY, job.priority) if job.route.is_stream else None,
        )
        with self._guard.running(worker, job.fingerprint) as run:
            sent = await self._exchange(worker, call, sink)
            run.end = (
                outcome_of_fault(sent)
                if isinstance(sent, CallFault)
                else RunOutcome.ANSWERED
            )
            return sent

    async def _exchange(
        self, worker: Worker, call: TargetCall, sink: CallerSink
    ) -> SendOutcome:
        job = self._job
        n_before = self.n_sent
        with (
            self._choice.open(worker, self._need) as at_worker,
            self._delivery.at_worker(),
        ):
            try:
                async with (
                    asyncio.timeout(
                        response_timeout_s(job, n_sent=n_before)
                    ) as patience,
                    self._calls.exchange(worker, call) as opened,
                ):
                    match opened:
                        case Err(fault):
                            if fault.was_sent:
                                self.n_sent += 1
                            return fault
                        case Ok(answer):
                            self.n_sent += 1
                            return await self._take(
                                worker, at_worker, answer, sink, patience
                            )
            except TimeoutError:
                # One that fell silent within its answer was counted already.
                self.n_sent = n_before + 1
                return CallFault.SILENT

    async def _take(
        self,
        worker: Worker,
        at_worker: OpenRequest,
        answer: OpenAnswer,
        sink: CallerSink,
        patience: asyncio.Timeout,
    ) -> SendOutcome:
        if answer.head.is_success and self._job.route.is_stream:
            return await self._take_stream(worker, at_worker, answer, sink, patience)
        match await answer.read():
            case Err(fault):
                return fault
            case Ok(body):
                self._workers.clear_suspicion(worker)
                if not answer.head.is_success:
                    return WorkerFailed(head=answer.head, body=body)
                self._delivery.begin_answer()
                await sink.whole(answer.head, body)
                return Answered()

    async def _take_stream(
        self,
        worker: Worker,
        at_worker: OpenRequest,
        answer: OpenAnswer,
        sink: CallerSink,
        patience: asyncio.Timeout,
    ) -> SendOutcome:
        """Pass events on as they come; each one renews the patience."""
        loop = asyncio.get_running_loop()
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
                    await sink.begin(answer.head)
                self._last_event = event.number
                await sink.event(event)
                patience.reschedule(
                    loop.time() + event_timeout_s(self._job, n_sent=self.n_sent)
                )
        except StreamBrokenError:
            return CallFault.BROKEN
        if not self._delivery.is_begun:
            return CallFault.BROKEN
        await sink.end()
        return Answered()


async def in_order(
    events: AsyncIterator[StreamEvent], last: int | None
) -> AsyncIterator[StreamEvent]:
    """Yield events that follow on `last` one by one; None lets any one be first.

    Raises
    ------
    StreamBrokenError
        If a number is missing or comes twice; a caller must not get a stream
        with a hole, or with parts of two runs that do not join.
    """
    async for event in events:
        if last is not None and event.number != last + 1:
            raise StreamBrokenError(f"event {event.number} after {last}")
        last = event.number
        yield event
