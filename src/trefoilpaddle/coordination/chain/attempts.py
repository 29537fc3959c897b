"""Sends one request to workers until one answers or no attempt is left."""

import functools
import math
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from ...protocol.reasons import Reason
from ...state.chain.delivery import Delivery, Step
from ...state.chain.repeat_budget import RepeatBudget
from ...state.chain.requests import Answered, Failed, Outcome, Refused
from ...state.chain.retry_times import spread_retry_s
from ...state.chain.target_answers import CallFault
from ...state.chain.workers import EVACUATED_RETRY_S, Worker, WorkerTable
from ...state.journal import Event, Journal
from .attempt_log import AttemptLog
from .caller_sink import CallerSink
from .crash_guard import CrashGuard
from .job import Job
from .send_limits import SendLimits
from .service_lease import HeldSlot, HoldSlot, unlimited_slot
from .stream_backup import StreamBackup
from .target_calls import TargetCalls
from .view_lease import ViewLease
from .worker_choice import Need, WorkerChoice
from .worker_exchange import Inputs, NotSent, WorkerExchange, WorkerFailed

MAX_NOT_RUN: Final = 4
"""Maximum number of attempts that fail without the request having been run."""

REASON_OF: Final = {
    CallFault.UNREACHABLE: Reason.TARGET_DOWN,
    CallFault.REFUSED: Reason.TARGET_DOWN,
    CallFault.FULL: Reason.QUEUE_FULL,
    CallFault.MOVED: Reason.TARGET_DOWN,
    CallFault.INPUTS_GONE: Reason.RESULT_GONE,
    CallFault.BROKEN: Reason.CONNECTION_LOST,
    CallFault.SILENT: Reason.TARGET_TIMEOUT,
}

NO_ROOM: Final = frozenset({Reason.QUEUE_FULL, Reason.NO_TARGET})
"""Reasons of a request that no worker has begun, as none had room for it."""

UNANSWERED_RETRY_S: Final = 0.5
"""Retry-After in seconds once no worker has answered; two calls of a stage."""


def _ignore(worker: Worker) -> None:
    pass


async def _nowhere_else() -> bool:
    """Prepare nothing: the request can go on at no other worker."""
    return False


