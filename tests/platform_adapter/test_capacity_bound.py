"""What a deployment's stage workers allow at most."""

from typing import Any

import pytest
from capacity_bound import capacity, compute_bound, demand

STAGE = {"batch": 10, "call_ms": 200.0, "item_ms": 20.0, "room_mb": 1000.0}


def site(**stage: float) -> dict[str, Any]:
    """Return a site of 2 workers that make 50 pieces a second with full calls."""
    return {
        "name": "small",
        "length_s": 10.0,
        "services": [
            {"name": "s", "servers": [{"count": 2}], "stage": STAGE | stage},
            {"name": "plain", "servers": [{"count": 1}]},
        ],
        "classes": [
            {"name": "a", "worth": 4, "stages": [{"service": "s", "bytes": 1e6}]},
            {"name": "b", "worth": 1, "stages": [{"service": "s", "bytes": 1e6}]},
        ],
        "traffic": [{"per_s": 100.0, "mix": {"a": 1.0, "b": 3.0}}],
    }


class TestBound:
    def test_what_is_worth_most_is_served_first(self) -> None:
        # 25 and 75 a second are asked for, 50 can be made: all of the first and
        # a third of the second.
        found = compute_bound(site(), {"name": "day"})
        assert found.share == pytest.approx((25 * 4 + 25) / (25 * 4 + 75))
        assert found.binding == "s time 100%"

    def test_room_for_results_may_bind_instead(self) -> None:
        # A result takes 1 MB for two calls of 0.4 s; 16 MB at each of two workers
        # hold 40 results a second.
        found = compute_bound(site(room_mb=16.0), {"name": "day"})
        assert found.share == pytest.approx((25 * 4 + 15) / (25 * 4 + 75))
        assert found.binding == "s room 100%"


class TestDay:
    def test_a_burst_counts_where_it_overlaps(self) -> None:
        burst = {"kind": "burst", "class": "a", "x": 3.0, "at": 3.0, "for_s": 2.0}
        day = {"name": "day", "faults": [burst]}
        asked = [demand(site(), day, "a", from_s) for from_s in (0.0, 2.0, 4.0)]
        assert asked == [50.0, 100.0, 100.0]
        assert demand(site(), day, "b", 2.0) == 150.0

    def test_workers_that_crash_are_missing(self) -> None:
        crash = {"kind": "srv_crash", "service": "s", "share": 0.5, "at": 0.0}
        day = {"name": "day", "faults": [crash | {"for_s": 1.0}]}
        assert capacity(day, "s", 0.0) == 0.75
        assert capacity(day, "s", 2.0) == 1.0
