"""A log stream that never blocks and whose buffer is bounded."""

import os
import time
from typing import Final

MAX_LINES_PER_S: Final = 2000.0
"""Largest number of lines per second; thirty times that of a busy gateway.

A line costs about 10 us, so that logging uses less than a fiftieth of a core.
"""

MAX_UNSENT_BYTES: Final = 1024 * 1024
"""Size of the buffer for a slow reader; about two seconds at the highest rate."""


class LogStream:
    """A text stream that drops lines instead of waiting for its reader.

    Otherwise a reader that stops reading would block the whole process at its
    next line. The number of dropped lines is written before the next line.

    Parameters
    ----------
    fd : int
        File descriptor to write to; it is made non-blocking.
    """

    __slots__ = ("_fd", "_lines_left", "_refilled_s", "_unsent", "n_dropped")

    def __init__(self, *, fd: int) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._unsent = bytearray()
        self._lines_left = MAX_LINES_PER_S
        self._refilled_s = time.monotonic()
        self.n_dropped = 0

    def write(self, text: str) -> int:
        """Buffer complete lines until the next `flush`, or drop them."""
        n_lines = text.count("\n")
        if not self._admits(n_lines) or len(self._unsent) > MAX_UNSENT_BYTES:
            self.n_dropped += n_lines
            return len(text)
        if self.n_dropped:
            lost = f"level=warning message=lines_dropped n_lines={self.n_dropped}\n"
            self._unsent += lost.encode()
            self.n_dropped = 0
        self._unsent += text.encode(errors="replace")
        return len(text)

    def flush(self) -> None:
        """Write what the reader accepts now; the rest stays in the buffer."""
        while self._unsent:
            try:
                n_written = os.write(self._fd, self._unsent)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and the error cannot be logged elsewhere.
                self._unsent.clear()
                return
            del self._unsent[:n_written]

    def close(self) -> None:
        """Write what the reader accepts now; the descriptor stays open."""
        self.flush()

    def _admits(self, n_lines: int) -> bool:
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * MAX_LINES_PER_S
        self._refilled_s = now_s
        self._lines_left = min(MAX_LINES_PER_S, self._lines_left + refill)
        if n_lines > self._lines_left:
            return False
        self._lines_left -= n_lines
        return True
