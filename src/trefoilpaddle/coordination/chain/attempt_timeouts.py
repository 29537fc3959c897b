"""How long a worker may be silent before another attempt is prepared."""

from typing import Final

from .job import Job
from .silence_watch import NEVER_S

EVENT_TIMEOUT_S: Final = 1.5
"""Seconds without an event after which another worker is looked for.

Five times the longest pause for which an answer is still on time; callers
themselves abandon the stream after two seconds.
"""

FIRST_EVENT_TIMEOUT_S: Final = 3.0
"""Seconds without a first event after which another worker is looked for.

An engine that is only busy begins sooner: it reads all prompts that it can queue
in less time.
"""

RESPONSE_TIMEOUT_RATIO: Final = 2.5
"""Multiple of the target latency after which another worker is looked for."""


def response_timeout_s(job: Job, *, n_sent: int) -> float:
    """Return after how many silent seconds of the next worker another is looked for.

    Infinite if the request may be sent to no other one.

    Parameters
    ----------
    job : Job
        The request.
    n_sent : int
        Number of workers that the request was sent to before.
    """
    is_last = n_sent + 1 >= job.route.max_attempts
    if not job.may_repeat or is_last:
        return NEVER_S
    if job.route.is_stream:
        return FIRST_EVENT_TIMEOUT_S
    return RESPONSE_TIMEOUT_RATIO * job.route.target_latency_s


def event_timeout_s(job: Job, *, n_sent: int) -> float:
    """Return after which pause between two events another worker is looked for.

    Infinite for a stream that cannot be resumed at another one: an engine that has
    preempted it for lack of memory resumes it.

    Parameters
    ----------
    job : Job
        The request.
    n_sent : int
        Number of workers that the request was sent to, including this one.
    """
    is_last = n_sent >= job.route.max_attempts
    if is_last or not job.route.is_resumable:
        return NEVER_S
    return EVENT_TIMEOUT_S
