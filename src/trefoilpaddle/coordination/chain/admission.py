"""Whether a chain of stages can be on time, told before anything is paid for."""

from collections import Counter
from typing import Final

from ...state.chain.chain_work import ChainWork
from .cell_dispatch import CellDispatch

WAIT_SHARE_BY_PRIORITY: Final = (1.0, 0.8, 0.5)
"""Part of its time to wait that a chain may use up, by its priority.

When too much comes, what is less urgent is refused while there is still time for
what is more urgent. The last share holds for all later priorities. With 0.5 a
chain is refused once it would wait for half of what its target allows, which
leaves the other half, about one call, to those before it.
"""

TURN_SHARE: Final = 0.5
"""Part of a call that a stage waits for its turn where nothing else waits."""


class Reservations:
    """Pieces of chains that were let in and have not come to their queue yet.

    Attributes
    ----------
    pieces : Counter of str
        How many, by service.
    """

    __slots__ = ("pieces",)

    def __init__(self) -> None:
        self.pieces: Counter[str] = Counter()

    def n_pieces(self) -> int:
        """Return how many there are of all services."""
        return self.pieces.total()

    def add(self, service: str, n_pieces: int) -> None:
        """Count pieces that will come."""
        self.pieces[service] += n_pieces

    def release(self, service: str, n_pieces: int) -> None:
        """Count pieces as come, or as not coming any more."""
        self.pieces[service] -= n_pieces


def forecast_s(
    work: ChainWork, dispatch: CellDispatch, reservations: Reservations
) -> float | None:
    """Return the expected seconds until all stages are done.

    None if a stage has no worker.

    Parameters
    ----------
    work : ChainWork
        The stages.
    dispatch : CellDispatch
        What waits at the workers, and how fast they are.
    reservations : Reservations
        What will come to them.
    """
    done_s: list[float] = []
    for number, plan in enumerate(work.stages):
        begin_s = max((done_s[before] for before in plan.after), default=0.0)
        n_pieces = work.n_pieces[number]
        if not n_pieces:
            done_s.append(begin_s)
            continue
        wait_s = dispatch.wait_s(
            plan.service,
            n_pieces,
            n_reserved=reservations.pieces[plan.service],
            in_s=begin_s,
        )
        if wait_s is None:
            return None
        done_s.append(begin_s + wait_s)
    return max(done_s, default=0.0)


def unloaded_duration_s(work: ChainWork, dispatch: CellDispatch) -> float:
    """Return the seconds that all stages take where nothing else waits."""
    done_s: list[float] = []
    for number, plan in enumerate(work.stages):
        begin_s = max((done_s[before] for before in plan.after), default=0.0)
        n_pieces = work.n_pieces[number]
        call_s = dispatch.call_s(plan.service, n_pieces) if n_pieces else 0.0
        turn_s = TURN_SHARE * call_s if plan.after else 0.0
        done_s.append(begin_s + turn_s + call_s)
    return max(done_s, default=0.0)


def admission_limit_s(
    work: ChainWork, left_s: float, unhindered_s: float, urgent_wait_s: float
) -> float:
    """Return the forecast up to which a chain is let in.

    What is less urgent is measured by what it does to those before it. One that
    can wait long itself would otherwise be let in until queues are longer than
    the more urgent ones can bear, and these alone would be refused.

    Parameters
    ----------
    work : ChainWork
        Says how urgent it is.
    left_s : float
        Seconds until it should be done.
    unhindered_s : float
        Seconds that it takes where nothing else waits.
    urgent_wait_s : float
        Seconds for which more urgent chains of its services can wait.
    """
    rank = min(work.priority, len(WAIT_SHARE_BY_PRIORITY) - 1)
    may_wait_s = min(max(0.0, left_s - unhindered_s), urgent_wait_s)
    return min(left_s, unhindered_s + WAIT_SHARE_BY_PRIORITY[rank] * may_wait_s)
