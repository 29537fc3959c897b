"""Work that requests in progress will bring to the services of later stages."""

import contextlib
from collections.abc import Iterator, Sequence


class UpcomingWork:
    """Predicted seconds of work that will reach each service, by owner.

    Requests that are still at an early stage appear in no queue of the later
    stages. If they were not counted, a burst would be admitted as a whole and
    found to be late only after its early stages had consumed target time.
    """

    __slots__ = ("_seconds_by_key",)

    def __init__(self) -> None:
        self._seconds_by_key: dict[tuple[str, str], float] = {}

    def of(self, service: str, owner: str) -> float:
        """Return the work of `owner` that will still reach `service`, in seconds."""
        return self._seconds_by_key.get((service, owner), 0.0)

    @contextlib.contextmanager
    def track(
        self, owner: str, services: Sequence[str], work_s: Sequence[float]
    ) -> Iterator["UpcomingStages"]:
        """Count the work of one request at each service until it arrives there."""
        keys = [(service, owner) for service in services]
        for key, seconds in zip(keys, work_s, strict=True):
            self._seconds_by_key[key] = self._seconds_by_key.get(key, 0.0) + seconds
        arrivals = UpcomingStages(
            remaining=list(zip(keys, work_s, strict=True)), upcoming=self
        )
        try:
            yield arrivals
        finally:
            while arrivals.remaining:
                arrivals.mark_arrived()

    def subtract(self, key: tuple[str, str], seconds: float) -> None:
        """Stop counting work that has arrived or will not arrive."""
        left_s = self._seconds_by_key.get(key, 0.0) - seconds
        if left_s > 1e-9:
            self._seconds_by_key[key] = left_s
        else:
            self._seconds_by_key.pop(key, None)


class UpcomingStages:
    """Work of one request that has not arrived yet, in the order of its stages."""

    __slots__ = ("_upcoming", "remaining")

    def __init__(
        self, *, remaining: list[tuple[tuple[str, str], float]], upcoming: UpcomingWork
    ) -> None:
        self.remaining = remaining
        self._upcoming = upcoming

    def mark_arrived(self) -> None:
        """Record that the work of the next stage has arrived."""
        key, seconds = self.remaining.pop(0)
        self._upcoming.subtract(key, seconds)