class Attempts:
    """The attempts of one request.

    Parameters
    ----------
    job : Job
        The request.
    inputs : Inputs
        The stage results that the request takes as inputs.
    need : Need
        What the request requires of a worker.
    workers, choice, calls, budget, journal
        As for the request path.
    delivery : Delivery
        Records how far the request has come.
    guard : CrashGuard
        Watches the runs of the request at workers.
    send_limits : SendLimits
        Limits what is sent to workers that bear few requests.
    on_begin : callable
        Called with the worker that sends the first event of a stream.
    hold_slot : callable
        Returns the context in which the request holds a slot of its service.
    backup : StreamBackup or None
        The copy of the stream at a second worker; None if it gets none.
    lease : ViewLease or None
        By which a stream begins that may be resumed; None for all other requests.
    assigned_version : callable
        Returns the only version at which the request may begin now; None if it may
        begin at any.
    origin_source : str
        Where the version that began the stream is known from, for the log.
    send_until_s : callable
        Returns the monotonic time until which the request may be sent to workers.
    """

    __slots__ = (
        "_assigned_version",
        "_backup",
        "_budget",
        "_choice",
        "_delivery",
        "_exchange",
        "_guard",
        "_held",
        "_hold_slot",
        "_inputs",
        "_is_next_ready",
        "_job",
        "_lease",
        "_log",
        "_n_not_run",
        "_need",
        "_origin_source",
        "_send_limits",
        "_send_until_s",
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
        guard: CrashGuard,
        send_limits: SendLimits,
        on_begin: Callable[[Worker], None] = _ignore,
        hold_slot: HoldSlot = unlimited_slot,
        backup: StreamBackup | None = None,
        assigned_version: Callable[[], str | None] = lambda: None,
        lease: ViewLease | None = None,
        origin_source: str = "",
        send_until_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self._send_until_s = send_until_s
        self._assigned_version = assigned_version
        self._lease = lease
        self._backup = backup
        self._origin_source = origin_source
        self._hold_slot = hold_slot
        self._send_limits = send_limits
        self._job = job
        self._delivery = delivery
        self._inputs = inputs
        self._need = need
        self._workers = workers
        self._choice = choice
        self._exchange = WorkerExchange(
            job=job,
            inputs=inputs,
            need=need,
            workers=workers,
            choice=choice,
            calls=calls,
            delivery=delivery,
            guard=guard,
            on_begin=on_begin,
        )
        self._held = self._exchange.held
        self._guard = guard
        self._budget = budget
        self._log = AttemptLog(journal=journal, job=job, exchange=self._exchange)
        self._tried: set[str] = set()
        self._n_not_run = 0
        self._is_next_ready = False

    def stop_retrying(self) -> None:
        """Send the request to no other worker, as its caller has left."""
        self._delivery.close()

    async def run(self, sink: CallerSink) -> Outcome:
        """Send the request to workers in turn and return its outcome.

        A request whose account has used its share waits for a slot first.
        """
        self._delivery.step = Step.SLOT
        async with self._hold_slot(self._job) as held:
            match held:
                case Refused(reason=reason, retry_after_s=retry_s, detail=detail):
                    return self._delivery.failure_outcome(
                        reason, retry_after_s=retry_s, detail=detail
                    )
                case HeldSlot():
                    self._held = self._exchange.held = held
                    try:
                        return await self._send_in_turn(sink)
                    finally:
                        self._end_copy(has_run=True)

    async def _send_in_turn(self, sink: CallerSink) -> Outcome:
        while True:
            if self._lease is not None and not self._has_begun():
                await self._lease.wait_confirmed()
            refusal = self._refusal()
            if refusal is not None:
                return self._delivery.failure_outcome(
                    refusal.reason,
                    retry_after_s=refusal.retry_after_s,
                    detail=refusal.detail,
                )
            worker = self._choose()
            if worker is None:
                return self._outcome_without_worker()
            self._delivery.step = Step.INPUTS
            handles = await self._inputs.get()
            if handles is None:
                return self._outcome_of(Reason.RESULT_GONE)
            self._delivery.step = Step.EXIT_CHECK
            may_run = await self._guard.may_run_at(
                worker, (self._job.fingerprint,), self._job.parts
            )
            if self._delivery.is_closed:
                # The caller left, or was answered that the request has not run, during
                # one of the waits above.
                return self._outcome_of(Reason.CANCELLED)
            if not may_run:
                reason = REASON_OF[CallFault.UNREACHABLE]
                self._record_fault(CallFault.UNREACHABLE, worker)
                if not self._may_retry(reason, worker):
                    return self._outcome_of(reason)
                continue
            is_refused = self._refusal() is not None
            if is_refused or not self._workers.may_receive(worker):
                continue
            if not self._is_assigned(worker):
                continue
            if not self._send_limits.take(worker):
                continue
            self._record(Event.ROUTED, worker)
            begun = self._software_version()
            if begun is not None:
                self._log.record_resumption(
                    worker, begun=begun, source=self._origin_source
                )
            backup = self._begin_copy(worker)
            n_sent = self._exchange.n_sent + 1
            match await self._exchange.send(
                worker,
                handles,
                sink,
                backup=backup,
                prepare_next=functools.partial(self._prepare_next, worker, n_sent),
            ):
                case Answered() as answered:
                    self._held.has_run = True
                    self._choice.record_answer(worker)
                    return answered
                case WorkerFailed() as failed:
                    if failed.head.is_worker_failure:
                        self._choice.record_failure(worker)
                    else:
                        self._choice.record_answer(worker)
                    if not self._may_retry(Reason.TARGET_FAILED, worker):
                        return await self._pass_failure_on(worker, failed, sink)
                case NotSent():
                    return self._outcome_of(Reason.CANCELLED)
                case CallFault() as fault:
                    self._record_fault(fault, worker)
                    if self._job.may_repeat:
                        await self._guard.wait_for_exit_check(worker)
                    outcome = await self._go_on(worker, sink)
                    if outcome is not None:
                        return outcome
                    self._end_copy(has_run=not fault.has_not_run)
                    if not self._may_retry(REASON_OF[fault], worker):
                        return self._outcome_of(REASON_OF[fault])

    def _begin_copy(self, worker: Worker) -> Worker | None:
        """Return the worker that gets a copy of the run at `worker`, or None."""
        self._end_copy(has_run=True)
        prompt = self._need.prompt
        if self._backup is None or prompt is None:
            return None
        return self._backup.begin(
            worker,
            n_unread=self._choice.unread_tokens(worker.worker_id, prompt),
            is_suspect=self._guard.is_suspect(self._job.fingerprint, self._job.parts),
            without=self._guard.isolating_workers(),
        )

    def _end_copy(self, *, has_run: bool) -> None:
        if self._backup is not None:
            self._backup.end(has_run=has_run)

    async def _go_on(self, worker: Worker, sink: CallerSink) -> Outcome | None:
        """Let the run of a stream that was cut go on at the worker with its copy.

        The connection to the first worker was closed by its side and is closed here as
        well, so that the run does not go on at two workers.

        Returns
        -------
        Outcome or None
            The final outcome, or None if nothing was sent.
        """
        backup = self._backup
        if backup is None or not self._exchange.is_cut or backup.target() is None:
            return None
        await self._guard.wait_for_exit_check(worker)
        handles = await self._inputs.get()
        at = backup.target()
        if handles is None or at is None:
            return None
        may_run = await self._guard.may_run_at(
            at, (self._job.fingerprint,), self._job.parts
        )
        if (
            not may_run
            or self._delivery.is_closed
            or self._refusal() is not None
            or self._guard.is_suspect(self._job.fingerprint, self._job.parts)
            or backup.target() is None
            or not self._send_limits.take(at)
            or not self._budget.spend(time.monotonic())
        ):
            return None
        self._log.record_move(worker, at)
        match await self._exchange.send(
            at, handles, sink, goes_on=True, prepare_next=_nowhere_else
        ):
            case Answered() as answered:
                self._held.has_run = True
                return answered
            case WorkerFailed():
                return Failed(reason=Reason.TARGET_FAILED, is_begun=True)
            case NotSent():
                pass
            case CallFault.FULL:
                # Most probably there is no copy, which says nothing about the load.
                pass
            case CallFault() as fault:
                self._record_fault(fault, at)
        return self._outcome_of(Reason.CONNECTION_LOST)

    def _refusal(self) -> Refused | None:
        """Return why the request must not be sent to a worker now, or None."""
        refusal = self._guard.refusal(self._job.fingerprint, self._job.parts)
        if refusal is None and self._lease is not None and not self._has_begun():
            return self._lease.refusal()
        return refusal

    def _has_begun(self) -> bool:
        return self._exchange.begun_at is not None

    def _is_assigned(self, worker: Worker) -> bool:
        """Return True unless a stream must by now begin at another version."""
        version = self._software_version() or self._assigned_version()
        return version is None or version == worker.software_version

    async def _prepare_next(self, silent: Worker, n_sent: int) -> bool:
        """Return True once the request can go on at another worker.

        Its inputs are computed again if need be, and a repeat is spent.

        Parameters
        ----------
        silent : Worker
            The worker that has the request now.
        n_sent : int
            Number of workers that the request was sent to, including this one.
        """
        self._workers.mark_suspect(silent)
        if not self._can_go_on(silent, n_sent):
            return False
        handles = await self._inputs.get()
        self._is_next_ready = (
            handles is not None
            and self._can_go_on(silent, n_sent)
            and self._budget.spend(time.monotonic())
        )
        return self._is_next_ready

    def _can_go_on(self, silent: Worker, n_sent: int) -> bool:
        """Return True if the request may be sent to another worker than `silent`."""
        return (
            self._may_send_again(n_sent, may_have_run=True)
            and time.monotonic() < self._send_until_s()
            and self._budget.has_left(time.monotonic())
            and self._refusal() is None
            and self._choose(without=frozenset({silent.worker_id})) is not None
        )

    def _choose(self, *, without: frozenset[str] = frozenset()) -> Worker | None:
        """Return the next worker, or None if there is none.

        A worker at which a suspect request runs is used only if there is no other.
        """
        service = self._job.worker_service()
        tried = self._send_limits.exhausted(service.name) | self._tried | without
        # What two software versions write does not fit together.
        version = self._software_version() or self._assigned_version()
        need = replace(self._need, software_version=version)
        if self._guard.is_suspect(self._job.fingerprint, self._job.parts):
            # A suspect goes to the worker with the fewest open requests, even if
            # another one has its prompt in the cache.
            need = replace(need, prompt=None, is_suspect=True)
        isolating = self._guard.isolating_workers()
        if isolating:
            worker = self._choice.choose(service, need, without=tried | isolating)
            if worker is not None:
                return worker
        return self._choice.choose(service, need, without=tried)

    def _software_version(self) -> str | None:
        """Return the version that began the stream; None before its first event."""
        begun_at = self._exchange.begun_at
        if begun_at is None:
            return self._need.software_version
        return begun_at.software_version

    def _record_fault(self, fault: CallFault, worker: Worker) -> None:
        """Record what a fault implies about the worker and the request."""
        self._tried.add(worker.worker_id)
        is_over = fault is CallFault.SILENT and not self._is_next_ready
        ended = "deadline passed" if is_over else fault.value
        self._delivery.record_obstacle(f"{ended} at {worker.worker_id}")
        if fault is CallFault.INPUTS_GONE:
            self._inputs.mark_lost()
        if fault is CallFault.FULL:
            self._choice.record_shed(worker)
        if fault is CallFault.BROKEN:
            self._choice.record_failure(worker)
        if fault is CallFault.FULL and time.monotonic() < self._job.deadline_s:
            self._held.shed_by.append(worker.worker_id)
        if fault.has_not_run:
            self._n_not_run += 1
        else:
            self._delivery.may_have_run = True
        if fault is not CallFault.FULL and fault is not CallFault.INPUTS_GONE:
            self._workers.mark_suspect(worker)

    def _may_retry(self, reason: Reason, worker: Worker) -> bool:
        """Return True if the request may go to another worker.

        Spends a repeat of the budget if the request was sent before.
        """
        self._tried.add(worker.worker_id)
        if reason is Reason.TARGET_FAILED:
            self._delivery.may_have_run = True
        n_sent = self._exchange.n_sent
        if not self._may_send_again(
            n_sent, may_have_run=self._delivery.may_have_run
        ) or not self._spend_repeat(reason, n_sent):
            return False
        self._record(Event.RETRIED, worker, reason)
        return True

    def _spend_repeat(self, reason: Reason, n_sent: int) -> bool:
        """Spend a repeat if the request was sent before; return False without one.

        For a request at a silent worker it was spent when the next attempt was ready.
        """
        if reason is Reason.TARGET_TIMEOUT:
            is_ready, self._is_next_ready = self._is_next_ready, False
            return is_ready
        return not n_sent or self._budget.spend(time.monotonic())

    def _may_send_again(self, n_sent: int, *, may_have_run: bool) -> bool:
        """Return True if the request may be sent to a further worker.

        Parameters
        ----------
        n_sent : int
            Number of workers that the request was sent to.
        may_have_run : bool
            True if one of them may have run it.
        """
        job = self._job
        return not (
            self._delivery.is_closed
            or (may_have_run and not job.may_repeat)
            or (self._delivery.is_begun and not job.route.is_resumable)
            or n_sent >= job.route.max_attempts
            or self._n_not_run >= MAX_NOT_RUN
            or time.monotonic() >= job.deadline_s
        )

    def _outcome_of(self, reason: Reason) -> Outcome:
        """Return the outcome of a request that no worker has answered."""
        rested_in_s = self._workers.rested_in_s(self._job.service)
        if rested_in_s is not None and reason in NO_ROOM:
            return self._delivery.failure_outcome(
                Reason.RESTING_TARGETS, retry_after_s=spread_retry_s(rested_in_s)
            )
        return self._delivery.failure_outcome(reason, retry_after_s=UNANSWERED_RETRY_S)

    def _outcome_without_worker(self) -> Outcome:
        """Return the outcome of a request for which there is no further worker."""
        version = self._software_version()
        if version is not None and not self._workers.has_version(
            self._job.service, version
        ):
            return self._outcome_of(Reason.VERSION_GONE)
        if not self._tried and self._workers.is_evacuated(self._job.service):
            return self._delivery.failure_outcome(
                Reason.EVACUATED, retry_after_s=EVACUATED_RETRY_S
            )
        refusal = self._send_limits.refusal(self._job.service)
        if refusal is not None:
            reason, retry_after_s = refusal
            return self._delivery.failure_outcome(reason, retry_after_s=retry_after_s)
        return self._outcome_of(Reason.NO_TARGET)

    async def _pass_failure_on(
        self, worker: Worker, failed: WorkerFailed, sink: CallerSink
    ) -> Outcome:
        """Pass a worker's failure on unchanged, unless it would mislead the caller.

        A request that may run once has run at the worker. Passed on, a status that
        promises the opposite would make the caller send the request again.
        """
        if self._delivery.is_begun:
            return Failed(reason=Reason.TARGET_FAILED, is_begun=True)
        status = failed.head.status
        if failed.head.promises_not_run and not self._job.may_repeat:
            detail = f"{worker.worker_id} ran the request and answered {status}"
            return Failed(reason=Reason.TARGET_FAILED, detail=detail)
        self._delivery.begin_answer()
        await sink.whole(failed.head, failed.body)
        return Answered(worker_id=worker.worker_id, status=status)

    def _record(
        self, event: Event, worker: Worker, reason: Reason = Reason.NONE
    ) -> None:
        self._log.record_attempt(
            event,
            worker,
            n_running=self._choice.n_open(worker.worker_id),
            list_age_s=math.inf if self._lease is None else self._lease.age_s,
            reason=reason,
        )
