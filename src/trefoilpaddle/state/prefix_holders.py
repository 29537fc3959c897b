"""Records which targets received which prefixes, bounded in number and age."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Generic, TypeVar

Prefix = TypeVar("Prefix")


class PrefixHolders(Generic[Prefix]):
    """The most recent targets of each prefix; evicts the least recently used.

    Parameters
    ----------
    n_prefixes : int
        Largest number of remembered prefixes.
    n_holders : int
        Largest number of remembered targets of each prefix.
    keep_s : float
        Age in seconds after which a record is ignored.
    """

    __slots__ = ("_at_s", "_keep_s", "_n_holders", "_n_prefixes")

    def __init__(self, *, n_prefixes: int, n_holders: int, keep_s: float) -> None:
        self._n_prefixes = n_prefixes
        self._n_holders = n_holders
        self._keep_s = keep_s
        self._at_s: OrderedDict[Prefix, dict[str, float]] = OrderedDict()

    def record(self, prefixes: Iterable[Prefix], holder: str, now_s: float) -> None:
        """Record that a prompt with these prefixes was sent to `holder` at `now_s`."""
        for prefix in prefixes:
            at_s = self._at_s.setdefault(prefix, {})
            at_s[holder] = now_s
            if len(at_s) > self._n_holders:
                del at_s[min(at_s, key=at_s.__getitem__)]
            self._at_s.move_to_end(prefix)
        while len(self._at_s) > self._n_prefixes:
            self._at_s.popitem(last=False)

    def holders_of(self, prefix: Prefix, now_s: float) -> list[str]:
        """Return the targets that recently received `prefix`."""
        at_s = self._at_s.get(prefix, {})
        return [holder for holder in at_s if self._is_fresh(at_s[holder], now_s)]

    def has(self, prefix: Prefix, holder: str, now_s: float) -> bool:
        """Return True if `holder` recently received `prefix`."""
        at_s = self._at_s.get(prefix, {}).get(holder)
        return at_s is not None and self._is_fresh(at_s, now_s)

    def forget(self, holder: str) -> None:
        """Remove a target that has exited; its successor starts with an empty cache."""
        for at_s in self._at_s.values():
            at_s.pop(holder, None)

    def _is_fresh(self, at_s: float, now_s: float) -> bool:
        return at_s >= now_s - self._keep_s
