"""Collects the chunks of one answer and checks whether the answer is complete."""

from ...protocol.checksum import RunningChecksum
from ...protocol.const import MAX_ANSWER_BYTES
from ...protocol.gen.stage.ttypes import Chunk, End


class AnswerBuffer:
    """Chunks of one answer in order, each counted once.

    An answer is complete only if the count, size and checksum of the received
    chunks match the end frame. A truncated or duplicated stream therefore shows
    as a mismatch and is never taken for a shorter answer.
    """

    __slots__ = ("_checksum", "_chunks", "n_bytes", "n_chunks")

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._checksum = RunningChecksum()
        self.n_chunks = 0
        self.n_bytes = 0

    def is_next(self, chunk: Chunk) -> bool:
        """Return True if `chunk` is the next in sequence."""
        return chunk.seq == self.n_chunks

    def is_repeated(self, chunk: Chunk) -> bool:
        """Return True if `chunk` was added before; a fetch may send it again."""
        return chunk.seq < self.n_chunks

    def fits(self, chunk: Chunk) -> bool:
        """Return True if the answer stays within ``MAX_ANSWER_BYTES`` with `chunk`."""
        return self.n_bytes + len(chunk.data) <= MAX_ANSWER_BYTES

    def add(self, chunk: Chunk) -> None:
        """Append `chunk`, which must be the next in sequence."""
        self.n_chunks += 1
        self.n_bytes += len(chunk.data)
        self._checksum.add(chunk.data)
        self._chunks.append(chunk.data)

    def is_complete(self, end: End) -> bool:
        """Return True if the received chunks match what `end` states was sent."""
        return (
            self.n_chunks == end.n_chunks
            and self.n_bytes == end.n_bytes
            and self._checksum.value() == end.checksum
        )

    def clear(self) -> None:
        """Discard all chunks, so that the answer can be fetched from its beginning."""
        self._chunks = []
        self._checksum = RunningChecksum()
        self.n_chunks = 0
        self.n_bytes = 0

    def body(self) -> bytes:
        """Return the chunks joined into one body."""
        return b"".join(self._chunks)
