"""Pieces that wait for the workers of one service, and which share the next call.

A call costs the same time whatever it carries, and a worker makes one at a
time, so pieces of many requests share calls. A piece is bound to a worker when
that worker is free and not before: nobody stands idle while pieces wait, and
whatever came meanwhile rides along. Under light load a piece leaves at once;
under heavy load calls are full. No timer has to be right.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from .crash_registry import CrashStatus
from .piece_work import PieceFault, PieceWork

MayShare = Callable[[PieceWork], bool]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallOffer:
    """What a free worker offers.

    Parameters
    ----------
    worker_id : str
        The worker.
    failure_domain : str
        Where it stands; pieces that belong there go first.
    max_pieces : int
        Pieces that its call takes.
    free_bytes : float
        Memory that it has left for results.
    is_empty : bool
        True if it keeps no result at all.
    done_s : float
        Monotonic time at which a call with one piece would end.
    n_skipped : int
        Most urgent pieces that other workers have done sooner.
    free_in_s_by_domain : mapping of str to float
        Seconds until a worker of each other failure domain is free.
    now_s : float
        Monotonic time.
    """

    worker_id: str
    failure_domain: str
    max_pieces: int
    free_bytes: float
    is_empty: bool
    done_s: float
    n_skipped: int = 0
    free_in_s_by_domain: Mapping[str, float] = field(default_factory=dict)
    now_s: float = 0.0

    def may_take(self, work: PieceWork) -> bool:
        """Return True unless a piece should go on waiting for a nearer worker."""
        if self.worker_id in work.excluded_workers:
            return False
        if work.preferred_domain == self.failure_domain:
            return True
        near_s = self.free_in_s_by_domain.get(work.preferred_domain)
        if near_s is None:
            return True
        waited_s = self.now_s - work.queued_s
        return waited_s + near_s > work.cross_domain_wait_s


class PieceQueue:
    """The pieces of one service that wait for a worker."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: list[PieceWork] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, works: Iterable[PieceWork]) -> None:
        """Queue pieces."""
        self._waiting.extend(works)

    def drain(self) -> list[PieceWork]:
        """Empty the queue; return what waited and is still wanted."""
        waiting = [work for work in self._waiting if work.is_pending]
        self._waiting.clear()
        return waiting

    def drop_unservable(self, done_s: float) -> None:
        """Take out what nobody waits for; tell what cannot be done by its deadline.

        Parameters
        ----------
        done_s : float
            Monotonic time at which the next call could end at the soonest.
        """
        waiting = [work for work in self._waiting if work.is_pending]
        self._waiting = [work for work in waiting if work.deadline_s >= done_s]
        for work in waiting:
            if work.deadline_s < done_s:
                work.resolve(PieceFault.LATE)

    def allow_excluded(self, worker_ids: set[str]) -> None:
        """Let pieces go to workers that have failed them where there are no others."""
        for work in self._waiting:
            if work.excluded_workers and work.excluded_workers >= worker_ids:
                work.excluded_workers = frozenset()

    def most_urgent(self, done_s: float) -> PieceWork | None:
        """Return the most urgent piece, or None."""
        return min(self._waiting, key=lambda w: _order(w, "", done_s), default=None)

    def drop_blocked(self, status: Callable[[str], CrashStatus]) -> None:
        """Give up the pieces of requests that are sent to no worker."""
        for work in self._waiting:
            if status(work.fingerprint) is CrashStatus.BLOCKED:
                work.resolve(PieceFault.CRASHES_WORKERS)
        self._waiting = [work for work in self._waiting if work.is_pending]

    def take_batch(
        self, offer: CallOffer, may_share: MayShare | None = None
    ) -> list[PieceWork]:
        """Return the pieces of a worker's next call and take them off the queue.

        Parameters
        ----------
        offer : CallOffer
            What the worker offers.
        may_share : callable, optional
            Asked for one piece after the other whether it may join those before it.
        """
        batch = self.plan_batch(offer, may_share)
        taken = set(map(id, batch))
        self._waiting = [work for work in self._waiting if id(work) not in taken]
        return batch

    def plan_batch(
        self, offer: CallOffer, may_share: MayShare | None = None
    ) -> list[PieceWork]:
        """Return the pieces that a call would carry, most urgent first.

        Those that can still be on time go first, by the time at which they
        should be done; those already late follow by deadline, so that they fill
        calls that have places left and never hold up one that is on time.
        """
        wanted = [work for work in self._waiting if offer.may_take(work)]
        wanted.sort(key=lambda w: _order(w, offer.failure_domain, offer.done_s))
        wanted = wanted[offer.n_skipped :]
        if may_share is not None:
            wanted = list(filter(may_share, wanted))
        batch: list[PieceWork] = []
        free_bytes = offer.free_bytes
        for group in _by_stage(wanted):
            part = _fitting(group, free_bytes, offer.max_pieces - len(batch))
            # A stage is of use only when all of its pieces are there. A part
            # that rides ahead takes memory from others and speeds nothing up.
            if len(part) == len(group) or not batch:
                batch += part
                free_bytes -= sum(work.result_bytes for work in part)
        if not batch and wanted and offer.is_empty:
            # With nothing kept the first always goes, so that a wrong size in
            # the configuration cannot stop the queue.
            return wanted[:1]
        return batch

    def n_on_time(self, done_s: float) -> int:
        """Return how many waiting pieces can still be on time; they go first."""
        on_time = [
            w for w in self._waiting if w.due_s >= done_s and not w.outcome.done()
        ]
        return len(on_time)


def _fitting(
    group: list[PieceWork], free_bytes: float, n_places: int
) -> list[PieceWork]:
    """Return the first pieces of a stage for which there are places and memory.

    Results wait at their maker until they are read. A piece whose result
    finds no memory there fails at once and would come again and again, taking
    calls from others; left here it costs nothing.
    """
    part: list[PieceWork] = []
    for work in group[:n_places]:
        if work.result_bytes > free_bytes:
            break
        part.append(work)
        free_bytes -= work.result_bytes
    return part


def _by_stage(works: list[PieceWork]) -> list[list[PieceWork]]:
    """Return the pieces in groups of one request's stage, in their order."""
    groups: dict[tuple[str, int], list[PieceWork]] = {}
    for work in works:
        groups.setdefault((work.request_id, work.stage), []).append(work)
    return list(groups.values())


def _order(work: PieceWork, failure_domain: str, done_s: float) -> tuple[bool, float]:
    """Return the place of a piece; one that belongs in the domain comes sooner."""
    is_late = work.due_s < done_s
    near_s = (
        work.cross_domain_wait_s if work.preferred_domain == failure_domain else 0.0
    )
    return is_late, (work.deadline_s if is_late else work.due_s) - near_s
