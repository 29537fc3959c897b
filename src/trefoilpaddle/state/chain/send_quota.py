"""How many requests one gateway may send to a worker that bears few of them."""

import math
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from ..rendezvous import highest

SHARED_PART: Final = 0.75
"""Part of a worker's rate that is divided among the gateways.

Halves of a fleet that a cut has divided may each choose other gateways to send.
Together they stay within one and a half times the rate.
"""

COLD_WINDOW_S: Final = 1.05
"""Length of the window in which requests to a cold worker are counted.

The rate is per second. The rest allows for requests that arrive closer together than
they were sent.
"""

STATED_WINDOW_S: Final = 4.2
"""Least length of the window for a limit that a worker has named.

Operators judge such a limit over 4 s. In a shorter window most gateways of a large
fleet could send nothing, as a worker in need takes about one request per second.
"""

MAX_WINDOW_S: Final = 20.0
"""Longest time for which requests are counted, and a bound on the memory for it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ColdStart:
    """What the workers of a service bear after their start.

    Parameters
    ----------
    rate_per_s : float
        Requests per second that a cold worker bears from all gateways together.
    duration_s : float
        Seconds for which a worker is cold after its start.
    """

    rate_per_s: float
    duration_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SendLimit:
    """How many requests all gateways together may send to a worker.

    Parameters
    ----------
    n_requests : int
        Requests within any window.
    window_s : float
        Length of the window in seconds.
    """

    n_requests: int
    window_s: float


def cold_limit(start: ColdStart) -> SendLimit:
    """Return the limit of a cold worker."""
    n_requests = max(1, int(SHARED_PART * start.rate_per_s))
    return SendLimit(n_requests=n_requests, window_s=COLD_WINDOW_S)


def stated_limit(rate_per_s: float) -> SendLimit:
    """Return the limit of a worker that takes so many requests per second.

    It allows one request at least. The window is longer than usual where that request
    would exceed the rate.
    """
    n_requests = max(1, math.ceil(SHARED_PART * rate_per_s * STATED_WINDOW_S))
    window_s = max(STATED_WINDOW_S, n_requests / rate_per_s)
    return SendLimit(n_requests=n_requests, window_s=min(MAX_WINDOW_S, window_s))


def quota(
    limit: SendLimit, worker_id: str, *, own_id: str, gateway_ids: Collection[str]
) -> int:
    """Return how many requests a gateway may send to a worker in a window.

    The quotas of all gateways add up to the limit. What cannot be divided evenly goes
    to some of them; all gateways that know the same others agree on which.

    Parameters
    ----------
    limit : SendLimit
        What the worker bears from all gateways.
    worker_id : str
        Id of the worker.
    own_id : str
        Id of the gateway.
    gateway_ids : collection of str
        Ids of all gateways that may send, the own one included.
    """
    each, n_rest = divmod(limit.n_requests, max(1, len(gateway_ids)))
    has_more = n_rest and own_id in highest(worker_id, gateway_ids, n=n_rest)
    return each + int(has_more)


class SentWindow:
    """The times of the requests that were sent to one worker lately."""

    __slots__ = ("_sent_s",)

    def __init__(self) -> None:
        self._sent_s: deque[float] = deque()

    def record(self, now_s: float) -> None:
        """Record that a request is sent now."""
        self._sent_s.append(now_s)
        while now_s - self._sent_s[0] >= MAX_WINDOW_S:
            self._sent_s.popleft()

    def free_in_s(self, n_allowed: int, window_s: float, now_s: float) -> float:
        """Return the seconds until the window has fewer than `n_allowed` requests.

        `n_allowed` is 1 or more.
        """
        if len(self._sent_s) < n_allowed:
            return 0.0
        return max(0.0, self._sent_s[-n_allowed] + window_s - now_s)
