"""Journal records of decisions about a request and its stages.

Each record names the entry that governs the request and its revision.
"""

from ...protocol.errors import StageError
from ...protocol.reasons import Reason
from ...state.governing import Governing
from ...state.journal import Decision, Event, Figure
from ..targets.stage_work import StageWork
from .open_attempts import OpenAttempt
from .request import Request


def request_decision(
    event: Event,
    request: Request,
    *,
    stage: str = "",
    error: StageError | None = None,
    reason: Reason = Reason.NONE,
    detail: str = "",
    figures: tuple[Figure, ...] = (),
) -> Decision:
    """Return a decision about a request; `error` gives peer, reason and detail."""
    return _decision(
        event,
        request.governing,
        request_id=request.request_id,
        stage=stage,
        error=error,
        reason=reason,
        detail=detail,
        figures=figures,
    )


def stage_decision(
    event: Event,
    work: StageWork,
    *,
    attempt_id: str = "",
    peer: str = "",
    error: StageError | None = None,
    detail: str = "",
    figures: tuple[Figure, ...] = (),
) -> Decision:
    """Return a decision about a stage; `error` gives peer, reason and detail."""
    return _decision(
        event,
        work.governing,
        request_id=work.request_id,
        attempt_id=attempt_id,
        stage=work.stage.name,
        peer=peer,
        error=error,
        detail=detail,
        figures=figures,
    )


def attempt_decision(event: Event, attempt: OpenAttempt, *figures: Figure) -> Decision:
    """Return a decision about an attempt in flight."""
    return stage_decision(
        event,
        attempt.work,
        attempt_id=attempt.attempt_id.hex(),
        peer=attempt.view.process_id,
        figures=figures,
    )


def _decision(
    event: Event,
    governing: Governing,
    *,
    request_id: str,
    stage: str,
    error: StageError | None,
    attempt_id: str = "",
    peer: str = "",
    reason: Reason = Reason.NONE,
    detail: str = "",
    figures: tuple[Figure, ...] = (),
) -> Decision:
    if error is not None:
        peer, reason, detail = error.peer, error.reason, error.detail
    return Decision(
        event=event,
        request_id=request_id,
        attempt_id=attempt_id,
        entry=governing.name,
        owner=governing.entry.owner,
        config_revision=governing.config_revision,
        stage=stage,
        peer=peer,
        reason=reason,
        detail=detail,
        figures=figures,
    )
