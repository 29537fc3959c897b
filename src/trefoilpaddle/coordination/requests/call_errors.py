"""Errors of attempts without a usable answer, as known to the sending gateway."""

from ...protocol.errors import Failed, NotRun, Unknown
from ...protocol.reasons import Reason


def not_sent(*, peer: str) -> NotRun:
    """Return the error of an attempt whose connection closed while it was sent.

    Frames of one connection arrive in order. The last one was not accepted for
    sending, so the sidecar never holds the start frame with its complete body.
    """
    return NotRun(
        reason=Reason.CONNECTION_LOST,
        step="send",
        peer=peer,
        detail="The connection closed before the call was sent.",
    )


def slot_released(*, peer: str) -> NotRun:
    """Return the error of a reserved slot that was released to its sidecar.

    Another target had a free slot first.
    """
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
    """Return the error of an attempt whose concurrent attempt was answered first."""
    return Failed(
        reason=Reason.CANCELLED,
        step="hedge",
        peer=peer,
        detail="Another attempt had the answer first.",
    )


def answer_invalid(fault: str, *, peer: str) -> Failed:
    """Return the error of an attempt whose answer must not be used."""
    return Failed(
        reason=Reason.CORRUPT,
        step="receive",
        peer=peer,
        detail=f"The answer was dropped: {fault}.",
    )


def cancelled_at_deadline(*, peer: str) -> Failed:
    """Return the error of a call that was still running at its deadline."""
    return Failed(
        reason=Reason.DEADLINE_PASSED,
        step="wait",
        peer=peer,
        detail="The call was still running at the deadline and was cancelled.",
    )


def unknown(reason: Reason, *, step: str, peer: str, what: str) -> Unknown:
    """Return the error of an attempt that may have run.

    `what` completes the sentence that begins with the peer: what happened to it.
    """
    return Unknown(reason=reason, step=step, peer=peer, detail=f"{peer} {what}.")
