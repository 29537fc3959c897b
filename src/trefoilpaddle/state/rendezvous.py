"""Rendezvous hashing: processes with the same candidates make the same choice."""

import heapq
from collections.abc import Iterable

from ..protocol.checksum import rendezvous_score


def highest(key: str, candidates: Iterable[str], *, n: int) -> list[str]:
    """Return the `n` candidates with the highest score for `key`, best first.

    Adding or removing a candidate changes the choice only for keys for which it
    is or was among the `n` best.
    """
    return heapq.nlargest(n, candidates, key=lambda name: rendezvous_score(key, name))
