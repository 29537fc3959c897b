"""What the request path asks of the client that speaks to workers."""

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
    """A request as it goes to a worker.

    Parameters
    ----------
    request : CallerRequest
        What the caller sent.
    account : str
        Client account that the caller's key belongs to; empty without keys.
    ends_s : float
        Monotonic time at which the worker is to stop.
    inputs : tuple of str
        Handles of the results that the request takes.
    after_event : int
        Number of the last event that the caller has; None without any.
    urgency : int
        0 to 9, where 0 goes first at a model worker.
    """

    request: CallerRequest
    account: str
    ends_s: float
    inputs: tuple[str, ...] = ()
    after_event: int | None = None
    urgency: int | None = None


class StreamBrokenError(Exception):
    """A stream ended before its last event, or its events are out of order."""


class OpenAnswer(Protocol):
    """An answer whose head has arrived."""

    @property
    def head(self) -> AnswerHead:
        """Status and headers."""

    async def read(self) -> Result[bytes, CallFault]:
        """Return the whole body, or the way in which it failed."""

    def events(self) -> AsyncIterator[StreamEvent]:
        """Yield the events; raise StreamBrokenError unless the end is whole."""


class TargetCalls(Protocol):
    """Speaks to workers; knows their protocol and decides nothing."""

    def exchange(
        self, worker: Worker, call: TargetCall
    ) -> AbstractAsyncContextManager[Result[OpenAnswer, CallFault]]:
        """Send a request; its connection is closed when the context ends."""

    async def run_pieces(
        self,
        worker: Worker,
        works: Sequence[PieceWork],
        *,
        timeout_s: float,
        on_sent: Callable[[], None],
    ) -> Result[list[PieceOutcome], CallFault]:
        """Have pieces made in one call; return one end for each, in order.

        `on_sent` is called once the whole call is on its way to the worker.
        """

    async def report(self, worker: Worker, *, timeout_s: float) -> WorkerReport | None:
        """Return what a stage worker says it does and keeps; None without an answer."""

    async def is_listening(self, worker: Worker) -> bool | None:
        """Return whether anything listens at a worker's address; None if unknown."""

    async def free_results(self, worker: Worker, handles: Sequence[str]) -> bool:
        """Tell a worker that nobody will read these; True if it has freed them."""
