"""The stages of one request as its scheduler gets them, and how they ended."""

from dataclasses import dataclass

from ...protocol.reasons import Reason
from .piece_work import PieceResult
from .routes import StagePlan


@dataclass(frozen=True, slots=True, kw_only=True)
class StagePiece:
    """A piece of a chain that is made and waits at its maker.

    Parameters
    ----------
    stage, piece : int
        Their numbers.
    result : PieceResult
        Its result.
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
        The request.
    route : str
        Name of its route, for the log.
    stages : tuple of StagePlan
        Numbered by their place.
    n_pieces : tuple of int
        Pieces of each stage.
    piece_key : str
        What stages without inputs are made from.
    due_s : float
        Monotonic time by which all should be done.
    deadline_s : float
        Monotonic time after which nobody waits.
    preferred_domain : str
        Failure domain of its gateway, whose workers go first.
    priority : int
        0 is the most urgent.
    fingerprint : str
        The same for all attempts of the request.
    must_be_on_time : bool
        Refuse it if it cannot be done by `due_s`.
    completed_pieces : tuple of StagePiece
        What the scheduler before has made of it.
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
    must_be_on_time: bool = True
    completed_pieces: tuple[StagePiece, ...] = ()

    def last_stages(self) -> tuple[int, ...]:
        """Return the stages whose results the request itself takes."""
        followed = {number for stage in self.stages for number in stage.after}
        return tuple(n for n in range(len(self.stages)) if n not in followed)

    def input_bytes(self) -> float:
        """Return the expected size of the results that the request takes."""
        return sum(
            self.n_pieces[number] * self.stages[number].result_bytes
            for number in self.last_stages()
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class ChainCompleted:
    """All stages are done.

    Parameters
    ----------
    handles : tuple of str
        Results that the request takes, by stage and piece.
    failure_domain : str
        Where most of the results lie.
    """

    handles: tuple[str, ...]
    failure_domain: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ChainFailed:
    """The stages were not done.

    Parameters
    ----------
    reason : Reason
        Why.
    is_begun : bool
        False if it was refused before any piece was queued.
    finish_s : float
        Seconds in which it would have been done, where that is known.
    retry_after_s : float
        When its caller should come back; 0 where that is not known.
    """

    reason: Reason
    is_begun: bool
    finish_s: float = 0.0
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ChainMoved:
    """Another gateway schedules the cell now; the chain goes on there.

    Parameters
    ----------
    successor : str
        That gateway.
    is_admitted : bool
        True if the chain had been admitted before.
    completed_pieces : tuple of StagePiece
        What there is of it.
    """

    successor: str
    is_admitted: bool = False
    completed_pieces: tuple[StagePiece, ...] = ()


ChainOutcome = ChainCompleted | ChainFailed | ChainMoved
