"""Standard output for log lines, which neither blocks nor grows without bound."""

import os
import time
from typing import Final

MAX_LINES_PER_S: Final = 2000.0
"""Lines written in a second; thirty times those of a busy gateway.

A line costs some 10 us, so that logging stays under a fiftieth of a core.
"""

MAX_UNSENT_BYTES: Final = 1024 * 1024
"""Kept for a reader that is slow; about two seconds of the most lines."""


class LogStream:
    """A text stream that drops lines rather than wait for its reader.

    A reader that stops reading would otherwise stop the whole process at its
    next line. What was dropped is told, as a count, before the next line that
    is written.

    Parameters
    ----------
    fd : int
        Where lines go; it is made non-blocking.
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
        """Take whole lines; they are written by `flush`, or dropped."""
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
        """Write what the reader takes now; the rest waits for the next flush."""
        while self._unsent:
            try:
                n_written = os.write(self._fd, self._unsent)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere left to tell it.
                self._unsent.clear()
                return
            del self._unsent[:n_written]

    def close(self) -> None:
        """Write what the reader still takes; the descriptor stays open."""
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
