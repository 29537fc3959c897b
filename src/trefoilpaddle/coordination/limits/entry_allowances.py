"""Allowances of one gateway for the limits of one entry.

A request takes from all limits of its entry or from none.
"""

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from ...protocol.errors import NotRun
from ...protocol.gen.limits.ttypes import LeaseGrant, LeaseWant, LimitKind
from ...protocol.reasons import Reason
from ...state.catalogue import Entry
from ...state.gateway_shares import GatewayShares, bucket_of
from ...state.lease_allowance import LimitReport, RateAllowance, SlotAllowance

STEP: Final = "limit"

MIN_RETRY_S: Final = 0.2
"""Shortest retry-after time that a refused caller receives."""

RECENT_USE_S: Final = 10.0
"""An entry that was used within this time is expected to be used again."""

MIN_REQUESTS_TO_PREFETCH: Final = 4
"""Smallest share, in requests at once, from which one request is prefetched."""

IDLE_S: Final = 30.0
"""The allowances of an entry are dropped after this long without a request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionTimes:
    """Times that decide which budget of an entry may be used.

    Parameters
    ----------
    now_s : float
        Current time on this gateway's monotonic clock.
    own_share_from_s : float
        Time on the same clock from which no home leases out this gateway's
        share, so that this gateway refills its own share of a rate limit.
    """

    now_s: float
    own_share_from_s: float


class EntryAllowances:
    """Budget of one entry at one gateway, for all limits of the entry.

    Parameters
    ----------
    name, entry : str, Entry
        Name of the entry, and the entry of the active catalogue.
    gateway : str
        Process id of this gateway.
    shares : GatewayShares
        How limits are divided among the gateways.
    now_s : float
        Current time on this gateway's monotonic clock.
    last_request_s : float
        When the last lease request was sent to the home of the entry.
    """

    __slots__ = (
        "_gateway",
        "_n_tokens",
        "_own_gateway",
        "_rate",
        "_shares",
        "_slots",
        "_tokens",
        "_used_s",
        "bucket",
        "entry",
        "name",
    )

    def __init__(
        self,
        *,
        name: str,
        entry: Entry,
        gateway: str,
        shares: GatewayShares,
        now_s: float,
        last_request_s: float,
    ) -> None:
        self.name = name
        self.entry = entry
        self.bucket = bucket_of(name)
        self._gateway = gateway
        self._own_gateway = frozenset({gateway})
        self._n_tokens = 0.0
        self._used_s = now_s
        self._shares = shares
        self._rate = RateAllowance(now_s=now_s)
        self._slots = SlotAllowance(now_s=now_s, last_request_s=last_request_s)
        self._tokens = RateAllowance(now_s=now_s)

    def take(self, times: AdmissionTimes, n_tokens: int) -> Result[int, NotRun]:
        """Take the budget of one request, or return the refusal of a limit.

        Returns
        -------
        Result[int, NotRun]
            The tokens taken; 0 if the entry has no token limit.
        """
        limits, now_s = self.entry.limits, times.now_s
        self._used_s = now_s
        self._n_tokens = float(n_tokens)
        refusals = list(self._refusals(times, float(n_tokens)))
        if refusals:
            return Err(refusals[0])
        self._slots.take()
        if limits.rate_per_s is not None:
            self._rate.take(now_s, 1.0)
        if limits.tokens_per_s is None:
            return Ok(0)
        self._tokens.take(now_s, float(n_tokens))
        return Ok(n_tokens)

    def _refusals(self, times: AdmissionTimes, n_tokens: float) -> Iterator[NotRun]:
        """Yield a refusal for each limit without budget, and record the need."""
        limits, now_s = self.entry.limits, times.now_s
        if not self._slots.check_available(self._n_slots(now_s)):
            wait_s = self._slots.refused_until_s - now_s
            yield self._refusal(Reason.LIMIT_CONCURRENCY, wait_s)
        if limits.rate_per_s is not None:
            self._refill_from_share(self._rate, limits.rate_per_s, times, 1.0)
            if not self._rate.check_available(now_s, 1.0):
                wait_s = self._rate.refused_until_s - now_s
                yield self._refusal(Reason.LIMIT_RATE, wait_s)
        if limits.tokens_per_s is not None:
            self._refill_from_share(self._tokens, limits.tokens_per_s, times, n_tokens)
            if not self._tokens.check_available(now_s, n_tokens):
                wait_s = self._tokens.refused_until_s - now_s
                yield self._refusal(Reason.LIMIT_TOKENS, wait_s)

    def release(self, *, n_unused_tokens: int) -> None:
        """Free the slot of a finished request and return its unused tokens."""
        self._slots.release()
        if n_unused_tokens > 0:
            self._tokens.return_unused(float(n_unused_tokens))

    def is_idle(self, now_s: float) -> bool:
        """Return True if no request runs and none arrived within ``IDLE_S``."""
        return self._slots.n_used == 0 and now_s > self._used_s + IDLE_S

    def is_backing_off(self, now_s: float) -> bool:
        """Return True while the retry-after time of a refusal by the home runs."""
        limits = self.entry.limits
        return (
            (limits.rate_per_s is not None and now_s < self._rate.refused_until_s)
            or (limits.n_concurrent is not None and now_s < self._slots.refused_until_s)
            or (
                limits.tokens_per_s is not None and now_s < self._tokens.refused_until_s
            )
        )

    def is_low(self) -> bool:
        """Return True if budget should be leased before a request has to wait."""
        return self._rate.is_low() or self._tokens.is_low()

    def is_urgent(self) -> bool:
        """Return True if the entry must be reported before the next regular report.

        This is so if a request lacks budget or soon will, or if another gateway
        waits for slots.
        """
        return (
            self._slots.has_misses()
            or self._slots.is_contended
            or self._rate.has_misses()
            or self._tokens.has_misses()
            or self.is_low()
        )

    def is_contended(self) -> bool:
        """Return True if another gateway waits for slots of this entry."""
        return self._slots.is_contended

    def report_wants(self, now_s: float, *, period_s: float) -> list[LeaseWant]:
        """Return what to report to the home, and record it as reported."""
        limits = self.entry.limits
        wants: list[LeaseWant] = []
        if limits.rate_per_s is not None:
            n_spare = self._n_spare(now_s, limits.rate_per_s, 1.0)
            want = self._rate.report(now_s, period_s=period_s, n_spare=n_spare)
            wants.append(self._want_message(LimitKind.REQUEST_RATE, want))
        if limits.n_concurrent is not None:
            share = self._slot_share()
            want = self._slots.report(
                now_s,
                share=share,
                limit=limits.n_concurrent,
                n_spare=int(
                    self._is_recent(now_s) and share >= MIN_REQUESTS_TO_PREFETCH
                ),
            )
            wants.append(self._want_message(LimitKind.CONCURRENCY, want))
        if limits.tokens_per_s is not None:
            n_spare = self._n_spare(now_s, limits.tokens_per_s, self._n_tokens)
            want = self._tokens.report(now_s, period_s=period_s, n_spare=n_spare)
            wants.append(self._want_message(LimitKind.TOKEN_RATE, want))
        return wants

    def _n_spare(self, now_s: float, limit: float, n_each: float) -> float:
        """Return the units to hold in advance for one more request.

        Without them, the next request of an entry that is used occasionally
        waits for a response of the home. No units of a scarce limit are held in
        advance.
        """
        share = limit * self._shares.fraction(self._own_gateway)
        is_plenty = (
            share * self.entry.limits.burst_s >= MIN_REQUESTS_TO_PREFETCH * n_each
        )
        return n_each if is_plenty and self._is_recent(now_s) else 0.0

    def _is_recent(self, now_s: float) -> bool:
        return now_s < self._used_s + RECENT_USE_S

    def apply_grant(self, grant: LeaseGrant, *, sent_s: float, now_s: float) -> None:
        """Apply a grant from the response to the lease request sent at `sent_s`."""
        wait_s = grant.retry_after_ms / 1000
        match grant.kind:
            case LimitKind.CONCURRENCY:
                self._slots.is_contended = grant.contended
                self._slots.grant(
                    int(grant.granted),
                    sent_s=sent_s,
                    now_s=now_s,
                    retry_after_s=wait_s,
                )
            case LimitKind.REQUEST_RATE:
                self._rate.grant(
                    grant.granted, sent_s=sent_s, now_s=now_s, retry_after_s=wait_s
                )
            case _:
                self._tokens.grant(
                    grant.granted, sent_s=sent_s, now_s=now_s, retry_after_s=wait_s
                )

    def _slot_share(self) -> int:
        limit = self.entry.limits.n_concurrent or 0
        return self._shares.slot_shares(self.name, limit).get(self._gateway, 0)

    def _n_slots(self, now_s: float) -> int:
        if self.entry.limits.n_concurrent is None:
            return sys.maxsize
        return self._slots.n_allowed(
            now_s, share=self._slot_share(), deadline_s=self.entry.deadline_s
        )

    def _refill_from_share(
        self, allowance: RateAllowance, limit: float, times: AdmissionTimes, need: float
    ) -> None:
        allowance.refill_from_share(
            times.now_s,
            rate_per_s=limit * self._shares.fraction(self._own_gateway),
            from_s=times.own_share_from_s,
            burst_s=self.entry.limits.burst_s,
            need=need,
        )

    def _refusal(self, reason: Reason, wait_s: float) -> NotRun:
        return NotRun(
            reason=reason,
            step=STEP,
            peer=self._gateway,
            detail=f"Entry {self.name} has used up its limit; come back later.",
            retry_after_s=max(wait_s, MIN_RETRY_S),
        )

    def _want_message(self, kind: int, want: LimitReport) -> LeaseWant:
        return LeaseWant(
            entry=self.name,
            kind=kind,
            want=want.want,
            used=want.used,
            returned=want.returned,
            keep=want.keep,
            need=want.need,
        )
