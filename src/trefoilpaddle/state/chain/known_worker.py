"""What a scheduler knows of one stage worker: when it is free, and what it offers."""

from collections.abc import Mapping
from typing import Final

from .cell_handover import WorkerHandover
from .piece_queue import CallOffer
from .piece_times import PieceTimes
from .result_memory import ResultMemory
from .routes import PieceService
from .target_answers import WorkerReport
from .workers import Worker

TURNAROUND_S: Final = 0.02
"""Pause after a call up to which the worker counts as not idle: some round trips."""

FIRST_CALL_SHARE: Final = 0.25
"""Part of its places that the first call to a worker fills that was only asked.

Its report may hide a memory that results of a scheduler which is gone have filled.
A full call would then be turned away whole; after this one all is known.
"""


class KnownWorker:
    """What is learnt of one start of a worker, from its calls and its reports.

    Parameters
    ----------
    worker : Worker
        The worker.
    service : PieceService
        What it runs.

    Attributes
    ----------
    times : PieceTimes
        How long its calls take.
    memory : ResultMemory
        What it keeps.
    is_current : bool
        False if it must be asked what it does and keeps before it is called.
    """

    __slots__ = (
        "_busy_until_s",
        "_is_proven",
        "_n_calls",
        "_paused_until_s",
        "_service",
        "_waiting_since_s",
        "_worker",
        "is_current",
        "memory",
        "times",
    )

    def __init__(self, *, worker: Worker, service: PieceService) -> None:
        self.times = PieceTimes(service=service)
        self.memory = ResultMemory(service=service)
        # Others may have left results or calls there: it is asked first.
        self.is_current = False
        self._worker = worker
        self._service = service
        self._n_calls = 0
        self._busy_until_s = 0.0
        self._paused_until_s = 0.0
        self._is_proven = False
        self._waiting_since_s: float | None = None

    def may_be_called(self, now_s: float) -> bool:
        """Return True if it has a place for a call and has not just refused one."""
        return self._n_calls < self._service.n_slots and now_s >= self._paused_until_s

    def busy_s(self, now_s: float) -> float:
        """Return what is left of the call that the worker makes now."""
        return max(0.0, self._busy_until_s - now_s)

    def call_s(self, n_pieces: int, now_s: float) -> float:
        """Return the expected seconds of a call that begins now."""
        if self._n_calls:
            return self.times.call_s(n_pieces)
        return self.times.published_s(n_pieces) * self.times.idle_ratio(now_s)

    def offer(
        self, now_s: float, *, n_skipped: int, free_in_s_by_domain: Mapping[str, float]
    ) -> CallOffer:
        """Return what it offers to the pieces that wait."""
        return CallOffer(
            worker_id=self._worker.worker_id,
            failure_domain=self._worker.failure_domain,
            max_pieces=self._max_pieces(),
            free_bytes=self.memory.free_bytes(now_s),
            is_empty=self.memory.is_empty(now_s),
            done_s=now_s + self.call_s(1, now_s),
            n_skipped=n_skipped,
            free_in_s_by_domain=free_in_s_by_domain,
            now_s=now_s,
        )

    def _max_pieces(self) -> int:
        """Return how many pieces its next call may carry."""
        if self._is_proven:
            return self._service.batch
        return max(1, int(FIRST_CALL_SHARE * self._service.batch))

    def begin_call(self, n_pieces: int, now_s: float) -> None:
        """Count a call as sent."""
        self._n_calls += 1
        # Without a pause in which nothing waited, its turn began with the last end.
        if now_s - self.times.ended_s < TURNAROUND_S:
            self._waiting_since_s = self.times.ended_s
        self._busy_until_s = now_s + self.call_s(n_pieces, now_s)

    def end_call(self, now_s: float) -> None:
        """Count a call as ended, however it did."""
        self._n_calls -= 1
        if not self._n_calls:
            self._busy_until_s = min(self._busy_until_s, now_s)

    def mark_blocked(self, now_s: float) -> None:
        """Count the time from now on as busy: what waits does not fit.

        Not from the last call on: after a while without any, a piece that waited
        for a nearer worker made this one's pace look like none at all, and chains
        were refused while workers stood idle.
        """
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s

    def pause(self, until_s: float) -> None:
        """Call it no more until then, and ask it first: it had no place."""
        self.is_current = False
        self._paused_until_s = until_s

    def learn_call(
        self, n_made: int, *, n_waiting: int, began_s: float, now_s: float
    ) -> None:
        """Learn from a call that was answered.

        Parameters
        ----------
        n_made : int
            Pieces that it made.
        n_waiting : int
            Pieces that waited behind it when it was sent.
        began_s, now_s : float
            When it was sent, and when it ended.
        """
        # A call of which nothing is made ends at once and says nothing of times.
        if n_made:
            if n_waiting or self._waiting_since_s is not None:
                since_s = began_s
                if self._waiting_since_s is not None:
                    since_s = min(began_s, self._waiting_since_s)
                self.times.learn_busy(n_made, began_s=since_s, now_s=now_s)
            self.times.learn(n_made, now_s - began_s, now_s)
        self._waiting_since_s = None
        self._is_proven = self._is_proven or n_made > 0

    def learn_full(self, least_bytes: float, now_s: float, *, own_bytes: float) -> None:
        """Learn that it had not so much memory left; it is asked for the rest.

        Parameters
        ----------
        least_bytes : float
            Expected size of the smallest result that found none.
        now_s : float
            Monotonic time.
        own_bytes : float
            What this scheduler's results took there then.
        """
        self.memory.learn_full(least_bytes, now_s, own_bytes=own_bytes)
        self.is_current = False

    def learn_report(self, report: WorkerReport, now_s: float) -> None:
        """Learn from what it says that it does and keeps."""
        self.memory.learn_report(report.least_free_bytes, report.most_free_bytes, now_s)
        n_calls = report.n_queued + (1 if report.is_busy else 0)
        if n_calls and not self._n_calls:
            # The one that it makes now is half over on the average.
            left_s = (n_calls - 0.5) * self.times.call_s(1)
            self._busy_until_s = max(self._busy_until_s, now_s + left_s)

    def hand_over(self, now_s: float) -> WorkerHandover:
        """Return what is known of the worker."""
        return WorkerHandover(
            worker_id=self._worker.worker_id,
            born_ms=self._worker.born_ms,
            busy_s=self.busy_s(now_s),
            ratio=self.times.ratio,
            busy_per_s=self.times.busy_per_s,
            held=self.memory.held(now_s),
        )

    def take_over(self, handover: WorkerHandover, now_s: float) -> None:
        """Go on from what the scheduler before knew; the worker need not be asked."""
        self.is_current = True
        self._is_proven = True
        self._busy_until_s = max(self._busy_until_s, now_s + handover.busy_s)
        self.times.take_over(handover.ratio, handover.busy_per_s)
        self.memory.take_over_results(handover.held, now_s)
