"""Answers held in bounded memory until the gateway has acknowledged them."""

from collections import OrderedDict
from collections.abc import Callable, Iterator

from ..protocol.checksum import RunningChecksum

OnDrop = Callable[[bytes], None]


class Answer:
    """The chunks of one attempt's answer, in order, with size and checksum."""

    __slots__ = ("_checksum", "chunks", "n_bytes")

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.n_bytes = 0
        self._checksum = RunningChecksum()

    def append(self, data: bytes) -> None:
        """Add the next chunk."""
        self.chunks.append(data)
        self.n_bytes += len(data)
        self._checksum.add(data)

    def checksum(self) -> int:
        """Return the signed checksum of all chunks in order."""
        return self._checksum.value()


class HeldResults:
    """Accounts for the memory of all answers, and expires the finished ones.

    Parameters
    ----------
    max_bytes : int
        Largest size of all answers together. If it would be exceeded, the oldest
        finished answer is dropped first.
    keep_ns : int
        How long a finished answer is held.
    on_drop : callable
        Called with the id of each attempt whose answer is dropped before it was
        acknowledged.
    """

    __slots__ = (
        "_held",
        "_keep_ns",
        "_max_bytes",
        "_on_drop",
        "held_bytes",
        "open_bytes",
    )

    def __init__(self, *, max_bytes: int, keep_ns: int, on_drop: OnDrop) -> None:
        self._max_bytes = max_bytes
        self._keep_ns = keep_ns
        self._on_drop = on_drop
        self._held: OrderedDict[bytes, tuple[int, int]] = OrderedDict()
        self.held_bytes = 0
        self.open_bytes = 0

    def __len__(self) -> int:
        return len(self._held)

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._held)

    def grow(self, n_bytes: int) -> bool:
        """Count `n_bytes` more of answers that are still open.

        Finished answers are dropped as far as necessary. Returns False if that
        does not suffice; the bytes must then not be kept.
        """
        while self._held and self._is_over(n_bytes):
            self._drop(next(iter(self._held)))
        if self._is_over(n_bytes):
            return False
        self.open_bytes += n_bytes
        return True

    def shrink(self, n_bytes: int) -> None:
        """Subtract `n_bytes` of an answer that is not open any more."""
        self.open_bytes -= n_bytes

    def hold(self, attempt_id: bytes, *, n_bytes: int, now_ns: int) -> None:
        """Hold a finished answer, whose bytes were counted as open until now."""
        self.shrink(n_bytes)
        self._held[attempt_id] = (n_bytes, now_ns + self._keep_ns)
        self.held_bytes += n_bytes

    def release(self, attempt_id: bytes) -> bool:
        """Remove an acknowledged answer; return False if it is not held."""
        held = self._held.pop(attempt_id, None)
        if held is None:
            return False
        self.held_bytes -= held[0]
        return True

    def expire(self, now_ns: int) -> None:
        """Drop every answer whose holding time is over."""
        while self._held:
            attempt_id, (_, until_ns) = next(iter(self._held.items()))
            if until_ns > now_ns:
                return
            self._drop(attempt_id)

    def _is_over(self, n_bytes: int) -> bool:
        return self.held_bytes + self.open_bytes + n_bytes > self._max_bytes

    def _drop(self, attempt_id: bytes) -> None:
        self.release(attempt_id)
        self._on_drop(attempt_id)
