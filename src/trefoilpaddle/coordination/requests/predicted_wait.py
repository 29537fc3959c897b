"""Predicted queueing time of a call at a target, from its last load report."""

from ...protocol.gen.stage.ttypes import Load
from ...state.catalogue import Entry
from ...state.slowness import MAX_SLOWNESS
from .unreported_calls import UnreportedCalls


def predicted_wait_s(
    load: Load, own: UnreportedCalls, entry: Entry, *, age_s: float
) -> float:
    """Return the predicted queueing time of a call of `entry`, in seconds.

    The work in the report is reduced by what the target's slots can have completed
    since, and this gateway's calls that the report cannot include are added. A stale
    report therefore does not attract every call to the same idle target.

    Parameters
    ----------
    load : Load
        The last load report.
    own : UnreportedCalls
        Calls of this gateway that the report does not include.
    entry : Entry
        The entry that the call belongs to.
    age_s : float
        Seconds since the report arrived.
    """
    n_slots = max(1, load.n_slots)
    if load.n_queued == 0 and load.n_running + own.n_calls() < n_slots:
        return 0.0
    ahead_s = _ahead_s(load, own, entry)
    wait_s = (load.running_work_s + ahead_s) * slowness(load) / n_slots
    return max(0.0, wait_s - age_s)


def slowness(load: Load) -> float:
    """Return the factor, at least 1, by which the target is slower than predicted."""
    return min(MAX_SLOWNESS, max(1.0, load.slowness))


def _ahead_s(load: Load, own: UnreportedCalls, entry: Entry) -> float:
    """Return the queued work, in seconds, that would run before a call of `entry`.

    Where owners have shares, an owner waits for its own work, and for the work of
    others only as far as their shares are served meanwhile. Otherwise a burst of
    one owner would cause the requests of all others to be refused as late,
    although the target would serve them immediately.
    """
    queued_s = load.queued_work_s + own.total_s()
    if not load.owners:
        return queued_s
    own_s = own.of(entry.owner)
    others_weight = 0.0
    for other in load.owners:
        if other.owner == entry.owner:
            own_s += other.queued_work_s
        else:
            others_weight += other.weight
    share = entry.weight / (entry.weight + others_weight)
    share = max(entry.floor_share, share)
    others_s = max(0.0, queued_s - own_s)
    return own_s + min(others_s, own_s / share - own_s)
