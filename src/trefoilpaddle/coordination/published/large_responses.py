"""Lets one large response of several that bring the same have the link to itself.

While a read of the store is outstanding, a reader sends further ones from the same
position. Behind a weak link each would bring a large table again, and the copies would
share the link.
"""

import contextlib
import time
from collections.abc import Iterator
from typing import Final

LARGE_BYTES: Final = 64 * 1024
"""Size from which on a response gets the link to itself.

Most responses are far smaller; one of this size takes a weak link for half a second.
"""

STALLED_S: Final = 0.5
"""Time without bytes after which a response no longer keeps others from the link."""


class LargeResponses:
    """The responses that are arriving and bring the same."""

    __slots__ = ("_arriving",)

    def __init__(self) -> None:
        self._arriving: set[ArrivingResponse] = set()

    @contextlib.contextmanager
    def arriving(self) -> Iterator["ArrivingResponse"]:
        """Yield a response that arrives while the context is open."""
        response = ArrivingResponse(responses=self)
        self._arriving.add(response)
        try:
            yield response
        finally:
            self._arriving.discard(response)

    def has_large(self, *, beside: "ArrivingResponse | None" = None) -> bool:
        """Return True while a large response arrives, other than `beside`."""
        since_s = time.monotonic() - STALLED_S
        return any(
            each.n_bytes >= LARGE_BYTES and each.moved_s > since_s
            for each in self._arriving
            if each is not beside
        )


class ArrivingResponse:
    """One response.

    Parameters
    ----------
    responses : LargeResponses
        All that bring the same.

    Attributes
    ----------
    n_bytes : int
        Bytes that have arrived.
    moved_s : float
        Monotonic time of the last of them.
    """

    __slots__ = ("_responses", "moved_s", "n_bytes")

    def __init__(self, *, responses: LargeResponses) -> None:
        self._responses = responses
        self.n_bytes = 0
        self.moved_s = time.monotonic()

    def record(self, n_bytes: int) -> bool:
        """Record `n_bytes` more; return False if the response has to give way."""
        if self._responses.has_large(beside=self):
            return False
        self.n_bytes += n_bytes
        self.moved_s = time.monotonic()
        return True
