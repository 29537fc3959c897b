"""Rendezvous hashing: who agrees on the places agrees on the choice."""

import heapq
from collections.abc import Iterable

from ..protocol.checksum import rendezvous_score


def highest(key: str, places: Iterable[str], *, n: int) -> list[str]:
    """Return the `n` places that score highest for `key`, best first.

    Adding or removing a place changes the choice of only those keys that it
    wins or had won.
    """
    return heapq.nlargest(n, places, key=lambda place: rendezvous_score(key, place))
