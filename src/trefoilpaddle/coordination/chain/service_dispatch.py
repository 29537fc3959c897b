"""The queue of one service in a cell, and the workers that empty it."""

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

GATHER_S: Final = 0.002
"""Time in which pieces that come together join one call; a hundredth of a call."""

LOOK_S: Final = 0.1
"""Time after which a queue that waits is looked at; a third of a call.

Memory comes back when results run out, and a worker that was passed over may be
used again: nobody tells either.
"""


class ServiceDispatch:
    """Has the pieces of one service made by the workers that are free.

    Parameters
    ----------
    callers : callable
        Returns the callers of the workers that may get work now.
    guard : CrashGuard
        Knows which requests crash workers.
    """

    __slots__ = (
        "_callers",
        "_guard",
        "_is_moved",
        "_is_stopped",
        "_looking",
        "_timer",
        "queue",
    )

    def __init__(
        self, *, callers: Callable[[], Sequence[WorkerCaller]], guard: CrashGuard
    ) -> None:
        self._callers = callers
        self._guard = guard
        self._is_stopped = False
        self._is_moved = False
        self._timer: asyncio.TimerHandle | None = None
        self._looking: asyncio.TimerHandle | None = None
        self.queue = PieceQueue()

    def stop(self) -> None:
        """Send no more calls; what waits stays queued."""
        self._is_stopped = True

    def resume(self) -> None:
        """Send calls again."""
        self._is_stopped = False
        self.trigger()

    def redirect_pieces(self) -> None:
        """Give up what waits and what still comes: another scheduler has it made.

        A call that ends after the handover sets off the next stage here. Queued
        for calls that are not sent any more, its request had no answer until the
        gateway was gone.
        """
        self._is_moved = True
        for work in self.queue.drain():
            work.resolve(PieceFault.MOVED)

    def submit(self, works: Sequence[PieceWork]) -> None:
        """Queue pieces; a call goes out in a moment if a worker is free.

        One call's end sets off many requests' next stages, one after another
        within one turn of the loop. Called at the first, a worker would make
        that one's pieces alone, and the others would wait for a whole call.
        """
        if self._is_moved:
            for work in works:
                work.resolve(PieceFault.MOVED)
            return
        self.queue.add(works)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(GATHER_S, self._gathered)

    def trigger(self) -> None:
        """Send what can be sent: a worker may be free, or memory was freed."""
        if len(self.queue):
            self._dispatch()

    def n_on_time(self, now_s: float) -> int:
        """Return how many waiting pieces can still be on time."""
        callers = self._callers()
        if not callers:
            return 0
        return self.queue.n_on_time(now_s + _soonest_s(callers, 1, now_s))

    def _gathered(self) -> None:
        self._timer = None
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
        self._look_again()

    def _send(
        self, free: list[WorkerCaller], callers: Sequence[WorkerCaller], now_s: float
    ) -> None:
        """Send what waits to the workers that are free, one after another."""
        look = DispatchSnapshot(callers=callers, free=free, now_s=now_s)
        self.queue.drop_unservable(now_s + look.shortest_call_s())
        if not self._guard.has_no_crashes:
            self.queue.drop_blocked(self._guard.status)
        self.queue.allow_excluded({caller.worker.worker_id for caller in callers})
        first: PieceWork | None = None
        is_late = False
        while len(self.queue) and look.has_free:
            # With fewer free workers the soonest end comes later, which changes the
            # most urgent piece only when it was on time and is not any more.
            done_s = now_s + look.shortest_free_call_s()
            if first is None or (not is_late and first.due_s < done_s):
                first = self.queue.most_urgent(done_s)
                is_late = first is not None and first.due_s < done_s
            caller = look.take_next(first)
            n_passed = look.n_skipped(caller)
            offer = caller.known.offer(
                now_s, n_skipped=n_passed, free_in_s_by_domain=look.free_in_s
            )
            batch = self.queue.take_batch(offer, self._may_share())
            if batch:
                caller.start(batch, n_waiting=len(self.queue))
                look.refresh(caller)
                first = None
            elif not n_passed:
                caller.block(now_s)

    def _may_share(self) -> MayShare | None:
        """Return what keeps suspects apart in a call; None if there are none."""
        if self._guard.has_no_crashes:
            return None
        return CallSharing(
            status=self._guard.status, is_running=self._guard.is_running
        ).may_share

    def _look_again(self) -> None:
        if len(self.queue) and self._looking is None:
            loop = asyncio.get_running_loop()
            self._looking = loop.call_later(LOOK_S, self._look)

    def _look(self) -> None:
        self._looking = None
        callers = self._callers()
        if callers:
            now_s = time.monotonic()
            self.queue.drop_unservable(now_s + _soonest_s(callers, 1, now_s))
        self.trigger()


def _soonest_s(callers: Sequence[WorkerCaller], n_pieces: int, now_s: float) -> float:
    return min([caller.known.call_s(n_pieces, now_s) for caller in callers])
