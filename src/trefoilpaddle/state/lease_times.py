"""Durations of leases; the proof in docs/design/limits.md depends on their order."""

from typing import Final

LEASE_S: Final = 2.0
"""Time that a gateway uses a grant, counted from sending the lease request."""

MARGIN_S: Final = 0.2
"""Extra time that the home counts a grant: the clock rates of two hosts may
differ by 5%."""

MAX_REQUEST_AGE_S: Final = 0.5
"""A home drops a lease request that may have been in transit for longer."""

HOLD_S: Final = MAX_REQUEST_AGE_S + LEASE_S + MARGIN_S
"""Longest time after sending a lease request for which the home may rely on it."""


def slot_hold_s(deadline_s: float) -> float:
    """Return what ``HOLD_S`` is for units, for slots: their requests outlast the lease.

    A slot leased to another gateway is free again only when that gateway has
    been notified, or its lease has expired, and the request in it has ended.
    """
    return HOLD_S + LEASE_S + MARGIN_S + deadline_s
