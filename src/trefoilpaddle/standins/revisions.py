"""History of published values, from which readers get changes by revision."""

import time
from bisect import bisect_right
from dataclasses import dataclass
from typing import Final

import orjson

MAX_PAGE_BYTES: Final = 1024 * 1024
MAX_VALUE_BYTES: Final = 1024 * 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One published change of a key.

    Parameters
    ----------
    key : str
        Key that changed.
    revision : int
        Revision of the change.
    value : bytes
        JSON of the value; empty when the key was deleted.
    time_s : float
        Time of publication on the monotonic clock.
    """

    key: str
    revision: int
    value: bytes
    time_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """Changes after a revision, in order of their revisions.

    Parameters
    ----------
    revision : int
        Revision up to which changes are included.
    changes : list of Change
        Last change of each key that changed.
    is_truncated : bool
        True if the page was truncated and more changes follow.
    """

    revision: int
    changes: list[Change]
    is_truncated: bool

    def as_json(self) -> bytes:
        """Return the JSON body of the answer."""
        items = [
            {
                "key": change.key,
                "revision": change.revision,
                "value": orjson.Fragment(change.value or b"null"),
            }
            for change in self.changes
        ]
        body: dict[str, object] = {"revision": self.revision, "items": items}
        if self.is_truncated:
            body["more"] = True
        return orjson.dumps(body)


class Revisions:
    """All changes since the start, oldest first.

    Parameters
    ----------
    start : int
        Revision before the first change.
    """

    __slots__ = ("_changes", "_start")

    def __init__(self, *, start: int) -> None:
        self._start = start
        self._changes: list[Change] = []

    @property
    def latest(self) -> int:
        """Return the revision of the last change."""
        return self._changes[-1].revision if self._changes else self._start

    def publish(self, key: str, value: bytes) -> int:
        """Record a change and return its revision; an empty value deletes the key."""
        change = Change(
            key=key, revision=self.latest + 1, value=value, time_s=time.monotonic()
        )
        self._changes.append(change)
        return change.revision

    def has(self, key: str) -> bool:
        """Return True if `key` has a value now."""
        for change in reversed(self._changes):
            if change.key == key:
                return bool(change.value)
        return False

    def visible(self, moment_s: float) -> int:
        """Return the latest revision at the monotonic time `moment_s`."""
        n_seen = bisect_right(self._changes, moment_s, key=lambda each: each.time_s)
        return self._changes[n_seen - 1].revision if n_seen else self._start

    def page(self, *, after: int, until: int) -> Page:
        """Return the changes after revision `after` up to revision `until`."""
        first = bisect_right(self._changes, after, key=lambda each: each.revision)
        last = bisect_right(self._changes, until, key=lambda each: each.revision)
        newest = {change.key: change for change in self._changes[first:last]}
        taken: list[Change] = []
        n_bytes = 0
        for change in sorted(newest.values(), key=lambda each: each.revision):
            n_bytes += len(change.value) + len(change.key)
            if taken and n_bytes > MAX_PAGE_BYTES:
                return Page(
                    revision=taken[-1].revision, changes=taken, is_truncated=True
                )
            taken.append(change)
        return Page(revision=until, changes=taken, is_truncated=False)
