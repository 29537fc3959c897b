"""How old this gateway's list of workers may be."""

import math

from .update_delays import elapsed_s


class ViewAge:
    """When the store last had exactly what this gateway lists, as far as is known.

    A read of the store confirms the list as of its request. What a peer reports is as
    old as the peer's own list, and the time that the message took. Time in which the
    host was suspended counts.
    """

    __slots__ = ("_confirmed_s",)

    def __init__(self) -> None:
        self._confirmed_s = -math.inf

    def confirm(self, *, ago_s: float) -> None:
        """Record that the list was the store's `ago_s` seconds ago."""
        self._confirmed_s = max(self._confirmed_s, elapsed_s() - ago_s)

    @property
    def is_known(self) -> bool:
        """True once the list was known to be the store's."""
        return self._confirmed_s > -math.inf

    @property
    def age_s(self) -> float:
        """Seconds since the list was known to be the store's; infinite before that."""
        return elapsed_s() - self._confirmed_s
