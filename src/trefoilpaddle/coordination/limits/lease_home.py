"""A sidecar as home of limits: lends budget of entries to the gateways.

A home lends only the shares of gateways that rely on it now, and a gateway
relies on one home at a time. So however many processes believe themselves home
of an entry, what they lend together is within its limit.
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
from ...state.lease_table import FlowPool, Lent, SlotPool
from ...state.lease_times import LEASE_S, STALE_ASK_S
from ...state.places import place_list
from ...state.published import Published
from ...transport.server import PeerServer


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolKey:
    """One limit of one entry."""

    entry: str
    kind: int


class LeaseHome:
    """Lends the limits of the entries whose home this process is.

    Parameters
    ----------
    process_id : str
        This process.
    incarnation : int
        Its incarnation; a gateway that meant another one gets nothing.
    published : Published
        Host list and catalogue in force.
    journal : Journal
        Takes each grant that falls short and each gateway lost.
    clock : callable
        Monotonic seconds.
    """

    __slots__ = (
        "_clock",
        "_flows",
        "_fractions",
        "_heard",
        "_incarnation",
        "_journal",
        "_left",
        "_mine",
        "_process_id",
        "_published",
        "_slots",
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
        self._mine: frozenset[int] = frozenset()
        self._heard: dict[int, dict[str, float]] = {}
        self._left: dict[int, dict[str, int]] = {}
        self._fractions: dict[int, float] = {}
        self._flows: dict[PoolKey, FlowPool] = {}
        self._slots: dict[PoolKey, SlotPool] = {}
        published.subscribe(self._on_published)
        self._on_published()

    def mount(self, server: PeerServer) -> None:
        """Answer asks that arrive at `server`."""
        server.answer(LeaseAsk, self.answer)

    def _on_published(self) -> None:
        hosts = self._published.hosts
        self.shares.set_hosts(hosts)
        places = place_list(hosts)
        pairs = ((bucket, places.pair(bucket_key(bucket))) for bucket in _buckets())
        self._mine = frozenset(
            bucket
            for bucket, pair in pairs
            if pair and pair[0].process_id == self._process_id
        )
        entries = self._published.catalogue.entries
        now_s = self._clock()
        self._flows = {
            key: self._flows.get(key) or FlowPool(now_s=now_s)
            for key in _flow_keys(entries)
            if bucket_of(key.entry) in self._mine
        }
        self._slots = {k: v for k, v in self._slots.items() if k.entry in entries}

    async def answer(self, ask: LeaseAsk, _peer: Hello) -> LeaseAnswer:
        """Return what `ask` is granted; nothing unless it is fresh and meant here."""
        now_s = self._clock()
        answer = LeaseAnswer(
            mine=self._is_fresh(ask, now_s),
            config_revision=self._published.catalogue.revision,
            stamp_ns=int(now_s * NS_PER_S),
            incarnation=self._incarnation,
        )
        if not answer.mine:
            return answer
        answer.buckets = [b for b in ask.buckets if b in self._mine]
        grants = list(self._grants(ask, now_s, frozenset(answer.buckets)))
        answer.grants = grants
        answer.released = [b for b in ask.releases if self._release(b, ask, now_s)]
        return answer

    def _is_fresh(self, ask: LeaseAsk, now_s: float) -> bool:
        """Return True if the ask left the gateway at most ``STALE_ASK_S`` ago.

        Guards against a home that was paused: woken, it finds asks of gateways
        that have long gone over to their own shares, and would lend these to
        others. The age is measured on this clock alone, by the stamp that this
        process gave out and the time that the gateway held it.
        """
        if ask.home_incarnation != self._incarnation:
            return False
        age_s = now_s - (ask.stamp_ns + ask.elapsed_ns) / NS_PER_S
        return age_s <= STALE_ASK_S

    def _grants(
        self, ask: LeaseAsk, now_s: float, accepted: frozenset[int]
    ) -> Iterator[LeaseGrant]:
        self._fractions.clear()
        wants = [want for want in ask.wants if bucket_of(want.entry) in accepted]
        for want in wants:
            pool = self._flows.get(PoolKey(entry=want.entry, kind=want.kind))
            if pool is not None:
                pool.note(ask.gateway, keep=want.keep, returned=want.returned)
                self._advance(want, now_s)
        for bucket in accepted:
            self._hear(bucket, ask, now_s)
        for want in wants:
            entry = self._published.catalogue.entries.get(want.entry)
            if entry is None:
                continue
            lent = self._lend(want, entry, ask.gateway, now_s)
            if lent is not None:
                self._record(want, entry, lent, ask.gateway)
                yield _grant(want, lent)

    def _hear(self, bucket: int, ask: LeaseAsk, now_s: float) -> None:
        left = self._left.setdefault(bucket, {})
        if ask.leaving:
            left[ask.gateway] = ask.incarnation
        elif left.get(ask.gateway, ask.incarnation) != ask.incarnation:
            del left[ask.gateway]
        if ask.gateway not in self._heard_in(bucket, now_s):
            self._advance_bucket(bucket, now_s)
        self._heard.setdefault(bucket, {})[ask.gateway] = now_s + LEASE_S
        self._fractions.pop(bucket, None)

    def _advance_bucket(self, bucket: int, now_s: float) -> None:
        """Refill for the time in which a gateway, heard now, kept its own share."""
        for key in self._flows:
            if bucket_of(key.entry) == bucket:
                self._advance(LeaseWant(entry=key.entry, kind=key.kind), now_s)

    def _release(self, bucket: int, ask: LeaseAsk, now_s: float) -> bool:
        """Return True if the gateway's share is free of any loan from here."""
        self._heard.get(bucket, {}).pop(ask.gateway, None)
        heard = self._heard_in(bucket, now_s)
        for key, pool in self._slots.items():
            entry = self._published.catalogue.entries.get(key.entry)
            if bucket_of(key.entry) != bucket or entry is None:
                continue
            shares = self.shares.slot_shares(key.entry, entry.limits.n_concurrent or 0)
            if not pool.fits(now_s=now_s, shares=shares, heard=heard):
                return False
        return True

    def _heard_in(self, bucket: int, now_s: float) -> frozenset[str]:
        heard = self._heard.get(bucket, {})
        for name in [name for name, until_s in heard.items() if until_s <= now_s]:
            del heard[name]
            self._journal.record(
                Decision(
                    event=Event.LEASE_LOST,
                    peer=name,
                    detail=f"its share in bucket {bucket} is left to it",
                )
            )
        return frozenset(heard) | frozenset(self._left.get(bucket, {}))

    def _flow_rate(self, entry: str, limit: float, now_s: float) -> float:
        """Return the shares of a rate limit that refill here now, together."""
        bucket = bucket_of(entry)
        fraction = self._fractions.get(bucket)
        if fraction is None:
            fraction = self.shares.fraction(self._heard_in(bucket, now_s))
            self._fractions[bucket] = fraction
        return limit * fraction

    def _advance(self, want: LeaseWant, now_s: float) -> None:
        """Refill a pool for the time up to now, before the asker counts as heard."""
        entry = self._published.catalogue.entries.get(want.entry)
        limit = _flow_limit(entry, want.kind)
        if entry is None or limit is None:
            return
        self._flows[PoolKey(entry=want.entry, kind=want.kind)].advance(
            now_s,
            rate_per_s=self._flow_rate(want.entry, limit, now_s),
            burst_s=entry.limits.burst_s,
            need=max(1.0, want.need),
        )

    def _lend(
        self, want: LeaseWant, entry: Entry, gateway: str, now_s: float
    ) -> Lent | None:
        key = PoolKey(entry=want.entry, kind=want.kind)
        if want.kind == LimitKind.CONCURRENCY:
            limit = entry.limits.n_concurrent
            if limit is None:
                return None
            pool = self._slots.setdefault(key, SlotPool())
            return pool.lend(
                gateway,
                want=int(want.want),
                keep=int(want.keep),
                now_s=now_s,
                deadline_s=entry.deadline_s,
                shares=self.shares.slot_shares(want.entry, limit),
                heard=self._heard_in(bucket_of(want.entry), now_s),
            )
        flow_limit = _flow_limit(entry, want.kind)
        if flow_limit is None or key not in self._flows:
            return None
        return self._flows[key].lend(
            gateway,
            want=want.want,
            need=want.need,
            keep=want.keep,
            rate_per_s=self._flow_rate(want.entry, flow_limit, now_s),
        )

    def _record(self, want: LeaseWant, entry: Entry, lent: Lent, gateway: str) -> None:
        """Record a first grant and one that falls short; the many others renew."""
        if not lent.is_contended and (want.keep or not lent.granted):
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
                    Figure(name="n_granted", value=lent.granted),
                    Figure(name="retry_after_s", value=lent.retry_after_s),
                ),
            )
        )


def _buckets() -> range:
    return range(N_BUCKETS)


def _flow_limit(entry: Entry | None, kind: int) -> float | None:
    if entry is None:
        return None
    if kind == LimitKind.REQUEST_RATE:
        return entry.limits.rate_per_s
    return entry.limits.tokens_per_s


def _flow_keys(entries: Mapping[str, Entry]) -> Iterator[PoolKey]:
    for name, entry in entries.items():
        for kind in (LimitKind.REQUEST_RATE, LimitKind.TOKEN_RATE):
            if _flow_limit(entry, kind) is not None:
                yield PoolKey(entry=name, kind=kind)


def _grant(want: LeaseWant, lent: Lent) -> LeaseGrant:
    return LeaseGrant(
        entry=want.entry,
        kind=want.kind,
        granted=lent.granted,
        period_ms=int(1000 * LEASE_S),
        retry_after_ms=int(1000 * lent.retry_after_s),
        contended=lent.is_contended,
    )
