"""How long a worker may keep a request waiting before it is taken as dead."""

import time
from typing import Final

from .job import Job

EVENT_TIMEOUT_S: Final = 1.5
"""A stream with no event for this long is taken as dead.

Five times the longest pause for which an answer is still on time; callers
themselves give up after two seconds.
"""

FIRST_EVENT_TIMEOUT_S: Final = 3.0
"""A stream that has not begun after this long is taken as dead.

An engine that is merely full begins sooner: what it can queue is read in less.
"""

RESPONSE_TIMEOUT_RATIO: Final = 2.5
"""Target latencies after which an idempotent call is tried at another worker."""


def response_timeout_s(job: Job, *, n_sent: int) -> float:
    """Return how long the next worker may take before another is tried.

    Parameters
    ----------
    job : Job
        The request.
    n_sent : int
        Workers it was sent to before.
    """
    left_s = max(0.0, job.deadline_s - time.monotonic())
    is_last = n_sent + 1 >= job.route.max_attempts
    if not job.may_repeat or is_last:
        return left_s
    if job.route.is_stream:
        return min(left_s, FIRST_EVENT_TIMEOUT_S)
    return min(left_s, RESPONSE_TIMEOUT_RATIO * job.route.target_latency_s)


def event_timeout_s(job: Job, *, n_sent: int) -> float:
    """Return how long a stream that has begun may pause.

    One that can go on nowhere else is waited for: broken off it is lost for
    sure, and an engine that put it back for want of memory goes on with it.

    Parameters
    ----------
    job : Job
        The request.
    n_sent : int
        Workers it was sent to, this one included.
    """
    left_s = max(0.0, job.deadline_s - time.monotonic())
    is_last = n_sent >= job.route.max_attempts
    if is_last or not job.route.is_resumable:
        return left_s
    return min(left_s, EVENT_TIMEOUT_S)
