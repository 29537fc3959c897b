"""What one stage of one request asks for, and what comes of it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ...protocol.errors import StageError
from ...state.catalogue import Service, Stage
from ...state.estimate import WorkSize
from ...state.governing import Governing


@dataclass(frozen=True, slots=True, kw_only=True)
class StageWork:
    """One stage of one request, ready to be sent to a target.

    Parameters
    ----------
    request_id, pipeline : str
        Which request of which pipeline.
    stage : Stage
        The stage, from the catalogue.
    service : Service
        The service that runs it.
    governing : Governing
        The entry that governs the request.
    body : bytes
        What the sidecar sends to the target.
    body_checksum : int
        Checksum of `body`.
    size : WorkSize
        What the prediction was made from.
    expected_s, high_s : float
        Predicted service time, and the time that most calls stay below.
    size_s : float
        The part of `expected_s` that grows with the input.
    is_warm : bool
        True if the predictions stand on enough samples to act on.
    deadline_s : float
        End of the request on this process's monotonic clock.
    stage_deadline_s : float
        The same less what the later stages need.
    prefix_hashes : tuple of int
        Chained hashes of the prompt's leading blocks.
    is_streamed : bool
        True if the answer is passed on as it comes.
    on_unknown_outcome : callable, optional
        Told at the deadline that it is unknown whether the work ran; the call is
        then followed on, so that a retry of the request can be given its end.
    """

    request_id: str
    pipeline: str
    stage: Stage
    service: Service
    governing: Governing
    body: bytes
    body_checksum: int
    size: WorkSize
    expected_s: float
    high_s: float
    size_s: float
    is_warm: bool
    deadline_s: float
    stage_deadline_s: float
    prefix_hashes: tuple[int, ...] = ()
    is_streamed: bool = False
    on_unknown_outcome: Callable[[StageError], None] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class StageAnswer:
    """The whole answer of one stage, and what it took.

    Parameters
    ----------
    body : bytes
        The answer.
    queued_s, service_s, cost_s : float
        Time in the sidecar's queue, at the target, and target-seconds used.
    n_tokens, n_cached_tokens : int
        Generated tokens, and prompt tokens found in the target's cache.
    peer : str
        Sidecar that ran it.
    """

    body: bytes
    queued_s: float
    service_s: float
    cost_s: float
    n_tokens: int
    n_cached_tokens: int
    peer: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StageFault:
    """A stage call that gave no answer.

    Parameters
    ----------
    error : StageError
        What is known to have run.
    is_partly_forwarded : bool
        True if part of the answer has been passed on; it cannot be repeated.
    """

    error: StageError
    is_partly_forwarded: bool = False


Sink = Callable[[bytes], Awaitable[None]]
"""Takes each piece of an answer as it comes; returns once it was taken."""
