"""Where prompt prefixes went: chained hashes of blocks, with their age."""

import time
from typing import Final

import xxhash

from .prefix_holders import PrefixHolders

BLOCK_WORDS: Final = 32
"""Words of a block."""

MAX_BLOCKS: Final = 32
"""Leading blocks of a prompt that are hashed."""

MAX_PREFIXES: Final = 20_000
"""Prefixes remembered."""

MAX_HOLDERS: Final = 8
"""Targets remembered for each prefix."""

KEEP_S: Final = 120.0
"""Age after which a prefix is taken as evicted."""

_SIGN_BIT: Final = 1 << 63
_RANGE: Final = 1 << 64


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return one hash for each leading block of `prompt`, each over all before.

    Two prompts share the first n hashes exactly when they share the first n
    blocks of words; a last block that is not full has no hash.
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
    """This gateway's own record of which target got which prefix, and when.

    Engines tell what they cache late and with gaps; what was sent where is
    known here at once. Both are hints: a prefix may have been evicted.

    Parameters
    ----------
    n_prefixes : int
        How many prefixes are remembered.
    keep_s : float
        Age at which a record counts no more.
    """

    __slots__ = ("_holders",)

    def __init__(
        self, *, n_prefixes: int = MAX_PREFIXES, keep_s: float = KEEP_S
    ) -> None:
        self._holders: PrefixHolders[tuple[str, int]] = PrefixHolders(
            n_prefixes=n_prefixes, n_holders=MAX_HOLDERS, keep_s=keep_s
        )

    def record(self, service: str, hashes: tuple[int, ...], process_id: str) -> None:
        """Remember that a prompt with these prefixes went to `process_id`."""
        prefixes = ((service, value) for value in hashes)
        self._holders.record(prefixes, process_id, time.monotonic())

    def shares(self, service: str, hashes: tuple[int, ...]) -> dict[str, float]:
        """Return which share of the hashed blocks each target has seen lately."""
        now_s = time.monotonic()
        shares: dict[str, float] = {}
        for n_blocks in range(len(hashes), 0, -1):
            for process_id in self._holders.holders_of(
                (service, hashes[n_blocks - 1]), now_s
            ):
                shares.setdefault(process_id, n_blocks / len(hashes))
        return shares
