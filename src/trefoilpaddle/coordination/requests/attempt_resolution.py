"""Finds out what is true of an attempt that has no answer when it must end."""

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
"""Longest wait for the sidecar's word; past a deadline the caller waits for it too."""


async def abandon(attempt: OpenAttempt, journal: Journal) -> StageError:
    """Settle an attempt whose deadline has passed; return what is known of it."""
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
    """Ask for work that still waits at a sidecar that leaves.

    If it has not started there it never will, and comes as a refusal; else nothing
    changes.
    """
    if not attempt.is_started:
        question = Bar(attempt_id=attempt.attempt_id, incarnation=attempt.incarnation)
        attempt.view.link.send(question)


async def bar(
    attempt: OpenAttempt, journal: Journal, *, otherwise: StageError
) -> StageError:
    """Ask that the attempt never start; return `otherwise` if that fails.

    Only the sidecar's word that it did not start the call and never will
    makes "not run" true; no word at all leaves it unknown.
    """
    link = attempt.view.link
    if not link.is_heard():
        return otherwise
    # A sidecar that was restarted meanwhile must not answer for the former.
    question = Bar(attempt_id=attempt.attempt_id, incarnation=attempt.incarnation)
    match await link.ask(question, timeout_s=BAR_WAIT_S):
        case Ok(BarAnswer(state=BarState.BARRED)):
            journal.record(attempt_decision(Event.ATTEMPT_BARRED, attempt))
            return call_errors.barred(otherwise.reason, peer=attempt.view.process_id)
        case Ok(BarAnswer(state=BarState.RUNNING | BarState.DONE)):
            attempt.is_started = True
    return otherwise
