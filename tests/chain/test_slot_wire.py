"""Bounds of what gateways tell one another about slots, against absurd figures."""

import pytest

from trefoilpaddle.coordination.chain.slot_wire import (
    MAX_ACCOUNTS,
    MAX_GATEWAYS,
    MAX_HELD_S,
    MAX_SLOTS,
    MAX_WEIGHT,
    MAX_WORKERS,
    MIN_WEIGHT,
    OTHER_ACCOUNTS,
    grant_to_wire,
    load_from_wire,
    load_to_wire,
    share_from_wire,
    uses_from_wire,
    uses_to_wire,
)
from trefoilpaddle.protocol.frames import Message, decode, encode
from trefoilpaddle.protocol.gen.chain.ttypes import (
    AccountDemand,
    AccountShare,
    SlotGrant,
    SlotReport,
    WorkerUse,
)
from trefoilpaddle.state.chain.account_shares import MAX_WEIGHT_STEPS, account_weight
from trefoilpaddle.state.chain.slot_ledger import (
    WARM_UP_S,
    AccountLoad,
    ServiceLoad,
    SlotLedger,
    SlotShare,
)

MAX_I32 = 2**31 - 1
MIN_I32 = -(2**31)
LENGTH_BYTES = 4


def sent(message: Message) -> Message:
    """Return a message as the peer reads it."""
    return decode(encode(message)[LENGTH_BYTES:]).unwrap().message


def load(
    *accounts: AccountLoad,
    n_slots: float = 8.0,
    base_s: float = 0.2,
    n_answered: int = 0,
) -> ServiceLoad:
    return ServiceLoad(
        accounts=dict(enumerate(accounts)),
        n_slots=n_slots,
        n_workers=2,
        base_s=base_s,
        n_answered=n_answered,
    )


def report_of(one: ServiceLoad) -> SlotReport:
    report = sent(load_to_wire("s", one, may_grow=True, uses={("w", 5): 2}))
    assert isinstance(report, SlotReport)
    return report


