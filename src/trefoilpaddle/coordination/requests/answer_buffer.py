"""Collects the chunks of one answer and tells whether it is whole."""

from ...protocol.checksum import RunningChecksum
from ...protocol.const import MAX_ANSWER_BYTES
from ...protocol.gen.stage.ttypes import Chunk, End


class AnswerBuffer:
    """Chunks in order, each counted once.

    An answer is whole only if count, size and checksum of what has arrived are
    those that the end frame states; a torn or doubled stream shows as a
    mismatch here and never as a short answer.
    """

    __slots__ = ("_checksum", "_chunks", "n_bytes", "n_chunks")

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._checksum = RunningChecksum()
        self.n_chunks = 0
        self.n_bytes = 0

    def is_next(self, chunk: Chunk) -> bool:
        """Return True if `chunk` is the one that follows."""
        return chunk.seq == self.n_chunks

    def is_repeated(self, chunk: Chunk) -> bool:
        """Return True if `chunk` has been counted; a fetch may send it again."""
        return chunk.seq < self.n_chunks

    def fits(self, chunk: Chunk) -> bool:
        """Return True if `chunk` may be kept within the bound."""
        return self.n_bytes + len(chunk.data) <= MAX_ANSWER_BYTES

    def add(self, chunk: Chunk) -> None:
        """Count `chunk`, which must be the next one."""
        self.n_chunks += 1
        self.n_bytes += len(chunk.data)
        self._checksum.add(chunk.data)
        self._chunks.append(chunk.data)

    def is_complete(self, end: End) -> bool:
        """Return True if what was counted is what `end` says was sent."""
        return (
            self.n_chunks == end.n_chunks
            and self.n_bytes == end.n_bytes
            and self._checksum.value() == end.checksum
        )

    def clear(self) -> None:
        """Forget all chunks, to fetch the answer again from its beginning."""
        self._chunks = []
        self._checksum = RunningChecksum()
        self.n_chunks = 0
        self.n_bytes = 0

    def body(self) -> bytes:
        """Return the kept chunks as one."""
        return b"".join(self._chunks)
