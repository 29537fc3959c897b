"""Sends one request to workers until one has answered it, or it must end."""

import asyncio
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Final, Protocol

from result import Err, Ok

from ...protocol.reasons import Reason
from ...state.chain.delivery import Delivery
from ...state.chain.repeat_budget import RepeatBudget
from ...state.chain.requests import Answered, Failed, Outcome
from ...state.chain.target_answers import AnswerHead, CallFault, StreamEvent
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Decision, Event, Figure, Journal
from .caller_sink import CallerSink
from .job import Job
from .patience import gap_s, patience_s
from .target_calls import OpenAnswer, StreamBrokenError, TargetCall, TargetCalls
from .worker_choice import Need, OpenRequest, WorkerChoice

MAX_UNSENT: Final = 4
"""Most workers that are tried without anything being sent, or being run."""

MAX_URGENCY: Final = 9
"""Least urgent rank that a model worker knows."""

REASON_OF: Final = {
    CallFault.UNREACHABLE: Reason.TARGET_DOWN,
    CallFault.FULL: Reason.QUEUE_FULL,
    CallFault.MOVED: Reason.TARGET_DOWN,
    CallFault.INPUTS_GONE: Reason.RESULT_GONE,
    CallFault.BROKEN: Reason.CONNECTION_LOST,
    CallFault.SILENT: Reason.TARGET_TIMEOUT,
}

FULL_RETRY_S: Final = 0.5
"""When to come back after all workers were full; two calls of a stage."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerFailed:
    """A worker answered whole, with a status that is no success."""

    head: AnswerHead
    body: bytes


class Inputs(Protocol):
    """The results of a request's stages, made again where they are gone."""

    async def get(self) -> tuple[str, ...] | None:
        """Return the handles of all, or None if they cannot be made again."""

    def read(self) -> None:
        """Free them: a worker has read all of them."""

    def lose(self) -> None:
        """Take them for gone: a worker did not find one of them."""


Sent = Answered | WorkerFailed | CallFault


