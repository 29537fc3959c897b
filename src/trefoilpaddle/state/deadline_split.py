"""Splits the remaining time of a request over its remaining stages."""

from collections.abc import Sequence
from typing import Final

MIN_SHARE: Final = 0.05
"""Least part of the remaining time that a stage gets if all stages fit into it."""


def stage_budget_s(
    *, left_s: float, predicted_s: Sequence[float], is_split: bool
) -> float:
    """Return the seconds that the first of the remaining stages may take.

    If the stages fit into the remaining time, the first one may use all slack:
    only the predicted time of the later stages is reserved. If they do not fit,
    the remaining time is split in proportion to the predictions, so that a slow
    early stage cannot use up the time of the later ones.

    Parameters
    ----------
    left_s : float
        Seconds until the request's deadline.
    predicted_s : sequence of float
        Predicted seconds of each remaining stage, this one first.
    is_split : bool
        If False, the first stage gets all remaining time; the baseline policy.
    """
    total_s = sum(predicted_s)
    if not is_split or len(predicted_s) == 1 or total_s <= 0.0 or left_s <= 0.0:
        return left_s
    if left_s <= total_s:
        return left_s * predicted_s[0] / total_s
    later_s = total_s - predicted_s[0]
    # The first stage may use all slack that is not reserved for later stages.
    return max(left_s * MIN_SHARE, left_s - later_s)
