"""Queues attempts, starts them at the target and ends them truthfully."""

import asyncio
import time
from typing import Final

from absl import logging
from result import Err, Ok, Result

from ..protocol.errors import Failed, NotRun, StageError, Unknown, to_failure
from ..protocol.gen.stage.ttypes import End, Load, Queued, Ready, Started
from ..protocol.reasons import Reason
from ..state.catalogue import Service
from ..state.concurrency import SlotLimit
from ..state.journal import Event
from ..state.settings import PolicySettings
from ..state.work_queue import Work, WorkQueue
from ..transport.target_http import SendGuard
from .attempts import Attempt, AttemptTable, Phase
from .stage_journal import StageJournal
from .streams import AnswerTooLargeError
from .target_calls import CallEnd, TargetCall, TargetCaller

NS_PER_S: Final = 1_000_000_000
READY_WAIT_S: Final = 0.03
"""How long a reserved slot waits for the gateway's word."""
MAX_OVERRUN_S: Final = 30.0
"""How long a call that may not be repeated runs on past its deadline."""
LOST_GRACE_NS: Final = NS_PER_S
"""How long waiting work outlives its connection."""


class Dispatcher:
    """The one place that starts work at the target.

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
        "_caller",
        "_cancels",
        "_journal",
        "_name",
        "_policy",
        "_queue",
        "_running",
        "_slots",
        "_table",
        "is_configured",
        "is_leaving",
        "is_target_up",
        "reported_age_ms",
        "revision",
        "slowness",
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
        self._slots = slots
        self._caller = caller
        self._journal = journal
        self._policy = policy
        self._running: dict[bytes, Attempt] = {}
        self._cancels: set[asyncio.Task[None]] = set()
        self.is_configured = True
        self.is_leaving = False
        self.is_target_up = True
        self.reported_age_ms = -1
        self.revision = 0
        self.slowness = 1.0

    @property
    def n_running(self) -> int:
        """Calls that hold a slot."""
        return len(self._running)

    def load(self) -> Load:
        """Return what this sidecar says of itself now."""
        now_ns = time.monotonic_ns()
        return Load(
            stamp_ns=now_ns,
            n_running=len(self._running),
            n_queued=len(self._queue),
            n_slots=self._slots.n_slots,
            queued_work_s=self._queue.work_s,
            running_work_s=self._running_work_s(now_ns),
            leaving=self.is_leaving,
            config_revision=self.revision,
            slowness=self.slowness,
            target_up=self.is_target_up,
            reported_age_ms=self.reported_age_ms,
        )

    def set_service(self, service: Service) -> None:
        """Take what the catalogue says of the target's service."""
        self._slots.set_base(service.n_slots)
        self.start_waiting()

    def predicted_wait_s(self) -> float:
        """Return the seconds until all that is here now should be done."""
        work_s = self._queue.work_s + self._running_work_s(time.monotonic_ns())
        return work_s / self._slots.n_slots

    def expire_at_deadline(self, attempt: Attempt) -> None:
        """Answer an attempt that has not started by its deadline at once."""
        wait_s = (attempt.deadline_ns - time.monotonic_ns()) / NS_PER_S
        loop = asyncio.get_running_loop()
        attempt.stop_timer()
        attempt.timer = loop.call_later(max(0.0, wait_s), self._expire, attempt)

    def refuses_all(self) -> Reason:
        """Return why no new work is taken, or ``Reason.NONE``."""
        if self.is_leaving:
            return Reason.LEAVING
        if not self.is_configured:
            return Reason.NO_CONFIGURATION
        if not self.is_target_up:
            return Reason.TARGET_DOWN
        return Reason.NONE

    def offer(self, attempt: Attempt, work: Work) -> None:
        """Take in an attempt whose body is whole: start it, queue it or refuse it."""
        attempt.work = work
        attempt.phase = Phase.WAITING
        if len(self._running) >= self._slots.n_slots or len(self._queue):
            self._announce(attempt, work)
        self._queue.push(work)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start what waits while slots are free."""
        now_ns = time.monotonic_ns()
        while len(self._running) < self._slots.n_slots:
            work = self._queue.pop(now_ns=now_ns)
            if work is None:
                return
            attempt = self._table.get(work.attempt_id)
            if attempt is None:
                logging.error("queued attempt %s is unknown", work.attempt_id.hex())
                continue
            self._start(attempt, now_ns=now_ns)

    def withdraw(self, attempt: Attempt, reason: Reason) -> bool:
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
        attempt.forbidden = reason
        if attempt.task is not None:
            attempt.task.cancel()
        if attempt.work is not None:
            self._queue.remove(attempt.work)
        self._end_not_run(attempt, self._withdrawn(reason))
        if attempt.task is not None:
            # A task that is cancelled before its first step never gets to free
            # its slot itself.
            asyncio.get_running_loop().call_soon(self.start_waiting)
        return True

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt as far as it may be stopped."""
        if self.withdraw(attempt, Reason.CANCELLED):
            return
        if attempt.phase is Phase.DONE and attempt.start.idempotent:
            self._table.release(attempt.attempt_id)
        if attempt.phase is Phase.RUNNING and attempt.start.idempotent:
            attempt.forbidden = Reason.CANCELLED
            if attempt.task is not None:
                attempt.task.cancel()

    def give_back_waiting(self) -> int:
        """Answer all that waits as not run; return how many."""
        waiting = [a for a in self._table.open_attempts() if a.phase is Phase.WAITING]
        for attempt in waiting:
            self.withdraw(attempt, Reason.LEAVING)
        return len(waiting)

    def _running_work_s(self, now_ns: int) -> float:
        left_s = 0.0
        for attempt in self._running.values():
            age_s = (now_ns - attempt.started_ns) / NS_PER_S
            left_s += max(0.0, attempt.start.predicted_s - age_s)
        return left_s

    def _announce(self, attempt: Attempt, work: Work) -> None:
        ahead = self._queue.ahead(work)
        wait_s = ahead.work_s / self._slots.n_slots
        attempt.stream.tell(
            Queued(
                attempt_id=attempt.attempt_id,
                predicted_wait_s=wait_s,
                n_ahead=ahead.n_ahead,
            )
        )
        self._journal.note(
            Event.QUEUED,
            attempt,
            n_ahead=ahead.n_ahead,
            predicted_wait_s=wait_s,
            predicted_s=work.predicted_s,
        )
        if self._policy.drop_expired:
            self.expire_at_deadline(attempt)

    def _expire(self, attempt: Attempt) -> None:
        if attempt.phase in (Phase.RECEIVING, Phase.WAITING):
            self.withdraw(attempt, Reason.DEADLINE_PASSED)

    def _start(self, attempt: Attempt, *, now_ns: int) -> None:
        attempt.stop_timer()
        if self._is_abandoned(attempt, now_ns=now_ns):
            self.withdraw(attempt, Reason.CONNECTION_LOST)
            return
        attempt.phase = Phase.RESERVED if attempt.start.reserve else Phase.RUNNING
        attempt.started_ns = now_ns
        self._running[attempt.attempt_id] = attempt
        attempt.task = asyncio.create_task(self._run(attempt))

    def _is_abandoned(self, attempt: Attempt, *, now_ns: int) -> bool:
        if attempt.stream.connection is not None:
            return False
        return now_ns - attempt.detached_ns > LOST_GRACE_NS

    async def _run(self, attempt: Attempt) -> None:
        try:
            if attempt.start.reserve and not await self._is_wanted(attempt):
                self._end_not_run(attempt, self._withdrawn(Reason.CANCELLED))
                return
            self._settle(attempt, await self._call(attempt))
        except asyncio.CancelledError:
            # Only `withdraw` and `cancel` cancel this task; the first has ended
            # the attempt already.
            if attempt.phase is not Phase.DONE:
                self._settle(attempt, Err(self._stopped(attempt, Reason.CANCELLED)))
                self._cancel_at_target(attempt)
        except Exception as error:
            logging.exception("attempt %s failed", attempt.attempt_id.hex())
            self._settle(attempt, Err(self._internal(attempt, error)))
        finally:
            self._running.pop(attempt.attempt_id, None)
            self.start_waiting()

    async def _is_wanted(self, attempt: Attempt) -> bool:
        """Offer the slot and return True if the gateway takes it in time."""
        attempt.go = asyncio.get_running_loop().create_future()
        attempt.stream.tell(Ready(attempt_id=attempt.attempt_id))
        try:
            async with asyncio.timeout(READY_WAIT_S):
                await attempt.go
        except TimeoutError:
            return False
        attempt.phase = Phase.RUNNING
        return True

    async def _call(self, attempt: Attempt) -> Result[CallEnd, StageError]:
        start = attempt.start
        attempt.guard = SendGuard(may_send=lambda: self._may_send(attempt))
        attempt.started_ns = time.monotonic_ns()
        queued_s = (attempt.started_ns - attempt.received_ns) / NS_PER_S
        attempt.stream.tell(Started(attempt_id=attempt.attempt_id, queued_s=queued_s))
        self._journal.note(
            Event.STARTED,
            attempt,
            queued_s=queued_s,
            predicted_s=start.predicted_s,
            n_running=len(self._running),
        )
        call = TargetCall(
            attempt_id=attempt.attempt_id,
            request_id=start.request_id,
            path=start.path,
            body=bytes(attempt.body),
            is_idempotent=start.idempotent,
            deadline_ns=attempt.deadline_ns,
        )
        limit_s = (attempt.deadline_ns - attempt.started_ns) / NS_PER_S
        if not start.idempotent:
            limit_s += MAX_OVERRUN_S
        try:
            async with asyncio.timeout(max(0.0, limit_s)):
                return await self._caller.run(
                    call, sink=attempt.stream, guard=attempt.guard
                )
        except TimeoutError:
            self._cancel_at_target(attempt)
            return Err(self._stopped(attempt, Reason.DEADLINE_PASSED))
        except AnswerTooLargeError:
            self._cancel_at_target(attempt)
            return Err(self._stopped(attempt, Reason.TOO_LARGE))

    def _may_send(self, attempt: Attempt) -> bool:
        if attempt.forbidden is not Reason.NONE:
            return False
        if attempt.start.idempotent and not self._policy.drop_expired:
            return True
        return time.monotonic_ns() < attempt.deadline_ns

    def _cancel_at_target(self, attempt: Attempt) -> None:
        if not attempt.start.idempotent or not attempt.is_sent():
            return
        task = asyncio.create_task(self._caller.cancel(attempt.attempt_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    def _settle(self, attempt: Attempt, result: Result[CallEnd, StageError]) -> None:
        match result:
            case Ok(end):
                self._end_ok(attempt, end)
            case Err(NotRun() as error):
                self._end_not_run(attempt, error)
            case Err(Failed() | Unknown() as error):
                self._end_failed(attempt, error)

    def _end_ok(self, attempt: Attempt, end: CallEnd) -> None:
        now_ns = time.monotonic_ns()
        service_s = self._measure(attempt, now_ns=now_ns, used_s=end.cost_s)
        answer = attempt.stream.answer
        outcome = End(
            attempt_id=attempt.attempt_id,
            n_chunks=len(answer.chunks),
            n_bytes=answer.n_bytes,
            checksum=answer.checksum(),
            queued_s=(attempt.started_ns - attempt.received_ns) / NS_PER_S,
            service_s=service_s,
            cost_s=end.cost_s or service_s,
            n_prompt_tokens=end.n_prompt_tokens,
            n_tokens=end.n_tokens,
            n_cached_tokens=end.n_cached_tokens,
            load=self._load_without(attempt),
        )
        self._table.end_ran(attempt, outcome, now_ns=now_ns)
        self._journal.note(
            Event.FINISHED,
            attempt,
            service_s=service_s,
            predicted_s=attempt.start.predicted_s,
            cost_s=outcome.cost_s,
            n_bytes=answer.n_bytes,
        )

    def _measure(self, attempt: Attempt, *, now_ns: int, used_s: float) -> float:
        service_s = (now_ns - attempt.started_ns) / NS_PER_S
        if attempt.work is not None:
            self._queue.settle(attempt.work, used_s=used_s or service_s)
        predicted_s = attempt.start.predicted_s
        if predicted_s > 0:
            self.slowness += 0.1 * (service_s / predicted_s - self.slowness)
        self._slots.note(
            service_s=service_s,
            predicted_s=predicted_s,
            n_running=len(self._running),
        )
        return service_s

    def _end_failed(self, attempt: Attempt, error: Failed | Unknown) -> None:
        now_ns = time.monotonic_ns()
        if attempt.work is not None:
            used_s = (now_ns - attempt.started_ns) / NS_PER_S
            self._queue.settle(attempt.work, used_s=used_s)
        failure = to_failure(
            error,
            attempt_id=attempt.attempt_id,
            load=self._load_without(attempt),
        )
        self._table.end_ran(attempt, failure, now_ns=now_ns)
        is_cancelled = error.reason is Reason.CANCELLED
        event = Event.CANCELLED if is_cancelled else Event.FINISHED
        self._journal.error(event, attempt, error)
        if is_cancelled:
            self._table.release(attempt.attempt_id)

    def _end_not_run(self, attempt: Attempt, error: NotRun) -> None:
        if attempt.phase is Phase.DONE:
            return
        if attempt.forbidden not in (Reason.NONE, error.reason):
            error = self._withdrawn(attempt.forbidden)
        if attempt.work is not None:
            self._queue.settle(attempt.work, used_s=0.0)
        failure = to_failure(
            error, attempt_id=attempt.attempt_id, load=self._load_without(attempt)
        )
        self._table.end_not_run(attempt, failure, now_ns=time.monotonic_ns())
        self._journal.error(_event_of(error.reason), attempt, error)

    def _load_without(self, attempt: Attempt) -> Load:
        """Return the load with the attempt's slot already free."""
        self._running.pop(attempt.attempt_id, None)
        return self.load()

    def _withdrawn(self, reason: Reason) -> NotRun:
        return NotRun(
            reason=reason,
            step="queue",
            peer=self._name,
            detail="it was taken out before it started",
        )

    def _stopped(self, attempt: Attempt, reason: Reason) -> StageError:
        """Return what is true of a call that was stopped from this side."""
        if not attempt.is_sent():
            return self._withdrawn(reason)
        used_s = (time.monotonic_ns() - attempt.started_ns) / NS_PER_S
        detail = f"stopped after {used_s:.3f} s at the target"
        if not attempt.start.idempotent:
            return Unknown(reason=reason, step="call", peer=self._name, detail=detail)
        return Failed(
            reason=reason,
            step="call",
            peer=self._name,
            detail=detail,
            cost_s=used_s,
        )

    def _internal(self, attempt: Attempt, error: Exception) -> StageError:
        detail = f"unforeseen {type(error).__name__}"
        if not attempt.is_sent():
            return NotRun(
                reason=Reason.INTERNAL, step="call", peer=self._name, detail=detail
            )
        return Unknown(
            reason=Reason.INTERNAL, step="call", peer=self._name, detail=detail
        )


def _event_of(reason: Reason) -> Event:
    match reason:
        case Reason.CANCELLED | Reason.BARRED:
            return Event.CANCELLED
        case Reason.DEADLINE_PASSED | Reason.CONNECTION_LOST | Reason.LEAVING:
            return Event.DROPPED
        case _:
            return Event.REFUSED
