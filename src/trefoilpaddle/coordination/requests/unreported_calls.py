"""Calls of this gateway at one target that its load reports may not hold yet."""


class UnreportedCalls:
    """Predicted work that was sent, by owner, until a report holds it.

    A call counts from its sending. Frames of one connection arrive in order, so
    the first report after a frame about the call holds it and takes it off.
    """

    __slots__ = ("_counted_s", "_n_counted", "_n_uncounted", "_uncounted_s")

    def __init__(self) -> None:
        self._n_uncounted = 0
        self._n_counted = 0
        self._uncounted_s: dict[str, float] = {}
        self._counted_s: dict[str, float] = {}

    def sent(self, owner: str, predicted_s: float) -> None:
        """Count a call that no report can hold yet."""
        self._n_uncounted += 1
        known_s = self._uncounted_s.get(owner, 0.0)
        self._uncounted_s[owner] = known_s + predicted_s

    def arrived(self, owner: str, predicted_s: float) -> None:
        """Note that a call has reached the sidecar; the next report holds it."""
        self._n_counted += 1
        self._n_uncounted -= 1
        if self._n_uncounted:
            left_s = self._uncounted_s[owner] - predicted_s
            self._uncounted_s[owner] = max(0.0, left_s)
        else:
            self._uncounted_s.clear()
        self._counted_s[owner] = self._counted_s.get(owner, 0.0) + predicted_s

    def reported(self) -> None:
        """Take off what had arrived before a report was written."""
        self._counted_s.clear()
        self._n_counted = 0

    def n_calls(self) -> int:
        """Return how many calls no report holds yet, arrived ones included."""
        return self._n_uncounted + self._n_counted

    def of(self, owner: str) -> float:
        """Return the work of one owner, in seconds."""
        return self._uncounted_s.get(owner, 0.0) + self._counted_s.get(owner, 0.0)

    def total_s(self) -> float:
        """Return the work of all owners, in seconds."""
        return sum(self._uncounted_s.values()) + sum(self._counted_s.values())
