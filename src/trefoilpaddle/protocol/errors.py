"""Errors that say what is known to have run, at which step and which peer."""

from dataclasses import dataclass

from .gen.stage.ttypes import Failure, Load, Outcome
from .reasons import Reason, reason_from_wire


@dataclass(frozen=True, slots=True, kw_only=True)
class NotRun:
    """The work did not start at any target and never will.

    Parameters
    ----------
    reason : Reason
        Why it was refused.
    step : str
        Step at which the error arose, such as ``"queue"`` or ``"connect"``.
    peer : str
        Process or target at which it arose.
    detail : str
        One sentence for a person.
    retry_after_s : float
        Seconds after which a retry may succeed; 0 when waiting does not help.
    """

    reason: Reason
    step: str
    peer: str
    detail: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """The work ran at the target and failed; it did not produce an answer.

    See Also
    --------
    NotRun : the fields have the same meaning.
    """

    reason: Reason
    step: str
    peer: str
    detail: str = ""
    retry_after_s: float = 0.0
    cost_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """Whether the work ran cannot be known; it may even finish later.

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
    """A question to a peer got no answer.

    Parameters
    ----------
    step : str
        ``"connect"``, ``"send"``, ``"wait"`` or ``"decode"``.
    peer : str
        Address or process id asked.
    detail : str
        One sentence for a person.
    is_sent : bool
        True if any part of the question may have left this process.
    """

    step: str
    peer: str
    detail: str
    is_sent: bool

    @classmethod
    def unexpected_reply(cls, answer: object, *, peer: str) -> "PeerError":
        """Return what is wrong with an answer that is none to its question."""
        detail = f"answered by {type(answer).__name__}"
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
    """Return the message that carries `error` to the gateway."""
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
    """Return the typed error in `failure`; an unheard-of outcome is unknown."""
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
