"""How a limit divides over the gateways: each one's share of each entry."""

import time
from collections.abc import Callable
from typing import Final

from ..protocol.checksum import checksum, rendezvous_score
from .hosts import HostList

N_BUCKETS: Final = 16
"""Entries are dealt into so many buckets; each bucket has one home, so that a
gateway talks to few homes however many entries there are."""

FORGET_GATEWAY_S: Final = 300.0
"""How long a gateway that left the list keeps its share: it may be alive on the
other side of a partition and still use it."""


def bucket_of(entry: str) -> int:
    """Return the bucket of the entry named `entry`."""
    return checksum(entry.encode()) % N_BUCKETS


def bucket_key(bucket: int) -> str:
    """Return the key under which the home of `bucket` is placed."""
    return f"limits/{bucket}"


class GatewayShares:
    """The gateways that may use a limit, and the share of each.

    Shares of one limit add up to the limit, so gateways that keep to their own
    shares stay within it without hearing of each other.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    """

    __slots__ = ("_clock", "_gone", "_listed", "_revision", "_slot_shares")

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._revision = 0
        self._listed: frozenset[str] = frozenset()
        self._gone: dict[str, float] = {}
        self._slot_shares: dict[tuple[str, int], dict[str, int]] = {}

    def set_hosts(self, hosts: HostList) -> None:
        """Take the gateways of a newer list."""
        if hosts.revision <= self._revision:
            return
        self._revision = hosts.revision
        listed = frozenset(h.process_id for h in hosts.hosts if h.role == "gateway")
        for name in self._listed - listed:
            self._gone[name] = self._clock() + FORGET_GATEWAY_S
        for name in listed:
            self._gone.pop(name, None)
        self._listed = listed
        self._slot_shares.clear()

    def gateways(self) -> frozenset[str]:
        """Return the process ids of all that may use a share."""
        now_s = self._clock()
        over = [name for name, until_s in self._gone.items() if until_s <= now_s]
        for name in over:
            del self._gone[name]
        if over:
            self._slot_shares.clear()
        return self._listed | self._gone.keys() if self._gone else self._listed

    def fraction(self, gateways: frozenset[str]) -> float:
        """Return the part of any rate limit that is the share of `gateways`."""
        names = self.gateways()
        return len(names & gateways) / len(names) if names else 0.0

    def slot_shares(self, entry: str, limit: int) -> dict[str, int]:
        """Return every gateway's share of a concurrency limit, whole places.

        What does not divide goes to the gateways first in rendezvous order for
        the entry, so that different entries favour different gateways.
        """
        names = self.gateways()
        shares = self._slot_shares.get((entry, limit))
        if shares is None:
            shares = _dealt(entry, limit, names)
            self._slot_shares[(entry, limit)] = shares
        return shares


def _dealt(entry: str, limit: int, names: frozenset[str]) -> dict[str, int]:
    if not names:
        return {}
    order = sorted(names, key=lambda name: rendezvous_score(entry, name), reverse=True)
    whole, rest = divmod(limit, len(order))
    return {name: whole + (i < rest) for i, name in enumerate(order)}
