"""Home of limits on a sidecar: leases the budget of entries to gateways.

A home leases only the shares of gateways that currently delegate to it, and a
gateway delegates to one home at a time. So the leases of all homes of an entry
together stay within its limit, even if several processes act as its home.
"""

import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from ...protocol.const import NS_PER_S
from ...protocol.gen.limits.ttypes import (
    LeaseAnswer,
    LeaseAsk,
    LeaseGrant,
    LeaseWant,
    LimitKind,
)
from ...protocol.gen.stage.ttypes import Hello
from ...state.catalogue import Entry
from ...state.gateway_shares import N_BUCKETS, GatewayShares, bucket_key, bucket_of
from ...state.journal import Decision, Event, Figure, Journal
from ...state.lease_table import LeaseResult, RatePool, SlotPool
from ...state.lease_times import LEASE_S, MAX_REQUEST_AGE_S
from ...state.published import Published
from ...state.replicas import replica_list
from ...transport.server import PeerServer


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolKey:
    """Identifies one limit of one entry."""

    entry: str
    kind: int


class LeaseHome:
    """Leases the limits of the entries that have their home in this process.

    Parameters
    ----------
    process_id : str
        Id of this process.
    incarnation : int
        Incarnation of this process; a lease request that names another one gets
        no grant.
    published : Published
        Active host list and catalogue.
    journal : Journal
        Records first and partial grants, and each gateway that is lost.
    clock : callable
        Returns monotonic seconds.
    """

    __slots__ = (
        "_clock",
        "_delegated_until_s",
        "_departed",
        "_fractions",
        "_incarnation",
        "_journal",
        "_own_buckets",
        "_process_id",
        "_published",
        "_rate_pools",
        "_slot_pools",
        "shares",
    )

    def __init__(
        self,
        *,
        process_id: str,
        incarnation: int,
        published: Published,
        journal: Journal,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._process_id = process_id
        self._incarnation = incarnation
        self._published = published
        self._journal = journal
        self._clock = clock
        self.shares = GatewayShares(clock=clock)
        self._own_buckets: frozenset[int] = frozenset()
        self._delegated_until_s: dict[int, dict[str, float]] = {}
        self._departed: dict[int, dict[str, int]] = {}
        self._fractions: dict[int, float] = {}
        self._rate_pools: dict[PoolKey, RatePool] = {}
        self._slot_pools: dict[PoolKey, SlotPool] = {}
        published.subscribe(self._on_published)
        self._on_published()

    def mount(self, server: PeerServer) -> None:
        """Respond to lease requests that arrive at `server`."""
        server.add_handler(LeaseAsk, self.answer)

    def _on_published(self) -> None:
        hosts = self._published.hosts
        self.shares.set_hosts(hosts)
        replicas = replica_list(hosts)
        pairs = ((bucket, replicas.pair(bucket_key(bucket))) for bucket in _buckets())
        self._own_buckets = frozenset(
            bucket
            for bucket, pair in pairs
            if pair and pair[0].process_id == self._process_id
        )
        entries = self._published.catalogue.entries
        now_s = self._clock()
        self._rate_pools = {
            key: self._rate_pools.get(key) or RatePool(now_s=now_s)
            for key in _rate_keys(entries)
            if bucket_of(key.entry) in self._own_buckets
        }
        self._slot_pools = {
            k: v for k, v in self._slot_pools.items() if k.entry in entries
        }

    async def answer(self, request: LeaseAsk, _peer: Hello) -> LeaseAnswer:
        """Return the grants for `request`.

        There are none if it is stale or not for this incarnation.
        """
        now_s = self._clock()
        answer = LeaseAnswer(
            mine=self._is_fresh(request, now_s),
            config_revision=self._published.catalogue.revision,
            stamp_ns=int(now_s * NS_PER_S),
            incarnation=self._incarnation,
        )
        if not answer.mine:
            return answer
        answer.buckets = [b for b in request.buckets if b in self._own_buckets]
        grants = list(self._grants(request, now_s, frozenset(answer.buckets)))
        answer.grants = grants
        answer.released = [
            b for b in request.releases if self._release(b, request, now_s)
        ]
        return answer

    def _is_fresh(self, request: LeaseAsk, now_s: float) -> bool:
        """Return True if the gateway sent `request` at most ``MAX_REQUEST_AGE_S`` ago.

        Guards against a home that was paused: when it resumes, it receives old
        requests of gateways that have since switched to their own shares, and
        would lease these shares to others. The age is measured on this clock
        alone, from the timestamp that this process issued and the time for which
        the gateway held it.
        """
        if request.home_incarnation != self._incarnation:
            return False
        age_s = now_s - (request.stamp_ns + request.elapsed_ns) / NS_PER_S
        return age_s <= MAX_REQUEST_AGE_S

    def _grants(
        self, request: LeaseAsk, now_s: float, accepted: frozenset[int]
    ) -> Iterator[LeaseGrant]:
        self._fractions.clear()
        wants = [want for want in request.wants if bucket_of(want.entry) in accepted]
        for want in wants:
            pool = self._rate_pools.get(PoolKey(entry=want.entry, kind=want.kind))
            if pool is not None:
                pool.record_return(
                    request.gateway, keep=want.keep, returned=want.returned
                )
                self._advance(want, now_s)
        for bucket in accepted:
            self._record_delegation(bucket, request, now_s)
        for want in wants:
            entry = self._published.catalogue.entries.get(want.entry)
            if entry is None:
                continue
            leased = self._lease(want, entry, request.gateway, now_s)
            if leased is not None:
                self._record_grant(want, entry, leased, request.gateway)
                yield _grant_message(want, leased)

    def _record_delegation(self, bucket: int, request: LeaseAsk, now_s: float) -> None:
        departed = self._departed.setdefault(bucket, {})
        if request.leaving:
            departed[request.gateway] = request.incarnation
        elif departed.get(request.gateway, request.incarnation) != request.incarnation:
            del departed[request.gateway]
        if request.gateway not in self._delegating_to(bucket, now_s):
            self._advance_bucket(bucket, now_s)
        self._delegated_until_s.setdefault(bucket, {})[request.gateway] = (
            now_s + LEASE_S
        )
        self._fractions.pop(bucket, None)

    def _advance_bucket(self, bucket: int, now_s: float) -> None:
        """Refill the pools of `bucket` before one more gateway delegates to it.

        Until now, that gateway used its own share.
        """
        for key in self._rate_pools:
            if bucket_of(key.entry) == bucket:
                self._advance(LeaseWant(entry=key.entry, kind=key.kind), now_s)

    def _release(self, bucket: int, request: LeaseAsk, now_s: float) -> bool:
        """End the delegation; return True if no slot of the share is leased here."""
        self._delegated_until_s.get(bucket, {}).pop(request.gateway, None)
        delegating = self._delegating_to(bucket, now_s)
        for key, pool in self._slot_pools.items():
            entry = self._published.catalogue.entries.get(key.entry)
            if bucket_of(key.entry) != bucket or entry is None:
                continue
            shares = self.shares.slot_shares(key.entry, entry.limits.n_concurrent or 0)
            if not pool.fits(now_s=now_s, shares=shares, delegating=delegating):
                return False
        return True

    def _delegating_to(self, bucket: int, now_s: float) -> frozenset[str]:
        """Return the gateways whose shares of `bucket` this home may lease out.

        They are those that delegate to it now and those that have left.
        """
        until_s_of = self._delegated_until_s.get(bucket, {})
        for name in [name for name, until_s in until_s_of.items() if until_s <= now_s]:
            del until_s_of[name]
            self._journal.record(
                Decision(
                    event=Event.LEASE_LOST,
                    peer=name,
                    detail=f"its share in bucket {bucket} is left to it",
                )
            )
        return frozenset(until_s_of) | frozenset(self._departed.get(bucket, {}))

    def _refill_rate(self, entry: str, limit: float, now_s: float) -> float:
        """Return the rate at which the delegated shares of a limit refill here."""
        bucket = bucket_of(entry)
        fraction = self._fractions.get(bucket)
        if fraction is None:
            fraction = self.shares.fraction(self._delegating_to(bucket, now_s))
            self._fractions[bucket] = fraction
        return limit * fraction

    def _advance(self, want: LeaseWant, now_s: float) -> None:
        """Refill a pool up to now, before the sender counts as delegating."""
        entry = self._published.catalogue.entries.get(want.entry)
        limit = _rate_limit(entry, want.kind)
        if entry is None or limit is None:
            return
        self._rate_pools[PoolKey(entry=want.entry, kind=want.kind)].advance(
            now_s,
            rate_per_s=self._refill_rate(want.entry, limit, now_s),
            burst_s=entry.limits.burst_s,
            need=max(1.0, want.need),
        )

    def _lease(
        self, want: LeaseWant, entry: Entry, gateway: str, now_s: float
    ) -> LeaseResult | None:
        key = PoolKey(entry=want.entry, kind=want.kind)
        if want.kind == LimitKind.CONCURRENCY:
            limit = entry.limits.n_concurrent
            if limit is None:
                return None
            pool = self._slot_pools.setdefault(key, SlotPool())
            return pool.grant(
                gateway,
                want=int(want.want),
                keep=int(want.keep),
                now_s=now_s,
                deadline_s=entry.deadline_s,
                shares=self.shares.slot_shares(want.entry, limit),
                delegating=self._delegating_to(bucket_of(want.entry), now_s),
            )
        rate_limit = _rate_limit(entry, want.kind)
        if rate_limit is None or key not in self._rate_pools:
            return None
        return self._rate_pools[key].grant(
            gateway,
            want=want.want,
            need=want.need,
            keep=want.keep,
            rate_per_s=self._refill_rate(want.entry, rate_limit, now_s),
        )

    def _record_grant(
        self, want: LeaseWant, entry: Entry, leased: LeaseResult, gateway: str
    ) -> None:
        """Record first grants and grants that fall short, but not renewals."""
        if not leased.is_contended and (want.keep or not leased.granted):
            return
        self._journal.record(
            Decision(
                event=Event.LEASE_GRANTED,
                entry=want.entry,
                owner=entry.owner,
                config_revision=self._published.catalogue.revision,
                peer=gateway,
                detail=LimitKind._VALUES_TO_NAMES[want.kind].lower(),
                figures=(
                    Figure(name="n_wanted", value=want.want),
                    Figure(name="n_granted", value=leased.granted),
                    Figure(name="retry_after_s", value=leased.retry_after_s),
                ),
            )
        )


def _buckets() -> range:
    return range(N_BUCKETS)


def _rate_limit(entry: Entry | None, kind: int) -> float | None:
    if entry is None:
        return None
    if kind == LimitKind.REQUEST_RATE:
        return entry.limits.rate_per_s
    return entry.limits.tokens_per_s


def _rate_keys(entries: Mapping[str, Entry]) -> Iterator[PoolKey]:
    for name, entry in entries.items():
        for kind in (LimitKind.REQUEST_RATE, LimitKind.TOKEN_RATE):
            if _rate_limit(entry, kind) is not None:
                yield PoolKey(entry=name, kind=kind)


def _grant_message(want: LeaseWant, leased: LeaseResult) -> LeaseGrant:
    return LeaseGrant(
        entry=want.entry,
        kind=want.kind,
        granted=leased.granted,
        period_ms=int(1000 * LEASE_S),
        retry_after_ms=int(1000 * leased.retry_after_s),
        contended=leased.is_contended,
    )