class TestReport:
    def test_it_is_read_as_it_was_written(self) -> None:
        # Guards against figures that change between two gateways.
        one = load(
            AccountLoad(weight=0.5, n_offered=1.25, n_running=2, n_waiting=3),
            n_answered=7,
        )
        report = report_of(one)
        assert load_from_wire(report) == one
        assert uses_from_wire(report) == {("w", 5): 2}

    @pytest.mark.parametrize("steps", range(MAX_WEIGHT_STEPS + 1))
    def test_each_step_of_priority_keeps_its_weight(self, steps: int) -> None:
        # Guards against the least urgent accounts that get half of their share, as
        # their weight is cut to whole thousandths.
        weight = account_weight(steps)
        read = load_from_wire(report_of(load(AccountLoad(weight=weight, n_offered=1))))
        assert read.accounts[0].weight == pytest.approx(weight, rel=0.05)

    def test_figures_that_do_not_fit_are_bounded_by_the_sender(self) -> None:
        # Guards against a report that cannot be encoded, so that no grant ever comes.
        huge = AccountLoad(weight=1e9, n_offered=1e12, n_running=2**40, n_waiting=2**40)
        one = load(huge, n_slots=1e15, base_s=1e9, n_answered=2**40)
        read = load_from_wire(report_of(one))
        assert read.n_slots == MAX_SLOTS
        assert read.accounts[0].n_running == MAX_SLOTS
        assert read.base_s == MAX_HELD_S

    def test_many_accounts_share_one_entry(self) -> None:
        # Guards against reports that grow with the accounts of a gateway.
        loads = [AccountLoad(weight=1.0, n_offered=n / 8) for n in range(1, 301)]
        read = load_from_wire(report_of(load(*loads)))
        assert len(read.accounts) == MAX_ACCOUNTS
        assert sum(one.n_offered for one in read.accounts.values()) == pytest.approx(
            sum(one.n_offered for one in loads)
        )
        assert read.accounts[OTHER_ACCOUNTS].weight == 300 - MAX_ACCOUNTS + 1

    @pytest.mark.parametrize("value", [MIN_I32, -1, MAX_I32])
    def test_absurd_figures_of_a_peer_are_bounded(self, value: int) -> None:
        # Guards against a peer whose figures take all slots, or give negative ones.
        report = SlotReport(
            service_name="s",
            accounts=[
                AccountDemand(
                    account=n,
                    weight_milli=value,
                    offered_milli=value,
                    n_running=value,
                    n_waiting=value,
                )
                for n in range(3 * MAX_ACCOUNTS)
            ],
            n_slots=value,
            n_workers=value,
            base_ms=value,
            n_answered=value,
            n_sheds=value,
            workers=[
                WorkerUse(worker_id=f"w{n}", n_running=value) for n in range(3000)
            ],
        )
        read = load_from_wire(report)
        assert len(read.accounts) == MAX_ACCOUNTS
        for one in read.accounts.values():
            assert MIN_WEIGHT <= one.weight <= MAX_WEIGHT
            assert 0 <= one.demand <= 2 * MAX_SLOTS
        assert 0 <= read.n_slots <= MAX_SLOTS
        assert 0 <= read.n_workers <= MAX_SLOTS
        assert 0 <= read.base_s <= MAX_HELD_S
        assert 0 <= read.n_answered <= MAX_SLOTS
        assert 0 <= read.n_sheds <= MAX_SLOTS
        uses = uses_from_wire(report)
        assert len(uses) == MAX_WORKERS
        assert all(0 <= n_running <= MAX_SLOTS for n_running in uses.values())

    @pytest.mark.parametrize("value", [MIN_I32, -1, 0, MAX_I32])
    def test_what_a_home_grants_by_absurd_reports_can_be_sent(self, value: int) -> None:
        # Guards against grants that cannot be encoded, or are no numbers.
        report = SlotReport(
            accounts=[
                AccountDemand(account=1, weight_milli=value, offered_milli=value)
            ],
            n_slots=value,
            n_workers=value,
            base_ms=value,
            n_answered=value,
        )
        ledger = SlotLedger(may_grow=True)
        for now_s in (0.0, WARM_UP_S):
            ledger.record("g", load_from_wire(report), now_s)
            ledger.record("h", load_from_wire(report), now_s)
        share = ledger.grant("g", WARM_UP_S)
        assert share is not None
        read = share_from_wire(sent(grant_to_wire("s", share, [])))
        assert read is not None
        assert 0 <= read.n_slots <= MAX_SLOTS


class TestGrant:
    def test_it_is_read_as_it_was_written(self) -> None:
        # Guards against shares that change between two gateways.
        share = SlotShare(
            is_contended=True,
            n_slots=3.5,
            level=2.25,
            n_gateways=4,
            by_account={-1: 1.5},
        )
        grant = sent(grant_to_wire("s", share, uses_to_wire({("w", 5): 2})))
        assert share_from_wire(grant) == share
        assert uses_from_wire(grant) == {("w", 5): 2}

    def test_a_home_that_does_not_know_the_others_grants_nothing(self) -> None:
        # Guards against an empty answer that is taken for a grant of nothing.
        assert share_from_wire(sent(grant_to_wire("s", None, []))) is None

    @pytest.mark.parametrize("value", [MIN_I32, -1, MAX_I32])
    def test_absurd_figures_of_a_peer_are_bounded(self, value: int) -> None:
        # Guards against a home that lets accounts use any number of slots, or none.
        grant = SlotGrant(
            is_known=True,
            is_contended=True,
            total_milli=value,
            level_milli=value,
            n_gateways=value,
            shares=[AccountShare(account=n, share_milli=value) for n in range(1000)],
        )
        share = share_from_wire(grant)
        assert share is not None
        assert len(share.by_account) == MAX_ACCOUNTS
        assert 0 <= share.n_slots <= MAX_SLOTS
        assert 0 <= share.level <= MAX_SLOTS
        assert 1 <= share.n_gateways <= MAX_GATEWAYS
        assert all(0 <= each <= MAX_SLOTS for each in share.by_account.values())
