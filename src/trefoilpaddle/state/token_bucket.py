"""A token bucket on a monotonic clock, for a share that is delegated at times."""


class TokenBucket:
    """Units that refill at a rate; the owner reads and writes `level` directly."""

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

        The share belongs to this bucket from `from_s` on. Units from before that
        time are discarded, and nothing is added while `from_s` is in the future,
        because then the share is used by another process.
        """
        if from_s > self._now_s:
            self.level = 0.0
        passed_s = max(0.0, now_s - max(from_s, self._now_s))
        self._now_s = now_s
        most = max(need, rate_per_s * burst_s)
        self.level = min(most, self.level + rate_per_s * passed_s)
