"""How old this gateway's list of workers may be."""

import math

from .update_delays import elapsed_s


class ViewAge:
    """When the store last had exactly what this gateway lists, as far as is known.

    A read of the store confirms the list as of its request. What a peer reports is as
    old as the peer's own list, and the time that the message took. Time in which the
    host was suspended counts.
    """

    __slots__ = ("_agreed_s", "_confirmed_s", "_missed_s")

    def __init__(self) -> None:
        self._missed_s = -math.inf
        self._agreed_s = -math.inf
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

    def agree(self, *, ago_s: float) -> None:
        """Record that enough gateways had nothing newer `ago_s` seconds ago."""
        self._agreed_s = max(self._agreed_s, elapsed_s() - ago_s)

    @property
    def agreed_age_s(self) -> float:
        """Seconds since enough gateways had nothing newer; infinite before that."""
        return elapsed_s() - self._agreed_s

    def miss(self) -> None:
        """Record that too few gateways responded to confirm the list."""
        self._missed_s = elapsed_s()

    @property
    def missed_age_s(self) -> float:
        """Seconds since too few gateways responded; infinite before that."""
        return elapsed_s() - self._missed_s
