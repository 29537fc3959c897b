"""How runs at workers ended, as those who sent them tell the guard."""

from collections.abc import Mapping, Sequence
from typing import Final

from result import Err, Ok, Result

from ...state.chain.piece_work import PieceFault, PieceOutcome, PieceWork
from ...state.chain.target_answers import CallFault
from ...state.chain.worker_runs import RunOutcome, outcome_of_fault

NOT_BEGUN: Final = frozenset(
    {PieceFault.LATE, PieceFault.INPUT_GONE, PieceFault.NO_MEMORY}
)
"""Ends of pieces at whose turn a worker did not begin them."""


class WatchedRun:
    """A run of one request at one worker.

    Attributes
    ----------
    end : RunOutcome
        How it ended; `RunOutcome.LEFT` until that is known.
    """

    __slots__ = ("end",)

    def __init__(self) -> None:
        self.end = RunOutcome.LEFT


class WatchedCall:
    """The runs of the requests that one call carries pieces of.

    Parameters
    ----------
    works : sequence of PieceWork
        The pieces.
    runs : mapping of str to WatchedRun
        By what stands for their requests.
    """

    __slots__ = ("_runs", "_works")

    def __init__(
        self, *, works: Sequence[PieceWork], runs: Mapping[str, WatchedRun]
    ) -> None:
        self._works = works
        self._runs = runs

    def take(self, answer: Result[list[PieceOutcome], CallFault]) -> None:
        """Take how the call ended; pieces that were not begun clear nobody."""
        match answer:
            case Err(fault):
                for run in self._runs.values():
                    run.end = outcome_of_fault(fault)
            case Ok(ends):
                begun = {
                    work.fingerprint
                    for work, end in zip(self._works, ends, strict=True)
                    if end not in NOT_BEGUN
                }
                for fingerprint, run in self._runs.items():
                    is_begun = fingerprint in begun
                    run.end = RunOutcome.ANSWERED if is_begun else RunOutcome.NOT_RUN
