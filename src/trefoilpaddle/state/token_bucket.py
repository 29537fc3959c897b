"""A token bucket on a monotonic clock, for a share that comes and goes."""


class TokenBucket:
    """Units that refill at a rate; the level is read and written freely."""

    __slots__ = ("_now_s", "level")

    def __init__(self) -> None:
        self.level = 0.0
        self._now_s = float("-inf")

    def advance(
        self,
        now_s: float,
        *,
        rate_per_s: float,
        from_s: float,
        burst_s: float,
        need: float,
    ) -> None:
        """Refill up to `now_s`, to at most `burst_s` of the rate or `need` units.

        The share is this bucket's own since `from_s`; what it held before, and
        all of it while `from_s` is still to come, belongs to somebody else.
        """
        if from_s > self._now_s:
            self.level = 0.0
        passed_s = max(0.0, now_s - max(from_s, self._now_s))
        self._now_s = now_s
        most = max(need, rate_per_s * burst_s)
        self.level = min(most, self.level + rate_per_s * passed_s)
