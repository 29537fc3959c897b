"""Answers kept in memory until the gateway has acknowledged them."""

from collections import OrderedDict
from collections.abc import Callable, Iterator

from ..protocol.checksum import RunningChecksum

OnDrop = Callable[[bytes], None]


class Answer:
    """The chunks of one attempt's answer, in order, with count and checksum."""

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
    """Bounds the finished answers that wait to be acknowledged.

    Parameters
    ----------
    max_bytes : int
        Most bytes of finished answers held; the oldest goes first.
    keep_ns : int
        How long one is held.
    on_drop : callable
        Called with the id of each attempt whose answer is dropped unasked.
    """

    __slots__ = ("_held", "_keep_ns", "_max_bytes", "_on_drop", "n_bytes")

    def __init__(self, *, max_bytes: int, keep_ns: int, on_drop: OnDrop) -> None:
        self._max_bytes = max_bytes
        self._keep_ns = keep_ns
        self._on_drop = on_drop
        self._held: OrderedDict[bytes, tuple[int, int]] = OrderedDict()
        self.n_bytes = 0

    def __len__(self) -> int:
        return len(self._held)

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._held)

    def hold(self, attempt_id: bytes, *, n_bytes: int, now_ns: int) -> None:
        """Hold a finished answer; older ones are dropped to make room."""
        self._held[attempt_id] = (n_bytes, now_ns + self._keep_ns)
        self.n_bytes += n_bytes
        while self.n_bytes > self._max_bytes and len(self._held) > 1:
            self._drop(next(iter(self._held)))

    def release(self, attempt_id: bytes) -> bool:
        """Forget an acknowledged answer; return False if it is not held."""
        held = self._held.pop(attempt_id, None)
        if held is None:
            return False
        self.n_bytes -= held[0]
        return True

    def expire(self, now_ns: int) -> None:
        """Drop every answer that was held for long enough."""
        while self._held:
            attempt_id, (_, until_ns) = next(iter(self._held.items()))
            if until_ns > now_ns:
                return
            self._drop(attempt_id)

    def _drop(self, attempt_id: bytes) -> None:
        self.release(attempt_id)
        self._on_drop(attempt_id)
