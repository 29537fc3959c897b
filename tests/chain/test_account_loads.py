"""Accounts that offer a stage service more than their shares of its pace."""

from trefoilpaddle.state.chain.account_loads import (
    IDLE_S,
    MAX_ACCOUNTS,
    AccountLoads,
    ExceededShare,
)

NOW_S = 1000.0
PACE_PER_S = 100.0
LARGE = 9
STEP_S = 0.1


def loads_of(
    per_s: dict[int, float],
    *,
    for_s: float = 3.0,
    weights: dict[int, float] | None = None,
    loads: AccountLoads | None = None,
    from_s: float = NOW_S,
) -> AccountLoads:
    """Return the loads after accounts have offered pieces at steady rates."""
    known = loads or AccountLoads()
    for step in range(round(for_s / STEP_S)):
        for account, rate in per_s.items():
            known.record_offered(
                account,
                (weights or {}).get(account, 1.0),
                {"s": round(rate * STEP_S)},
                from_s + step * STEP_S,
            )
    return known


def exceeded(
    loads: AccountLoads, account: int, now_s: float = NOW_S + 3.0
) -> ExceededShare | None:
    return loads.exceeded(account, "s", lambda: PACE_PER_S, now_s)


class TestBurst:
    def test_only_the_account_that_bursts_is_beyond_its_share(self) -> None:
        # Guards against a burst that uses up the shares of the accounts beside it.
        loads = loads_of({**dict.fromkeys(range(1, 8), 10.0), LARGE: 300.0})
        large = exceeded(loads, LARGE)
        assert large is not None
        assert large.service == "s"
        assert 25.0 < large.share_per_s < 40.0 < large.offered_per_s
        assert all(exceeded(loads, account) is None for account in range(1, 8))

    def test_it_is_beyond_its_share_soon_after_it_begins(self) -> None:
        # Guards against queues that a burst fills before it is noticed.
        loads = loads_of(dict.fromkeys((*range(1, 8), LARGE), 10.0))
        begins_s = NOW_S + 3.0
        burst = {**dict.fromkeys(range(1, 8), 10.0), LARGE: 300.0}
        loads_of(burst, for_s=0.8, loads=loads, from_s=begins_s)
        assert exceeded(loads, LARGE, begins_s + 0.8) is not None

    def test_it_is_within_its_share_soon_after_it_ends(self) -> None:
        # Guards against an account that stays limited after its burst.
        loads = loads_of({**dict.fromkeys(range(1, 8), 10.0), LARGE: 300.0})
        ended_s = NOW_S + 3.0
        loads_of(
            dict.fromkeys((*range(1, 8), LARGE), 10.0),
            for_s=2.5,
            loads=loads,
            from_s=ended_s,
        )
        assert exceeded(loads, LARGE, ended_s + 2.5) is None

    def test_a_few_chains_at_once_of_a_small_account_are_within_its_share(self) -> None:
        # Guards against refusals of a caller that sends five requests together.
        loads = loads_of({1: 10.0, 2: 10.0, LARGE: 300.0})
        loads.record_offered(1, 1.0, {"s": 60}, NOW_S + 3.0)
        assert exceeded(loads, 1, NOW_S + 3.0) is None


class TestWeights:
    def test_an_account_of_four_times_the_weight_has_four_times_the_share(self) -> None:
        # Guards against priorities of accounts that have no effect at stages.
        loads = loads_of({1: 200.0, 2: 200.0}, weights={1: 1.0, 2: 0.25})
        first, second = exceeded(loads, 1), exceeded(loads, 2)
        assert first is not None
        assert second is not None
        assert abs(first.share_per_s / second.share_per_s - 4.0) < 1e-6


class TestNothingIsLimited:
    def test_where_all_demand_fits(self) -> None:
        # Guards against limits without a shortage.
        loads = loads_of({1: 10.0, LARGE: 80.0})
        assert exceeded(loads, LARGE) is None

    def test_of_a_single_account(self) -> None:
        # Guards against other admission in deployments with one account.
        assert exceeded(loads_of({LARGE: 500.0}), LARGE) is None

    def test_of_accounts_that_are_not_stated(self) -> None:
        # Guards against limits on chains of gateways of an earlier build.
        loads = loads_of({0: 500.0, 1: 10.0})
        assert exceeded(loads, 0) is None
        assert exceeded(loads, 1) is None

    def test_of_even_accounts_that_together_offer_a_little_too_much(self) -> None:
        # Guards against shorter queues where there is no account to protect.
        loads = loads_of(dict.fromkeys(range(1, 5), 35.0))
        assert all(exceeded(loads, account) is None for account in range(1, 5))


class TestBounds:
    def test_idle_accounts_are_forgotten(self) -> None:
        # Guards against an account alone that counts as one of two for ever.
        loads = loads_of({1: 10.0})
        later_s = NOW_S + 3.0 + IDLE_S + 1.0
        loads_of({LARGE: 500.0}, loads=loads, from_s=later_s)
        assert exceeded(loads, LARGE, later_s + 3.0) is None

    def test_the_number_of_accounts_is_bounded(self) -> None:
        # Guards against memory that grows with what peers send.
        loads = AccountLoads()
        for account in range(1, 3 * MAX_ACCOUNTS):
            loads.record_offered(account, 1.0, {"s": 1}, NOW_S)
        assert len(loads._by_service["s"].accounts) == MAX_ACCOUNTS
