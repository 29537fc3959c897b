"""Division of a service's slots among gateways that report uneven and changing demand.

The load is a service with eight slots at two workers.
"""

from collections.abc import Mapping
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from trefoilpaddle.state.chain.slot_ledger import (
    CONTENTION_HOLD_S,
    MAX_SLOTS_RATIO,
    MIN_SHED_FACTOR,
    RECOMPUTE_SHARE,
    SHED_PERIOD_S,
    THROUGHPUT_KEPT_S,
    THROUGHPUT_WINDOW_S,
    WARM_UP_S,
    AccountLoad,
    ServiceLoad,
    SlotLedger,
    SlotShare,
    capacity_of,
)
from trefoilpaddle.state.chain.worker_uses import WorkerUses

N_SLOTS = 8
N_WORKERS = 2
CAPACITY = capacity_of(N_SLOTS, N_WORKERS)
A, B = 1, 2


KEYS = {"a": A, "b": B}


def load(n_sheds: int = 0, **demand: float) -> ServiceLoad:
    """Return a report of accounts ``a`` and ``b`` that demand so many slots."""
    return load_of(demand, n_sheds=n_sheds)


def load_of(demand: Mapping[str, float], *, n_sheds: int = 0) -> ServiceLoad:
    """Return a report of the demand by the name of the account."""
    return ServiceLoad(
        accounts={
            KEYS[name]: AccountLoad(weight=1.0, n_offered=n_slots)
            for name, n_slots in demand.items()
        },
        n_slots=N_SLOTS,
        n_workers=N_WORKERS,
        n_sheds=n_sheds,
    )


def granted(ledger: SlotLedger, gateway_id: str, now_s: float) -> SlotShare:
    """Return what a gateway is granted."""
    share = ledger.grant(gateway_id, now_s)
    assert share is not None
    return share


class TestDemandThatRises:
    def test_no_gateway_is_granted_more_than_the_level(self) -> None:
        # Guards against a division of some milliseconds ago, in which an account's
        # demand at one gateway counts as many times its whole demand.
        ledger = SlotLedger(may_grow=False)
        ledger.record("g0", load(a=0.1, b=40.0), 0.0)
        ledger.record("g1", load(a=0.1, b=40.0), 0.0)
        now_s = WARM_UP_S
        ledger.record("g0", load(a=0.1, b=40.0), now_s)
        granted(ledger, "g0", now_s)
        ledger.record("g1", load(a=40.0, b=40.0), now_s + 0.001)
        share = granted(ledger, "g1", now_s + 0.001)
        assert share.by_account[A] <= share.level

    def test_it_counts_though_the_division_is_kept(self) -> None:
        # Guards against a division that is kept for ever.
        ledger = SlotLedger(may_grow=False)
        ledger.record("g0", load(a=1.0), 0.0)
        assert not ledger.is_contended(0.0)
        ledger.record("g0", load(a=40.0), 0.01)
        assert ledger.is_contended(0.01 + RECOMPUTE_SHARE * ledger.valid_s)


class TestSums:
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("g0", "g1", "g2")),
                st.dictionaries(
                    st.sampled_from(("a", "b")), st.floats(min_value=0, max_value=1e6)
                ),
            ),
            max_size=20,
        )
    )
    def test_they_are_those_of_the_last_reports(
        self, reports: list[tuple[str, dict[str, float]]]
    ) -> None:
        # Guards against demand of reports that were replaced or have ended.
        ledger = SlotLedger(may_grow=False)
        last: dict[str, dict[str, float]] = {}
        for gateway_id, demand in reports:
            if demand:
                ledger.record(gateway_id, load_of(demand), 0.0)
                last[gateway_id] = demand
            else:
                ledger.forget(gateway_id)
                last.pop(gateway_id, None)
        demanded = ledger.division(1e-3 + RECOMPUTE_SHARE * ledger.valid_s).demand
        named = {name for demand in last.values() for name in demand}
        assert demanded.keys() == {KEYS[name] for name in named}
        for name in named:
            total = sum(demand.get(name, 0.0) for demand in last.values())
            account = KEYS[name]
            assert demanded[account].n_slots == pytest.approx(total, abs=1e-3)


