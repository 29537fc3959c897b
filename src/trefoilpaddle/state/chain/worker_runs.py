"""Runs of requests at workers, and their outcomes."""

from dataclasses import dataclass
from enum import Enum, unique

from .target_answers import CallFault
from .workers import Worker


@unique
class RunOutcome(Enum):
    """Outcome of the run of a request at a worker, as observed by the gateway."""

    ANSWERED = "answered"
    """The worker answered completely, with a success or a failure of its own."""
    NOT_RUN = "not_run"
    """The worker did not run the request."""
    REFUSED = "refused"
    """Nothing listened at the worker's address."""
    BROKEN = "broken"
    """The connection closed before the answer was complete."""
    SILENT = "silent"
    """The worker did not respond in time."""
    LEFT = "left"
    """The caller disconnected; the outcome of the run was not observed."""


def outcome_of_fault(fault: CallFault) -> RunOutcome:
    """Return the outcome of a run whose call ended with a fault."""
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
class EndedRun:
    """A run that has ended; without an answer, its worker may have crashed during it.

    Parameters
    ----------
    worker : Worker
        Worker that ran the request.
    fingerprint : str
        Fingerprint of the request.
    level : int
        Crashes of the request that were known when the run began.
    began_s, ended_s : float
        Monotonic times at which the run began and ended.
    outcome : RunOutcome
        How the run ended.
    parts : tuple of str
        Fingerprints of the parts of its prompt that other requests may share.
    """

    worker: Worker
    fingerprint: str
    level: int
    began_s: float
    ended_s: float
    outcome: RunOutcome
    parts: tuple[str, ...] = ()
