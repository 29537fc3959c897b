"""Conversion of slot reports and grants to and from messages between gateways."""

from collections.abc import Mapping
from typing import Final

from ...protocol.const import MS_PER_S
from ...protocol.gen.chain.ttypes import (
    AccountDemand,
    AccountShare,
    SlotGrant,
    SlotReport,
    WorkerUse,
)
from ...state.chain.slot_ledger import AccountLoad, ServiceLoad, SlotShare
from ...state.chain.worker_uses import WorkerStart

MILLI: Final = 1000.0

MAX_ACCOUNTS: Final = 128
"""Accounts in one report; those with the least demand share one entry."""

OTHER_ACCOUNTS: Final = 0
"""Key of the accounts that share one entry."""

MAX_WORKERS: Final = 1024
"""Workers in one message."""

MAX_SLOTS: Final = 1e6
"""Largest credible number of slots, requests and answers."""

MAX_GATEWAYS: Final = 10_000
"""Largest credible number of gateways that report."""

MIN_WEIGHT: Final = 1e-3
MAX_WEIGHT: Final = 1e3

MAX_HELD_S: Final = 3600.0
"""Longest credible time for which a request holds a slot."""


def load_to_wire(
    service: str, load: ServiceLoad, *, may_grow: bool, uses: Mapping[WorkerStart, int]
) -> SlotReport:
    """Return the report of a service's load at this gateway."""
    return SlotReport(
        service_name=service,
        accounts=[
            AccountDemand(
                account=account,
                weight_milli=weight_to_wire(one.weight),
                offered_milli=_milli(one.n_offered),
                n_running=int(_bounded(one.n_running)),
                n_waiting=int(_bounded(one.n_waiting)),
            )
            for account, one in bounded_accounts(load.accounts).items()
        ],
        n_slots=int(_bounded(load.n_slots)),
        n_workers=int(_bounded(load.n_workers)),
        base_ms=int(min(MAX_HELD_S, load.base_s) * MS_PER_S),
        n_answered=int(_bounded(load.n_answered)),
        n_sheds=int(_bounded(load.n_sheds)),
        may_grow=may_grow,
        workers=uses_to_wire(uses),
    )


def bounded_accounts(accounts: Mapping[int, AccountLoad]) -> dict[int, AccountLoad]:
    """Return the loads of the accounts with the most demand, and of all others."""
    if len(accounts) <= MAX_ACCOUNTS:
        return dict(accounts)
    ranked = sorted(accounts, key=lambda each: accounts[each].demand, reverse=True)
    kept = {each: accounts[each] for each in ranked[: MAX_ACCOUNTS - 1]}
    others = [accounts[each] for each in ranked[MAX_ACCOUNTS - 1 :]]
    kept[OTHER_ACCOUNTS] = AccountLoad(
        weight=sum(one.weight for one in others),
        n_offered=sum(one.n_offered for one in others),
        n_running=sum(one.n_running for one in others),
        n_waiting=sum(one.n_waiting for one in others),
    )
    return kept


def load_from_wire(report: SlotReport) -> ServiceLoad:
    """Return the load that a gateway reports; figures that are absurd are bounded."""
    return ServiceLoad(
        accounts={
            each.account: AccountLoad(
                weight=weight_from_wire(each.weight_milli),
                n_offered=_bounded(each.offered_milli / MILLI),
                n_running=int(_bounded(each.n_running)),
                n_waiting=int(_bounded(each.n_waiting)),
            )
            for each in report.accounts[:MAX_ACCOUNTS]
        },
        n_slots=_bounded(report.n_slots),
        n_workers=int(_bounded(report.n_workers)),
        base_s=min(MAX_HELD_S, max(0.0, report.base_ms / MS_PER_S)),
        n_answered=int(_bounded(report.n_answered)),
        n_sheds=int(_bounded(report.n_sheds)),
    )


def grant_to_wire(
    service: str, share: SlotShare | None, workers: list[WorkerUse]
) -> SlotGrant:
    """Return the message with what a gateway may use, and who uses which worker."""
    if share is None:
        return SlotGrant(service_name=service, workers=workers)
    if not share.is_contended:
        return SlotGrant(
            service_name=service,
            is_known=True,
            total_milli=_milli(share.n_slots),
            workers=workers,
        )
    return SlotGrant(
        service_name=service,
        is_known=True,
        is_contended=True,
        total_milli=_milli(share.n_slots),
        level_milli=_milli(share.level),
        n_gateways=share.n_gateways,
        shares=[
            AccountShare(account=account, share_milli=_milli(n_slots))
            for account, n_slots in share.by_account.items()
        ],
        workers=workers,
    )


def share_from_wire(grant: SlotGrant) -> SlotShare | None:
    """Return what this gateway may use; None if the home does not know it yet."""
    if not grant.is_known:
        return None
    if not grant.is_contended:
        return SlotShare(
            is_contended=False, n_slots=_bounded(grant.total_milli / MILLI)
        )
    return SlotShare(
        is_contended=True,
        n_slots=_bounded(grant.total_milli / MILLI),
        level=_bounded(grant.level_milli / MILLI),
        n_gateways=min(MAX_GATEWAYS, max(1, grant.n_gateways)),
        by_account={
            each.account: _bounded(each.share_milli / MILLI)
            for each in grant.shares[:MAX_ACCOUNTS]
        },
    )


def uses_to_wire(uses: Mapping[WorkerStart, int]) -> list[WorkerUse]:
    """Return the message of requests by worker."""
    return [
        WorkerUse(worker_id=worker_id, born_ms=born_ms, n_running=n_running)
        for (worker_id, born_ms), n_running in list(uses.items())[:MAX_WORKERS]
    ]


def uses_from_wire(message: SlotReport | SlotGrant) -> dict[WorkerStart, int]:
    """Return the requests by worker that a message states."""
    return {
        (each.worker_id, each.born_ms): int(_bounded(each.n_running))
        for each in message.workers[:MAX_WORKERS]
    }


def weight_to_wire(weight: float) -> int:
    """Return the weight of an account in thousandths."""
    return round(min(MAX_WEIGHT, weight) * MILLI)


def weight_from_wire(weight_milli: int) -> float:
    """Return the weight of an account; one that is absurd is bounded."""
    return min(MAX_WEIGHT, max(MIN_WEIGHT, weight_milli / MILLI))


def _bounded(value: float) -> float:
    return min(MAX_SLOTS, max(0.0, value))


def _milli(n_slots: float) -> int:
    return int(min(MAX_SLOTS, n_slots) * MILLI)
