"""Divides the slots of one service among accounts and gateways.

Answers demand beyond what the workers of a service can do. The home of the service
keeps a ledger of what each gateway reports, and grants each gateway its part.
"""

import math
import statistics
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from .account_shares import AccountDemand, max_min_level

CONTENTION_SHARE: Final = 0.8
"""Part of the capacity from which demand counts as contention.

Above it, requests that arrive at random already wait for one another at the workers.
"""

CONTENTION_HOLD_S: Final = 2.0
"""Seconds for which contention lasts after the demand was last that high.

Without it, shares would end and begin again with every gap in a burst.
"""

CLUMP_PARTS: Final = 2.0
"""Even parts of its share that an account below it may use at any gateway.

What it sends at a gateway is measured late, and varies more the less that is. All its
requests together stay below its share.
"""

WARM_UP_S: Final = 0.3
"""Seconds after its first report for which a ledger grants nothing.

The other gateways have not all reported yet, and the first would be granted the
capacity of all.
"""

RECOMPUTE_SHARE: Final = 0.04
"""Part of the validity of a report for which the division of the capacity is kept.

It is 20 ms in a small fleet. In a large one, where reports are valid for longer, a
division at each report would take most of a home's processor time.
"""

OVERLAP: Final = 1.25
"""Requests at a worker for each of its slots, besides one more.

A worker with nothing waiting idles for a round trip after each request.
"""

SHED_PERIOD_S: Final = 0.1
"""Seconds between two corrections of the capacity after workers have shed."""

SHED_STEP: Final = 1.1
"""Factor of one correction. Workers shed until what was sent in excess has ended."""

MIN_SHED_FACTOR: Final = 0.3

THROUGHPUT_WINDOW_S: Final = 0.5
"""Seconds over which the answers of all workers are counted."""

THROUGHPUT_KEPT_S: Final = 2.0
"""Seconds for which the highest throughput counts."""

GROWTH_STEP: Final = 2.0
"""Factor by which one correction lowers what counts of slots beyond the published ones.

Workers that shed do not have the slots that were measured: their answers took longer
than without contention, as they do where a gateway starts beside full workers.
"""

GROWTH_RECOVERY_PER_S: Final = 0.1
"""Part of these slots that counts again each second after workers have shed."""

MAX_SLOTS_RATIO: Final = 16.0
"""Largest ratio of the slots in use, as measured, to the published ones."""


def capacity_of(n_slots: float, n_workers: int) -> float:
    """Return how many requests keep all slots of some workers in use."""
    return OVERLAP * n_slots + n_workers


@dataclass(frozen=True, slots=True, kw_only=True)
class AccountLoad:
    """What one account asks of a service at one gateway.

    Parameters
    ----------
    weight : float
        Weight of the account.
    n_offered : float
        Slots that all its requests would use: arrivals per second times holding time.
    n_running : int
        Its requests that hold a slot.
    n_waiting : int
        Its requests that wait for one.
    """

    weight: float
    n_offered: float
    n_running: int = 0
    n_waiting: int = 0

    @property
    def demand(self) -> float:
        """Slots that the account would use if nothing limited it."""
        return max(self.n_offered, float(self.n_running + self.n_waiting))


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceLoad:
    """What one gateway reports about a service.

    Parameters
    ----------
    accounts : mapping of int to AccountLoad
        Load by key of the account.
    n_slots : float
        Slots of the usable workers that the gateway knows, as published.
    n_workers : int
        Number of these workers.
    base_s : float
        Mean time in seconds that a request holds a slot without contention; 0 if
        unknown.
    n_answered : int
        Requests that workers have answered since the last report.
    n_sheds : int
        Requests that workers have turned away since the last report.
    """

    accounts: Mapping[int, AccountLoad]
    n_slots: float
    n_workers: int
    base_s: float = 0.0
    n_answered: int = 0
    n_sheds: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotShare:
    """What one gateway may use of a service.

    Parameters
    ----------
    is_contended : bool
        False if accounts are not limited.
    n_slots : float
        Slots of the gateway, of all accounts together.
    level : float
        Slots per weight that an account may use at all gateways together.
    n_gateways : int
        Gateways that report; one that the grant does not name a share for gets this
        part of the level.
    by_account : mapping of int to float
        Slots by key of the account, at this gateway.
    """

    is_contended: bool
    n_slots: float = math.inf
    level: float = math.inf
    n_gateways: int = 1
    by_account: Mapping[int, float] = field(default_factory=dict)

    def of(self, account: int, weight: float) -> float:
        """Return the slots of an account here, also if it is new at this gateway."""
        known = self.by_account.get(account)
        return self._even(weight) if known is None else known

    def expected(self, account: int, weight: float) -> float:
        """Return the slots that an account probably has here after the next grant.

        The division among gateways follows the demand of the last reports. An account
        that sent nothing here has almost no part, until its requests are reported.
        """
        return max(self.of(account, weight), self._even(weight))

    def _even(self, weight: float) -> float:
        return self.level * weight / self.n_gateways


