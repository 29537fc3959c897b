"""The calls that hold a slot at the target, and what is measured of them."""

from typing import Final

from ...protocol.const import NS_PER_S
from ...state.concurrency import Sample, SlotLimit
from ...state.slowness import Slowness
from ..requests.attempts import Attempt
from .queue_policy import Slots

MIN_LEFT_SHARE: Final = 0.1
"""Part of its prediction that a call is taken to need still, however long it ran."""


class RunningCalls:
    """Slots of one target, and who holds them.

    Parameters
    ----------
    limit : SlotLimit
        How many there are.
    """

    __slots__ = ("_area", "_area_at_ns", "_calls", "_slowness", "limit")

    def __init__(self, *, limit: SlotLimit) -> None:
        self.limit = limit
        self._calls: dict[bytes, tuple[Attempt, float]] = {}
        self._slowness = Slowness()
        self._area = 0.0
        self._area_at_ns = 0

    def __len__(self) -> int:
        return len(self._calls)

    def has_free(self) -> bool:
        """Return True if a call may be started."""
        return len(self._calls) < self.limit.n_slots

    def add(self, attempt: Attempt, *, now_ns: int) -> None:
        """Give `attempt` a slot."""
        self._count(now_ns)
        self._calls[attempt.attempt_id] = (attempt, self._area)

    def remove(self, attempt: Attempt, *, now_ns: int) -> bool:
        """Free the slot of `attempt`; return False if it holds none."""
        if attempt.attempt_id not in self._calls:
            return False
        self._count(now_ns)
        del self._calls[attempt.attempt_id]
        return True

    def learn(self, attempt: Attempt, *, now_ns: int) -> None:
        """Learn from a call that is about to end with an answer."""
        service_s = (now_ns - attempt.started_ns) / NS_PER_S
        predicted_s = attempt.start.predicted_s
        now_s = now_ns / NS_PER_S
        self._slowness.record(service_s=service_s, predicted_s=predicted_s, now_s=now_s)
        self._count(now_ns)
        _, area = self._calls[attempt.attempt_id]
        sample = Sample(
            service_s=service_s,
            predicted_s=predicted_s,
            mean_running=(self._area - area) / max(1e-9, service_s),
            now_s=now_s,
        )
        self.limit.record(sample)

    def slowness(self, now_ns: int) -> float:
        """Return how much slower than predicted the target is of late."""
        return self._slowness.at(now_ns / NS_PER_S)

    def latest_start_ns(self, attempt: Attempt, *, n_waiting: int, now_ns: int) -> int:
        """Return the last moment at which `attempt` may start to be in time.

        It allows for how slow the target is and how far its calls scatter: of
        the work started at that moment while as many wait as there are slots,
        most is still in time, so that little is spent on answers which come
        too late.
        """
        pressure = min(1.0, n_waiting / self.limit.n_slots)
        allowed = self._slowness.allowed_at(now_ns / NS_PER_S, pressure=pressure)
        need_s = max(0.0, attempt.start.predicted_s) * allowed
        return attempt.finish_by_ns - int(need_s * NS_PER_S)

    def left_s(self, now_ns: int) -> list[float]:
        """Return the predicted seconds that each call still needs."""
        left_s = []
        for attempt, _ in self._calls.values():
            predicted_s = attempt.start.predicted_s
            ran_s = (now_ns - attempt.started_ns) / NS_PER_S
            left_s.append(max(MIN_LEFT_SHARE * predicted_s, predicted_s - ran_s))
        return left_s

    def slots(self, now_ns: int) -> Slots:
        """Return the slots as the queue's policy sees them."""
        return Slots(
            n_slots=self.limit.n_slots,
            left_s=self.left_s(now_ns),
            slowness=self.slowness(now_ns),
        )

    def _count(self, now_ns: int) -> None:
        """Add to the area under the number of calls over time."""
        span_s = (now_ns - self._area_at_ns) / NS_PER_S
        self._area += len(self._calls) * span_s
        self._area_at_ns = now_ns
