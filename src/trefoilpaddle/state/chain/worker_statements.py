"""What workers state about themselves in the heads of their answers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class StatedLoad:
    """The load of a worker at the time of an answer, with requests of all gateways.

    Parameters
    ----------
    n_running, n_waiting : int
        Requests that run there, and that wait for a slot.
    n_slots : int
        Requests that it runs at the same time; 0 if it does not state them.
    slowness : float
        How long work takes on its machine at this time; 1 as usual.
    """

    n_running: int
    n_waiting: int
    n_slots: int = 0
    slowness: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerStatement:
    """What one answer of a worker states about the worker.

    Parameters
    ----------
    limit_per_s : float or None
        Requests per second that the worker takes from all gateways together; None if
        the answer names no limit.
    is_leaving : bool
        True if the worker leaves and should get no more requests.
    rest_s : float
        Seconds for which the worker wants nothing from this gateway, as it has turned a
        request away; 0 without such a wish.
    answers_request : bool
        True if a worker gives it with the answer to a request that it has run. Other
        answers need not repeat what the worker has stated, so only such an answer ends
        a statement by its absence.
    load : StatedLoad or None
        Load of the worker; None if the answer states none.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    rest_s: float = 0.0
    answers_request: bool = False
    load: StatedLoad | None = None
