"""State that the scheduler of a cell passes to the scheduler that takes over."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldResult:
    """A result that is kept at the worker that computed it.

    Parameters
    ----------
    handle : str
        Identifies the result.
    n_bytes : float
        Expected size in bytes.
    expires_in_s : float
        Seconds until the worker discards the result.
    """

    handle: str
    n_bytes: float
    expires_in_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerHandover:
    """State of one stage worker, as known to its scheduler.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    born_ms : int
        Start time of the worker; the rest is valid for this start only.
    busy_s : float
        Expected seconds until the worker completes its current call.
    ratio, busy_per_s : float
        Learnt times of the worker, as in `PieceTimes`.
    held : tuple of HeldResult
        Results that the worker keeps.
    """

    worker_id: str
    born_ms: int
    busy_s: float
    ratio: float
    busy_per_s: float
    held: tuple[HeldResult, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CellHandover:
    """State of the workers of a cell, without its chains.

    The gateways of the chains send these to the new scheduler themselves.

    Parameters
    ----------
    workers : tuple of WorkerHandover
        Workers that the former scheduler has called.
    """

    workers: tuple[WorkerHandover, ...]
