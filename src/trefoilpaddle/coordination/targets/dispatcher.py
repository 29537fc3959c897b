"""Queues attempts and starts them; no other module starts work at the target."""

import asyncio
import time
from typing import Final

from absl import logging
from result import Err, Ok, Result

from ...protocol.const import NS_PER_S
from ...protocol.errors import Failed, NotRun, StageError, Unknown
from ...protocol.gen.stage.ttypes import Load, OwnerLoad, Queued
from ...protocol.reasons import Reason
from ...state.catalogue import Service
from ...state.concurrency import SlotLimit
from ...state.journal import Event
from ...state.settings import PolicySettings
from ...state.work_queue import Work, WorkQueue
from ..requests.attempt_errors import not_started
from ..requests.attempt_outcomes import AttemptOutcomes, elapsed_s
from ..requests.attempt_run import AttemptRunner
from ..requests.attempts import Attempt, AttemptTable, Phase
from ..requests.drop_timers import DropTimers
from .intake import Intake
from .queue_policy import QueueDecision, decide_queueing
from .running_calls import RunningCalls
from .stage_journal import StageJournal
from .target_calls import CONNECT_STEP, DOWN_RETRY_S, CallOutcome, TargetCaller

DISCONNECT_GRACE_NS: Final = NS_PER_S
"""Queued work whose connection was lost longer ago is not started."""
TIMER_MARGIN_NS: Final = 2_000_000
"""Timers of the event loop run early by less than this."""
NEVER_NS: Final = (1 << 63) - 1
DEFAULT_MAX_QUEUE_S: Final = 30.0
"""Longest queue, in target-seconds, while the service is not in the catalogue."""
MAX_OWNER_LOADS: Final = 8
"""Owners listed in a load report: those with the most queued work."""


