"""Interface of the request path to the client that calls workers."""

from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol

from result import Result

from ...state.chain.piece_work import PieceOutcome, PieceWork
from ...state.chain.requests import CallerRequest
from ...state.chain.target_answers import (
    AnswerHead,
    CallFault,
    StreamEvent,
    WorkerReport,
)
from ...state.chain.workers import Worker


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetCall:
    """A request as it is sent to a worker.

    Parameters
    ----------
    request : CallerRequest
        The request as the caller sent it.
    account : str
        Client account that the caller's key belongs to; empty without keys.
    ends_s : float
        Monotonic time at which the worker must stop.
    inputs : tuple of str
        Handles of the results that the request takes as inputs.
    after_event : int or None
        Number of the last event that the caller has received; None without any.
    urgency : int or None
        Rank at a model worker from 0, the most urgent, to 9; None for other requests.
    backup : Worker or None
        Worker that gets a copy of the run as it grows; None for no copy.
    copy_of : str
        Id of the run whose copy the worker has and goes on with; empty for a new run.
    """

    request: CallerRequest
    account: str
    ends_s: float
    inputs: tuple[str, ...] = ()
    after_event: int | None = None
    urgency: int | None = None
    backup: Worker | None = None
    copy_of: str = ""


class StreamBrokenError(Exception):
    """A stream ended before its last event, or an event is missing or repeated."""


class StreamCutError(StreamBrokenError):
    """The worker's side closed the connection before the end of a stream.

    Other broken streams may still be running at their workers.
    """


class OpenAnswer(Protocol):
    """An answer whose head has arrived."""

    @property
    def head(self) -> AnswerHead:
        """Status and headers."""

    async def wait_for_room(self) -> None:
        """Wait until this process may hold the answer; the worker waits meanwhile."""

    async def read(self) -> Result[bytes, CallFault]:
        """Return the complete body, or how reading it failed."""

    def events(self) -> AsyncIterator[StreamEvent]:
        """Yield the events; raise StreamBrokenError if the stream is incomplete."""


class TargetCalls(Protocol):
    """Client that implements the protocol of workers without making decisions."""

    def exchange(
        self, worker: Worker, call: TargetCall
    ) -> AbstractAsyncContextManager[Result[OpenAnswer, CallFault]]:
        """Send a request; its connection is closed when the context exits."""

    async def run_pieces(
        self,
        worker: Worker,
        works: Sequence[PieceWork],
        *,
        timeout_s: float,
        on_sent: Callable[[], None],
    ) -> Result[list[PieceOutcome], CallFault]:
        """Run pieces in one call; return one outcome for each, in order.

        `on_sent` is called once the complete call has been sent to the worker.
        """

    async def report(self, worker: Worker, *, timeout_s: float) -> WorkerReport | None:
        """Return a stage worker's status report; None if it does not answer."""

    async def is_listening(self, worker: Worker) -> bool | None:
        """Return whether a process listens at a worker's address; None if unknown."""

    async def free_results(self, worker: Worker, handles: Sequence[str]) -> bool:
        """Free results at a worker; return True if it has freed them."""
