"""The one place that starts work at the target: queue, slots, withdrawal."""

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
from .queue_policy import Verdict, judge
from .running_calls import RunningCalls
from .stage_journal import StageJournal
from .target_calls import CONNECT_STEP, DOWN_RETRY_S, CallEnd, TargetCaller

LOST_GRACE_NS: Final = NS_PER_S
"""How long waiting work outlives its connection."""
TIMER_MARGIN_NS: Final = 2_000_000
"""More than a timer of the event loop comes early."""
NEVER_NS: Final = (1 << 63) - 1
DEFAULT_MAX_QUEUE_S: Final = 30.0
"""Longest queue while the service is not in the catalogue."""
MAX_OWNER_LOADS: Final = 8
"""Owners named in a load report, those with the most waiting work."""


class Dispatcher:
    """Queues attempts and starts them while slots are free.

    Parameters
    ----------
    name : str
        The target's name.
    table : AttemptTable
        All attempts.
    queue : WorkQueue
        Decides the order.
    slots : SlotLimit
        How many calls run at once.
    caller : TargetCaller
        Calls the target.
    journal : StageJournal
        Takes the decisions.
    policy : PolicySettings
        Which policies are on.
    """

    __slots__ = (
        "_ends",
        "_journal",
        "_last_ns",
        "_max_queue_s",
        "_name",
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
        self._last_ns = NEVER_NS
        self._running = RunningCalls(limit=slots)
        self._timers = DropTimers(on_due=self._drop_late)
        self._ends = AttemptOutcomes(table=table, journal=journal, read_load=self.load)
        self._runner = AttemptRunner(
            name=name,
            caller=caller,
            journal=journal,
            drops_expired=policy.drop_expired,
        )
        self.intake = Intake()

    def load(self) -> Load:
        """Return what this sidecar says of itself now."""
        now_ns = time.monotonic_ns()
        intake = self.intake
        return Load(
            stamp_ns=now_ns,
            n_running=len(self._running),
            n_queued=len(self._queue),
            n_slots=self._running.limit.n_slots,
            queued_work_s=self._queue.work_s,
            running_work_s=sum(self._running.left_s(now_ns)),
            leaving=intake.is_leaving,
            config_revision=intake.revision,
            slowness=self._running.slowness(now_ns),
            target_up=intake.is_target_up,
            reported_age_ms=intake.reported_age_ms,
            owners=_owner_loads(self._queue),
        )

    def set_service(self, service: Service) -> None:
        """Take what the catalogue says of the target's service."""
        self._max_queue_s = service.max_queue_s
        self.intake.reports_load = service.reports_load
        self._running.limit.set_base(service.n_slots)
        self.start_waiting()

    def set_target_up(self, *, is_up: bool) -> None:
        """Take whether the target answers; what waits for a dead one goes back."""
        if is_up == self.intake.is_target_up:
            return
        self.intake.is_target_up = is_up
        self._journal.target(is_up=is_up)
        if not is_up:
            self.give_back_waiting(Reason.TARGET_DOWN, retry_after_s=DOWN_RETRY_S)

    def leave(self, *, within_s: float) -> None:
        """Refuse new work, and begin only what can end within that time.

        Guards against calls that are begun shortly before the process ends and cut
        off then: nobody knows what they did, and who may not repeat them waits for
        them until the deadline, though "not run" was still true.
        """
        self.intake.is_leaving = True
        self._last_ns = time.monotonic_ns() + int(within_s * NS_PER_S)
        for attempt in self._table.open_attempts():
            if attempt.phase is Phase.WAITING and attempt.work is not None:
                self._set_timer(attempt, attempt.work)

    def predicted_wait_s(self) -> float:
        """Return the seconds until all that waits should have started."""
        slots = self._running.slots(time.monotonic_ns())
        return slots.wait_s(self._queue.work_s)

    def expire_at_deadline(self, attempt: Attempt) -> None:
        """Answer an attempt that has not started by its deadline at once."""
        self._timers.arm(attempt, at_ns=attempt.deadline_ns)

    def latest_start_ns(self, attempt: Attempt) -> int:
        """Return the last moment at which `attempt` may start to be in time."""
        return self._running.latest_start_ns(
            attempt, n_waiting=len(self._queue), now_ns=time.monotonic_ns()
        )

    def offer(self, attempt: Attempt, work: Work) -> None:
        """Take in an attempt whose body is whole: start it, queue it or refuse it."""
        now_ns = time.monotonic_ns()
        attempt.work = work
        attempt.phase = Phase.WAITING
        attempt.stop_timer()
        if self._running.has_free() and not len(self._queue):
            # Through the queue all the same: its owner is charged for the slot.
            self._queue.push(work)
            self.start_waiting()
            return
        verdict = judge(
            work,
            queue=self._queue,
            slots=self._running.slots(now_ns),
            now_ns=now_ns,
            max_queue_s=self._max_queue_s,
            refuses_early=self._policy.refuse_early,
        )
        if verdict.reason:
            self._refuse(attempt, verdict)
            return
        self._displace(verdict)
        self._queue.push(work)
        self._announce(attempt, verdict)
        self._set_timer(attempt, work)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start what waits while slots are free."""
        while self._running.has_free():
            now_ns = time.monotonic_ns()
            work = self._queue.pop(now_ns=now_ns)
            if work is None:
                return
            attempt = self._table.get(work.attempt_id)
            if attempt is None:
                logging.error("queued attempt %s is unknown", work.attempt_id.hex())
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
        """Make sure that an attempt never starts; return False if it has.

        After True nothing of it reaches the target, also when its call is being
        prepared at this moment: its guard asks again right before the first
        byte leaves.
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
        """Stop an attempt as far as it may be stopped."""
        if self.withdraw(attempt, Reason.CANCELLED) or not attempt.start.idempotent:
            return
        if attempt.phase is Phase.DONE:
            self._table.release(attempt.attempt_id)
        elif attempt.task is not None:
            attempt.task.cancel()

    def give_back_waiting(self, reason: Reason, *, retry_after_s: float = 0.0) -> None:
        """Answer all that waits as not run."""
        for attempt in self._table.open_attempts():
            if attempt.phase in (Phase.RECEIVING, Phase.WAITING):
                self.withdraw(attempt, reason, retry_after_s=retry_after_s)

    def _refuse(self, attempt: Attempt, verdict: Verdict) -> None:
        error = NotRun(
            reason=verdict.reason,
            step="queue",
            peer=self._name,
            detail=f"it would wait {verdict.wait_s:.3f} s here",
            retry_after_s=verdict.retry_after_s,
        )
        self._end_not_run(attempt, error)

    def _displace(self, verdict: Verdict) -> None:
        for work in verdict.displaced:
            other = self._table.get(work.attempt_id)
            if other is not None:
                self.withdraw(
                    other,
                    verdict.displaced_for,
                    detail="it gave way, since not all that waits can be in time",
                    retry_after_s=self.predicted_wait_s(),
                )

    def _announce(self, attempt: Attempt, verdict: Verdict) -> None:
        attempt.stream.send_uncredited(
            Queued(
                attempt_id=attempt.attempt_id,
                predicted_wait_s=verdict.wait_s,
                n_ahead=verdict.n_ahead,
            )
        )
        self._journal.note(
            Event.QUEUED,
            attempt,
            n_ahead=verdict.n_ahead,
            predicted_wait_s=verdict.wait_s,
            predicted_s=attempt.start.predicted_s,
            budget_s=(attempt.finish_by_ns - attempt.received_ns) / NS_PER_S,
        )

    def _set_timer(self, attempt: Attempt, work: Work) -> None:
        """Drop waiting work as soon as it is known to be late.

        It is answered at that moment, not when its turn comes, so that its
        caller can still go elsewhere.
        """
        latest_ns = self._last_start_ns(attempt)
        if self._policy.drop_expired:
            latest_ns = min(latest_ns, attempt.deadline_ns)
            if self._policy.refuse_early:
                latest_ns = min(latest_ns, work.latest_start_ns)
        if latest_ns < NEVER_NS:
            self._timers.arm(attempt, at_ns=latest_ns)

    def _last_start_ns(self, attempt: Attempt) -> int:
        """Return the last moment at which it could start and end before this ends."""
        if self._last_ns == NEVER_NS:
            return NEVER_NS
        slowness = self._running.slowness(time.monotonic_ns())
        need_s = max(0.0, attempt.start.predicted_s) * slowness
        return self._last_ns - int(need_s * NS_PER_S)

    def _drop_late(self, attempt: Attempt) -> None:
        now_ns = time.monotonic_ns()
        if now_ns >= attempt.deadline_ns - TIMER_MARGIN_NS:
            self.withdraw(attempt, Reason.DEADLINE_PASSED)
            return
        if now_ns >= self._last_start_ns(attempt) - TIMER_MARGIN_NS:
            self.withdraw(attempt, Reason.LEAVING)
            return
        wait_s = self.predicted_wait_s()
        self.withdraw(attempt, Reason.PREDICTED_LATE, retry_after_s=wait_s)

    def _start(self, attempt: Attempt, *, now_ns: int) -> None:
        if self._timers.has_expired(attempt) or now_ns > self._last_start_ns(attempt):
            self._drop_late(attempt)
            return
        attempt.stop_timer()
        if self._is_abandoned(attempt, now_ns=now_ns):
            self.withdraw(attempt, Reason.CONNECTION_LOST)
            return
        attempt.phase = Phase.RESERVED
        attempt.started_ns = now_ns
        self._running.add(attempt, now_ns=now_ns)
        attempt.task = asyncio.create_task(self._run(attempt))

    def _is_abandoned(self, attempt: Attempt, *, now_ns: int) -> bool:
        if attempt.stream.connection is not None:
            return False
        return now_ns - attempt.stream.detached_ns > LOST_GRACE_NS

    async def _run(self, attempt: Attempt) -> None:
        result = await self._runner.run(attempt, n_running=len(self._running))
        if attempt.phase is not Phase.DONE:
            self._end(attempt, result)

    def _free_slot(self, attempt: Attempt) -> None:
        """Free the slot of an attempt that holds one, once."""
        if not self._running.remove(attempt, now_ns=time.monotonic_ns()):
            return
        if attempt.task is not None and attempt.phase is not Phase.DONE:
            asyncio.get_running_loop().call_soon(self.start_waiting)
            if attempt.cancel_reason:
                attempt.task.cancel()

    def _end(self, attempt: Attempt, result: Result[CallEnd, StageError]) -> None:
        service_s = elapsed_s(attempt)
        if isinstance(result, Ok):
            self._learn(attempt)
        self._free_slot(attempt)
        match result:
            case Ok(end):
                self._settle(attempt, used_s=end.cost_s or service_s)
                self._ends.answered(attempt, end, service_s=service_s)
            case Err(NotRun() as error):
                self._end_not_run(attempt, error)
                if error.step == CONNECT_STEP:
                    self.set_target_up(is_up=False)
            case Err(Failed() | Unknown() as error):
                self._settle(attempt, used_s=service_s)
                self._ends.failed(attempt, error)

    def _end_not_run(self, attempt: Attempt, error: NotRun) -> None:
        self._settle(attempt, used_s=0.0)
        self._ends.not_run(attempt, error)

    def _settle(self, attempt: Attempt, *, used_s: float) -> None:
        if attempt.work is not None:
            self._queue.correct_charge(attempt.work, used_s=used_s)

    def _learn(self, attempt: Attempt) -> None:
        limit = self._running.limit
        n_before = limit.n_slots
        self._running.learn(attempt, now_ns=time.monotonic_ns())
        if limit.n_slots != n_before:
            self._journal.slots(n_before=n_before, n_slots=limit.n_slots)


def _owner_loads(queue: WorkQueue) -> list[OwnerLoad]:
    """Return who has most work waiting; gateways predict an owner's wait by it."""
    loads = sorted(queue.by_owner(), key=lambda load: load.work_s, reverse=True)
    return [
        OwnerLoad(owner=load.owner, queued_work_s=load.work_s, weight=load.weight)
        for load in loads[:MAX_OWNER_LOADS]
    ]