class Dispatcher:
    """Queues attempts and starts them while slots are free.

    Parameters
    ----------
    name : str
        The target's name.
    table : AttemptTable
        All attempts of this sidecar.
    queue : WorkQueue
        Decides in which order attempts start.
    slots : SlotLimit
        Limits how many calls run at once.
    caller : TargetCaller
        Calls the target.
    journal : StageJournal
        Records the decisions.
    policy : PolicySettings
        Which policies are enabled.
    """

    __slots__ = (
        "_exit_ns",
        "_journal",
        "_max_queue_s",
        "_name",
        "_outcomes",
        "_policy",
        "_queue",
        "_runner",
        "_running",
        "_table",
        "_timers",
        "intake",
    )

    def __init__(
        self,
        *,
        name: str,
        table: AttemptTable,
        queue: WorkQueue,
        slots: SlotLimit,
        caller: TargetCaller,
        journal: StageJournal,
        policy: PolicySettings,
    ) -> None:
        self._name = name
        self._table = table
        self._queue = queue
        self._journal = journal
        self._policy = policy
        self._max_queue_s = DEFAULT_MAX_QUEUE_S
        self._exit_ns = NEVER_NS
        self._running = RunningCalls(limit=slots)
        self._timers = DropTimers(on_due=self._drop_late)
        self._outcomes = AttemptOutcomes(
            table=table, journal=journal, read_load=self.load
        )
        self._runner = AttemptRunner(
            name=name,
            caller=caller,
            journal=journal,
            drops_expired=policy.drop_expired,
        )
        self.intake = Intake()

    def load(self) -> Load:
        """Return the current load report of this sidecar."""
        now_ns = time.monotonic_ns()
        intake = self.intake
        return Load(
            stamp_ns=now_ns,
            n_running=len(self._running),
            n_queued=len(self._queue),
            n_slots=self._running.limit.n_slots,
            queued_work_s=self._queue.work_s,
            running_work_s=sum(self._running.remaining_s(now_ns)),
            leaving=intake.is_leaving,
            config_revision=intake.revision,
            slowness=self._running.slowness(now_ns),
            target_up=intake.is_target_up,
            reported_age_ms=intake.reported_age_ms,
            owners=_owner_loads(self._queue),
        )

    def set_service(self, service: Service) -> None:
        """Apply the catalogue's settings for the target's service."""
        self._max_queue_s = service.max_queue_s
        self.intake.reports_load = service.reports_load
        self._running.limit.set_base(service.n_slots)
        self.start_queued()

    def set_target_up(self, *, is_up: bool) -> None:
        """Record whether the target answers; reject queued work if it does not."""
        if is_up == self.intake.is_target_up:
            return
        self.intake.is_target_up = is_up
        self._journal.record_target_state(is_up=is_up)
        if not is_up:
            self.reject_queued(Reason.TARGET_DOWN, retry_after_s=DOWN_RETRY_S)

    def begin_leaving(self, *, within_s: float) -> None:
        """Refuse new work, and start only calls that can end within `within_s`.

        A call that starts shortly before the process exits is interrupted. It is
        then unknown what the call did, and a caller that may not repeat it waits
        until its deadline, although "not run" was true before the start.

        Parameters
        ----------
        within_s : float
            Seconds until the process exits.
        """
        self.intake.is_leaving = True
        self._exit_ns = time.monotonic_ns() + int(within_s * NS_PER_S)
        for attempt in self._table.open_attempts():
            if attempt.phase is Phase.WAITING and attempt.work is not None:
                self._set_timer(attempt, attempt.work)

    def predicted_wait_s(self) -> float:
        """Return the predicted seconds until all queued work has started."""
        slots = self._running.slot_snapshot(time.monotonic_ns())
        return slots.wait_s(self._queue.work_s)

    def expire_at_deadline(self, attempt: Attempt) -> None:
        """Answer `attempt` at its deadline if it has not started by then."""
        self._timers.arm(attempt, at_ns=attempt.deadline_ns)

    def latest_start_ns(self, attempt: Attempt) -> int:
        """Return the latest time at which `attempt` may start and be on time."""
        return self._running.latest_start_ns(
            attempt, n_waiting=len(self._queue), now_ns=time.monotonic_ns()
        )

    def submit(self, attempt: Attempt, work: Work) -> None:
        """Start, queue or refuse an attempt whose complete body has arrived."""
        now_ns = time.monotonic_ns()
        attempt.work = work
        attempt.phase = Phase.WAITING
        attempt.stop_timer()
        if self._running.has_free_slot() and not len(self._queue):
            # It passes through the queue so that its owner is charged for the slot.
            self._queue.push(work)
            self.start_queued()
            return
        decision = decide_queueing(
            work,
            queue=self._queue,
            slots=self._running.slot_snapshot(now_ns),
            now_ns=now_ns,
            max_queue_s=self._max_queue_s,
            refuses_early=self._policy.refuse_early,
        )
        if decision.reason:
            self._refuse(attempt, decision)
            return
        self._displace(decision)
        self._queue.push(work)
        self._report_queued(attempt, decision)
        self._set_timer(attempt, work)
        self.start_queued()

    def start_queued(self) -> None:
        """Start queued attempts while slots are free."""
        while self._running.has_free_slot():
            now_ns = time.monotonic_ns()
            work = self._queue.pop(now_ns=now_ns)
            if work is None:
                return
            attempt = self._table.get(work.attempt_id)
            if attempt is None:
                logging.error(
                    "queued attempt %s is not in the table", work.attempt_id.hex()
                )
                continue
            self._start(attempt, now_ns=now_ns)

    def withdraw(
        self,
        attempt: Attempt,
        reason: Reason,
        *,
        detail: str = "it was taken out before it started",
        retry_after_s: float = 0.0,
    ) -> bool:
        """Prevent an attempt from starting; return False if it may have started.

        After True no part of it reaches the target, even if its call is being
        prepared at this moment: the call's guard checks again right before the
        first byte is sent.
        """
        match attempt.phase:
            case Phase.DONE:
                return False
            case Phase.RUNNING if attempt.is_sent():
                return False
        attempt.cancel_reason = reason
        if attempt.work is not None:
            self._queue.remove(attempt.work)
        self._free_slot(attempt)
        error = not_started(
            reason, peer=self._name, detail=detail, retry_after_s=retry_after_s
        )
        self._end_not_run(attempt, error)
        return True

    def cancel(self, attempt: Attempt) -> None:
        """Withdraw an attempt, or stop its call if the work is idempotent.

        The held answer of an idempotent attempt that has ended is released.
        """
        if self.withdraw(attempt, Reason.CANCELLED) or not attempt.start.idempotent:
            return
        if attempt.phase is Phase.DONE:
            self._table.release(attempt.attempt_id)
        elif attempt.task is not None:
            attempt.task.cancel()

    def reject_queued(self, reason: Reason, *, retry_after_s: float = 0.0) -> None:
        """Answer attempts that are queued or being received as not run."""
        for attempt in self._table.open_attempts():
            if attempt.phase in (Phase.RECEIVING, Phase.WAITING):
                self.withdraw(attempt, reason, retry_after_s=retry_after_s)

    def _refuse(self, attempt: Attempt, decision: QueueDecision) -> None:
        error = NotRun(
            reason=decision.reason,
            step="queue",
            peer=self._name,
            detail=f"it would wait {decision.wait_s:.3f} s here",
            retry_after_s=decision.retry_after_s,
        )
        self._end_not_run(attempt, error)

    def _displace(self, decision: QueueDecision) -> None:
        for work in decision.displaced:
            other = self._table.get(work.attempt_id)
            if other is not None:
                self.withdraw(
                    other,
                    decision.displaced_reason,
                    detail="it gave way, since not all that waits can be in time",
                    retry_after_s=self.predicted_wait_s(),
                )

    def _report_queued(self, attempt: Attempt, decision: QueueDecision) -> None:
        attempt.stream.send_uncredited(
            Queued(
                attempt_id=attempt.attempt_id,
                predicted_wait_s=decision.wait_s,
                n_ahead=decision.n_ahead,
            )
        )
        self._journal.record(
            Event.QUEUED,
            attempt,
            n_ahead=decision.n_ahead,
            predicted_wait_s=decision.wait_s,
            predicted_s=attempt.start.predicted_s,
            budget_s=(attempt.finish_by_ns - attempt.received_ns) / NS_PER_S,
        )

    def _set_timer(self, attempt: Attempt, work: Work) -> None:
        """Set a timer that drops queued work as soon as it is known to be late.

        The work is answered at that moment rather than when its turn comes, so
        that it can still be sent to another target.
        """
        latest_ns = self._latest_start_before_exit_ns(attempt)
        if self._policy.drop_expired:
            latest_ns = min(latest_ns, attempt.deadline_ns)
            if self._policy.refuse_early:
                latest_ns = min(latest_ns, work.latest_start_ns)
        if latest_ns < NEVER_NS:
            self._timers.arm(attempt, at_ns=latest_ns)

    def _latest_start_before_exit_ns(self, attempt: Attempt) -> int:
        """Return the latest start with which a call ends before the process exits."""
        if self._exit_ns == NEVER_NS:
            return NEVER_NS
        slowness = self._running.slowness(time.monotonic_ns())
        need_s = max(0.0, attempt.start.predicted_s) * slowness
        return self._exit_ns - int(need_s * NS_PER_S)

    def _drop_late(self, attempt: Attempt) -> None:
        now_ns = time.monotonic_ns()
        if now_ns >= attempt.deadline_ns - TIMER_MARGIN_NS:
            self.withdraw(attempt, Reason.DEADLINE_PASSED)
            return
        if now_ns >= self._latest_start_before_exit_ns(attempt) - TIMER_MARGIN_NS:
            self.withdraw(attempt, Reason.LEAVING)
            return
        wait_s = self.predicted_wait_s()
        self.withdraw(attempt, Reason.PREDICTED_LATE, retry_after_s=wait_s)

    def _start(self, attempt: Attempt, *, now_ns: int) -> None:
        if self._timers.has_expired(
            attempt
        ) or now_ns > self._latest_start_before_exit_ns(attempt):
            self._drop_late(attempt)
            return
        attempt.stop_timer()
        if self._has_lost_connection(attempt, now_ns=now_ns):
            self.withdraw(attempt, Reason.CONNECTION_LOST)
            return
        attempt.phase = Phase.RESERVED
        attempt.started_ns = now_ns
        self._running.add(attempt, now_ns=now_ns)
        attempt.task = asyncio.create_task(self._run(attempt))

    def _has_lost_connection(self, attempt: Attempt, *, now_ns: int) -> bool:
        if attempt.stream.connection is not None:
            return False
        return now_ns - attempt.stream.detached_ns > DISCONNECT_GRACE_NS

    async def _run(self, attempt: Attempt) -> None:
        result = await self._runner.run(attempt, n_running=len(self._running))
        if attempt.phase is not Phase.DONE:
            self._end(attempt, result)

    def _free_slot(self, attempt: Attempt) -> None:
        """Free the slot of an attempt that holds one, once."""
        if not self._running.remove(attempt, now_ns=time.monotonic_ns()):
            return
        if attempt.task is not None and attempt.phase is not Phase.DONE:
            asyncio.get_running_loop().call_soon(self.start_queued)
            if attempt.cancel_reason:
                attempt.task.cancel()

    def _end(self, attempt: Attempt, result: Result[CallOutcome, StageError]) -> None:
        service_s = elapsed_s(attempt)
        if isinstance(result, Ok):
            self._record_answered(attempt)
        self._free_slot(attempt)
        match result:
            case Ok(outcome):
                self._settle_charge(attempt, used_s=outcome.cost_s or service_s)
                self._outcomes.answered(attempt, outcome, service_s=service_s)
            case Err(NotRun() as error):
                self._end_not_run(attempt, error)
                if error.step == CONNECT_STEP:
                    self.set_target_up(is_up=False)
            case Err(Failed() | Unknown() as error):
                self._settle_charge(attempt, used_s=service_s)
                self._outcomes.failed(attempt, error)

    def _end_not_run(self, attempt: Attempt, error: NotRun) -> None:
        self._settle_charge(attempt, used_s=0.0)
        self._outcomes.not_run(attempt, error)

    def _settle_charge(self, attempt: Attempt, *, used_s: float) -> None:
        if attempt.work is not None:
            self._queue.correct_charge(attempt.work, used_s=used_s)

    def _record_answered(self, attempt: Attempt) -> None:
        limit = self._running.limit
        n_before = limit.n_slots
        self._running.record_answered(attempt, now_ns=time.monotonic_ns())
        if limit.n_slots != n_before:
            self._journal.record_slots(n_before=n_before, n_slots=limit.n_slots)


def _owner_loads(queue: WorkQueue) -> list[OwnerLoad]:
    """Return the owners with the most queued work.

    Gateways predict the wait of an owner's calls from it.
    """
    loads = sorted(queue.by_owner(), key=lambda load: load.work_s, reverse=True)
    return [
        OwnerLoad(owner=load.owner, queued_work_s=load.work_s, weight=load.weight)
        for load in loads[:MAX_OWNER_LOADS]
    ]
