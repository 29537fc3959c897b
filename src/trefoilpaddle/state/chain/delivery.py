"""Delivery state of a request, which decides what its outcome may state."""

import contextlib
import enum
import time
from collections.abc import Callable, Iterator

from ...protocol.reasons import Reason
from .requests import Failed, Refused


def ignore_change() -> None:
    """Do nothing about a change of a delivery state."""


@enum.unique
class Step(enum.Enum):
    """What a request waits for; the values are texts for the log."""

    PEERS = "what other gateways know"
    STAGES = "its stages"
    SLOT = "a slot of its service"
    INPUTS = "its inputs"
    EXIT_CHECK = "the check whether its worker has exited"
    WORKER = "a worker's answer"
    NEXT_ATTEMPT = "another attempt"


class Delivery:
    """Delivery state of one request on its way to a worker and back.

    A request is given to a worker or closed, by a refusal or as its caller has left.
    Each is a single step without a wait, and a closed request is given to no further
    worker: "not run" stays true, whatever a task of the request still waits for.

    Attributes
    ----------
    on_change : callable
        Called when the request is sent to a worker, when that attempt ends and when
        the answer begins.
    may_have_run : bool
        True if a worker may have run the request, or a part of it, in an attempt that
        has ended.
    is_begun : bool
        True if a part of the answer may have been sent to the caller.
    step : Step
        What the request waits for, or has waited for last.
    obstacles : list of str
        What kept attempts from ending in an answer, in order, as texts for the log.
    last_part_s : float or None
        Monotonic time of the last part of the answer; None before the first.
    """

    __slots__ = (
        "_is_at_worker",
        "_is_closed",
        "is_begun",
        "last_part_s",
        "may_have_run",
        "obstacles",
        "on_change",
        "step",
    )

    def __init__(self) -> None:
        self.on_change: Callable[[], None] = ignore_change
        self._is_at_worker = False
        self._is_closed = False
        self.may_have_run = False
        self.is_begun = False
        self.last_part_s: float | None = None
        self.obstacles: list[str] = []
        self.step = Step.PEERS

    @property
    def is_closed(self) -> bool:
        """True if no further worker may get the request."""
        return self._is_closed

    def close(self) -> None:
        """Give the request to no further worker; one that has it may finish it."""
        self._is_closed = True

    def begin_answer(self) -> None:
        """Mark the answer as begun; called before its first byte is written."""
        self.is_begun = True
        self.on_change()

    def record_part(self) -> None:
        """Record that a part of the answer is passed on to the caller."""
        self.last_part_s = time.monotonic()

    def record_obstacle(self, text: str) -> None:
        """Record what kept an attempt from ending in an answer; once for each text."""
        if any(each == text or each.startswith(f"{text}, ") for each in self.obstacles):
            return
        if self.last_part_s is not None:
            text = f"{text}, {time.monotonic() - self.last_part_s:.2f} s after an event"
        self.obstacles.append(text)

    @contextlib.contextmanager
    def at_worker(self) -> Iterator[bool]:
        """Give the request to a worker while the context is open.

        If the body is interrupted, it is unknown whether the request has run.

        Yields
        ------
        bool
            False if the request is closed; it must not be sent then.
        """
        if self._is_closed:
            yield False
            return
        self._is_at_worker = True
        self.step = Step.WORKER
        self.on_change()
        try:
            yield True
            self.step = Step.NEXT_ATTEMPT
        except BaseException:
            self.may_have_run = True
            raise
        finally:
            self._is_at_worker = False
            self.on_change()

    @property
    def is_in_progress(self) -> bool:
        """True if a worker has the request now, or its answer has begun."""
        return self._is_at_worker or self.is_begun

    def waiting_for(self) -> str:
        """Return what the request waits for, as a text for the log."""
        return "the rest of its answer" if self.is_begun else self.step.value

    def failure_outcome(
        self, reason: Reason, *, retry_after_s: float, detail: str = ""
    ) -> Refused | Failed:
        """Return the outcome of a request that no worker has answered.

        It is `Refused`, which states that the request has not run, only if no worker
        can have begun to run it. The request is closed in either case.
        """
        self.close()
        if self.is_in_progress or self.may_have_run:
            return Failed(reason=reason, is_begun=self.is_begun, detail=detail)
        return Refused(reason=reason, retry_after_s=retry_after_s, detail=detail)
