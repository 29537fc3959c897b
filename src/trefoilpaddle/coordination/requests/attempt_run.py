"""Runs one attempt at the target, from its reserved slot to its outcome."""

import asyncio
import time
from typing import Final

from absl import logging
from result import Err, Result

from ...protocol.const import NS_PER_S
from ...protocol.errors import StageError
from ...protocol.gen.stage.ttypes import Ready, Started
from ...protocol.reasons import Reason
from ...state.journal import Event
from ...transport.target_http import SendGuard
from ..targets.stage_journal import StageJournal
from ..targets.target_calls import CallOutcome, TargetCall, TargetCaller
from .attempt_errors import not_started, stopped, unexpected
from .attempts import Attempt, Phase
from .streams import AnswerTooLargeError

READY_WAIT_S: Final = 0.03
"""How long a reserved slot waits for the gateway to take it."""
MAX_OVERRUN_S: Final = 30.0
"""How long a call that must not run twice may run past its deadline."""


class AttemptRunner:
    """Runs attempts as calls to the target.

    Parameters
    ----------
    name : str
        The target's name.
    caller : TargetCaller
        Sends calls to the target.
    journal : StageJournal
        Records the decisions.
    drops_expired : bool
        False lets idempotent work start after its deadline.
    """

    __slots__ = ("_caller", "_cancels", "_drops_expired", "_journal", "_name")

    def __init__(
        self,
        *,
        name: str,
        caller: TargetCaller,
        journal: StageJournal,
        drops_expired: bool,
    ) -> None:
        self._name = name
        self._caller = caller
        self._journal = journal
        self._drops_expired = drops_expired
        self._cancels: set[asyncio.Task[None]] = set()

    async def run(
        self, attempt: Attempt, *, n_running: int
    ) -> Result[CallOutcome, StageError]:
        """Run `attempt` in its slot and return its outcome.

        Cancelling this coroutine stops the call; the error that is then returned
        states correctly whether the call may have run.
        """
        try:
            if attempt.start.reserve and not await self._is_slot_taken(attempt):
                return Err(self._slot_not_taken())
            return await self._call(attempt, n_running=n_running)
        except asyncio.CancelledError:
            reason = attempt.cancel_reason or Reason.CANCELLED
        except TimeoutError:
            reason = Reason.DEADLINE_PASSED
        except AnswerTooLargeError:
            reason = Reason.TOO_LARGE
        except Exception as error:
            logging.exception("attempt %s failed", attempt.attempt_id.hex())
            return Err(unexpected(attempt, error, peer=self._name))
        self._cancel_at_target(attempt)
        return Err(stopped(attempt, reason, peer=self._name))

    async def _is_slot_taken(self, attempt: Attempt) -> bool:
        """Offer the slot and return True if the gateway takes it in time."""
        attempt.go = asyncio.get_running_loop().create_future()
        attempt.stream.send_uncredited(Ready(attempt_id=attempt.attempt_id))
        try:
            async with asyncio.timeout(READY_WAIT_S):
                await attempt.go
        except TimeoutError:
            return False
        return True

    async def _call(
        self, attempt: Attempt, *, n_running: int
    ) -> Result[CallOutcome, StageError]:
        start = attempt.start
        attempt.phase = Phase.RUNNING
        guard = SendGuard(may_send=lambda: self._may_send(attempt))
        attempt.guard = guard
        attempt.started_ns = time.monotonic_ns()
        attempt.stream.send_uncredited(
            Started(attempt_id=attempt.attempt_id, queued_s=attempt.queued_s())
        )
        self._journal.record(
            Event.STARTED,
            attempt,
            queued_s=attempt.queued_s(),
            predicted_s=start.predicted_s,
            n_running=n_running,
        )
        call = TargetCall(
            attempt_id=attempt.attempt_id,
            request_id=start.request_id,
            path=start.path,
            body=attempt.body,
            is_idempotent=start.idempotent,
            deadline_ns=attempt.deadline_ns,
        )
        async with asyncio.timeout(self._timeout_s(attempt)):
            return await self._caller.run(call, sink=attempt.stream, guard=guard)

    def _timeout_s(self, attempt: Attempt) -> float:
        left_s = (attempt.deadline_ns - attempt.started_ns) / NS_PER_S
        if not attempt.start.idempotent:
            left_s += MAX_OVERRUN_S
        return max(0.0, left_s)

    def _may_send(self, attempt: Attempt) -> bool:
        if attempt.cancel_reason:
            return False
        if attempt.start.idempotent and not self._drops_expired:
            return True
        return time.monotonic_ns() < attempt.deadline_ns

    def _cancel_at_target(self, attempt: Attempt) -> None:
        if not attempt.start.idempotent or not attempt.is_sent():
            return
        task = asyncio.create_task(self._caller.cancel(attempt.attempt_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    def _slot_not_taken(self) -> StageError:
        return not_started(
            Reason.CANCELLED,
            peer=self._name,
            detail="the gateway did not take the slot in time",
        )
