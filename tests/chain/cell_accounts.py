"""Accounts that share the stages of one cell, with its real scheduler in virtual time.

``python -m tests.chain cells`` prints how accounts are served, with and without shares:
even accounts and a few large ones under the loads of a day, and a burst of one account
beside seven others.
"""

import logging
import statistics
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

import pytest

from .cell_loads import BUSY_DAY, TIGHT_DAY, UNEVEN_DAY, Burst, Load
from .cell_model import Asked, Model, Outcome
from .virtual_time import run_virtual

N_ACCOUNTS: Final = 8
SHARE: Final = 0.1
BURST: Final = 3.0
"""What each account sends, and what one sends more in the burst, in capacities."""

CAPACITY_RATIO: Final = 1.45
"""What a cell can do, in multiples of the mean rates of its load without bursts.

Measured as the pieces that its busiest service completes per second at three times
these rates: 745 of 540 in the large cell, 83 of 57 in the small one (4 to 14 s, seeds 1
and 2).
"""

CALM_S: Final = 6.0
BURST_S: Final = 10.0
WARM_S: Final = 2.0
"""Seconds of the calm and of the burst that are not counted as work done.

The queues fill, and the paces of the workers are learnt.
"""

EVEN: Final = (1 / N_ACCOUNTS,) * N_ACCOUNTS
N_UNEVEN: Final = 16
ZIPF_EXPONENT: Final = 1.2


def zipf_parts() -> tuple[float, ...]:
    """Return the parts of sixteen accounts of which a few are large."""
    weights = [(1 + rank) ** -ZIPF_EXPONENT for rank in range(N_UNEVEN)]
    return tuple(weight / sum(weights) for weight in weights)


def with_burst(load: Load) -> Load:
    """Return a load of even accounts, the last of which bursts."""
    scale = N_ACCOUNTS * SHARE * CAPACITY_RATIO
    burst = Burst(
        kind="",
        account=N_ACCOUNTS,
        at_s=CALM_S,
        duration_s=BURST_S,
        factor=1.0 + BURST / SHARE,
    )
    return replace(
        load,
        kinds=tuple(replace(kind, per_s=scale * kind.per_s) for kind in load.kinds),
        account_parts=EVEN,
        bursts=(burst,),
        length_s=CALM_S + BURST_S,
    )


DAYS: Final = {"busy": BUSY_DAY, "tight": TIGHT_DAY, "uneven": UNEVEN_DAY}
LOADS: Final = (
    {f"{name}-even": replace(day, account_parts=EVEN) for name, day in DAYS.items()}
    | {
        f"{name}-zipf": replace(day, account_parts=zipf_parts())
        for name, day in DAYS.items()
    }
    | {
        f"{name}-burst": with_burst(day)
        for name, day in DAYS.items()
        if name != "uneven"
    }
)


def simulate_accounts(load: Load, seed: int) -> Outcome:
    """Run the model with one seed and return its outcome."""

    async def run() -> Outcome:
        return await Model(load, seed=seed).run()

    with pytest.MonkeyPatch.context() as patch:
        return run_virtual(patch, run())


@dataclass(frozen=True, slots=True, kw_only=True)
class Served:
    """How accounts were served in one simulation.

    Parameters
    ----------
    before, others, worst, large : float
        Shares in time: of all but the last account before the burst and during it, of
        the worst account, and of the account that sends most.
    value : float
        Share of the requested value that was in time.
    done : dict of str to float
        Pieces made per second by service, during the burst if there is one.
    """

    before: float
    others: float
    worst: float
    large: float
    value: float
    done: dict[str, float]


def share_in_time(asked: Sequence[Asked]) -> float:
    """Return the share of requests that were in time."""
    return sum(each.is_in_time for each in asked) / max(1, len(asked))


def served(load: Load, outcome: Outcome) -> Served:
    """Return how accounts were served."""
    values = {kind.name: kind.value for kind in load.kinds}
    is_burst = any(burst.account for burst in load.bursts)
    begins_s = CALM_S if is_burst else 0.0
    done_from_s = begins_s + WARM_S
    others = [each for each in outcome.asked if each.account < N_ACCOUNTS]
    counted = [each for each in outcome.asked if each.at_s >= begins_s]
    by_account = [
        share_in_time([each for each in counted if each.account == account])
        for account in range(1, len(load.account_parts) + 1)
    ]
    if is_burst:
        by_account.pop()
    value = sum(values[each.kind] for each in counted if each.is_in_time)
    return Served(
        before=share_in_time([e for e in others if WARM_S <= e.at_s < begins_s]),
        others=share_in_time([each for each in others if each.at_s >= begins_s]),
        worst=min(by_account),
        large=by_account[0],
        value=value / sum(values[each.kind] for each in counted),
        done={
            service: sum(done_from_s <= at_s < load.length_s for at_s in made_s)
            / (load.length_s - done_from_s)
            for service, made_s in outcome.made_s.items()
        },
    )


def work_done(load: Load, with_shares: Served, without: Served) -> float:
    """Return the work done, in parts of what was done without shares.

    The time of all workers that the pieces take is compared, as services differ.
    """

    def busy_s(done: dict[str, float]) -> float:
        return sum(
            done[service.name] * (service.piece_s + service.call_s / service.batch)
            for service in load.services
        )

    return busy_s(with_shares.done) / busy_s(without.done)


def print_accounts(load: str = "", seeds: int = 4) -> None:
    """Print how accounts are served, as means over seeds.

    Parameters
    ----------
    load : str
        Name of the load; all if empty.
    seeds : int
        Number of seeds.
    """
    logging.disable(logging.CRITICAL)
    print("load          before  others  worst  largest  value  work  without shares")
    for name, chosen in LOADS.items():
        if load not in name:
            continue
        pairs = []
        for seed in range(1, seeds + 1):
            off = replace(chosen, has_shares=False)
            pairs.append(
                (
                    served(chosen, simulate_accounts(chosen, seed)),
                    served(off, simulate_accounts(off, seed)),
                )
            )
        shared, unshared = zip(*pairs, strict=True)
        work = statistics.mean(work_done(chosen, *pair) for pair in pairs)
        print(f"{name:13} {_means(shared)}  {work:.3f}  {_means(unshared)}", flush=True)


def _means(all_served: Sequence[Served]) -> str:
    names = ("before", "others", "worst", "large", "value")
    means = (
        statistics.mean(getattr(each, name) for each in all_served) for name in names
    )
    return "  ".join(f"{mean:.3f}" for mean in means)
