"""Times of leases; the proof in docs/design/limits.md rests on their order."""

from typing import Final

LEASE_S: Final = 2.0
"""How long a gateway uses what an ask brought, from the sending of that ask."""

MARGIN_S: Final = 0.2
"""How much longer a home counts it: clocks of two hosts may run apart by 5%."""

MAX_REQUEST_AGE_S: Final = 0.5
"""A home drops an ask that may have been under way for longer."""

HOLD_S: Final = MAX_REQUEST_AGE_S + LEASE_S + MARGIN_S
"""After an ask is sent, the home may count on it for this long."""


def slot_hold_s(deadline_s: float) -> float:
    """Return the same for concurrency, where requests outlast the lease.

    A place lent to another gateway is free again only when that gateway has
    heard so, or lost its lease, and the request on it has ended.
    """
    return HOLD_S + LEASE_S + MARGIN_S + deadline_s
