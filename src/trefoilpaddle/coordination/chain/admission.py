"""Whether a chain of stages can be on time, told before anything is paid for."""

from collections import Counter
from typing import Final

from ...state.chain.chain_work import ChainWork
from .piece_homes import PieceHomes

MIN_RETRY_AFTER_S: Final = 0.2
"""Shortest time after which a refused caller is asked back: about one call."""


class Promises:
    """Pieces of chains that were let in and have not come to their queue yet.

    Attributes
    ----------
    pieces : Counter of str
        How many, by service.
    """

    __slots__ = ("pieces",)

    def __init__(self) -> None:
        self.pieces: Counter[str] = Counter()

    def add(self, service: str, n_pieces: int) -> None:
        """Count pieces that will come."""
        self.pieces[service] += n_pieces

    def keep(self, service: str, n_pieces: int) -> None:
        """Count pieces as come, or as not coming any more."""
        self.pieces[service] -= n_pieces


def forecast_s(work: ChainWork, homes: PieceHomes, promises: Promises) -> float | None:
    """Return the expected seconds until all stages are done.

    None if a stage has no worker.

    Parameters
    ----------
    work : ChainWork
        The stages.
    homes : PieceHomes
        What waits at the workers, and how fast they are.
    promises : Promises
        What will come to them.
    """
    done_s: list[float] = []
    for number, plan in enumerate(work.stages):
        begin_s = max((done_s[before] for before in plan.after), default=0.0)
        n_pieces = work.n_pieces[number]
        if not n_pieces:
            done_s.append(begin_s)
            continue
        wait_s = homes.wait_s(
            plan.service,
            n_pieces,
            n_promised=promises.pieces[plan.service],
            in_s=begin_s,
        )
        if wait_s is None:
            return None
        done_s.append(begin_s + wait_s)
    return max(done_s, default=0.0)


def retry_after_s(finish_s: float, left_s: float) -> float:
    """Return when a refused request would be on time if it came anew.

    Parameters
    ----------
    finish_s : float
        Seconds in which its stages would have been done.
    left_s : float
        Seconds that they had.
    """
    return max(MIN_RETRY_AFTER_S, finish_s - left_s)
