"""Limits that workers in need have named: requests per second from all gateways."""

import math
import random
from dataclasses import dataclass, replace
from typing import Final

from .workers import Worker

MIN_AGE_S: Final = 15.0
"""Least seconds after the last answer that named a limit until it is doubted.

A gateway without a quota gets no answers of the worker, so it does not see the end of
its need.
"""

AGE_REQUESTS: Final = 30.0
"""Requests that a limit allows from all gateways until it is doubted."""

AGE_SPREAD: Final = 2.0
"""Largest factor by which one gateway waits longer than another to doubt a limit.

Gateways that have heard of a limit together must not doubt it together.
"""

RETURN_DOUBLING_S: Final = 1.0
"""Seconds in which the rate doubles after a limit has ended.

Gateways that all use the worker again at once would press it as before its need.
"""

N_DOUBLINGS: Final = 5
"""Doublings after which a limit that has ended, or that is doubted, is forgotten."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StatedLimit:
    """The limit that one start of a worker has named.

    Parameters
    ----------
    worker : Worker
        The worker.
    rate_per_s : float
        Requests per second that it takes from all gateways together.
    heard_s : float
        Monotonic time of the last answer that named the limit.
    age_s : float
        Seconds after which the limit is doubted, and in which the rate then doubles.
    ended_s : float or None
        Monotonic time of the answer that named none any more; None before it.
    told_s : float
        Monotonic time of the last answer that other gateways know of.
    """

    worker: Worker
    rate_per_s: float
    heard_s: float
    age_s: float
    ended_s: float | None = None
    told_s: float = -math.inf

    @property
    def last_s(self) -> float:
        """Monotonic time of the last answer that counts."""
        return self.heard_s if self.ended_s is None else self.ended_s

    def n_doublings(self, now_s: float) -> int:
        """Return how often the rate has doubled, as the limit may not hold any more."""
        if self.ended_s is not None:
            return 1 + int((now_s - self.ended_s) / RETURN_DOUBLING_S)
        return int((now_s - self.heard_s) / self.age_s)

    def rate_now_per_s(self, now_s: float) -> float | None:
        """Return the requests per second that are allowed now; None for any number."""
        n_doublings = self.n_doublings(now_s)
        if n_doublings > N_DOUBLINGS:
            return None
        return float(self.rate_per_s * 2**n_doublings)


class StatedLimits:
    """The limits that workers have named, by worker.

    They are kept while a worker's entry in the store is away, which may come back.
    """

    __slots__ = ("_by_id",)

    def __init__(self) -> None:
        self._by_id: dict[str, StatedLimit] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, worker: Worker) -> StatedLimit | None:
        """Return the limit of this start of a worker; None if it has named none."""
        known = self._by_id.get(worker.worker_id)
        if known is None or not known.worker.is_same_start(worker):
            return None
        return known

    def rate_per_s(self, worker: Worker, now_s: float) -> float | None:
        """Return the requests per second that a worker takes; None for any number.

        After the end of its limit the rate rises step by step.
        """
        known = self.get(worker)
        return None if known is None else known.rate_now_per_s(now_s)

    def in_force(self, now_s: float) -> list[StatedLimit]:
        """Return the limits that have not ended and are not doubted."""
        return [one for one in self._by_id.values() if not one.n_doublings(now_s)]

    def name(self, worker: Worker, rate_per_s: float, heard_s: float) -> bool:
        """Record that a worker named a limit; return True if that is a change.

        Nothing is recorded if a later answer is known, from which another gateway has
        heard otherwise.
        """
        known = self.get(worker)
        if known is not None and heard_s <= known.last_s:
            return False
        self._forget_ended(heard_s)
        least_s = max(MIN_AGE_S, AGE_REQUESTS / rate_per_s)
        self._by_id[worker.worker_id] = StatedLimit(
            worker=worker,
            rate_per_s=rate_per_s,
            heard_s=heard_s,
            age_s=random.uniform(1.0, AGE_SPREAD) * least_s,
            told_s=-math.inf if known is None else known.told_s,
        )
        return (
            known is None
            or known.rate_per_s != rate_per_s
            or known.n_doublings(heard_s) > 0
        )

    def end(self, worker: Worker, heard_s: float) -> StatedLimit | None:
        """Record that a worker names no limit any more.

        Returns the limit that has ended; None if there is none, or a later answer of
        the worker is known.
        """
        known = self.get(worker)
        if known is None or known.ended_s is not None or heard_s <= known.heard_s:
            return None
        ended = replace(known, ended_s=heard_s)
        self._by_id[worker.worker_id] = ended
        return ended

    def mark_told(self, limit: StatedLimit) -> None:
        """Record that other gateways know of the last answer on a limit."""
        told = replace(limit, told_s=limit.last_s)
        self._by_id[limit.worker.worker_id] = told

    def _forget_ended(self, now_s: float) -> None:
        """Forget limits that bound nothing any more, so that few are kept."""
        self._by_id = {
            worker_id: one
            for worker_id, one in self._by_id.items()
            if one.rate_now_per_s(now_s) is not None
        }
