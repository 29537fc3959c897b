"""What a scheduler knows of one stage worker: when it is free and what it can take."""

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
"""Pause after a call up to which a worker is not idle; a few round trips."""

FIRST_CALL_SHARE: Final = 0.25
"""Part of the batch size for the first call to a worker known only by its report.

The report may not show that results of a former scheduler fill the memory. All pieces
of a full call would then fail; after this smaller call the state is known.
"""


class KnownWorker:
    """State of one start of a worker, learnt from its calls and its reports.

    Parameters
    ----------
    worker : Worker
        The worker.
    service : PieceService
        Service that the worker runs.

    Attributes
    ----------
    times : PieceTimes
        Times of its calls.
    memory : ResultMemory
        Results that it keeps.
    is_current : bool
        False if the worker must be asked for a report before it is called.
    """

    __slots__ = (
        "_allows_full_calls",
        "_busy_until_s",
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
        # Other schedulers may have left results or calls there, so it is asked first.
        self.is_current = False
        self._worker = worker
        self._service = service
        self._n_calls = 0
        self._busy_until_s = 0.0
        self._paused_until_s = 0.0
        self._allows_full_calls = False
        self._waiting_since_s: float | None = None

    @property
    def batch(self) -> int:
        """Largest number of pieces of a call, as published."""
        return self._service.batch

    def may_be_called(self, now_s: float) -> bool:
        """Return True if the worker has a free call slot and is not paused."""
        return self._n_calls < self._service.n_slots and now_s >= self._paused_until_s

    def busy_s(self, now_s: float) -> float:
        """Return the expected seconds until the worker has completed its call."""
        return max(0.0, self._busy_until_s - now_s)

    def call_s(self, n_pieces: int, now_s: float) -> float:
        """Return the expected duration in seconds of a call that begins now."""
        if self._n_calls:
            return self.times.call_s(n_pieces)
        return self.times.published_s(n_pieces) * self.times.idle_ratio(now_s)

    def offer(
        self, now_s: float, *, n_skipped: int, free_in_s_by_domain: Mapping[str, float]
    ) -> CallOffer:
        """Return what the worker can take from its queue with the next call."""
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
        """Return how many pieces the next call may carry."""
        if self._allows_full_calls:
            return self._service.batch
        return max(1, int(FIRST_CALL_SHARE * self._service.batch))

    def begin_call(self, n_pieces: int, now_s: float) -> None:
        """Record that a call was sent."""
        self._n_calls += 1
        # Unless the worker was idle, its busy time began when the last call ended.
        if now_s - self.times.ended_s < TURNAROUND_S:
            self._waiting_since_s = self.times.ended_s
        self._busy_until_s = now_s + self.call_s(n_pieces, now_s)

    def end_call(self, now_s: float) -> None:
        """Record that a call ended, with any outcome."""
        self._n_calls -= 1
        if not self._n_calls:
            self._busy_until_s = min(self._busy_until_s, now_s)

    def mark_blocked(self, now_s: float) -> None:
        """Count the time from now on as busy, as the waiting pieces do not fit.

        The time since the last call does not count. When it did, a piece that waited
        for a worker of its preferred domain after a period without calls made the pace
        of this worker appear close to zero, and chains were refused while workers were
        idle.
        """
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s

    def pause(self, until_s: float) -> None:
        """Do not call the worker until a time, and ask it first: it refused a call."""
        self.is_current = False
        self._paused_until_s = until_s

    def learn_call(
        self, n_made: int, *, n_waiting: int, began_s: float, now_s: float
    ) -> None:
        """Learn from a call that has a response.

        Parameters
        ----------
        n_made : int
            Pieces of the call that have a result.
        n_waiting : int
            Pieces that remained queued when the call was sent.
        began_s, now_s : float
            Monotonic times at which the call was sent and ended.
        """
        # A call without any result ends at once and tells nothing about times.
        if n_made:
            if n_waiting or self._waiting_since_s is not None:
                since_s = began_s
                if self._waiting_since_s is not None:
                    since_s = min(began_s, self._waiting_since_s)
                self.times.learn_busy(n_made, began_s=since_s, now_s=now_s)
            self.times.learn(n_made, now_s - began_s, now_s)
        self._waiting_since_s = None
        self._allows_full_calls = self._allows_full_calls or n_made > 0

    def learn_full(self, least_bytes: float, now_s: float, *, own_bytes: float) -> None:
        """Learn that a result found no memory; the worker must be asked again.

        Parameters
        ----------
        least_bytes : float
            Expected size of the smallest result that found no memory.
        now_s : float
            Monotonic time.
        own_bytes : float
            Memory that results of this scheduler used at that time.
        """
        self.memory.learn_full(least_bytes, now_s, own_bytes=own_bytes)
        self.is_current = False

    def learn_report(self, report: WorkerReport, now_s: float) -> None:
        """Learn from the report of the worker on its calls and its memory."""
        self.memory.learn_report(report.least_free_bytes, report.most_free_bytes, now_s)
        n_calls = report.n_queued + (1 if report.is_busy else 0)
        if n_calls and not self._n_calls:
            # On average, half of the call that runs now remains.
            remaining_s = (n_calls - 0.5) * self.times.call_s(1)
            self._busy_until_s = max(self._busy_until_s, now_s + remaining_s)

    def hand_over(self, now_s: float) -> WorkerHandover:
        """Return the state of the worker for the scheduler that takes over."""
        return WorkerHandover(
            worker_id=self._worker.worker_id,
            born_ms=self._worker.born_ms,
            busy_s=self.busy_s(now_s),
            ratio=self.times.ratio,
            busy_per_s=self.times.busy_per_s,
            held=self.memory.held(now_s),
        )

    def take_over(self, handover: WorkerHandover, now_s: float) -> None:
        """Take over the state from a former scheduler, without asking the worker."""
        self.is_current = True
        self._allows_full_calls = True
        self._busy_until_s = max(self._busy_until_s, now_s + handover.busy_s)
        self.times.take_over(handover.ratio, handover.busy_per_s)
        self.memory.take_over_results(handover.held, now_s)
