"""What is true of an attempt that has no answer, as the gateway that sent it knows."""

from ...protocol.errors import Failed, NotRun, Unknown
from ...protocol.reasons import Reason


def not_sent(*, peer: str) -> NotRun:
    """Return the error of an attempt whose connection closed too early.

    Frames of one connection arrive in order; the last was not taken, so the
    sidecar never holds a whole start frame and its body.
    """
    return NotRun(
        reason=Reason.CONNECTION_LOST,
        step="send",
        peer=peer,
        detail="The connection closed before the call was sent.",
    )


def slot_released(*, peer: str) -> NotRun:
    """Return the error of a reserved place that another target was faster than."""
    return NotRun(
        reason=Reason.CANCELLED,
        step="reserve",
        peer=peer,
        detail="Another target was ready first.",
    )


def barred(reason: Reason, *, peer: str) -> NotRun:
    """Return the error of an attempt that its sidecar promised not to start."""
    return NotRun(
        reason=reason,
        step="bar",
        peer=peer,
        detail="The sidecar had not started the call and never will.",
    )


def superseded(*, peer: str) -> Failed:
    """Return the error of an attempt that another one beside it made needless."""
    return Failed(
        reason=Reason.CANCELLED,
        step="hedge",
        peer=peer,
        detail="Another attempt had the answer first.",
    )


def answer_invalid(fault: str, *, peer: str) -> Failed:
    """Return the error of an attempt whose answer may not be used."""
    return Failed(
        reason=Reason.CORRUPT,
        step="receive",
        peer=peer,
        detail=f"The answer was dropped: {fault}.",
    )


def cancelled_at_deadline(*, peer: str) -> Failed:
    """Return the error of a call that ran on at its deadline."""
    return Failed(
        reason=Reason.DEADLINE_PASSED,
        step="wait",
        peer=peer,
        detail="The call was still running at the deadline and was cancelled.",
    )


def unknown(reason: Reason, *, step: str, peer: str, what: str) -> Unknown:
    """Return the error of an attempt that may have run; `what` its peer did."""
    return Unknown(reason=reason, step=step, peer=peer, detail=f"{peer} {what}.")
