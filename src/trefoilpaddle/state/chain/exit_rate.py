"""Rate of worker exits, to distinguish crashes by a request from a larger outage."""

from collections import deque
from typing import Final

WINDOW_S: Final = 1.0
"""Exits within this time of each other are counted together."""

MAX_ATTRIBUTED_EXITS: Final = 16
"""Exits within the window up to which a request may have caused them.

If there are more, the workers have lost power, or their network, together. The requests
that ran there are not the cause, and reports of all of them would saturate the links
between gateways.
"""


MAX_REMEMBERED_EXITS: Final = 64
"""Exits that are remembered, to be counted together with others."""


class ExitRate:
    """The most recent worker exits."""

    __slots__ = ("_exits",)

    def __init__(self) -> None:
        self._exits: deque[tuple[str, float]] = deque(maxlen=MAX_REMEMBERED_EXITS)

    def record_exit(self, worker_id: str, ended_s: float) -> bool:
        """Record a worker exit; return False if too many exits share its window.

        Exits are compared by `ended_s`, not by their time of arrival: a peer sends the
        exits of several hours in one message.
        """
        together = {
            known for known, at_s in self._exits if abs(at_s - ended_s) < WINDOW_S
        }
        if worker_id not in together:
            together.add(worker_id)
            self._exits.append((worker_id, ended_s))
        return len(together) <= MAX_ATTRIBUTED_EXITS
