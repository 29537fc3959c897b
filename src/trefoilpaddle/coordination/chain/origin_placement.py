"""Chooses the gateways that store the origin of a stream, and those that are queried.

Both are drawn by the key of the stream from a few gateways of each failure domain, so
that all gateways with the same members make the same choice.
"""

import math
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from ...state.members import MemberRecord
from ...state.rendezvous import highest
from ..members.duty_rank import duty_rank

N_REPLICAS: Final = 2
"""Gateways that store the origin of a stream besides the one that began it."""

N_DOMAINS_QUERIED: Final = 3
N_QUERIED: Final = 6
"""Gateways that are queried: more than replicas, as members change meanwhile."""

N_HISTORY_READERS: Final = 3
"""Gateways that read the store's history if no gateway knows enough of the workers."""

N_LAST_STOPPING: Final = 3
"""Gateways that are queried as they were ordered to stop last."""

MIN_POOL_PER_DOMAIN: Final = 2
MAX_POOL_PER_DOMAIN: Final = 4
MIN_POOL: Final = 6
"""Gateways of all failure domains together that store streams, if there are as many.

With fewer, the loss of two gateways of a single failure domain would lose the streams
of all.
"""

GATEWAYS_PER_POOL_MEMBER: Final = 20
"""How many gateways of a failure domain share the streams of all.

Each gateway keeps a link to each of them, so there are few; more of them share the
streams of a large fleet.
"""

Members = Callable[[], Sequence[MemberRecord]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Pools:
    """The gateways that streams are distributed over, for one set of members.

    Parameters
    ----------
    members : sequence of MemberRecord
        The members that the pools were drawn from.
    ids : sequence of sequence of str
        Ids of those that store streams, by failure domain.
    by_id : mapping of str to MemberRecord
        Those that store streams, by id.
    """

    members: Sequence[MemberRecord] = ()
    ids: Sequence[Sequence[str]] = ()
    by_id: Mapping[str, MemberRecord] = field(default_factory=dict)

    def starts(self) -> frozenset[tuple[str, int]]:
        """Return the id and the incarnation of each gateway that stores streams."""
        return frozenset(
            (member.process_id, member.incarnation) for member in self.by_id.values()
        )


class OriginPlacement:
    """Chooses gateways by the key of a stream.

    Parameters
    ----------
    own_id : str
        Id of this process, which is never chosen.
    live : callable
        Returns the live gateways, this one included; the same object until one changes.
    stopping : callable
        Returns the gateways that have been ordered to stop and may still respond.
    n_replicas : int
        Gateways that store a stream besides this one.
    is_settled : callable
        Returns True once this gateway knows the others. While all start at once, each
        would otherwise count itself among the readers of the store's history.
    """

    __slots__ = (
        "_is_settled",
        "_live",
        "_n_replicas",
        "_own_id",
        "_pools",
        "_stopping",
    )

    def __init__(
        self,
        *,
        own_id: str,
        live: Members,
        stopping: Members,
        n_replicas: int = N_REPLICAS,
        is_settled: Callable[[], bool] = lambda: True,
    ) -> None:
        self._is_settled = is_settled
        self._own_id = own_id
        self._live = live
        self._stopping = stopping
        self._n_replicas = n_replicas
        self._pools = Pools()

    def pools(self) -> Pools:
        """Return the pools of the live gateways.

        While no other one is live, they are those that were ordered to stop last, which
        run on longest.
        """
        live = self._live()
        if all(member.process_id == self._own_id for member in live):
            stopping = list(self._stopping())
            if stopping:
                return pools_of(stopping[-MIN_POOL:])
        if live is not self._pools.members:
            self._pools = pools_of(live)
        return self._pools

    def replicas(self, key: bytes, pools: Pools) -> list[MemberRecord]:
        """Return the replicas of a stream that is stored here.

        They are in different failure domains if there are enough.
        """
        chosen: list[MemberRecord] = []
        for n_each in range(1, self._n_replicas + 1):
            chosen = self._highest_ranked(
                key, pools, n_domains=self._n_replicas, n_each=n_each
            )
            if len(chosen) >= self._n_replicas:
                break
        return chosen[: self._n_replicas]

    def lookup_targets(self, key: bytes) -> list[MemberRecord]:
        """Return the gateways that may know a stream which began elsewhere.

        These are live; `stopping_targets` may know it as well.
        """
        return self._queried(key, self.pools())

    def stopping_targets(self, key: bytes) -> list[MemberRecord]:
        """Return the gateways that may know a stream and have been ordered to stop.

        They still know what they stored, and live ones may not have it yet. Those that
        were ordered last have what the others sent on.
        """
        stopping = [
            each for each in self._stopping() if each.process_id != self._own_id
        ]
        if not stopping:
            return []
        ranked = self._queried(key, pools_of((*self._live(), *stopping)))
        ids = {each.process_id for each in stopping}
        targets = [each for each in ranked if each.process_id in ids]
        return targets + [e for e in stopping[-N_LAST_STOPPING:] if e not in targets]

    def other_history_readers(self) -> list[MemberRecord]:
        """Return the gateways, except this one, that read the store's history."""
        return [e for e in self._history_readers() if e.process_id != self._own_id]

    def reads_history(self) -> bool:
        """Return True if this gateway reads the store's history for others."""
        return self._is_settled() and any(
            each.process_id == self._own_id for each in self._history_readers()
        )

    def _history_readers(self) -> list[MemberRecord]:
        """Return a few live gateways, in different failure domains if possible."""
        n_in_domain: Counter[str] = Counter()
        ranked: list[tuple[int, MemberRecord]] = []
        for member in sorted(self._live(), key=duty_rank):
            ranked.append((n_in_domain[member.failure_domain], member))
            n_in_domain[member.failure_domain] += 1
        ranked.sort(key=lambda each: each[0])
        return [member for _, member in ranked[:N_HISTORY_READERS]]

    def _queried(self, key: bytes, pools: Pools) -> list[MemberRecord]:
        n_domains = max(1, min(N_DOMAINS_QUERIED, len(pools.ids)))
        return self._highest_ranked(
            key, pools, n_domains=n_domains, n_each=math.ceil(N_QUERIED / n_domains)
        )

    def _highest_ranked(
        self, key: bytes, pools: Pools, *, n_domains: int, n_each: int
    ) -> list[MemberRecord]:
        """Return the gateways that rank first for a key, except this one."""
        name = key.hex()
        ranked: dict[str, list[str]] = {}
        for pool in pools.ids:
            ids = [each for each in pool if each != self._own_id]
            first = highest(name, ids, n=n_each)
            if first:
                ranked[first[0]] = first
        heads = highest(name, ranked, n=n_domains)
        return [pools.by_id[each] for head in heads for each in ranked[head]]


def pools_of(members: Sequence[MemberRecord]) -> Pools:
    """Return the gateways of each failure domain that rank first for duties."""
    by_domain: dict[str, list[MemberRecord]] = {}
    for member in sorted(members, key=duty_rank):
        by_domain.setdefault(member.failure_domain, []).append(member)
    ids: list[list[str]] = []
    by_id: dict[str, MemberRecord] = {}
    min_size = max(MIN_POOL_PER_DOMAIN, math.ceil(MIN_POOL / max(1, len(by_domain))))
    for in_domain in by_domain.values():
        n = len(in_domain) // GATEWAYS_PER_POOL_MEMBER
        size = max(min_size, min(MAX_POOL_PER_DOMAIN, n))
        pool = in_domain[:size]
        ids.append([member.process_id for member in pool])
        by_id |= {member.process_id: member for member in pool}
    return Pools(members=members, ids=ids, by_id=by_id)
