"""How long a worker may take to respond before it counts as failed."""

import time
from typing import Final

from .job import Job

EVENT_TIMEOUT_S: Final = 1.5
"""A stream without an event for this many seconds counts as failed.

Five times the longest pause for which an answer is still on time; callers
themselves abandon the stream after two seconds.
"""

FIRST_EVENT_TIMEOUT_S: Final = 3.0
"""A stream that has not begun after this many seconds counts as failed.

An engine that is only busy begins sooner: it reads all prompts that it can queue
in less time.
"""

RESPONSE_TIMEOUT_RATIO: Final = 2.5
"""Multiple of the target latency after which an idempotent request is retried."""


def response_timeout_s(job: Job, *, n_sent: int) -> float:
    """Return the seconds that the next worker may take before another is tried.

    Parameters
    ----------
    job : Job
        The request.
    n_sent : int
        Number of workers that the request was sent to before.
    """
    left_s = max(0.0, job.deadline_s - time.monotonic())
    is_last = n_sent + 1 >= job.route.max_attempts
    if not job.may_repeat or is_last:
        return left_s
    if job.route.is_stream:
        return min(left_s, FIRST_EVENT_TIMEOUT_S)
    return min(left_s, RESPONSE_TIMEOUT_RATIO * job.route.target_latency_s)


def event_timeout_s(job: Job, *, n_sent: int) -> float:
    """Return the longest pause between two events of a stream, in seconds.

    A stream that cannot be resumed at another worker may pause until its deadline:
    abandoning it loses it for certain, whereas an engine that has preempted it for
    lack of memory resumes it.

    Parameters
    ----------
    job : Job
        The request.
    n_sent : int
        Number of workers that the request was sent to, including this one.
    """
    left_s = max(0.0, job.deadline_s - time.monotonic())
    is_last = n_sent >= job.route.max_attempts
    if is_last or not job.route.is_resumable:
        return left_s
    return min(left_s, EVENT_TIMEOUT_S)
