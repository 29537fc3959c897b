"""Which requests of a gateway start, wait or are refused while accounts compete.

The load is a service whose requests take 0.2 s, if a test names no other time.
"""

import pytest

from trefoilpaddle.state.chain.admission_line import (
    AdmissionLine,
    Starts,
    Ticket,
    Waits,
)
from trefoilpaddle.state.chain.slot_ledger import SlotShare

HELD_S = 0.2
A, B = 1, 2


def ticket(
    account: int = A,
    *,
    due_s: float = 100.0,
    priority: int = 0,
    weight: float = 1.0,
    route: str = "r",
) -> Ticket:
    return Ticket(
        account=account, weight=weight, priority=priority, due_s=due_s, route=route
    )


def contended(n_slots: float, **by_account: float) -> SlotShare:
    """Return what a gateway may use of a service that is short of slots."""
    keys = {"a": A, "b": B}
    return SlotShare(
        is_contended=True,
        n_slots=n_slots,
        level=n_slots,
        by_account={keys[name]: value for name, value in by_account.items()},
    )


def serve(
    line: AdmissionLine,
    now_s: float,
    *,
    account: int = A,
    held_s: float = HELD_S,
    route: str = "r",
) -> None:
    """Serve one request completely."""
    served = ticket(account, route=route)
    assert line.arrive(served, now_s) == Starts()
    line.end(served, now_s + held_s, has_run=True)


class TestRoutesOfDifferentDuration:
    def test_a_short_request_is_not_taken_for_a_long_one(self) -> None:
        # Guards against requests that take 0.1 s and are refused as late, as others of
        # their service take ten seconds.
        line = AdmissionLine(now_s=0.0)
        for number in range(20):
            serve(line, float(number), route="long", held_s=10.0)
            serve(line, float(number), route="short", held_s=0.1)
        line.free_limit = 1.0
        assert line.arrive(ticket(route="long"), 50.0) == Starts()
        verdict = line.arrive(ticket(route="short", due_s=51.0), 50.0)
        assert verdict == Waits()

    def test_an_account_of_short_requests_does_not_demand_long_ones(self) -> None:
        # Guards against contention that is declared for work that nobody sends.
        line = AdmissionLine(now_s=0.0)
        for number in range(100):
            serve(line, 0.1 * number, account=A, held_s=0.04)
            if number % 10 == 0:
                serve(line, 0.1 * number, account=B, held_s=4.0, route="long")
        assert line.loads(10.0)[A].n_offered == pytest.approx(10 * 0.04, rel=0.3)