class Attempts:
    """The attempts of one request.

    Parameters
    ----------
    job : Job
        The request.
    inputs : Inputs
        The results that it takes.
    need : Need
        What it asks of a worker.
    workers, choice, calls, budget, journal
        As for the request path.
    delivery : Delivery
        Told how far the request has come.
    """

    __slots__ = (
        "_budget",
        "_calls",
        "_choice",
        "_delivery",
        "_inputs",
        "_is_left",
        "_job",
        "_journal",
        "_last_event",
        "_n_sent",
        "_n_unsent",
        "_need",
        "_tried",
        "_workers",
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
        budget: RepeatBudget,
        journal: Journal,
        delivery: Delivery,
    ) -> None:
        self._job = job
        self._delivery = delivery
        self._inputs = inputs
        self._need = need
        self._workers = workers
        self._choice = choice
        self._calls = calls
        self._budget = budget
        self._journal = journal
        self._tried: set[str] = set()
        self._n_sent = 0
        self._n_unsent = 0
        self._is_left = False
        self._last_event = job.request.after_event

    def leave(self) -> None:
        """Send it to no other worker: its caller has left."""
        self._is_left = True

    async def run(self, sink: CallerSink) -> Outcome:
        """Send the request until it has an answer or must end."""
        while True:
            worker = self._choose()
            if worker is None:
                return self._end(Reason.NO_TARGET)
            handles = await self._inputs.get()
            if handles is None:
                return self._end(Reason.RESULT_GONE)
            if self._is_left:
                # Its caller left, or was told that it has not run, meanwhile.
                return self._end(Reason.CANCELLED)
            self._note(Event.ROUTED, worker)
            match await self._send(worker, handles, sink):
                case Answered() as answered:
                    return answered
                case WorkerFailed() as failed:
                    if not self._may_go_on(Reason.TARGET_FAILED, worker):
                        return await self._pass_on(failed, sink)
                case CallFault() as fault:
                    self._learn(fault, worker)
                    if not self._may_go_on(REASON_OF[fault], worker):
                        return self._end(REASON_OF[fault])

    def _choose(self) -> Worker | None:
        return self._choice.choose(
            self._job.worker_service(), self._need, without=frozenset(self._tried)
        )

    def _learn(self, fault: CallFault, worker: Worker) -> None:
        """Take what a fault says of the worker and of the request."""
        self._tried.add(worker.worker_id)
        if fault is CallFault.INPUTS_GONE:
            self._inputs.lose()
        if fault.has_not_run:
            self._n_unsent += 1
        else:
            self._delivery.may_have_run = True
        if fault is not CallFault.FULL and fault is not CallFault.INPUTS_GONE:
            self._workers.suspect(worker)

    def _may_go_on(self, reason: Reason, worker: Worker) -> bool:
        """Return True if the request may go to another worker, and count it."""
        job = self._job
        self._tried.add(worker.worker_id)
        if reason is Reason.TARGET_FAILED:
            self._delivery.may_have_run = True
        if self._is_left:
            return False
        if self._delivery.may_have_run and not job.may_repeat:
            return False
        if self._delivery.is_begun and not job.route.is_resumable:
            return False
        if self._n_sent >= job.route.max_attempts or self._n_unsent >= MAX_UNSENT:
            return False
        now_s = time.monotonic()
        if now_s >= job.deadline_s:
            return False
        if self._n_sent and not self._budget.spend(now_s):
            return False
        self._note(Event.RETRIED, worker, reason)
        return True

    def _end(self, reason: Reason) -> Outcome:
        """Return the end of a request that no worker has answered."""
        return self._delivery.end(reason, retry_after_s=FULL_RETRY_S)

    async def _pass_on(self, failed: WorkerFailed, sink: CallerSink) -> Outcome:
        """Give the caller a worker's failure as it is, if nothing went before."""
        if self._delivery.is_begun:
            return Failed(reason=Reason.TARGET_FAILED, is_begun=True)
        self._delivery.begin()
        await sink.whole(failed.head, failed.body)
        return Answered()

    async def _send(
        self, worker: Worker, handles: tuple[str, ...], sink: CallerSink
    ) -> Sent:
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
        n_before = self._n_sent
        with (
            self._choice.open(worker, self._need) as at_worker,
            self._delivery.at_worker(),
        ):
            try:
                async with (
                    asyncio.timeout(patience_s(job, n_sent=self._n_sent)) as patience,
                    self._calls.exchange(worker, call) as opened,
                ):
                    match opened:
                        case Err(fault):
                            if fault is not CallFault.UNREACHABLE:
                                self._n_sent += 1
                            return fault
                        case Ok(answer):
                            self._n_sent += 1
                            return await self._take(
                                worker, at_worker, answer, sink, patience
                            )
            except TimeoutError:
                # One that fell silent within its answer was counted already.
                self._n_sent = n_before + 1
                return CallFault.SILENT

    async def _take(
        self,
        worker: Worker,
        at_worker: OpenRequest,
        answer: OpenAnswer,
        sink: CallerSink,
        patience: asyncio.Timeout,
    ) -> Sent:
        if answer.head.is_success and self._job.route.is_stream:
            return await self._take_stream(worker, at_worker, answer, sink, patience)
        match await answer.read():
            case Err(fault):
                return fault
            case Ok(body):
                self._workers.trust(worker)
                if not answer.head.is_success:
                    return WorkerFailed(head=answer.head, body=body)
                self._delivery.begin()
                await sink.whole(answer.head, body)
                return Answered()

    async def _take_stream(
        self,
        worker: Worker,
        at_worker: OpenRequest,
        answer: OpenAnswer,
        sink: CallerSink,
        patience: asyncio.Timeout,
    ) -> Sent:
        """Pass events on as they come; each one renews the patience."""
        loop = asyncio.get_running_loop()
        try:
            is_first = True
            async for event in in_order(answer.events(), self._last_event):
                if is_first:
                    is_first = False
                    self._workers.trust(worker)
                    at_worker.read()
                    self._inputs.read()
                if not self._delivery.is_begun:
                    self._delivery.begin()
                    await sink.begin(answer.head)
                self._last_event = event.number
                await sink.event(event)
                patience.reschedule(loop.time() + gap_s(self._job, n_sent=self._n_sent))
        except StreamBrokenError:
            return CallFault.BROKEN
        if not self._delivery.is_begun:
            return CallFault.BROKEN
        await sink.end()
        return Answered()

    def _note(self, event: Event, worker: Worker, reason: Reason = Reason.NONE) -> None:
        job = self._job
        self._journal.record(
            Decision(
                event=event,
                request_id=job.request.request_id,
                entry=job.route.name,
                owner=job.account.name,
                stage=job.service,
                peer=worker.worker_id,
                reason=reason,
                figures=(
                    Figure(name="n_tried", value=self._n_sent),
                    Figure(
                        name="n_running", value=self._choice.n_open(worker.worker_id)
                    ),
                    Figure(name="budget_s", value=job.deadline_s - time.monotonic()),
                ),
            )
        )


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
