"""When the store is known to have answered a gateway, here or elsewhere."""

from collections import deque
from itertools import pairwise
from typing import Final

UNAVAILABLE_AFTER_S: Final = 1.2
"""Time without an answer to any gateway for the store to count as unavailable.

In less time no entry of a living worker expires: the store was slow, or one response
was lost.
"""

MAX_ANSWERS: Final = 64
"""Answers that are remembered; readers send some four updates a second."""


class AnswerTimes:
    """Tells an outage of the store from one of a single gateway.

    A gateway that was cut off finds that the store answers again. Entries have expired
    in that time only if the store answered nobody.
    """

    __slots__ = ("_answered_s",)

    def __init__(self) -> None:
        self._answered_s: deque[float] = deque(maxlen=MAX_ANSWERS)

    @property
    def last_s(self) -> float:
        """Monotonic time of the latest known answer; 0 without any."""
        return max(self._answered_s, default=0.0)

    def record(self, answered_s: float) -> None:
        """Record that the store answered some gateway at a monotonic time."""
        self._answered_s.append(answered_s)

    def is_end_of_outage(self, recovered_s: float) -> bool:
        """Return True if the store answered nobody until shortly before a time.

        Gateways get the first answers after an outage one after the other, so an answer
        from just before counts only if there was none for long before it.

        Parameters
        ----------
        recovered_s : float
            Monotonic time at which a gateway got an answer again.
        """
        earliest_s = recovered_s - UNAVAILABLE_AFTER_S
        before = sorted(each for each in self._answered_s if each < recovered_s)
        ends_s = [*before, recovered_s]
        return not before or any(
            end_s - begin_s >= UNAVAILABLE_AFTER_S and end_s > earliest_s
            for begin_s, end_s in pairwise(ends_s)
        )
