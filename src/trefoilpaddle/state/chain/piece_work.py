"""One piece of a stage's work, and how its making ended."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, unique


@unique
class PieceFault(Enum):
    """Why a piece was not made."""

    LATE = "late"
    """Its request's time was over before the worker came to it."""
    INPUT_GONE = "input_gone"
    """A result that it needs is no longer kept."""
    NO_MEMORY = "no_memory"
    """The worker has no memory left for its result."""
    FAILED = "failed"
    """The worker tried and failed."""
    FULL = "full"
    """The worker took no call; nothing of it was run."""
    LOST = "lost"
    """The call had no answer; it may have run."""
    NO_WORKER = "no_worker"
    """No worker of the service takes work."""
    CRASHES_WORKERS = "crashes_workers"
    """Each worker that was sent pieces of its request has crashed."""
    MOVED = "moved"
    """Another gateway schedules the cell now; it was not sent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PieceResult:
    """A piece whose result waits at its maker.

    Parameters
    ----------
    handle : str
        Names the result and where it lies.
    worker_id : str
        Its maker.
    born_ms : int
        Start of its maker; the result does not outlive it.
    """

    handle: str
    worker_id: str
    born_ms: int = 0


PieceOutcome = PieceResult | PieceFault


@dataclass(slots=True, kw_only=True, eq=False)
class PieceWork:
    """One piece that waits for its turn in a call.

    Parameters
    ----------
    request_id : str
        Request that it belongs to.
    route : str
        Name of the request's route; times are learnt by it.
    fingerprint : str
        Stands for the request's pieces at this service.
    stage, piece : int
        Numbers of the stage and of the piece in it.
    key : str
        What the piece is made from, for a stage without inputs.
    inputs : tuple of str
        Handles of all results that it takes, for a stage with inputs.
    has_inputs : bool
        True if the stage takes inputs, even if there are none.
    result_bytes : float
        Expected size of its result.
    due_s : float
        Monotonic time by which it should be done for the request to be on time.
    deadline_s : float
        Monotonic time after which nobody waits for it.
    preferred_domain : str
        Failure domain where it should be made; empty for any.
    cross_domain_wait_s : float
        Wait that is borne for being made there.
    queued_s : float
        Monotonic time at which it was queued first.
    excluded_workers : frozenset of str
        Workers that have failed it; others go first.
    worker_id : str
        Worker that it was sent to last; empty before.
    on_fetched : callable
        Called once its worker has fetched its inputs.
    outcome : asyncio.Future of PieceOutcome
        Set when it is made or given up.
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
    excluded_workers: frozenset[str] = frozenset()
    worker_id: str = ""
    on_fetched: Callable[[], None] | None = None
    outcome: "asyncio.Future[PieceOutcome]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def resolve(self, outcome: PieceOutcome) -> None:
        """Tell the waiting request how it ended, if it still waits."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)

    @property
    def is_pending(self) -> bool:
        """True while somebody waits for it."""
        return not self.outcome.done()
