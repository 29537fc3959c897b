"""What the scheduler of a cell tells the one that takes over from it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldResult:
    """A result that waits at its maker.

    Parameters
    ----------
    handle : str
        Names it.
    n_bytes : float
        Its expected size.
    expires_in_s : float
        Seconds until it runs out.
    """

    handle: str
    n_bytes: float
    expires_in_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerHandover:
    """What is known of one stage worker.

    Parameters
    ----------
    worker_id : str
        The worker.
    born_ms : int
        Its start; nothing of this holds for another.
    busy_s : float
        What is left of the call that it makes.
    ratio, busy_per_s : float
        Its learnt times, as in `PieceTimes`.
    held : tuple of HeldResult
        What it keeps.
    """

    worker_id: str
    born_ms: int
    busy_s: float
    ratio: float
    busy_per_s: float
    held: tuple[HeldResult, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CellHandover:
    """What is known of a cell's workers; its chains come by themselves.

    Parameters
    ----------
    workers : tuple of WorkerHandover
        Those that were called.
    """

    workers: tuple[WorkerHandover, ...]
