"""How far a request has come: what its end must not deny."""

import contextlib
from collections.abc import Callable, Iterator

from ...protocol.reasons import Reason
from .requests import Failed, Refused


def _nothing() -> None:
    pass


class Delivery:
    """How far one request has come on its way to a worker and back.

    Attributes
    ----------
    on_change : callable
        Called when the request goes to a worker, comes back, or its answer begins.
    may_have_run : bool
        A worker may have begun to work on it in an attempt that has ended.
    is_begun : bool
        A part of its answer is with the caller already.
    """

    __slots__ = ("_is_at_worker", "is_begun", "may_have_run", "on_change")

    def __init__(self) -> None:
        self.on_change: Callable[[], None] = _nothing
        self._is_at_worker = False
        self.may_have_run = False
        self.is_begun = False

    def begin_answer(self) -> None:
        """Count the answer as begun, before its first byte is written."""
        self.is_begun = True
        self.on_change()

    @contextlib.contextmanager
    def at_worker(self) -> Iterator[None]:
        """Count the request as sent to a worker while the context is open.

        If the wait for the worker is broken off, nobody knows what it has done.
        """
        self._is_at_worker = True
        self.on_change()
        try:
            yield
        except BaseException:
            self.may_have_run = True
            raise
        finally:
            self._is_at_worker = False
            self.on_change()

    @property
    def is_in_progress(self) -> bool:
        """True if a worker has it now, or its answer has begun."""
        return self._is_at_worker or self.is_begun

    def waiting_for(self) -> str:
        """Return in a word what the request waits for, for the log."""
        if self.is_begun:
            return "the rest of its answer"
        if self._is_at_worker:
            return "a worker's answer"
        if self.may_have_run:
            return "another attempt"
        return "its stages or a worker"

    def failure_outcome(
        self, reason: Reason, *, retry_after_s: float
    ) -> Refused | Failed:
        """Return the end of a request that no worker has answered.

        Only one that no worker can have begun is said to have not run.
        """
        if self.is_in_progress or self.may_have_run:
            return Failed(reason=reason, is_begun=self.is_begun)
        return Refused(reason=reason, retry_after_s=retry_after_s)
