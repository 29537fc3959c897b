"""Prefix cache of an engine: hashed blocks with least-recently-used eviction."""

import random
import time
from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

MAX_EVENTS: Final = 20_000


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """A block was stored or evicted.

    Parameters
    ----------
    seq : int
        Sequence number, one higher for each event; a gap means a lost event.
    kind : str
        ``"stored"`` or ``"evicted"``.
    prefix_hash : int
        Signed hash of the block and all preceding blocks.
    time_s : float
        Time of the event on the monotonic clock of the engine.
    """

    seq: int
    kind: str
    prefix_hash: int
    time_s: float


class PrefixCache:
    """Blocks of prompts that need no prefill.

    Parameters
    ----------
    n_blocks : int
        Largest number of cached blocks.
    gap_share : float
        Share of the events that are lost.
    seed : int
        Seed of the random draws for `gap_share`.
    """

    __slots__ = ("_blocks", "_events", "_gap_share", "_n_blocks", "_random", "_seq")

    def __init__(self, *, n_blocks: int, gap_share: float, seed: int) -> None:
        self._n_blocks = n_blocks
        self._gap_share = gap_share
        self._random = random.Random(seed)
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._seq = 0

    def n_cached(self, hashes: Sequence[int]) -> int:
        """Return the number of leading cached blocks of `hashes`; mark them as used."""
        n_found = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            n_found += 1
        return n_found

    def store(self, hashes: Sequence[int]) -> None:
        """Cache the blocks of a prompt; its first blocks are evicted last."""
        for block in reversed(hashes[: self._n_blocks]):
            if block not in self._blocks:
                self._blocks[block] = None
                self._record_event("stored", block)
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._n_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._record_event("evicted", block)

    def events(self, *, after: int, until_s: float) -> list[CacheEvent]:
        """Return the events numbered above `after` that happened until `until_s`."""
        return [
            event
            for event in self._events
            if event.seq > after and event.time_s <= until_s
        ]

    def _record_event(self, kind: str, block: int) -> None:
        self._seq += 1
        if self._random.random() < self._gap_share:
            return
        event = CacheEvent(
            seq=self._seq, kind=kind, prefix_hash=block, time_s=time.monotonic()
        )
        self._events.append(event)
