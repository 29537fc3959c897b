"""A caller's request as the pipeline sees it, and its two possible ends."""

from dataclasses import dataclass

from ...protocol.errors import Failed, NotRun, StageError, Unknown
from ...state.catalogue import Pipeline
from ...state.governing import Governing
from ..targets.stage_body import Json


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A checked request.

    Parameters
    ----------
    request_id : str
        Made by this gateway or by the one that the caller asked first.
    account, pipeline_name : str
        Whose, and of which pipeline.
    pipeline : Pipeline
        The pipeline as in force when the request came.
    governing : Governing
        The entry that governs it.
    input : Json
        The caller's body.
    n_input_bytes : int
        Size of the body as received.
    fingerprint : int
        Checksum of client account, pipeline and body.
    try_id : str
        This try of it; a retry can carry the same `request_id`.
    key : str
        Key under which retries of it run once; empty without one.
    is_key_generated : bool
        True if the key is an id from ``POST /v1/requests``.
    priority : int
        Orders requests of one owner among themselves; lower goes first.
    deadline_s : float
        End on this process's monotonic clock.
    is_streamed : bool
        True if the caller wants the answer as it comes.
    """

    request_id: str
    account: str
    pipeline_name: str
    pipeline: Pipeline
    governing: Governing
    input: Json
    n_input_bytes: int
    fingerprint: int
    try_id: str
    key: str
    is_key_generated: bool
    priority: int
    deadline_s: float
    is_streamed: bool

    @property
    def n_tokens(self) -> int:
        """Most tokens that the whole request may generate."""
        return sum(stage.max_tokens for stage in self.pipeline.stages)


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The whole answer of a request.

    Parameters
    ----------
    output : Json
        Output of the last stage.
    cost_s : float
        Target-seconds used by all stages and attempts.
    """

    output: Json
    cost_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """A request that was not answered, and what is known to have run.

    For the caller, "not run" means that no stage of the request was started at
    any target. A request whose earlier stages ran has "failed", also when the
    stage that ended it was never started; `is_retry_safe` then says whether it
    may be sent again without running anything twice that must run once.

    Parameters
    ----------
    error : StageError
        What is known of the whole request.
    stage : str
        Stage at which it ended; empty before the first.
    cost_s : float
        Target-seconds spent.
    is_retry_safe : bool
        True if nothing that must run at most once may have been started.
    """

    error: StageError
    stage: str
    cost_s: float = 0.0
    is_retry_safe: bool = True


def to_request_error(error: StageError, *, has_started: bool) -> StageError:
    """Return what a stage's error means for a request of several stages.

    Guards the promise of "not run": without it, a refusal at the third stage
    would tell the caller that nothing ran while two targets have worked.
    """
    match error:
        case NotRun() if has_started:
            return Failed(
                reason=error.reason,
                step=error.step,
                peer=error.peer,
                detail=error.detail,
                retry_after_s=error.retry_after_s,
            )
        case NotRun() | Failed() | Unknown():
            return error
