"""Work that requests under way will bring to the services of later stages."""

import contextlib
from collections.abc import Iterator, Sequence


class UpcomingWork:
    """Predicted seconds on their way to each service, by owner.

    Requests that are still at an early stage show in no queue of the later ones.
    Without counting them a burst is admitted whole, and found to be late only
    after its early stages have been paid for.
    """

    __slots__ = ("_by_place",)

    def __init__(self) -> None:
        self._by_place: dict[tuple[str, str], float] = {}

    def of(self, service: str, owner: str) -> float:
        """Return what `owner` has on its way to `service`, in seconds."""
        return self._by_place.get((service, owner), 0.0)

    @contextlib.contextmanager
    def track(
        self, owner: str, services: Sequence[str], work_s: Sequence[float]
    ) -> Iterator["UpcomingStages"]:
        """Count the work of one request at each service until it gets there."""
        places = [(service, owner) for service in services]
        for place, seconds in zip(places, work_s, strict=True):
            self._by_place[place] = self._by_place.get(place, 0.0) + seconds
        arrivals = UpcomingStages(
            left=list(zip(places, work_s, strict=True)), coming=self
        )
        try:
            yield arrivals
        finally:
            while arrivals.left:
                arrivals.mark_arrived()

    def subtract(self, place: tuple[str, str], seconds: float) -> None:
        """Count work no more that has arrived, or will not come."""
        left_s = self._by_place.get(place, 0.0) - seconds
        if left_s > 1e-9:
            self._by_place[place] = left_s
        else:
            self._by_place.pop(place, None)


class UpcomingStages:
    """What one request still has on its way, in the order of its stages."""

    __slots__ = ("_coming", "left")

    def __init__(
        self, *, left: list[tuple[tuple[str, str], float]], coming: UpcomingWork
    ) -> None:
        self.left = left
        self._coming = coming

    def mark_arrived(self) -> None:
        """Note that the next stage's work has arrived."""
        place, seconds = self.left.pop(0)
        self._coming.subtract(place, seconds)
