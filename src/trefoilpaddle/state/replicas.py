"""Places of a key: the sidecars that decide about it under a published list."""

import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from ..protocol.checksum import place_score
from .hosts import Host, HostList, HostState

N_FORMER_LISTS: Final = 32


@dataclass(frozen=True, slots=True, kw_only=True)
class Replica:
    """A sidecar that can decide about keys."""

    process_id: str
    failure_domain: str
    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaList:
    """The places of one published list.

    Parameters
    ----------
    revision : int
        Of the published list.
    replicas : tuple of Place
        Its live sidecars.
    """

    revision: int
    replicas: tuple[Replica, ...]

    def pair(self, key: str) -> tuple[Replica, ...]:
        """Return the first and second place of `key`; fewer in a shorter list.

        The first is the one with the highest rendezvous score. The second is
        the highest in another failure domain, if there is another, so that no
        loss of one domain takes both. When one host joins or leaves the list,
        the pairs before and after share a place.
        """
        if not self.replicas:
            return ()
        scored = [
            (place_score(key, place.process_id), place) for place in self.replicas
        ]
        first = _highest(scored)
        rest = [item for item in scored if item[1] is not first]
        apart = [
            item for item in rest if item[1].failure_domain != first.failure_domain
        ]
        if not rest:
            return (first,)
        return first, _highest(apart or rest)


def _highest(scored: Iterable[tuple[int, Replica]]) -> Replica:
    return max(scored, key=lambda item: (item[0], item[1].process_id))[1]


def replica_list(hosts: HostList) -> ReplicaList:
    """Return the places of `hosts`."""
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
    """The present list of places and the lists that it replaced lately.

    Parameters
    ----------
    keep_s : float
        How long a replaced list is kept; a process cut off from the platform
        may go on deciding under it.
    clock : callable
        Monotonic seconds.
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
        """When this process began to know every list; set anew by a cut."""

    def set_hosts(self, hosts: HostList) -> None:
        """Take `hosts` as the present list, if newer."""
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
        """Take a list that another process held, as one replaced here too."""
        if replicas.revision == self.current.revision:
            return
        if any(known.revision == replicas.revision for _, known in self._former):
            return
        self._former.append((self._clock() - replaced_ago_s, replicas))
        self._former = deque(sorted(self._former, key=lambda item: item[0]))
        self._limit_former()

    def _limit_former(self) -> None:
        # A burst of list changes must not fill memory. Forgetting a list makes
        # this process one that does not know the past, which it then says.
        if len(self._former) > N_FORMER_LISTS:
            self._former.popleft()
            self.complete_since_s = self._clock()

    def lists_with_ages(self) -> list[tuple[float, ReplicaList]]:
        """Return the present and former lists and how long ago each was replaced."""
        now_s = self._clock()
        self.former()
        former = [(now_s - at_s, replicas) for at_s, replicas in self._former]
        return [(0.0, self.current), *former]

    def former(self) -> list[ReplicaList]:
        """Return the replaced lists that may still be in use, newest first."""
        oldest_s = self._clock() - self._keep_s
        while self._former and self._former[0][0] < oldest_s:
            self._former.popleft()
        return [replicas for _, replicas in reversed(self._former)]
