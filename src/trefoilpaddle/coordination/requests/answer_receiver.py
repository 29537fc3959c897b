"""Receives one answer: buffers it, forwards it to the caller, grants credit."""

from typing import Final

from ...protocol.gen.stage.ttypes import Chunk, Credit, End
from ..targets.stage_work import Sink
from .answer_buffer import AnswerBuffer
from .open_attempts import OpenAttempt

BUFFERED_WINDOW_BYTES: Final = 1024 * 1024
"""Credit window of an answer that is only buffered; sixteen chunks."""

STREAMED_WINDOW_BYTES: Final = 64 * 1024
"""Credit window of an answer that is forwarded as it arrives.

Bounds how much of the answer is buffered here for a slow caller.
"""

GRANTS_PER_WINDOW: Final = 4
"""Grants per window; credit is sent each time this part of a window was consumed."""


class AnswerReceiver:
    """Receives the chunks of one answer.

    Parameters
    ----------
    sink : Sink, optional
        Takes each chunk as it arrives; the complete answer is buffered as well.
    """

    __slots__ = ("_buffer", "_n_ungranted_bytes", "_sink", "window_bytes")

    def __init__(self, *, sink: Sink | None) -> None:
        self._sink = sink
        self._buffer = AnswerBuffer()
        self._n_ungranted_bytes = 0
        self.window_bytes = (
            BUFFERED_WINDOW_BYTES if sink is None else STREAMED_WINDOW_BYTES
        )

    @property
    def n_chunks(self) -> int:
        """Number of chunks received so far."""
        return self._buffer.n_chunks

    @property
    def has_forwarded(self) -> bool:
        """Return True if part of the answer was already forwarded to the caller."""
        return self._sink is not None and self._buffer.n_chunks > 0

    def is_complete(self, end: End) -> bool:
        """Return True if the received chunks match what `end` states was sent."""
        return self._buffer.is_complete(end)

    def body(self) -> bytes:
        """Return the received chunks joined into one body."""
        return self._buffer.body()

    async def receive(self, chunk: Chunk, attempt: OpenAttempt) -> str:
        """Receive a chunk; return what is wrong with it, or an empty text."""
        if self._buffer.is_repeated(chunk):
            return ""
        if not self._buffer.is_next(chunk):
            return "a piece of the answer is missing"
        if not self._buffer.fits(chunk):
            return "the answer is larger than may be kept"
        self._buffer.add(chunk)
        if self._sink is not None:
            await self._sink(chunk.data)
        self._grant_credit(attempt, len(chunk.data))
        return ""

    def try_restart(self) -> bool:
        """Discard all chunks unless one was forwarded; return whether they were."""
        if self.has_forwarded:
            return False
        self._buffer.clear()
        return True

    def reset_window(self, attempt: OpenAttempt) -> None:
        """Grant a full window; credit granted before no longer counts."""
        attempt.n_granted_bytes = self.window_bytes
        self._n_ungranted_bytes = 0

    def _grant_credit(self, attempt: OpenAttempt, n_bytes: int) -> None:
        """Grant credit for consumed bytes, in steps that justify a frame each.

        Most of the window is always granted, so collecting a step before granting
        delays no answer. An answer smaller than a step needs no credit at all.
        """
        self._n_ungranted_bytes += n_bytes
        if self._n_ungranted_bytes < self.window_bytes // GRANTS_PER_WINDOW:
            return
        n_bytes, self._n_ungranted_bytes = self._n_ungranted_bytes, 0
        attempt.n_granted_bytes += n_bytes
        credit = Credit(attempt_id=attempt.attempt_id, n_bytes=n_bytes)
        attempt.view.link.send(credit)
