"""What a gateway may use of one limit: units or places in its allowance."""

import math
from dataclasses import dataclass
from typing import Final

from .lease_times import LEASE_S, slot_hold_s
from .token_bucket import TokenBucket

HEADROOM_PERIODS: Final = 1.5
LOW_SHARE: Final = 0.4
"""Part of the units last wanted below which more are asked for in advance."""

RATE_HALF_LIFE_S: Final = 2.0
"""Time over which the rate of use is averaged."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitReport:
    """What a gateway tells its home of one limit; fields as in `LeaseWant`."""

    want: float
    used: float = 0.0
    returned: float = 0.0
    keep: float = 0.0
    need: float = 0.0


class RateAllowance:
    """Units of one rate limit in a gateway's allowance.

    Under a lease, units come from the home alone. Long after the last ask, the
    gateway's own share refills a bucket here instead.
    """

    __slots__ = (
        "_bucket",
        "_low",
        "_missed",
        "_need",
        "_rate_per_s",
        "_reported_s",
        "_units",
        "_until_s",
        "_used",
        "refused_until_s",
    )

    def __init__(self, *, now_s: float) -> None:
        self._units = 0.0
        self._low = 0.0
        self._until_s = now_s
        self._used = 0.0
        self._missed = 0.0
        self._need = 0.0
        self._rate_per_s = 0.0
        self._reported_s = now_s
        self._bucket = TokenBucket()
        self.refused_until_s = now_s

    def refill_from_share(
        self,
        now_s: float,
        *,
        rate_per_s: float,
        from_s: float,
        burst_s: float,
        need: float,
    ) -> None:
        """Refill from the gateway's own share, its own again since `from_s`."""
        self._bucket.advance(
            now_s, rate_per_s=rate_per_s, from_s=from_s, burst_s=burst_s, need=need
        )

    def available(self, now_s: float) -> float:
        """Return the units that may be used now."""
        leased = self._units if now_s < self._until_s else 0.0
        return leased + self._bucket.level

    def check_available(self, now_s: float, n_units: float) -> bool:
        """Return True if `n_units` may be used; else note that they are missed."""
        if self.available(now_s) >= n_units:
            return True
        self._missed += n_units
        self._need = max(self._need, n_units)
        return False

    def take(self, now_s: float, n_units: float) -> None:
        """Use up `n_units`, which `has` has found."""
        leased = min(n_units, self._units if now_s < self._until_s else 0.0)
        self._units -= leased
        self._bucket.level -= n_units - leased
        self._used += leased

    def has_misses(self) -> bool:
        """Return True if a request lacked units since the last report."""
        return self._missed > 0.0

    def is_low(self) -> bool:
        """Return True if a request may soon find too few units."""
        return self._units < self._low

    def return_unused(self, n_units: float) -> None:
        """Return units taken and not used after all."""
        self._units += n_units
        self._used -= n_units

    def report(self, now_s: float, *, period_s: float, n_spare: float) -> LimitReport:
        """Return what to tell the home, and count it as told.

        Units beyond the next period's expected use, or `n_spare` if that is
        more, are given back.
        """
        passed_s = max(1e-3, now_s - self._reported_s)
        weight = min(1.0, passed_s / RATE_HALF_LIFE_S)
        self._rate_per_s += weight * (self._used / passed_s - self._rate_per_s)
        self._reported_s = now_s
        if now_s >= self._until_s:
            self._units = 0.0
        headroom = HEADROOM_PERIODS * period_s * self._rate_per_s
        target = math.ceil(self._missed) + max(n_spare, math.floor(headroom))
        self._low = LOW_SHARE * target
        returned = max(0.0, self._units - target)
        self._units -= returned
        want = LimitReport(
            want=max(0.0, target - self._units),
            used=max(0.0, self._used),
            returned=returned,
            keep=self._units,
            need=max(0.0, self._need - self._units),
        )
        self._used = 0.0
        self._missed = 0.0
        self._need = 0.0
        return want

    def grant(
        self, n_units: float, *, sent_s: float, now_s: float, retry_after_s: float
    ) -> None:
        """Take what the ask sent at `sent_s` brought."""
        if now_s >= self._until_s:
            self._units = 0.0
        if n_units > 0.0 or self._units > 0.0:
            self._units += n_units
            self._until_s = sent_s + LEASE_S
        self.refused_until_s = now_s + retry_after_s


class SlotAllowance:
    """Places of one concurrency limit in a gateway's allowance.

    Parameters
    ----------
    now_s : float
        Own monotonic clock.
    last_request_s : float
        When the entry's home was last asked for anything.
    """

    __slots__ = (
        "_granted",
        "_peak",
        "_pending",
        "_sent_s",
        "_until_s",
        "is_contended",
        "n_used",
        "refused_until_s",
    )

    def __init__(self, *, now_s: float, last_request_s: float) -> None:
        self._granted = 0
        self._until_s = now_s
        self._sent_s = last_request_s
        self._pending = 0
        self._peak = 0
        self.n_used = 0
        self.is_contended = False
        self.refused_until_s = now_s

    def n_allowed(self, now_s: float, *, share: int, deadline_s: float) -> int:
        """Return how many places may be in use now.

        Without a lease it is the gateway's share, but for as long as a home may
        have lent a part of it, no more than was left when it was last asked.
        """
        if now_s < self._until_s:
            return self._granted
        if now_s < self._sent_s + slot_hold_s(deadline_s):
            return min(self._granted, share)
        return share

    def check_available(self, n_allowed: int) -> bool:
        """Return True if a place is free; else note that it is missed."""
        if self.n_used < n_allowed:
            return True
        self._pending += 1
        return False

    def take(self) -> None:
        """Use one place, which `has` has found."""
        self.n_used += 1
        self._peak = max(self._peak, self.n_used)

    def has_misses(self) -> bool:
        """Return True if a request lacked a place since the last report."""
        return self._pending > 0

    def release(self) -> None:
        """Free one place."""
        self.n_used -= 1

    def report(
        self, now_s: float, *, share: int, limit: int, n_spare: int
    ) -> LimitReport:
        """Return what to tell the home; places beyond it are given up at once.

        `n_spare` free places are kept for the next request, unless another
        gateway waits for them.
        """
        headroom = max(n_spare, self._peak - self.n_used)
        if self.is_contended:
            headroom = 0
        want = min(limit, self.n_used + self._pending + headroom)
        usable = self._granted if now_s < self._until_s else min(self._granted, share)
        keep = max(self.n_used, min(usable, want))
        self._granted = keep
        self._sent_s = now_s
        self._peak = self.n_used
        self._pending = 0
        return LimitReport(want=want, keep=keep)

    def grant(
        self, n_slots: int, *, sent_s: float, now_s: float, retry_after_s: float
    ) -> None:
        """Take the answer to the ask sent at `sent_s`."""
        self._granted = n_slots
        self._until_s = sent_s + LEASE_S
        self.refused_until_s = now_s + retry_after_s
