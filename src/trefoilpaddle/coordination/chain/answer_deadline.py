"""Cancels the handling of a request while an answer can still be written."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable

from ...protocol.reasons import Reason
from ...state.chain.delivery import Delivery, ignore_change


class AnswerDueError(Exception):
    """A request must be answered now, whatever it is waiting for.

    Parameters
    ----------
    reason : Reason
        Why the answer is due, as reported to the caller.
    """

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.name)
        self.reason = reason


class AnswerDeadline:
    """The time at which one request must be answered, and its enforcement.

    A request waits in many places: for admission, in a queue, at a remote scheduler
    that is unresponsive or hands its cell over, between attempts, at a worker. Each
    of these waits has its own time limit, and none takes the order to stop into
    account. A wait that outlived the process ended in a closed connection, and the
    caller did not know whether its request had run. Cancelling the one task that
    waits covers all of them.

    Parameters
    ----------
    delivery : Delivery
        How far the request has come; notifies this object of changes.
    answer_by_s : callable
        Returns the monotonic time at which the answer is due at present, and the
        reason.
    """

    __slots__ = ("_answer_by_s", "_delivery", "_is_open", "_timeout")

    def __init__(
        self, *, delivery: Delivery, answer_by_s: Callable[[], tuple[float, Reason]]
    ) -> None:
        self._answer_by_s = answer_by_s
        self._timeout = asyncio.timeout(None)
        self._is_open = False
        self._delivery = delivery

    def refresh(self) -> None:
        """Reschedule the time limit after a change of what it depends on.

        A request that a worker completes although its caller has left may still
        change after the context was closed; this has no effect then.
        """
        if self._is_open and not self._timeout.expired():
            self._timeout.reschedule(self._loop_s())

    def _loop_s(self) -> float:
        """Return the time at which the answer is due by the clock of the event loop."""
        answer_by_s, _ = self._answer_by_s()
        return asyncio.get_running_loop().time() + answer_by_s - time.monotonic()

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        """Cancel the body of the context when the answer is due.

        Raises
        ------
        AnswerDueError
            If the answer was due before the body completed.
        """
        self._delivery.on_change = self.refresh
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
            raise AnswerDueError(self._answer_by_s()[1]) from error
        finally:
            # The request and its body would stay until the cyclic collector runs.
            self._delivery.on_change = ignore_change
