"""Assigns streams that may be resumed to one of the software versions that serve.

The version follows from the key of the stream and from how many workers run each
version. A gateway that knows these numbers knows which version began a stream, even if
nobody has stored it.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

POSITION_BYTES: Final = 8
"""Bytes of a key that give its position."""

POSITION_BITS: Final = 8 * POSITION_BYTES

UNKNOWN_VERSION: Final = "\0"
"""Stands for any version in a set of those that may have begun a stream."""


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionSplit:
    """How many workers of one service run each software version.

    The positions of keys are divided among the versions in their order, by their
    numbers of workers: when the numbers change, only streams next to a boundary are
    assigned to another version.

    Parameters
    ----------
    counts : tuple of (str, int)
        Each version with its number of workers, at least 1, sorted by version.
    n_unknown : int
        Number of further workers that may have served, whose version is not known.
    """

    counts: tuple[tuple[str, int], ...] = ()
    n_unknown: int = 0

    def __bool__(self) -> bool:
        return bool(self.counts or self.n_unknown)

    def version_of(self, key: bytes) -> str | None:
        """Return the version that a stream is assigned to; None if it is not known."""
        if self.n_unknown >= max((n for _, n in self.counts), default=1):
            return None
        n_known = sum(n_workers for _, n_workers in self.counts)
        versions = {
            self._version_among(key, n_known, n_unknown)
            for n_unknown in range(self.n_unknown + 1)
        }
        return versions.pop() if len(versions) == 1 else None

    def versions_of(self, key: bytes) -> frozenset[str]:
        """Return the versions that a stream may be assigned to."""
        version = self.version_of(key)
        if version is not None:
            return frozenset({version})
        return self.versions()

    def versions(self) -> frozenset[str]:
        """Return all versions that may serve."""
        known = frozenset(version for version, _ in self.counts)
        return known | {UNKNOWN_VERSION} if self.n_unknown else known

    def _version_among(self, key: bytes, n_known: int, n_unknown: int) -> str | None:
        """Return the version of a key wherever the unknown workers' versions rank."""
        position = int.from_bytes(key[:POSITION_BYTES])
        index = position * (n_known + n_unknown) >> POSITION_BITS
        end = 0
        for version, n_workers in self.counts:
            begin, end = end, end + n_workers
            if begin + n_unknown <= index < end:
                return version
        return None


def split_of(versions: Iterable[str], *, n_unknown: int = 0) -> VersionSplit:
    """Return the split of workers that run the given versions."""
    counts = tuple(sorted(Counter(versions).items()))
    return VersionSplit(counts=counts, n_unknown=n_unknown)
