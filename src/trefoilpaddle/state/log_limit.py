"""Limits how many log lines a process writes per second."""

import logging as python_logging
import time
from typing import Final

from .journal import Batch
from .log_stream import LogStream

MAX_LINES_PER_S: Final = 2000.0
"""Largest number of lines per second; thirty times that of a busy gateway.

A line costs about 10 us, so that logging uses less than a fiftieth of a core.
"""

N_RESERVED: Final = 200
"""Lines that are kept for everything but single requests.

Otherwise a burst of requests would hide that a process stops, or an error.
"""


class LineLimit(python_logging.Filter):
    """Drops lines beyond the limit, those of single requests first.

    Parameters
    ----------
    stream : LogStream
        Is told of the dropped lines, whose number it writes.
    """

    def __init__(self, *, stream: LogStream) -> None:
        super().__init__()
        self._stream = stream
        self._lines_left = MAX_LINES_PER_S
        self._refilled_s = time.monotonic()

    def filter(self, record: python_logging.LogRecord) -> bool:
        """Return True if `record` is written, perhaps with a smaller batch."""
        self._refill()
        if not isinstance(record.msg, Batch):
            return self._admits(n_reserved=0)
        kept = tuple(
            each
            for each in record.msg.records
            if self._admits(n_reserved=N_RESERVED if each.decision.request_id else 0)
        )
        record.msg = Batch(records=kept)
        return bool(kept)

    def _refill(self) -> None:
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * MAX_LINES_PER_S
        self._refilled_s = now_s
        self._lines_left = min(MAX_LINES_PER_S, self._lines_left + refill)

    def _admits(self, *, n_reserved: int) -> bool:
        if self._lines_left < n_reserved + 1:
            self._stream.count_dropped(1)
            return False
        self._lines_left -= 1
        return True
