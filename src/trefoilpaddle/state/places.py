"""Places of a key: the sidecars that decide about it under a published list."""

import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from ..protocol.checksum import rendezvous_score
from .hosts import Host, HostList, HostState

N_FORMER_LISTS: Final = 32


@dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """A sidecar that can decide about keys."""

    process_id: str
    failure_domain: str
    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PlaceList:
    """The places of one published list.

    Parameters
    ----------
    revision : int
        Of the published list.
    places : tuple of Place
        Its live sidecars.
    """

    revision: int
    places: tuple[Place, ...]

    def pair(self, key: str) -> tuple[Place, ...]:
        """Return the first and second place of `key`; fewer in a shorter list.

        The first is the one with the highest rendezvous score. The second is
        the highest in another failure domain, if there is another, so that no
        loss of one domain takes both. When one host joins or leaves the list,
        the pairs before and after share a place.
        """
        if not self.places:
            return ()
        scored = [
            (rendezvous_score(key, place.process_id), place) for place in self.places
        ]
        first = _highest(scored)
        rest = [item for item in scored if item[1] is not first]
        apart = [
            item for item in rest if item[1].failure_domain != first.failure_domain
        ]
        if not rest:
            return (first,)
        return first, _highest(apart or rest)


def _highest(scored: Iterable[tuple[int, Place]]) -> Place:
    return max(scored, key=lambda item: (item[0], item[1].process_id))[1]


def place_list(hosts: HostList) -> PlaceList:
    """Return the places of `hosts`."""
    return PlaceList(
        revision=hosts.revision,
        places=tuple(_place(host) for host in hosts.hosts if _is_place(host)),
    )


def _is_place(host: Host) -> bool:
    return host.role == "sidecar" and host.state is HostState.LIVE


def _place(host: Host) -> Place:
    return Place(
        process_id=host.process_id,
        failure_domain=host.failure_domain,
        address=host.peer_address,
    )


class PlaceHistory:
    """The present list of places and the lists that it replaced lately.

    Parameters
    ----------
    keep_s : float
        How long a replaced list is kept; a process cut off from the platform
        may go on deciding under it.
    clock : callable
        Monotonic seconds.
    """

    __slots__ = ("_clock", "_former", "_keep_s", "cut_s", "present")

    def __init__(
        self, *, keep_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._keep_s = keep_s
        self._clock = clock
        self._former: deque[tuple[float, PlaceList]] = deque()
        self.present = PlaceList(revision=0, places=())
        self.cut_s = clock()
        """When this process began to know every list; set anew by a cut."""

    def set_hosts(self, hosts: HostList) -> None:
        """Take `hosts` as the present list, if newer."""
        if hosts.revision <= self.present.revision:
            return
        replaced = self.present
        self.present = place_list(hosts)
        if not replaced.places or set(replaced.places) == set(self.present.places):
            return
        self._former.append((self._clock(), replaced))
        self._cut()

    def learn(self, places: PlaceList, *, replaced_ago_s: float) -> None:
        """Take a list that another process held, as one replaced here too."""
        if places.revision == self.present.revision:
            return
        if any(known.revision == places.revision for _, known in self._former):
            return
        self._former.append((self._clock() - replaced_ago_s, places))
        self._former = deque(sorted(self._former, key=lambda item: item[0]))
        self._cut()

    def _cut(self) -> None:
        # A burst of list changes must not fill memory. Forgetting a list makes
        # this process one that does not know the past, which it then says.
        if len(self._former) > N_FORMER_LISTS:
            self._former.popleft()
            self.cut_s = self._clock()

    def dated(self) -> list[tuple[float, PlaceList]]:
        """Return the present and former lists and how long ago each was replaced."""
        now_s = self._clock()
        self.former()
        former = [(now_s - at_s, places) for at_s, places in self._former]
        return [(0.0, self.present), *former]

    def former(self) -> list[PlaceList]:
        """Return the replaced lists that may still be in use, newest first."""
        oldest_s = self._clock() - self._keep_s
        while self._former and self._former[0][0] < oldest_s:
            self._former.popleft()
        return [places for _, places in reversed(self._former)]
