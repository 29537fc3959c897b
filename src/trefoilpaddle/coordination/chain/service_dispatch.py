"""The queue of one service in a cell, and its dispatch to workers."""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Final

from ...state.chain.call_sharing import CallSharing
from ...state.chain.piece_queue import MayShare, PieceQueue
from ...state.chain.piece_work import PieceFault, PieceWork
from .crash_guard import CrashGuard
from .dispatch_snapshot import DispatchSnapshot
from .worker_caller import WorkerCaller

BATCH_WINDOW_S: Final = 0.002
"""Seconds for which pieces are collected into one call; a hundredth of a call."""

QUEUE_CHECK_PERIOD_S: Final = 0.1
"""Seconds between dispatches of a queue that is not empty; a third of a call.

Memory becomes free when results expire, and a suspected worker becomes usable again;
there is no notification of either.
"""


class ServiceDispatch:
    """Dispatches the queued pieces of one service to free workers.

    Parameters
    ----------
    callers : callable
        Returns the callers of the workers that are usable now.
    guard : CrashGuard
        Knows which requests crash workers.

    Attributes
    ----------
    queue : PieceQueue
        The pieces that wait for a worker.
    """

    __slots__ = (
        "_callers",
        "_check_timer",
        "_guard",
        "_is_handed_over",
        "_is_stopped",
        "_window_timer",
        "queue",
    )

    def __init__(
        self, *, callers: Callable[[], Sequence[WorkerCaller]], guard: CrashGuard
    ) -> None:
        self._callers = callers
        self._guard = guard
        self._is_stopped = False
        self._is_handed_over = False
        self._window_timer: asyncio.TimerHandle | None = None
        self._check_timer: asyncio.TimerHandle | None = None
        self.queue = PieceQueue()

    def stop(self) -> None:
        """Send no more calls; waiting pieces stay queued."""
        self._is_stopped = True

    def resume(self) -> None:
        """Send calls again."""
        self._is_stopped = False
        self.trigger()

    def redirect_pieces(self) -> None:
        """Reject queued and further pieces, which another scheduler will run.

        A call that completes after the handover starts the next stage here. When its
        pieces were queued for calls that are not sent any more, the request got no
        answer until the gateway exited.
        """
        self._is_handed_over = True
        for work in self.queue.drain():
            work.resolve(PieceFault.MOVED)

    def submit(self, works: Sequence[PieceWork]) -> None:
        """Queue pieces; they are dispatched after a short delay.

        The completion of one call starts the next stages of many requests, one after
        another in one iteration of the event loop. If a worker were called at the
        first, it would run only the pieces of that request, and the others would wait
        for a whole call.
        """
        if self._is_handed_over:
            for work in works:
                work.resolve(PieceFault.MOVED)
            return
        self.queue.add(works)
        if self._window_timer is None:
            loop = asyncio.get_running_loop()
            self._window_timer = loop.call_later(BATCH_WINDOW_S, self._end_window)

    def trigger(self) -> None:
        """Dispatch queued pieces, as a worker may be free or memory was freed."""
        if len(self.queue):
            self._dispatch()

    def n_on_time(self, now_s: float, *, is_beyond_share: bool = True) -> int:
        """Return the number of waiting pieces that can still be on time.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        is_beyond_share : bool
            True to count pieces of accounts beyond their shares as well.
        """
        callers = self._callers()
        if not callers:
            return 0
        done_s = now_s + _shortest_call_s(callers, 1, now_s)
        return self.queue.n_on_time(done_s, is_beyond_share=is_beyond_share)

    def _end_window(self) -> None:
        self._window_timer = None
        self._dispatch()

    def _dispatch(self) -> None:
        if self._is_stopped:
            return
        now_s = time.monotonic()
        callers = self._callers()
        if not callers:
            for work in self.queue.drain():
                work.resolve(PieceFault.NO_WORKER)
            return
        free = [caller for caller in callers if caller.is_free(now_s)]
        if free:
            self._send(free, callers, now_s)
        self._schedule_check()

    def _send(
        self, free: list[WorkerCaller], callers: Sequence[WorkerCaller], now_s: float
    ) -> None:
        """Send queued pieces to the free workers, one worker after another."""
        snapshot = DispatchSnapshot(callers=callers, free=free, now_s=now_s)
        self.queue.drop_unservable(now_s + snapshot.shortest_call_s())
        if not self._guard.has_no_crashes:
            self.queue.drop_blocked(self._guard.status)
        self.queue.allow_excluded({caller.worker.worker_id for caller in callers})
        first: PieceWork | None = None
        is_late = False
        while len(self.queue) and snapshot.has_free:
            # With fewer free workers the earliest completion is later. That changes
            # the most urgent piece only if it was on time and is not any more.
            done_s = now_s + snapshot.shortest_free_call_s()
            if first is None or (not is_late and first.due_s < done_s):
                first = self.queue.most_urgent(done_s)
                is_late = first is not None and first.due_s < done_s
            caller = snapshot.take_next(first)
            n_skipped = snapshot.n_skipped(caller)
            offer = caller.known.offer(
                now_s, n_skipped=n_skipped, free_in_s_by_domain=snapshot.free_in_s
            )
            batch = self.queue.take_batch(offer, self._may_share())
            if batch:
                caller.start(batch, n_waiting=len(self.queue))
                snapshot.refresh(caller)
                first = None
            elif not n_skipped:
                caller.block(now_s)

    def _may_share(self) -> MayShare | None:
        """Return the rule that isolates suspects in calls; None without suspects."""
        if self._guard.has_no_crashes:
            return None
        return CallSharing(
            status=self._guard.status, is_running=self._guard.is_running
        ).may_share

    def _schedule_check(self) -> None:
        if len(self.queue) and self._check_timer is None:
            loop = asyncio.get_running_loop()
            self._check_timer = loop.call_later(QUEUE_CHECK_PERIOD_S, self._check_queue)

    def _check_queue(self) -> None:
        self._check_timer = None
        callers = self._callers()
        if callers:
            now_s = time.monotonic()
            self.queue.drop_unservable(now_s + _shortest_call_s(callers, 1, now_s))
        self.trigger()


def _shortest_call_s(
    callers: Sequence[WorkerCaller], n_pieces: int, now_s: float
) -> float:
    """Return the seconds until a call that is sent as soon as allowed is complete."""
    return min([c.held_s() + c.known.call_s(n_pieces, now_s) for c in callers])
