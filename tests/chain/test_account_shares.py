"""Weighted max-min shares under bursts of a few accounts."""

import math
from collections.abc import Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from trefoilpaddle.state.chain.account_shares import AccountDemand, max_min_level

CAPACITY = 24.0


def demands_of(
    slots: Sequence[float], weights: Sequence[float] | None = None
) -> list[AccountDemand]:
    known = [1.0] * len(slots) if weights is None else weights
    return [
        AccountDemand(account=number, weight=weight, n_slots=n_slots)
        for number, (n_slots, weight) in enumerate(zip(slots, known, strict=True))
    ]


def granted(demands: Sequence[AccountDemand], level: float) -> list[float]:
    return [min(each.n_slots, level * each.weight) for each in demands]


class TestMaxMinLevel:
    def test_a_burst_leaves_the_others_all_they_ask_for(self) -> None:
        # Guards against one account's burst that shrinks the share of all others.
        demands = demands_of([2.4] * 7 + [72.0])
        shares = granted(demands, max_min_level(demands, CAPACITY))
        assert shares[:7] == [2.4] * 7
        assert shares[7] == pytest.approx(CAPACITY - 7 * 2.4)

    def test_all_fit(self) -> None:
        # Guards against limits without a shortage.
        assert max_min_level(demands_of([2.0] * 8), CAPACITY) == math.inf

    def test_an_account_of_twice_the_weight_gets_twice_the_share(self) -> None:
        # Guards against priorities of accounts that have no effect.
        demands = demands_of([100.0, 100.0], [2.0, 1.0])
        shares = granted(demands, max_min_level(demands, CAPACITY))
        assert shares == pytest.approx([16.0, 8.0])

    def test_no_demand_divides_nothing(self) -> None:
        # Guards against a division by the number of no accounts.
        assert max_min_level([], CAPACITY) == math.inf

    @given(
        st.lists(st.floats(min_value=0.0, max_value=1e4), min_size=1, max_size=40),
        st.floats(min_value=0.01, max_value=1e4),
    )
    def test_the_whole_capacity_is_used_and_no_more(
        self, slots: list[float], capacity: float
    ) -> None:
        # Guards against idle slots beside unmet demand, and against too many grants.
        demands = demands_of(slots)
        total = sum(granted(demands, max_min_level(demands, capacity)))
        assert total == pytest.approx(min(capacity, sum(slots)), rel=1e-6, abs=1e-6)
