"""Errors of attempts that the sidecar itself has stopped."""

import time

from ...protocol.const import NS_PER_S
from ...protocol.errors import Failed, NotRun, StageError, Unknown
from ...protocol.reasons import Reason
from .attempts import Attempt


def not_started(
    reason: Reason, *, peer: str, detail: str, retry_after_s: float = 0.0
) -> NotRun:
    """Return the error of an attempt that was removed before it started."""
    return NotRun(
        reason=reason,
        step="queue",
        peer=peer,
        detail=detail,
        retry_after_s=retry_after_s,
    )


def stopped(attempt: Attempt, reason: Reason, *, peer: str) -> StageError:
    """Return the error of a call that was stopped while it ran.

    Work that must not run twice may have taken effect, so its outcome is unknown.
    """
    if not attempt.is_sent():
        return not_started(reason, peer=peer, detail="stopped before it was sent")
    used_s = (time.monotonic_ns() - attempt.started_ns) / NS_PER_S
    detail = f"stopped after {used_s:.3f} s at the target"
    if not attempt.start.idempotent:
        return Unknown(reason=reason, step="call", peer=peer, detail=detail)
    return Failed(reason=reason, step="call", peer=peer, detail=detail, cost_s=used_s)


def unexpected(attempt: Attempt, error: Exception, *, peer: str) -> StageError:
    """Return the error of a call that ended by an unexpected exception."""
    detail = f"unforeseen {type(error).__name__}"
    if not attempt.is_sent():
        return not_started(Reason.INTERNAL, peer=peer, detail=detail)
    return Unknown(reason=Reason.INTERNAL, step="call", peer=peer, detail=detail)
