"""Divides the limits of each entry into shares of the gateways."""

import time
from collections.abc import Callable
from typing import Final

from ..protocol.checksum import checksum, rendezvous_score
from .hosts import HostList

N_BUCKETS: Final = 16
"""Number of buckets over which the entries are distributed.

Each bucket has one home, so that a gateway talks to few homes however many entries
there are.
"""

REMOVED_GATEWAY_RETENTION_S: Final = 300.0
"""How long a gateway that was removed from the list keeps its share: it may be alive
on the other side of a partition and still use the share."""


def bucket_of(entry: str) -> int:
    """Return the bucket of the entry called `entry`."""
    return checksum(entry.encode()) % N_BUCKETS


def bucket_key(bucket: int) -> str:
    """Return the rendezvous key that determines the home of `bucket`."""
    return f"limits/{bucket}"


class GatewayShares:
    """The gateways that may use a limit, and the share of each.

    The shares of one limit sum to the limit, so gateways that keep to their own
    shares stay within it without communication.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    __slots__ = ("_clock", "_listed", "_removed", "_revision", "_slot_shares")

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._revision = 0
        self._listed: frozenset[str] = frozenset()
        self._removed: dict[str, float] = {}
        self._slot_shares: dict[tuple[str, int], dict[str, int]] = {}

    def set_hosts(self, hosts: HostList) -> None:
        """Apply a host list if it is newer."""
        if hosts.revision <= self._revision:
            return
        self._revision = hosts.revision
        listed = frozenset(h.process_id for h in hosts.hosts if h.role == "gateway")
        for name in self._listed - listed:
            self._removed[name] = self._clock() + REMOVED_GATEWAY_RETENTION_S
        for name in listed:
            self._removed.pop(name, None)
        self._listed = listed
        self._slot_shares.clear()

    def gateways(self) -> frozenset[str]:
        """Return the process ids of all gateways that may use a share."""
        now_s = self._clock()
        expired = [name for name, until_s in self._removed.items() if until_s <= now_s]
        for name in expired:
            del self._removed[name]
        if expired:
            self._slot_shares.clear()
        return self._listed | self._removed.keys() if self._removed else self._listed

    def fraction(self, gateways: frozenset[str]) -> float:
        """Return the part, 0 to 1, of any rate limit that belongs to `gateways`."""
        names = self.gateways()
        return len(names & gateways) / len(names) if names else 0.0

    def slot_shares(self, entry: str, limit: int) -> dict[str, int]:
        """Return each gateway's share of a concurrency limit, in whole slots.

        The remainder of the division goes to the gateways that come first in the
        rendezvous order of the entry, so that different entries favour different
        gateways.
        """
        names = self.gateways()
        shares = self._slot_shares.get((entry, limit))
        if shares is None:
            shares = _divide_slots(entry, limit, names)
            self._slot_shares[(entry, limit)] = shares
        return shares


def _divide_slots(entry: str, limit: int, names: frozenset[str]) -> dict[str, int]:
    if not names:
        return {}
    order = sorted(names, key=lambda name: rendezvous_score(entry, name), reverse=True)
    base, remainder = divmod(limit, len(order))
    return {name: base + (i < remainder) for i, name in enumerate(order)}
