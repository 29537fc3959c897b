"""Predicts the service time of a stage from the size of its work.

A recursive least-squares fit with a forgetting factor, combined with a tracked
quantile of the ratio of measured to fitted time. See Ljung, "System
Identification" (1999), section 11.2, for the recursion.
"""

from dataclasses import dataclass
from typing import Final

FORGETTING_FACTOR: Final = 0.995
INITIAL_VARIANCE: Final = 100.0
MAX_VARIANCE: Final = 1e4
MAX_KINDS: Final = 2000
MIN_SAMPLES: Final = 8
QUANTILE: Final = 0.9
QUANTILE_STEP: Final = 0.02
MIN_RATIO: Final = 0.25
MAX_RATIO: Final = 8.0
MIN_S: Final = 1e-4
BYTES_SCALE: Final = 1e-4
TOKENS_SCALE: Final = 1e-2


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkSize:
    """Size of a stage call, on which its service time depends.

    Parameters
    ----------
    n_bytes : int
        Size of the call's body.
    n_tokens : int
        Largest number of tokens that may be generated; 0 if none are.
    """

    n_bytes: int
    n_tokens: int = 0

    def features(self) -> tuple[float, float, float]:
        """Return the regressors: constant, scaled bytes, scaled tokens."""
        return 1.0, self.n_bytes * BYTES_SCALE, self.n_tokens * TOKENS_SCALE


class Estimate:
    """Running estimate of the service time of one kind of stage call."""

    __slots__ = ("_covariance", "_ratio", "_weights", "n_samples")

    def __init__(self) -> None:
        self._weights = (0.0, 0.0, 0.0)
        # Upper triangle of a symmetric matrix, row by row.
        variance = INITIAL_VARIANCE
        self._covariance = (variance, 0.0, 0.0, variance, 0.0, variance)
        self._ratio = 1.0
        self.n_samples = 0

    @property
    def is_warm(self) -> bool:
        """True once there are enough samples to refuse work by this estimate."""
        return self.n_samples >= MIN_SAMPLES

    def expected_s(self, size: WorkSize) -> float:
        """Return the fitted seconds of a call; 0 before the first sample."""
        if not self.n_samples:
            return 0.0
        base_s, byte_s, token_s = self._weights
        one, n_bytes, n_tokens = size.features()
        return max(MIN_S, base_s * one + byte_s * n_bytes + token_s * n_tokens)

    def input_size_s(self, size: WorkSize) -> float:
        """Return the part of the fitted seconds that is in proportion to the bytes."""
        return max(0.0, self._weights[1] * size.features()[1])

    def high_s(self, size: WorkSize) -> float:
        """Return the seconds below which ``QUANTILE`` of such calls stay."""
        return self.expected_s(size) * max(1.0, self._ratio)

    def learn(self, size: WorkSize, measured_s: float) -> None:
        """Update the fit and the quantile with one measured call."""
        if self.n_samples:
            self._learn_ratio(measured_s / self.expected_s(size))
        self._learn_weights(size.features(), measured_s)
        self.n_samples += 1

    def _learn_ratio(self, ratio: float) -> None:
        above = QUANTILE if ratio > self._ratio else QUANTILE - 1.0
        moved = self._ratio * (1.0 + QUANTILE_STEP * above)
        self._ratio = min(MAX_RATIO, max(MIN_RATIO, moved))

    def _learn_weights(
        self, features: tuple[float, float, float], measured_s: float
    ) -> None:
        """Do one step of the recursion, unrolled because it runs for every call."""
        x, y, z = features
        xx, xy, xz, yy, yz, zz = self._covariance
        gain_x = xx * x + xy * y + xz * z
        gain_y = xy * x + yy * y + yz * z
        gain_z = xz * x + yz * y + zz * z
        scale = FORGETTING_FACTOR + x * gain_x + y * gain_y + z * gain_z
        weight_x, weight_y, weight_z = self._weights
        error = measured_s - (weight_x * x + weight_y * y + weight_z * z)
        step = error / scale
        self._weights = (
            weight_x + gain_x * step,
            weight_y + gain_y * step,
            weight_z + gain_z * step,
        )
        covariance = (
            (xx - gain_x * gain_x / scale) / FORGETTING_FACTOR,
            (xy - gain_x * gain_y / scale) / FORGETTING_FACTOR,
            (xz - gain_x * gain_z / scale) / FORGETTING_FACTOR,
            (yy - gain_y * gain_y / scale) / FORGETTING_FACTOR,
            (yz - gain_y * gain_z / scale) / FORGETTING_FACTOR,
            (zz - gain_z * gain_z / scale) / FORGETTING_FACTOR,
        )
        # If the size of the work never varies, only one direction is excited.
        # Forgetting then increases the variance of the others without bound, and
        # the first different size would distort the fit. Halving all entries
        # keeps the matrix positive definite.
        if max(covariance[0], covariance[3], covariance[5]) > MAX_VARIANCE:
            xx, xy, xz, yy, yz, zz = covariance
            covariance = (xx / 2, xy / 2, xz / 2, yy / 2, yz / 2, zz / 2)
        self._covariance = covariance


class Estimates:
    """Estimates by kind of call, created on first use; the oldest are evicted first."""

    __slots__ = ("_by_kind",)

    def __init__(self) -> None:
        self._by_kind: dict[tuple[str, ...], Estimate] = {}

    def of(self, *kind: str) -> Estimate:
        """Return the estimate of the kind of call with this composite key."""
        estimate = self._by_kind.get(kind)
        if estimate is None:
            if len(self._by_kind) >= MAX_KINDS:
                del self._by_kind[next(iter(self._by_kind))]
            estimate = self._by_kind[kind] = Estimate()
        return estimate
