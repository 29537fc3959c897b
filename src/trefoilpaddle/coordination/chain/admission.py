"""Forecasts whether a chain can be on time, before any of its stages is run."""

from collections import Counter
from typing import Final

from ...state.chain.chain_work import ChainWork
from .cell_dispatch import CellDispatch

WAIT_SHARE_BY_PRIORITY: Final = (1.0, 0.8, 0.5)
"""Share of its tolerable wait that a chain may use up, by its priority.

Under overload, less urgent chains are refused while there is still time for more
urgent ones. The last share applies to all lower priorities. With 0.5 a chain is
refused once it would wait for half of what its latency objective allows, which
leaves the other half, about one call, to the more urgent ones.
"""

IDLE_QUEUE_SHARE: Final = 0.5
"""Share of a call that a stage waits for a worker even without a backlog."""


class Reservations:
    """Pieces of admitted chains that have not reached their queue yet.

    Attributes
    ----------
    pieces : Counter of str
        Number of reserved pieces by service.
    within_share : Counter of str
        Those of them whose accounts were within their shares.
    """

    __slots__ = ("pieces", "within_share")

    def __init__(self) -> None:
        self.pieces: Counter[str] = Counter()
        self.within_share: Counter[str] = Counter()

    def n_pieces(self) -> int:
        """Return the number of reserved pieces of all services."""
        return self.pieces.total()

    def add(
        self, service: str, n_pieces: int, *, is_beyond_share: bool = False
    ) -> None:
        """Reserve capacity for pieces that will be queued later."""
        self.pieces[service] += n_pieces
        if not is_beyond_share:
            self.within_share[service] += n_pieces

    def release(
        self, service: str, n_pieces: int, *, is_beyond_share: bool = False
    ) -> None:
        """Release pieces that have been queued or will not be queued any more."""
        self.pieces[service] -= n_pieces
        if not is_beyond_share:
            self.within_share[service] -= n_pieces


def forecast_s(
    work: ChainWork,
    dispatch: CellDispatch,
    reservations: Reservations,
    *,
    is_beyond_share: bool = True,
) -> float | None:
    """Return the expected seconds until all stages are complete.

    None if a stage has no worker.

    Parameters
    ----------
    work : ChainWork
        The chain whose stages are to be run.
    dispatch : CellDispatch
        The backlog of the workers and their speed.
    reservations : Reservations
        Pieces that will be queued at the workers later.
    is_beyond_share : bool
        False if pieces of accounts beyond their shares go after those of the chain.
    """
    reserved = reservations.pieces if is_beyond_share else reservations.within_share
    done_s: list[float] = []
    for index, plan in enumerate(work.stages):
        begin_s = max((done_s[preceding] for preceding in plan.after), default=0.0)
        n_pieces = work.n_pieces[index]
        if not n_pieces:
            done_s.append(begin_s)
            continue
        wait_s = dispatch.wait_s(
            plan.service,
            n_pieces,
            n_reserved=reserved[plan.service],
            queued_in_s=begin_s,
            is_beyond_share=is_beyond_share,
        )
        if wait_s is None:
            return None
        done_s.append(begin_s + wait_s)
    return max(done_s, default=0.0)


def unloaded_duration_s(work: ChainWork, dispatch: CellDispatch) -> float:
    """Return the seconds that all stages take without a backlog."""
    done_s: list[float] = []
    for index, plan in enumerate(work.stages):
        begin_s = max((done_s[preceding] for preceding in plan.after), default=0.0)
        n_pieces = work.n_pieces[index]
        call_s = dispatch.call_s(plan.service, n_pieces) if n_pieces else 0.0
        queue_s = IDLE_QUEUE_SHARE * call_s if plan.after else 0.0
        done_s.append(begin_s + queue_s + call_s)
    return max(done_s, default=0.0)


def admission_limit_s(
    work: ChainWork, left_s: float, unloaded_s: float, urgent_wait_s: float
) -> float:
    """Return the longest forecast in seconds with which a chain is admitted.

    The limit of a less urgent chain also depends on how long more urgent ones can
    wait. Otherwise chains that tolerate long waits would be admitted until queues
    are longer than the more urgent chains tolerate, and only these would be refused.

    Parameters
    ----------
    work : ChainWork
        The chain, with its priority.
    left_s : float
        Seconds until it is due.
    unloaded_s : float
        Seconds that it takes without a backlog.
    urgent_wait_s : float
        Seconds for which more urgent chains of its services can wait.
    """
    rank = min(work.priority, len(WAIT_SHARE_BY_PRIORITY) - 1)
    tolerable_wait_s = min(max(0.0, left_s - unloaded_s), urgent_wait_s)
    return min(left_s, unloaded_s + WAIT_SHARE_BY_PRIORITY[rank] * tolerable_wait_s)
