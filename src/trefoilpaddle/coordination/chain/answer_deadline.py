"""Ends the wait for a request's answer while one can still be written."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable

from ...protocol.reasons import Reason
from ...state.chain.delivery import Delivery


class AnswerDueError(Exception):
    """A request must be answered now, whatever it waits for.

    Parameters
    ----------
    reason : Reason
        Why now.
    """

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.name)
        self.reason = reason


class AnswerDeadline:
    """When one request must be answered, and what ends its wait then.

    A request waits in many places: for admission, in a queue, at a scheduler
    elsewhere that is silent or hands over, between attempts, at a worker. Each has
    bounds of its own, and none knows of the order to stop. A wait that outlived the
    process ended in a closed connection, the caller not knowing whether its request
    had run. Cancelling the one task that waits reaches all of them.

    Parameters
    ----------
    delivery : Delivery
        Tells how far the request has come.
    ends_s : callable
        Returns the monotonic time of the answer as things stand, and the reason.
    """

    __slots__ = ("_ends_s", "_is_open", "_timeout")

    def __init__(
        self, *, delivery: Delivery, ends_s: Callable[[], tuple[float, Reason]]
    ) -> None:
        self._ends_s = ends_s
        self._timeout = asyncio.timeout(None)
        self._is_open = False
        delivery.on_change = self.refresh

    def refresh(self) -> None:
        """Take the time of the answer anew: something that it hangs on has changed.

        A request that a worker finishes for a caller that has left outlives it.
        """
        if self._is_open and not self._timeout.expired():
            self._timeout.reschedule(self._loop_s())

    def _loop_s(self) -> float:
        """Return the time of the answer by the loop's clock."""
        ends_s, _ = self._ends_s()
        return asyncio.get_running_loop().time() + ends_s - time.monotonic()

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        """End what runs in the context when the answer is due.

        Raises
        ------
        AnswerDueError
            When it is.
        """
        try:
            async with self._timeout:
                self._is_open = True
                self.refresh()
                try:
                    yield
                finally:
                    self._is_open = False
        except TimeoutError as error:
            if not self._timeout.expired():
                raise
            raise AnswerDueError(self._ends_s()[1]) from error
