"""Outcomes of runs at workers, as reported to the crash guard."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from result import Err, Ok, Result

from ...state.chain.piece_work import PieceFault, PieceOutcome, PieceWork
from ...state.chain.target_answers import CallFault
from ...state.chain.worker_runs import RunOutcome, outcome_of_fault

NOT_BEGUN: Final = frozenset(
    {PieceFault.LATE, PieceFault.INPUT_GONE, PieceFault.NO_MEMORY}
)
"""Faults of pieces that a worker did not begin when their turn came."""


class WatchedRun:
    """A run of one request at one worker.

    Attributes
    ----------
    end : RunOutcome
        How the run ended; `RunOutcome.LEFT` until that is known.
    """

    __slots__ = ("end",)

    def __init__(self) -> None:
        self.end = RunOutcome.LEFT


class WatchedCall:
    """The runs of all requests with pieces in one call.

    Parameters
    ----------
    works : sequence of PieceWork
        The pieces of the call.
    runs : mapping of str to WatchedRun
        The runs by the fingerprints of their requests.
    """

    __slots__ = ("_runs", "_works")

    def __init__(
        self, *, works: Sequence[PieceWork], runs: Mapping[str, WatchedRun]
    ) -> None:
        self._works = works
        self._runs = runs

    def fingerprints(self) -> Iterable[str]:
        """Return the fingerprints of all requests with pieces in the call."""
        return self._runs.keys()

    def take_unsent(self) -> None:
        """Record that the call was not sent."""
        for run in self._runs.values():
            run.end = RunOutcome.NOT_RUN

    def take(self, answer: Result[list[PieceOutcome], CallFault]) -> None:
        """Record the outcome of the call.

        A piece that was not begun does not clear its request.
        """
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
