"""Calls of this gateway at one target that its load reports may not include yet."""


class UnreportedCalls:
    """Predicted work that was sent, by owner, until a load report includes it.

    A call counts from the time it is sent. Frames of one connection arrive in
    order, so the first report after a frame about the call includes the call,
    which then stops counting here.
    """

    __slots__ = ("_arrived_s", "_in_transit_s", "_n_arrived", "_n_in_transit")

    def __init__(self) -> None:
        self._n_in_transit = 0
        self._n_arrived = 0
        self._in_transit_s: dict[str, float] = {}
        self._arrived_s: dict[str, float] = {}

    def sent(self, owner: str, predicted_s: float) -> None:
        """Count a call that no report can include yet."""
        self._n_in_transit += 1
        known_s = self._in_transit_s.get(owner, 0.0)
        self._in_transit_s[owner] = known_s + predicted_s

    def arrived(self, owner: str, predicted_s: float) -> None:
        """Record that a call has reached the sidecar; the next report includes it."""
        self._n_arrived += 1
        self._n_in_transit -= 1
        if self._n_in_transit:
            left_s = self._in_transit_s[owner] - predicted_s
            self._in_transit_s[owner] = max(0.0, left_s)
        else:
            self._in_transit_s.clear()
        self._arrived_s[owner] = self._arrived_s.get(owner, 0.0) + predicted_s

    def reported(self) -> None:
        """Stop counting the calls that had arrived before a report was written."""
        self._arrived_s.clear()
        self._n_arrived = 0

    def n_calls(self) -> int:
        """Return how many calls no report includes yet, in transit or arrived."""
        return self._n_in_transit + self._n_arrived

    def of(self, owner: str) -> float:
        """Return the unreported work of one owner, in seconds."""
        return self._in_transit_s.get(owner, 0.0) + self._arrived_s.get(owner, 0.0)

    def total_s(self) -> float:
        """Return the unreported work of all owners, in seconds."""
        return sum(self._in_transit_s.values()) + sum(self._arrived_s.values())
