"""Grants of one limit by its home: units of a rate, or slots."""

import math
from dataclasses import dataclass
from typing import Final

from .lease_times import LEASE_S, MARGIN_S

MIN_BURST_S: Final = 1.0
"""Shortest burst over all gateways: the units in their allowances must last from one
lease request to the next."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseResult:
    """Response to the report of one limit.

    Parameters
    ----------
    granted : float
        Further units of a rate, or total number of slots.
    retry_after_s : float
        Seconds until more may be granted; 0 if the request is satisfied.
    is_contended : bool
        True if some gateway recently got less than it wanted.
    """

    granted: float
    retry_after_s: float = 0.0
    is_contended: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldUnits:
    """Units or slots that one gateway may hold, and until when."""

    n_held: float
    until_s: float


class RatePool:
    """Units of one rate limit, refilled from the shares of the delegating gateways.

    The pool starts empty and refills only for gateways that delegate their share
    to this home, so that two processes that act as the home at the same time
    together refill no more than the limit. A granted unit leaves the pool; units
    that a gateway does not return count as used.

    Parameters
    ----------
    now_s : float
        The home's monotonic clock, in seconds.
    """

    __slots__ = ("_active", "_held", "_now_s", "level")

    def __init__(self, *, now_s: float) -> None:
        self.level = 0.0
        self._now_s = now_s
        self._held: dict[str, HeldUnits] = {}
        self._active: dict[str, float] = {}

    def record_return(self, gateway: str, *, keep: float, returned: float) -> None:
        """Add the units that `gateway` returns; it still holds `keep` units."""
        self.level += returned
        until_s = self._now_s + LEASE_S + MARGIN_S
        self._held[gateway] = HeldUnits(n_held=keep, until_s=until_s)

    def advance(
        self, now_s: float, *, rate_per_s: float, burst_s: float, need: float
    ) -> None:
        """Refill until `now_s` at `rate_per_s`, the sum of the delegated shares.

        The pool and the gateways' holdings together are capped at the burst, or
        at `need` units if that is more.
        """
        self.level += rate_per_s * max(0.0, now_s - self._now_s)
        self._now_s = now_s
        _remove_expired(self._active, now_s)
        for name in [g for g, held in self._held.items() if held.until_s <= now_s]:
            del self._held[name]
        most = max(need, rate_per_s * max(MIN_BURST_S, burst_s))
        n_held = sum(held.n_held for held in self._held.values())
        self.level = max(0.0, min(self.level, most - n_held))

    def grant(
        self,
        gateway: str,
        *,
        want: float,
        need: float,
        keep: float,
        rate_per_s: float,
    ) -> LeaseResult:
        """Grant `gateway` a whole number of units.

        Parameters
        ----------
        want, need : float
            Further units wanted, and the least that a waiting request needs;
            `need` is 0 if no request waits. Less than `need` is not granted.
        keep : float
            Units that the gateway holds.
        rate_per_s : float
            Refill rate of the pool.
        """
        granted = 0.0
        if want > 0.0:
            self._active[gateway] = self._now_s + LEASE_S
            part = max(need, self.level / len(self._active))
            granted = float(math.floor(min(want, part, self.level)))
        if granted < need:
            granted = 0.0
        self.level -= granted
        until_s = self._now_s + LEASE_S + MARGIN_S
        self._held[gateway] = HeldUnits(n_held=keep + granted, until_s=until_s)
        if granted >= need:
            return LeaseResult(granted=granted)
        wait_s = (need - self.level) / rate_per_s if rate_per_s > 0.0 else LEASE_S
        return LeaseResult(
            granted=0.0, retry_after_s=max(0.0, wait_s), is_contended=True
        )


def _remove_expired(until_s: dict[str, float], now_s: float) -> None:
    for name in [name for name, end_s in until_s.items() if end_s <= now_s]:
        del until_s[name]


class SlotPool:
    """Slots of one concurrency limit.

    Grants at most the sum of the shares of the delegating gateways. The shares
    of all other gateways stay reserved for them, because they may be using
    them without contact to this home.
    """

    __slots__ = ("_active", "_contended_s", "_held")

    def __init__(self) -> None:
        self._held: dict[str, HeldUnits] = {}
        self._active: dict[str, float] = {}
        self._contended_s = -math.inf

    def grant(
        self,
        gateway: str,
        *,
        want: int,
        keep: int,
        now_s: float,
        deadline_s: float,
        shares: dict[str, int],
        delegating: frozenset[str],
    ) -> LeaseResult:
        """Return how many slots in total `gateway` may use from now on.

        Parameters
        ----------
        want, keep : int
            Slots wanted in total, and the number that the gateway does not
            exceed until it has the response.
        now_s, deadline_s : float
            The home's clock, and the longest time that a request holds a slot,
            in seconds.
        shares : dict of str to int
            The share of each gateway, in slots.
        delegating : frozenset of str
            Gateways that delegate their share to this home, including `gateway`.
        """
        self._record_activity(gateway, want, now_s)
        free = self._free_slots(
            gateway, now_s=now_s, shares=shares, delegating=delegating
        )
        allowed = sum(shares.get(name, 0) for name in delegating)
        part = max(1, math.ceil(allowed / max(1, len(self._active))))
        is_contended = self._contended_s > now_s
        granted = max(0, min(want, free, part if is_contended else want))
        if granted < want and granted < part:
            self._contended_s = now_s + LEASE_S
        until_s = now_s + LEASE_S + MARGIN_S + deadline_s
        self._held[gateway] = HeldUnits(n_held=max(granted, keep), until_s=until_s)
        return LeaseResult(
            granted=granted,
            retry_after_s=MARGIN_S if granted < want else 0.0,
            is_contended=self._contended_s > now_s,
        )

    def fits(
        self, *, now_s: float, shares: dict[str, int], delegating: frozenset[str]
    ) -> bool:
        """Return True if the leased slots fit into the shares of `delegating`."""
        return (
            self._free_slots("", now_s=now_s, shares=shares, delegating=delegating) >= 0
        )

    def _free_slots(
        self,
        gateway: str,
        *,
        now_s: float,
        shares: dict[str, int],
        delegating: frozenset[str],
    ) -> int:
        """Return the slots neither leased to others nor reserved for other shares.

        Negative if more is leased than the delegated shares allow.
        """
        free = sum(shares.get(name, 0) for name in delegating)
        for name, held in list(self._held.items()):
            if held.until_s <= now_s:
                del self._held[name]
            elif name in delegating and name != gateway:
                free -= int(held.n_held)
            elif name not in delegating:
                free -= max(0, int(held.n_held) - shares.get(name, 0))
        return free

    def _record_activity(self, gateway: str, want: int, now_s: float) -> None:
        if want > 0:
            self._active[gateway] = now_s + LEASE_S
        else:
            self._active.pop(gateway, None)
        _remove_expired(self._active, now_s)
