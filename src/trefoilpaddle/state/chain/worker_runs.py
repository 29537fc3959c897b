"""Runs of requests at workers, and how each of them ended."""

from dataclasses import dataclass
from enum import Enum, unique

from .target_answers import CallFault
from .workers import Worker


@unique
class RunOutcome(Enum):
    """How the run of a request at a worker ended, as its gateway saw it."""

    ANSWERED = "answered"
    """The worker answered whole, with a success or a failure of its own."""
    NOT_RUN = "not_run"
    """The worker did not run it."""
    REFUSED = "refused"
    """Nothing listened at the worker's address."""
    BROKEN = "broken"
    """The connection ended within the answer."""
    SILENT = "silent"
    """The worker fell silent."""
    LEFT = "left"
    """The caller left; what became of the run was not seen."""


def outcome_of_fault(fault: CallFault) -> RunOutcome:
    """Return how a run ended that a call's fault ended."""
    match fault:
        case CallFault.REFUSED:
            return RunOutcome.REFUSED
        case CallFault.BROKEN:
            return RunOutcome.BROKEN
        case CallFault.SILENT:
            return RunOutcome.SILENT
        case _:
            return RunOutcome.NOT_RUN


@dataclass(frozen=True, slots=True, kw_only=True)
class UnansweredRun:
    """A run that has no answer; its worker may have ended under it.

    Parameters
    ----------
    worker : Worker
        Where it ran.
    fingerprint : str
        The request.
    level : int
        Crashes of the request that were known as it began.
    ended_s : float
        Monotonic time of its end.
    outcome : RunOutcome
        How it ended.
    """

    worker: Worker
    fingerprint: str
    level: int
    ended_s: float
    outcome: RunOutcome
