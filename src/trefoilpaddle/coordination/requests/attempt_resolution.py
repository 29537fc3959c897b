"""Determines the outcome of an attempt that must end without an answer."""

from typing import Final

from result import Ok

from ...protocol.errors import NotRun, StageError
from ...protocol.gen.stage.ttypes import Bar, BarAnswer, BarState, Cancel
from ...protocol.reasons import Reason
from ...state.journal import Event, Journal
from . import call_errors
from .open_attempts import OpenAttempt
from .request_decisions import attempt_decision

BAR_WAIT_S: Final = 0.25
"""Longest wait for the sidecar's reply.

Past a deadline the caller waits for it too.
"""


async def abandon(attempt: OpenAttempt, journal: Journal) -> StageError:
    """Abandon an attempt whose deadline has passed; return its error."""
    view = attempt.view
    late = call_errors.unknown(
        Reason.DEADLINE_PASSED,
        step="wait",
        peer=view.process_id,
        what="did not answer in time",
    )
    if not attempt.is_started:
        late_or_barred = await bar(attempt, journal, otherwise=late)
        if isinstance(late_or_barred, NotRun):
            return late_or_barred
    if not attempt.work.stage.idempotent:
        return late
    view.link.send(Cancel(attempt_id=attempt.attempt_id))
    if not attempt.is_started:
        return late
    return call_errors.cancelled_at_deadline(peer=view.process_id)


def recall(attempt: OpenAttempt) -> None:
    """Recall work that is still queued at a leaving sidecar.

    If the sidecar has not started it, it never will, and refuses it; otherwise
    nothing changes.
    """
    if not attempt.is_started:
        message = Bar(attempt_id=attempt.attempt_id, incarnation=attempt.incarnation)
        attempt.view.link.send(message)


async def bar(
    attempt: OpenAttempt, journal: Journal, *, otherwise: StageError
) -> StageError:
    """Bar the attempt from starting; return `otherwise` if that fails.

    "Not run" is true only if the sidecar replies that it did not start the call
    and never will. Without a reply the outcome remains unknown.
    """
    link = attempt.view.link
    if not link.is_responsive():
        return otherwise
    # A restarted sidecar must not reply for its previous incarnation.
    message = Bar(attempt_id=attempt.attempt_id, incarnation=attempt.incarnation)
    match await link.ask(message, timeout_s=BAR_WAIT_S):
        case Ok(BarAnswer(state=BarState.BARRED)):
            journal.record(attempt_decision(Event.ATTEMPT_BARRED, attempt))
            return call_errors.barred(otherwise.reason, peer=attempt.view.process_id)
        case Ok(BarAnswer(state=BarState.RUNNING | BarState.DONE)):
            attempt.is_started = True
    return otherwise
