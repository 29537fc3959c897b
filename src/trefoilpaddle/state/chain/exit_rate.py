"""How many workers have ended within a moment: a few by a request, many by a loss."""

from collections import deque
from typing import Final

WINDOW_S: Final = 1.0
"""Ends within this time are counted together."""

MAX_ATTRIBUTED_EXITS: Final = 16
"""Workers that end within that time and may have been crashed by a request.

More lose their power, or their way, together. What ran there is not to blame, and news
of all of it would fill the links between gateways.
"""


MAX_REMEMBERED_EXITS: Final = 64
"""Ends that are remembered to be counted together with others."""


class ExitRate:
    """The workers that have ended last."""

    __slots__ = ("_ends",)

    def __init__(self) -> None:
        self._ends: deque[tuple[str, float]] = deque(maxlen=MAX_REMEMBERED_EXITS)

    def record_exit(self, worker_id: str, ended_s: float) -> bool:
        """Count the end of a worker; return False if it is one of too many.

        By the time of the end: what peers remember of hours comes in one message.
        """
        together = {
            known for known, at_s in self._ends if abs(at_s - ended_s) < WINDOW_S
        }
        if worker_id not in together:
            together.add(worker_id)
            self._ends.append((worker_id, ended_s))
        return len(together) <= MAX_ATTRIBUTED_EXITS