class TestWhoIsKnown:
    def test_nothing_is_granted_before_the_others_have_reported(self) -> None:
        # Guards against a new home that grants the capacity of all to the first.
        ledger = SlotLedger(may_grow=False)
        ledger.record("g0", load(a=40.0), 0.0)
        assert ledger.grant("g0", 0.0) is None
        ledger.record("g0", load(a=40.0), WARM_UP_S)
        assert ledger.grant("g0", WARM_UP_S) is not None

    def test_a_home_that_was_paused_begins_anew(self) -> None:
        # Guards against a home that wakes and grants all to the first that reports.
        ledger = SlotLedger(may_grow=False)
        contend(ledger, until_s=1.0)
        ledger.record("g0", load(a=40.0), 3.0)
        assert ledger.grant("g0", 3.0) is None

    def test_a_gateway_that_has_not_reported_is_granted_nothing(self) -> None:
        # Guards against a share of a gateway that has left.
        ledger = SlotLedger(may_grow=False)
        contend(ledger, until_s=1.0)
        ledger.forget("g1")
        assert ledger.grant("g1", 1.0) is None

    def test_the_share_of_one_that_leaves_is_free_at_once(self) -> None:
        # Guards against slots that stay idle after a planned stop.
        ledger = SlotLedger(may_grow=False)
        contend(ledger, until_s=1.0)
        before = granted(ledger, "g0", 1.0)
        ledger.forget("g1")
        assert granted(ledger, "g0", 1.0).n_slots == pytest.approx(2 * before.n_slots)

    def test_the_share_of_one_that_is_lost_is_free_after_its_report(self) -> None:
        # Guards against slots that stay idle after the loss of a gateway.
        ledger = SlotLedger(may_grow=False)
        contend(ledger, until_s=1.0)
        now_s = 1.0 + ledger.valid_s + 0.1
        ledger.record("g0", load(a=40.0, b=40.0), now_s - 0.2)
        ledger.record("g0", load(a=40.0, b=40.0), now_s)
        assert granted(ledger, "g0", now_s).n_slots == pytest.approx(CAPACITY)


class TestShares:
    def test_an_account_of_twice_the_weight_gets_twice_the_share(self) -> None:
        # Guards against priorities of accounts that have no effect.
        ledger = SlotLedger(may_grow=False)
        one = ServiceLoad(
            accounts={
                A: AccountLoad(weight=1.0, n_offered=40.0),
                B: AccountLoad(weight=0.5, n_offered=40.0),
            },
            n_slots=N_SLOTS,
            n_workers=N_WORKERS,
        )
        for now_s in (0.0, WARM_UP_S):
            ledger.record("g0", one, now_s)
        share = granted(ledger, "g0", WARM_UP_S)
        assert share.by_account[A] == pytest.approx(2 * share.by_account[B])
        assert sum(share.by_account.values()) == pytest.approx(CAPACITY)

    def test_an_account_below_the_level_may_use_up_to_it(self) -> None:
        # Guards against requests that queue for the share that their account has left.
        ledger = SlotLedger(may_grow=False)
        for now_s in (0.0, WARM_UP_S):
            ledger.record("g0", load(a=1.0, b=40.0), now_s)
        share = granted(ledger, "g0", WARM_UP_S)
        assert share.by_account[A] == share.level == pytest.approx(CAPACITY - 1.0)

    def test_what_all_gateways_may_use_is_the_capacity(self) -> None:
        # Guards against slots that are granted twice, or to nobody.
        ledger = SlotLedger(may_grow=False)
        demands = ({"a": 30.0, "b": 0.5}, {"a": 10.0, "b": 0.2}, {"b": 0.3})
        for now_s in (0.0, WARM_UP_S):
            for number, demand in enumerate(demands):
                ledger.record(f"g{number}", load_of(demand), now_s)
        shares = [granted(ledger, f"g{n}", WARM_UP_S) for n in range(len(demands))]
        assert sum(share.n_slots for share in shares) == pytest.approx(CAPACITY)

    def test_without_contention_what_is_spare_is_divided(self) -> None:
        # Guards against gateways that may each use all that is spare.
        ledger = SlotLedger(may_grow=False)
        for number in range(4):
            ledger.record(f"g{number}", load(a=1.0), 0.0)
        shares = [granted(ledger, f"g{n}", 0.0) for n in range(4)]
        assert not any(share.is_contended for share in shares)
        assert sum(share.n_slots for share in shares) == pytest.approx(CAPACITY)


class TestContention:
    def test_it_lasts_for_a_while(self) -> None:
        # Guards against shares that begin and end with each gap in a burst.
        ledger = SlotLedger(may_grow=False)
        contend(ledger, until_s=1.0)
        now_s = 1.1
        while now_s < 1.0 + CONTENTION_HOLD_S - 0.2:
            ledger.record("g0", load(a=0.1), now_s)
            assert granted(ledger, "g0", now_s).is_contended
            now_s += 0.1
        for _ in range(10):
            now_s += 0.1
            ledger.record("g0", load(a=0.1), now_s)
        assert not granted(ledger, "g0", now_s).is_contended


