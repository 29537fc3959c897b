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
"""How long an answer that is too late for its caller is waited for.

The target runs the work to its end anyway; the request's key stays claimed as long.
"""

OnReady = Callable[["StageCall"], bool]


class StageCall:
    """One attempt: sends it, follows its frames, and says what came of it.

    Parameters
    ----------
    work : StageWork
        What to do.
    view : TargetView
        Where to do it.
    attempts : OpenAttempts
        Registry that hands over the frames.
    journal : Journal
        Takes the decisions.
    sink : Sink, optional
        Takes the answer as it comes; it is kept whole besides.
    may_go : callable, optional
        For late binding: asked when the sidecar has a place; False gives the
        place back. Without it the work is committed when it is sent.
    """

    __slots__ = (
        "_answer",
        "_attempt",
        "_attempts",
        "_has_arrived",
        "_has_gone",
        "_has_refetched",
        "_journal",
        "_may_go",
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
        sink: Sink | None = None,
        may_go: OnReady | None = None,
    ) -> None:
        self.work = work
        self.view = view
        self.is_sent = False
        self._attempts = attempts
        self._journal = journal
        self._may_go = may_go
        self._answer = AnswerReceiver(sink=sink)
        self._has_arrived = False
        self._has_gone = False
        self._has_refetched = False
        self._attempt: OpenAttempt | None = None

    @property
    def may_have_started(self) -> bool:
        """Return True unless it is certain that the target never started it.

        A reserved place starts nothing before the word to go is sent.
        """
        return self.is_sent and (self._may_go is None or self._has_gone)

    def supersede(self) -> None:
        """End the attempt because another one beside it has the answer."""
        if self._attempt is not None:
            self._attempt.post(Notice.SUPERSEDED)

    async def run(self) -> Result[StageAnswer, StageFault]:
        """Run the attempt and return its whole answer, or what is known of it.

        Cancelling it cancels the work at the sidecar.
        """
        with self._attempts.open(self.work, self.view) as attempt:
            self._attempt = attempt
            self.view.sent(self.work)
            try:
                return await self._run(attempt)
            finally:
                self._arrive()
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

        if isinstance(late, Unknown) and self.work.on_late is not None:
            self.work.on_late(late)
            return await self._follow_late(attempt, late)
        return self._err(late)

    async def _follow_late(
        self, attempt: OpenAttempt, late: Unknown
    ) -> Result[StageAnswer, StageFault]:
        """Wait on for an answer whose caller has been told "unknown".

        The work runs to its end at the target anyway. Its answer is what a
        retry of the request must get, since it may not be run again.
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
            is_reserved=self._may_go is not None,
        )
        return all(self.view.link.send(message) for message in messages)

    async def _follow(self, attempt: OpenAttempt) -> Result[StageAnswer, StageFault]:
        while True:
            mail = await attempt.next_update()
            if not isinstance(mail, Notice):
                self._arrive()
            verdict: Result[StageAnswer, StageFault] | None = None
            match mail:
                case Queued():
                    pass
                case Ready():
                    verdict = self._on_ready(attempt)
                case Started():
                    attempt.is_started = True
                case Chunk():
                    verdict = await self._on_chunk(attempt, mail)
                case End():
                    verdict = self._on_end(attempt, mail)
                case Failure():
                    return self._err(await self._on_failure(attempt, mail))
                case Notice.LINK_LOST:
                    verdict = await self._on_lost(attempt)
                case Notice.LINK_OPEN:
                    pass
                case Notice.LINK_UNRESPONSIVE:
                    verdict = self._on_silence(attempt)
                case Notice.OVERRUN:
                    verdict = self._drop(attempt, "it sent more than it was granted")
                case Notice.RECALLED:
                    recall(attempt)
                case Notice.SUPERSEDED:
                    verdict = self._on_superseded(attempt)
            if verdict is not None:
                return verdict

    def _arrive(self) -> None:
        if not self._has_arrived:
            self._has_arrived = True
            self.view.arrived(self.work)

    def _on_ready(self, attempt: OpenAttempt) -> Result[StageAnswer, StageFault] | None:
        if self._may_go is None or self._may_go(self):
            self._has_gone = True
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
        return self._drop(attempt, fault) if fault else None

    def _on_end(
        self, attempt: OpenAttempt, end: End
    ) -> Result[StageAnswer, StageFault] | None:
        attempt.is_started = True
        if not self._answer.is_complete(end):
            return self._on_torn(attempt)
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

    def _on_torn(self, attempt: OpenAttempt) -> Result[StageAnswer, StageFault] | None:
        """Fetch a torn answer once more if nothing of it was passed on."""
        if self._has_refetched or not self._answer.try_restart():
            return self._drop(attempt, "count, size or checksum do not match")
        self._has_refetched = True
        fetch(attempt, self._answer, self._journal)
        return None

    def _drop(
        self, attempt: OpenAttempt, fault: str
    ) -> Result[StageAnswer, StageFault]:
        self.view.link.send(Cancel(attempt_id=attempt.attempt_id))
        error = call_errors.answer_invalid(fault, peer=self.view.process_id)
        return self._err(error)

    def _on_superseded(self, attempt: OpenAttempt) -> Err[StageFault]:
        self.view.link.send(Cancel(attempt_id=attempt.attempt_id))
        return self._err(call_errors.superseded(peer=self.view.process_id))

    def _on_silence(
        self, attempt: OpenAttempt
    ) -> Result[StageAnswer, StageFault] | None:
        """Give up on a silent sidecar only where the work may be repeated.

        A paused or cut-off sidecar may have started it and may still answer;
        work that must run at most once has nowhere else to go and waits.
        """
        if not self.work.stage.idempotent:
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
        has_passed_on = self._answer.has_forwarded
        return Err(StageFault(error=error, has_passed_on=has_passed_on))
