"""Interface of the request path to the server that answers a caller."""

from typing import Protocol

from ...state.chain.target_answers import AnswerHead, StreamEvent


class CallerSink(Protocol):
    """Writes one answer to a caller."""

    async def whole(self, head: AnswerHead, body: bytes) -> None:
        """Write an answer whose body is complete."""

    async def begin(self, head: AnswerHead) -> None:
        """Write the head of a stream."""

    async def event(self, event: StreamEvent) -> None:
        """Write one event of a stream that has begun."""

    async def end(self) -> None:
        """End a complete stream."""
