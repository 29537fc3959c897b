"""Bounds the bytes of requests and answers that a process holds at one time."""

import contextlib
import os
import time
from collections.abc import Callable, Iterator
from typing import Final

SMALL_BYTES: Final = 64 * 1024
"""Requests up to this size may use all of the limit."""

LARGE_SHARE: Final = 0.95
"""Share of the limit that larger ones may use, so that small ones still pass."""

SENDER_STALLED_S: Final = 1.0
"""Seconds without a byte of a body after which it may be dropped for others.

A caller that sends gets on within a round trip, or after a lost packet.
"""

READER_STALLED_S: Final = 5.0
"""The same for an answer; the kernel takes its parts in bursts for slow readers."""

RESERVED_BYTES: Final = 80 * 1024 * 1024
"""Memory for the process itself and for buffers of its connections."""

BODIES_SHARE: Final = 0.6
ANSWERS_SHARE: Final = 0.15
"""Shares of the rest; buffers grow in steps, and the allocator keeps what is freed.

Answers have a share of their own: what workers have done must not wait for bodies that
wait for workers.
"""

MIN_HELD_BYTES: Final = 16 * 1024 * 1024


def held_limit_bytes(memory_bytes: int, share: float) -> int:
    """Return how many bytes of one kind a process may hold.

    Parameters
    ----------
    memory_bytes : int
        Memory that the process may use; 0 for all of the machine's.
    share : float
        Share of the kind.
    """
    if not memory_bytes:
        memory_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    spare = memory_bytes - RESERVED_BYTES
    return max(MIN_HELD_BYTES, int(share * spare))


class HeldBytes:
    """Counts the bytes of one kind that all requests of a process hold.

    Parameters
    ----------
    limit_bytes : int
        Most bytes that may be held.
    stalled_s : float
        Seconds without progress after which a holding may be dropped for others.

    Attributes
    ----------
    n_bytes : int
        Bytes that are held now.
    n_refused : int
        Requests that were refused as there was no room.
    n_dropped : int
        How many holdings were dropped for others.
    """

    __slots__ = (
        "_droppable",
        "_stalled_s",
        "limit_bytes",
        "n_bytes",
        "n_dropped",
        "n_refused",
    )

    def __init__(
        self, *, limit_bytes: int, stalled_s: float = SENDER_STALLED_S
    ) -> None:
        self._stalled_s = stalled_s
        self.limit_bytes = limit_bytes
        self.n_bytes = 0
        self.n_refused = 0
        self.n_dropped = 0
        self._droppable: dict[Holding, Callable[[], None]] = {}

    def holding(self) -> "Holding":
        """Return the account of a new request, which holds nothing yet."""
        return Holding(held=self)

    def drop_stalled(self, n_bytes: int) -> None:
        """Drop holdings of at least `n_bytes` in all, those stalled longest first.

        Their bytes are free once the handlers of their requests have ended.
        """
        stalled_s = time.monotonic() - self._stalled_s
        holdings = [each for each in self._droppable if each.n_bytes]
        for holding in sorted(holdings, key=lambda each: each.moved_s):
            if n_bytes <= 0 or holding.moved_s > stalled_s:
                return
            n_bytes -= holding.n_bytes
            self.n_dropped += 1
            self._droppable.pop(holding)()

    @contextlib.contextmanager
    def droppable(self, holding: "Holding", drop: Callable[[], None]) -> Iterator[None]:
        """Let a holding be dropped for others while the context is open.

        Parameters
        ----------
        holding : Holding
            The holding, whose request waits for its caller.
        drop : callable
            Ends the wait; called once at most.
        """
        holding.record_progress()
        self._droppable[holding] = drop
        try:
            yield
        finally:
            self._droppable.pop(holding, None)


def holding_alone() -> "Holding":
    """Return the account of a request beside which there is no other."""
    return HeldBytes(limit_bytes=0).holding()


class Holding:
    """The bytes of one request's body or answer.

    They count as long as this object lives. A request refers to it, so bytes count
    until nothing refers to the request.

    Parameters
    ----------
    held : HeldBytes
        All bytes that are held.

    Attributes
    ----------
    n_bytes : int
        Bytes of this request.
    moved_s : float
        Monotonic time of the last progress of its caller.
    """

    __slots__ = ("__weakref__", "_held", "moved_s", "n_bytes")

    def __init__(self, *, held: HeldBytes) -> None:
        self._held = held
        self.n_bytes = 0
        self.moved_s = time.monotonic()

    def waiting_for_caller(
        self, drop: Callable[[], None]
    ) -> contextlib.AbstractContextManager[None]:
        """Return a context in which `drop` may be called to make room for others."""
        return self._held.droppable(self, drop)

    def record_progress(self) -> None:
        """Record that the caller has sent or taken something."""
        self.moved_s = time.monotonic()

    def take(self, n_bytes: int) -> bool:
        """Count `n_bytes` more, and return False without counting if there is no room.

        A single request always has room, whatever its size.
        """
        self.record_progress()
        held = self._held
        limit: float = held.limit_bytes
        if self.n_bytes + n_bytes > SMALL_BYTES:
            limit *= LARGE_SHARE
        is_alone = held.n_bytes == self.n_bytes
        if held.n_bytes + n_bytes > limit and not is_alone:
            held.drop_stalled(n_bytes)
            return False
        self.add(n_bytes)
        return True

    def add(self, n_bytes: int) -> None:
        """Count `n_bytes` more, whether there is room or not."""
        self.n_bytes += n_bytes
        self._held.n_bytes += n_bytes

    def release(self) -> None:
        """Count nothing any more."""
        self._held.n_bytes -= self.n_bytes
        self.n_bytes = 0

    def __del__(self) -> None:
        self.release()
