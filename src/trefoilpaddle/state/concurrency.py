"""Limits of the number of concurrent calls at a target."""

from dataclasses import dataclass
from typing import Final, Protocol

N_SAMPLES: Final = 48
"""Finished calls that each of the two compared measurements needs."""

UP_GAIN: Final = 0.5
"""Least part of the ideal gain in throughput for which more slots are kept.

Ideal is a gain in proportion to the number of slots.
"""

DOWN_GAIN: Final = 0.05
"""Part of the ideal gain below which the topmost slots are removed."""

MAX_BACKOFF: Final = 8
"""Largest factor by which the time to the next trial grows.

It doubles after each trial that changes nothing.
"""

MAX_FACTOR: Final = 4
"""Largest number of slots, as a multiple of the number in the catalogue."""

PROBE_MAX_S: Final = 10.0
"""Longest trial; one with too few calls by then is abandoned."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """Measurement of one finished call.

    Parameters
    ----------
    service_s, predicted_s : float
        Measured and predicted service time, in seconds.
    mean_running : float
        Mean number of calls that ran at the target during this one, including
        this one.
    now_s : float
        End of the call on a monotonic clock, in seconds.
    """

    service_s: float
    predicted_s: float
    mean_running: float
    now_s: float


class SlotLimit(Protocol):
    """Number of calls that may run at once, adjusted by finished calls."""

    @property
    def n_slots(self) -> int:
        """Number of calls that may run at once."""
        ...

    def set_base(self, n_slots: int) -> None:
        """Set the number of slots that the catalogue gives."""
        ...

    def record(self, sample: Sample) -> None:
        """Record one finished call."""
        ...


class FixedSlots:
    """Always the number of slots that the catalogue gives."""

    __slots__ = ("n_slots",)

    def __init__(self, *, n_slots: int) -> None:
        self.n_slots = n_slots

    def set_base(self, n_slots: int) -> None:
        """Set the number of slots that the catalogue gives."""
        self.n_slots = n_slots

    def record(self, sample: Sample) -> None:
        """Do nothing: the number of slots is fixed."""


class SlotMeasurement:
    """Throughput of the target, measured with one number of slots."""

    __slots__ = ("_mean_running", "_predicted_s", "_service_s", "n_samples")

    def __init__(self) -> None:
        self._mean_running = 0.0
        self._predicted_s = 0.0
        self._service_s = 0.0
        self.n_samples = 0

    def add(self, sample: Sample) -> None:
        """Count one call."""
        self.n_samples += 1
        self._mean_running += sample.mean_running
        self._predicted_s += sample.predicted_s
        self._service_s += sample.service_s

    def rate(self) -> float:
        """Return the predicted seconds of work done per second, by Little's law."""
        mean_running = self._mean_running / self.n_samples
        return mean_running * self._predicted_s / self._service_s


class AdaptiveSlots:
    """Finds by trials how many concurrent calls the target can batch.

    Throughput is measured with the current number of slots and, in turn, with a
    quarter more and a quarter fewer. More slots are kept if they add at least
    ``UP_GAIN`` of the ideal gain. The topmost slots are removed if they add less
    than ``DOWN_GAIN`` of it: their calls only wait inside the target, where
    neither shares nor deadlines order them. The two compared measurements
    follow each other directly, so that a drift of the predictions cancels out.

    Parameters
    ----------
    n_slots : int
        Initial number of slots.
    """

    __slots__ = (
        "_backoff",
        "_base",
        "_baseline",
        "_is_upward",
        "_n_settled",
        "_probe",
        "_probe_since_s",
    )

    def __init__(self, *, n_slots: int) -> None:
        self._base = n_slots
        self._restart(n_slots)

    @property
    def n_slots(self) -> int:
        """Number of calls that may run at once."""
        return self._n_settled if self._probe is None else self._probe_slots()

    def set_base(self, n_slots: int) -> None:
        """Restart at the number of slots in the catalogue, if that has changed."""
        if n_slots != self._base:
            self._base = n_slots
            self._restart(n_slots)

    def record(self, sample: Sample) -> None:
        """Record one finished call; it counts only if about all slots were in use."""
        if self._probe is not None:
            self._record_probe(self._probe, sample)
            return
        if not self._fits(sample, self._n_settled):
            return
        self._baseline.add(sample)
        if self._baseline.n_samples >= N_SAMPLES * self._backoff:
            self._begin_probe(sample.now_s)

    def _restart(self, n_slots: int) -> None:
        self._n_settled = n_slots
        self._baseline = SlotMeasurement()
        self._probe: SlotMeasurement | None = None
        self._probe_since_s = 0.0
        self._backoff = 1
        self._is_upward = True

    def _step(self) -> int:
        return max(1, self._n_settled // 4)

    def _probe_slots(self) -> int:
        if self._is_upward:
            return min(self._n_settled + self._step(), MAX_FACTOR * self._base)
        return max(1, self._n_settled - self._step())

    def _fits(self, sample: Sample, n_slots: int) -> bool:
        is_saturated = abs(sample.mean_running - n_slots) <= self._step() / 2
        return is_saturated and sample.predicted_s > 0.0 and sample.service_s > 0.0

    def _begin_probe(self, now_s: float) -> None:
        if self._probe_slots() == self._n_settled:
            self._is_upward = not self._is_upward
            self._baseline = SlotMeasurement()
            return
        self._probe = SlotMeasurement()
        self._probe_since_s = now_s

    def _record_probe(self, probe: SlotMeasurement, sample: Sample) -> None:
        if self._fits(sample, self._probe_slots()):
            probe.add(sample)
        if probe.n_samples >= N_SAMPLES:
            self._conclude(probe)
        elif sample.now_s - self._probe_since_s > PROBE_MAX_S:
            self._end_probe(has_moved=False)

    def _conclude(self, probe: SlotMeasurement) -> None:
        tried = self._probe_slots()
        few, many = (
            (self._baseline, probe) if self._is_upward else (probe, self._baseline)
        )
        n_few, n_many = sorted((self._n_settled, tried))
        gain = (many.rate() / few.rate() - 1.0) / (n_many / n_few - 1.0)
        has_moved = gain >= UP_GAIN if self._is_upward else gain < DOWN_GAIN
        if has_moved:
            self._n_settled = tried
        self._end_probe(has_moved=has_moved)

    def _end_probe(self, *, has_moved: bool) -> None:
        self._probe = None
        self._baseline = SlotMeasurement()
        if has_moved:
            self._backoff = 1
            return
        self._is_upward = not self._is_upward
        self._backoff = min(MAX_BACKOFF, 2 * self._backoff)
