"""Leave to run one request within the limits that bind its entry."""

from collections.abc import Callable

from .entry_hands import EntryHands


class HeldPermit:
    """Leave to run that holds a place and tokens of an entry.

    Parameters
    ----------
    hands : EntryHands
        Where place and tokens go back to.
    n_tokens : int
        Tokens taken.
    kick : callable
        Asks the home soon; called when another gateway waits for the place.
    """

    __slots__ = ("_hands", "_kick", "_n_tokens")

    def __init__(
        self, *, hands: EntryHands, n_tokens: int, kick: Callable[[], None]
    ) -> None:
        self._hands: EntryHands | None = hands
        self._n_tokens = n_tokens
        self._kick = kick

    def release(self, *, n_tokens: int | None = None) -> None:
        """Give back the place, and the tokens taken beyond `n_tokens`."""
        if self._hands is None:
            return
        n_used = self._n_tokens if n_tokens is None else n_tokens
        self._hands.release(n_unused_tokens=self._n_tokens - n_used)
        if self._hands.is_wanted_elsewhere():
            self._kick()
        self._hands = None
