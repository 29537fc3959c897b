"""The queue of one service in a cell, and the workers that empty it."""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Final

from ...state.chain.piece_queue import PieceQueue
from ...state.chain.piece_work import PieceFault, PieceWork
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
    """

    __slots__ = ("_callers", "_is_moved", "_is_stopped", "_looking", "_timer", "queue")

    def __init__(self, *, callers: Callable[[], list[WorkerCaller]]) -> None:
        self._callers = callers
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
        self.wake()

    def move(self) -> None:
        """Give up what waits and what still comes: another scheduler has it made.

        A call that ends after the handover sets off the next stage here. Queued
        for calls that are not sent any more, its request had no answer until the
        gateway was gone.
        """
        self._is_moved = True
        for work in self.queue.drain():
            work.settle(PieceFault.MOVED)

    def submit(self, works: Sequence[PieceWork]) -> None:
        """Queue pieces; a call goes out in a moment if a worker is free.

        One call's end sets off many requests' next stages, one after another
        within one turn of the loop. Called at the first, a worker would make
        that one's pieces alone, and the others would wait for a whole call.
        """
        if self._is_moved:
            for work in works:
                work.settle(PieceFault.MOVED)
            return
        self.queue.add(works)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(GATHER_S, self._gathered)

    def wake(self) -> None:
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
                work.settle(PieceFault.NO_WORKER)
            return
        free = [caller for caller in callers if caller.is_free(now_s)]
        if free:
            self._send(free, callers, now_s)
        self._look_again()

    def _send(
        self, free: list[WorkerCaller], callers: list[WorkerCaller], now_s: float
    ) -> None:
        """Send what waits to the workers that are free, one after another."""
        self.queue.drop_hopeless(now_s + _soonest_s(callers, 1, now_s))
        self.queue.allow_avoided({caller.worker.worker_id for caller in callers})
        while len(self.queue) and free:
            caller = self._next(free, now_s)
            free.remove(caller)
            n_passed = _n_passed(caller, callers, now_s)
            free_in_s = _free_in_s(callers, now_s)
            offer = caller.known.offer(
                now_s, n_passed=n_passed, near_free_in_s=free_in_s
            )
            batch = self.queue.take_batch(offer)
            if batch:
                caller.start(batch, n_waiting=len(self.queue))
            elif not n_passed:
                caller.block(now_s)

    def _next(self, free: list[WorkerCaller], now_s: float) -> WorkerCaller:
        """Return the free worker that should be called next.

        The one that has the most urgent piece soonest, where being near counts
        for as much time as the piece may wait for that.
        """
        done_s = now_s + _soonest_s(free, 1, now_s)
        first = self.queue.first(done_s)

        def cost_s(caller: WorkerCaller) -> float:
            is_far = first is not None and first.near != caller.worker.failure_domain
            far_s = first.far_s if first is not None and is_far else 0.0
            return caller.known.call_s(1, now_s) + far_s

        return min(free, key=cost_s)

    def _look_again(self) -> None:
        if len(self.queue) and self._looking is None:
            loop = asyncio.get_running_loop()
            self._looking = loop.call_later(LOOK_S, self._look)

    def _look(self) -> None:
        self._looking = None
        callers = self._callers()
        if callers:
            now_s = time.monotonic()
            self.queue.drop_hopeless(now_s + _soonest_s(callers, 1, now_s))
        self.wake()


def _n_passed(caller: WorkerCaller, callers: list[WorkerCaller], now_s: float) -> int:
    """Return how many of the first pieces other workers have done sooner.

    A worker that has become slow is free most of the time, as it is given
    little. Taking the most urgent pieces it would make them late, one call of
    its own being as long as several of the others'. It gets what would wait
    longer for these.
    """
    others = [other for other in callers if other is not caller]
    if not others:
        return 0
    own_s = caller.known.call_s(1, now_s)
    soonest_s = min(
        other.known.busy_s(now_s) + other.known.call_s(1, now_s) for other in others
    )
    pace_per_s = sum(other.known.times.busy_per_s for other in others)
    return int(max(0.0, own_s - soonest_s) * pace_per_s)


def _free_in_s(callers: list[WorkerCaller], now_s: float) -> dict[str, float]:
    """Return in how many seconds a worker of each failure domain is free."""
    free_in_s: dict[str, float] = {}
    for caller in callers:
        domain = caller.worker.failure_domain
        busy_s = caller.known.busy_s(now_s)
        free_in_s[domain] = min(busy_s, free_in_s.get(domain, busy_s))
    return free_in_s


def _soonest_s(callers: list[WorkerCaller], n_pieces: int, now_s: float) -> float:
    return min(caller.known.call_s(n_pieces, now_s) for caller in callers)
