"""Records which targets received which prompt prefixes, by chained block hashes."""

import time
from typing import Final

import xxhash

from .prefix_holders import PrefixHolders

BLOCK_WORDS: Final = 32
"""Words per block."""

MAX_BLOCKS: Final = 32
"""Largest number of leading blocks of a prompt that are hashed."""

MAX_PREFIXES: Final = 20_000
"""Largest number of remembered prefixes."""

MAX_HOLDERS: Final = 8
"""Largest number of remembered targets of each prefix."""

KEEP_S: Final = 120.0
"""Age after which a prefix is assumed to be evicted from the target's cache."""

_SIGN_BIT: Final = 1 << 63
_RANGE: Final = 1 << 64


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return one hash for each leading block of `prompt` and all blocks before it.

    Two prompts have the same first n hashes exactly if their first n blocks of
    words are the same. An incomplete last block has no hash.
    """
    words = prompt.split(None, BLOCK_WORDS * MAX_BLOCKS)
    n_blocks = min(MAX_BLOCKS, len(words) // BLOCK_WORDS)
    state = xxhash.xxh3_64()
    hashes = []
    for block in range(n_blocks):
        start = block * BLOCK_WORDS
        state.update(" ".join(words[start : start + BLOCK_WORDS]).encode())
        state.update(b"\0")
        value = state.intdigest()
        hashes.append(value - _RANGE if value >= _SIGN_BIT else value)
    return tuple(hashes)


class PrefixRecord:
    """Which target received which prefix from this gateway, and when.

    Engines report their cached prefixes late and incompletely, whereas the
    gateway knows at once what it sent to a target. Both are only hints: a prefix
    may have been evicted.

    Parameters
    ----------
    n_prefixes : int
        Largest number of remembered prefixes.
    keep_s : float
        Age in seconds after which a record is ignored.
    """

    __slots__ = ("_holders",)

    def __init__(
        self, *, n_prefixes: int = MAX_PREFIXES, keep_s: float = KEEP_S
    ) -> None:
        self._holders: PrefixHolders[tuple[str, int]] = PrefixHolders(
            n_prefixes=n_prefixes, n_holders=MAX_HOLDERS, keep_s=keep_s
        )

    def record(self, service: str, hashes: tuple[int, ...], process_id: str) -> None:
        """Record that a prompt with these prefixes was sent to `process_id`."""
        prefixes = ((service, value) for value in hashes)
        self._holders.record(prefixes, process_id, time.monotonic())

    def shares(self, service: str, hashes: tuple[int, ...]) -> dict[str, float]:
        """Return the share of the hashed blocks that each target recently received."""
        now_s = time.monotonic()
        shares: dict[str, float] = {}
        for n_blocks in range(len(hashes), 0, -1):
            for process_id in self._holders.holders_of(
                (service, hashes[n_blocks - 1]), now_s
            ):
                shares.setdefault(process_id, n_blocks / len(hashes))
        return shares
