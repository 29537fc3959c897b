"""Estimates how long work waits for a slot."""

from collections.abc import Iterable


def wait_s(*, left_s: Iterable[float], n_slots: int, ahead_s: float) -> float:
    """Return the seconds until a slot is free and the work ahead is served.

    The work ahead is treated as divisible: it is spread over the slots as they
    become free, so that all of them finish it at the same time. That time is
    the wait.

    Parameters
    ----------
    left_s : iterable of float
        Remaining seconds of each running call.
    n_slots : int
        Number of slots of the target.
    ahead_s : float
        Target-seconds of queued work that starts first.
    """
    busy = sorted(left_s)
    n_free = max(0, n_slots - len(busy))
    # After the number of slots was lowered, more calls may run than there are slots.
    freed = [0.0] * n_free + busy[max(0, len(busy) - n_slots) :]
    level_s = freed[0]
    for n_open, next_s in enumerate([*freed[1:], float("inf")], start=1):
        capacity_s = (next_s - level_s) * n_open
        if capacity_s >= ahead_s:
            return level_s + ahead_s / n_open
        ahead_s -= capacity_s
        level_s = next_s
    return level_s
