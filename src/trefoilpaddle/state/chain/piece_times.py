"""Duration of calls at one worker, learnt from the calls that it completed."""

import math
from typing import Final

from .routes import PieceService

TIME_SMOOTHING: Final = 0.2
"""Weight of the newest call in the learnt times; five calls replace most of them."""

MAX_RATIO: Final = 8.0
"""Largest learnt slowness; a slower worker is as good as unavailable."""

INITIAL_PACE_SHARE: Final = 0.65
"""Part of the pace with full calls that is assumed before any call was measured.

Calls are rarely full, and memory for results limits the pace. If the full pace were
assumed, a new scheduler would admit half as much again as can be done.
"""

MIN_PACE_PER_S: Final = 0.5
"""Slowest pace that is taken over: one piece in two seconds, the time of ten calls."""

MIN_CALL_S: Final = 1e-3
"""Shortest duration that is assumed for a call, so that ratios stay finite."""

RATIO_HALF_LIFE_S: Final = 2.0
"""Half-life of a worker's learnt slowness while the worker is idle.

A slow worker receives few calls, so calls would not show that it has recovered.
"""


class PieceTimes:
    """Learnt duration of calls at one worker.

    The published times are approximate and the same for all stages of a service. A
    single ratio tracks how much slower or faster than published the worker is.

    Parameters
    ----------
    service : PieceService
        Service of the worker, with the published times.

    Attributes
    ----------
    ratio : float
        Measured time divided by published time.
    busy_per_s : float
        Pieces completed per second while others waited, whatever the bottleneck: the
        speed of the worker, the size of its calls or its memory for results.
    """

    __slots__ = ("_ended_s", "_service", "busy_per_s", "ratio")

    def __init__(self, *, service: PieceService) -> None:
        self._service = service
        self._ended_s = 0.0
        self.ratio = 1.0
        full_per_s = service.batch / self.published_s(service.batch)
        self.busy_per_s = INITIAL_PACE_SHARE * full_per_s

    def published_s(self, n_pieces: int) -> float:
        """Return the published duration in seconds of a call with `n_pieces`."""
        return self._service.call_s + n_pieces * self._service.piece_s

    def call_s(self, n_pieces: int) -> float:
        """Return the expected duration in seconds of a call with `n_pieces`."""
        return self.published_s(n_pieces) * self.ratio

    @property
    def full_per_s(self) -> float:
        """Pieces per second in full calls at the learnt speed of the worker."""
        batch = self._service.batch
        n_at_once = max(1, self._service.n_slots)
        return n_at_once * batch / max(MIN_CALL_S, self.call_s(batch))

    def idle_ratio(self, now_s: float) -> float:
        """Return the ratio that is assumed if the worker has been idle until now."""
        if self.ratio <= 1.0:
            return self.ratio
        idle_s = max(0.0, now_s - self._ended_s)
        return 1.0 + (self.ratio - 1.0) * math.exp2(-idle_s / RATIO_HALF_LIFE_S)

    def take_over(self, ratio: float, busy_per_s: float) -> None:
        """Take over what another scheduler has learnt, within bounds."""
        self.ratio = min(MAX_RATIO, max(0.0, ratio))
        self.busy_per_s = max(MIN_PACE_PER_S, busy_per_s)

    @property
    def ended_s(self) -> float:
        """Monotonic time at which the last call ended; 0 if there was none."""
        return self._ended_s

    def learn(self, n_pieces: int, took_s: float, now_s: float) -> None:
        """Learn from the duration of a call.

        Parameters
        ----------
        n_pieces : int
            Pieces of the call that have a result.
        took_s : float
            Duration of the call in seconds.
        now_s : float
            Monotonic time at which the call ended.
        """
        ratio = took_s / max(MIN_CALL_S, self.published_s(n_pieces))
        self.ratio += TIME_SMOOTHING * (min(MAX_RATIO, ratio) - self.ratio)
        self._ended_s = now_s

    def learn_busy(self, n_pieces: int, *, began_s: float, now_s: float) -> None:
        """Learn the pace from a call that ends now, while more pieces were waiting.

        Parameters
        ----------
        n_pieces : int
            Pieces of the call that have a result.
        began_s : float
            Monotonic time at which the worker could have begun the call: the end of
            the last call, or the arrival of its first piece.
        now_s : float
            Monotonic time at which the call ended.
        """
        if self._ended_s:
            since_s = max(MIN_CALL_S, now_s - began_s)
            pace_per_s = n_pieces / since_s
            self.busy_per_s += TIME_SMOOTHING * (pace_per_s - self.busy_per_s)
