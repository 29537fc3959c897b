"""Key guard that claims a request key before the run and settles it after."""

import asyncio
import time
from typing import Final

from result import Err, Ok, Result

from ...protocol.errors import Failed, NotRun, StageError, Unknown
from ...protocol.ids import RequestId
from ...protocol.reasons import Reason
from ...state.outcome_record import (
    AnsweredRecord,
    EndedRecord,
    OutcomeRecord,
    read_record,
    record_bytes,
)
from ..requests.request import Answer, Refusal, Request
from ..requests.request_guards import KeyState, NewRequest, PriorOutcome
from ..requests.stage_call import LATE_ANSWER_WAIT_S
from .claim_outcomes import Answered, InProgress, Key, KeyGranted, account_key
from .claim_registry import request_id_of
from .claims import Claimer

STEP: Final = "claim"

RETRY_AFTER_S: Final = 1.0
"""Retry-after time for a caller whose earlier try still runs."""


class KeyClaims:
    """Key guard that queries the replicas of a key.

    A request without a key runs without a claim.

    Parameters
    ----------
    claimer : Claimer
        Sends the claims to the replicas.
    """

    __slots__ = ("_claimer", "_granted", "_settling")

    def __init__(self, *, claimer: Claimer) -> None:
        self._claimer = claimer
        self._granted: dict[str, KeyGranted] = {}
        self._settling: set[asyncio.Task[bool]] = set()

    async def claim(self, request: Request) -> Result[KeyState, StageError]:
        """Return whether the request may run, or the outcome of an earlier try.

        While an earlier try runs, this one waits for its outcome, because the
        caller receives the same answer. It fails with "in progress" when its own
        deadline passes first.
        """
        if not request.key:
            return Ok(NewRequest())
        left_s = request.deadline_s - time.monotonic()
        is_idempotent = all(stage.idempotent for stage in request.pipeline.stages)
        outcome = await self._claimer.claim(
            key=_key_of(request),
            request_id=request.try_id,
            fingerprint=request.fingerprint,
            is_idempotent=is_idempotent,
            # A replica treats a claim as lost when its budget has expired. The
            # gateway follows a call that must run once beyond its deadline.
            budget_s=left_s if is_idempotent else left_s + LATE_ANSWER_WAIT_S,
            wait_s=left_s,
        )
        match outcome:
            case KeyGranted():
                self._granted[request.try_id] = outcome
                return Ok(NewRequest())
            case Answered():
                return Ok(_ended_before(outcome))
            case InProgress():
                return Err(_in_progress(outcome))
            case NotRun() | Unknown():
                return Err(outcome)

    def settle(
        self, request: Request, outcome: Result[Answer, Refusal] | None, *, is_run: bool
    ) -> None:
        """Report the outcome of a claimed request in the background."""
        granted = self._granted.pop(request.try_id, None)
        if granted is None:
            return
        record = _record_of(outcome)
        result = record_bytes(record) if is_run and record is not None else None
        settling = self._claimer.settle(granted, is_run=is_run, result=result)
        task = asyncio.create_task(settling)
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def flush(self) -> None:
        """Wait until every reported outcome has been delivered or has failed."""
        if self._settling:
            await asyncio.wait(self._settling)


def _key_of(request: Request) -> Key:
    if request.is_key_generated:
        generated = RequestId.parse(request.key).unwrap()
        return Key(text=request.key, generated_id=generated)
    return account_key(request.account, request.key)


def _in_progress(outcome: InProgress) -> Unknown:
    return Unknown(
        reason=Reason.IN_PROGRESS,
        step=STEP,
        peer=outcome.gateway,
        detail=f"The earlier try of {request_id_of(outcome.request_id)} still runs.",
        retry_after_s=RETRY_AFTER_S,
    )


def _record_of(outcome: Result[Answer, Refusal] | None) -> OutcomeRecord | None:
    match outcome:
        case Ok(answer):
            return AnsweredRecord(output=answer.output, cost_s=answer.cost_s)
        case Err(Refusal(error=Failed() | Unknown() as error, stage=stage) as refusal):
            return EndedRecord(
                outcome="failed" if isinstance(error, Failed) else "unknown",
                reason=error.reason,
                step=error.step,
                peer=error.peer,
                detail=error.detail,
                stage=stage,
                cost_s=refusal.cost_s,
            )
        case _:
            return None


def _ended_before(answered: Answered) -> PriorOutcome:
    first_id = request_id_of(answered.request_id)
    record = read_record(answered.result) if answered.result else Err("")
    match record:
        case Ok(AnsweredRecord() as kept):
            outcome = Ok(Answer(output=kept.output, cost_s=kept.cost_s))
            return PriorOutcome(
                request_id=request_id_of(answered.request_id), outcome=outcome
            )
        case Ok(EndedRecord() as kept):
            refusal = Refusal(
                error=_error_of(kept),
                stage=kept.stage,
                cost_s=kept.cost_s,
                is_retry_safe=False,
            )
        case _:
            refusal = Refusal(error=_result_gone(), stage="", is_retry_safe=False)
    return PriorOutcome(request_id=first_id, outcome=Err(refusal))


def _error_of(kept: EndedRecord) -> StageError:
    if kept.outcome == "failed":
        return Failed(
            reason=kept.reason, step=kept.step, peer=kept.peer, detail=kept.detail
        )
    return Unknown(
        reason=kept.reason, step=kept.step, peer=kept.peer, detail=kept.detail
    )


def _result_gone() -> Unknown:
    return Unknown(
        reason=Reason.RESULT_GONE,
        step=STEP,
        peer="",
        detail="An earlier try of this key ran; how it ended is not kept.",
    )
