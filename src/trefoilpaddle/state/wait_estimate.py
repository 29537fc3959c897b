"""How long work waits for a slot, from what runs and what goes before it."""

from collections.abc import Iterable


def wait_s(*, left_s: Iterable[float], n_slots: int, ahead_s: float) -> float:
    """Return the seconds until a slot is free and the work ahead is served.

    The work ahead is poured into the slots as they become free, as a fluid:
    the level that it reaches is the wait.

    Parameters
    ----------
    left_s : iterable of float
        Seconds that each running call still needs.
    n_slots : int
        Slots of the target.
    ahead_s : float
        Target-seconds of waiting work that goes first.
    """
    busy = sorted(left_s)
    n_free = max(0, n_slots - len(busy))
    # More may run than there are slots just after their number was lowered.
    freed = [0.0] * n_free + busy[max(0, len(busy) - n_slots) :]
    level_s = freed[0]
    for n_open, next_s in enumerate([*freed[1:], float("inf")], start=1):
        room_s = (next_s - level_s) * n_open
        if room_s >= ahead_s:
            return level_s + ahead_s / n_open
        ahead_s -= room_s
        level_s = next_s
    return level_s
