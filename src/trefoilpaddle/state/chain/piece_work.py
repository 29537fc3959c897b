"""One piece of a stage's work, and its outcome."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, unique


@unique
class PieceFault(Enum):
    """Why a piece has no result."""

    LATE = "late"
    """The deadline of its request passed, or would pass, before it could be run."""
    INPUT_GONE = "input_gone"
    """A result that it takes as input is no longer kept."""
    NO_MEMORY = "no_memory"
    """The worker has no memory left for its result."""
    FAILED = "failed"
    """The worker ran the piece and failed."""
    FULL = "full"
    """The worker did not accept the call; nothing of it was run."""
    LOST = "lost"
    """The call has no response; the piece may have run."""
    NO_WORKER = "no_worker"
    """No worker of the service accepts work."""
    CRASHES_WORKERS = "crashes_workers"
    """Its request is blocked, as workers that ran pieces of it have crashed."""
    MOVED = "moved"
    """Another gateway schedules the cell now; the piece was not sent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PieceResult:
    """The result of a piece, kept at the worker that computed it.

    Parameters
    ----------
    handle : str
        Identifies the result and its location.
    worker_id : str
        Id of the worker that computed it.
    born_ms : int
        Start time of that worker; the result is lost when the worker exits.
    """

    handle: str
    worker_id: str
    born_ms: int = 0


PieceOutcome = PieceResult | PieceFault


@dataclass(slots=True, kw_only=True, eq=False)
class PieceWork:
    """One piece that waits to be sent in a call, or was sent and has no outcome yet.

    Parameters
    ----------
    request_id : str
        Id of the request that the piece belongs to.
    route : str
        Name of the request's route.
    fingerprint : str
        Fingerprint of the request's pieces at this service.
    stage, piece : int
        Index of the stage, and of the piece within the stage.
    key : str
        What the piece is computed from, for a stage without inputs.
    inputs : tuple of str
        Handles of all results that the piece takes, for a stage with inputs.
    has_inputs : bool
        True if the stage takes inputs, even if there are none.
    result_bytes : float
        Expected size of the result in bytes.
    due_s : float
        Monotonic time by which the piece should be done for the request to be on time.
    deadline_s : float
        Monotonic time after which the request no longer waits for the piece.
    preferred_domain : str
        Failure domain in which the piece should run; empty for any.
    cross_domain_wait_s : float
        Longest wait for a worker of the preferred domain before another may take it.
    queued_s : float
        Monotonic time at which the piece was first queued.
    is_beyond_share : bool
        True if the account offers the service more than its share.
    excluded_workers : frozenset of str
        Workers that have failed the piece; used only if there are no others.
    worker_id : str
        Worker that the piece was last sent to; empty if it was not sent.
    on_fetched : callable
        Called once the worker has fetched the inputs.
    outcome : asyncio.Future of PieceOutcome
        Set when the piece has a result or has failed.
    """

    request_id: str
    route: str
    stage: int
    piece: int
    fingerprint: str = ""
    key: str = ""
    inputs: tuple[str, ...] = ()
    has_inputs: bool = False
    result_bytes: float = 0.0
    due_s: float
    deadline_s: float
    preferred_domain: str = ""
    cross_domain_wait_s: float = 0.0
    queued_s: float = 0.0
    is_beyond_share: bool = False
    excluded_workers: frozenset[str] = frozenset()
    worker_id: str = ""
    on_fetched: Callable[[], None] | None = None
    outcome: "asyncio.Future[PieceOutcome]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def resolve(self, outcome: PieceOutcome) -> None:
        """Set the outcome, unless it is set or the request no longer waits."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)

    @property
    def is_pending(self) -> bool:
        """True while the request waits for the outcome."""
        return not self.outcome.done()
