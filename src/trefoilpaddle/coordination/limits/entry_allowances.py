"""A gateway's allowances of one entry's limits, taken together or not at all."""

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
from ...state.lease_allowance import RateAllowance, SlotAllowance, Want

STEP: Final = "limit"

MIN_RETRY_S: Final = 0.2
"""Shortest wait that a refused caller is told."""

RECENT_USE_S: Final = 10.0
"""An entry used within this time is expected to be used again."""

MIN_REQUESTS_TO_PREFETCH: Final = 4
"""A share that serves so many requests at once can spare one in advance."""

IDLE_S: Final = 30.0
"""After this long without a request, an entry's allowances are dropped."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionTimes:
    """What holds for one entry at one times.

    Parameters
    ----------
    now_s : float
        Own monotonic clock.
    own_share_from_s : float
        Own clock, from which on no home counts on this gateway, so that its own
        share of a rate refills here.
    """

    now_s: float
    own_share_from_s: float


class EntryAllowances:
    """Budget of one entry at one gateway.

    Parameters
    ----------
    name, entry : str, Entry
        The entry as in force.
    gateway : str
        This gateway's process id.
    shares : GatewayShares
        How limits divide over the gateways.
    now_s : float
        Own monotonic clock.
    asked_s : float
        When the entry's home was last asked for anything.
    """

    __slots__ = (
        "_alone",
        "_gateway",
        "_n_tokens",
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
        asked_s: float,
    ) -> None:
        self.name = name
        self.entry = entry
        self.bucket = bucket_of(name)
        self._gateway = gateway
        self._alone = frozenset({gateway})
        self._n_tokens = 0.0
        self._used_s = now_s
        self._shares = shares
        self._rate = RateAllowance(now_s=now_s)
        self._slots = SlotAllowance(now_s=now_s, asked_s=asked_s)
        self._tokens = RateAllowance(now_s=now_s)

    def take(self, times: AdmissionTimes, n_tokens: int) -> Result[int, NotRun]:
        """Use up what one request needs, or say which limit lacks it.

        Returns
        -------
        Result[int, NotRun]
            The tokens taken, 0 where no limit binds them.
        """
        limits, now_s = self.entry.limits, times.now_s
        self._used_s = now_s
        self._n_tokens = float(n_tokens)
        lacking = list(self._lacking(times, float(n_tokens)))
        if lacking:
            return Err(lacking[0])
        self._slots.take()
        if limits.rate_per_s is not None:
            self._rate.take(now_s, 1.0)
        if limits.tokens_per_s is None:
            return Ok(0)
        self._tokens.take(now_s, float(n_tokens))
        return Ok(n_tokens)

    def _lacking(self, times: AdmissionTimes, n_tokens: float) -> Iterator[NotRun]:
        """Yield a refusal for each limit that lacks budget, and note the need."""
        limits, now_s = self.entry.limits, times.now_s
        if not self._slots.has(self._n_slots(now_s)):
            wait_s = self._slots.refused_until_s - now_s
            yield self._refusal(Reason.LIMIT_CONCURRENCY, wait_s)
        if limits.rate_per_s is not None:
            self._use_share(self._rate, limits.rate_per_s, times, 1.0)
            if not self._rate.has(now_s, 1.0):
                wait_s = self._rate.refused_until_s - now_s
                yield self._refusal(Reason.LIMIT_RATE, wait_s)
        if limits.tokens_per_s is not None:
            self._use_share(self._tokens, limits.tokens_per_s, times, n_tokens)
            if not self._tokens.has(now_s, n_tokens):
                wait_s = self._tokens.refused_until_s - now_s
                yield self._refusal(Reason.LIMIT_TOKENS, wait_s)

    def release(self, *, n_unused_tokens: int) -> None:
        """Free the place of an ended request and give back unused tokens."""
        self._slots.release()
        if n_unused_tokens > 0:
            self._tokens.give_back(float(n_unused_tokens))

    def is_idle(self, now_s: float) -> bool:
        """Return True if nothing of the entry was asked for lately or runs."""
        return self._slots.n_used == 0 and now_s > self._used_s + IDLE_S

    def is_backing_off(self, now_s: float) -> bool:
        """Return True if the home has lately said to come back later."""
        limits = self.entry.limits
        return (
            (limits.rate_per_s is not None and now_s < self._rate.refused_until_s)
            or (limits.n_concurrent is not None and now_s < self._slots.refused_until_s)
            or (
                limits.tokens_per_s is not None and now_s < self._tokens.refused_until_s
            )
        )

    def is_low(self) -> bool:
        """Return True if budget should be asked for before a request waits."""
        return self._rate.is_low() or self._tokens.is_low()

    def is_urgent(self) -> bool:
        """Return True if a request waits for budget, or places are to be freed."""
        return (
            self._slots.is_missed()
            or self._slots.is_contended
            or self._rate.is_missed()
            or self._tokens.is_missed()
            or self.is_low()
        )

    def is_contended(self) -> bool:
        """Return True if another gateway waits for places that are free here."""
        return self._slots.is_contended

    def report_wants(self, now_s: float, *, period_s: float) -> list[LeaseWant]:
        """Return what to tell the home, and count it as told."""
        limits = self.entry.limits
        told: list[LeaseWant] = []
        if limits.rate_per_s is not None:
            n_spare = self._n_spare(now_s, limits.rate_per_s, 1.0)
            want = self._rate.report(now_s, period_s=period_s, n_spare=n_spare)
            told.append(self._wire(LimitKind.REQUEST_RATE, want))
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
            told.append(self._wire(LimitKind.CONCURRENCY, want))
        if limits.tokens_per_s is not None:
            n_spare = self._n_spare(now_s, limits.tokens_per_s, self._n_tokens)
            want = self._tokens.report(now_s, period_s=period_s, n_spare=n_spare)
            told.append(self._wire(LimitKind.TOKEN_RATE, want))
        return told

    def _n_spare(self, now_s: float, limit: float, n_each: float) -> float:
        """Return units for one more request, where the limit leaves plenty.

        Without them, the next request of an entry that is used now and then
        waits for an answer of the home. Of a scarce limit none is kept back.
        """
        share = limit * self._shares.fraction(self._alone)
        is_plenty = (
            share * self.entry.limits.burst_s >= MIN_REQUESTS_TO_PREFETCH * n_each
        )
        return n_each if is_plenty and self._is_recent(now_s) else 0.0

    def _is_recent(self, now_s: float) -> bool:
        return now_s < self._used_s + RECENT_USE_S

    def apply_grant(self, grant: LeaseGrant, *, sent_s: float, now_s: float) -> None:
        """Take what the ask sent at `sent_s` brought."""
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

    def _use_share(
        self, allowance: RateAllowance, limit: float, times: AdmissionTimes, need: float
    ) -> None:
        allowance.use_share(
            times.now_s,
            rate_per_s=limit * self._shares.fraction(self._alone),
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

    def _wire(self, kind: int, want: Want) -> LeaseWant:
        return LeaseWant(
            entry=self.name,
            kind=kind,
            want=want.want,
            used=want.used,
            returned=want.returned,
            keep=want.keep,
            need=want.need,
        )
