"""The chain of one request as its scheduler receives it, and its outcome."""

from dataclasses import dataclass

from ...protocol.reasons import Reason
from .piece_work import PieceResult
from .routes import StagePlan


@dataclass(frozen=True, slots=True, kw_only=True)
class StagePiece:
    """A completed piece of a chain, with its result.

    Parameters
    ----------
    stage, piece : int
        Index of the stage, and of the piece within the stage.
    result : PieceResult
        Result of the piece, kept at the worker that computed it.
    """

    stage: int
    piece: int
    result: PieceResult


@dataclass(frozen=True, slots=True, kw_only=True)
class ChainWork:
    """All stages of one request.

    Parameters
    ----------
    request_id : str
        Id of the request.
    route : str
        Name of the request's route, for the log and for learnt waits.
    stages : tuple of StagePlan
        Stages in the order of their indices.
    n_pieces : tuple of int
        Number of pieces of each stage.
    piece_key : str
        Input of the stages that take no results of other stages.
    due_s : float
        Monotonic time by which all stages should be done.
    deadline_s : float
        Monotonic time after which the caller no longer waits.
    preferred_domain : str
        Failure domain of the request's gateway; its workers are preferred.
    priority : int
        0 is the most urgent.
    fingerprint : str
        The same for all attempts of the request.
    account : int
        Key of the caller's account; 0 if a gateway of an earlier build states none.
    account_weight : float
        Weight of the account.
    must_be_on_time : bool
        Refuse the chain if it cannot be done by `due_s`.
    goes_on : bool
        True for a stream that has begun and that its caller resumes. It is late in any
        case, and is refused only if its caller would have left before it goes on.
    completed_pieces : tuple of StagePiece
        Pieces that a former scheduler has completed.
    """

    request_id: str
    route: str
    stages: tuple[StagePlan, ...]
    n_pieces: tuple[int, ...]
    piece_key: str
    due_s: float
    deadline_s: float
    preferred_domain: str = ""
    priority: int = 0
    fingerprint: str = ""
    account: int = 0
    account_weight: float = 1.0
    must_be_on_time: bool = True
    goes_on: bool = False
    completed_pieces: tuple[StagePiece, ...] = ()

    def last_stages(self) -> tuple[int, ...]:
        """Return the stages whose results the request itself reads."""
        followed = {number for stage in self.stages for number in stage.after}
        return tuple(n for n in range(len(self.stages)) if n not in followed)

    def input_bytes(self) -> float:
        """Return the expected bytes of the results that the request itself reads."""
        return sum(
            self.n_pieces[number] * self.stages[number].result_bytes
            for number in self.last_stages()
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class ChainCompleted:
    """Outcome of a chain of which all stages are done.

    Parameters
    ----------
    handles : tuple of str
        Handles of the results that the request reads, by stage and piece.
    failure_domain : str
        Failure domain that holds most bytes of the results.
    """

    handles: tuple[str, ...]
    failure_domain: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ChainFailed:
    """Outcome of a chain that was refused or that failed.

    Parameters
    ----------
    reason : Reason
        Cause of the refusal or failure.
    is_begun : bool
        False if the chain was refused before any piece was queued.
    finish_s : float
        Seconds that the chain was predicted to take; 0 if unknown.
    retry_after_s : float
        Seconds after which the caller should retry; 0 if unknown.
    """

    reason: Reason
    is_begun: bool
    finish_s: float = 0.0
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ChainMoved:
    """Outcome of a chain that must continue at another gateway's scheduler.

    Parameters
    ----------
    successor : str
        Gateway that schedules the cell now.
    is_admitted : bool
        True if the chain was admitted before the scheduler changed.
    completed_pieces : tuple of StagePiece
        Pieces that are completed.
    """

    successor: str
    is_admitted: bool = False
    completed_pieces: tuple[StagePiece, ...] = ()


ChainOutcome = ChainCompleted | ChainFailed | ChainMoved
