"""Which requests a gateway still accepts and waits for after the order to stop."""

import asyncio
import contextlib
import math
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any, Final

from absl import logging

from ...protocol.reasons import Reason
from ...state.chain.delivery import Delivery
from ...state.chain.routes import RepeatPolicy, Route
from .answer_deadline import AnswerDeadline

# Times are bounded by shares of the grace, so that a short one is not all reserve.

ACCEPT_STREAMS_S: Final = 2.8
ACCEPT_STREAMS_SHARE: Final = 0.35
"""Longest time after the order for which streams are accepted.

The load balancer sends new connections for two more seconds. A stream that is
accepted later would often not end before the process is killed.
"""

ANSWER_RESERVE_S: Final = 2.0
ANSWER_RESERVE_SHARE: Final = 0.4
"""Time before the kill that is left for answers of requests sent last.

Longer than the time in which most plain requests are answered. A stream that began
later would mostly be interrupted.
"""

WRITE_RESERVE_S: Final = 0.9
WRITE_RESERVE_SHARE: Final = 0.15
"""Time before the kill that is left to write the last answers and to close.

An answer takes a hundredth of it; the rest is for a weak host on which many
requests end at the same time. Less than a sixth of the grace: what workers answer
before that is written.
"""

CLOSE_RESERVE_S: Final = 0.3
CLOSE_RESERVE_SHARE: Final = 0.1
"""Time before the kill that is left to close connections and to exit."""

EXIT_RESERVE_S: Final = 0.15
EXIT_RESERVE_SHARE: Final = 0.05
"""Time before the kill that is left to exit after the last step of a stop.

The interpreter takes up to a tenth of a second.
"""

END_TASKS_S: Final = 0.1
"""Longest time in seconds for background tasks to end once they are cancelled."""

MAX_NAMED: Final = 8
"""Most background tasks that one log line names."""

SLOW_STEP_S: Final = 0.3
"""Seconds after which a step at the end of a stop is logged; most take milliseconds."""


def accept_streams_s(grace_s: float) -> float:
    """Return the seconds after the order to stop for which streams are accepted."""
    return min(ACCEPT_STREAMS_S, ACCEPT_STREAMS_SHARE * grace_s)


def _never() -> bool:
    return False


def _at_once() -> float:
    return 0.0


def _described(tasks: Iterable[asyncio.Task[Any]]) -> str:
    """Return which background tasks are open, as a text for the log."""
    names = Counter(
        getattr(task.get_coro(), "__qualname__", task.get_name()) for task in tasks
    )
    named = ", ".join(f"{n} {name}" for name, n in names.most_common(MAX_NAMED))
    return f"background tasks: {named}"


