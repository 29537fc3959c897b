"""Calls that hold a slot at the target, and measurements of them."""

from typing import Final

from ...protocol.const import NS_PER_S
from ...state.concurrency import Sample, SlotLimit
from ...state.slowness import Slowness
from ..requests.attempts import Attempt
from .queue_policy import SlotSnapshot

MIN_REMAINING_SHARE: Final = 0.1
"""Least share of its predicted time that a running call is assumed to need still."""


class RunningCalls:
    """Slots of one target and the calls that hold them.

    Parameters
    ----------
    limit : SlotLimit
        Limits the number of slots, and adapts it to the recorded calls.
    """

    __slots__ = (
        "_call_seconds",
        "_calls",
        "_integrated_until_ns",
        "_slowness",
        "limit",
    )

    def __init__(self, *, limit: SlotLimit) -> None:
        self.limit = limit
        self._calls: dict[bytes, tuple[Attempt, float]] = {}
        self._slowness = Slowness()
        self._call_seconds = 0.0
        self._integrated_until_ns = 0

    def __len__(self) -> int:
        return len(self._calls)

    def has_free_slot(self) -> bool:
        """Return True if a call may be started."""
        return len(self._calls) < self.limit.n_slots

    def add(self, attempt: Attempt, *, now_ns: int) -> None:
        """Assign a slot to `attempt`."""
        self._integrate(now_ns)
        self._calls[attempt.attempt_id] = (attempt, self._call_seconds)

    def remove(self, attempt: Attempt, *, now_ns: int) -> bool:
        """Free the slot of `attempt`; return False if it holds none."""
        if attempt.attempt_id not in self._calls:
            return False
        self._integrate(now_ns)
        del self._calls[attempt.attempt_id]
        return True

    def record_answered(self, attempt: Attempt, *, now_ns: int) -> None:
        """Record the service time of a call that is about to end with an answer."""
        service_s = (now_ns - attempt.started_ns) / NS_PER_S
        predicted_s = attempt.start.predicted_s
        now_s = now_ns / NS_PER_S
        self._slowness.record(service_s=service_s, predicted_s=predicted_s, now_s=now_s)
        self._integrate(now_ns)
        _, call_seconds_at_start = self._calls[attempt.attempt_id]
        sample = Sample(
            service_s=service_s,
            predicted_s=predicted_s,
            mean_running=(self._call_seconds - call_seconds_at_start)
            / max(1e-9, service_s),
            now_s=now_s,
        )
        self.limit.record(sample)

    def slowness(self, now_ns: int) -> float:
        """Return the recent ratio of measured to predicted service time."""
        return self._slowness.at(now_ns / NS_PER_S)

    def latest_start_ns(self, attempt: Attempt, *, n_waiting: int, now_ns: int) -> int:
        """Return the latest time at which `attempt` may start and be on time.

        It allows for the slowness of the target and the variance of its calls.
        If as many attempts wait as there are slots, most of the work that starts
        at that time is still on time, so that little target time is spent on
        late answers.

        Parameters
        ----------
        attempt : Attempt
            The attempt.
        n_waiting : int
            Attempts in the queue.
        now_ns : int
            Current time on this process's monotonic clock.
        """
        pressure = min(1.0, n_waiting / self.limit.n_slots)
        allowed = self._slowness.allowed_at(now_ns / NS_PER_S, pressure=pressure)
        need_s = max(0.0, attempt.start.predicted_s) * allowed
        return attempt.finish_by_ns - int(need_s * NS_PER_S)

    def remaining_s(self, now_ns: int) -> list[float]:
        """Return the predicted seconds that each running call still needs."""
        remaining_s = []
        for attempt, _ in self._calls.values():
            predicted_s = attempt.start.predicted_s
            ran_s = (now_ns - attempt.started_ns) / NS_PER_S
            remaining_s.append(
                max(MIN_REMAINING_SHARE * predicted_s, predicted_s - ran_s)
            )
        return remaining_s

    def slot_snapshot(self, now_ns: int) -> SlotSnapshot:
        """Return a snapshot of the slots for the queue policy."""
        return SlotSnapshot(
            n_slots=self.limit.n_slots,
            remaining_s=self.remaining_s(now_ns),
            slowness=self.slowness(now_ns),
        )

    def _integrate(self, now_ns: int) -> None:
        """Integrate the number of running calls over time up to `now_ns`."""
        span_s = (now_ns - self._integrated_until_ns) / NS_PER_S
        self._call_seconds += len(self._calls) * span_s
        self._integrated_until_ns = now_ns
