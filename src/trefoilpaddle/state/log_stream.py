"""A log stream that never blocks and whose buffer is bounded."""

import os
from typing import Final

MAX_UNSENT_BYTES: Final = 1024 * 1024
"""Size of the buffer for a slow reader; about two seconds at the highest rate."""


class LogStream:
    """A text stream that drops lines instead of waiting for its reader.

    Otherwise a reader that stops reading would block the whole process at its
    next line. The number of dropped lines is written before the next line, and
    on close.

    Parameters
    ----------
    fd : int
        File descriptor to write to; it is made non-blocking.
    """

    __slots__ = ("_fd", "_n_dropped", "_unsent")

    def __init__(self, *, fd: int) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._unsent = bytearray()
        self._n_dropped = 0

    def write(self, text: str) -> int:
        """Buffer complete lines until the next `flush`, or drop them."""
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self.count_dropped(text.count("\n"))
            return len(text)
        self._write_n_dropped()
        self._unsent += text.encode(errors="replace")
        return len(text)

    def count_dropped(self, n_lines: int) -> None:
        """Count lines that are not written."""
        self._n_dropped += n_lines

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
        self._write_n_dropped()
        self.flush()

    def _write_n_dropped(self) -> None:
        if self._n_dropped:
            lost = f"level=warning message=lines_dropped n_lines={self._n_dropped}\n"
            self._unsent += lost.encode()
            self._n_dropped = 0
