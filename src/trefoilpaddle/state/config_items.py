"""Published values as versions of keys, with a merge that is independent of order.

Two versions of each key are held: the newest that was published, and the newest
that has been active, which stays active while the newest is held back. A merge
takes the maximum of each, so that any two processes that received the same
versions have the same state, in whatever order and grouping they received them.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from typing import Final

from ..protocol.checksum import checksum

N_SHARDS: Final = 64
"""Number of shards of keys; the digest of each shard is compared separately."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """Value of a key at one revision.

    Parameters
    ----------
    revision : int
        Revision of the configuration service.
    value : bytes or None
        JSON text; None if the key was deleted.
    """

    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyState:
    """The two versions of a key that are held.

    Parameters
    ----------
    newest : Version
        The newest version that is known to be published.
    accepted : Version, optional
        The newest version that has been active in some process; None without one.
    """

    newest: Version
    accepted: Version | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedItem:
    """A version of a key as sent between processes.

    Parameters
    ----------
    key : str
        ``KIND/NAME``.
    version : Version
        Revision and value.
    is_accepted : bool
        True if the version has been active at the sender.
    """

    key: str
    version: Version
    is_accepted: bool = False


class ConfigItems:
    """All keys that this process knows, up to one revision.

    Attributes
    ----------
    revision : int
        Every change up to this revision is known.
    shard_digests : list of int
        Digest of each shard of keys; equal if two processes hold the same
        versions.
    """

    __slots__ = ("keys", "revision", "shard_digests")

    def __init__(self) -> None:
        self.keys: dict[str, KeyState] = {}
        self.revision = 0
        self.shard_digests = [0] * N_SHARDS

    @property
    def digest(self) -> int:
        """Digest of all keys, equal in two processes that hold the same versions."""
        total = 0
        for digest in self.shard_digests:
            total ^= digest
        return total

    def merge(self, items: Iterable[PublishedItem], *, revision: int) -> set[str]:
        """Merge `items` and return the keys whose state changed.

        Parameters
        ----------
        items : iterable of PublishedItem
            Versions in any order; those older than the known ones are ignored.
        revision : int
            Revision up to which the sender knows every change. A revision lower
            than this process's own is ignored, so that a stale source cannot
            lower it.
        """
        changed = {item.key for item in items if self._merge_one(item)}
        self.revision = max(self.revision, revision)
        return changed

    def accept(self, key: str) -> None:
        """Record that the newest version of `key` is active."""
        state = self.keys[key]
        if state.accepted is not state.newest:
            self._set(key, replace(state, accepted=state.newest))

    def since(self, revision: int) -> Iterator[PublishedItem]:
        """Yield the keys changed after `revision`, with both of their versions.

        The keys are in order of their newest version's revision. A newest version
        that is held back follows the accepted one, so that a process that starts
        later also receives the last good value.
        """
        for key in self._keys_since(revision):
            yield from self.versions(key)

    def differing(
        self, shard_digests: Sequence[int], *, revision: int = 0
    ) -> Iterator[PublishedItem]:
        """Yield the same as `since`, but only for shards whose digest differs here."""
        differs = [
            own != other
            for own, other in zip(self.shard_digests, shard_digests, strict=True)
        ]
        for key in self._keys_since(revision):
            if differs[_shard(key)]:
                yield from self.versions(key)

    def _keys_since(self, revision: int) -> list[str]:
        keys = [key for key, at in self.keys.items() if at.newest.revision > revision]
        return sorted(keys, key=lambda key: self.keys[key].newest.revision)

    def versions(self, key: str) -> Iterator[PublishedItem]:
        """Yield the one or two versions of `key` that are held, oldest first."""
        state = self.keys[key]
        if state.accepted is not None and state.accepted != state.newest:
            yield PublishedItem(key=key, version=state.accepted, is_accepted=True)
        is_accepted = state.accepted == state.newest
        yield PublishedItem(key=key, version=state.newest, is_accepted=is_accepted)

    def _merge_one(self, item: PublishedItem) -> bool:
        former = self.keys.get(item.key)
        if former is None:
            accepted = item.version if item.is_accepted else None
            self._set(item.key, KeyState(newest=item.version, accepted=accepted))
            return True
        newest = _newer(former.newest, item.version)
        accepted = former.accepted
        if item.is_accepted:
            accepted = _newer(accepted, item.version)
        if newest is former.newest and accepted is former.accepted:
            return False
        self._set(item.key, KeyState(newest=newest, accepted=accepted))
        return True

    def _set(self, key: str, state: KeyState) -> None:
        shard = _shard(key)
        former = self.keys.get(key)
        if former is not None:
            self.shard_digests[shard] ^= _fingerprint(key, former)
        self.keys[key] = state
        self.shard_digests[shard] ^= _fingerprint(key, state)


def _shard(key: str) -> int:
    return checksum(key.encode()) % N_SHARDS


def _newer(former: Version | None, offered: Version) -> Version:
    if former is not None and offered.revision <= former.revision:
        return former
    return offered


def _fingerprint(key: str, state: KeyState) -> int:
    accepted = state.accepted.revision if state.accepted else 0
    return checksum(f"{key}\0{state.newest.revision}\0{accepted}".encode())