class PlannedStop:
    """The order to stop, and the time that is left after it.

    Callers continue to send requests on open connections until the process exits. A
    request that could not be answered before the kill is refused at once, so that the
    caller retries at another gateway. After a closed connection it would not know
    whether its request had run.

    Parameters
    ----------
    grace_s : float
        Seconds from the order to the kill.

    Attributes
    ----------
    is_closing : bool
        True once callers' connections are closed; requests without an answer are
        interrupted then.
    serves_elsewhere_in_s : callable
        Returns the seconds until another gateway probably serves; the Retry-After of
        what is refused.
    """

    __slots__ = (
        "_answer_reserve_s",
        "_close_reserve_s",
        "_deadlines",
        "_exit_reserve_s",
        "_grace_s",
        "_ordered",
        "_ordered_s",
        "_write_reserve_s",
        "is_closing",
        "serves_elsewhere_in_s",
    )

    def __init__(self, *, grace_s: float) -> None:
        self._set_grace(grace_s)
        self._ordered = asyncio.Event()
        self._ordered_s = math.inf
        self._deadlines: set[AnswerDeadline] = set()
        self.is_closing = False
        self.serves_elsewhere_in_s: Callable[[], float] = _at_once

    def _set_grace(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._answer_reserve_s = min(ANSWER_RESERVE_S, ANSWER_RESERVE_SHARE * grace_s)
        self._write_reserve_s = min(WRITE_RESERVE_S, WRITE_RESERVE_SHARE * grace_s)
        self._close_reserve_s = min(CLOSE_RESERVE_S, CLOSE_RESERVE_SHARE * grace_s)
        self._exit_reserve_s = min(EXIT_RESERVE_S, EXIT_RESERVE_SHARE * grace_s)

    @property
    def grace_s(self) -> float:
        """Seconds from the order to the kill."""
        return self._grace_s

    def change_grace(self, grace_s: float) -> None:
        """Change the grace; once the stop is ordered, only to a shorter one.

        Whether the kill comes later for a stop under way is not known.
        """
        if self.is_ordered:
            grace_s = min(grace_s, self._grace_s)
        if grace_s != self._grace_s:
            self._set_grace(grace_s)
            self.refresh()

    @property
    def event(self) -> asyncio.Event:
        """Event that is set by the order to stop."""
        return self._ordered

    @property
    def is_ordered(self) -> bool:
        """True once the stop was ordered."""
        return self._ordered.is_set()

    def order(self, ordered_s: float | None = None) -> None:
        """Order the stop; further orders have no effect.

        Parameters
        ----------
        ordered_s : float, optional
            Monotonic time of the order. By default, now.
        """
        if self._ordered.is_set():
            return
        self._ordered_s = time.monotonic() if ordered_s is None else ordered_s
        self._ordered.set()
        self.refresh()

    def refresh(self) -> None:
        """Reschedule the answers of all open requests after a change."""
        for deadline in self._deadlines:
            deadline.refresh()

    @property
    def since_s(self) -> float:
        """Seconds since the order; minus infinity before it."""
        return time.monotonic() - self._ordered_s

    @property
    def send_until_s(self) -> float:
        """Monotonic time until which requests are sent to workers."""
        return self._ordered_s + self._grace_s - self._answer_reserve_s

    @property
    def answer_until_s(self) -> float:
        """Monotonic time at which every request gets its final answer."""
        return self._ordered_s + self._grace_s - self._write_reserve_s

    def left_s(self) -> float:
        """Return the seconds until the kill; the grace period before the order."""
        return self._grace_s - max(0.0, self.since_s)

    def closes_in_s(self) -> float:
        """Return the seconds for which answers may still be written."""
        return max(0.0, self.left_s() - self._close_reserve_s)

    @contextlib.asynccontextmanager
    async def step(
        self, waits_for: str, *, longest_s: float = math.inf
    ) -> AsyncIterator[None]:
        """Bound one of the last steps of a stop by the time that is left.

        At the bound the body of the context is cancelled and the stop goes on. What
        the process waits for is logged then, and once the step takes long.

        Parameters
        ----------
        waits_for : str
            What the body waits for, as a text for the log.
        longest_s : float, optional
            Longest time in seconds for this step. By default, all that is left.
        """

        def log() -> None:
            logging.warning(
                "the stop waits for %s, %.2f s before the kill",
                waits_for,
                self.left_s(),
            )
            # The process may be killed before lines are written by themselves.
            logging.flush()

        timer = asyncio.get_running_loop().call_later(SLOW_STEP_S, log)
        left_s = max(0.0, self.left_s() - self._exit_reserve_s)
        bound = asyncio.timeout(min(longest_s, left_s))
        try:
            async with bound:
                yield
        except TimeoutError:
            if not bound.expired():
                raise
            logging.warning(
                "the stop no longer waits for %s, %.2f s before the kill",
                waits_for,
                self.left_s(),
            )
        finally:
            timer.cancel()

    @contextlib.asynccontextmanager
    async def ending_tasks(self) -> AsyncIterator[None]:
        """End the tasks that were begun in the context when it exits.

        What they use is closed next. A task that still ran would take that for a
        fault, of a worker for instance.
        """
        earlier = asyncio.all_tasks()
        try:
            yield
        finally:
            tasks = asyncio.all_tasks() - earlier
            for task in tasks:
                task.cancel()
            if tasks:
                async with self.step(_described(tasks), longest_s=END_TASKS_S):
                    await asyncio.wait(tasks)

    def accepts(self, route: Route, *, likely_s: float = 0.0) -> bool:
        """Return True if a request of `route` can still be answered completely.

        Parameters
        ----------
        route : Route
            The route.
        likely_s : float
            Seconds in which most of its answers end. If it is interrupted, the caller
            of a request that may not be repeated does not know whether it has run.
        """
        now_s = time.monotonic()
        if now_s >= self.send_until_s:
            return False
        may_repeat = route.repeat is RepeatPolicy.IDEMPOTENT or route.is_resumable
        if not may_repeat and now_s + likely_s >= self.answer_until_s:
            return False
        return not route.is_stream or self.since_s < accept_streams_s(self._grace_s)

    @contextlib.asynccontextmanager
    async def answer_deadline(
        self,
        delivery: Delivery,
        deadline_s: float,
        *,
        is_blocked: Callable[[], bool] = _never,
    ) -> AsyncIterator[None]:
        """Cancel the body of the context while its request can still be answered.

        Parameters
        ----------
        delivery : Delivery
            How far the request has come.
        deadline_s : float
            Monotonic time at which the answer is due in any case.
        is_blocked : callable
            Returns True if the request must not be sent to a worker any more; its
            answer is due then, unless a worker has it.

        Raises
        ------
        AnswerDueError
            If the answer was due before the body completed.
        """
        deadline = AnswerDeadline(
            delivery=delivery,
            answer_by_s=lambda: self._answer_by_s(delivery, deadline_s, is_blocked),
        )
        self._deadlines.add(deadline)
        try:
            async with deadline.open():
                yield
        finally:
            self._deadlines.remove(deadline)

    def _answer_by_s(
        self, delivery: Delivery, deadline_s: float, is_blocked: Callable[[], bool]
    ) -> tuple[float, Reason]:
        """Return the monotonic time at which a request must be answered, and why."""
        if not delivery.is_in_progress and is_blocked():
            return 0.0, Reason.CRASHES_WORKERS
        stop_s = self.answer_until_s if delivery.is_in_progress else self.send_until_s
        if stop_s < deadline_s:
            return stop_s, Reason.STOPPING
        return deadline_s, Reason.DEADLINE_PASSED