FREE: Final = SlotShare(is_contended=False)
"""Nothing is limited."""


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownLoad:
    """A report and when it arrived."""

    load: ServiceLoad
    at_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Division:
    """The capacity divided among the accounts.

    Parameters
    ----------
    capacity : float
        Slots that were divided.
    level : float
        Slots per weight that an account may use; infinite if all demand fits.
    demand : mapping of int to AccountDemand
        Demand of all gateways by key of the account.
    n_published : float
        Slots of the workers, as published.
    n_measured : float
        Slots in use, as measured; 0 if unknown.
    shed_factor : float
        Part of the capacity that is left while workers shed; 1 if none does.
    """

    capacity: float
    level: float
    demand: Mapping[int, AccountDemand]
    n_published: float = math.inf
    n_measured: float = 0.0
    shed_factor: float = 1.0

    @property
    def total(self) -> float:
        """Slots that all accounts demand."""
        return sum(each.n_slots for each in self.demand.values())

    @property
    def bound_by(self) -> str:
        """What the capacity follows from."""
        if self.shed_factor < 1.0:
            return "sheds"
        if self.n_measured <= self.n_published:
            return "published"
        at_most = MAX_SLOTS_RATIO * self.n_published
        return "measured" if self.n_measured < at_most else "ratio"

    def beyond_share(self) -> int:
        """Return the number of accounts that demand more than their share."""
        return sum(
            each.n_slots > self.level * each.weight for each in self.demand.values()
        )


@dataclass(slots=True, kw_only=True)
class AccountTotal:
    """What all gateways report of one account.

    Parameters
    ----------
    weight : float
        Weight of the account, by the newest report.
    n_slots : float
        Slots that it demands at all gateways.
    n_gateways : int
        Gateways that name it.
    """

    weight: float
    n_slots: float = 0.0
    n_gateways: int = 0


