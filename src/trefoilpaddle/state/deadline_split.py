"""How the time left is split over the stages that are still to run."""

from collections.abc import Sequence
from typing import Final

MIN_SHARE: Final = 0.05
"""Least part of the time left that a stage gets where all stages fit into it."""


def stage_budget_s(
    *, left_s: float, predicted_s: Sequence[float], is_split: bool
) -> float:
    """Return the time that the first of the remaining stages may take.

    Slack is shared in proportion to what the stages are predicted to take, so
    that a slow early stage cannot use up what the later ones need.

    Parameters
    ----------
    left_s : float
        Seconds until the request's deadline.
    predicted_s : sequence of float
        Predicted seconds of each remaining stage, this one first.
    is_split : bool
        False gives the first stage all the time left; the baseline.
    """
    total_s = sum(predicted_s)
    if not is_split or len(predicted_s) == 1 or total_s <= 0.0 or left_s <= 0.0:
        return left_s
    if left_s <= total_s:
        return left_s * predicted_s[0] / total_s
    later_s = total_s - predicted_s[0]
    # All slack may be used here as long as the later stages keep theirs.
    return max(left_s * MIN_SHARE, left_s - later_s)
