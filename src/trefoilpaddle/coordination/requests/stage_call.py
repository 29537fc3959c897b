"""One attempt of a stage at one sidecar, from start to acknowledged answer."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

from result import Err, Ok, Result

from ...protocol.errors import StageError, Unknown, from_failure
from ...protocol.gen.stage.ttypes import (
    Ack,
    Cancel,
    Chunk,
    End,
    Failure,
    Go,
    Queued,
    Ready,
    Started,
)
from ...protocol.reasons import Reason
from ...state.journal import Journal
from ..targets.stage_work import Sink, StageAnswer, StageFault, StageWork
from . import call_errors
from .answer_receiver import AnswerReceiver
from .attempt_resolution import abandon, bar, recall
from .open_attempts import Notice, OpenAttempt, OpenAttempts
from .result_fetch import fetch, reconnect
from .start_message import start_messages
from .target_view import TargetView

LATE_ANSWER_WAIT_S: Final = 15.0
"""How long to wait for an answer that is too late for its caller.

The target completes the work anyway; the request's key stays claimed as long.
"""

OnReady = Callable[["StageCall"], bool]


class StageCall:
    """One attempt: sends it, handles its frames and returns its outcome.

    Parameters
    ----------
    work : StageWork
        The work to run.
    view : TargetView
        The target to run it at.
    attempts : OpenAttempts
        Registry that delivers the frames.
    journal : Journal
        Records the decisions.
    sink : Sink, optional
        Takes the answer as it arrives; the complete answer is buffered as well.
    may_give_up : callable
        Returns True if the work can go on at another target; called repeatedly while
        the sidecar is unresponsive.
    may_commit : callable, optional
        For late binding: called when the sidecar has a free slot; False releases
        the slot. Without it the work is committed when it is sent.
    """

    __slots__ = (
        "_answer",
        "_attempt",
        "_attempts",
        "_has_arrived",
        "_has_refetched",
        "_is_committed",
        "_journal",
        "_may_commit",
        "_may_give_up",
        "is_sent",
        "view",
        "work",
    )

    def __init__(
        self,
        *,
        work: StageWork,
        view: TargetView,
        attempts: OpenAttempts,
        journal: Journal,
        may_give_up: Callable[[], bool],
        sink: Sink | None = None,
        may_commit: OnReady | None = None,
    ) -> None:
        self.work = work
        self.view = view
        self.is_sent = False
        self._may_give_up = may_give_up
        self._attempts = attempts
        self._journal = journal
        self._may_commit = may_commit
        self._answer = AnswerReceiver(sink=sink)
        self._has_arrived = False
        self._is_committed = False
        self._has_refetched = False
        self._attempt: OpenAttempt | None = None

    @property
    def may_have_started(self) -> bool:
        """Return True unless it is certain that the target never started it.

        A reserved slot starts nothing before the ``Go`` message is sent.
        """
        return self.is_sent and (self._may_commit is None or self._is_committed)

    def supersede(self) -> None:
        """End the attempt because a concurrent one has the answer."""
        if self._attempt is not None:
            self._attempt.post(Notice.SUPERSEDED)

    async def run(self) -> Result[StageAnswer, StageFault]:
        """Run the attempt and return its complete answer, or its error.

        Cancelling it cancels the work at the sidecar.
        """
        with self._attempts.open(self.work, self.view) as attempt:
            self._attempt = attempt
            self.view.sent(self.work)
            try:
                return await self._run(attempt)
            finally:
                self._record_arrival()
                self.view.ended()

    async def _run(self, attempt: OpenAttempt) -> Result[StageAnswer, StageFault]:
        if not self._send(attempt):
            return self._err(call_errors.not_sent(peer=self.view.process_id))
        self.is_sent = True
        try:
            async with asyncio.timeout_at(self._loop_deadline_s()):
                return await self._follow(attempt)
        except TimeoutError:
            late = await abandon(attempt, self._journal)
        except asyncio.CancelledError:
            self.view.link.send(Cancel(attempt_id=attempt.attempt_id))
            raise

        if isinstance(late, Unknown) and self.work.on_unknown_outcome is not None:
            self.work.on_unknown_outcome(late)
            return await self._wait_for_late_answer(attempt, late)
        return self._err(late)

    async def _wait_for_late_answer(
        self, attempt: OpenAttempt, late: Unknown
    ) -> Result[StageAnswer, StageFault]:
        """Continue to wait for an answer whose caller was answered "unknown".

        The target completes the work anyway. A retry of the request must get that
        answer, since the work must not run again.
        """
        try:
            async with asyncio.timeout(LATE_ANSWER_WAIT_S):
                return await self._follow(attempt)
        except TimeoutError:
            return self._err(late)

    def _loop_deadline_s(self) -> float:
        left_s = self.work.deadline_s - time.monotonic()
        return asyncio.get_running_loop().time() + left_s

    def _send(self, attempt: OpenAttempt) -> bool:
        self._answer.reset_window(attempt)
        messages = start_messages(
            self.work,
            attempt,
            credit_bytes=self._answer.window_bytes,
            is_reserved=self._may_commit is not None,
        )
        return all(self.view.link.send(message) for message in messages)

    async def _follow(self, attempt: OpenAttempt) -> Result[StageAnswer, StageFault]:
        while True:
            update = await attempt.next_update()
            if not isinstance(update, Notice):
                self._record_arrival()
            result: Result[StageAnswer, StageFault] | None = None
            match update:
                case Queued():
                    pass
                case Ready():
                    result = self._on_ready(attempt)
                case Started():
                    attempt.is_started = True
                case Chunk():
                    result = await self._on_chunk(attempt, update)
                case End():
                    result = self._on_end(attempt, update)
                case Failure():
                    return self._err(await self._on_failure(attempt, update))
                case Notice.LINK_LOST:
                    result = await self._on_lost(attempt)
                case Notice.LINK_OPEN:
                    pass
                case Notice.LINK_UNRESPONSIVE:
                    result = self._on_unresponsive(attempt)
                case Notice.OVERRUN:
                    result = self._reject_answer(
                        attempt, "it sent more than it was granted"
                    )
                case Notice.RECALLED:
                    recall(attempt)
                case Notice.SUPERSEDED:
                    result = self._on_superseded(attempt)
            if result is not None:
                return result

    def _record_arrival(self) -> None:
        if not self._has_arrived:
            self._has_arrived = True
            self.view.arrived(self.work)

    def _on_ready(self, attempt: OpenAttempt) -> Result[StageAnswer, StageFault] | None:
        if self._may_commit is None or self._may_commit(self):
            self._is_committed = True
            self.view.link.send(
                Go(
                    attempt_id=attempt.attempt_id,
                    stamp_ns=self.view.stamp_ns,
                    elapsed_ns=time.monotonic_ns() - self.view.stamp_at_ns,
                )
            )
            return None
        self.view.link.send(Cancel(attempt_id=attempt.attempt_id))
        return self._err(call_errors.slot_released(peer=self.view.process_id))

    async def _on_chunk(
        self, attempt: OpenAttempt, chunk: Chunk
    ) -> Result[StageAnswer, StageFault] | None:
        attempt.is_started = True
        fault = await self._answer.receive(chunk, attempt)
        return self._reject_answer(attempt, fault) if fault else None

    def _on_end(
        self, attempt: OpenAttempt, end: End
    ) -> Result[StageAnswer, StageFault] | None:
        attempt.is_started = True
        if not self._answer.is_complete(end):
            return self._on_mismatch(attempt)
        self.view.link.send(Ack(attempt_id=attempt.attempt_id))
        return Ok(
            StageAnswer(
                body=self._answer.body(),
                queued_s=end.queued_s,
                service_s=end.service_s,
                cost_s=end.cost_s,
                n_tokens=end.n_tokens,
                n_cached_tokens=end.n_cached_tokens,
                peer=self.view.process_id,
            )
        )

    def _on_mismatch(
        self, attempt: OpenAttempt
    ) -> Result[StageAnswer, StageFault] | None:
        """Fetch a mismatching answer once more if none of it was forwarded."""
        if self._has_refetched or not self._answer.try_restart():
            return self._reject_answer(attempt, "count, size or checksum do not match")
        self._has_refetched = True
        fetch(attempt, self._answer, self._journal)
        return None

    def _reject_answer(
        self, attempt: OpenAttempt, fault: str
    ) -> Result[StageAnswer, StageFault]:
        self.view.link.send(Cancel(attempt_id=attempt.attempt_id))
        error = call_errors.answer_invalid(fault, peer=self.view.process_id)
        return self._err(error)

    def _on_superseded(self, attempt: OpenAttempt) -> Err[StageFault]:
        self.view.link.send(Cancel(attempt_id=attempt.attempt_id))
        return self._err(call_errors.superseded(peer=self.view.process_id))

    def _on_unresponsive(
        self, attempt: OpenAttempt
    ) -> Result[StageAnswer, StageFault] | None:
        """Abandon the attempt at an unresponsive sidecar if it can go on elsewhere.

        A paused or partitioned sidecar may have started the work and may still
        answer. Work that must run at most once cannot go elsewhere and waits, and so
        does an answer of which a part was forwarded. A slot that is only reserved is
        abandoned in any case.
        """
        if self.view.link.is_responsive():
            return None
        if not self.work.stage.idempotent or self._answer.has_forwarded:
            return None
        if self.may_have_started and not self._may_give_up():
            return None
        self.view.link.send(Cancel(attempt_id=attempt.attempt_id))
        error = call_errors.unknown(
            Reason.PEER_SILENT,
            step="wait",
            peer=self.view.process_id,
            what="fell silent",
        )
        return self._err(error)

    async def _on_lost(
        self, attempt: OpenAttempt
    ) -> Result[StageAnswer, StageFault] | None:
        """Fetch the answer over a new connection to the same incarnation."""
        if (error := await reconnect(attempt)) is not None:
            return self._err(error)
        fetch(attempt, self._answer, self._journal)
        return None

    async def _on_failure(self, attempt: OpenAttempt, failure: Failure) -> StageError:
        error = from_failure(failure)
        self.view.link.send(Ack(attempt_id=attempt.attempt_id))
        if not isinstance(error, Unknown):
            return error
        if error.reason is Reason.RESULT_GONE and not attempt.is_started:
            # The start frame may have been lost with the connection.
            return await bar(attempt, self._journal, otherwise=error)
        return error

    def _err(self, error: StageError) -> Err[StageFault]:
        was_forwarded = self._answer.has_forwarded
        return Err(StageFault(error=error, is_partly_forwarded=was_forwarded))
