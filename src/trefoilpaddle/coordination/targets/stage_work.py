"""One stage of one request: its work, and its answer or failure."""

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
        Id of the request, and name of its pipeline.
    stage : Stage
        The stage, from the catalogue.
    service : Service
        The service that runs it.
    governing : Governing
        The entry that governs the request.
    body : bytes
        Body that the sidecar sends to the target.
    body_checksum : int
        Checksum of `body`.
    size : WorkSize
        Size from which the service time was predicted.
    expected_s, high_s : float
        Predicted service time, and the time that most calls stay below, in seconds.
    size_s : float
        The part of `expected_s` that grows with the input.
    is_warm : bool
        True if the predictions rest on enough samples to act on.
    deadline_s : float
        Deadline of the request on this process's monotonic clock.
    stage_deadline_s : float
        The deadline less the time that the following stages need.
    prefix_hashes : tuple of int
        Chained hashes of the prompt's leading blocks.
    is_streamed : bool
        True if the answer is forwarded as it arrives.
    on_unknown_outcome : callable, optional
        Called at the deadline if it is unknown whether the work ran. The call is
        still awaited after that, so that a retry of the request gets its outcome.
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
    """The complete answer of one stage, and the time that it took.

    Parameters
    ----------
    body : bytes
        The answer.
    queued_s, service_s, cost_s : float
        Seconds in the sidecar's queue, seconds at the target, and target-seconds
        used.
    n_tokens, n_cached_tokens : int
        Generated tokens, and prompt tokens found in the target's cache.
    peer : str
        Sidecar that ran the stage.
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
    """A stage call that ended without an answer.

    Parameters
    ----------
    error : StageError
        The error, which states what is known to have run.
    is_partly_forwarded : bool
        True if part of the answer was forwarded, so the call cannot be repeated.
    """

    error: StageError
    is_partly_forwarded: bool = False


Sink = Callable[[bytes], Awaitable[None]]
"""Receives each part of an answer as it arrives; returns when it was accepted."""
