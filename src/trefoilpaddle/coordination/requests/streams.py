"""One attempt's answer as sent to a gateway: flow control, holding, resumption."""

import asyncio
import time
from collections.abc import Callable
from typing import Final, Protocol

from ...protocol.const import MAX_ANSWER_BYTES
from ...protocol.gen.stage.ttypes import Chunk, End, Failure
from ...state.held_results import Answer
from ...transport.connection import Connection

MAX_UNSENT_BYTES: Final = 256 * 1024
"""Reading from the target pauses while more bytes than this are unsent."""

Grow = Callable[[int], bool]


class AnswerTooLargeError(Exception):
    """The answer, or all answers together, exceed the memory bound."""


class Sink(Protocol):
    """Receives the answer of a call to the target."""

    def append(self, data: bytes) -> None:
        """Append the next part of the answer."""
        ...

    async def wait_for_space(self) -> None:
        """Return when more of the answer may be read from the target."""
        ...


class AnswerStream:
    """Sends an answer within the gateway's credit and keeps it for a resume.

    A gateway that grants no credit stops this stream alone: chunks are buffered up
    to ``MAX_UNSENT_BYTES``, then reading from the target stops. Without a connection
    the answer is read to its end and held.

    Parameters
    ----------
    attempt_id : bytes
        Id of the attempt.
    connection : Connection, optional
        Connection to send on; None holds the complete answer.
    credit_bytes : int
        Number of bytes that may be sent before more credit arrives.
    grow : callable
        Counts bytes of answers in memory; returns False if there is no space.
    """

    __slots__ = (
        "_attempt_id",
        "_connection",
        "_credit_bytes",
        "_grow",
        "_has_space",
        "_is_outcome_sent",
        "_next_seq",
        "_unsent_bytes",
        "answer",
        "detached_ns",
        "outcome",
    )

    def __init__(
        self,
        *,
        attempt_id: bytes,
        connection: Connection | None,
        credit_bytes: int,
        grow: Grow,
    ) -> None:
        self._attempt_id = attempt_id
        self._grow = grow
        self.detached_ns = 0
        self._connection = connection
        self._credit_bytes = credit_bytes
        self._has_space = asyncio.Event()
        self._has_space.set()
        self._is_outcome_sent = False
        self._next_seq = 0
        self._unsent_bytes = 0
        self.answer = Answer()
        self.outcome: End | Failure | None = None

    @property
    def connection(self) -> Connection | None:
        """The connection on which the answer is sent, if there is one."""
        return self._connection

    def append(self, data: bytes) -> None:
        """Append the next chunk and send what the credit allows.

        Raises
        ------
        AnswerTooLargeError
            If there is no space for the chunk.
        """
        if self.answer.n_bytes + len(data) > MAX_ANSWER_BYTES:
            raise AnswerTooLargeError
        if not self._grow(len(data)):
            raise AnswerTooLargeError
        self.answer.append(data)
        self._unsent_bytes += len(data)
        self._send()

    async def wait_for_space(self) -> None:
        """Return when few enough bytes are unsent to continue reading."""
        if self._has_space.is_set():
            return
        await self._has_space.wait()

    def finish(self, outcome: End | Failure) -> None:
        """Set the final message; it is sent after all chunks."""
        self.outcome = outcome
        self._send()

    def add_credit(self, n_bytes: int) -> None:
        """Allow `n_bytes` more to be sent."""
        self._credit_bytes += max(0, n_bytes)
        self._send()

    def attach(
        self, connection: Connection, *, from_seq: int, credit_bytes: int
    ) -> None:
        """Send the answer from chunk `from_seq` on over `connection`."""
        self._connection = connection
        self._credit_bytes = max(0, credit_bytes)
        self._next_seq = min(max(0, from_seq), len(self.answer.chunks))
        self._unsent_bytes = sum(map(len, self.answer.chunks[self._next_seq :]))
        self._is_outcome_sent = False
        self._send()

    def detach(self) -> None:
        """Hold the rest of the answer, as its connection is lost."""
        if self._connection is not None:
            self.detached_ns = time.monotonic_ns()
        self._connection = None
        self._has_space.set()

    def send_uncredited(self, message: object) -> None:
        """Send a message that needs no credit and is not held."""
        if self._connection is not None:
            self._connection.write(message)

    def _send(self) -> None:
        connection = self._connection
        if connection is None:
            return
        chunks = self.answer.chunks
        while self._next_seq < len(chunks) and self._credit_bytes > 0:
            data = chunks[self._next_seq]
            chunk = Chunk(attempt_id=self._attempt_id, seq=self._next_seq, data=data)
            if not connection.write(chunk):
                self.detach()
                return
            self._next_seq += 1
            self._credit_bytes -= len(data)
            self._unsent_bytes -= len(data)
        self._send_outcome(connection)
        self._update_space()

    def _send_outcome(self, connection: Connection) -> None:
        if self.outcome is None or self._is_outcome_sent:
            return
        if self._next_seq == len(self.answer.chunks):
            self._is_outcome_sent = connection.write(self.outcome)

    def _update_space(self) -> None:
        if self._unsent_bytes <= MAX_UNSENT_BYTES:
            self._has_space.set()
        else:
            self._has_space.clear()
