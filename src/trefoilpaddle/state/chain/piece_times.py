"""How long calls of pieces take at one worker, learnt from those that it made."""

import math
from typing import Final

from .routes import PieceService

TIME_SMOOTHING: Final = 0.2
"""Weight of the newest call in the learnt times: five calls replace most of it."""

MAX_RATIO: Final = 8.0
"""Learnt slowness of a worker is cut here; beyond, it is as good as away."""

INITIAL_PACE_SHARE: Final = 0.65
"""Part of the pace with full calls that is believed until calls have shown it.

Calls are rarely full, and memory for results binds. With all of it a new scheduler
admits half as much again as can be done.
"""

MIN_PACE_PER_S: Final = 0.5
"""Slowest pace that is believed: one piece in two seconds, ten calls' time."""

MIN_CALL_S: Final = 1e-3
"""Shortest time that a call is taken to have, so that ratios stay finite."""

RATIO_HALF_LIFE_S: Final = 2.0
"""Time in which half of a worker's learnt slowness is forgotten while it idles.

A slow worker is given little, so calls do not tell that it has recovered.
"""


class PieceTimes:
    """How long calls take at one worker.

    The published times are approximate and one for all stages of a service.
    One ratio follows how much slower or faster than published the worker is.

    Parameters
    ----------
    service : PieceService
        What is published.

    Attributes
    ----------
    ratio : float
        Measured over published time.
    busy_per_s : float
        Pieces made a second while others waited, whatever it was that bound:
        the worker's speed, the size of its calls or its memory for results.
    """

    __slots__ = ("_ended_s", "_service", "busy_per_s", "ratio")

    def __init__(self, *, service: PieceService) -> None:
        self._service = service
        self._ended_s = 0.0
        self.ratio = 1.0
        full_per_s = service.batch / self.published_s(service.batch)
        self.busy_per_s = INITIAL_PACE_SHARE * full_per_s

    def published_s(self, n_pieces: int) -> float:
        """Return the published seconds of a call with `n_pieces`."""
        return self._service.call_s + n_pieces * self._service.piece_s

    def call_s(self, n_pieces: int) -> float:
        """Return the expected seconds of a call with `n_pieces`."""
        return self.published_s(n_pieces) * self.ratio

    def idle_ratio(self, now_s: float) -> float:
        """Return the ratio that is believed of a worker that idles now."""
        if self.ratio <= 1.0:
            return self.ratio
        idle_s = max(0.0, now_s - self._ended_s)
        return 1.0 + (self.ratio - 1.0) * math.exp2(-idle_s / RATIO_HALF_LIFE_S)

    def take_over(self, ratio: float, busy_per_s: float) -> None:
        """Go on from what another scheduler has learnt."""
        self.ratio = min(MAX_RATIO, max(0.0, ratio))
        self.busy_per_s = max(MIN_PACE_PER_S, busy_per_s)

    @property
    def ended_s(self) -> float:
        """When the last call ended; 0 without any."""
        return self._ended_s

    def learn(self, n_pieces: int, took_s: float, now_s: float) -> None:
        """Take one call into what is learnt.

        Parameters
        ----------
        n_pieces : int
            Pieces that it carried.
        took_s : float
            How long it took.
        now_s : float
            When it ended.
        """
        ratio = took_s / max(MIN_CALL_S, self.published_s(n_pieces))
        self.ratio += TIME_SMOOTHING * (min(MAX_RATIO, ratio) - self.ratio)
        self._ended_s = now_s

    def learn_busy(self, n_pieces: int, *, began_s: float, now_s: float) -> None:
        """Take the pace of a call that ends now and had others waiting behind.

        Parameters
        ----------
        n_pieces : int
            Pieces that it made.
        began_s : float
            When the worker could have begun it: when the last call ended, or when
            the first of its pieces came.
        now_s : float
            When it ended.
        """
        if self._ended_s:
            since_s = max(MIN_CALL_S, now_s - began_s)
            pace_per_s = n_pieces / since_s
            self.busy_per_s += TIME_SMOOTHING * (pace_per_s - self.busy_per_s)
