"""Takes in one answer: collects it, passes it on, grants credit for it."""

from typing import Final

from ...protocol.gen.stage.ttypes import Chunk, Credit, End
from ..targets.stage_work import Sink
from .answer_buffer import AnswerBuffer
from .open_attempts import OpenAttempt

BUFFERED_WINDOW_BYTES: Final = 1024 * 1024
"""Window of an answer that is only kept; sixteen chunks."""

STREAMED_WINDOW_BYTES: Final = 64 * 1024
"""Window of an answer that is passed on; most that lies here for a slow caller."""

GRANTS_PER_WINDOW: Final = 4
"""Parts of a window; a grant is sent once one of them was taken."""


class AnswerReceiver:
    """One answer on its way in.

    Parameters
    ----------
    sink : Sink, optional
        Takes the answer as it comes; it is kept whole besides.
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
        """Pieces taken in so far."""
        return self._buffer.n_chunks

    @property
    def has_forwarded(self) -> bool:
        """Return True if part of the answer has left for the caller."""
        return self._sink is not None and self._buffer.n_chunks > 0

    def is_complete(self, end: End) -> bool:
        """Return True if what came is what `end` says was sent."""
        return self._buffer.is_complete(end)

    def body(self) -> bytes:
        """Return what came, as one."""
        return self._buffer.body()

    async def receive(self, chunk: Chunk, attempt: OpenAttempt) -> str:
        """Take in a piece; return what is wrong with it, or nothing."""
        if self._buffer.is_repeated(chunk):
            return ""
        if not self._buffer.is_next(chunk):
            return "a piece of the answer is missing"
        if not self._buffer.fits(chunk):
            return "the answer is larger than may be kept"
        self._buffer.add(chunk)
        if self._sink is not None:
            await self._sink(chunk.data)
        self._give_credit(attempt, len(chunk.data))
        return ""

    def try_restart(self) -> bool:
        """Forget all pieces if none was passed on; return whether that was so."""
        if self.has_forwarded:
            return False
        self._buffer.clear()
        return True

    def reset_window(self, attempt: OpenAttempt) -> None:
        """Grant a full window anew; what was granted before counts no more."""
        attempt.n_granted_bytes = self.window_bytes
        self._n_ungranted_bytes = 0

    def _give_credit(self, attempt: OpenAttempt, n_bytes: int) -> None:
        """Grant what was taken, in pieces worth a frame of their own.

        Most of the window is always out, so waiting for more before granting
        holds back no answer; a small one needs no credit at all.
        """
        self._n_ungranted_bytes += n_bytes
        if self._n_ungranted_bytes < self.window_bytes // GRANTS_PER_WINDOW:
            return
        n_bytes, self._n_ungranted_bytes = self._n_ungranted_bytes, 0
        attempt.n_granted_bytes += n_bytes
        credit = Credit(attempt_id=attempt.attempt_id, n_bytes=n_bytes)
        attempt.view.link.send(credit)
