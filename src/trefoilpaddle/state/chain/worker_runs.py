"""Runs of requests at workers, and their outcomes."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum, unique

from .fingerprint import is_part
from .target_answers import CallFault
from .workers import Worker


@unique
class RunOutcome(Enum):
    """Outcome of the run of a request at a worker, as observed by the gateway."""

    ANSWERED = "answered"
    """The worker answered completely."""
    FAILED = "failed"
    """The worker answered that it failed; it may have done so before the work began."""
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
    levels : mapping of str to int
        Level of the crashes that were known when the run began, by the fingerprint of
        the request and of each part of its prompt that other requests may share.
    began_s, ended_s : float
        Monotonic times at which the run began and ended.
    outcome : RunOutcome
        How the run ended.
    """

    worker: Worker
    fingerprint: str
    levels: Mapping[str, int]
    began_s: float
    ended_s: float
    outcome: RunOutcome

    def parts(self) -> Iterator[str]:
        """Yield the fingerprints of the shared parts of the prompt."""
        return filter(is_part, self.levels)
