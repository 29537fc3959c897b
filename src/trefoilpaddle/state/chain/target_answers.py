"""Answers of workers, and the ways in which a call to a worker fails."""

from dataclasses import dataclass
from enum import Enum, unique

from .requests import Header


@unique
class CallFault(Enum):
    """Why a call to a worker has no answer that can be forwarded."""

    UNREACHABLE = "unreachable"
    """No connection could be made; nothing was sent."""
    REFUSED = "refused"
    """Nothing listens at the worker's address: its process has exited."""
    FULL = "full"
    """The worker reported that it did not run the request."""
    MOVED = "moved"
    """Another worker has the address now; nothing was run."""
    INPUTS_GONE = "inputs_gone"
    """A result that the request takes as input is no longer kept; nothing was run."""
    BROKEN = "broken"
    """The answer was truncated or not of this request, which may have run."""
    SILENT = "silent"
    """No answer arrived in time; the request may have run."""

    @property
    def has_not_run(self) -> bool:
        """True if it is certain that the worker did not run the request."""
        return self in NOT_RUN

    @property
    def was_sent(self) -> bool:
        """True if the worker may have read a part of the request."""
        return self not in NO_CONNECTION


NO_CONNECTION = frozenset({CallFault.UNREACHABLE, CallFault.REFUSED})

NOT_RUN = NO_CONNECTION | {CallFault.FULL, CallFault.MOVED, CallFault.INPUTS_GONE}


PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses by which a caller is told that a request has not run and never will."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """Status and headers of a worker's answer, as they are forwarded."""

    status: int
    headers: tuple[Header, ...]

    @property
    def is_success(self) -> bool:
        """True for status codes 200 to 299: the work was done."""
        return 200 <= self.status < 300

    @property
    def is_worker_failure(self) -> bool:
        """True for status codes from 500: it may have failed before the work began."""
        return self.status >= 500

    @property
    def promises_not_run(self) -> bool:
        """True for a status that a caller takes to mean that nothing has run."""
        return self.status in PROMISES_NOT_RUN


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamEvent:
    """One event of a stream.

    Parameters
    ----------
    number : int
        Sequence number; it rises by one with each event.
    data : bytes
        All bytes of the event, including its terminator.
    """

    number: int
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReport:
    """The report of a stage worker on its calls and its memory.

    Parameters
    ----------
    n_queued : int
        Calls that wait at the worker.
    is_busy : bool
        True while the worker runs a call.
    least_free_bytes, most_free_bytes : float
        Lower and upper bound of the memory that is left for results.
    """

    n_queued: int
    is_busy: bool
    least_free_bytes: float
    most_free_bytes: float
