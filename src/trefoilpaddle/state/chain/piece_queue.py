"""Pieces that wait for the workers of one service, and their batching into calls.

A call has a fixed cost, whatever it carries, and a worker runs one call at a time, so
pieces of many requests share calls. A piece is assigned to a worker only when that
worker is free: no worker is idle while pieces wait, and pieces that arrive in the
meantime join the call. Under light load a piece is sent at once; under heavy load
calls are full. This needs no accurately tuned batching delay.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from .crash_registry import CrashStatus
from .piece_work import PieceFault, PieceWork

MayShare = Callable[[PieceWork], bool]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallOffer:
    """What a free worker can take with its next call.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    failure_domain : str
        Failure domain of the worker; pieces that prefer it go earlier.
    max_pieces : int
        Most pieces that the call may carry.
    free_bytes : float
        Memory of the worker that is left for results.
    is_empty : bool
        True if the worker keeps no result at all.
    done_s : float
        Monotonic time at which a call with one piece would end.
    n_skipped : int
        Number of the most urgent pieces to skip, as other workers complete them sooner.
    free_in_s_by_domain : mapping of str to float
        Seconds until a worker is free, for each other failure domain.
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
        """Return True unless a piece should wait for a worker of its preferred domain.

        False also if the piece excludes this worker.
        """
        if self.worker_id in work.excluded_workers:
            return False
        if work.preferred_domain == self.failure_domain:
            return True
        free_in_s = self.free_in_s_by_domain.get(work.preferred_domain)
        if free_in_s is None:
            return True
        waited_s = self.now_s - work.queued_s
        return waited_s + free_in_s > work.cross_domain_wait_s


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
        """Empty the queue; return the pieces that are still pending."""
        waiting = [work for work in self._waiting if work.is_pending]
        self._waiting.clear()
        return waiting

    def drop_unservable(self, done_s: float) -> None:
        """Remove pieces that are not pending, and fail those that miss their deadline.

        Parameters
        ----------
        done_s : float
            Earliest monotonic time at which the next call could end.
        """
        waiting = [work for work in self._waiting if work.is_pending]
        self._waiting = [work for work in waiting if work.deadline_s >= done_s]
        for work in waiting:
            if work.deadline_s < done_s:
                work.resolve(PieceFault.LATE)

    def allow_excluded(self, worker_ids: set[str]) -> None:
        """Clear the excluded workers of pieces that exclude all of `worker_ids`."""
        for work in self._waiting:
            if work.excluded_workers and work.excluded_workers >= worker_ids:
                work.excluded_workers = frozenset()

    def most_urgent(self, done_s: float) -> PieceWork | None:
        """Return the most urgent piece; None if the queue is empty."""
        return min(self._waiting, key=lambda w: _order(w, "", done_s), default=None)

    def drop_blocked(self, status: Callable[[str], CrashStatus]) -> None:
        """Fail the pieces of requests that are blocked after worker crashes."""
        for work in self._waiting:
            if status(work.fingerprint) is CrashStatus.BLOCKED:
                work.resolve(PieceFault.CRASHES_WORKERS)
        self._waiting = [work for work in self._waiting if work.is_pending]

    def take_batch(
        self, offer: CallOffer, may_share: MayShare | None = None
    ) -> list[PieceWork]:
        """Remove the pieces of a worker's next call from the queue and return them.

        Parameters
        ----------
        offer : CallOffer
            What the worker can take.
        may_share : callable, optional
            Called with each piece in turn; returns True if the piece may join those
            that were accepted before it.
        """
        batch = self.plan_batch(offer, may_share)
        taken = set(map(id, batch))
        self._waiting = [work for work in self._waiting if id(work) not in taken]
        return batch

    def plan_batch(
        self, offer: CallOffer, may_share: MayShare | None = None
    ) -> list[PieceWork]:
        """Return the pieces that a call would carry, most urgent first.

        Pieces that can still be on time come first, those of accounts within their
        shares before others, ordered by the time at which they are due. Late pieces
        follow, ordered by deadline, so that they only fill slots
        that are left and never delay a piece that can be on time.
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
            # The next stage needs all pieces of a stage. Sending a part of them
            # earlier takes memory from other requests and speeds nothing up.
            if len(part) == len(group) or not batch:
                batch += part
                free_bytes -= sum(work.result_bytes for work in part)
        if not batch and wanted and offer.is_empty:
            # A worker that keeps nothing always gets the first piece, so that a
            # wrong result size in the configuration cannot block the queue.
            return wanted[:1]
        return batch

    def n_on_time(self, done_s: float, *, is_beyond_share: bool = True) -> int:
        """Return how many waiting pieces can still be on time; these are sent first.

        Parameters
        ----------
        done_s : float
            Earliest monotonic time at which the next call could end.
        is_beyond_share : bool
            True to count pieces of accounts beyond their shares as well.
        """
        on_time = [
            w for w in self._waiting if w.due_s >= done_s and not w.outcome.done()
        ]
        if not is_beyond_share:
            on_time = [work for work in on_time if not work.is_beyond_share]
        return len(on_time)


def _fitting(
    group: list[PieceWork], free_bytes: float, n_slots: int
) -> list[PieceWork]:
    """Return the first pieces of a stage for which there are slots and memory.

    Results stay at the worker that computed them until they are read. A piece whose
    result finds no memory fails at once and would be retried again and again, using up
    slots in calls; a piece that stays queued costs nothing.
    """
    part: list[PieceWork] = []
    for work in group[:n_slots]:
        if work.result_bytes > free_bytes:
            break
        part.append(work)
        free_bytes -= work.result_bytes
    return part


def _by_stage(works: list[PieceWork]) -> list[list[PieceWork]]:
    """Group pieces by request and stage; the order of the pieces is kept."""
    groups: dict[tuple[str, int], list[PieceWork]] = {}
    for work in works:
        groups.setdefault((work.request_id, work.stage), []).append(work)
    return list(groups.values())


def _order(
    work: PieceWork, failure_domain: str, done_s: float
) -> tuple[bool, bool, float]:
    """Return the sort key of a piece for a worker of a failure domain.

    A piece that prefers the domain counts as due earlier by its cross-domain wait.
    """
    is_late = work.due_s < done_s
    advance_s = (
        work.cross_domain_wait_s if work.preferred_domain == failure_domain else 0.0
    )
    is_beyond_share = work.is_beyond_share and not is_late
    due_s = work.deadline_s if is_late else work.due_s
    return is_late, is_beyond_share, due_s - advance_s
