"""Weighted max-min shares of a capacity among client accounts.

Answers a burst of a few accounts: what they send beyond their shares must not delay
the others, and what the others leave must not stay idle.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from ...protocol.checksum import checksum

MAX_WEIGHT_STEPS: Final = 9
"""Largest published priority of an account that lowers its weight."""


def account_key(name: str) -> int:
    """Return the key of an account in messages between gateways."""
    return checksum(name.encode())


def account_weight(priority: int | None) -> float:
    """Return the weight of an account by its published priority.

    One step more urgent is twice the weight. A strict order would starve the less
    urgent accounts as soon as a more urgent one sends more than the workers can do.

    Parameters
    ----------
    priority : int or None
        0 is the most urgent; None if none is published, which counts as 0.
    """
    return 0.5 ** min(MAX_WEIGHT_STEPS, max(0, priority or 0))


@dataclass(frozen=True, slots=True, kw_only=True)
class AccountDemand:
    """What the requests of one account would use if nothing limited them.

    Parameters
    ----------
    account : int
        Key of the account; see `account_key`.
    weight : float
        Its weight, above 0. An account of twice the weight has twice the share.
    n_slots : float
        Slots that it would use on average.
    """

    account: int
    weight: float
    n_slots: float


def max_min_level(demands: Sequence[AccountDemand], capacity: float) -> float:
    """Return the slots per weight that an account may use; infinite if all fit.

    Accounts below the level get all they demand; the others get the level times their
    weight, and together these take what is left.

    Parameters
    ----------
    demands : sequence of AccountDemand
        The demand of each account.
    capacity : float
        Slots to divide.
    """
    left = capacity
    weight_left = sum(demand.weight for demand in demands)
    for demand in sorted(demands, key=lambda each: each.n_slots / each.weight):
        level = max(0.0, left) / weight_left
        if demand.n_slots / demand.weight > level:
            return level
        left -= demand.n_slots
        weight_left -= demand.weight
        if weight_left <= 0.0:
            break
    return math.inf
