"""Division of a service's slots among gateways that report uneven and changing demand.

The load is a service with eight slots at two workers.
"""

from trefoilpaddle.state.chain.slot_ledger import (
    WARM_UP_S,
    AccountLoad,
    ServiceLoad,
    SlotLedger,
    SlotShare,
    capacity_of,
)

N_SLOTS = 8
N_WORKERS = 2
CAPACITY = capacity_of(N_SLOTS, N_WORKERS)
A, B = 1, 2


def load(*, weight: float = 1.0, n_sheds: int = 0, **demand: float) -> ServiceLoad:
    """Return a report of accounts ``a`` and ``b`` that demand so many slots."""
    keys = {"a": A, "b": B}
    return ServiceLoad(
        accounts={
            keys[name]: AccountLoad(weight=weight, n_offered=n_slots)
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
