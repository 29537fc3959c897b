"""How many calls the target is given at once."""

from dataclasses import dataclass
from typing import Final, Protocol

N_SAMPLES: Final = 48
"""Ended calls on which each side of a comparison rests."""

UP_GAIN: Final = 0.5
"""Share of the ideal gain in work done for which more slots are kept."""

DOWN_GAIN: Final = 0.05
"""Share of the ideal gain below which the uppermost slots are given up."""

MAX_BACKOFF: Final = 8
"""Most times that the next trial is put off after fruitless ones."""

MAX_FACTOR: Final = 4
"""Most slots, as a multiple of the number in the catalogue."""

PROBE_MAX_S: Final = 10.0
"""A trial that gets too few calls in this time is given up."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """One ended call.

    Parameters
    ----------
    service_s, predicted_s : float
        Measured and predicted service time.
    mean_running : float
        Calls that ran at the target during it, itself included, on average.
    now_s : float
        When it ended, on a monotonic clock.
    """

    service_s: float
    predicted_s: float
    mean_running: float
    now_s: float


class SlotLimit(Protocol):
    """Says how many calls may run, and learns from each that ended."""

    @property
    def n_slots(self) -> int:
        """Calls that may run at once."""
        ...

    def set_base(self, n_slots: int) -> None:
        """Take the number that the catalogue names."""
        ...

    def record(self, sample: Sample) -> None:
        """Learn from one ended call."""
        ...


class FixedSlots:
    """The number that the catalogue names, whatever happens."""

    __slots__ = ("n_slots",)

    def __init__(self, *, n_slots: int) -> None:
        self.n_slots = n_slots

    def set_base(self, n_slots: int) -> None:
        """Take the number that the catalogue names."""
        self.n_slots = n_slots

    def record(self, sample: Sample) -> None:
        """Learn nothing."""


class SlotMeasurement:
    """Calls measured at one number of slots."""

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
        """Return predicted seconds of work done a second, by Little's law."""
        mean_running = self._mean_running / self.n_samples
        return mean_running * self._predicted_s / self._service_s


class AdaptiveSlots:
    """Finds by trial how many calls the target's batching bears.

    Work done a second is measured at the present number of slots and, in turn,
    at a quarter more and a quarter fewer. More are kept while they do enough of
    the work that they could; the uppermost are given up when they do none,
    because calls then only wait inside the target, where no share and no
    deadline orders them. Both sides of a comparison are measured one after the
    other, so that a prediction which drifts cancels out.

    Parameters
    ----------
    n_slots : int
        Where to begin.
    """

    __slots__ = ("_base", "_kept", "_n", "_patience", "_probe", "_probe_since_s", "_up")

    def __init__(self, *, n_slots: int) -> None:
        self._base = n_slots
        self._restart(n_slots)

    @property
    def n_slots(self) -> int:
        """Calls that may run at once."""
        return self._n if self._probe is None else self._probe_slots()

    def set_base(self, n_slots: int) -> None:
        """Begin anew where the catalogue says, if that has changed."""
        if n_slots != self._base:
            self._base = n_slots
            self._restart(n_slots)

    def record(self, sample: Sample) -> None:
        """Learn from one ended call that ran while all slots were taken."""
        if self._probe is not None:
            self._record_probe(self._probe, sample)
            return
        if not self._fits(sample, self._n):
            return
        self._kept.add(sample)
        if self._kept.n_samples >= N_SAMPLES * self._patience:
            self._begin_probe(sample.now_s)

    def _restart(self, n_slots: int) -> None:
        self._n = n_slots
        self._kept = SlotMeasurement()
        self._probe: SlotMeasurement | None = None
        self._probe_since_s = 0.0
        self._patience = 1
        self._up = True

    def _step(self) -> int:
        return max(1, self._n // 4)

    def _probe_slots(self) -> int:
        if self._up:
            return min(self._n + self._step(), MAX_FACTOR * self._base)
        return max(1, self._n - self._step())

    def _fits(self, sample: Sample, n_slots: int) -> bool:
        is_near = abs(sample.mean_running - n_slots) <= self._step() / 2
        return is_near and sample.predicted_s > 0.0 and sample.service_s > 0.0

    def _begin_probe(self, now_s: float) -> None:
        if self._probe_slots() == self._n:
            self._up = not self._up
            self._kept = SlotMeasurement()
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
        few, many = (self._kept, probe) if self._up else (probe, self._kept)
        n_few, n_many = sorted((self._n, tried))
        gain = (many.rate() / few.rate() - 1.0) / (n_many / n_few - 1.0)
        has_moved = gain >= UP_GAIN if self._up else gain < DOWN_GAIN
        if has_moved:
            self._n = tried
        self._end_probe(has_moved=has_moved)

    def _end_probe(self, *, has_moved: bool) -> None:
        self._probe = None
        self._kept = SlotMeasurement()
        if has_moved:
            self._patience = 1
            return
        self._up = not self._up
        self._patience = min(MAX_BACKOFF, 2 * self._patience)
