"""Measures for how long updates of readers were under way."""

import time
from collections import OrderedDict
from typing import Final

from ...protocol.const import MS_PER_S
from ...protocol.gen.chain.ttypes import StoreNews

MAX_STARTS: Final = 16
"""Starts of readers that are remembered; there are two readers at a time."""

MAX_SENT_MS: Final = 10**13
"""Latest credible time since the boot of a host, in milliseconds."""


def elapsed_s() -> float:
    """Return the seconds since the host booted, including those of suspensions.

    The monotonic clock stops while a host is suspended. What was sent before would
    look recent afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class UpdateDelays:
    """Finds out how much longer than the quickest update of a reader one took.

    The clocks of two hosts differ by a time that neither knows, but which is the same
    for all updates of one start of a reader.
    """

    __slots__ = ("_least_s",)

    def __init__(self) -> None:
        self._least_s: OrderedDict[int, float] = OrderedDict()

    def stamp(self, update: StoreNews, *, incarnation: int) -> None:
        """State in an update which process sends it, and when.

        Parameters
        ----------
        update : StoreNews
            The update.
        incarnation : int
            Incarnation of this process.
        """
        update.reader_incarnation = incarnation
        update.sent_ms = round(elapsed_s() * MS_PER_S)

    def delay_s(self, update: StoreNews) -> float:
        """Return the delay of an update that has just arrived, in seconds.

        0 for the first update of a reader, and for readers of earlier builds. A time
        that is none is ignored: all later updates of the reader would look late.
        """
        start = update.reader_incarnation
        if start is None or update.sent_ms is None:
            return 0.0
        if not 0 <= update.sent_ms <= MAX_SENT_MS:
            return 0.0
        took_s = elapsed_s() - update.sent_ms / MS_PER_S
        least_s = min(took_s, self._least_s.get(start, took_s))
        self._least_s[start] = least_s
        self._least_s.move_to_end(start)
        while len(self._least_s) > MAX_STARTS:
            self._least_s.popitem(last=False)
        return took_s - least_s
