"""The attempts that a sidecar knows, and the ids that must not start again."""

import asyncio
from enum import Enum, auto, unique

from ...protocol.const import ATTEMPT_ID_BYTES, NS_PER_S
from ...protocol.gen.stage.ttypes import BarState, End, Failure, Start
from ...protocol.reasons import Reason
from ...state.held_results import HeldResults
from ...state.used_ids import UsedIds, UsedState
from ...state.work_queue import Work
from ...transport.connection import Connection
from ...transport.target_http import SendGuard
from .streams import AnswerStream, Grow


@unique
class Phase(Enum):
    """Progress of an attempt."""

    RECEIVING = auto()
    WAITING = auto()
    RESERVED = auto()
    RUNNING = auto()
    DONE = auto()


class Attempt:
    """One attempt at this sidecar.

    Parameters
    ----------
    start : Start
        The message that requested the attempt.
    connection : Connection
        The connection on which it arrived.
    received_ns : int
        When it arrived, on the monotonic clock.
    deadline_ns : int
        Deadline of the whole request; the attempt is not started after it.
    finish_by_ns : int
        When this stage should be complete, so that the following stages still fit.
    grow : callable
        Counts the bytes of its answer; False if there is no space for them.
    """

    __slots__ = (
        "_body_bytes",
        "body",
        "body_chunks",
        "cancel_reason",
        "deadline_ns",
        "finish_by_ns",
        "go",
        "guard",
        "phase",
        "received_ns",
        "start",
        "started_ns",
        "stream",
        "task",
        "timer",
        "work",
    )

    def __init__(
        self,
        *,
        start: Start,
        connection: Connection,
        received_ns: int,
        deadline_ns: int,
        finish_by_ns: int,
        grow: Grow,
    ) -> None:
        self.start = start
        self.body: bytes = start.body
        self.body_chunks: list[bytes] = []
        self._body_bytes = len(start.body)
        start.body = b""
        self.received_ns = received_ns
        self.deadline_ns = deadline_ns
        self.finish_by_ns = finish_by_ns
        self.stream = AnswerStream(
            attempt_id=start.attempt_id,
            connection=connection,
            credit_bytes=start.credit_bytes,
            grow=grow,
        )
        self.phase = Phase.RECEIVING
        self.cancel_reason = Reason.NONE
        self.started_ns = 0
        self.guard: SendGuard | None = None
        self.go: asyncio.Future[None] | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.work: Work | None = None

    @property
    def attempt_id(self) -> bytes:
        """Id of the attempt."""
        return self.start.attempt_id

    def has_body(self) -> bool:
        """Return True when the complete body has arrived."""
        return self._body_bytes >= self.start.body_bytes

    def add_body_chunk(self, data: bytes) -> None:
        """Add the next chunk of a body that did not fit into the start message."""
        self.body_chunks.append(data)
        self._body_bytes += len(data)
        if self.has_body():
            self.body = b"".join(self.body_chunks)
            self.body_chunks = []

    def queued_s(self) -> float:
        """Return the seconds from arrival to start."""
        return (self.started_ns - self.received_ns) / NS_PER_S

    def is_sent(self) -> bool:
        """Return True once any part of the call may have reached the target."""
        return self.guard is not None and self.guard.is_sent

    def stop_timer(self) -> None:
        """Cancel the timer that would drop the attempt from the queue."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class AttemptTable:
    """Every attempt that is open or held, and every id that is used.

    Parameters
    ----------
    held : HeldResults
        Bounds the memory of finished answers.
    spent : UsedIds
        Remembers the ids of attempts that have ended.
    """

    __slots__ = ("_attempts", "_is_empty", "body_bytes", "held", "spent")

    def __init__(self, *, held: HeldResults, spent: UsedIds) -> None:
        self._attempts: dict[bytes, Attempt] = {}
        self._is_empty = asyncio.Event()
        self._is_empty.set()
        self.body_bytes = 0
        self.held = held
        self.spent = spent

    def __len__(self) -> int:
        return len(self._attempts)

    @property
    def n_open(self) -> int:
        """Attempts that have no outcome yet."""
        return len(self._attempts) - len(self.held)

    async def wait_empty(self) -> None:
        """Return when no attempt is open or held."""
        await self._is_empty.wait()

    def get(self, attempt_id: bytes) -> Attempt | None:
        """Return the attempt, or None if it is not open or held."""
        return self._attempts.get(attempt_id)

    def add(self, attempt: Attempt) -> None:
        """Add a new attempt."""
        self._attempts[attempt.attempt_id] = attempt
        self._is_empty.clear()
        self.body_bytes += attempt.start.body_bytes

    def of_connection(self, connection: Connection) -> list[Attempt]:
        """Return the attempts whose answers go to `connection`."""
        return [
            attempt
            for attempt in self._attempts.values()
            if attempt.stream.connection is connection
        ]

    def open_attempts(self) -> list[Attempt]:
        """Return the attempts that have no outcome yet."""
        return [a for a in self._attempts.values() if a.phase is not Phase.DONE]

    def end_not_run(
        self, attempt: Attempt, failure: Failure | None, *, now_ns: int
    ) -> None:
        """End an attempt that was not started and never will be."""
        self._end(attempt)
        self.held.shrink(attempt.stream.answer.n_bytes)
        self._pop(attempt.attempt_id)
        self.spent.add(attempt.attempt_id, UsedState.NEVER_STARTED, now_ns=now_ns)
        if failure is not None:
            attempt.stream.finish(failure)

    def end_ran(self, attempt: Attempt, outcome: End | Failure, *, now_ns: int) -> None:
        """End an attempt that has run; hold its answer until it is acknowledged."""
        self._end(attempt)
        self.spent.add(attempt.attempt_id, UsedState.RAN, now_ns=now_ns)
        self.held.hold(
            attempt.attempt_id, n_bytes=attempt.stream.answer.n_bytes, now_ns=now_ns
        )
        attempt.stream.finish(outcome)

    def mark_refused(self, attempt_id: bytes, *, now_ns: int) -> None:
        """Record the id of a refused attempt, so that it is refused again if resent."""
        if len(attempt_id) == ATTEMPT_ID_BYTES:
            self.spent.add(attempt_id, UsedState.NEVER_STARTED, now_ns=now_ns)

    def release(self, attempt_id: bytes) -> Attempt | None:
        """Free a held answer; return its attempt, or None if it is not held."""
        if not self.held.release(attempt_id):
            return None
        return self._pop(attempt_id)

    def forget_dropped(self, attempt_id: bytes) -> Attempt | None:
        """Remove an attempt whose held answer was dropped."""
        return self._pop(attempt_id)

    def bar_unknown(self, attempt_id: bytes, *, now_ns: int) -> int:
        """Bar an attempt that is neither open nor held; return its `BarState`.

        "Barred" promises that the attempt did not run and never will. For an id
        that never arrived, this is certain only while every id that ran is
        remembered. If used ids were discarded early, the answer is "forgotten".
        """
        if len(attempt_id) != ATTEMPT_ID_BYTES:
            return BarState.FORGOTTEN
        match self.spent.get(attempt_id):
            case UsedState.NEVER_STARTED:
                return BarState.BARRED
            case UsedState.RAN:
                return BarState.FORGOTTEN
        is_complete = self.spent.is_complete(now_ns)
        self.spent.add(attempt_id, UsedState.NEVER_STARTED, now_ns=now_ns)
        return BarState.BARRED if is_complete else BarState.FORGOTTEN

    def _end(self, attempt: Attempt) -> None:
        attempt.phase = Phase.DONE
        attempt.stop_timer()
        attempt.body = b""
        attempt.body_chunks = []
        self.body_bytes -= attempt.start.body_bytes

    def _pop(self, attempt_id: bytes) -> Attempt | None:
        attempt = self._attempts.pop(attempt_id, None)
        if not self._attempts:
            self._is_empty.set()
        return attempt
