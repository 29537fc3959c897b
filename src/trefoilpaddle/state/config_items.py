"""Published values as versions of keys, joined so that order does not matter.

Of each key two versions are held: the newest that was published, and the
newest that has been in force, which stays so while the newest is held back.
Joining takes the maximum of each, so that any two processes that have heard
the same versions hold the same, in whatever order and grouping they heard.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from typing import Final

from ..protocol.checksum import checksum

N_SHARDS: Final = 64
"""Shards of keys whose digests are compared apart."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """What a key was set to at one revision.

    Parameters
    ----------
    revision : int
        Revision of the configuration service.
    value : bytes or None
        JSON; None if the key was deleted.
    """

    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyState:
    """The two versions of a key that matter.

    Parameters
    ----------
    newest : Version
        The newest that is known to have been published.
    accepted : Version, optional
        The newest that has been in force somewhere; None if none has.
    """

    newest: Version
    accepted: Version | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedItem:
    """A version of a key as it passes between processes.

    Parameters
    ----------
    key : str
        ``KIND/NAME``.
    version : Version
        Its value.
    is_accepted : bool
        True if the version has been in force at the sender.
    """

    key: str
    version: Version
    is_accepted: bool = False


class ConfigItems:
    """All keys that this process knows, up to one revision.

    Attributes
    ----------
    revision : int
        Every change up to it is known.
    shard_digests : list of int
        By shard of keys; equal where two processes hold the same versions.
    """

    __slots__ = ("keys", "revision", "shard_digests")

    def __init__(self) -> None:
        self.keys: dict[str, KeyState] = {}
        self.revision = 0
        self.shard_digests = [0] * N_SHARDS

    @property
    def digest(self) -> int:
        """Equal in two processes that hold the same versions."""
        total = 0
        for digest in self.shard_digests:
            total ^= digest
        return total

    def merge(self, items: Iterable[PublishedItem], *, revision: int) -> set[str]:
        """Take in `items` and return the keys of which something was news.

        Parameters
        ----------
        items : iterable of PublishedItem
            In any order; what is older than what is known changes nothing.
        revision : int
            Revision up to which the sender knows every change. A lower one than
            the own is ignored, so a stale source cannot make it fall.
        """
        changed = {item.key for item in items if self._merge_one(item)}
        self.revision = max(self.revision, revision)
        return changed

    def accept(self, key: str) -> None:
        """Note that the newest version of `key` is in force."""
        state = self.keys[key]
        if state.accepted is not state.newest:
            self._set(key, replace(state, accepted=state.newest))

    def since(self, revision: int) -> Iterator[PublishedItem]:
        """Yield each version above `revision`, oldest first, with what it hides.

        A newest version that is held back comes with the accepted one below
        it, so that who starts late learns the last good value too.
        """
        for key in self._keys_since(revision):
            yield from self.versions(key)

    def differing(
        self, shard_digests: Sequence[int], *, revision: int = 0
    ) -> Iterator[PublishedItem]:
        """Yield the same, but only of shards whose digest is another here."""
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
        """Yield the one or two versions held of `key`, oldest first."""
        state = self.keys[key]
        if state.accepted is not None and state.accepted != state.newest:
            yield PublishedItem(key=key, version=state.accepted, is_accepted=True)
        is_accepted = state.accepted == state.newest
        yield PublishedItem(key=key, version=state.newest, is_accepted=is_accepted)

    def _merge_one(self, item: PublishedItem) -> bool:
        was = self.keys.get(item.key)
        if was is None:
            accepted = item.version if item.is_accepted else None
            self._set(item.key, KeyState(newest=item.version, accepted=accepted))
            return True
        newest = _newer(was.newest, item.version)
        accepted = was.accepted
        if item.is_accepted:
            accepted = _newer(accepted, item.version)
        if newest is was.newest and accepted is was.accepted:
            return False
        self._set(item.key, KeyState(newest=newest, accepted=accepted))
        return True

    def _set(self, key: str, state: KeyState) -> None:
        shard = _shard(key)
        was = self.keys.get(key)
        if was is not None:
            self.shard_digests[shard] ^= _fingerprint(key, was)
        self.keys[key] = state
        self.shard_digests[shard] ^= _fingerprint(key, state)


def _shard(key: str) -> int:
    return checksum(key.encode()) % N_SHARDS


def _newer(was: Version | None, offered: Version) -> Version:
    if was is not None and offered.revision <= was.revision:
        return was
    return offered


def _fingerprint(key: str, state: KeyState) -> int:
    accepted = state.accepted.revision if state.accepted else 0
    return checksum(f"{key}\0{state.newest.revision}\0{accepted}".encode())