class SlotLedger:
    """The load and the shares of one service.

    Parameters
    ----------
    may_grow : bool
        True if the published number of slots may prove too low. Requests hold the slots
        of an engine for longer the more it runs, which tells nothing about spare slots.
    """

    __slots__ = (
        "_answers",
        "_base_s",
        "_contended_until_s",
        "_divided_s",
        "_division",
        "_first_s",
        "_growth_factor",
        "_growth_s",
        "_known",
        "_measured",
        "_shed_factor",
        "_shed_s",
        "_totals",
        "may_grow",
        "valid_s",
    )

    def __init__(self, *, may_grow: bool) -> None:
        self.may_grow = may_grow
        self._known: dict[str, KnownLoad] = {}
        self._totals: dict[int, AccountTotal] = {}
        self._base_s = 0.0
        self._answers: deque[tuple[float, int]] = deque()
        self._measured: deque[tuple[float, float]] = deque()
        self._shed_factor = 1.0
        self._shed_s = -math.inf
        self._growth_factor = 1.0
        self._growth_s = -math.inf
        self._first_s: float | None = None
        self._contended_until_s = -math.inf
        self._division: Division | None = None
        self._divided_s = -math.inf
        self.valid_s = 0.5

    @property
    def is_empty(self) -> bool:
        """True if no gateway has reported lately."""
        return not self._known

    def record(self, gateway_id: str, load: ServiceLoad, now_s: float) -> None:
        """Record what a gateway reports; its last report is replaced."""
        if self._is_division_old(now_s):
            self._expire(now_s)
        if self._first_s is None:
            self._first_s = now_s
        known = self._known.get(gateway_id)
        if known is None or known.load.accounts.keys() != load.accounts.keys():
            self._division = None
        if known is not None:
            self._subtract(known.load)
        self._add(load)
        self._known[gateway_id] = KnownLoad(load=load, at_s=now_s)
        self._measure(load, now_s)
        self._correct(load.n_sheds, now_s)

    def forget(self, gateway_id: str) -> None:
        """Free the share of a gateway that stops."""
        known = self._known.pop(gateway_id, None)
        if known is not None:
            self._subtract(known.load)
        self._division = None

    def is_contended(self, now_s: float) -> bool:
        """Return True while demand is near the capacity, and for some time after."""
        division = self.division(now_s)
        if division.total > CONTENTION_SHARE * division.capacity:
            self._contended_until_s = now_s + CONTENTION_HOLD_S
        return now_s < self._contended_until_s

    def grant(self, gateway_id: str, now_s: float) -> SlotShare | None:
        """Return what a gateway may use; None while other gateways are not known."""
        known = self._known.get(gateway_id)
        if known is None or self._first_s is None:
            return None
        if not self.is_contended(now_s):
            return self._free(known.load, now_s)
        if now_s - self._first_s < WARM_UP_S:
            return None
        division = self.division(now_s)
        by_account: dict[int, float] = {}
        n_slots = 0.0
        n_known = len(self._known)
        for account, load in known.load.accounts.items():
            demand = division.demand[account]
            allowed = min(division.level * demand.weight, division.capacity)
            # The division may be older than this report, which then has the larger sum.
            total = max(demand.n_slots, load.demand)
            part = load.demand / total if total else 0.0
            n_slots += min(allowed, demand.n_slots) * part
            if demand.n_slots <= allowed:
                # Its requests come in clumps, at one gateway or another.
                part = max(part, min(1.0, CLUMP_PARTS / n_known))
            by_account[account] = allowed * part
        spare = max(0.0, division.capacity - division.total)
        return SlotShare(
            is_contended=True,
            n_slots=n_slots + spare / n_known,
            level=min(division.level, division.capacity),
            n_gateways=n_known,
            by_account=by_account,
        )

    def _free(self, load: ServiceLoad, now_s: float) -> SlotShare:
        """Return what a gateway may use without contention.

        Its demand and an equal part of what is spare: if every gateway might use all
        that is spare, a burst would fill the workers' queues before the next report.
        """
        division = self.division(now_s)
        demand = sum(each.demand for each in load.accounts.values())
        spare = max(0.0, division.capacity - division.total)
        return SlotShare(is_contended=False, n_slots=demand + spare / len(self._known))

    def division(self, now_s: float) -> Division:
        """Return the capacity divided by the reports that are valid."""
        if self._division is None or self._is_division_old(now_s):
            self._expire(now_s)
            self._division = self._divide()
            self._divided_s = now_s
        return self._division

    def _is_division_old(self, now_s: float) -> bool:
        return now_s - self._divided_s >= RECOMPUTE_SHARE * self.valid_s

    def _add(self, load: ServiceLoad) -> None:
        for account, one in load.accounts.items():
            total = self._totals.get(account)
            if total is None:
                total = self._totals[account] = AccountTotal(weight=one.weight)
            total.weight = one.weight
            total.n_slots += one.demand
            total.n_gateways += 1

    def _subtract(self, load: ServiceLoad) -> None:
        for account, one in load.accounts.items():
            total = self._totals[account]
            total.n_slots = max(0.0, total.n_slots - one.demand)
            total.n_gateways -= 1
            if not total.n_gateways:
                del self._totals[account]

    def _divide(self) -> Division:
        loads = [known.load for known in self._known.values()]
        demand = {
            account: AccountDemand(
                account=account, weight=total.weight, n_slots=total.n_slots
            )
            for account, total in self._totals.items()
        }
        base = [load.base_s for load in loads if load.base_s > 0.0]
        self._base_s = statistics.median(base) if base else 0.0
        # Gateways hear of workers at different times; the newest list is one of them.
        n_published = max((load.n_slots for load in loads), default=math.inf)
        n_workers = max((load.n_workers for load in loads), default=0)
        n_measured = max((n for _, n in self._measured), default=0.0)
        n_at_most = min(max(n_published, n_measured), MAX_SLOTS_RATIO * n_published)
        n_in_use = n_published
        if n_at_most > n_published:
            n_in_use += self._growth_factor * (n_at_most - n_published)
        capacity = self._shed_factor * capacity_of(n_in_use, n_workers)
        return Division(
            capacity=capacity,
            level=max_min_level(list(demand.values()), capacity),
            demand=demand,
            n_published=n_published,
            n_measured=n_measured,
            shed_factor=self._shed_factor,
        )

    def _expire(self, now_s: float) -> None:
        expired = [
            gateway_id
            for gateway_id, known in self._known.items()
            if now_s - known.at_s > self.valid_s
        ]
        for gateway_id in expired:
            self.forget(gateway_id)
        if not self._known:
            # A home that was paused knows as little as one that has just begun.
            self._first_s = None

    def _measure(self, load: ServiceLoad, now_s: float) -> None:
        """Measure how many slots are in use, by what all workers answer.

        Workers may have more slots than are published. In-use slots are answers per
        second times the time that one takes without contention, which does not grow
        with the requests that wait at the workers.
        """
        self._answers.append((now_s, load.n_answered))
        while self._answers[0][0] <= now_s - THROUGHPUT_WINDOW_S:
            self._answers.popleft()
        while self._measured and self._measured[0][0] <= now_s - THROUGHPUT_KEPT_S:
            self._measured.popleft()
        if not self.may_grow and self._measured:
            # The service was one of another kind before.
            self._measured.clear()
            self._division = None
        self._base_s = self._base_s or load.base_s
        if not self.may_grow or not self._base_s:
            return
        per_s = sum(n for _, n in self._answers) / THROUGHPUT_WINDOW_S
        self._measured.append((now_s, per_s * self._base_s))

    def _correct(self, n_sheds: int, now_s: float) -> None:
        """Lower the capacity while workers shed, and raise it again afterwards.

        Gateways of a cut-off group send as well, and workers may take less than they
        state.
        """
        if not n_sheds and self._growth_factor < 1.0:
            recovered = GROWTH_RECOVERY_PER_S * (now_s - self._growth_s)
            self._growth_factor = min(1.0, self._growth_factor + recovered)
            self._growth_s = now_s
        if now_s - self._shed_s < SHED_PERIOD_S:
            return
        if n_sheds:
            self._shed_s = self._growth_s = now_s
            self._growth_factor /= GROWTH_STEP
            self._shed_factor = max(MIN_SHED_FACTOR, self._shed_factor / SHED_STEP)
        elif self._shed_factor < 1.0:
            self._shed_s = now_s
            self._shed_factor = min(1.0, self._shed_factor * SHED_STEP)
