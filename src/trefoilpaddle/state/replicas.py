"""Replicas of a key: the sidecars that keep its claims under a published host list."""

import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from ..protocol.checksum import rendezvous_score
from .hosts import Host, HostList, HostState

N_FORMER_LISTS: Final = 32
"""Largest number of replaced lists that are kept."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Replica:
    """A sidecar that can keep the claims of keys."""

    process_id: str
    failure_domain: str
    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaList:
    """The sidecars that can be replicas under one published host list.

    Parameters
    ----------
    revision : int
        Revision of the host list.
    replicas : tuple of Replica
        Its live sidecars.
    """

    revision: int
    replicas: tuple[Replica, ...]

    def pair(self, key: str) -> tuple[Replica, ...]:
        """Return the primary and the backup of `key`; fewer if the list is shorter.

        The primary has the highest rendezvous score. The backup has the highest
        score in another failure domain, if there is one, so that the loss of one
        domain does not take both. When one host joins or leaves the list, the
        pairs before and after have a replica in common.
        """
        if not self.replicas:
            return ()
        scored = [
            (rendezvous_score(key, replica.process_id), replica)
            for replica in self.replicas
        ]
        primary = _highest(scored)
        rest = [item for item in scored if item[1] is not primary]
        other_domains = [
            item for item in rest if item[1].failure_domain != primary.failure_domain
        ]
        if not rest:
            return (primary,)
        return primary, _highest(other_domains or rest)


def _highest(scored: Iterable[tuple[int, Replica]]) -> Replica:
    return max(scored, key=lambda item: (item[0], item[1].process_id))[1]


def replica_list(hosts: HostList) -> ReplicaList:
    """Return the live sidecars of `hosts`."""
    return ReplicaList(
        revision=hosts.revision,
        replicas=tuple(_replica(host) for host in hosts.hosts if _is_replica(host)),
    )


def _is_replica(host: Host) -> bool:
    return host.role == "sidecar" and host.state is HostState.LIVE


def _replica(host: Host) -> Replica:
    return Replica(
        process_id=host.process_id,
        failure_domain=host.failure_domain,
        address=host.peer_address,
    )


class ReplicaHistory:
    """The current replica list and the recently replaced ones.

    Parameters
    ----------
    keep_s : float
        How long a replaced list is kept, because a process partitioned from the
        platform may still decide under it.
    clock : callable
        Returns monotonic seconds.
    """

    __slots__ = ("_clock", "_former", "_keep_s", "complete_since_s", "current")

    def __init__(
        self, *, keep_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._keep_s = keep_s
        self._clock = clock
        self._former: deque[tuple[float, ReplicaList]] = deque()
        self.current = ReplicaList(revision=0, replicas=())
        self.complete_since_s = clock()
        """Time since which every list is known; reset when a list is dropped early."""

    def set_hosts(self, hosts: HostList) -> None:
        """Make `hosts` the current list if it is newer."""
        if hosts.revision <= self.current.revision:
            return
        replaced = self.current
        self.current = replica_list(hosts)
        if not replaced.replicas or set(replaced.replicas) == set(
            self.current.replicas
        ):
            return
        self._former.append((self._clock(), replaced))
        self._limit_former()

    def add_former(self, replicas: ReplicaList, *, replaced_ago_s: float) -> None:
        """Add a list that another process had, as one that was replaced here too."""
        if replicas.revision == self.current.revision:
            return
        if any(known.revision == replicas.revision for _, known in self._former):
            return
        self._former.append((self._clock() - replaced_ago_s, replicas))
        self._former = deque(sorted(self._former, key=lambda item: item[0]))
        self._limit_former()

    def _limit_former(self) -> None:
        # Bounds memory in a burst of list changes. Without the dropped list this
        # process may lack claims, which `complete_since_s` records.
        if len(self._former) > N_FORMER_LISTS:
            self._former.popleft()
            self.complete_since_s = self._clock()

    def lists_with_ages(self) -> list[tuple[float, ReplicaList]]:
        """Return each list with the seconds since it was replaced.

        The current list comes first, with 0 seconds.
        """
        now_s = self._clock()
        self.former()
        former = [(now_s - at_s, replicas) for at_s, replicas in self._former]
        return [(0.0, self.current), *former]

    def former(self) -> list[ReplicaList]:
        """Return the replaced lists that may still be in use, latest replaced first."""
        oldest_s = self._clock() - self._keep_s
        while self._former and self._former[0][0] < oldest_s:
            self._former.popleft()
        return [replicas for _, replicas in reversed(self._former)]
