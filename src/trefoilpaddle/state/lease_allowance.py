"""Part of one limit that a gateway may use: units of a rate, or slots."""

import math
from dataclasses import dataclass
from typing import Final

from .lease_times import LEASE_S, slot_hold_s
from .token_bucket import TokenBucket

HEADROOM_PERIODS: Final = 1.5
"""Report periods for which the expected use is kept in the allowance."""

LOW_SHARE: Final = 0.4
"""Part of the target level of units below which more are requested in advance."""

RATE_HALF_LIFE_S: Final = 2.0
"""Time constant of the moving average of the rate of use."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitReport:
    """A gateway's report of one limit to its home; fields as in `LeaseWant`."""

    want: float
    used: float = 0.0
    returned: float = 0.0
    keep: float = 0.0
    need: float = 0.0


class RateAllowance:
    """Units of one rate limit that a gateway may use.

    While the gateway's share is delegated to the home, units come only from the
    home's grants. Once the delegation has expired, a local token bucket refills
    from the gateway's own share instead.
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
        """Refill from the gateway's share, which is not delegated from `from_s` on."""
        self._bucket.advance(
            now_s, rate_per_s=rate_per_s, from_s=from_s, burst_s=burst_s, need=need
        )

    def available(self, now_s: float) -> float:
        """Return the number of units that may be used now."""
        leased = self._units if now_s < self._until_s else 0.0
        return leased + self._bucket.level

    def check_available(self, now_s: float, n_units: float) -> bool:
        """Return True if `n_units` may be used; otherwise record them as missing."""
        if self.available(now_s) >= n_units:
            return True
        self._missed += n_units
        self._need = max(self._need, n_units)
        return False

    def take(self, now_s: float, n_units: float) -> None:
        """Use `n_units`, whose availability `check_available` has confirmed."""
        leased = min(n_units, self._units if now_s < self._until_s else 0.0)
        self._units -= leased
        self._bucket.level -= n_units - leased
        self._used += leased

    def has_misses(self) -> bool:
        """Return True if a request found too few units since the last report."""
        return self._missed > 0.0

    def is_low(self) -> bool:
        """Return True if the leased units are below ``LOW_SHARE`` of the target."""
        return self._units < self._low

    def return_unused(self, n_units: float) -> None:
        """Put back units that a request took and did not use."""
        self._units += n_units
        self._used -= n_units

    def report(self, now_s: float, *, period_s: float, n_spare: float) -> LimitReport:
        """Return the report for the home and reset the counts in it.

        The target level is the missing units plus the expected use of
        ``HEADROOM_PERIODS`` periods, or plus `n_spare` if that is more. Units
        above it are returned to the home.
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
        """Add the units granted in response to the request sent at `sent_s`."""
        if now_s >= self._until_s:
            self._units = 0.0
        if n_units > 0.0 or self._units > 0.0:
            self._units += n_units
            self._until_s = sent_s + LEASE_S
        self.refused_until_s = now_s + retry_after_s


class SlotAllowance:
    """Slots of one concurrency limit that a gateway may use.

    Parameters
    ----------
    now_s : float
        This process's monotonic clock.
    last_request_s : float
        Time of the last lease request to the entry's home.
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
        """Return how many slots may be in use now.

        Without a lease this is the gateway's share. For as long as a home may
        still lease a part of that share to others, it is at most the number of
        slots kept at the last report.
        """
        if now_s < self._until_s:
            return self._granted
        if now_s < self._sent_s + slot_hold_s(deadline_s):
            return min(self._granted, share)
        return share

    def check_available(self, n_allowed: int) -> bool:
        """Return True if a slot is free; otherwise record it as missing."""
        if self.n_used < n_allowed:
            return True
        self._pending += 1
        return False

    def take(self) -> None:
        """Use one slot, whose availability `check_available` has confirmed."""
        self.n_used += 1
        self._peak = max(self._peak, self.n_used)

    def has_misses(self) -> bool:
        """Return True if a request found no free slot since the last report."""
        return self._pending > 0

    def release(self) -> None:
        """Free one slot."""
        self.n_used -= 1

    def report(
        self, now_s: float, *, share: int, limit: int, n_spare: int
    ) -> LimitReport:
        """Return the report for the home; slots above its `keep` are dropped at once.

        `n_spare` free slots, or more if more were in use since the last report,
        are requested for coming requests, unless another gateway waits for slots.
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
        """Apply the response to the request sent at `sent_s`."""
        self._granted = n_slots
        self._until_s = sent_s + LEASE_S
        self.refused_until_s = now_s + retry_after_s
