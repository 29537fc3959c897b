"""Errors of calls: whether the work ran, the step that failed, and the peer."""

from dataclasses import dataclass

from .gen.stage.ttypes import Failure, Load, Outcome
from .reasons import Reason, reason_from_wire


@dataclass(frozen=True, slots=True, kw_only=True)
class NotRun:
    """The work did not start at any target and will not start later.

    Parameters
    ----------
    reason : Reason
        Why the work was refused.
    step : str
        Step that failed, such as ``"queue"`` or ``"connect"``.
    peer : str
        Process or target at which it failed.
    detail : str
        One sentence for a person.
    retry_after_s : float
        Seconds after which a retry may succeed; 0 if waiting does not help.
    """

    reason: Reason
    step: str
    peer: str
    detail: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """The work ran at the target and failed without an answer.

    Parameters
    ----------
    cost_s : float
        Target time in seconds that the work used.

    See Also
    --------
    NotRun : the other fields have the same meaning.
    """

    reason: Reason
    step: str
    peer: str
    detail: str = ""
    retry_after_s: float = 0.0
    cost_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """It is unknown whether the work ran; it may still finish later.

    See Also
    --------
    NotRun : the fields have the same meaning.
    """

    reason: Reason
    step: str
    peer: str
    detail: str = ""
    retry_after_s: float = 0.0


StageError = NotRun | Failed | Unknown


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerError:
    """A request to a peer or to the platform got no usable reply.

    Parameters
    ----------
    step : str
        Step that failed, such as ``"connect"``, ``"send"``, ``"wait"`` or
        ``"decode"``.
    peer : str
        Address, URL or process id of the peer.
    detail : str
        One sentence for a person.
    is_sent : bool
        True if any part of the request may have been sent.
    """

    step: str
    peer: str
    detail: str
    is_sent: bool

    @classmethod
    def unexpected_reply(cls, reply: object, *, peer: str) -> "PeerError":
        """Return the error for a reply whose type does not match the request."""
        detail = f"answered by {type(reply).__name__}"
        return cls(step="decode", peer=peer, detail=detail, is_sent=True)


def outcome_name(error: StageError) -> str:
    """Return ``"not run"``, ``"failed"`` or ``"unknown"``."""
    match error:
        case NotRun():
            return "not run"
        case Failed():
            return "failed"
        case Unknown():
            return "unknown"


def to_failure(error: StageError, *, attempt_id: bytes, load: Load) -> Failure:
    """Return the message that reports `error` to the gateway."""
    cost_s = 0.0
    match error:
        case NotRun():
            outcome = Outcome.NOT_RUN
        case Failed():
            outcome = Outcome.FAILED
            cost_s = error.cost_s
        case Unknown():
            outcome = Outcome.UNKNOWN
    return Failure(
        attempt_id=attempt_id,
        outcome=outcome,
        reason=int(error.reason),
        step=error.step,
        peer=error.peer,
        detail=error.detail,
        retry_after_s=error.retry_after_s,
        cost_s=cost_s,
        load=load,
    )


def from_failure(failure: Failure) -> StageError:
    """Return the error in `failure`; `Unknown` for an unrecognised outcome."""
    reason = reason_from_wire(failure.reason)
    step, peer, detail = failure.step, failure.peer, failure.detail
    wait_s = failure.retry_after_s
    match failure.outcome:
        case Outcome.NOT_RUN:
            return NotRun(
                reason=reason, step=step, peer=peer, detail=detail, retry_after_s=wait_s
            )
        case Outcome.FAILED:
            return Failed(
                reason=reason,
                step=step,
                peer=peer,
                detail=detail,
                retry_after_s=wait_s,
                cost_s=failure.cost_s,
            )
        case _:
            return Unknown(
                reason=reason, step=step, peer=peer, detail=detail, retry_after_s=wait_s
            )