class TestCapacity:
    def test_the_newest_list_of_workers_counts(self) -> None:
        # Guards against a gateway that hears late of new workers and shrinks them.
        ledger = SlotLedger(may_grow=False)
        ledger.record("g0", load(a=1.0), 0.0)
        more = replace(load(a=1.0), n_slots=2 * N_SLOTS, n_workers=2 * N_WORKERS)
        ledger.record("g1", more, 0.0)
        assert ledger.division(0.0).capacity == capacity_of(2 * N_SLOTS, 2 * N_WORKERS)

    def test_it_shrinks_while_workers_shed_and_recovers(self) -> None:
        # Guards against workers that are overrun, and against slots that stay idle
        # once they shed no more.
        ledger = SlotLedger(may_grow=False)
        now_s = 0.0
        for _ in range(40):
            ledger.record("g0", load(a=40.0, n_sheds=5), now_s)
            now_s += SHED_PERIOD_S
        ledger.record("g0", load(a=40.0), now_s)
        shrunk = ledger.division(now_s).capacity
        assert shrunk == pytest.approx(MIN_SHED_FACTOR * CAPACITY, rel=0.2)
        for _ in range(40):
            now_s += SHED_PERIOD_S
            ledger.record("g0", load(a=40.0), now_s)
        assert ledger.division(now_s).capacity == CAPACITY

    @pytest.mark.parametrize(
        ("n_real", "bound_by"), [(8, "published"), (60, "measured")]
    )
    def test_the_capacity_grows_if_workers_answer_as_fast_as_before(
        self, n_real: int, bound_by: str
    ) -> None:
        # Guards against workers that idle, as they publish fewer slots than they have,
        # and against growth at workers that have no more.
        base_s, period_s = 0.2, 0.125
        ledger = SlotLedger(may_grow=True)
        now_s, n_running = 0.0, 0.0
        for _ in range(round(3.0 / period_s)):
            n_done = round(min(n_running, n_real) * period_s / base_s)
            report = replace(load(a=50.0), base_s=base_s, n_answered=n_done)
            ledger.record("g0", report, now_s)
            division = ledger.division(now_s)
            n_running = min(50.0, division.capacity)
            now_s += period_s
        assert division.bound_by == bound_by
        if n_real == N_SLOTS:
            assert division.capacity == CAPACITY
        else:
            assert division.capacity >= 50.0

    def test_measured_slots_count_less_once_workers_shed(self) -> None:
        # Guards against workers without the measured slots that stay overfilled.
        ledger = SlotLedger(may_grow=True)
        busy = replace(load(a=40.0), base_s=1.0, n_answered=40)
        ledger.record("g0", busy, 0.0)
        grown = ledger.division(0.0).capacity
        now_s = 0.0
        for n_sheds in (9, 9, 9, 9, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0):
            now_s += SHED_PERIOD_S
            ledger.record("g0", replace(busy, n_answered=0, n_sheds=n_sheds), now_s)
        assert CAPACITY < ledger.division(now_s).capacity < 0.3 * grown
        assert ledger.division(now_s).shed_factor == 1.0

    def test_measured_slots_are_bounded(self) -> None:
        # Guards against a gateway that reports answers that no worker has given.
        ledger = SlotLedger(may_grow=True)
        absurd = replace(load(a=1.0), base_s=3600.0, n_answered=10**6)
        for now_s in (0.0, 0.1):
            ledger.record("g0", absurd, now_s)
        capacity = ledger.division(0.1).capacity
        assert capacity == capacity_of(MAX_SLOTS_RATIO * N_SLOTS, N_WORKERS)

    def test_measured_slots_are_forgotten(self) -> None:
        # Guards against a peak that counts for ever.
        ledger = SlotLedger(may_grow=True)
        busy = replace(load(a=1.0), base_s=1.0, n_answered=40)
        ledger.record("g0", busy, 0.0)
        assert ledger.division(0.0).capacity > CAPACITY
        now_s = 0.0
        while now_s < THROUGHPUT_KEPT_S + 2 * THROUGHPUT_WINDOW_S:
            now_s += 0.1
            ledger.record("g0", replace(load(a=1.0), base_s=1.0), now_s)
        assert ledger.division(now_s).capacity == CAPACITY

    def test_the_slots_of_engines_are_not_measured(self) -> None:
        # Guards against an engine whose requests take longer the more it runs, which
        # would look like slots to spare.
        ledger = SlotLedger(may_grow=False)
        busy = replace(load(a=1.0), base_s=1.0, n_answered=40)
        ledger.record("g0", busy, 0.0)
        assert ledger.division(0.0).capacity == CAPACITY


class TestWorkerUses:
    def test_they_are_those_of_the_last_reports(self) -> None:
        # Guards against requests that have ended and still count at a worker.
        uses = WorkerUses()
        uses.record("g0", {("w0", 1): 2, ("w1", 1): 1}, until_s=1.0)
        uses.record("g1", {("w0", 1): 3}, until_s=2.0)
        uses.record("g0", {("w0", 1): 1}, until_s=1.5)
        assert uses.totals(0.0) == {("w0", 1): 4}
        assert uses.totals(1.5) == {("w0", 1): 3}
        uses.forget("g1")
        uses.forget("g2")
        assert uses.totals(1.5) == {}

    def test_a_worker_that_was_restarted_is_another(self) -> None:
        # Guards against a new process that seems to run what the former one had.
        uses = WorkerUses()
        uses.record("g0", {("w0", 1): 2}, until_s=1.0)
        uses.record("g1", {("w0", 2): 1}, until_s=1.0)
        assert uses.totals(0.0) == {("w0", 1): 2, ("w0", 2): 1}


def contend(ledger: SlotLedger, *, until_s: float) -> None:
    """Report demand of two gateways beyond the capacity, ten times a second."""
    for number in range(round(10 * until_s) + 1):
        for gateway_id in ("g0", "g1"):
            ledger.record(gateway_id, load(a=40.0, b=40.0), number / 10)
